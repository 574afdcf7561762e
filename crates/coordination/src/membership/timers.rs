//! Does what is due: probes, suspicions that end, table comparisons, contacts and gossip.

use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::settings::millis;

use super::Membership;
use super::MembershipAction;
use super::member_table::Source;
use super::messages::Body;
use super::messages::Health;
use super::messages::MemberRecord;
use super::messages::Update;

/// Hosts contacted at once by a host that knows no other.
const JOIN_CONTACTS: usize = 2;

/// Time between contacts of a host that knows no other.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Contacts of each missing host that the whole fleet aims at in one rejoin interval.
const REJOIN_CONTACTS: usize = 2;

impl Membership {
    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        self.probe(now, actions);
        self.bury_suspects(now);
        self.sync(now, actions);
        self.rejoin(now, actions);
        self.gossip(now, actions);
    }

    /// Sets the timers back after a pause of this process.
    ///
    /// A paused process misses every answer and refutation. On resuming, its overdue timers would
    /// make it declare members dead that were never silent, and spread that. No timer of others
    /// may run on over the pause, so all of them start again.
    pub(super) fn notice_pause(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next_wake());
        if late < millis(self.settings.pause_ms) {
            return;
        }
        self.prober.doubt_self();
        self.prober.abandon(now);
        self.table.restart_suspicions(now);
        self.next_sync_at = now;
    }

    fn probe(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        let mut out = Vec::new();
        let failed = self
            .prober
            .tick(now, &self.table, &mut self.random, &mut out);
        self.send_all(now, out, actions);
        if let Some(host) = failed {
            self.suspect(now, &host);
        }
    }

    fn suspect(&mut self, now: Duration, host: &HostId) {
        let Some(held) = self.table.get(host).filter(|r| r.is_live()) else {
            return;
        };
        let record = MemberRecord {
            health: Health::Suspect,
            ..held.clone()
        };
        let accuser = Some(self.own.member.host.clone());
        self.merge(now, Update { record, accuser }, Source::News);
    }

    fn bury_suspects(&mut self, now: Duration) {
        for suspect in self.table.expired_suspects(now) {
            let record = MemberRecord {
                health: Health::Dead,
                ..suspect
            };
            let accuser = None;
            self.merge(now, Update { record, accuser }, Source::News);
        }
    }

    fn sync(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        if now < self.next_sync_at {
            return;
        }
        self.next_sync_at = now + millis(self.settings.sync_interval_ms);
        self.table.forget_old(now);
        self.notices.forget_ended(now);
        for host in self.random_live(1) {
            self.send_digest(now, host, actions);
        }
    }

    /// Contacts named hosts that are not live.
    ///
    /// Once both halves of a partition hold each other for dead, no probe crosses any more and
    /// they would stay apart after the heal. A chance in proportion to the missing share keeps the
    /// fleet's contacts of one dead host few, however many hosts there are.
    fn rejoin(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        if now < self.next_rejoin_at {
            return;
        }
        let mut missing = self.admission.missing(&self.table);
        let live = self.table.live_count();
        let alone = live == 0;
        let interval = millis(self.settings.rejoin_interval_ms);
        self.next_rejoin_at = now + if alone { JOIN_INTERVAL } else { interval };
        let contacts = if alone { JOIN_CONTACTS } else { 1 };
        if self.random.index(live + 1) >= missing.len() * REJOIN_CONTACTS {
            return;
        }
        self.random.choose(&mut missing, contacts);
        for host in missing {
            self.send_digest(now, host, actions);
        }
    }

    fn gossip(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        if !self.news.is_pending() || now < self.gossip_due() {
            return;
        }
        self.last_gossip_at = Some(now);
        for host in self.random_live(self.settings.gossip_fanout as usize) {
            self.send(now, host, Body::Gossip, actions);
        }
    }
}
