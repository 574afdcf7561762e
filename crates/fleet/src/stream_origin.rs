//! Identifies the endpoints at which a broken stream may go on.

use crate::endpoint_table::Endpoint;
use crate::hashing::pair_hash;
use crate::hashing::stable_hash;

/// Hash of the service and the software version of the endpoint that began a stream. What two software versions write
/// does not fit together, so the stream may go on only at an endpoint with the same origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamOrigin(pub u64);

impl StreamOrigin {
    /// Returns the origin of the streams that an endpoint begins.
    pub fn of(endpoint: &Endpoint) -> Self {
        let service = stable_hash(endpoint.service.as_str());
        Self(pair_hash(service, stable_hash(&endpoint.software_version)))
    }
}
