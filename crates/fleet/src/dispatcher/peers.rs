//! Exchanges reports with the other hosts.

use std::collections::VecDeque;
use std::time::Duration;

use super::Dispatcher;
use crate::origin_exchange::Holders;
use crate::peer_hosts::ListedHost;
use crate::peer_hosts::PeerHosts;
use crate::peer_report::PeerReport;
use crate::peer_report::Scope;
use crate::peer_report::to_millis;
use crate::peer_schedule::PeerSchedule;
use crate::peer_versions::CopySource;
use crate::relay::FleetView;
use crate::relay::Relay;
use crate::store_followers::FOLLOWER_COUNT;
use crate::store_followers::StoreFollowers;
use crate::store_followers::StoreRole;
use crate::store_outage::OutageView;
use crate::store_outage::StoreOutage;
use crate::store_version::TableVersions;
use crate::stream_origin::StreamKey;
use crate::work_sums::WorkSums;

/// Number of own reports that are kept, in order to subtract them from sums that include them: as many as a host makes in
/// the time for which relays count a report.
const MAX_KEPT_REPORTS: usize = 51;
/// Key of the sums over the fleet among reports of hosts. The hash of a host's name has this value only by chance.
const FLEET_SOURCE: u64 = 0;

/// State of a host that its reports tell, in addition to its work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HostState {
    /// Versions of the host's copies of the platform's tables.
    pub versions: TableVersions,
    /// Whether the host is about to stop.
    pub is_stopping: bool,
    /// Whether the host is overloaded.
    pub is_busy: bool,
    /// Whether the store answered the host's last call.
    pub store_answers: bool,
    /// Time since the store stopped answering the host; zero if it answers.
    pub store_lost_for: Duration,
    /// Time since the store's last answer; `None` if the host does not call it.
    pub store_answered_ago: Option<Duration>,
}

/// This host's own experience with the platform's store.
#[derive(Debug, Default)]
struct OwnStoreState {
    lost_at: Option<Duration>,
    answered_at: Option<Duration>,
}

impl OwnStoreState {
    fn new(now: Duration, state: HostState) -> Self {
        let lost_at = now.saturating_sub(state.store_lost_for);
        let answered_ago = state.store_answered_ago;
        Self {
            lost_at: (!state.store_answers).then_some(lost_at),
            answered_at: answered_ago.map(|ago| now.saturating_sub(ago)),
        }
    }
}

/// A report and its recipients.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingReport {
    /// The report.
    pub report: PeerReport,
    /// Hosts that get the report.
    pub to: Vec<ReportRecipient>,
}

/// A host that gets a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportRecipient {
    /// Hash of the host's name.
    pub host: u64,
    /// Value of [`PeerReport::included`] for this host.
    pub included: u64,
}

impl From<u64> for ReportRecipient {
    fn from(host: u64) -> Self {
        Self { host, included: 0 }
    }
}

/// State of the exchange of reports with the other hosts.
#[derive(Debug)]
pub(super) struct PeerLinks {
    hosts: PeerHosts,
    store_followers: StoreFollowers,
    store_outage: StoreOutage,
    own_store: OwnStoreState,
    relay: Relay,
    view: FleetView,
    schedule: PeerSchedule,
    reported_state: HostState,
    reports_made: u64,
    kept_reports: VecDeque<(u64, WorkSums)>,
}

impl PeerLinks {
    pub(super) fn new(own: ListedHost) -> Self {
        Self {
            hosts: PeerHosts::new(own),
            store_followers: StoreFollowers::default(),
            store_outage: StoreOutage::default(),
            own_store: OwnStoreState::default(),
            relay: Relay::default(),
            view: FleetView::default(),
            schedule: PeerSchedule::default(),
            reported_state: HostState::default(),
            reports_made: 0,
            kept_reports: VecDeque::new(),
        }
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.hosts.tick(now);
        let failing = self.hosts.count_failing_at_store(now);
        self.store_followers.tick(now, failing);
        let mut reports = self.hosts.store_reports(now);
        reports.lost_since.extend(self.own_store.lost_at);
        reports.answered_at = reports.answered_at.max(self.own_store.answered_at);
        self.store_outage.tick(now, reports);
        self.relay.tick(now);
    }

    pub(super) fn on_started(&mut self) {
        self.schedule.on_started();
    }

    pub(super) fn is_small_fleet(&self, now: Duration) -> bool {
        self.hosts.is_small_fleet(now)
    }

    pub(super) fn on_listed(&mut self, now: Duration, listed: &[ListedHost]) {
        if self.hosts.on_listed(now, listed) {
            self.schedule.make_due_now();
        }
    }

    fn keep_report(&mut self, report: &PeerReport) {
        let mut work = WorkSums::default();
        work.add(&report.loads, &report.usage);
        self.kept_reports.push_back((report.number, work));
        if self.kept_reports.len() > MAX_KEPT_REPORTS {
            self.kept_reports.pop_front();
        }
    }

    /// Returns the work that this host reported under a number.
    fn kept_work(&self, number: u64) -> Option<&WorkSums> {
        let mut reports = self.kept_reports.iter();
        reports
            .find(|(kept, _)| *kept == number)
            .map(|(_, work)| work)
    }
}

impl Dispatcher {
    /// Returns this host's role in following the platform's store.
    ///
    /// A host that has just started and has not read the list of hosts does not follow the store yet, since its fleet would
    /// seem small to it. Of hosts that start together, each would wait for changes of both tables, and calls per second
    /// are limited.
    pub fn store_role(&self, now: Duration) -> StoreRole {
        if !self.peers.hosts.knows_fleet(now) {
            return StoreRole::Copier;
        }
        if self.peers.hosts.is_small_fleet(now) {
            return StoreRole::Follower;
        }
        let hosts = &self.peers.hosts;
        let before = hosts.higher_ranked_followers(now, FOLLOWER_COUNT);
        self.peers.store_followers.role(now, before)
    }

    /// Returns how this host is to take a copy of a table from a host of a data centre. `store_answers` tells whether the
    /// store answers this host's calls about the table.
    pub fn copy_source(&self, now: Duration, data_centre: u64, store_answers: bool) -> CopySource {
        let hosts = &self.peers.hosts;
        let own_data_centre = self.own_data_centre();
        if self.store_role(now).is_following() {
            return match store_answers {
                true => CopySource::BesideStore,
                false => CopySource::Preferred,
            };
        }
        if data_centre == own_data_centre || hosts.is_small_fleet(now) {
            return CopySource::Preferred;
        }
        let relays = hosts.choose_relays(now, own_data_centre);
        match relays.contains(&self.settings.host) {
            true => CopySource::Preferred,
            false => CopySource::Remote,
        }
    }

    /// Returns the time since which the store has answered no host, if it is unavailable or has just recovered. A host that
    /// starts to follow the store then must not treat entries that are missing there as removed.
    pub fn store_lost_since(&self) -> Option<Duration> {
        self.peers.store_outage.since()
    }

    /// Returns what this host may conclude about an outage of the store.
    pub fn store_outage(&self) -> OutageView {
        self.peers.store_outage.view()
    }

    /// Returns the reports that are due. Call it about ten times a second.
    pub fn reports_due(&mut self, now: Duration, state: HostState) -> Vec<OutgoingReport> {
        self.peers.own_store = OwnStoreState::new(now, state);
        self.crashes.evidence.advance_to(now);
        if self.must_hasten(state) {
            self.peers.schedule.make_due_now();
        } else if self.crashes.evidence.has_unreported() {
            self.peers.schedule.make_report_due_now();
        }
        let mut due = Vec::new();
        if self.peers.hosts.is_small_fleet(now) {
            self.add_report_to_all(now, state, &mut due);
        } else {
            self.add_presence(now, state, &mut due);
            self.add_member_report(now, state, &mut due);
            self.add_sums(now, state, &mut due);
        }
        due
    }

    /// Makes the next reports due at once, because this host is the first to know of a change.
    pub fn hasten_reports(&mut self) {
        self.peers.schedule.make_due_now();
    }

    /// Returns the other hosts that are to hold the origin of a stream.
    pub fn origin_holders(&self, now: Duration, stream: StreamKey) -> Holders {
        self.peers.hosts.origin_holders(now, stream)
    }

    /// Returns the other hosts that may hold the origin of a stream.
    pub fn possible_origin_holders(&self, now: Duration, stream: StreamKey) -> Holders {
        self.peers.hosts.possible_origin_holders(now, stream)
    }

    /// Returns this host's report about its own work.
    pub fn report(&mut self, state: HostState) -> PeerReport {
        let mut report = self.blank_report(state, Scope::Own);
        report.set_work(self.loads.own().collect(), self.shares.own());
        self.peers.schedule.on_reported();
        self.peers.keep_report(&report);
        report
    }

    /// Returns how many requests were started since the last report.
    pub fn unreported(&self) -> u32 {
        self.peers.schedule.unreported_starts()
    }

    /// Returns the number of hosts that report, this one included.
    pub fn hosts(&self, now: Duration) -> usize {
        self.peers.hosts.live_count(now)
    }

    pub(super) fn on_report(&mut self, now: Duration, report: PeerReport) {
        if report.host == self.settings.host || !self.peers.hosts.on_report(now, &report) {
            return;
        }
        self.on_suspects_reported(now, &report.suspects);
        match report.scope {
            Scope::Heartbeat => {}
            Scope::Own => self.on_own_work(now, report),
            Scope::DataCentre => {
                self.peers.hosts.on_sum(now, report.host);
                self.peers.relay.on_data_centre(now, &report);
            }
            Scope::Fleet => {
                self.peers.hosts.on_sum(now, report.host);
                self.on_fleet_sum(now, &report);
            }
        }
    }

    fn on_own_work(&mut self, now: Duration, report: PeerReport) {
        if self.peers.hosts.is_small_fleet(now) {
            self.shares.on_report(now, report.host, report.usage);
            self.loads.on_report(now, report.host, report.loads);
        } else if report.data_centre == self.own_data_centre() {
            self.peers.relay.on_member(now, &report);
        }
    }

    fn on_fleet_sum(&mut self, now: Duration, report: &PeerReport) {
        if self.peers.hosts.is_small_fleet(now) || !self.peers.view.accepts(now, report.hosts) {
            return;
        }
        let mut others = WorkSums::default();
        others.add(&report.loads, &report.usage);
        // If the sum includes an older report than those kept, the oldest kept one is subtracted. The relay has got no
        // report of this host for seconds then, and the error is small compared to counting the own work twice.
        let own = self.peers.kept_work(report.included);
        let oldest = self.peers.kept_reports.front().map(|(_, work)| work);
        if let Some(own) = own.or(oldest.filter(|_| report.included > 0)) {
            others.subtract(own);
        }
        self.adopt_view(now, &others);
    }

    fn adopt_view(&mut self, now: Duration, others: &WorkSums) {
        self.shares.on_report(now, FLEET_SOURCE, others.usage());
        self.loads.on_report(now, FLEET_SOURCE, others.loads());
    }

    fn must_hasten(&mut self, state: HostState) -> bool {
        let reported = std::mem::replace(&mut self.peers.reported_state, state);
        (reported.is_stopping, reported.is_busy) != (state.is_stopping, state.is_busy)
    }

    fn add_report_to_all(
        &mut self,
        now: Duration,
        state: HostState,
        due: &mut Vec<OutgoingReport>,
    ) {
        let to: Vec<ReportRecipient> = self.peers.hosts.iter().map(ReportRecipient::from).collect();
        if self.peers.schedule.take_due_report(now, to.len()) {
            let report = self.report(state);
            due.push(OutgoingReport { report, to });
        }
    }

    fn add_presence(&mut self, now: Duration, state: HostState, due: &mut Vec<OutgoingReport>) {
        let is_follower = self.store_role(now) != StoreRole::Copier;
        let interval = self.peers.hosts.heartbeat_interval();
        if !self
            .peers
            .schedule
            .take_due_heartbeat(now, is_follower, interval)
        {
            return;
        }
        let to = self.peers.hosts.iter().map(ReportRecipient::from).collect();
        let report = self.blank_report(state, Scope::Heartbeat);
        due.push(OutgoingReport { report, to });
    }

    fn add_member_report(
        &mut self,
        now: Duration,
        state: HostState,
        due: &mut Vec<OutgoingReport>,
    ) {
        let hosts = self.hosts(now);
        if !self.peers.schedule.take_due_member_report(now, hosts) {
            return;
        }
        let own = self.settings.host;
        let mut relays = self.peers.hosts.choose_relays(now, self.own_data_centre());
        relays.retain(|relay| *relay != own);
        let to = relays.iter().copied().map(ReportRecipient::from).collect();
        let report = self.report(state);
        due.push(OutgoingReport { report, to });
    }

    /// Adds the sums that this host sends if it is a relay, and uses them itself.
    fn add_sums(&mut self, now: Duration, state: HostState, due: &mut Vec<OutgoingReport>) {
        let hosts = self.hosts(now);
        if !self.peers.schedule.take_due_sums(now, hosts) {
            return;
        }
        let own_data_centre = self.own_data_centre();
        let mut expected = self.peers.hosts.choose_relays(now, own_data_centre);
        let is_chosen = expected.contains(&self.settings.host);
        if is_chosen || self.peers.relay.has_members() {
            let relays = self.relays_elsewhere(now);
            expected.extend(relays.iter().copied());
            self.add_relay_sums(now, state, &relays, due);
        }
        self.peers.hosts.expect_sums(now, &expected);
    }

    fn add_relay_sums(
        &mut self,
        now: Duration,
        state: HostState,
        relays_elsewhere: &[u64],
        due: &mut Vec<OutgoingReport>,
    ) {
        let own_loads: Vec<_> = self.loads.own().collect();
        let own_usage = self.shares.own();

        let mut sum = self.peers.relay.members_sum();
        let hosts = self.hosts(now);
        let own = self.settings.host;
        let relays = self.peers.hosts.choose_relays(now, self.own_data_centre());
        let rank = relays.iter().position(|relay| *relay == own);
        if self
            .peers
            .schedule
            .take_remote_sum_turn(hosts, rank.unwrap_or(0))
        {
            let mut report = self.blank_report(state, Scope::DataCentre);
            let mut data_centre_work = sum.work.clone();
            data_centre_work.add(&own_loads, &own_usage);
            report.hosts = sum.hosts + 1;
            report.set_work(data_centre_work.loads(), data_centre_work.usage());
            let to = relays_elsewhere.iter().copied();
            let to = to.map(ReportRecipient::from).collect();
            due.push(OutgoingReport { report, to });
        }

        self.peers.relay.add_data_centres(&mut sum);
        if self.peers.view.accepts(now, sum.hosts + 1) {
            self.adopt_view(now, &sum.work);
        }
        let mut report = self.blank_report(state, Scope::Fleet);
        sum.work.add(&own_loads, &own_usage);
        report.hosts = sum.hosts + 1;
        report.set_work(sum.work.loads(), sum.work.usage());
        let members = self.peers.relay.members();
        let to = members.map(|(host, included)| ReportRecipient { host, included });
        let to = to.collect();
        due.push(OutgoingReport { report, to });
    }

    fn relays_elsewhere(&self, now: Duration) -> Vec<u64> {
        let hosts = &self.peers.hosts;
        let mut relays = Vec::new();
        for data_centre in hosts.other_data_centres() {
            relays.extend(hosts.choose_relays(now, data_centre));
            relays.extend(hosts.sum_senders(now, data_centre));
        }
        relays.sort_unstable();
        relays.dedup();
        relays
    }

    fn blank_report(&mut self, state: HostState, scope: Scope) -> PeerReport {
        self.peers.reports_made += 1;
        let mut report = PeerReport {
            host: self.settings.host,
            run: self.settings.run,
            number: self.peers.reports_made,
            data_centre: self.own_data_centre(),
            scope,
            hosts: 1,
            is_stopping: state.is_stopping,
            is_busy: state.is_busy,
            store_answers: state.store_answers,
            store_lost_ms: to_millis(state.store_lost_for),
            store_answered_ago_ms: state.store_answered_ago.map(to_millis),
            ..PeerReport::default()
        };
        report.set_table_versions(state.versions);
        report.suspects = self.next_suspect_reports();
        report
    }

    fn own_data_centre(&self) -> u64 {
        self.own_listing.data_centre
    }
}
