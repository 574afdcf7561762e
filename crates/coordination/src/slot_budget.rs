//! Learns how many requests an endpoint can run at once.
//!
//! Engines admit whatever arrives, and what waits inside an engine is out of the fleet's fair
//! order. The budget is the largest number of requests that an endpoint runs without a queue of
//! its own. It falls when a load report shows waiting requests and rises while the budget is used
//! up and nothing waits. Without fresh reports it follows the latency instead.

use std::collections::VecDeque;
use std::time::Duration;

/// Consecutive reports that must show waiting requests before the budget falls: a single one may
/// catch a burst before it is batched.
const OVERFULL_REPORTS_BEFORE_DECREASE: u32 = 2;
/// Maximum number of changes in held requests that are kept for comparison with late reports.
const HISTORY_LEN: usize = 128;
/// Answers between two changes of the budget that are based on latency.
const LATENCY_ROUND_ANSWERS: u32 = 8;
/// Factor over the latency of an idle endpoint above which requests are taken to queue.
const LATENCY_FACTOR: u32 = 2;
/// Answers over which the estimated idle latency adapts upwards; slow, so that a burst does not
/// count as idle.
const IDLE_LATENCY_MEMORY_ANSWERS: u32 = 1_024;

/// Load of an endpoint at the time of its measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted but not yet in the batch.
    pub waiting: u32,
    /// Maximum batch size.
    pub slots: u32,
    /// Time since the measurement.
    pub age: Duration,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    since: Duration,
    requests: u32,
}

/// Concurrency budget of one endpoint.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::slot_budget::{EndpointLoad, SlotBudget};
///
/// let mut budget = SlotBudget::new(8);
/// let overfull = EndpointLoad {
///     running: 5,
///     waiting: 3,
///     slots: 8,
///     age: Duration::ZERO,
///     leaving: false,
/// };
/// budget.record_held(Duration::ZERO, 8);
/// for second in 1..=4 {
///     budget.record_report(Duration::from_secs(second), overfull);
/// }
/// assert_eq!(budget.usable_slots(Duration::from_secs(4), Duration::from_secs(1)), 5);
/// ```
#[derive(Debug)]
pub struct SlotBudget {
    configured_slots: u32,
    learned_slots: u32,
    foreign_requests: u32,
    overfull_reports: u32,
    measured_at: Option<Duration>,
    history: VecDeque<Held>,
    recent_latency: Duration,
    idle_latency: Option<Duration>,
    answers_without_report: u32,
}

impl SlotBudget {
    /// Creates the budget of an endpoint that may use all `configured_slots` until reports or
    /// latency show that it runs fewer.
    pub fn new(configured_slots: u32) -> Self {
        Self {
            configured_slots,
            learned_slots: configured_slots,
            foreign_requests: 0,
            overfull_reports: 0,
            measured_at: None,
            history: VecDeque::new(),
            recent_latency: Duration::ZERO,
            idle_latency: None,
            answers_without_report: 0,
        }
    }

    /// Adopts a changed number of slots.
    pub fn configure(&mut self, configured_slots: u32) {
        if configured_slots != self.configured_slots {
            self.configured_slots = configured_slots;
            self.learned_slots = configured_slots;
        }
    }

    /// Records how many requests the fleet holds on the endpoint from `now` on.
    pub fn record_held(&mut self, now: Duration, requests: u32) {
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
        }
        self.history.push_back(Held {
            since: now,
            requests,
        });
    }

    /// Learns from a load report. Ignores one that is not newer than the last, or too old to
    /// compare.
    pub fn record_report(&mut self, now: Duration, load: EndpointLoad) {
        let measured_at = now.saturating_sub(load.age);
        if self.measured_at.is_some_and(|last| measured_at <= last) {
            return;
        }
        let Some(held_at_measurement) = self.held_at(measured_at) else {
            return;
        };
        self.measured_at = Some(measured_at);
        // Work that this home did not grant (it restarted, or two homes disagree) occupies slots
        // too. Compared with the requests held now instead of at the measurement, a late report
        // would show ended requests as such work.
        self.foreign_requests = load
            .running
            .saturating_add(load.waiting)
            .saturating_sub(held_at_measurement);
        self.learn_from(load);
    }

    /// Records the time to the first byte of an answer, and learns from it while reports are
    /// missing.
    pub fn record_first_byte(
        &mut self,
        now: Duration,
        first_byte: Duration,
        reports_stale_after: Duration,
    ) {
        self.record_latency(first_byte);
        if self.has_fresh_report(now, reports_stale_after) {
            self.answers_without_report = 0;
            return;
        }
        self.answers_without_report += 1;
        if self.answers_without_report < LATENCY_ROUND_ANSWERS {
            return;
        }
        self.answers_without_report = 0;
        let idle = self.idle_latency.unwrap_or(first_byte);
        if self.recent_latency > idle * LATENCY_FACTOR {
            self.learned_slots = decreased_budget(self.learned_slots);
        } else if self.held_requests() >= self.learned_slots {
            self.learned_slots = (self.learned_slots + 1).min(self.configured_slots);
        }
    }

    /// Returns how many requests the fleet may hold on the endpoint; at least one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::slot_budget::{EndpointLoad, SlotBudget};
    ///
    /// let mut budget = SlotBudget::new(8);
    /// let foreign_work = EndpointLoad {
    ///     running: 6,
    ///     waiting: 0,
    ///     slots: 8,
    ///     age: Duration::ZERO,
    ///     leaving: false,
    /// };
    /// let stale_after = Duration::from_secs(1);
    /// budget.record_report(Duration::from_secs(1), foreign_work);
    /// assert_eq!(budget.usable_slots(Duration::from_secs(1), stale_after), 2);
    /// assert_eq!(budget.usable_slots(Duration::from_secs(9), stale_after), 8);
    /// ```
    pub fn usable_slots(&self, now: Duration, reports_stale_after: Duration) -> u32 {
        let foreign_requests = if self.has_fresh_report(now, reports_stale_after) {
            self.foreign_requests
        } else {
            0
        };
        // At least one slot stays usable, so that a wrong report cannot exclude an endpoint.
        self.learned_slots.saturating_sub(foreign_requests).max(1)
    }

    /// Returns when foreign work is no longer counted, unless another report shows it.
    pub fn foreign_expires_at(&self, reports_stale_after: Duration) -> Option<Duration> {
        let is_counted = self.foreign_requests > 0;
        self.measured_at
            .filter(|_| is_counted)
            .map(|at| at + reports_stale_after)
    }

    fn learn_from(&mut self, load: EndpointLoad) {
        let max_slots = self.configured_slots.min(load.slots.max(1));
        if load.waiting > 0 {
            self.overfull_reports += 1;
            if self.overfull_reports >= OVERFULL_REPORTS_BEFORE_DECREASE {
                // Not below the running requests: those already admitted keep the reports overfull
                // for a while, and each report would shrink the budget again.
                self.learned_slots = load
                    .running
                    .max(decreased_budget(self.learned_slots))
                    .min(self.learned_slots);
            }
        } else {
            self.overfull_reports = 0;
            if load.running >= self.learned_slots {
                self.learned_slots += 1;
            }
        }
        self.learned_slots = self.learned_slots.clamp(1, max_slots.max(1));
    }

    fn record_latency(&mut self, sample: Duration) {
        let idle = self.idle_latency.unwrap_or(sample);
        let raised = idle + sample.saturating_sub(idle) / IDLE_LATENCY_MEMORY_ANSWERS;
        self.idle_latency = Some(raised.min(sample));
        self.recent_latency = (self.recent_latency * 7 + sample) / 8;
    }

    fn has_fresh_report(&self, now: Duration, stale_after: Duration) -> bool {
        self.measured_at.is_some_and(|at| now < at + stale_after)
    }

    fn held_requests(&self) -> u32 {
        self.history.back().map_or(0, |held| held.requests)
    }

    /// Returns the requests held at `time`; `None` if the history does not reach back that far.
    fn held_at(&self, time: Duration) -> Option<u32> {
        if self.history.len() < HISTORY_LEN && self.history.front().is_none_or(|h| h.since > time) {
            return Some(0);
        }
        let held = self.history.iter().rev().find(|held| held.since <= time)?;
        Some(held.requests)
    }
}

fn decreased_budget(budget: u32) -> u32 {
    (budget - budget.div_ceil(4)).max(1)
}
