//! Tracks which software versions the endpoints of each service have had lately.

use std::collections::HashMap;
use std::time::Duration;

use nohash_hasher::IntMap;
use sedgeridge_state::ids::ServiceId;

use crate::endpoint_table::Endpoint;
use crate::stream_origin::StreamOrigin;

/// Time for which the version of endpoints that are gone is remembered. No caller resumes a stream after that long.
const RETENTION: Duration = Duration::from_secs(60);

/// Origins of the streams that the endpoints of each service begin.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    services: HashMap<ServiceId, IntMap<u64, SeenOrigin>>,
}

#[derive(Debug, Default)]
struct SeenOrigin {
    /// Number of listed endpoints, including those that are leaving.
    endpoints: usize,
    /// Time at which the last of them was gone.
    gone_at: Duration,
}

impl ServiceVersions {
    /// Records the change of an entry: what was listed before and is listed now.
    pub fn on_change(
        &mut self,
        now: Duration,
        before: Option<&Endpoint>,
        after: Option<&Endpoint>,
    ) {
        if let Some(endpoint) = after {
            self.seen(endpoint).endpoints += 1;
        }
        if let Some(endpoint) = before {
            let seen = self.seen(endpoint);
            seen.endpoints -= 1;
            seen.gone_at = now;
        }
    }

    /// Returns the origin of all streams of a service, if its endpoints have had one software version only.
    pub fn sole_origin(&self, service: &ServiceId) -> Option<StreamOrigin> {
        let mut seen = self.services.get(service)?.keys();
        match (seen.next(), seen.next()) {
            (Some(origin), None) => Some(StreamOrigin(*origin)),
            _ => None,
        }
    }

    /// Forgets versions that have been gone for long.
    pub fn tick(&mut self, now: Duration) {
        for seen in self.services.values_mut() {
            seen.retain(|_, it| it.endpoints > 0 || now.saturating_sub(it.gone_at) < RETENTION);
        }
        self.services.retain(|_, seen| !seen.is_empty());
    }

    fn seen(&mut self, endpoint: &Endpoint) -> &mut SeenOrigin {
        let seen = self.services.entry(endpoint.service.clone()).or_default();
        seen.entry(StreamOrigin::of(endpoint).0).or_default()
    }
}
