//! Decides which endpoints a pool can spare for an order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::PoolId;

use crate::order_events::OrderEndpoint;
use crate::order_events::PoolFloor;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Report {
    serving: bool,
    in_progress: u32,
    as_of: Duration,
}

/// The configured endpoints, their last reports, and which of them are drained.
#[derive(Debug, Default)]
pub(super) struct Pools {
    endpoints: BTreeMap<EndpointId, OrderEndpoint>,
    floors: BTreeMap<PoolId, u32>,
    reports: BTreeMap<EndpointId, Report>,
    drained: BTreeSet<EndpointId>,
    /// Time until which routers may still honour a drain that has ended.
    honoured_until: BTreeMap<EndpointId, Duration>,
    now: Duration,
    drain_expiry: Duration,
}

impl Pools {
    pub(super) fn configure(&mut self, endpoints: Vec<OrderEndpoint>, floors: Vec<PoolFloor>) {
        let by_id = endpoints.into_iter().map(|e| (e.id.clone(), e));
        self.endpoints = by_id.collect();
        self.floors = floors.into_iter().map(|f| (f.pool, f.floor)).collect();
    }

    pub(super) fn set_report(
        &mut self,
        endpoint: EndpointId,
        serving: bool,
        in_progress: u32,
        as_of: Duration,
    ) {
        let report = Report {
            serving,
            in_progress,
            as_of,
        };
        self.reports.insert(endpoint, report);
    }

    /// Forgets an endpoint's report, so that it counts as neither serving nor idle.
    pub(super) fn forget_report(&mut self, endpoint: &EndpointId) {
        self.reports.remove(endpoint);
    }

    /// Lists the endpoints of an endpoint's pool, itself included.
    pub(super) fn pool_of(&self, endpoint: &EndpointId) -> impl Iterator<Item = &EndpointId> {
        let pool = self.endpoints.get(endpoint).map(|e| &e.pool);
        let members = self
            .endpoints
            .values()
            .filter(move |e| Some(&e.pool) == pool);
        members.map(|e| &e.id)
    }

    pub(super) fn get(&self, endpoint: &EndpointId) -> Option<&OrderEndpoint> {
        self.endpoints.get(endpoint)
    }

    /// Marks the endpoint as drained if its pool can spare it or it does not serve, and returns
    /// whether it did.
    ///
    /// Only endpoints that reported to be serving and are not drained for another order count.
    /// Otherwise several orders, each of which sees the pool above its floor, would together take
    /// it below, and its callers would be refused.
    pub(super) fn try_drain(&mut self, endpoint: &EndpointId) -> bool {
        let Some(pool) = self.endpoints.get(endpoint).map(|e| e.pool.clone()) else {
            return false;
        };
        let floor = self.floors.get(&pool).copied().unwrap_or(0);
        let others = self.endpoints.values().filter(|e| e.pool == pool);
        let remaining = others.filter(|e| e.id != *endpoint && self.is_in_service(&e.id));
        let is_spare = remaining.count() >= floor as usize;
        let is_not_serving = self.reports.get(endpoint).is_some_and(|r| !r.serving);
        if is_spare || is_not_serving {
            self.drained.insert(endpoint.clone());
        }
        is_spare || is_not_serving
    }

    pub(super) fn drained(&self) -> &BTreeSet<EndpointId> {
        &self.drained
    }

    /// Sets the time, and how long routers may honour a drain that is no longer announced.
    pub(super) fn set_now(&mut self, now: Duration, drain_expiry: Duration) {
        self.now = now;
        self.drain_expiry = drain_expiry;
        self.honoured_until.retain(|_, until| now < *until);
    }

    pub(super) fn end_drain(&mut self, endpoint: &EndpointId) {
        if self.drained.remove(endpoint) {
            self.assume_honoured(endpoint);
        }
    }

    pub(super) fn end_all_drains(&mut self) {
        for endpoint in std::mem::take(&mut self.drained) {
            self.assume_honoured(&endpoint);
        }
    }

    /// Notes that a drain of the endpoint may have been announced just now.
    ///
    /// Routers end a drain only when it expires. If the endpoint counted as serving from its last
    /// announcement on, the next endpoint of its pool could be drained while routers use neither,
    /// and the pool would be below its floor.
    pub(super) fn assume_honoured(&mut self, endpoint: &EndpointId) {
        let until = self.now + self.drain_expiry;
        self.honoured_until.insert(endpoint.clone(), until);
    }

    /// Returns whether a report shows that no work was in progress at `since` or later.
    ///
    /// Reports lag. One that arrives after all routers know of the drain may describe an earlier
    /// time, when routers still sent requests; an order based on it would cut them off.
    pub(super) fn was_idle_since(&self, endpoint: &EndpointId, since: Duration) -> bool {
        let report = self.reports.get(endpoint);
        report.is_some_and(|r| r.in_progress == 0 && since <= r.as_of)
    }

    fn is_serving(&self, endpoint: &EndpointId) -> bool {
        self.reports.get(endpoint).is_some_and(|r| r.serving)
    }

    fn is_in_service(&self, endpoint: &EndpointId) -> bool {
        let is_out = self.drained.contains(endpoint) || self.honoured_until.contains_key(endpoint);
        self.is_serving(endpoint) && !is_out
    }
}
