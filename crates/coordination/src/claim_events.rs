//! Settings, events and actions of [`crate::claims::Claims`].

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::claim_record::BodyHash;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::RequestId;

use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

/// Settings of the claims of one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Longest time for which a claim waits for others to share its transaction.
    pub claim_linger_ms: u64,
    /// Longest time for which an outcome waits to join a transaction.
    pub outcome_linger_ms: u64,
    /// Largest number of claims and outcomes in one transaction.
    pub max_batch_entries: usize,
    /// Largest number of transactions in flight at once.
    pub max_transactions_in_flight: usize,
    /// Time for which a claim that is due waits behind a transaction in flight before another
    /// transaction is sent.
    pub overlap_delay_ms: u64,
    /// Time after which an unsettled claim is refused.
    pub claim_timeout_ms: u64,
    /// First pause after a failed call; it doubles with each failure and has jitter.
    pub base_backoff_ms: u64,
    /// Longest pause after failed calls.
    pub max_backoff_ms: u64,
    /// Largest answer body kept in the table.
    pub max_answer_bytes: usize,
    /// Largest number of claims and outcomes held in memory.
    pub max_entries: usize,
    /// Time for which a row is kept.
    pub retention_ms: u64,
    /// Minimum time that a caller is asked to wait before it repeats a refused request.
    pub min_retry_after_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            claim_linger_ms: 20,
            outcome_linger_ms: 100,
            max_batch_entries: 128,
            max_transactions_in_flight: 4,
            overlap_delay_ms: 20,
            claim_timeout_ms: 1_000,
            base_backoff_ms: 100,
            max_backoff_ms: 5_000,
            max_answer_bytes: 16 << 10,
            max_entries: 1_024,
            retention_ms: 24 * 60 * 60 * 1_000,
            min_retry_after_ms: 1_000,
        }
    }
}

/// Input of the claims of one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A request that must not be repeated is to run.
    Claim(ClaimRequest),
    /// The router no longer wants to dispatch a request: its caller left or its deadline passed.
    GiveUp(RequestId),
    /// A dispatched request ended.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// The members believed alive changed. This event causes no action, even if one is due.
    Members(Vec<Member>),
    /// A call to the table service ended.
    Store(StoreEvent),
    /// Time passed.
    Tick,
}

/// A request that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The request.
    pub request: RequestId,
    /// Its client account.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub idempotency_key: Arc<str>,
    /// Hash of its body.
    pub body_hash: BodyHash,
    /// The attempt that is to run it; never used for another claim.
    pub attempt: AttemptId,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It ran.
    Ran(RecordedAnswer),
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Output of the claims.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Send the request to an endpoint, once; its claim is in the table.
    Dispatch(RequestId),
    /// Give the caller the answer recorded for its key.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer of the earlier run.
        answer: RecordedAnswer,
    },
    /// Refuse the request; this attempt is not dispatched.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: ClaimRefusal,
        /// Time that the caller is asked to wait, if a repeat can help.
        retry_after: Option<Duration>,
    },
    /// Call the table service.
    Store(StoreAction),
}

/// Reason why a claim was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimRefusal {
    /// The table cannot be reached: not run.
    StoreUnavailable,
    /// The table did not settle the claim in time: not run.
    StoreTimeout,
    /// The router holds too many claims: not run.
    Overloaded,
    /// The router gave the request up before dispatch: not run.
    GivenUp,
    /// The key was used with another body: this body was not run.
    KeyReused,
    /// Another attempt with the key is in progress: unknown until it ends.
    InProgress,
    /// An earlier attempt with the key may have run: unknown.
    EarlierOutcomeUnknown,
}

impl ClaimRefusal {
    /// Returns whether the caller may be told that its request did not run.
    ///
    /// ```
    /// use sedgeridge_coordination::claim_events::ClaimRefusal;
    ///
    /// assert!(ClaimRefusal::StoreUnavailable.is_not_run());
    /// assert!(!ClaimRefusal::InProgress.is_not_run());
    /// ```
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::InProgress | Self::EarlierOutcomeUnknown)
    }
}
