//! Runs the due timers: probes, ends of suspicions, table comparisons, contacts and gossip.

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

/// Number of hosts that a host without live peers contacts at once.
const JOIN_CONTACT_COUNT: usize = 2;

/// Time between contacts by a host without live peers.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// Target number of contacts of each missing host by the whole fleet in one rejoin interval.
const CONTACTS_PER_MISSING_HOST: usize = 2;

impl Membership {
    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        self.run_probe(now, actions);
        self.declare_expired_suspects_dead(now);
        self.sync_with_random_member(now, actions);
        self.contact_missing_hosts(now, actions);
        self.gossip(now, actions);
    }

    /// Restarts the timers after a pause of this process.
    ///
    /// A paused process misses every answer and refutation. When it resumes, its overdue timers
    /// would make it declare members dead that were never silent, and disseminate that. So no timer
    /// about other members may run on across the pause: all of them are restarted.
    pub(super) fn restart_timers_after_pause(&mut self, now: Duration) {
        let delay = now.saturating_sub(self.next_wake());
        if delay < millis(self.settings.pause_ms) {
            return;
        }
        self.prober.raise_health_score();
        self.prober.abandon_probes(now);
        self.table.restart_suspicions(now);
        self.next_sync_at = now;
    }

    fn run_probe(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
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
        self.merge_update(now, Update { record, accuser }, Source::Gossip);
    }

    fn declare_expired_suspects_dead(&mut self, now: Duration) {
        for suspect in self.table.expired_suspects(now) {
            let record = MemberRecord {
                health: Health::Dead,
                ..suspect
            };
            let accuser = None;
            self.merge_update(now, Update { record, accuser }, Source::Gossip);
        }
    }

    fn sync_with_random_member(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        if now < self.next_sync_at {
            return;
        }
        self.next_sync_at = now + millis(self.settings.sync_interval_ms);
        self.table.remove_expired_records(now);
        self.notices.remove_ended(now);
        for host in self.random_live_hosts(1) {
            self.request_sync(now, host, actions);
        }
    }

    /// Contacts configured or listed hosts that are not live.
    ///
    /// Once both halves of a partition consider each other dead, no probe crosses any more and they
    /// would stay separate after the partition heals. Each host makes a contact with a probability
    /// in proportion to the share of missing hosts, so that the number of contacts of one dead host
    /// does not grow with the fleet.
    fn contact_missing_hosts(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        if now < self.next_rejoin_at {
            return;
        }
        let mut missing = self.admission.missing_hosts(&self.table);
        let live = self.table.live_count();
        let is_alone = live == 0;
        let interval = millis(self.settings.rejoin_interval_ms);
        self.next_rejoin_at = now + if is_alone { JOIN_INTERVAL } else { interval };
        let contact_count = if is_alone { JOIN_CONTACT_COUNT } else { 1 };
        if self.random.index(live + 1) >= missing.len() * CONTACTS_PER_MISSING_HOST {
            return;
        }
        self.random.choose(&mut missing, contact_count);
        for host in missing {
            self.request_sync(now, host, actions);
        }
    }

    fn gossip(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        if !self.dissemination.is_pending() || now < self.next_gossip_at() {
            return;
        }
        self.last_gossip_at = Some(now);
        for host in self.random_live_hosts(self.settings.gossip_fanout as usize) {
            self.send(now, host, Body::Gossip, actions);
        }
    }
}
