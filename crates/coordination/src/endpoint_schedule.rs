//! What is to be done again and again for a changing set of endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;

/// When each endpoint is due next.
#[derive(Debug, Default)]
pub(crate) struct EndpointSchedule {
    due: BTreeMap<EndpointId, Duration>,
}

impl EndpointSchedule {
    /// Takes the endpoints as they are now; new ones are due at once. Returns those that are gone.
    pub(crate) fn sync_endpoints(
        &mut self,
        now: Duration,
        endpoints: &BTreeSet<EndpointId>,
    ) -> Vec<EndpointId> {
        let gone: Vec<_> = self
            .due
            .keys()
            .filter(|e| !endpoints.contains(*e))
            .cloned()
            .collect();
        self.due.retain(|endpoint, _| endpoints.contains(endpoint));
        for endpoint in endpoints {
            self.due.entry(endpoint.clone()).or_insert(now);
        }
        gone
    }

    /// Takes the endpoints that are due and sets when they are due again.
    pub(crate) fn take_due(&mut self, now: Duration, interval: Duration) -> Vec<EndpointId> {
        let due = self.due.iter_mut().filter(|(_, at)| **at <= now);
        due.map(|(endpoint, at)| {
            *at = now + interval;
            endpoint.clone()
        })
        .collect()
    }
}
