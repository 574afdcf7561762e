//! Identifies streams, and the endpoints at which a broken stream may go on.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint_table::Endpoint;
use crate::hashing::pair_hash;
use crate::hashing::stable_hash;

/// Time after a caller's deadline in which its stream may still be asked for: requests are on their way, and hosts'
/// clocks and loops are late.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Hash of the id of the caller's attempt that brought the first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt began.
    ///
    /// ```
    /// use sedgeridge_fleet::stream_origin::StreamKey;
    ///
    /// assert_eq!(StreamKey::of_attempt("9c41"), StreamKey::of_attempt("9c41"));
    /// ```
    pub fn of_attempt(id: &str) -> Self {
        Self(stable_hash(id))
    }
}

/// Hash of the service and the software version of the endpoint that began a stream. What two software versions write
/// does not fit together, so the stream may go on only at an endpoint with the same origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamOrigin(pub u64);

impl StreamOrigin {
    /// Returns the origin of the streams that an endpoint begins.
    pub fn of(endpoint: &Endpoint) -> Self {
        let service = stable_hash(endpoint.service.as_str());
        Self(pair_hash(service, stable_hash(&endpoint.software_version)))
    }
}

/// A resumable stream of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResumableStream {
    /// Key of the stream.
    pub key: StreamKey,
    /// End of the caller's time, after which it does not resume the stream.
    pub deadline: Duration,
}

impl ResumableStream {
    /// Returns the time from `now` for which the stream's origin is kept.
    pub fn lifetime(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now) + EXPIRY_MARGIN
    }
}
