//! Decisions about requests, and the ways in which attempts fail.

use std::sync::Arc;
use std::time::Duration;

use crate::arrival::RequestId;
use crate::endpoint_table::Endpoint;

/// What the dispatcher decided about one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The request.
    pub request: RequestId,
    /// The decision.
    pub verdict: Verdict,
}

/// The next step of a request, or its end.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Send it to this endpoint.
    Send(Arc<Endpoint>),
    /// Answer that the request has not run and will not run.
    Refuse {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Values on which the decision is based.
        basis: Basis,
    },
    /// Answer that the request failed. It may have run.
    Fail(Failure),
}

/// Values on which a refusal is based, for the log.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Basis {
    /// Tokens started for the account, as a multiple of its fair share.
    pub share_used: f64,
    /// Tokens that the account requested, as a multiple of its fair share.
    pub share_requested: f64,
    /// Tokens started for the backlogged account with the fewest, as a multiple of its fair share; infinite if no
    /// account is backlogged.
    pub least_share_used: f64,
    /// Requests that waited on this host.
    pub queued_requests: usize,
    /// Fraction of the plain service's requests that is admitted; `None` for prompts.
    pub admitted_part: Option<f64>,
    /// Hosts whose reports counted, this one included.
    pub hosts: usize,
    /// Age of the oldest report that counted.
    pub oldest_report_age: Duration,
    /// The best endpoint of the comparison.
    pub endpoint: Option<Arc<Endpoint>>,
    /// Time that this endpoint needs to read the prompts that it already has.
    pub backlog_ms: f64,
    /// Expected time to the first piece of the answer of this endpoint.
    pub first_piece_ms: f64,
}

/// Why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The account is over its share while others wait.
    OverShare,
    /// No endpoint would start the request in time.
    Overload,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// No endpoint has the software version that began the stream.
    VersionGone,
    /// No host that may hold the origin of the stream knows it.
    OriginUnknown,
    /// The request, or a part of its prompt, crashed endpoints that ran it.
    Quarantined,
    /// Endpoints rejected every attempt without running the request.
    TurnedAway,
    /// The request's deadline passed before it could be sent.
    OutOfTime,
    /// The host has no processor time for the request. Other hosts may have.
    HostBusy,
}

impl RefusalReason {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OverShare => "over_share",
            Self::Overload => "overload",
            Self::NoEndpoint => "no_endpoint",
            Self::VersionGone => "version_gone",
            Self::OriginUnknown => "origin_unknown",
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
    /// No connection to the endpoint was made; nothing was sent.
    NotConnected,
    /// The endpoint answered that it did not run the request.
    TurnedAway,
    /// Another endpoint now has the address. It did not run the request.
    Misdirected,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The answer was corrupt, or belonged to another request.
    SpoiledAnswer,
    /// The endpoint answered with a server error.
    ServerError,
    /// The endpoint sent nothing for too long.
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
