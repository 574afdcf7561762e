//! Schedule of a periodic action for a changing set of endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;

/// Next due time of each endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointSchedule {
    due: BTreeMap<EndpointId, Duration>,
}

impl EndpointSchedule {
    /// Replaces the set of endpoints; new ones are due at once. Returns the removed endpoints.
    pub(crate) fn sync_endpoints(
        &mut self,
        now: Duration,
        endpoints: &BTreeSet<EndpointId>,
    ) -> Vec<EndpointId> {
        let removed: Vec<_> = self
            .due
            .keys()
            .filter(|e| !endpoints.contains(*e))
            .cloned()
            .collect();
        self.due.retain(|endpoint, _| endpoints.contains(endpoint));
        for endpoint in endpoints {
            self.due.entry(endpoint.clone()).or_insert(now);
        }
        removed
    }

    /// Returns the due endpoints and sets their next due time.
    pub(crate) fn take_due(&mut self, now: Duration, interval: Duration) -> Vec<EndpointId> {
        let due = self.due.iter_mut().filter(|(_, at)| **at <= now);
        due.map(|(endpoint, at)| {
            *at = now + interval;
            endpoint.clone()
        })
        .collect()
    }
}
