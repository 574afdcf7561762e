//! Tracks the other hosts of the fleet, from the list of hosts and from their reports.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::hashing::pair_hash;
use crate::peer_report::PeerReport;
use crate::store_followers::HigherRankedHosts;
use crate::store_outage::StoreReports;

/// Largest fleet in which every host reports to every other one and follows the store itself.
pub const MAX_SMALL_FLEET_HOSTS: usize = 12;
/// Shortest silence after which a host no longer counts as part of the fleet.
const MIN_HOST_SILENCE: Duration = Duration::from_secs(5);
/// Missed heartbeats after which a host of a large fleet no longer counts as part of it.
const MISSED_HEARTBEATS: u32 = 3;
/// Silence after which a host no longer counts as a follower of the store: three heartbeats of a
/// follower.
const MAX_FOLLOWER_SILENCE: Duration = Duration::from_millis(2_300);
/// Time after its start for which a host that has not read the list of hosts leaves it to others to
/// follow the store. The list is read within some ten milliseconds of a start, unless the store is
/// unavailable.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_500);
/// Silence after which a host that is not listed gets no more reports. Network cuts between hosts
/// last from some seconds to a minute; hosts are replaced for good many times a day.
const MAX_UNLISTED_SILENCE: Duration = Duration::from_secs(120);
/// Shortest time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the heartbeat interval for each host. Heartbeats thus take about sixteen datagrams a
/// second and host in fleets of any size.
const HEARTBEAT_INTERVAL_PER_HOST: Duration = Duration::from_millis(60);
/// Salt that makes the choice of followers independent of other choices by hash.
const FOLLOWER_SALT: u64 = 0x5f01;
/// Salt that makes the choice of relays independent of other choices by hash.
const RELAY_SALT: u64 = 0x5f02;
/// Relays of a data centre. If one is lost, the other one still sends its sums.
const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Most additional relays, one for each suspected relay. If a large part of a fleet is killed, the
/// first hosts in rank may all be gone.
const MAX_EXTRA_RELAYS: usize = 4;
/// Silence after which a relay is skipped: four of its intervals.
const MAX_RELAY_SILENCE: Duration = Duration::from_millis(1_200);
/// Time for which a silent relay is skipped, unless it is heard from earlier.
const SUSPICION_TIME: Duration = Duration::from_secs(10);

/// A host that is registered in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedHost {
    /// Hash of its name.
    pub host: u64,
    /// Hash of the name of its data centre.
    pub data_centre: u64,
}

/// All hosts except this one.
#[derive(Debug)]
pub struct PeerHosts {
    own: ListedHost,
    hosts: IntMap<u64, PeerHost>,
    has_list: bool,
}

/// A host's report of its calls to the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreAccess {
    /// The host is about to stop, or has not reported.
    #[default]
    Unused,
    /// The last call was answered, or the host makes none.
    Answered,
    /// The last call was not answered.
    Failing,
}

#[derive(Debug, Default)]
struct PeerHost {
    data_centre: u64,
    is_listed: bool,
    /// Time at which it was first listed.
    first_listed_at: Duration,
    run: u64,
    last_report_number: u64,
    last_report_at: Option<Duration>,
    store_access: StoreAccess,
    /// Start of the failures of its calls to the store, if the last call failed.
    store_lost_at: Option<Duration>,
    /// Time of the store's last answer to it, if it calls the store.
    store_answered_at: Option<Duration>,
    /// Whether it may serve as a relay: it is neither stopping nor overloaded.
    may_relay: bool,
    /// Time since which sums are expected from it.
    sums_expected_since: Option<Duration>,
    last_sum_at: Option<Duration>,
    suspected_until: Option<Duration>,
}

impl PeerHosts {
    /// Creates the state of a host that knows no other host.
    pub fn new(own: ListedHost) -> Self {
        Self {
            own,
            hosts: IntMap::default(),
            has_list: false,
        }
    }

    /// Applies a new list of registered hosts. Returns whether it contains a new host.
    pub fn on_listed(&mut self, now: Duration, listed: &[ListedHost]) -> bool {
        self.has_list = true;
        for host in self.hosts.values_mut() {
            host.is_listed = false;
        }
        let mut has_new = false;
        for entry in listed.iter().filter(|entry| entry.host != self.own.host) {
            has_new |= !self.hosts.contains_key(&entry.host);
            let host = self.hosts.entry(entry.host).or_insert_with(|| PeerHost {
                may_relay: true,
                first_listed_at: now,
                ..PeerHost::default()
            });
            host.is_listed = true;
            host.data_centre = entry.data_centre;
        }
        has_new
    }

    /// Records the sender of a report. Returns whether the report is newer than the last one from
    /// that host.
    pub fn on_report(&mut self, now: Duration, report: &PeerReport) -> bool {
        let host = self.hosts.entry(report.host).or_default();
        if (report.run, report.number) <= (host.run, host.last_report_number) {
            return false;
        }
        host.run = report.run;
        host.last_report_number = report.number;
        host.data_centre = report.data_centre;
        host.last_report_at = Some(now);
        host.suspected_until = None;
        host.store_access = match (report.is_stopping, report.store_answers) {
            (true, _) => StoreAccess::Unused,
            (false, true) => StoreAccess::Answered,
            (false, false) => StoreAccess::Failing,
        };
        let lost_for = Duration::from_millis(report.store_lost_ms);
        let lost_at = now.saturating_sub(lost_for);
        host.store_lost_at = (!report.store_answers).then_some(lost_at);
        let answered_ago = report.store_answered_ago_ms.map(Duration::from_millis);
        host.store_answered_at = answered_ago.map(|ago| now.saturating_sub(ago));
        host.may_relay = !report.is_stopping && !report.is_busy;
        true
    }

    /// Records that a relay sent a sum.
    pub fn on_sum(&mut self, now: Duration, host: u64) {
        if let Some(host) = self.hosts.get_mut(&host) {
            host.last_sum_at = Some(now);
        }
    }

    /// Drops hosts that are neither listed nor heard from.
    pub fn tick(&mut self, now: Duration) {
        self.hosts
            .retain(|_, host| host.is_listed || host.was_heard_within(now, MAX_UNLISTED_SILENCE));
    }

    /// Returns the number of live hosts, including this one.
    pub fn live_count(&self, now: Duration) -> usize {
        let silence = self.heartbeat_interval() * MISSED_HEARTBEATS;
        let silence = silence.max(MIN_HOST_SILENCE);
        let hosts = self.hosts.values();
        let counted =
            hosts.filter(|host| host.was_heard_within(now, silence) || host.is_newly_listed(now));
        counted.count() + 1
    }

    /// Returns whether this host has had the means to learn of the others.
    pub fn knows_fleet(&self, now: Duration) -> bool {
        self.has_list || !self.hosts.is_empty() || now >= MAX_LIST_WAIT
    }

    /// Returns whether every host reports to every other one.
    pub fn is_small_fleet(&self, now: Duration) -> bool {
        self.live_count(now) <= MAX_SMALL_FLEET_HOSTS
    }

    /// Returns the time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        let hosts = self.hosts.len() as u32;
        MIN_HEARTBEAT_INTERVAL.max(HEARTBEAT_INTERVAL_PER_HOST * hosts)
    }

    /// Iterates over all hosts that are listed or were heard from.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.hosts.keys().copied()
    }

    /// Returns the other data centres.
    pub fn other_data_centres(&self) -> Vec<u64> {
        let all = self.hosts.values().map(|host| host.data_centre);
        let mut others: Vec<_> = all.filter(|it| *it != self.own.data_centre).collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Returns the number of live hosts that rank before this one in the choice of followers.
    pub fn higher_ranked_followers(&self, now: Duration) -> HigherRankedHosts {
        let own_score = pair_hash(FOLLOWER_SALT, self.own.host);
        let mut higher_ranked = HigherRankedHosts::default();
        for (host, known) in &self.hosts {
            if pair_hash(FOLLOWER_SALT, *host) >= own_score {
                continue;
            }
            if known.is_newly_listed(now) {
                higher_ranked.answered_by_store += 1;
                continue;
            }
            if !known.was_heard_within(now, MAX_FOLLOWER_SILENCE) {
                continue;
            }
            match known.store_access {
                StoreAccess::Answered => higher_ranked.answered_by_store += 1,
                StoreAccess::Failing => higher_ranked.failing_at_store += 1,
                StoreAccess::Unused => {}
            }
        }
        higher_ranked
    }

    /// Returns the number of live hosts that the store does not answer.
    pub fn count_failing_at_store(&self, now: Duration) -> usize {
        let failing = self.hosts.values().filter(|host| {
            host.store_access == StoreAccess::Failing
                && host.was_heard_within(now, MAX_FOLLOWER_SILENCE)
        });
        failing.count()
    }

    /// Collects the live hosts' reports about the store.
    pub fn store_reports(&self, now: Duration) -> StoreReports {
        let heard = self.hosts.values();
        let heard = heard.filter(|host| host.was_heard_within(now, MAX_FOLLOWER_SILENCE));
        let failing = heard.clone();
        StoreReports {
            lost_since: failing.filter_map(|host| host.store_lost_at).collect(),
            answered_at: heard.filter_map(|host| host.store_answered_at).max(),
        }
    }

    /// Chooses the relays of a data centre, which may include this host. Hosts that know the same
    /// hosts choose the same relays.
    pub fn choose_relays(&self, now: Duration, data_centre: u64) -> Vec<u64> {
        let mut ranked: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.data_centre == data_centre && host.may_relay)
            .map(|(host, known)| (pair_hash(RELAY_SALT, *host), *host, known.is_suspected(now)))
            .collect();
        if data_centre == self.own.data_centre {
            let own = self.own.host;
            ranked.push((pair_hash(RELAY_SALT, own), own, false));
        }
        ranked.sort_unstable();
        let mut relays = Vec::new();
        let mut suspected = 0;
        for (_, host, is_suspected) in ranked {
            if is_suspected {
                suspected += 1;
                continue;
            }
            relays.push(host);
            if relays.len() >= RELAYS_PER_DATA_CENTRE + suspected.min(MAX_EXTRA_RELAYS) {
                break;
            }
        }
        relays
    }

    /// Returns the hosts of a data centre that sent sums recently.
    pub fn sum_senders(&self, now: Duration, data_centre: u64) -> impl Iterator<Item = u64> + '_ {
        let senders = self.hosts.iter().filter(move |(_, host)| {
            let is_recent = |at| now.saturating_sub(at) <= MAX_RELAY_SILENCE;
            host.data_centre == data_centre && host.last_sum_at.is_some_and(is_recent)
        });
        senders.map(|(host, _)| *host)
    }

    /// Records the relays from which sums are expected. A relay that has sent none for a while is
    /// suspected, and the next one in rank takes its place: a host that is cut off or frozen cannot
    /// announce it.
    pub fn expect_sums(&mut self, now: Duration, relays: &[u64]) {
        for (host, known) in &mut self.hosts {
            if !relays.contains(host) {
                known.sums_expected_since = None;
                continue;
            }
            let since = *known.sums_expected_since.get_or_insert(now);
            let last_sum_at = known.last_sum_at.map_or(since, |at| at.max(since));
            if now.saturating_sub(last_sum_at) > MAX_RELAY_SILENCE {
                known.suspected_until = Some(now + SUSPICION_TIME);
                known.sums_expected_since = None;
            }
        }
    }
}

impl PeerHost {
    fn was_heard_within(&self, now: Duration, silence: Duration) -> bool {
        let is_recent = |at| now.saturating_sub(at) <= silence;
        self.last_report_at.is_some_and(is_recent)
    }

    /// Returns whether it was listed a moment ago and has not had time to report.
    ///
    /// A starting host learns of the others from the list first. Without this check it would take
    /// its fleet for small, or itself for the first follower, until it hears from them, and all
    /// hosts that start together would ask the store for changes. A listed host that is dead is
    /// skipped after this time.
    fn is_newly_listed(&self, now: Duration) -> bool {
        let is_recent = now.saturating_sub(self.first_listed_at) <= MAX_FOLLOWER_SILENCE;
        self.is_listed && self.last_report_at.is_none() && is_recent
    }

    fn is_suspected(&self, now: Duration) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }
}
