//! The configuration in force: routes, services, client accounts and limits on callers.

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
    /// Routes of all host names.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Client accounts and their keys; `None` if callers need no key.
    pub accounts: Option<Vec<Account>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Services for requests to a host name and path, and rules for these requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Arc<str>,
    /// Host name that callers use.
    pub host: Arc<str>,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: Arc<str>,
    /// Whether requests may be sent again after a failed attempt.
    pub repeat: Repeat,
    /// Maximum time until the final answer to a request.
    pub timeout: Duration,
    /// Time from arrival within which the caller should get the whole answer or, of a stream, the
    /// first event. The gateway's metric and log measure a stream up to its response head.
    pub latency_target: Duration,
    /// Priority among routes; 0 is the highest.
    pub priority: u32,
    /// Services with their weights.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// One of the services that share a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// The service's part of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Whether a request may be sent again after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream of events, which may go on at another endpoint only if it is resumable.
    Stream {
        /// Whether another endpoint can go on after the last delivered event.
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

/// A service to which routes send requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceSpec {
    /// Number of connections that one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Present if endpoints can handle only few requests in their first seconds.
    pub cold_start: Option<ColdStart>,
    /// Present for model engines.
    pub engine: Option<EngineSpec>,
}

/// Properties that all engines of a service share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Number of tokens that fit into memory.
    pub memory_tokens: u64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub id: AccountId,
    /// Keys that callers present.
    pub keys: Vec<Arc<str>>,
}

/// Limits on what a caller may send, and the capacity that accounts share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Maximum length of a request head.
    pub max_header_bytes: usize,
    /// Maximum length of a request body.
    pub max_body_bytes: usize,
    /// Maximum time in which a head has to arrive.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens that all engines together process per second. A generated token counts twice.
    pub tokens_per_s: Option<f64>,
}

impl Default for CallerLimits {
    /// Limits until a configuration is known. No request is served before that.
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
