//! Endpoints that get few requests or none for a while: cold ones, those that asked for a pause, and those of evacuated
//! data centres.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

use super::Dispatcher;
use crate::cold_start::ColdStart;
use crate::config::ServiceSpec;
use crate::endpoint_table::Endpoint;

/// Time in which an endpoint that is down is no longer listed, or is back. Its entry tells of its return.
const LAPSE_TIME: Duration = Duration::from_secs(4);
/// When a caller should come back where all endpoints are evacuated. Only the operator knows for how long.
const EVACUATION_RETRY: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Notes how long a listed endpoint stays cold. One that replaces an earlier run has started a moment ago, even if
    /// its entry was written too early to say so.
    pub(super) fn note_cold_start(&mut self, now: Duration, id: &EndpointId, is_later_run: bool) {
        let Some(listed) = self.endpoints.get(id).cloned() else {
            return;
        };
        let Some(stated) = self.cold_start_of(&listed) else {
            return;
        };
        let cold_for = match is_later_run {
            true => listed.cold_for.max(stated.duration),
            false => listed.cold_for,
        };
        if !cold_for.is_zero() {
            self.cold.mark_cold(listed.key, stated, now + cold_for);
        }
    }

    /// A host that starts may list endpoints before it knows what their services state.
    pub(super) fn note_cold_of_new_services(
        &mut self,
        now: Duration,
        before: &BTreeMap<ServiceId, ServiceSpec>,
    ) {
        let unknown = self.endpoints.iter();
        let unknown = unknown.filter(|endpoint| !before.contains_key(&endpoint.service));
        for endpoint in unknown.filter(|endpoint| !endpoint.cold_for.is_zero()) {
            let spec = self.services.get(&endpoint.service);
            if let Some(stated) = spec.and_then(|spec| spec.cold_start) {
                let until = now + endpoint.cold_for;
                self.cold.mark_cold(endpoint.key, stated, until);
            }
        }
    }

    /// Endpoints of a data centre that was evacuated are cold when it is taken back, and their entries say so a
    /// moment later.
    pub(super) fn on_evacuation_ended(&mut self, now: Duration, data_centre: &Arc<str>) {
        if !self.evacuated.remove(data_centre) {
            return;
        }
        let of_data_centre = self.endpoints.iter();
        let of_data_centre = of_data_centre.filter(|it| it.data_centre == *data_centre);
        for endpoint in of_data_centre {
            if let Some(stated) = self.cold_start_of(endpoint) {
                self.cold
                    .mark_cold(endpoint.key, stated, now + stated.duration);
            }
        }
    }

    /// Returns what the endpoint's service states of cold starts, if its endpoints have any.
    fn cold_start_of(&self, endpoint: &Endpoint) -> Option<ColdStart> {
        self.services.get(&endpoint.service)?.cold_start
    }

    /// Tells whether the endpoint may get a request from this host now.
    pub(super) fn is_open(&self, now: Duration, endpoint: &Endpoint) -> bool {
        let is_paused = self.pauses.until(now, endpoint.key).is_some();
        let is_cut_off = is_paused || self.is_evacuated(&endpoint.data_centre);
        !is_cut_off && self.cold.may_send(now, endpoint.key)
    }

    /// An endpoint that was down is cold when it comes back, and its entry says so a moment later. Without this all
    /// hosts choose it at once, since it seems idle.
    pub(super) fn expect_cold(&mut self, now: Duration, endpoint: &Endpoint) {
        if let Some(stated) = self.cold_start_of(endpoint) {
            let until = now + LAPSE_TIME + stated.duration;
            self.cold.mark_cold(endpoint.key, stated, until);
        }
    }

    fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns when this host may send to the service again, if each of its endpoints is evacuated, wants a pause, or is
    /// cold and left to other hosts.
    pub(super) fn closed_until(&self, now: Duration, service: &ServiceId) -> Option<Duration> {
        let usable = self.endpoints.usable(service);
        let until = usable.iter().map(|it| self.endpoint_closed_until(now, it));
        let until: Option<Vec<_>> = until.collect();
        until?.into_iter().min()
    }

    fn endpoint_closed_until(&self, now: Duration, endpoint: &Endpoint) -> Option<Duration> {
        if self.is_evacuated(&endpoint.data_centre) {
            return Some(now + EVACUATION_RETRY);
        }
        let cold = self.cold.closed_until(now, endpoint.key);
        cold.max(self.pauses.until(now, endpoint.key))
    }
}
