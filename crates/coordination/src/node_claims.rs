//! Requests that may not be repeated, between their arrival and their claim, and until the outcome
//! is on record.

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

/// What a caller gives with a request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
    /// Hash of what is asked for.
    pub body_hash: BodyHash,
}

/// What becomes of a request that may not be repeated.
#[derive(Debug)]
pub(crate) enum ClaimStep {
    /// Its claim is in the table: it may be queued.
    Queue(Arrival),
    /// Its key has an answer on record.
    Replay {
        key: RequestKey,
        answer: RecordedAnswer,
    },
    /// It is refused.
    Refuse {
        key: RequestKey,
        reason: RefusalReason,
        outcome: Outcome,
        retry_after: Option<Duration>,
    },
    /// The table is to be called.
    Store(StoreAction),
}

/// Claims of one router, by the keys that the rest of the router uses.
#[derive(Debug)]
pub(crate) struct NodeClaims {
    member: Member,
    claims: Claims,
    claiming: BTreeMap<RequestId, Arrival>,
    claimed: BTreeMap<RequestKey, RequestId>,
}

impl NodeClaims {
    pub(crate) fn new(member: Member, seed: u64) -> Self {
        // The incarnation is the wall clock at the start of this run.
        let started_unix_ms = member.incarnation.0 / MICROS_PER_MILLI;
        Self {
            member,
            claims: Claims::new(ClaimSettings::default(), started_unix_ms, seed),
            claiming: BTreeMap::new(),
            claimed: BTreeMap::new(),
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
        // Callers choose request ids and may use one twice, so the claim goes by the key that this
        // run gave the request.
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
        self.claiming.insert(request, arrival);
        self.event(now, ClaimEvent::Claim(claim), steps);
    }

    /// Notes that the caller of a request went away, or that this router stops, before the claim
    /// was settled.
    pub(crate) fn give_up(
        &mut self,
        now: Duration,
        key: RequestKey,
        steps: &mut Vec<ClaimStep>,
    ) -> bool {
        let request = RequestId::from(key.0.to_string().as_str());
        let claiming = self.claiming.contains_key(&request);
        if claiming {
            self.event(now, ClaimEvent::GiveUp(request), steps);
        }
        claiming
    }

    /// Gives up every claim that is not settled.
    pub(crate) fn give_up_all(&mut self, now: Duration, steps: &mut Vec<ClaimStep>) {
        let requests: Vec<RequestId> = self.claiming.keys().cloned().collect();
        for request in requests {
            self.event(now, ClaimEvent::GiveUp(request), steps);
        }
    }

    /// Records how a request ended, if it was claimed.
    pub(crate) fn finished(
        &mut self,
        now: Duration,
        key: RequestKey,
        outcome: ClaimOutcome,
        steps: &mut Vec<ClaimStep>,
    ) {
        if let Some(request) = self.claimed.remove(&key) {
            self.event(now, ClaimEvent::Finished { request, outcome }, steps);
        }
    }

    /// Tells whether a request is claimed and has not ended.
    pub(crate) fn is_claimed(&self, key: RequestKey) -> bool {
        self.claimed.contains_key(&key)
    }

    pub(crate) fn members(&mut self, now: Duration, members: Vec<Member>) {
        let mut none = Vec::new();
        self.event(now, ClaimEvent::Members(members), &mut none);
    }

    pub(crate) fn store_ended(
        &mut self,
        now: Duration,
        event: StoreEvent,
        steps: &mut Vec<ClaimStep>,
    ) {
        self.event(now, ClaimEvent::Store(event), steps);
    }

    pub(crate) fn tick(&mut self, now: Duration, steps: &mut Vec<ClaimStep>) {
        if self.claims.next_wake().is_some_and(|at| at <= now) {
            self.event(now, ClaimEvent::Tick, steps);
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Duration> {
        self.claims.next_wake()
    }

    /// Tells whether every outcome is on record.
    pub(crate) fn is_settled(&self) -> bool {
        self.claims.is_settled()
    }

    fn event(&mut self, now: Duration, event: ClaimEvent, steps: &mut Vec<ClaimStep>) {
        let mut actions = Vec::new();
        self.claims.handle(now, event, &mut actions);
        for action in actions {
            steps.extend(self.step(action));
        }
    }

    fn step(&mut self, action: ClaimAction) -> Option<ClaimStep> {
        match action {
            ClaimAction::Dispatch(request) => {
                let arrival = self.claiming.remove(&request)?;
                self.claimed.insert(arrival.key, request);
                Some(ClaimStep::Queue(arrival))
            }
            ClaimAction::Replay { request, answer } => {
                let key = self.claiming.remove(&request)?.key;
                Some(ClaimStep::Replay { key, answer })
            }
            ClaimAction::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let key = self.claiming.remove(&request)?.key;
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

/// Microseconds in a millisecond.
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
