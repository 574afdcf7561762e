//! Tracks requests that may not be repeated, from the claim of their key until the outcome is
//! recorded.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::claim_record::BodyHash;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::RequestId;

use crate::claim_events::ClaimAction;
use crate::claim_events::ClaimEvent;
use crate::claim_events::ClaimOutcome;
use crate::claim_events::ClaimRefusal;
use crate::claim_events::ClaimRequest;
use crate::claim_events::ClaimSettings;
use crate::claims::Claims;
use crate::entry_events::Arrival;
use crate::entry_events::RequestKey;
use crate::refusal::Outcome;
use crate::refusal::RefusalReason;
use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

/// Idempotency key and body hash of a request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
    /// Hash of the request body.
    pub body_hash: BodyHash,
}

/// Next step for a request that may not be repeated.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// The claim is in the table: the request may be queued.
    Queue(Arrival),
    /// The key has a recorded answer.
    Replay {
        key: RequestKey,
        answer: RecordedAnswer,
    },
    /// The request is refused.
    Refuse {
        key: RequestKey,
        reason: RefusalReason,
        outcome: Outcome,
        retry_after: Option<Duration>,
    },
    /// The table service is to be called.
    Store(StoreAction),
}

/// Claims of one router, by the request keys that its other parts use.
#[derive(Debug)]
pub(crate) struct NodeClaims {
    member: Member,
    claims: Claims,
    pending_claims: BTreeMap<RequestId, Arrival>,
    claimed_requests: BTreeMap<RequestKey, RequestId>,
}

impl NodeClaims {
    pub(crate) fn new(member: Member, seed: u64) -> Self {
        // The incarnation is the wall-clock time of the start of this run.
        let started_unix_ms = member.incarnation.0 / MICROS_PER_MILLI;
        Self {
            member,
            claims: Claims::new(ClaimSettings::default(), started_unix_ms, seed),
            pending_claims: BTreeMap::new(),
            claimed_requests: BTreeMap::new(),
        }
    }

    /// Claims the key of a request before it is queued.
    pub(crate) fn claim(
        &mut self,
        now: Duration,
        arrival: Arrival,
        key: ClaimKey,
        steps: &mut Vec<ClaimStep>,
    ) {
        // Callers choose request ids and may use one twice, so the claim is identified by the key
        // that this run gave the request.
        let request = RequestId::from(arrival.key.0.to_string().as_str());
        let claim = ClaimRequest {
            request: request.clone(),
            account: arrival.account.clone(),
            idempotency_key: key.idempotency_key,
            body_hash: key.body_hash,
            attempt: AttemptId {
                member: self.member.clone(),
                sequence: arrival.key.0,
            },
        };
        self.pending_claims.insert(request, arrival);
        self.handle_event(now, ClaimEvent::Claim(claim), steps);
    }

    /// Gives up the claim of a request if it is not settled yet, because the caller went away or
    /// the router stops. Returns whether there was such a claim.
    pub(crate) fn give_up(
        &mut self,
        now: Duration,
        key: RequestKey,
        steps: &mut Vec<ClaimStep>,
    ) -> bool {
        let request = RequestId::from(key.0.to_string().as_str());
        let is_pending = self.pending_claims.contains_key(&request);
        if is_pending {
            self.handle_event(now, ClaimEvent::GiveUp(request), steps);
        }
        is_pending
    }

    /// Gives up every claim that is not settled.
    pub(crate) fn give_up_all(&mut self, now: Duration, steps: &mut Vec<ClaimStep>) {
        let requests: Vec<RequestId> = self.pending_claims.keys().cloned().collect();
        for request in requests {
            self.handle_event(now, ClaimEvent::GiveUp(request), steps);
        }
    }

    /// Records how a request ended, if it was claimed.
    pub(crate) fn record_outcome(
        &mut self,
        now: Duration,
        key: RequestKey,
        outcome: ClaimOutcome,
        steps: &mut Vec<ClaimStep>,
    ) {
        if let Some(request) = self.claimed_requests.remove(&key) {
            self.handle_event(now, ClaimEvent::Finished { request, outcome }, steps);
        }
    }

    /// Whether a request is claimed and has not ended.
    pub(crate) fn is_claimed(&self, key: RequestKey) -> bool {
        self.claimed_requests.contains_key(&key)
    }

    pub(crate) fn set_members(&mut self, now: Duration, members: Vec<Member>) {
        let mut no_steps = Vec::new();
        self.handle_event(now, ClaimEvent::Members(members), &mut no_steps);
    }

    pub(crate) fn handle_store_event(
        &mut self,
        now: Duration,
        event: StoreEvent,
        steps: &mut Vec<ClaimStep>,
    ) {
        self.handle_event(now, ClaimEvent::Store(event), steps);
    }

    pub(crate) fn tick(&mut self, now: Duration, steps: &mut Vec<ClaimStep>) {
        if self.claims.next_wake().is_some_and(|at| at <= now) {
            self.handle_event(now, ClaimEvent::Tick, steps);
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.claims.next_wake()
    }

    /// Whether all outcomes are recorded.
    pub(crate) fn is_settled(&self) -> bool {
        self.claims.is_settled()
    }

    fn handle_event(&mut self, now: Duration, event: ClaimEvent, steps: &mut Vec<ClaimStep>) {
        let mut actions = Vec::new();
        self.claims.handle(now, event, &mut actions);
        for action in actions {
            steps.extend(self.claim_step(action));
        }
    }

    fn claim_step(&mut self, action: ClaimAction) -> Option<ClaimStep> {
        match action {
            ClaimAction::Dispatch(request) => {
                let arrival = self.pending_claims.remove(&request)?;
                self.claimed_requests.insert(arrival.key, request);
                Some(ClaimStep::Queue(arrival))
            }
            ClaimAction::Replay { request, answer } => {
                let key = self.pending_claims.remove(&request)?.key;
                Some(ClaimStep::Replay { key, answer })
            }
            ClaimAction::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let key = self.pending_claims.remove(&request)?.key;
                let outcome = if reason.is_not_run() {
                    Outcome::NotRun
                } else {
                    Outcome::Unknown
                };
                Some(ClaimStep::Refuse {
                    key,
                    reason: refusal_reason(reason),
                    outcome,
                    retry_after,
                })
            }
            ClaimAction::Store(action) => Some(ClaimStep::Store(action)),
        }
    }
}

const MICROS_PER_MILLI: u64 = 1_000;

fn refusal_reason(refusal: ClaimRefusal) -> RefusalReason {
    match refusal {
        ClaimRefusal::StoreUnavailable | ClaimRefusal::StoreTimeout | ClaimRefusal::Overloaded => {
            RefusalReason::StoreUnavailable
        }
        ClaimRefusal::GivenUp => RefusalReason::Draining,
        ClaimRefusal::KeyReused => RefusalReason::KeyConflict,
        ClaimRefusal::InProgress => RefusalReason::InProgress,
        ClaimRefusal::EarlierOutcomeUnknown => RefusalReason::OutcomeUnknown,
    }
}
