//! Reports to and from the other hosts.

use std::collections::HashMap;
use std::time::Duration;

use sedgeridge_coordination::poison_notice::PoisonNotice;

use super::Dispatcher;
use crate::hashing::pair_hash;
use crate::peer_report::CrashNews;
use crate::peer_report::PeerReport;

/// Silence after which a host no longer counts as part of the fleet.
const HOST_SILENCE: Duration = Duration::from_secs(5);
/// Silence after which a host no longer counts as one that follows the store. Reports of large
/// fleets come a second apart; one of them may be lost.
const FOLLOWER_SILENCE: Duration = Duration::from_millis(2_300);
/// Fleets up to this size follow the store on each host.
const SMALL_FLEET: usize = 12;
/// Hosts of a larger fleet that follow the store. Calls are paid for; four of them are rarely lost
/// at once, and others take over when they fall silent.
const FOLLOWERS: usize = 4;
/// Keeps the choice of followers apart from other choices by hash.
const FOLLOWER_SALT: u64 = 0x5f01;
/// Reports in which news of a crash is repeated, so that lost datagrams matter little.
const NEWS_REPEATS: u32 = 4;
/// Most news in one report.
const MAX_NEWS: usize = 8;

/// A host's part in following the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// It follows the store, and tells the others of a change at once.
    FirstFollower,
    /// It follows the store.
    Follower,
    /// It copies changes from hosts that know them.
    Copier,
}

/// The other hosts, as their reports show them.
#[derive(Debug, Default)]
pub(super) struct PeerHosts {
    hosts: HashMap<u64, PeerHost>,
    reports_made: u64,
    news: Vec<(u32, CrashNews)>,
}

#[derive(Debug)]
struct PeerHost {
    run: u64,
    number: u64,
    heard_at: Duration,
    can_follow: bool,
}

impl PeerHosts {
    /// Tells whether a report is newer than what is known of its host.
    fn accept(&mut self, now: Duration, report: &PeerReport) -> bool {
        let fresh = PeerHost {
            run: report.run,
            number: report.number,
            heard_at: now,
            can_follow: !report.is_stopping && report.store_answers,
        };
        let known = self.hosts.get(&report.host);
        let is_newer =
            known.is_none_or(|known| (report.run, report.number) > (known.run, known.number));
        if is_newer {
            self.hosts.insert(report.host, fresh);
        }
        is_newer
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.hosts
            .retain(|_, host| now.saturating_sub(host.heard_at) <= HOST_SILENCE);
    }

    /// Returns the number of hosts, this one included.
    pub(super) fn count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Tells how many live hosts come before this one in the choice of followers.
    fn follower_rank(&self, now: Duration, own: u64) -> usize {
        let own_score = pair_hash(FOLLOWER_SALT, own);
        let before = self.hosts.iter().filter(|(host, known)| {
            let is_heard = now.saturating_sub(known.heard_at) <= FOLLOWER_SILENCE;
            is_heard && known.can_follow && pair_hash(FOLLOWER_SALT, **host) < own_score
        });
        before.count()
    }

    fn queue_news(&mut self, notices: &[PoisonNotice]) {
        let news = notices.iter().map(|notice| (NEWS_REPEATS, notice.into()));
        self.news.extend(news);
    }

    fn take_news(&mut self) -> Vec<CrashNews> {
        let sent = self.news.iter_mut().take(MAX_NEWS).map(|(repeats, news)| {
            *repeats -= 1;
            news.clone()
        });
        let sent = sent.collect();
        self.news.retain(|(repeats, _)| *repeats > 0);
        sent
    }
}

impl Dispatcher {
    /// Returns the part that this host takes in following the platform's store.
    pub fn store_role(&self, now: Duration) -> StoreRole {
        if self.hosts.count() <= SMALL_FLEET {
            return StoreRole::Follower;
        }
        match self.hosts.follower_rank(now, self.settings.host) {
            0 => StoreRole::FirstFollower,
            rank if rank < FOLLOWERS => StoreRole::Follower,
            _ => StoreRole::Copier,
        }
    }

    /// Returns this host's report. The versions say how new its copies of the platform's tables are.
    pub fn report(&mut self, config_version: u64, endpoints_version: u64) -> PeerReport {
        let notices = self.quarantine.take_notices();
        self.hosts.queue_news(&notices);
        self.hosts.reports_made += 1;
        self.unreported = 0;
        PeerReport {
            host: self.settings.host,
            run: self.settings.run,
            number: self.hosts.reports_made,
            config_version,
            endpoints_version,
            is_stopping: false,
            store_answers: true,
            loads: self.loads.own().collect(),
            usage: self.shares.own(),
            crashes: self.hosts.take_news(),
        }
    }

    /// Returns how many requests were started since the last report.
    pub fn unreported(&self) -> u32 {
        self.unreported
    }

    /// Returns the number of hosts that report, this one included.
    pub fn hosts(&self) -> usize {
        self.hosts.count()
    }

    pub(super) fn on_report(&mut self, now: Duration, report: PeerReport) {
        if report.host == self.settings.host || !self.hosts.accept(now, &report) {
            return;
        }
        for news in &report.crashes {
            self.quarantine.on_notice(now, news.into());
        }
        self.shares.on_report(now, report.host, report.usage);
        self.loads.on_report(now, report.host, report.loads);
    }
}
