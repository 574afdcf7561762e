//! Health state of one endpoint of a pool: breaker, slot budget, slow start and leaving notices.

use std::time::Duration;

use crate::breaker::Breaker;
use crate::slot_budget::EndpointLoad;
use crate::slot_budget::SlotBudget;

/// Time for which a router's notice of leaving takes precedence over reports that say otherwise,
/// since reports lag.
const LEAVING_NOTICE_PRECEDENCE: Duration = Duration::from_secs(10);

/// Sources that say that an endpoint is leaving.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    by_report: bool,
    pub(crate) by_peer_at: Option<Duration>,
    pub(crate) by_host_list: bool,
}

impl Leaving {
    pub(crate) fn is_leaving(&self) -> bool {
        self.by_report || self.by_peer_at.is_some() || self.by_host_list
    }

    pub(crate) fn record_report(&mut self, leaving: bool, measured_at: Duration) {
        self.by_report = leaving;
        let is_outlived = |at: Duration| measured_at > at + LEAVING_NOTICE_PRECEDENCE;
        if !leaving && self.by_peer_at.is_some_and(is_outlived) {
            self.by_peer_at = None;
        }
    }
}

/// Health state of one endpoint.
#[derive(Debug)]
pub(crate) struct PooledEndpoint {
    pub(crate) breaker: Breaker,
    pub(crate) budget: SlotBudget,
    /// Slot limit of the slow start, while it lasts.
    pub(crate) ramp_slots: Option<u32>,
    pub(crate) leaving: Leaving,
    pub(crate) reported_at: Option<Duration>,
    /// The last report and the time of its measurement.
    pub(crate) last_report: Option<(Duration, EndpointLoad)>,
    /// Usable slots last returned by `PoolHealth::take_changes`.
    pub(crate) announced_slots: Option<u32>,
}

impl PooledEndpoint {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            breaker: Breaker::new(),
            budget: SlotBudget::new(slots),
            ramp_slots: None,
            leaving: Leaving::default(),
            reported_at: None,
            last_report: None,
            announced_slots: None,
        }
    }

    /// Tells whether the endpoint is neither leaving nor ejected.
    pub(crate) fn is_in_service(&self) -> bool {
        !self.leaving.is_leaving() && !self.breaker.is_ejected()
    }

    /// Returns how many requests may be held on the endpoint.
    pub(crate) fn usable_slots(&self, now: Duration, stale_after: Duration) -> u32 {
        if self.leaving.is_leaving() || self.breaker.open_until().is_some() {
            return 0;
        }
        if self.breaker.is_half_open() {
            return 1;
        }
        let usable = self.budget.usable_slots(now, stale_after);
        self.ramp_slots.map_or(usable, |slots| slots.min(usable))
    }

    /// Raises the slow start by one slot for each answer. That doubles the load within the duration
    /// of one request: a cold endpoint is not flooded, and a warm one is soon back at full load.
    pub(crate) fn advance_slow_start(&mut self, now: Duration, stale_after: Duration) {
        let Some(slots) = self.ramp_slots else { return };
        if slots + 1 >= self.budget.usable_slots(now, stale_after) {
            self.ramp_slots = None;
            self.breaker.reset_ejections();
        } else {
            self.ramp_slots = Some(slots + 1);
        }
    }

    /// Readmits the endpoint although it fails, starting with one request at a time.
    pub(crate) fn throttle(&mut self, now: Duration) {
        self.breaker.force_close(now);
        self.ramp_slots = Some(1);
    }

    /// Returns when the usable slots change next without any event.
    pub(crate) fn next_change_at(&self, now: Duration, stale_after: Duration) -> Option<Duration> {
        let returns_at = self.breaker.open_until();
        let foreign_expires_at = self.budget.foreign_expires_at(stale_after);
        returns_at.or(foreign_expires_at.filter(|at| *at > now))
    }
}
