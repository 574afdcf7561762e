//! The other hosts of the fleet, as the list of hosts and their reports show them.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::hashing::pair_hash;
use crate::peer_report::PeerReport;
use crate::store_followers::HigherRankedHosts;
use crate::store_outage::StoreReports;

/// Largest fleet in which each host reports to each other one, and follows the store itself.
pub const MAX_SMALL_FLEET_HOSTS: usize = 12;
/// Shortest silence after which a host no longer counts as part of the fleet.
const MIN_HOST_SILENCE: Duration = Duration::from_secs(5);
/// The same in signs of life that have been missed, for large fleets.
const MISSED_PRESENCES: u32 = 3;
/// Silence after which a host no longer counts as one that follows the store: three signs of life of
/// a follower.
const FOLLOWER_SILENCE: Duration = Duration::from_millis(2_300);
/// Age up to which a host that has not read the list of hosts leaves it to others to follow the store. The list
/// is read within some ten milliseconds of a start, unless the store is away.
const LIST_PATIENCE: Duration = Duration::from_millis(1_500);
/// Silence after which a host that is not listed gets no more reports. Cuts between hosts last some
/// seconds to a minute; hosts are replaced for good many times a day.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(120);
/// Shortest time between two signs of life.
const MIN_PRESENCE_INTERVAL: Duration = Duration::from_secs(1);
/// The same for each host, so that they take about sixteen datagrams a second and host in fleets of
/// any size.
const PRESENCE_INTERVAL_PER_HOST: Duration = Duration::from_millis(60);
/// Keeps the choice of followers apart from other choices by hash.
const FOLLOWER_SALT: u64 = 0x5f01;
/// Keeps the choice of relays apart from other choices by hash.
const RELAY_SALT: u64 = 0x5f02;
/// Relays of a data centre. While one is lost the other one's sums come on.
const RELAYS: usize = 2;
/// Further relays, one for each that is suspected: of a fleet that was killed in large part the first
/// in rank may all be gone.
const MOST_EXTRA_RELAYS: usize = 4;
/// Silence after which a relay is passed over: four of its intervals.
const RELAY_SILENCE: Duration = Duration::from_millis(1_200);
/// Time for which it is passed over, if it is not heard of again before.
const SUSPECTED_FOR: Duration = Duration::from_secs(10);

/// A host that is registered in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedHost {
    /// Hash of its name.
    pub host: u64,
    /// Hash of the name of its data centre.
    pub data_centre: u64,
}

/// All hosts but this one.
#[derive(Debug)]
pub struct PeerHosts {
    own: ListedHost,
    hosts: IntMap<u64, PeerHost>,
    has_list: bool,
}

/// What a host says of its calls to the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreAccess {
    /// It is about to stop, or nothing was heard.
    #[default]
    Unused,
    /// Its last call was answered, or it makes none.
    Answered,
    /// Its last call was not answered.
    Failing,
}

#[derive(Debug, Default)]
struct PeerHost {
    data_centre: u64,
    is_listed: bool,
    /// When it was listed first.
    listed_at: Duration,
    run: u64,
    number: u64,
    heard_at: Option<Duration>,
    store_access: StoreAccess,
    /// Since when the store does not answer it, if its last call failed.
    store_lost_at: Option<Duration>,
    /// When the store last answered it, if it calls the store.
    store_answered_at: Option<Duration>,
    /// Whether it may serve as a relay: it neither stops nor has too much to do.
    may_relay: bool,
    /// Since when sums are expected from it.
    expected_since: Option<Duration>,
    sum_heard_at: Option<Duration>,
    suspected_until: Option<Duration>,
}

impl PeerHosts {
    /// Creates the state of a host that knows no other.
    pub fn new(own: ListedHost) -> Self {
        Self {
            own,
            hosts: IntMap::default(),
            has_list: false,
        }
    }

    /// Takes a new list of the hosts that are registered. Returns whether it names a new one.
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
                listed_at: now,
                ..PeerHost::default()
            });
            host.is_listed = true;
            host.data_centre = entry.data_centre;
        }
        has_new
    }

    /// Takes in who sent a report. Returns whether the report is newer than the last one from there.
    pub fn on_report(&mut self, now: Duration, report: &PeerReport) -> bool {
        let host = self.hosts.entry(report.host).or_default();
        if (report.run, report.number) <= (host.run, host.number) {
            return false;
        }
        host.run = report.run;
        host.number = report.number;
        host.data_centre = report.data_centre;
        host.heard_at = Some(now);
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

    /// Notes that a relay sent a sum.
    pub fn on_sum(&mut self, now: Duration, host: u64) {
        if let Some(host) = self.hosts.get_mut(&host) {
            host.sum_heard_at = Some(now);
        }
    }

    /// Drops hosts that are neither listed nor heard.
    pub fn tick(&mut self, now: Duration) {
        self.hosts
            .retain(|_, host| host.is_listed || host.is_heard(now, FORGOTTEN_AFTER));
    }

    /// Returns the number of hosts that were heard lately, this one included.
    pub fn live_count(&self, now: Duration) -> usize {
        let silence = self.heartbeat_interval() * MISSED_PRESENCES;
        let silence = silence.max(MIN_HOST_SILENCE);
        let heard = self.hosts.values();
        let counted = heard.filter(|host| host.is_heard(now, silence) || host.is_expected(now));
        counted.count() + 1
    }

    /// Tells whether this host has had the means to know of the others.
    pub fn knows_fleet(&self, now: Duration) -> bool {
        self.has_list || !self.hosts.is_empty() || now >= LIST_PATIENCE
    }

    /// Tells whether each host reports to each other one.
    pub fn is_small_fleet(&self, now: Duration) -> bool {
        self.live_count(now) <= MAX_SMALL_FLEET_HOSTS
    }

    /// Returns the time between signs of life.
    pub fn heartbeat_interval(&self) -> Duration {
        let hosts = self.hosts.len() as u32;
        MIN_PRESENCE_INTERVAL.max(PRESENCE_INTERVAL_PER_HOST * hosts)
    }

    /// Returns all hosts that are listed or were heard.
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

    /// Returns the live hosts that come before this one in the choice of followers.
    pub fn higher_ranked_followers(&self, now: Duration) -> HigherRankedHosts {
        let own_score = pair_hash(FOLLOWER_SALT, self.own.host);
        let mut before = HigherRankedHosts::default();
        for (host, known) in &self.hosts {
            if pair_hash(FOLLOWER_SALT, *host) >= own_score {
                continue;
            }
            if known.is_expected(now) {
                before.answered_by_store += 1;
                continue;
            }
            if !known.is_heard(now, FOLLOWER_SILENCE) {
                continue;
            }
            match known.store_access {
                StoreAccess::Answered => before.answered_by_store += 1,
                StoreAccess::Failing => before.failing_at_store += 1,
                StoreAccess::Unused => {}
            }
        }
        before
    }

    /// Returns the number of live hosts that the store does not answer.
    pub fn count_failing_at_store(&self, now: Duration) -> usize {
        let failing = self.hosts.values().filter(|host| {
            host.store_access == StoreAccess::Failing && host.is_heard(now, FOLLOWER_SILENCE)
        });
        failing.count()
    }

    /// Sums up what live hosts report of the store.
    pub fn store_reports(&self, now: Duration) -> StoreReports {
        let heard = self.hosts.values();
        let heard = heard.filter(|host| host.is_heard(now, FOLLOWER_SILENCE));
        let failing = heard.clone();
        StoreReports {
            lost_since: failing.filter_map(|host| host.store_lost_at).collect(),
            answered_at: heard.filter_map(|host| host.store_answered_at).max(),
        }
    }

    /// Chooses the relays of a data centre; this host may be one of them. All hosts choose alike as
    /// far as they know the same hosts.
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
            if relays.len() >= RELAYS + suspected.min(MOST_EXTRA_RELAYS) {
                break;
            }
        }
        relays
    }

    /// Returns the hosts of a data centre that sent sums lately.
    pub fn sum_senders(&self, now: Duration, data_centre: u64) -> impl Iterator<Item = u64> + '_ {
        let summing = self.hosts.iter().filter(move |(_, host)| {
            let is_new = |at| now.saturating_sub(at) <= RELAY_SILENCE;
            host.data_centre == data_centre && host.sum_heard_at.is_some_and(is_new)
        });
        summing.map(|(host, _)| *host)
    }

    /// Notes from which relays sums are expected. One that has sent none for a while is suspected,
    /// so that the next one in rank takes its place: a host that is cut off or frozen cannot say so.
    pub fn expect_sums(&mut self, now: Duration, relays: &[u64]) {
        for (host, known) in &mut self.hosts {
            if !relays.contains(host) {
                known.expected_since = None;
                continue;
            }
            let since = *known.expected_since.get_or_insert(now);
            let heard = known.sum_heard_at.map_or(since, |at| at.max(since));
            if now.saturating_sub(heard) > RELAY_SILENCE {
                known.suspected_until = Some(now + SUSPECTED_FOR);
                known.expected_since = None;
            }
        }
    }
}

impl PeerHost {
    fn is_heard(&self, now: Duration, silence: Duration) -> bool {
        let is_new = |at| now.saturating_sub(at) <= silence;
        self.heard_at.is_some_and(is_new)
    }

    /// Tells whether it was listed a moment ago and has not had the time to be heard of.
    ///
    /// A host that starts knows of the others by the list first. Without this it takes its fleet for small,
    /// or itself for the first follower, until it hears of them, and each of the hosts that start together asks the
    /// store for changes. A host that is listed and dead is passed over after this time.
    fn is_expected(&self, now: Duration) -> bool {
        let is_new = now.saturating_sub(self.listed_at) <= FOLLOWER_SILENCE;
        self.is_listed && self.heard_at.is_none() && is_new
    }

    fn is_suspected(&self, now: Duration) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }
}
