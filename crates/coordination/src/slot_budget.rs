//! Learns how many requests an endpoint can run at once.
//!
//! Engines admit whatever arrives, and what waits inside an engine is out of the fleet's fair
//! order. The budget is the largest number of requests that an endpoint runs without a queue of
//! its own. It falls when a load report shows waiting requests and rises while the budget is used
//! up and nothing waits. Without fresh reports it follows the latency instead.

use std::collections::VecDeque;
use std::time::Duration;

/// Reports in a row that must show waiting requests: one may catch a burst before it is batched.
const REPORTS_BEFORE_DECREASE: u32 = 2;
/// Most changes of the requests held that are kept to compare a late report with.
const HISTORY_LEN: usize = 128;
/// Answers between two changes of the budget by latency.
const LATENCY_ROUND: u32 = 8;
/// Latency above that of an idle endpoint, by this factor, means that requests queue.
const LATENCY_FACTOR: u32 = 2;
/// Answers over which the latency of an idle endpoint may rise; a burst must not pass for it.
const IDLE_LATENCY_MEMORY: u32 = 1_024;

/// An endpoint's load as it was some time ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted but not yet in the batch.
    pub waiting: u32,
    /// Largest batch.
    pub slots: u32,
    /// Age of these figures.
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
    configured: u32,
    learnt: u32,
    foreign: u32,
    overfull_reports: u32,
    figures_at: Option<Duration>,
    history: VecDeque<Held>,
    recent_latency: Duration,
    idle_latency: Option<Duration>,
    answers: u32,
}

impl SlotBudget {
    /// Creates the budget of an endpoint with `configured` slots, which it may use until it is
    /// seen to run fewer.
    pub fn new(configured: u32) -> Self {
        Self {
            configured,
            learnt: configured,
            foreign: 0,
            overfull_reports: 0,
            figures_at: None,
            history: VecDeque::new(),
            recent_latency: Duration::ZERO,
            idle_latency: None,
            answers: 0,
        }
    }

    /// Adopts a changed number of slots.
    pub fn configure(&mut self, configured: u32) {
        if configured != self.configured {
            self.configured = configured;
            self.learnt = configured;
        }
    }

    /// Notes how many requests the fleet holds on the endpoint from `now` on.
    pub fn record_held(&mut self, now: Duration, requests: u32) {
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
        }
        self.history.push_back(Held {
            since: now,
            requests,
        });
    }

    /// Learns from a load report. One no newer than the last, or too old to compare, is dropped.
    pub fn record_report(&mut self, now: Duration, load: EndpointLoad) {
        let figures_at = now.saturating_sub(load.age);
        if self.figures_at.is_some_and(|last| figures_at <= last) {
            return;
        }
        let Some(held_then) = self.held_at(figures_at) else {
            return;
        };
        self.figures_at = Some(figures_at);
        // Work that this home did not grant (it restarted, or two homes disagree) fills slots too.
        // Against what is held now, a late report would show ended requests as such work.
        self.foreign = load
            .running
            .saturating_add(load.waiting)
            .saturating_sub(held_then);
        self.learn_from(load);
    }

    /// Learns from the time to the first byte of an answer, when reports are missing.
    pub fn record_first_byte(
        &mut self,
        now: Duration,
        first_byte: Duration,
        reports_stale_after: Duration,
    ) {
        self.note_latency(first_byte);
        if self.is_reported(now, reports_stale_after) {
            self.answers = 0;
            return;
        }
        self.answers += 1;
        if self.answers < LATENCY_ROUND {
            return;
        }
        self.answers = 0;
        let idle = self.idle_latency.unwrap_or(first_byte);
        if self.recent_latency > idle * LATENCY_FACTOR {
            self.learnt = decreased(self.learnt);
        } else if self.held_now() >= self.learnt {
            self.learnt = (self.learnt + 1).min(self.configured);
        }
    }

    /// Returns how many requests the fleet may hold on the endpoint; at least one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::slot_budget::{EndpointLoad, SlotBudget};
    ///
    /// let mut budget = SlotBudget::new(8);
    /// let not_ours = EndpointLoad {
    ///     running: 6,
    ///     waiting: 0,
    ///     slots: 8,
    ///     age: Duration::ZERO,
    ///     leaving: false,
    /// };
    /// let stale_after = Duration::from_secs(1);
    /// budget.record_report(Duration::from_secs(1), not_ours);
    /// assert_eq!(budget.usable_slots(Duration::from_secs(1), stale_after), 2);
    /// assert_eq!(budget.usable_slots(Duration::from_secs(9), stale_after), 8);
    /// ```
    pub fn usable_slots(&self, now: Duration, reports_stale_after: Duration) -> u32 {
        let foreign = if self.is_reported(now, reports_stale_after) {
            self.foreign
        } else {
            0
        };
        // A wrong report must not shut an endpoint out, so one slot always stays.
        self.learnt.saturating_sub(foreign).max(1)
    }

    /// Returns when work of others stops to be counted unless a report tells of it again.
    pub fn foreign_expires_at(&self, reports_stale_after: Duration) -> Option<Duration> {
        let is_counted = self.foreign > 0;
        self.figures_at
            .filter(|_| is_counted)
            .map(|at| at + reports_stale_after)
    }

    fn learn_from(&mut self, load: EndpointLoad) {
        let most = self.configured.min(load.slots.max(1));
        if load.waiting > 0 {
            self.overfull_reports += 1;
            if self.overfull_reports >= REPORTS_BEFORE_DECREASE {
                // Not below what runs: requests that were already there keep the reports overfull
                // for a while, and each would shrink the budget again.
                self.learnt = load.running.max(decreased(self.learnt)).min(self.learnt);
            }
        } else {
            self.overfull_reports = 0;
            if load.running >= self.learnt {
                self.learnt += 1;
            }
        }
        self.learnt = self.learnt.clamp(1, most.max(1));
    }

    fn note_latency(&mut self, sample: Duration) {
        let idle = self.idle_latency.unwrap_or(sample);
        let risen = idle + sample.saturating_sub(idle) / IDLE_LATENCY_MEMORY;
        self.idle_latency = Some(risen.min(sample));
        self.recent_latency = (self.recent_latency * 7 + sample) / 8;
    }

    fn is_reported(&self, now: Duration, stale_after: Duration) -> bool {
        self.figures_at.is_some_and(|at| now < at + stale_after)
    }

    fn held_now(&self) -> u32 {
        self.history.back().map_or(0, |held| held.requests)
    }

    /// Requests held at `time`; nothing when the history does not reach back so far.
    fn held_at(&self, time: Duration) -> Option<u32> {
        if self.history.len() < HISTORY_LEN && self.history.front().is_none_or(|h| h.since > time) {
            return Some(0);
        }
        let held = self.history.iter().rev().find(|held| held.since <= time)?;
        Some(held.requests)
    }
}

fn decreased(budget: u32) -> u32 {
    (budget - budget.div_ceil(4)).max(1)
}
