//! What goes into and comes out of [`crate::claims::Claims`].

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

/// Limits of the claims of one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Longest time a claim waits for others to share its transaction.
    pub claim_linger_ms: u64,
    /// Longest time an outcome waits for a transaction to ride in.
    pub outcome_linger_ms: u64,
    /// Most rows of one transaction.
    pub max_batch_entries: usize,
    /// Most transactions under way at once.
    pub max_transactions_in_flight: usize,
    /// Time a claim waits behind a transaction under way before it gets one of its own.
    pub overlap_delay_ms: u64,
    /// Time after which an unsettled claim is refused.
    pub claim_timeout_ms: u64,
    /// First pause after a failed call; it doubles and is jittered.
    pub base_backoff_ms: u64,
    /// Longest pause after failed calls.
    pub max_backoff_ms: u64,
    /// Largest answer body kept in the table.
    pub max_answer_bytes: usize,
    /// Most claims and outcomes held in memory.
    pub max_entries: usize,
    /// Time a row is kept.
    pub retention_ms: u64,
    /// What a caller is asked to wait while its request is in progress elsewhere.
    pub in_progress_retry_ms: u64,
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
            in_progress_retry_ms: 1_000,
        }
    }
}

/// What happens to the claims of one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A request that may not be repeated is to run.
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
    /// The members believed alive changed. Asks for no action, whatever is due.
    Members(Vec<Member>),
    /// A store call ended.
    Store(StoreEvent),
    /// Time passed.
    Tick,
}

/// A request that may not be repeated.
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
    /// The attempt that would run it; never used for another claim.
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

/// What the claims want done.
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
        /// What the caller is asked to wait, if a repeat can help.
        retry_after: Option<Duration>,
    },
    /// Call the table.
    Store(StoreAction),
}

/// Why a claim was refused.
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
    /// Another attempt with the key is under way: unknown until it ends.
    InProgress,
    /// An earlier attempt with the key may have run: unknown.
    EarlierOutcomeUnknown,
}

impl ClaimRefusal {
    /// Tells whether the caller may be told that its request did not run.
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
