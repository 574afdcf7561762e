//! Reasons for which a caller gets something other than a whole answer.
//!
//! A refusal is a final answer. It says whether the request ran, and whether a retry may succeed.
//! The names are stable, since metric labels and the reason header contain them.

use std::fmt;

/// Whether a request ran, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// The request ran to its end.
    Ran,
    /// No endpoint started the request.
    NotRun,
    /// The request may have run, in part or completely.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    ///
    /// ```
    /// use sedgeridge_coordination::refusal::Outcome;
    ///
    /// assert_eq!(Outcome::NotRun.as_str(), "not-run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Properties of a refusal that its caller sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RefusalProperties {
    name: &'static str,
    status: u16,
    outcome: Outcome,
    offers_retry_after: bool,
}

const fn not_run(name: &'static str, status: u16) -> RefusalProperties {
    RefusalProperties {
        name,
        status,
        outcome: Outcome::NotRun,
        offers_retry_after: false,
    }
}

const fn not_run_retryable(name: &'static str, status: u16) -> RefusalProperties {
    RefusalProperties {
        offers_retry_after: true,
        ..not_run(name, status)
    }
}

const fn unknown(name: &'static str, status: u16) -> RefusalProperties {
    RefusalProperties {
        outcome: Outcome::Unknown,
        ..not_run(name, status)
    }
}

const fn unknown_retryable(name: &'static str, status: u16) -> RefusalProperties {
    RefusalProperties {
        offers_retry_after: true,
        ..unknown(name, status)
    }
}

/// Reason for which a request got no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The key is missing or names no client account.
    Unauthorized,
    /// No service has the requested name.
    UnknownService,
    /// The path is not served with this method.
    MethodNotAllowed,
    /// The request does not parse, or a header has a wrong value.
    BadRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The head or body did not arrive in time.
    HeaderTimeout,
    /// The router has reached its limit of caller connections.
    TooManyConnections,
    /// The router's queue is full.
    QueueFull,
    /// The client account's share of the router's queue is full.
    AccountQueueFull,
    /// The client account exceeds its limit of requests started per second.
    RateLimited,
    /// The client account has reached its limit of requests in progress.
    ConcurrencyLimited,
    /// The estimated wait ends after the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The deadline passed while an endpoint worked on the request.
    DeadlinePassedRunning,
    /// The request crashed too many endpoints.
    Quarantined,
    /// No endpoint of the pool can take work.
    NoEndpoint,
    /// Every endpoint tried refused the request before starting it.
    EndpointRefused,
    /// The router is stopping.
    Draining,
    /// The router has no configuration yet.
    NotReady,
    /// The table service cannot record the claim that a non-repeatable request needs.
    StoreUnavailable,
    /// A non-repeatable request came without an idempotency key.
    KeyMissing,
    /// The idempotency key was used before with another body.
    KeyConflict,
    /// The request with this idempotency key is still running.
    InProgress,
    /// A non-repeatable request may or may not have run.
    OutcomeUnknown,
    /// The endpoint failed after it received the request, and no retry was allowed.
    EndpointFailed,
    /// The answer ended early, after part of it had been passed on.
    AnswerIncomplete,
}

impl RefusalReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 26] = [
        Self::Unauthorized,
        Self::UnknownService,
        Self::MethodNotAllowed,
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::HeaderTimeout,
        Self::TooManyConnections,
        Self::QueueFull,
        Self::AccountQueueFull,
        Self::RateLimited,
        Self::ConcurrencyLimited,
        Self::DeadlineUnreachable,
        Self::DeadlinePassed,
        Self::DeadlinePassedRunning,
        Self::Quarantined,
        Self::NoEndpoint,
        Self::EndpointRefused,
        Self::Draining,
        Self::NotReady,
        Self::StoreUnavailable,
        Self::KeyMissing,
        Self::KeyConflict,
        Self::InProgress,
        Self::OutcomeUnknown,
        Self::EndpointFailed,
        Self::AnswerIncomplete,
    ];

    const fn properties(self) -> RefusalProperties {
        match self {
            Self::Unauthorized => not_run("unauthorized", 401),
            Self::UnknownService => not_run("unknown_service", 404),
            Self::MethodNotAllowed => not_run("method_not_allowed", 405),
            Self::BadRequest => not_run("bad_request", 400),
            Self::BodyTooLarge => not_run("body_too_large", 413),
            Self::HeaderTimeout => not_run("header_timeout", 408),
            Self::TooManyConnections => not_run_retryable("too_many_connections", 503),
            Self::QueueFull => not_run_retryable("queue_full", 503),
            Self::AccountQueueFull => not_run_retryable("account_queue_full", 429),
            Self::RateLimited => not_run_retryable("rate_limited", 429),
            Self::ConcurrencyLimited => not_run_retryable("concurrency_limited", 429),
            Self::DeadlineUnreachable => not_run_retryable("deadline_unreachable", 503),
            Self::DeadlinePassed => not_run_retryable("deadline_passed", 504),
            Self::DeadlinePassedRunning => unknown_retryable("deadline_passed_running", 504),
            Self::Quarantined => not_run("quarantined", 422),
            Self::NoEndpoint => not_run_retryable("no_endpoint", 503),
            Self::EndpointRefused => not_run_retryable("endpoint_refused", 503),
            Self::Draining => not_run_retryable("draining", 503),
            Self::NotReady => not_run_retryable("not_ready", 503),
            Self::StoreUnavailable => not_run_retryable("store_unavailable", 503),
            Self::KeyMissing => not_run("key_missing", 400),
            Self::KeyConflict => not_run("key_conflict", 422),
            Self::InProgress => unknown_retryable("in_progress", 409),
            Self::OutcomeUnknown => unknown("outcome_unknown", 502),
            Self::EndpointFailed => unknown_retryable("endpoint_failed", 502),
            Self::AnswerIncomplete => unknown_retryable("answer_incomplete", 502),
        }
    }

    /// Returns the stable name, used in metric labels and the reason header.
    ///
    /// ```
    /// use sedgeridge_coordination::refusal::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::QueueFull.as_str(), "queue_full");
    /// ```
    pub fn as_str(self) -> &'static str {
        self.properties().name
    }

    /// Returns the HTTP status.
    ///
    /// ```
    /// use sedgeridge_coordination::refusal::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::RateLimited.status(), 429);
    /// ```
    pub fn status(self) -> u16 {
        self.properties().status
    }

    /// Returns the outcome of a refused request that was never attempted. After an attempt that may
    /// have run, the answer says "unknown" for every reason.
    ///
    /// ```
    /// use sedgeridge_coordination::refusal::{Outcome, RefusalReason};
    ///
    /// assert_eq!(RefusalReason::QueueFull.outcome(), Outcome::NotRun);
    /// ```
    pub fn outcome(self) -> Outcome {
        self.properties().outcome
    }

    /// Tells whether the answer has a `Retry-After` header, as the same request may succeed later.
    ///
    /// ```
    /// use sedgeridge_coordination::refusal::RefusalReason;
    ///
    /// assert!(RefusalReason::QueueFull.offers_retry_after());
    /// assert!(!RefusalReason::BadRequest.offers_retry_after());
    /// ```
    pub fn offers_retry_after(self) -> bool {
        self.properties().offers_retry_after
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
