//! One endpoint of a pool: its breaker, its budget, its slow start and who says it is leaving.

use std::time::Duration;

use crate::breaker::Breaker;
use crate::slot_budget::EndpointLoad;
use crate::slot_budget::SlotBudget;

/// Time for which a notice of leaving stands against reports that say otherwise, since they lag.
const LEAVING_NOTICE_HOLDS: Duration = Duration::from_secs(10);

/// Who says that an endpoint is leaving.
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

    pub(crate) fn record_report(&mut self, leaving: bool, figures_at: Duration) {
        self.by_report = leaving;
        let outlived = |at: Duration| figures_at > at + LEAVING_NOTICE_HOLDS;
        if !leaving && self.by_peer_at.is_some_and(outlived) {
            self.by_peer_at = None;
        }
    }
}

/// An endpoint as its pool's health sees it.
#[derive(Debug)]
pub(crate) struct PooledEndpoint {
    pub(crate) breaker: Breaker,
    pub(crate) budget: SlotBudget,
    /// Slots of a slow start, while it lasts.
    pub(crate) ramp: Option<u32>,
    pub(crate) leaving: Leaving,
    pub(crate) reported_at: Option<Duration>,
    /// The last report and when its figures were taken.
    pub(crate) report: Option<(Duration, EndpointLoad)>,
    /// Slots last told.
    pub(crate) told: Option<u32>,
}

impl PooledEndpoint {
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            breaker: Breaker::new(),
            budget: SlotBudget::new(slots),
            ramp: None,
            leaving: Leaving::default(),
            reported_at: None,
            report: None,
            told: None,
        }
    }

    /// Tells whether the endpoint takes work without limits.
    pub(crate) fn is_full_member(&self) -> bool {
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
        self.ramp.map_or(usable, |ramp| ramp.min(usable))
    }

    /// Raises a slow start by one slot for each answer. That doubles the load in the time of one
    /// request: a cold endpoint is not flooded, and a warm one is soon back at full load.
    pub(crate) fn climb(&mut self, now: Duration, stale_after: Duration) {
        let Some(ramp) = self.ramp else { return };
        if ramp + 1 >= self.budget.usable_slots(now, stale_after) {
            self.ramp = None;
            self.breaker.forgive();
        } else {
            self.ramp = Some(ramp + 1);
        }
    }

    /// Takes the endpoint back although it fails, one request at a time.
    pub(crate) fn throttle(&mut self, now: Duration) {
        self.breaker.close_anyway(now);
        self.ramp = Some(1);
    }

    /// Returns when the usable slots change by the passing of time alone.
    pub(crate) fn next_change_at(&self, now: Duration, stale_after: Duration) -> Option<Duration> {
        let returns_at = self.breaker.open_until();
        let foreign_until = self.budget.foreign_expires_at(stale_after);
        returns_at.or(foreign_until.filter(|at| *at > now))
    }
}
