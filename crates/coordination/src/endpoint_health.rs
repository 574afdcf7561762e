//! Health of a pool's endpoints: which of them take new work, and how much.
//!
//! The home of a pool has one [`PoolHealth`]. It derives the number of requests that each endpoint
//! may hold from results of attempts, load reports and notices of leaving.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::millis;

use crate::breaker::AnswerCounts;
use crate::breaker::FailureKind;
use crate::node_view::EndpointCondition;
use crate::node_view::LoadReportView;
use crate::pooled_endpoint::PooledEndpoint;
use crate::slot_budget::EndpointLoad;

/// Report intervals after which a load report is stale.
const STALE_REPORT_INTERVALS: u32 = 4;

/// Source of a notice that an endpoint is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// Another router of the fleet.
    Peer,
    /// The platform's list of hosts.
    HostList,
}

/// Number of requests that may be held on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsableSlots {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// All requests, including those in progress; 0 while the endpoint is ejected or leaving.
    pub slots: u32,
}

/// Health of the endpoints of one pool.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::breaker::FailureKind;
/// use sedgeridge_coordination::endpoint_health::PoolHealth;
/// use sedgeridge_state::ids::EndpointId;
/// use sedgeridge_state::settings::HealthSettings;
///
/// let (failing, working) = (EndpointId::from("desk-1"), EndpointId::from("desk-2"));
/// let mut health = PoolHealth::new(HealthSettings::default());
/// health.configure(&[(failing.clone(), 8), (working.clone(), 8)]);
/// for ms in 1..=3 {
///     let now = Duration::from_millis(ms);
///     health.record_failure(now, &failing, now, FailureKind::ConnectFailed);
/// }
/// let now = Duration::from_millis(4);
/// assert_eq!(health.usable_slots(now, &failing), 0);
/// assert_eq!(health.usable_slots(now, &working), 8);
/// ```
#[derive(Debug)]
pub struct PoolHealth {
    settings: HealthSettings,
    endpoints: BTreeMap<EndpointId, PooledEndpoint>,
    changed_ids: BTreeSet<EndpointId>,
    next_scan_at: Duration,
}

impl PoolHealth {
    /// Creates the health of a pool without endpoints.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            endpoints: BTreeMap::new(),
            changed_ids: BTreeSet::new(),
            next_scan_at: Duration::ZERO,
        }
    }

    /// Adopts the pool's endpoints and their slots, and drops the state of all others.
    ///
    /// Endpoints that are added later have a slow start. Those of the first configuration do not:
    /// they were already serving before this home started.
    pub fn configure(&mut self, endpoints: &[(EndpointId, u32)]) {
        let joins = !self.endpoints.is_empty();
        let mut known = std::mem::take(&mut self.endpoints);
        for (id, slots) in endpoints {
            let endpoint = match known.remove(id) {
                Some(mut endpoint) => {
                    endpoint.budget.configure(*slots);
                    endpoint
                }
                None => PooledEndpoint {
                    ramp_slots: joins.then_some(1),
                    ..PooledEndpoint::new(*slots)
                },
            };
            self.endpoints.insert(id.clone(), endpoint);
        }
        self.next_scan_at = Duration::ZERO;
    }

    /// Adopts changed settings.
    pub fn set_settings(&mut self, settings: HealthSettings) {
        self.settings = settings;
        self.next_scan_at = Duration::ZERO;
    }

    /// Records how many requests the fleet holds on an endpoint from `now` on.
    pub fn record_held(&mut self, now: Duration, id: &EndpointId, requests: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.budget.record_held(now, requests);
        }
    }

    /// Counts a complete answer to an attempt that started at `started_at`.
    pub fn record_success(
        &mut self,
        now: Duration,
        id: &EndpointId,
        started_at: Duration,
        first_byte: Duration,
    ) {
        let stale_after = self.stale_after();
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint
            .budget
            .record_first_byte(now, first_byte, stale_after);
        if endpoint.breaker.record_success(now, started_at) {
            endpoint.ramp_slots = Some(1);
        }
        endpoint.advance_slow_start(now, stale_after);
        self.note_change(now, id);
    }

    /// Counts a failed attempt that started at `started_at`, or a failed read of the load report.
    pub fn record_failure(
        &mut self,
        now: Duration,
        id: &EndpointId,
        started_at: Duration,
        kind: FailureKind,
    ) {
        let others = self.counts_of_others(id);
        let idle_timeout = millis(self.settings.stream_idle_timeout_ms);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        // A middlebox can lose the state of an open connection while new connections work. An
        // endpoint whose report was read since the connection fell silent is not at fault.
        let has_fresh_report = endpoint
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) < idle_timeout);
        if kind == FailureKind::Silent && has_fresh_report && !endpoint.breaker.is_half_open() {
            return;
        }
        let settings = &self.settings;
        let breaker = &mut endpoint.breaker;
        if breaker.record_failure(now, started_at, kind, settings, others) {
            self.eject(now, id);
            self.note_change(now, id);
        }
    }

    /// Records a load report; `load.age` is the time since its measurement.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::endpoint_health::PoolHealth;
    /// use sedgeridge_coordination::slot_budget::EndpointLoad;
    /// use sedgeridge_state::ids::EndpointId;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let desk = EndpointId::from("desk-1");
    /// let mut health = PoolHealth::new(HealthSettings::default());
    /// health.configure(&[(desk.clone(), 8)]);
    /// let load = EndpointLoad {
    ///     running: 3,
    ///     waiting: 0,
    ///     slots: 8,
    ///     age: Duration::from_millis(300),
    ///     leaving: true,
    /// };
    /// let now = Duration::from_secs(1);
    /// health.record_report(now, &desk, load);
    /// assert!(health.is_leaving(&desk));
    /// ```
    pub fn record_report(&mut self, now: Duration, id: &EndpointId, load: EndpointLoad) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let measured_at = now.saturating_sub(load.age);
        endpoint.reported_at = Some(now);
        endpoint.last_report = Some((measured_at, load));
        endpoint.breaker.record_report(now, measured_at);
        endpoint.budget.record_report(now, load);
        let was_leaving = endpoint.leaving.is_leaving();
        endpoint.leaving.record_report(load.leaving, measured_at);
        let leaving_changed = endpoint.leaving.is_leaving() != was_leaving;
        self.note_change(now, id);
        if leaving_changed {
            self.enforce_ejection_limit(now);
        }
    }

    /// Records whether an endpoint is leaving according to a source other than the endpoint.
    ///
    /// A single source is enough to stop new work, and no source can revoke the notice of another:
    /// the host list lags, so its "not leaving" may be outdated.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::endpoint_health::{LeavingSource, PoolHealth};
    /// use sedgeridge_state::ids::EndpointId;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let desk = EndpointId::from("desk-1");
    /// let mut health = PoolHealth::new(HealthSettings::default());
    /// health.configure(&[(desk.clone(), 8)]);
    /// health.set_leaving(Duration::ZERO, &desk, LeavingSource::Peer, true);
    /// assert_eq!(health.usable_slots(Duration::ZERO, &desk), 0);
    /// ```
    pub fn set_leaving(
        &mut self,
        now: Duration,
        id: &EndpointId,
        source: LeavingSource,
        leaving: bool,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        match source {
            LeavingSource::Peer => endpoint.leaving.by_peer_at = leaving.then_some(now),
            LeavingSource::HostList => endpoint.leaving.by_host_list = leaving,
        }
        self.note_change(now, id);
        self.enforce_ejection_limit(now);
    }

    /// Tells whether an endpoint is leaving.
    pub fn is_leaving(&self, id: &EndpointId) -> bool {
        self.endpoints
            .get(id)
            .is_some_and(|endpoint| endpoint.leaving.is_leaving())
    }

    /// Returns how many requests the fleet may hold on an endpoint, including those in progress.
    pub fn usable_slots(&self, now: Duration, id: &EndpointId) -> u32 {
        self.endpoints
            .get(id)
            .map_or(0, |endpoint| endpoint.usable_slots(now, self.stale_after()))
    }

    /// Returns the condition of an endpoint; an unknown one counts as serving.
    ///
    /// ```
    /// use sedgeridge_coordination::endpoint_health::PoolHealth;
    /// use sedgeridge_coordination::node_view::EndpointCondition;
    /// use sedgeridge_state::ids::EndpointId;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let desk = EndpointId::from("desk-1");
    /// let mut health = PoolHealth::new(HealthSettings::default());
    /// health.configure(&[(desk.clone(), 8)]);
    /// assert_eq!(health.condition(&desk), EndpointCondition::Serving);
    /// ```
    pub fn condition(&self, id: &EndpointId) -> EndpointCondition {
        match self.endpoints.get(id) {
            Some(endpoint) if endpoint.leaving.is_leaving() => EndpointCondition::Leaving,
            Some(endpoint) if endpoint.breaker.is_ejected() => EndpointCondition::Ejected,
            _ => EndpointCondition::Serving,
        }
    }

    /// Returns the last load report of an endpoint.
    pub(crate) fn report(&self, now: Duration, id: &EndpointId) -> Option<LoadReportView> {
        let (measured_at, load) = self.endpoints.get(id)?.last_report?;
        let age = now.saturating_sub(measured_at);
        Some(LoadReportView { load, age })
    }

    /// Ends expired ejections, and returns the endpoints whose usable slots changed since the last
    /// call. Called after events and at each tick.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::endpoint_health::PoolHealth;
    /// use sedgeridge_state::ids::EndpointId;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let desk = EndpointId::from("desk-1");
    /// let mut health = PoolHealth::new(HealthSettings::default());
    /// health.configure(&[(desk.clone(), 8)]);
    /// let changes = health.take_changes(Duration::ZERO);
    /// assert_eq!((changes[0].endpoint.as_str(), changes[0].slots), ("desk-1", 8));
    /// assert!(health.take_changes(Duration::ZERO).is_empty());
    /// ```
    pub fn take_changes(&mut self, now: Duration) -> Vec<UsableSlots> {
        if now >= self.next_scan_at {
            self.scan(now);
        }
        let stale_after = self.stale_after();
        let mut changes = Vec::new();
        for id in std::mem::take(&mut self.changed_ids) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let slots = endpoint.usable_slots(now, stale_after);
            if endpoint.announced_slots.replace(slots) != Some(slots) {
                changes.push(UsableSlots {
                    endpoint: id,
                    slots,
                });
            }
        }
        changes
    }

    // Runs only when an endpoint changes without an event: visiting all endpoints of a large pool
    // at each event would be slow.
    fn scan(&mut self, now: Duration) {
        let stale_after = self.stale_after();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.breaker.open_until().is_some_and(|at| at <= now) {
                endpoint.breaker.half_open(now);
            }
        }
        self.enforce_ejection_limit(now);
        self.changed_ids.extend(self.endpoints.keys().cloned());
        let next_changes = self.endpoints.values();
        self.next_scan_at = next_changes
            .filter_map(|endpoint| endpoint.next_change_at(now, stale_after))
            .min()
            .unwrap_or(Duration::MAX);
    }

    fn note_change(&mut self, now: Duration, id: &EndpointId) {
        let stale_after = self.stale_after();
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        if let Some(at) = endpoint.next_change_at(now, stale_after) {
            self.next_scan_at = self.next_scan_at.min(at);
        }
        self.changed_ids.insert(id.clone());
    }

    fn stale_after(&self) -> Duration {
        millis(self.settings.report_interval_ms) * STALE_REPORT_INTERVALS
    }

    fn counts_of_others(&self, id: &EndpointId) -> AnswerCounts {
        let mut others = AnswerCounts::default();
        for (other, endpoint) in &self.endpoints {
            if other != id {
                others.add(endpoint.breaker.counts());
            }
        }
        others
    }

    // An endpoint that may not be ejected is throttled instead: one that fails fast frees its slots
    // fast, and would attract the work of the whole pool and fail it.
    fn eject(&mut self, now: Duration, id: &EndpointId) {
        let may_eject = self.may_eject(id);
        let settings = &self.settings;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if may_eject {
            endpoint.breaker.open(now, settings);
        } else {
            endpoint.throttle(now);
        }
    }

    fn may_eject(&self, id: &EndpointId) -> bool {
        let mut ejected = 0;
        let mut in_service = 0;
        for (other, endpoint) in &self.endpoints {
            if other != id {
                ejected += usize::from(endpoint.breaker.is_ejected());
                in_service += usize::from(endpoint.is_in_service());
            }
        }
        in_service > 0 && ejected < self.max_ejected()
    }

    fn max_ejected(&self) -> usize {
        let percent = usize::try_from(self.settings.max_ejected_percent.min(100)).unwrap_or(100);
        self.endpoints.len() * percent / 100
    }

    // When endpoints leave the pool, the ejected ones may become too large a share of it, or all of
    // it. Those that would return first are readmitted at once, with a slow start.
    fn enforce_ejection_limit(&mut self, now: Duration) {
        while self.ejected_count() > self.max_ejected() || !self.has_usable_endpoint() {
            let Some((id, endpoint)) = self.first_to_return() else {
                return;
            };
            endpoint.throttle(now);
            let id = id.clone();
            self.changed_ids.insert(id);
        }
    }

    fn ejected_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.breaker.is_ejected())
            .count()
    }

    fn has_usable_endpoint(&self) -> bool {
        self.endpoints.values().any(|endpoint| {
            !endpoint.leaving.is_leaving() && endpoint.breaker.open_until().is_none()
        })
    }

    fn first_to_return(&mut self) -> Option<(&EndpointId, &mut PooledEndpoint)> {
        self.endpoints
            .iter_mut()
            .filter(|(_, endpoint)| endpoint.breaker.is_ejected())
            .min_by_key(|(_, endpoint)| {
                (endpoint.leaving.is_leaving(), endpoint.breaker.open_until())
            })
    }
}
