//! Events and actions of [`crate::entry::Entry`].

use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::RequestClass;

use crate::breaker::FailureKind;
use crate::poison_notice::PoisonNotice;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;
use crate::pool_messages::PrefixHash;
use crate::refusal::Outcome;
use crate::refusal::RefusalReason;
use crate::retry_budget::RetryReason;

/// Identifies a request within one router run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// Identifies an attempt within one router run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u64);

/// A request that a caller sent to this router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Key of the request.
    pub key: RequestKey,
    /// The client account.
    pub account: AccountId,
    /// Pool that runs the request.
    pub pool: PoolId,
    /// Priority class within the account.
    pub class: RequestClass,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Rough estimate of the cost.
    pub hint_tokens: u64,
    /// Prefix of the prompt.
    pub prefix: Option<PrefixHash>,
    /// Hash that is equal for equal requests of one account.
    pub fingerprint: Fingerprint,
    /// Time since the process started by which the answer must be complete.
    pub deadline: Duration,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be opened, so no byte of the request was sent.
    ConnectFailed,
    /// The endpoint refused the request before starting it.
    NotStarted,
    /// The endpoint answered with a server error.
    ServerError,
    /// The connection was lost.
    ConnectionLost,
    /// The connection was lost, and the endpoint refuses new ones.
    Crashed,
    /// No more data of the answer arrived on an open connection.
    Silent,
    /// The deadline passed.
    DeadlinePassed,
    /// The answer belongs to another attempt.
    AnswerCrossed,
}

impl AttemptFailure {
    /// Returns the reason of a retry after this failure; none follows a passed deadline.
    pub(crate) fn retry_reason(self) -> Option<RetryReason> {
        match self {
            Self::ConnectFailed => Some(RetryReason::ConnectFailed),
            Self::NotStarted => Some(RetryReason::NotStarted),
            Self::ServerError => Some(RetryReason::ServerError),
            Self::ConnectionLost | Self::Crashed => Some(RetryReason::ConnectionLost),
            Self::Silent => Some(RetryReason::StreamSilent),
            Self::AnswerCrossed => Some(RetryReason::AnswerCrossed),
            Self::DeadlinePassed => None,
        }
    }

    /// Returns the failure to record for the health of the endpoint, if any.
    pub(crate) fn endpoint_failure(self) -> Option<FailureKind> {
        match self {
            Self::ConnectFailed => Some(FailureKind::ConnectFailed),
            Self::ServerError | Self::AnswerCrossed => Some(FailureKind::ServerError),
            Self::ConnectionLost | Self::Crashed => Some(FailureKind::ConnectionLost),
            Self::Silent => Some(FailureKind::Silent),
            Self::NotStarted | Self::DeadlinePassed => None,
        }
    }

    /// Tells whether the request may have run in the attempt.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::NotStarted)
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer went to the caller.
    Finished {
        /// Service received.
        charged_tokens: u64,
        /// Time until the first byte of the answer.
        first_byte: Duration,
    },
    /// The attempt failed.
    Failed {
        /// Kind of the failure.
        failure: AttemptFailure,
        /// Output tokens that went to the caller over all attempts.
        sent_tokens: u64,
        /// Service received in this attempt.
        charged_tokens: u64,
        /// Whether the head of the answer went to the caller, in this attempt or an earlier one.
        head_sent: bool,
    },
    /// The caller disconnected.
    CallerGone {
        /// Service received.
        charged_tokens: u64,
    },
}

/// An event for the entry router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Arrived(Arrival),
    /// A home granted a slot.
    Granted(Grant),
    /// A home asks for a full report.
    FullReportWanted {
        /// The pool.
        pool: PoolId,
    },
    /// Messages to a home were lost, so the next reports to it are full ones.
    HomeResync {
        /// The host of the home.
        host: HostId,
    },
    /// The home of a pool changed; `None` while there is none.
    HomeChanged {
        /// The pool.
        pool: PoolId,
        /// Its home.
        home: Option<Member>,
    },
    /// An attempt has received this much service so far.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// Service received.
        charged_tokens: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The caller of a waiting request disconnected.
    CallerGone {
        /// The request.
        key: RequestKey,
    },
    /// Another router reports a request that crashes endpoints.
    Poison(PoisonNotice),
    /// The router was told to stop: requests that were never attempted are refused, the others are
    /// finished.
    StopRequested,
    /// Time passed.
    Tick,
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartAttempt {
    /// The request.
    pub key: RequestKey,
    /// The attempt.
    pub attempt: AttemptKey,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Output tokens that the caller already received.
    pub resume_after_tokens: u64,
    /// Whether the caller already received the head of the answer.
    pub head_sent: bool,
    /// Whether a server error of the endpoint is passed to the caller, since no attempt follows.
    pub last_attempt: bool,
}

/// The final answer of a request that is refused or given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GiveUp {
    /// The request.
    pub key: RequestKey,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// An action that the entry router requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Run a request on an endpoint.
    Start(StartAttempt),
    /// Give a caller its final answer now.
    GiveUp(GiveUp),
    /// An attempt failed and the request waits for another one.
    Retried {
        /// The request.
        key: RequestKey,
        /// Reason of the retry.
        reason: RetryReason,
    },
    /// Notify the other routers of a request that crashes endpoints.
    Announce(PoisonNotice),
    /// Send a report to the home of its pool.
    Report {
        /// The home.
        to: Member,
        /// The report.
        report: EntryReport,
    },
}
