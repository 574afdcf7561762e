//! Endpoints that temporarily get few requests or none: cold endpoints, endpoints that asked for a pause, and endpoints of
//! evacuated data centres.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

use super::Dispatcher;
use crate::cold_start::ColdStart;
use crate::config::ServiceSpec;
use crate::endpoint_table::Endpoint;

/// Longest time until the entry of an endpoint that is down expires, or is updated after the endpoint has restarted.
const ENTRY_EXPIRY: Duration = Duration::from_secs(4);
/// Time until a retry when all endpoints are evacuated. Only the operator knows how long the evacuation lasts.
const EVACUATION_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Marks a listed endpoint as cold for the time that its entry states. An endpoint that replaces an earlier run has just
    /// started, so it counts as cold for at least the configured time from now, even if its entry was written too early to
    /// report it.
    pub(super) fn note_cold_start(&mut self, now: Duration, id: &EndpointId, is_later_run: bool) {
        let Some(listed) = self.endpoints.get(id).cloned() else {
            return;
        };
        let Some(cold_start) = self.configured_cold_start(&listed) else {
            return;
        };
        let cold_for = match is_later_run {
            true => listed.cold_for.max(cold_start.duration),
            false => listed.cold_for,
        };
        if !cold_for.is_zero() {
            self.cold.mark_cold(listed.key, cold_start, now + cold_for);
        }
    }

    /// Marks endpoints of services that were added to the configuration as cold, for the time that their entries state and
    /// counted from now. A host that starts may list endpoints before it knows their services.
    pub(super) fn note_cold_starts_of_new_services(
        &mut self,
        now: Duration,
        old_services: &BTreeMap<ServiceId, ServiceSpec>,
    ) {
        let added = self.endpoints.iter();
        let added = added.filter(|endpoint| !old_services.contains_key(&endpoint.service));
        for endpoint in added.filter(|endpoint| !endpoint.cold_for.is_zero()) {
            let spec = self.services.get(&endpoint.service);
            if let Some(cold_start) = spec.and_then(|spec| spec.cold_start) {
                let until = now + endpoint.cold_for;
                self.cold.mark_cold(endpoint.key, cold_start, until);
            }
        }
    }

    /// Makes the endpoints of a data centre available again. They are cold, and their entries report it only a moment
    /// later, so they are marked as cold for the configured time from now.
    pub(super) fn on_evacuation_ended(&mut self, now: Duration, data_centre: &Arc<str>) {
        if !self.evacuated.remove(data_centre) {
            return;
        }
        let evacuated = self.endpoints.iter();
        let evacuated = evacuated.filter(|it| it.data_centre == *data_centre);
        for endpoint in evacuated {
            if let Some(cold_start) = self.configured_cold_start(endpoint) {
                self.cold
                    .mark_cold(endpoint.key, cold_start, now + cold_start.duration);
            }
        }
    }

    /// Returns the cold start configured for the endpoint's service, if any.
    fn configured_cold_start(&self, endpoint: &Endpoint) -> Option<ColdStart> {
        self.services.get(&endpoint.service)?.cold_start
    }

    /// Tells whether this host may send a request to the endpoint now.
    pub(super) fn is_open(&self, now: Duration, endpoint: &Endpoint) -> bool {
        let is_paused = self.pauses.until(now, endpoint.key).is_some();
        let is_blocked = is_paused || self.is_evacuated(&endpoint.data_centre);
        !is_blocked && self.cold.may_send(now, endpoint.key)
    }

    /// Marks an endpoint that went down as cold in advance, until its entry has been updated and its cold start is over. A
    /// restarted endpoint has no requests in progress, so without this all hosts would send to it at once, before its entry
    /// reports it as cold.
    pub(super) fn expect_cold_start(&mut self, now: Duration, endpoint: &Endpoint) {
        if let Some(cold_start) = self.configured_cold_start(endpoint) {
            let until = now + ENTRY_EXPIRY + cold_start.duration;
            self.cold.mark_cold(endpoint.key, cold_start, until);
        }
    }

    fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns the earliest time at which this host may send to the service again, if each of its usable endpoints is
    /// evacuated, paused, or cold with only other hosts as senders; `None` if one of them is not, or if the service has no
    /// usable endpoints. An evacuated endpoint counts as available after `EVACUATION_RETRY_DELAY`.
    pub(super) fn closed_until(&self, now: Duration, service: &ServiceId) -> Option<Duration> {
        let usable = self.endpoints.usable(service);
        let until = usable.iter().map(|it| self.endpoint_closed_until(now, it));
        let until: Option<Vec<_>> = until.collect();
        until?.into_iter().min()
    }

    fn endpoint_closed_until(&self, now: Duration, endpoint: &Endpoint) -> Option<Duration> {
        if self.is_evacuated(&endpoint.data_centre) {
            return Some(now + EVACUATION_RETRY_DELAY);
        }
        let cold = self.cold.closed_until(now, endpoint.key);
        cold.max(self.pauses.until(now, endpoint.key))
    }
}
