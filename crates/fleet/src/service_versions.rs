//! Tracks which software versions the endpoints of each service have had lately.

use std::collections::HashMap;
use std::time::Duration;

use nohash_hasher::IntMap;
use sedgeridge_state::ids::ServiceId;

use crate::endpoint_table::Endpoint;
use crate::stream_origin::StreamOrigin;

/// Time for which the version of endpoints that are gone is remembered. No caller resumes a stream after that long.
const RETENTION: Duration = Duration::from_secs(60);

/// Time after the first start of the whole fleet within which no endpoint has been replaced yet.
const FIRST_START_TIME: Duration = Duration::from_secs(5);

/// Origins of the streams that the endpoints of each service begin.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    services: HashMap<ServiceId, SeenService>,
    /// Whether the whole fleet started for the first time with this process.
    is_first_start: bool,
}

#[derive(Debug)]
struct SeenService {
    /// Time at which its first endpoint was listed. Versions that were gone by then are unknown.
    since: Duration,
    origins: IntMap<u64, SeenOrigin>,
}

#[derive(Debug, Default)]
struct SeenOrigin {
    /// Number of listed endpoints, including those that are leaving.
    endpoints: usize,
    /// Time at which the last of them was gone.
    gone_at: Duration,
}

impl ServiceVersions {
    /// Records that the whole fleet starts for the first time, so that no stream is older than this process.
    pub fn mark_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Records the change of an entry: what was listed before and is listed now.
    pub fn on_change(
        &mut self,
        now: Duration,
        before: Option<&Endpoint>,
        after: Option<&Endpoint>,
    ) {
        if let Some(endpoint) = after {
            self.seen(now, endpoint).endpoints += 1;
        }
        if let Some(endpoint) = before {
            let seen = self.seen(now, endpoint);
            seen.endpoints -= 1;
            seen.gone_at = now;
        }
    }

    /// Returns the origin of all streams of a service, if its endpoints have had one software version only for as long as a
    /// stream can be resumed. A host that has started since then does not know.
    pub fn sole_origin(&self, now: Duration, service: &ServiceId) -> Option<StreamOrigin> {
        let seen = self.services.get(service)?;
        let knows_all = now.saturating_sub(seen.since) >= RETENTION
            || (self.is_first_start && seen.since <= FIRST_START_TIME);
        let mut origins = seen.origins.keys().filter(|_| knows_all);
        match (origins.next(), origins.next()) {
            (Some(origin), None) => Some(StreamOrigin(*origin)),
            _ => None,
        }
    }

    /// Forgets versions that have been gone for long.
    pub fn tick(&mut self, now: Duration) {
        for seen in self.services.values_mut() {
            seen.origins
                .retain(|_, it| it.endpoints > 0 || now.saturating_sub(it.gone_at) < RETENTION);
        }
        self.services.retain(|_, seen| !seen.origins.is_empty());
    }

    fn seen(&mut self, now: Duration, endpoint: &Endpoint) -> &mut SeenOrigin {
        let seen = self.services.entry(endpoint.service.clone());
        let seen = seen.or_insert_with(|| SeenService {
            since: now,
            origins: IntMap::default(),
        });
        seen.origins
            .entry(StreamOrigin::of(endpoint).0)
            .or_default()
    }
}
