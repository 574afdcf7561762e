//! What routers tell each other about requests that were in progress in crashes.

use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;

/// What a router tells the others about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is known.
    pub event: PoisonEvent,
}

/// News about a request. Times are relative, since routers share no clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoisonEvent {
    /// It was in progress on an endpoint that crashed.
    Crashed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time since the crash.
        age: Duration,
    },
    /// It is refused.
    Quarantined {
        /// Time for which it is.
        remaining: Duration,
    },
    /// It finished.
    Finished,
}
