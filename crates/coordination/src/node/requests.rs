//! Handles requests that may not be repeated, from arrival to the record of the outcome.

use std::time::Duration;

use sedgeridge_state::claim_record::RecordedAnswer;

use crate::claim_events::ClaimOutcome;
use crate::entry_events::Arrival;
use crate::entry_events::AttemptEnd;
use crate::entry_events::EntryEvent;
use crate::entry_events::GiveUp;
use crate::entry_events::RequestKey;
use crate::node::Node;
use crate::node::Outbox;
use crate::node_claims::ClaimKey;
use crate::node_claims::ClaimStep;
use crate::node_events::NodeAction;

impl Node {
    pub(super) fn handle_arrival(
        &mut self,
        now: Duration,
        arrival: Arrival,
        claim: Option<ClaimKey>,
        out: &mut Outbox,
    ) {
        let Some(claim) = claim else {
            let event = EntryEvent::Arrived(arrival);
            return self.entry.handle(now, event, &mut out.entry_actions);
        };
        if let Some(refusal) = self.entry.check_admission(now, &arrival) {
            out.entry_actions.push(refusal);
            return;
        }
        let mut steps = Vec::new();
        self.claims.claim(now, arrival, claim, &mut steps);
        self.handle_claim_steps(now, steps, out);
    }

    pub(super) fn handle_caller_gone(&mut self, now: Duration, key: RequestKey, out: &mut Outbox) {
        let mut steps = Vec::new();
        if !self.claims.give_up(now, key, &mut steps) {
            let outcome = if self.entry.may_have_run(key) {
                ClaimOutcome::Unknown
            } else {
                ClaimOutcome::NotRun
            };
            let event = EntryEvent::CallerGone { key };
            self.entry.handle(now, event, &mut out.entry_actions);
            if !self.entry.contains(key) {
                self.claims.record_outcome(now, key, outcome, &mut steps);
            }
        }
        self.handle_claim_steps(now, steps, out);
    }

    /// Records the outcome of a claimed request, unless another attempt follows.
    pub(super) fn record_outcome(
        &mut self,
        now: Duration,
        key: RequestKey,
        end: AttemptEnd,
        recorded: Option<RecordedAnswer>,
        out: &mut Outbox,
    ) {
        if !self.claims.is_claimed(key) || self.entry.contains(key) {
            return;
        }
        let outcome = match (end, recorded) {
            (AttemptEnd::Finished { .. }, Some(answer)) => ClaimOutcome::Ran(answer),
            (AttemptEnd::Finished { .. } | AttemptEnd::CallerGone { .. }, _) => {
                ClaimOutcome::Unknown
            }
            // The entry part gave the request up. `exchange_messages` records the outcome that the
            // caller was told.
            (AttemptEnd::Failed { .. }, _) => return,
        };
        let mut steps = Vec::new();
        self.claims.record_outcome(now, key, outcome, &mut steps);
        self.handle_claim_steps(now, steps, out);
    }

    pub(super) fn handle_claim_steps(
        &mut self,
        now: Duration,
        steps: Vec<ClaimStep>,
        out: &mut Outbox,
    ) {
        for step in steps {
            match step {
                ClaimStep::Queue(arrival) => {
                    let event = EntryEvent::Arrived(arrival);
                    self.entry.handle(now, event, &mut out.entry_actions);
                }
                ClaimStep::Replay { key, answer } => {
                    out.actions.push(NodeAction::Replay { key, answer });
                }
                ClaimStep::Refuse {
                    key,
                    reason,
                    outcome,
                    retry_after,
                } => out.actions.push(NodeAction::GiveUp(GiveUp {
                    key,
                    reason,
                    outcome,
                    retry_after,
                })),
                ClaimStep::Store(action) => out.actions.push(NodeAction::CallStore(action)),
            }
        }
    }
}
