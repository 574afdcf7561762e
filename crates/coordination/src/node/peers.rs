//! Messages between the parts of this router, and with other routers.

use std::time::Duration;

use sedgeridge_state::ids::Member;

use crate::claim_events::ClaimOutcome;
use crate::entry_events::EntryAction;
use crate::entry_events::EntryEvent;
use crate::entry_pool::Urgency;
use crate::membership::MembershipEvent;
use crate::membership::Notice;
use crate::node::MAX_LOCAL_ROUNDS;
use crate::node::Node;
use crate::node::Outbox;
use crate::node_events::NodeAction;
use crate::node_events::PeerMessage;
use crate::poison_notice::PoisonEvent;
use crate::poison_notice::PoisonNotice;
use crate::pool_home::HomeEvent;
use crate::refusal::Outcome;

impl Node {
    pub(super) fn handle_peer_message(
        &mut self,
        now: Duration,
        from: &Member,
        message: PeerMessage,
        out: &mut Outbox,
    ) {
        match message {
            PeerMessage::Report(report) => {
                let pool = report.pool.clone();
                self.handle_home_event(now, &pool, HomeEvent::Report(report), out);
            }
            // A grant is valid only from the home that it names.
            PeerMessage::Grant(grant) if grant.id.home == *from => {
                self.entry
                    .handle(now, EntryEvent::Granted(grant), &mut out.entry_actions);
            }
            PeerMessage::Grant(_) => {}
            PeerMessage::FullReportWanted { pool } => {
                let event = EntryEvent::FullReportWanted { pool };
                self.entry.handle(now, event, &mut out.entry_actions);
            }
            PeerMessage::Config(message) => {
                self.update_config(now, out, |config, steps| {
                    config.handle_peer_message(now, from, message, steps);
                });
            }
            PeerMessage::Poison(notice) => {
                let event = EntryEvent::Poison(notice);
                self.entry.handle(now, event, &mut out.entry_actions);
            }
        }
    }

    /// Passes reports and grants between the parts of this router until none is left.
    ///
    /// Reports to a home on this router are delivered at once. Reports to other routers are sent
    /// when they are due.
    pub(super) fn exchange_messages(&mut self, now: Duration, out: &mut Outbox) {
        for _ in 0..MAX_LOCAL_ROUNDS {
            let own = &self.member;
            self.entry
                .report(Urgency::Lazy, |home, _| home == own, &mut out.entry_actions);
            if out.entry_actions.is_empty() {
                break;
            }
            for action in std::mem::take(&mut out.entry_actions) {
                self.handle_entry_action(now, action, out);
            }
        }
        self.report_to_others(now, out);
    }

    pub(super) fn report_to_others(&mut self, now: Duration, out: &mut Outbox) {
        let urgency = self.entry.urgency(&self.member);
        self.report_schedule.note_urgency(now, urgency);
        let Some(min_urgency) = self.report_schedule.due_urgency(now, urgency) else {
            return;
        };
        let own = &self.member;
        let mut reports = Vec::new();
        let is_due = |home: &Member, urgency| home != own && urgency >= min_urgency;
        self.entry.report(min_urgency, is_due, &mut reports);
        self.report_schedule.record_sent(now, min_urgency);
        for report in reports {
            self.handle_entry_action(now, report, out);
        }
    }

    pub(super) fn handle_entry_action(
        &mut self,
        now: Duration,
        action: EntryAction,
        out: &mut Outbox,
    ) {
        match action {
            EntryAction::Report { to, report } if to == self.member => {
                let pool = report.pool.clone();
                self.handle_home_event(now, &pool, HomeEvent::Report(report), out);
            }
            EntryAction::Report { to, report } => {
                let message = PeerMessage::Report(report);
                out.actions.push(NodeAction::Send { to, message });
            }
            EntryAction::Announce(PoisonNotice {
                fingerprint,
                event: PoisonEvent::Quarantined { remaining },
            }) => {
                // A quarantine must also reach routers that start later, so it is sent as a
                // membership notice, which members keep and compare.
                let event = MembershipEvent::Announce(Notice::Quarantine {
                    fingerprint,
                    expires_in_ms: remaining.as_millis() as u64,
                });
                self.handle_membership_event(now, event, out);
            }
            EntryAction::Announce(notice) => {
                let others = self.live_members.iter().filter(|m| m.member != self.member);
                out.actions.extend(others.map(|other| NodeAction::Send {
                    to: other.member.clone(),
                    message: PeerMessage::Poison(notice.clone()),
                }));
            }
            EntryAction::Start(start) => out.actions.push(NodeAction::StartAttempt(start)),
            EntryAction::Retried { key, reason } => {
                out.actions.push(NodeAction::RequestRetried { key, reason });
            }
            EntryAction::GiveUp(give_up) => {
                let outcome = match give_up.outcome {
                    Outcome::NotRun => ClaimOutcome::NotRun,
                    Outcome::Ran | Outcome::Unknown => ClaimOutcome::Unknown,
                };
                let key = give_up.key;
                out.actions.push(NodeAction::GiveUp(give_up));
                let mut steps = Vec::new();
                self.claims.record_outcome(now, key, outcome, &mut steps);
                self.handle_claim_steps(now, steps, out);
            }
        }
    }
}
