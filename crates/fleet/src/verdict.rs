//! What is decided about a request, and how its attempts end.

use std::sync::Arc;
use std::time::Duration;

use crate::arrival::RequestId;
use crate::endpoint_table::Endpoint;

/// An action of the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// What happens to it.
    pub verdict: Verdict,
}

/// What happens to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Send it to this endpoint.
    Send(Arc<Endpoint>),
    /// Answer that it has not run and never will.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// What it was decided by.
        basis: Basis,
    },
    /// Answer that it failed; it may have run.
    Fail(Failure),
}

/// What a refusal was decided by.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Basis {
    /// What the account was given, as a multiple of its fair share.
    pub share_used: f64,
    /// What the account asked for, as a multiple of its fair share.
    pub share_requested: f64,
    /// What the backlogged account that holds others back was given, as a multiple of its fair
    /// share; infinite if no account is backlogged.
    pub least_share_used: f64,
    /// Requests that waited on this host.
    pub queued: usize,
    /// Hosts whose reports counted, this one included.
    pub hosts: usize,
    /// Age of the oldest report that counted.
    pub oldest_report_age: Duration,
    /// The endpoint that would have been best.
    pub endpoint: Option<Arc<Endpoint>>,
    /// Time that the endpoint needs for what it has to read already, in milliseconds.
    pub backlog_ms: f64,
    /// Expected time to the first piece there, in milliseconds.
    pub first_piece_ms: f64,
}

/// Why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The account has had its share while others wait.
    OverShare,
    /// No endpoint would begin it in time.
    Overload,
    /// The service has no endpoint that can be reached.
    NoEndpoint,
    /// The request crashed endpoints that ran it.
    Quarantined,
    /// Every attempt was turned away unrun.
    TurnedAway,
    /// The caller's time was over before it could be sent.
    OutOfTime,
    /// The host has no processor time for it; others may.
    HostBusy,
}

impl RefusalReason {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OverShare => "over_share",
            Self::Overload => "overload",
            Self::NoEndpoint => "no_endpoint",
            Self::Quarantined => "quarantined",
            Self::TurnedAway => "turned_away",
            Self::OutOfTime => "out_of_time",
            Self::HostBusy => "host_busy",
        }
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No connection to the endpoint; nothing was sent.
    NotConnected,
    /// The endpoint said that it did not run the request.
    TurnedAway,
    /// Another endpoint has the address and did not run the request.
    Misdirected,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The answer was spoiled, or belonged to another request.
    SpoiledAnswer,
    /// The endpoint answered with a failure of its own.
    ServerError,
    /// Nothing came for too long.
    TimedOut,
}

impl Failure {
    /// Tells whether the endpoint may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::NotConnected | Self::TurnedAway | Self::Misdirected
        )
    }

    /// Tells whether the request reached the endpoint.
    pub fn was_sent(self) -> bool {
        self != Self::NotConnected
    }

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::TurnedAway => "turned_away",
            Self::Misdirected => "misdirected",
            Self::ConnectionLost => "connection_lost",
            Self::SpoiledAnswer => "spoiled_answer",
            Self::ServerError => "server_error",
            Self::TimedOut => "timed_out",
        }
    }
}
