//! Every reason for which the fleet refuses or gives up a request.

use std::fmt;

/// Whether a request ran, as far as the fleet can truthfully tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It ran; the answer is the endpoint's.
    Ran,
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    ///
    /// ```
    /// use sedgeridge_coordination::refusal::Outcome;
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

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident => $label:literal, $status:literal, $come_back:literal;)*) => {
        /// Why a request was refused or given up.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// Every reason, in a fixed order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable name used in headers, logs and metrics.
            ///
            /// ```
            /// use sedgeridge_coordination::refusal::RefusalReason;
            /// assert_eq!(RefusalReason::QueueFull.as_str(), "queue_full");
            /// ```
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Returns the HTTP status of the answer.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Tells whether coming back later can help, so that `Retry-After` is given.
            pub fn worth_retrying(self) -> bool {
                match self { $(Self::$name => $come_back,)* }
            }
        }
    };
}

refusal_reasons! {
    /// No key, or one that belongs to no client account.
    Unauthorized => "unauthorized", 401, false;
    /// No service of that name.
    UnknownService => "unknown_service", 404, false;
    /// The request cannot be read.
    BadRequest => "bad_request", 400, false;
    /// The path is not served with this method.
    MethodNotAllowed => "method_not_allowed", 405, false;
    /// The body is larger than the limit.
    BodyTooLarge => "body_too_large", 413, false;
    /// The caller sent its body too slowly.
    BodyTimeout => "body_timeout", 408, false;
    /// A request that may not be repeated came without an idempotency key.
    KeyRequired => "key_required", 400, false;
    /// Too many requests wait in this router.
    QueueFull => "queue_full", 503, true;
    /// Too many requests of this account wait in this router.
    AccountQueueFull => "account_queue_full", 429, true;
    /// The account's rate ceiling is reached.
    RateLimited => "rate_limited", 429, true;
    /// The account's ceiling of requests in progress is reached.
    ConcurrencyLimited => "concurrency_limited", 429, true;
    /// The queue ahead is longer than the deadline allows.
    DeadlineUnreachable => "deadline_unreachable", 503, true;
    /// The deadline passed before a slot was free.
    DeadlinePassed => "deadline_passed", 504, true;
    /// The request crashed endpoints before.
    Quarantined => "quarantined", 422, false;
    /// No endpoint could be reached.
    NoEndpoint => "no_endpoint", 503, true;
    /// The router is stopping.
    Draining => "draining", 503, true;
    /// The router holds no configuration yet.
    NotReady => "not_ready", 503, true;
    /// The platform's table service cannot take the claim.
    StoreUnavailable => "store_unavailable", 503, true;
    /// The idempotency key was used with another body.
    KeyConflict => "key_conflict", 409, false;
    /// A request with this key is in progress.
    InProgress => "in_progress", 409, true;
    /// An earlier request with this key may have run.
    OutcomeUnknown => "outcome_unknown", 409, false;
    /// The endpoint's answer broke off.
    EndpointFailed => "endpoint_failed", 502, true;
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
