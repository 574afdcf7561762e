//! Handles received messages.

use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;

use super::Membership;
use super::MembershipAction;
use super::admission::Admission;
use super::member_table::Source;
use super::messages::Body;
use super::messages::Health;
use super::messages::MemberRecord;
use super::messages::Message;
use super::messages::Notice;
use super::messages::TableDigest;
use super::messages::Update;
use super::rejections::Rejection;
use super::table_sync;

/// Minimum time between two tables sent in answer to digests. Each makes the receiver send its own
/// table: without the minimum, every host that finds a restarted one sends it a table in the same
/// second.
const MIN_TABLE_INTERVAL: Duration = Duration::from_millis(200);

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Duration,
        message: Message,
        actions: &mut Vec<MembershipAction>,
    ) {
        let unix_us = self.estimated_unix_us(now);
        if let Err(reason) = self.admission.check_message(&message, &self.table, unix_us) {
            self.reject(now, reason, &message, actions);
            return;
        }
        let sender = message.from.member.host.clone();
        self.handle_generation(message.config_generation, &sender, actions);
        let from = Update {
            record: message.from,
            accuser: None,
        };
        self.merge_update(now, from, Source::Gossip);
        for update in message.updates {
            self.handle_update(now, update, Source::Gossip, actions);
        }
        for notice in message.notices {
            self.handle_notice(now, notice, actions);
        }
        self.handle_body(now, &sender, message.body, actions);
    }

    /// Counts a rejected message. A sender whose host is known under a higher incarnation is told,
    /// as it would otherwise keep sending to a fleet that ignores it.
    fn reject(
        &mut self,
        now: Duration,
        reason: Rejection,
        message: &Message,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.rejections.record(reason);
        if reason != Rejection::StaleIncarnation {
            return;
        }
        let sender = &message.from.member.host;
        if let Some(incarnation) = self.table.incarnation(sender) {
            self.send(
                now,
                sender.clone(),
                Body::Outranked { incarnation },
                actions,
            );
        }
    }

    fn handle_generation(
        &mut self,
        generation: u64,
        sender: &HostId,
        actions: &mut Vec<MembershipAction>,
    ) {
        if generation <= self.config_generation {
            if generation == self.config_generation {
                self.dissemination
                    .record_received_generation(self.member_count());
            }
            return;
        }
        self.raise_generation(generation);
        actions.push(MembershipAction::GenerationSeen {
            generation,
            from: sender.clone(),
        });
    }

    fn handle_update(
        &mut self,
        now: Duration,
        update: Update,
        source: Source,
        actions: &mut Vec<MembershipAction>,
    ) {
        let unix_us = self.estimated_unix_us(now);
        let checked = self
            .admission
            .check_record(&update.record, &self.table, unix_us);
        if let Err(reason) = checked {
            self.rejections.record(reason);
            return;
        }
        if update.record.member.host == self.own.member.host {
            self.refute_claim(&update.record, actions);
        } else {
            self.merge_update(now, update, source);
        }
    }

    /// Refutes a false claim about this host.
    fn refute_claim(&mut self, claim: &MemberRecord, actions: &mut Vec<MembershipAction>) {
        if claim.member.incarnation != self.own.member.incarnation {
            self.handle_outranked(claim.member.incarnation, actions);
            return;
        }
        let is_older = claim.refutations < self.own.refutations;
        let is_true = claim.refutations == self.own.refutations && claim.health == Health::Alive;
        if is_older || is_true {
            return;
        }
        self.prober.raise_health_score();
        self.raise_own_version(claim.refutations + 1);
    }

    fn handle_outranked(&mut self, incarnation: Incarnation, actions: &mut Vec<MembershipAction>) {
        if incarnation > self.own.member.incarnation {
            actions.push(MembershipAction::Outranked { incarnation });
        }
    }

    fn handle_notice(
        &mut self,
        now: Duration,
        notice: Notice,
        actions: &mut Vec<MembershipAction>,
    ) {
        match self
            .notices
            .merge(now, self.estimated_unix_us(now) / 1_000, &notice)
        {
            Ok(false) => self
                .dissemination
                .record_received_notice(&(&notice).into(), self.member_count()),
            Ok(true) => {
                self.dissemination.queue_notice((&notice).into());
                actions.push(MembershipAction::NoticeReceived(notice));
            }
            Err(reason) => self.rejections.record(reason),
        }
    }

    fn handle_body(
        &mut self,
        now: Duration,
        sender: &HostId,
        body: Body,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut out = Vec::new();
        match body {
            Body::Probe { sequence } => {
                self.send(now, sender.clone(), Body::ProbeAck { sequence }, actions);
            }
            Body::ProbeAck { sequence } => self.prober.handle_ack(sequence, &mut out),
            Body::IndirectProbe { sequence, target } => {
                self.prober
                    .relay_probe(now, sender.clone(), sequence, target, &mut out);
            }
            Body::ProbeNack { sequence } => self.prober.handle_nack(sequence),
            Body::Gossip => {}
            Body::SyncRequest { digest } => self.answer_sync(now, sender, &digest, actions),
            Body::SyncTable {
                records,
                answer_wanted,
            } => self.handle_table(now, sender, records, answer_wanted, actions),
            Body::Outranked { incarnation } => self.handle_outranked(incarnation, actions),
        }
        self.send_all(now, out, actions);
    }

    fn answer_sync(
        &mut self,
        now: Duration,
        sender: &HostId,
        theirs: &TableDigest,
        actions: &mut Vec<MembershipAction>,
    ) {
        let ours = self.digest();
        if ours == *theirs {
            return;
        }
        if now < self.next_table_send_at {
            self.rejections.record(Rejection::SyncTooOften);
            return;
        }
        self.next_table_send_at = now + MIN_TABLE_INTERVAL;
        let with_notices = ours.notices != theirs.notices;
        let body = Body::SyncTable {
            records: table_sync::differing(&self.table, &ours, theirs),
            answer_wanted: Some(ours),
        };
        self.send_table(now, sender, body, with_notices, actions);
    }

    fn handle_table(
        &mut self,
        now: Duration,
        sender: &HostId,
        records: Vec<MemberRecord>,
        answer_wanted: Option<TableDigest>,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Err(reason) = Admission::check_table(&records) {
            self.rejections.record(reason);
            return;
        }
        let answer = answer_wanted.map(|theirs| {
            let ours = self.digest();
            let differing = table_sync::differing(&self.table, &ours, &theirs);
            let newer = table_sync::newer_than(differing, &records);
            (newer, ours.notices != theirs.notices)
        });
        for record in records {
            let accuser = (record.health == Health::Suspect).then(|| sender.clone());
            self.handle_update(now, Update { record, accuser }, Source::TableSync, actions);
        }
        if let Some((records, notices_differ)) = answer {
            let body = Body::SyncTable {
                records,
                answer_wanted: None,
            };
            self.send_table(now, sender, body, notices_differ, actions);
        }
    }

    fn send_table(
        &mut self,
        now: Duration,
        to: &HostId,
        body: Body,
        with_notices: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut message = self.build_message(now, to, body);
        if with_notices {
            message.notices = self.notices.notices_in_force(now);
        }
        let to = to.clone();
        actions.push(MembershipAction::Send { to, message });
    }
}
