//! Distinguishes crashes of endpoints from connections that the network lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;

use crate::poison_record::Crash;
use crate::poison_record::SAME_CRASH_WINDOW;

/// Requests that were in progress on an endpoint when it crashed.
#[derive(Debug)]
pub(crate) struct CrashedBatch {
    pub(crate) crash: Crash,
    pub(crate) requests: BTreeSet<Fingerprint>,
}

/// Recently lost connections, and endpoints recently found to be down.
#[derive(Debug, Default)]
pub(crate) struct CrashDetector {
    lost_connections: BTreeMap<EndpointId, LostConnections>,
    down_since: BTreeMap<EndpointId, Duration>,
}

#[derive(Debug)]
struct LostConnections {
    since: Duration,
    requests: BTreeSet<Fingerprint>,
}

impl LostConnections {
    fn starting_at(since: Duration) -> Self {
        Self {
            since,
            requests: BTreeSet::new(),
        }
    }
}

impl CrashDetector {
    /// Records a lost connection; returns the crash if the endpoint is known to be down.
    ///
    /// Losses are detected one after another, some only after the endpoint was found to be down.
    pub(crate) fn on_connection_lost(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
    ) -> Option<Crash> {
        if let Some(at) = self.recent_down_since(now, endpoint) {
            let endpoint = endpoint.clone();
            return Some(Crash { endpoint, at });
        }
        let lost = self.lost_connections.entry(endpoint.clone());
        let lost = lost.or_insert_with(|| LostConnections::starting_at(now));
        if now.saturating_sub(lost.since) >= SAME_CRASH_WINDOW {
            *lost = LostConnections::starting_at(now);
        }
        lost.requests.insert(fingerprint);
        None
    }

    /// Records that an endpoint is down; returns the requests whose connections it just lost.
    pub(crate) fn on_endpoint_down(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
    ) -> Option<CrashedBatch> {
        let lost = self.lost_connections.remove(endpoint);
        let lost = lost.filter(|lost| now.saturating_sub(lost.since) < SAME_CRASH_WINDOW);
        let at = lost.as_ref().map_or(now, |lost| lost.since);
        if self.recent_down_since(now, endpoint).is_none() {
            self.down_since.insert(endpoint.clone(), at);
        }
        let endpoint = endpoint.clone();
        lost.map(|lost| CrashedBatch {
            crash: Crash { endpoint, at },
            requests: lost.requests,
        })
    }

    /// Removes losses and crashes to which nothing can be added any more.
    pub(crate) fn remove_expired(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < SAME_CRASH_WINDOW;
        self.lost_connections
            .retain(|_, lost| is_recent(lost.since));
        self.down_since.retain(|_, at| is_recent(*at));
    }

    fn recent_down_since(&self, now: Duration, endpoint: &EndpointId) -> Option<Duration> {
        let at = *self.down_since.get(endpoint)?;
        (now.saturating_sub(at) < SAME_CRASH_WINDOW).then_some(at)
    }
}
