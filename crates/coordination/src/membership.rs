//! Fleet membership: which hosts are live.
//!
//! Failure detection and dissemination follow SWIM (Das, Gupta, Motivala, 2002) with the local
//! health of Lifeguard (Dadgar, Phillips, Currey, 2018): each host probes one other in each
//! interval, directly and then through others. A host that leaves a probe unanswered is suspected
//! and has time to refute. Updates are piggybacked on the probes and on a few extra gossip
//! messages. Periodically two hosts compare their whole tables, and configured or listed hosts that
//! are not live are contacted, so that the halves of a partition and restarted hosts rejoin.
//!
//! Safety never depends on membership: the tables of two hosts may differ at any time.

mod admission;
mod dissemination;
mod events;
mod member_table;
mod messages;
mod notice_table;
mod probe_schedule;
mod prober;
mod receive;
mod rejections;
mod suspicion;
mod table_sync;
mod timers;

use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::MembershipSettings;
use sedgeridge_state::settings::millis;

use crate::random::SeededRandom;
use admission::Admission;
use dissemination::Dissemination;
use member_table::MemberTable;
use member_table::MergeOutcome;
use member_table::Source;
use notice_table::NoticeTable;
use prober::Outgoing;
use prober::Prober;

pub use events::HostHint;
pub use events::ListedHost;
pub use events::LiveMember;
pub use events::MemberState;
pub use events::MembershipAction;
pub use events::MembershipEvent;
pub use messages::Body;
pub use messages::DIGEST_BUCKETS;
pub use messages::Health;
pub use messages::MemberRecord;
pub use messages::Message;
pub use messages::Notice;
pub use messages::TableDigest;
pub use messages::Update;
pub use messages::Version;
pub use rejections::Rejection;
pub use rejections::Rejections;

/// The membership state machine of one host.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: MemberRecord,
    admission: Admission,
    table: MemberTable,
    prober: Prober,
    dissemination: Dissemination,
    notices: NoticeTable,
    rejections: Rejections,
    random: SeededRandom,
    config_generation: u64,
    published: Vec<LiveMember>,
    members_may_have_changed: bool,
    last_gossip_at: Option<Duration>,
    next_sync_at: Duration,
    next_rejoin_at: Duration,
    next_table_send_at: Duration,
    has_left: bool,
}

impl Membership {
    /// Creates the membership of `member`, whose incarnation is the wall-clock time of its start
    /// in microseconds. `hosts` are the hosts in the settings.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::membership::{Membership, MembershipAction, MembershipEvent};
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member};
    /// use sedgeridge_state::settings::MembershipSettings;
    ///
    /// let member = Member { host: HostId::from("entry-1"), incarnation: Incarnation(1) };
    /// let hosts = vec![HostId::from("entry-1"), HostId::from("entry-2")];
    /// let mut membership = Membership::new(member, MembershipSettings::default(), hosts, 42);
    /// let mut actions = Vec::new();
    /// membership.handle(Duration::ZERO, MembershipEvent::Tick, &mut actions);
    /// assert!(actions.iter().any(|a| matches!(a, MembershipAction::Send { .. })));
    /// ```
    pub fn new(
        member: Member,
        settings: MembershipSettings,
        hosts: Vec<HostId>,
        seed: u64,
    ) -> Self {
        let mut random = SeededRandom::new(seed);
        let prober = Prober::new(&settings, &mut random);
        let first_sync_ms = random.index(settings.sync_interval_ms as usize) as u64;
        let admission = Admission::new(member.host.clone(), hosts);
        Self {
            own: MemberRecord {
                member,
                refutations: 0,
                leaving: false,
                health: Health::Alive,
            },
            admission,
            table: MemberTable::new(millis(settings.suspicion_ms)),
            prober,
            dissemination: Dissemination::default(),
            notices: NoticeTable::default(),
            rejections: Rejections::default(),
            random,
            config_generation: 0,
            published: Vec::new(),
            members_may_have_changed: true,
            last_gossip_at: None,
            next_sync_at: millis(first_sync_ms),
            next_rejoin_at: Duration::ZERO,
            next_table_send_at: Duration::ZERO,
            has_left: false,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::membership::{Membership, MembershipAction, MembershipEvent};
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member};
    /// use sedgeridge_state::settings::MembershipSettings;
    ///
    /// let member = Member { host: HostId::from("entry-1"), incarnation: Incarnation(1) };
    /// let mut membership = Membership::new(member, MembershipSettings::default(), Vec::new(), 42);
    /// let mut actions = Vec::new();
    /// membership.handle(Duration::ZERO, MembershipEvent::Tick, &mut actions);
    /// assert!(matches!(&actions[..], [MembershipAction::MembersChanged(m)] if m.len() == 1));
    /// ```
    pub fn handle(
        &mut self,
        now: Duration,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.has_left {
            return;
        }
        self.restart_timers_after_pause(now);
        match event {
            MembershipEvent::Tick => self.tick(now, actions),
            MembershipEvent::MessageReceived(message) => self.receive(now, message, actions),
            MembershipEvent::HostsConfigured(hosts) => self.admission.set_configured(hosts),
            MembershipEvent::HostList(hosts) => self.apply_host_list(hosts),
            MembershipEvent::ConfigGeneration(generation) => self.raise_generation(generation),
            MembershipEvent::Announce(notice) => self.announce(now, &notice),
            MembershipEvent::LeaveRequested => self.start_leaving(),
            MembershipEvent::LeaveFinished => self.finish_leaving(now, actions),
        }
        self.publish_members(actions);
    }

    /// Returns when the next [`MembershipEvent::Tick`] is due. An event that comes much later shows
    /// that this process was paused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::membership::Membership;
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member};
    /// use sedgeridge_state::settings::MembershipSettings;
    ///
    /// let member = Member { host: HostId::from("entry-1"), incarnation: Incarnation(1) };
    /// let membership = Membership::new(member, MembershipSettings::default(), Vec::new(), 42);
    /// assert_eq!(membership.next_wake(), Duration::ZERO);
    /// ```
    pub fn next_wake(&self) -> Duration {
        let gossip = self
            .dissemination
            .is_pending()
            .then(|| self.next_gossip_at());
        let suspicion = self.table.next_suspicion_end();
        let timers = [gossip, suspicion, Some(self.prober.next_wake())];
        timers
            .into_iter()
            .flatten()
            .fold(self.next_sync_at.min(self.next_rejoin_at), Duration::min)
    }

    /// Returns the number of rejected messages and entries by reason.
    ///
    /// ```
    /// use sedgeridge_coordination::membership::{Membership, Rejection};
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member};
    /// use sedgeridge_state::settings::MembershipSettings;
    ///
    /// let member = Member { host: HostId::from("entry-1"), incarnation: Incarnation(1) };
    /// let membership = Membership::new(member, MembershipSettings::default(), Vec::new(), 42);
    /// assert_eq!(membership.rejections().count_of(Rejection::UnknownSender), 0);
    /// ```
    pub fn rejections(&self) -> &Rejections {
        &self.rejections
    }

    /// Returns the highest known configuration generation.
    ///
    /// ```
    /// use sedgeridge_coordination::membership::Membership;
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member};
    /// use sedgeridge_state::settings::MembershipSettings;
    ///
    /// let member = Member { host: HostId::from("entry-1"), incarnation: Incarnation(1) };
    /// let membership = Membership::new(member, MembershipSettings::default(), Vec::new(), 42);
    /// assert_eq!(membership.config_generation(), 0);
    /// ```
    pub fn config_generation(&self) -> u64 {
        self.config_generation
    }

    fn next_gossip_at(&self) -> Duration {
        let interval = millis(self.settings.gossip_interval_ms);
        self.last_gossip_at
            .map_or(Duration::ZERO, |at| at + interval)
    }

    fn apply_host_list(&mut self, hosts: Vec<ListedHost>) {
        self.admission.set_listed(hosts, &self.table);
        self.members_may_have_changed = true;
    }

    fn raise_generation(&mut self, generation: u64) {
        if generation > self.config_generation {
            self.config_generation = generation;
            self.dissemination.queue_generation();
        }
    }

    fn announce(&mut self, now: Duration, notice: &Notice) {
        match self
            .notices
            .merge(now, self.estimated_unix_us(now) / 1_000, notice)
        {
            Ok(true) => self.dissemination.queue_notice(notice.into()),
            Ok(false) => {}
            Err(reason) => self.rejections.record(reason),
        }
    }

    fn start_leaving(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.raise_own_version(self.own.refutations + 1);
        }
    }

    fn finish_leaving(&mut self, now: Duration, actions: &mut Vec<MembershipAction>) {
        self.own.health = Health::Left;
        for host in self.random_live_hosts(2 * self.settings.gossip_fanout as usize) {
            self.send(now, host, Body::Gossip, actions);
        }
        self.has_left = true;
    }

    /// Raises the version of the own record and queues it for dissemination.
    fn raise_own_version(&mut self, refutations: u64) {
        self.own.refutations = refutations;
        self.members_may_have_changed = true;
        self.dissemination.queue_update(Update {
            record: self.own.clone(),
            accuser: None,
        });
    }

    /// Merges an update about another host and queues it for dissemination if it is new.
    fn merge_update(&mut self, now: Duration, update: Update, source: Source) {
        let merge = self.table.merge(now, &update, source);
        if merge == MergeOutcome::Ignored {
            self.dissemination
                .record_received_update(&update, self.member_count());
            return;
        }
        self.members_may_have_changed = true;
        if update.record.is_live() {
            self.prober
                .schedule
                .insert(&update.record.member.host, &mut self.random);
        }
        if source == Source::Gossip {
            self.dissemination.queue_update(update);
        }
    }

    fn random_live_hosts(&mut self, count: usize) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self
            .table
            .live_records()
            .map(|r| r.member.host.clone())
            .collect();
        self.random.choose(&mut hosts, count);
        hosts
    }

    fn digest(&self) -> TableDigest {
        table_sync::digest(&self.own, &self.table, &self.notices)
    }

    fn request_sync(&mut self, now: Duration, to: HostId, actions: &mut Vec<MembershipAction>) {
        let digest = self.digest();
        self.send(now, to, Body::SyncRequest { digest }, actions);
    }

    fn send_all(&mut self, now: Duration, out: Vec<Outgoing>, actions: &mut Vec<MembershipAction>) {
        for Outgoing { to, body } in out {
            self.send(now, to, body, actions);
        }
    }

    fn send(&mut self, now: Duration, to: HostId, body: Body, actions: &mut Vec<MembershipAction>) {
        let message = self.build_message(now, &to, body);
        actions.push(MembershipAction::Send { to, message });
    }

    /// Builds a message with as many queued items as fit. A claim that the receiver should refute
    /// goes first.
    ///
    /// A host that was paused for longer than the suspicion lasts is considered dead by the fleet
    /// and no longer probed, but does not know it. When it resumes, it probes others, and each
    /// answer carries the claim, so that it refutes.
    fn build_message(&mut self, now: Duration, to: &HostId, body: Body) -> Message {
        let members = self.member_count();
        let accuser = Some(self.own.member.host.clone());
        let disputed = self.table.disputed_record(to);
        let mut updates: Vec<Update> = disputed
            .map(|record| Update { record, accuser })
            .into_iter()
            .collect();
        updates.extend(self.dissemination.take_updates(members));
        let keys = self.dissemination.take_notices(members);
        let notices = keys
            .iter()
            .filter_map(|key| self.notices.notice(now, key))
            .collect();
        self.dissemination.record_sent_generation(members);
        Message {
            from: self.own.clone(),
            config_generation: self.config_generation,
            updates,
            notices,
            body,
        }
    }

    fn publish_members(&mut self, actions: &mut Vec<MembershipAction>) {
        if !self.members_may_have_changed {
            return;
        }
        self.members_may_have_changed = false;
        let mut live: Vec<LiveMember> = self
            .table
            .live_records()
            .map(|r| self.live_member(r))
            .collect();
        let own = self.live_member(&self.own);
        let position = live.partition_point(|m| m.member < own.member);
        live.insert(position, own);
        if live != self.published {
            self.published.clone_from(&live);
            actions.push(MembershipAction::MembersChanged(live));
        }
    }

    fn member_count(&self) -> usize {
        self.table.live_count() + 1
    }

    fn live_member(&self, record: &MemberRecord) -> LiveMember {
        let leaving = record.leaving || self.admission.is_listed_leaving(record);
        let state = if leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        LiveMember {
            member: record.member.clone(),
            state,
        }
    }

    /// Estimates the wall clock from the incarnation, the wall-clock time of the start.
    fn estimated_unix_us(&self, now: Duration) -> u64 {
        let elapsed_us = now.as_micros() as u64;
        self.own.member.incarnation.0.saturating_add(elapsed_us)
    }
}
