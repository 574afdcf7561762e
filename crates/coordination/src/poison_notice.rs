//! Notices that routers exchange about requests suspected of crashing endpoints (poison requests),
//! so that all routers quarantine the same ones.

use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;

/// Notice from a router about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonNotice {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// What happened to the request.
    pub event: PoisonEvent,
}

/// Event in a notice. Times are relative, since routers share no clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoisonEvent {
    /// The request was in progress on an endpoint that crashed.
    Crashed {
        /// The endpoint that crashed.
        endpoint: EndpointId,
        /// Time since the crash.
        age: Duration,
    },
    /// The request is quarantined.
    Quarantined {
        /// Remaining time of the quarantine.
        remaining: Duration,
    },
    /// The request finished.
    Finished,
}
