//! The configuration in force: routes, services, client accounts and limits of callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::ServiceId;

use crate::cold_start::ColdStart;

/// One complete configuration. A higher version replaces a lower one, never the reverse.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Increases with each accepted configuration.
    pub version: u64,
    /// Routes of every host name.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Client accounts and their keys. `None`: callers need no key.
    pub accounts: Option<Vec<Account>>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
}

/// Where requests for a host name and path go, and how they may be treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Host name that callers address.
    pub host: Arc<str>,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a request is kept without a final answer.
    pub timeout: Duration,
    /// Time in which an answer has its full worth.
    pub latency_target: Duration,
    /// Rank among routes; 0 is the highest.
    pub priority: u32,
    /// Services with their weights.
    pub targets: Vec<RouteTarget>,
    /// Most endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// One of the services that share a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the other targets' weights.
    pub weight: u32,
}

/// What a failed attempt allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events, which may go on elsewhere only if it is resumable.
    Stream {
        /// Whether another endpoint can go on after the last event that was delivered.
        resumable: bool,
    },
}

impl Repeat {
    /// Tells whether a request that may have run can be sent again.
    pub fn allows_second_run(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::AtMostOnce | Self::Stream { resumable: false } => false,
        }
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that routes lead to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Present where endpoints bear few requests in their first seconds.
    pub cold_start: Option<ColdStart>,
    /// Present for model engines.
    pub engine: Option<EngineSpec>,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory_tokens: u64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name.
    pub id: AccountId,
    /// Keys that callers present.
    pub keys: Vec<Arc<str>>,
}

/// Bounds on what a caller may send, and the capacity that accounts share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Longest head of a request.
    pub max_header_bytes: usize,
    /// Longest body of a request.
    pub max_body_bytes: usize,
    /// Longest time to send a head.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
    /// Tokens that all engines together process in a second, a generated one counted twice.
    pub tokens_per_s: Option<f64>,
}

impl Default for CallerLimits {
    /// Bounds until a configuration is known; nothing is served by then.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_s: None,
        }
    }
}
