//! Notices between routers about requests that were in progress when an endpoint crashed.

use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;

/// Notice of a router about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What happened to it.
    pub event: PoisonEvent,
}

/// Event in a notice. Times are relative, since routers share no clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoisonEvent {
    /// It was in progress on an endpoint that crashed.
    Crashed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time since the crash.
        age: Duration,
    },
    /// It is quarantined.
    Quarantined {
        /// Remaining time of the quarantine.
        remaining: Duration,
    },
    /// It finished.
    Finished,
}
