//! A request as the dispatcher knows it.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::ServiceId;

use crate::config::Route;
use crate::prompt::Prompt;

/// Numbers the requests of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request that has been read whole and may be sent.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its number in this process.
    pub id: RequestId,
    /// Hash of the account that pays, if the route asks for one.
    pub account: Option<u64>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that was chosen for it.
    pub service: ServiceId,
    /// When its head had been read.
    pub received_at: Duration,
    /// When its caller stops waiting, or the route's timeout if that is earlier.
    pub deadline: Duration,
    /// For model engines: what it asks for.
    pub prompt: Option<Prompt>,
    /// What the request asks for; equal when the same request comes again. It is worked out only
    /// where it may matter: the digest of a long body costs more than a refusal.
    pub fingerprint: Option<Fingerprint>,
}

impl Arrival {
    /// Returns what the request takes from its account's share.
    pub fn charged_tokens(&self) -> f64 {
        self.prompt.as_ref().map_or(1.0, Prompt::charged_tokens)
    }

    /// Returns the time at which the answer's first piece stops being in time.
    pub fn first_piece_deadline(&self) -> Duration {
        self.received_at + self.route.latency_target
    }
}
