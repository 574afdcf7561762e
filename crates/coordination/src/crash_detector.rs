//! Tells crashes of endpoints from connections that the network lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;

use crate::poison_record::Crash;
use crate::poison_record::SAME_CRASH;

/// Requests that were in progress on an endpoint when it crashed.
#[derive(Debug)]
pub(crate) struct CrashedBatch {
    pub(crate) crash: Crash,
    pub(crate) requests: BTreeSet<Fingerprint>,
}

/// Connections that were lost, and endpoints that were found to be down.
#[derive(Debug, Default)]
pub(crate) struct CrashDetector {
    lost: BTreeMap<EndpointId, Lost>,
    down: BTreeMap<EndpointId, Duration>,
}

#[derive(Debug)]
struct Lost {
    since: Duration,
    requests: BTreeSet<Fingerprint>,
}

impl Lost {
    fn at(since: Duration) -> Self {
        Self {
            since,
            requests: BTreeSet::new(),
        }
    }
}

impl CrashDetector {
    /// Notes a lost connection; returns the crash if the endpoint is known to be down.
    ///
    /// Losses are noticed one after another, some only after the endpoint was found to be down.
    pub(crate) fn connection_lost(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
    ) -> Option<Crash> {
        if let Some(at) = self.down_since(now, endpoint) {
            let endpoint = endpoint.clone();
            return Some(Crash { endpoint, at });
        }
        let lost = self.lost.entry(endpoint.clone());
        let lost = lost.or_insert_with(|| Lost::at(now));
        if now.saturating_sub(lost.since) >= SAME_CRASH {
            *lost = Lost::at(now);
        }
        lost.requests.insert(fingerprint);
        None
    }

    /// Notes that an endpoint is down; returns the requests whose connections were just lost.
    pub(crate) fn endpoint_down(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
    ) -> Option<CrashedBatch> {
        let lost = self.lost.remove(endpoint);
        let lost = lost.filter(|lost| now.saturating_sub(lost.since) < SAME_CRASH);
        let at = lost.as_ref().map_or(now, |lost| lost.since);
        if self.down_since(now, endpoint).is_none() {
            self.down.insert(endpoint.clone(), at);
        }
        let endpoint = endpoint.clone();
        lost.map(|lost| CrashedBatch {
            crash: Crash { endpoint, at },
            requests: lost.requests,
        })
    }

    /// Forgets losses and crashes that nothing can be added to any more.
    pub(crate) fn forget_old(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < SAME_CRASH;
        self.lost.retain(|_, lost| is_recent(lost.since));
        self.down.retain(|_, at| is_recent(*at));
    }

    fn down_since(&self, now: Duration, endpoint: &EndpointId) -> Option<Duration> {
        let at = *self.down.get(endpoint)?;
        (now.saturating_sub(at) < SAME_CRASH).then_some(at)
    }
}
