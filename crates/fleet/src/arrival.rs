//! Requests as the dispatcher sees them.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::ServiceId;

use crate::config::Route;
use crate::prompt::Prompt;
use crate::stream_origin::StreamOrigin;

/// Number of a request, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request that has been read completely and can be sent.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number of the request.
    pub id: RequestId,
    /// Hash of the account that is charged, if the route requires one.
    pub account: Option<u64>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Service that was chosen for the request.
    pub service: ServiceId,
    /// When the head of the request was read.
    pub received_at: Duration,
    /// End of the caller's time, or of the route's timeout if that is earlier.
    pub deadline: Duration,
    /// Prompt, for requests to model engines.
    pub prompt: Option<Prompt>,
    /// Origin of the stream that the request resumes. Only endpoints with this origin may get it.
    pub origin: Option<StreamOrigin>,
    /// Digest of the request's content, equal when the same request is sent again. `None` if its body has not been read.
    pub fingerprint: Option<Fingerprint>,
}

impl Arrival {
    /// Returns the tokens that the request is charged to its account; 1 without a prompt.
    pub fn charged_tokens(&self) -> f64 {
        self.prompt.as_ref().map_or(1.0, Prompt::charged_tokens)
    }

    /// Returns the time until which the answer's first piece meets the latency target.
    pub fn first_piece_deadline(&self) -> Duration {
        self.received_at + self.route.latency_target
    }
}
