//! Tracks the other hosts of the fleet, from the list of hosts and from their reports.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use nohash_hasher::IntMap;

use crate::hashing::pair_hash;
use crate::home_ring::HomeRing;
use crate::origin_exchange::Holders;
use crate::peer_report::PeerReport;
use crate::store_followers::HigherRankedHosts;
use crate::store_outage::StoreReports;
use crate::stream_origin::StreamKey;

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
/// Time for which a count of the live hosts is used again.
const COUNT_LIFETIME: Duration = Duration::from_millis(50);
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
    /// Hosts in the order in which they are chosen as followers.
    follower_order: BTreeMap<u64, u64>,
    /// Hosts of each data centre in the order in which they are chosen as relays.
    relay_order: BTreeMap<u64, BTreeMap<u64, u64>>,
    /// All hosts, this one included, as holders of streams' origins.
    holders: HomeRing,
    /// The last count of the live hosts, and its time.
    counted: Cell<Option<(Duration, usize)>>,
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
    /// Whether its last report said that it is about to stop.
    is_stopping: bool,
    /// Time since which sums are expected from it.
    sums_expected_since: Option<Duration>,
    last_sum_at: Option<Duration>,
    suspected_until: Option<Duration>,
}

impl PeerHosts {
    /// Creates the state of a host that knows no other host.
    pub fn new(own: ListedHost) -> Self {
        let mut holders = HomeRing::default();
        holders.insert(own.host);
        Self {
            own,
            holders,
            hosts: IntMap::default(),
            has_list: false,
            follower_order: BTreeMap::new(),
            relay_order: BTreeMap::new(),
            counted: Cell::new(None),
        }
    }

    /// Returns the state of a host, which is added if it is new.
    fn host_mut(&mut self, host: u64, data_centre: u64) -> &mut PeerHost {
        let known = self.hosts.get(&host);
        let known_data_centre = known.map(|known| known.data_centre);
        if known_data_centre != Some(data_centre) {
            self.leave_order(host, known_data_centre);
            self.follower_order
                .insert(pair_hash(FOLLOWER_SALT, host), host);
            let relays = self.relay_order.entry(data_centre).or_default();
            relays.insert(pair_hash(RELAY_SALT, host), host);
            self.holders.insert(host);
        }
        let known = self.hosts.entry(host).or_default();
        known.data_centre = data_centre;
        known
    }

    fn leave_order(&mut self, host: u64, data_centre: Option<u64>) {
        self.follower_order.remove(&pair_hash(FOLLOWER_SALT, host));
        let relays = data_centre.and_then(|it| self.relay_order.get_mut(&it));
        if let Some(relays) = relays {
            relays.remove(&pair_hash(RELAY_SALT, host));
        }
    }

    /// Applies a new list of registered hosts. Returns whether it contains a new host.
    pub fn on_listed(&mut self, now: Duration, listed: &[ListedHost]) -> bool {
        self.has_list = true;
        self.counted.set(None);
        for host in self.hosts.values_mut() {
            host.is_listed = false;
        }
        let mut has_new = false;
        let own = self.own.host;
        for entry in listed.iter().filter(|entry| entry.host != own) {
            let is_new = !self.hosts.contains_key(&entry.host);
            let host = self.host_mut(entry.host, entry.data_centre);
            host.is_listed = true;
            if is_new {
                host.may_relay = true;
                host.first_listed_at = now;
            }
            has_new |= is_new;
        }
        has_new
    }

    /// Records the sender of a report. Returns whether the report is newer than the last one from
    /// that host.
    pub fn on_report(&mut self, now: Duration, report: &PeerReport) -> bool {
        let known = self.hosts.get(&report.host);
        let last = known.map_or((0, 0), |host| (host.run, host.last_report_number));
        if (report.run, report.number) <= last {
            return false;
        }
        if known.is_none_or(|host| host.last_report_at.is_none()) {
            self.counted.set(None);
        }
        let host = self.host_mut(report.host, report.data_centre);
        host.run = report.run;
        host.last_report_number = report.number;
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
        host.is_stopping = report.is_stopping;
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
        let is_gone =
            |host: &PeerHost| !host.is_listed && !host.was_heard_within(now, MAX_UNLISTED_SILENCE);
        let gone = self.hosts.iter().filter(|(_, host)| is_gone(host));
        let gone: Vec<_> = gone
            .map(|(host, known)| (*host, known.data_centre))
            .collect();
        for (host, data_centre) in gone {
            self.hosts.remove(&host);
            self.leave_order(host, Some(data_centre));
            self.holders.remove(host);
        }
    }

    /// Returns the number of live hosts, including this one.
    ///
    /// A listed host counts before its first heartbeat. If it did not, a host that has just started
    /// would take a large fleet for small for about one interval, and use too large a part of the
    /// fleet's limits.
    pub fn live_count(&self, now: Duration) -> usize {
        let counted = self.counted.get();
        let is_recent = |at| now.saturating_sub(at) < COUNT_LIFETIME;
        if let Some((_, count)) = counted.filter(|(at, _)| is_recent(*at)) {
            return count;
        }
        let count = self.count_live(now);
        self.counted.set(Some((now, count)));
        count
    }

    fn count_live(&self, now: Duration) -> usize {
        let silence = self.max_silence();
        let hosts = self.hosts.values();
        let counted = hosts.filter(|host| host.is_live(now, silence));
        counted.count() + 1
    }

    /// Returns the silence after which a host no longer counts as part of the fleet.
    fn max_silence(&self) -> Duration {
        let silence = self.heartbeat_interval() * MISSED_HEARTBEATS;
        silence.max(MIN_HOST_SILENCE)
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

    /// Returns the other hosts that are to hold the origin of a stream: live ones that go on running. Hosts that know the
    /// same hosts choose the same ones.
    pub fn origin_holders(&self, now: Duration, stream: StreamKey) -> Holders {
        let silence = self.max_silence();
        self.choose_holders(stream, |host| {
            let known = self.hosts.get(&host);
            known.is_none_or(|known| known.is_live(now, silence) && !known.is_stopping)
        })
    }

    /// Returns the other hosts that may hold the origin of a stream: also those that would hold it if all hosts were live,
    /// since it may have been placed before one of them stopped or fell silent.
    pub fn possible_origin_holders(&self, now: Duration, stream: StreamKey) -> Holders {
        let mut holders = self.origin_holders(now, stream);
        for host in self.choose_holders(stream, |_| true) {
            if !holders.contains(&host) {
                holders.push(host);
            }
        }
        holders
    }

    /// Chooses holders by the stream's position on the ring of hosts. The second one is in another data centre than the
    /// first, if there is one nearby.
    fn choose_holders(&self, stream: StreamKey, may_hold: impl Fn(u64) -> bool) -> Holders {
        let [first, next] = self.holders.homes(stream.0, &may_hold);
        let data_centre = first.map(|host| self.data_centre_of(host));
        let is_elsewhere = |host| may_hold(host) && Some(self.data_centre_of(host)) != data_centre;
        let [elsewhere, _] = self.holders.homes(stream.0, is_elsewhere);
        let second = elsewhere.or(next);
        let is_third = |host| may_hold(host) && Some(host) != first && Some(host) != second;
        let [third, _] = self.holders.homes(stream.0, is_third);
        let chosen = [first, second, third].into_iter().flatten();
        chosen.filter(|host| *host != self.own.host).collect()
    }

    fn data_centre_of(&self, host: u64) -> u64 {
        let known = self.hosts.get(&host);
        known.map_or(self.own.data_centre, |known| known.data_centre)
    }

    /// Returns the other data centres.
    pub fn other_data_centres(&self) -> Vec<u64> {
        let all = self.hosts.values().map(|host| host.data_centre);
        let mut others: Vec<_> = all.filter(|it| *it != self.own.data_centre).collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Counts live hosts that rank before this one in the choice of followers, up to `max_answered`
    /// that the store answers. These are found among the first in rank, so that the cost does not
    /// grow with the fleet.
    pub fn higher_ranked_followers(&self, now: Duration, max_answered: usize) -> HigherRankedHosts {
        let own_score = pair_hash(FOLLOWER_SALT, self.own.host);
        let mut higher_ranked = HigherRankedHosts::default();
        for (_, host) in self.follower_order.range(..own_score) {
            if higher_ranked.answered_by_store >= max_answered {
                break;
            }
            let Some(known) = self.hosts.get(host) else {
                continue;
            };
            match known.store_access_at(now) {
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
        let mut relays = Vec::new();
        let mut suspected = 0;
        for host in self.relay_candidates(data_centre) {
            if relays.len() >= RELAYS_PER_DATA_CENTRE + suspected.min(MAX_EXTRA_RELAYS) {
                break;
            }
            let known = self.hosts.get(&host);
            match known.is_some_and(|known| known.is_suspected(now)) {
                true => suspected += 1,
                false => relays.push(host),
            }
        }
        relays
    }

    /// Iterates over the hosts of a data centre that may be relays, in the order in which they are
    /// chosen.
    fn relay_candidates(&self, data_centre: u64) -> impl Iterator<Item = u64> + '_ {
        let own = self.own;
        let own_score = pair_hash(RELAY_SALT, own.host);
        let others = self.relay_order.get(&data_centre).into_iter().flatten();
        let may_relay = |host: &u64| self.hosts.get(host).is_some_and(|host| host.may_relay);
        let others = others.filter(move |(_, host)| may_relay(host));
        let before = others
            .clone()
            .take_while(move |(score, _)| **score < own_score);
        let after = others.skip_while(move |(score, _)| **score < own_score);
        let own = (data_centre == own.data_centre).then_some(own.host);
        let before = before.map(|(_, host)| *host);
        before.chain(own).chain(after.map(|(_, host)| *host))
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
    fn is_live(&self, now: Duration, silence: Duration) -> bool {
        self.was_heard_within(now, silence) || self.is_listed_unheard(now, silence)
    }

    fn was_heard_within(&self, now: Duration, silence: Duration) -> bool {
        let is_recent = |at| now.saturating_sub(at) <= silence;
        self.last_report_at.is_some_and(is_recent)
    }

    /// Returns what its reports say of its calls to the store. A host that was listed a moment ago
    /// counts as one that the store answers.
    fn store_access_at(&self, now: Duration) -> StoreAccess {
        if self.is_newly_listed(now) {
            return StoreAccess::Answered;
        }
        match self.was_heard_within(now, MAX_FOLLOWER_SILENCE) {
            true => self.store_access,
            false => StoreAccess::Unused,
        }
    }

    /// Returns whether it was listed a moment ago and has not had time to report.
    ///
    /// A starting host learns of the others from the list first. Without this check it would take
    /// its fleet for small, or itself for the first follower, until it hears from them, and all
    /// hosts that start together would ask the store for changes. A listed host that is dead is
    /// skipped after this time.
    fn is_newly_listed(&self, now: Duration) -> bool {
        self.is_listed_unheard(now, MAX_FOLLOWER_SILENCE)
    }

    /// Returns whether it was listed within a time and has sent nothing yet.
    fn is_listed_unheard(&self, now: Duration, time: Duration) -> bool {
        let is_recent = now.saturating_sub(self.first_listed_at) <= time;
        self.is_listed && self.last_report_at.is_none() && is_recent
    }

    fn is_suspected(&self, now: Duration) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }
}
