//! When reports to homes on other routers go out.

use std::time::Duration;

use crate::entry_pool::Urgency;

/// Gathers news for a short pause when work may wait for it, for a longer one when none does.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::entry_pool::Urgency;
/// use sedgeridge_coordination::report_schedule::ReportSchedule;
///
/// let (batch, interval) = (Duration::from_millis(5), Duration::from_millis(200));
/// let mut schedule = ReportSchedule::new(batch, interval);
/// let start = Duration::from_secs(1);
/// schedule.note_urgency(start, Urgency::Lazy);
/// assert_eq!(schedule.due_urgency(start, Urgency::Lazy), None);
/// assert_eq!(schedule.due_urgency(start, Urgency::Urgent), Some(Urgency::Urgent));
/// assert_eq!(schedule.due_urgency(start + interval, Urgency::Lazy), Some(Urgency::Lazy));
/// ```
#[derive(Debug)]
pub struct ReportSchedule {
    batch: Duration,
    interval: Duration,
    urgent_at: Duration,
    lazy_since: Option<Duration>,
}

impl ReportSchedule {
    /// Creates a schedule: urgent news wait for `batch` at most, others for `interval`.
    pub fn new(batch: Duration, interval: Duration) -> Self {
        Self {
            batch,
            interval,
            urgent_at: Duration::ZERO,
            lazy_since: None,
        }
    }

    /// Adopts changed pauses.
    pub fn configure(&mut self, batch: Duration, interval: Duration) {
        self.batch = batch;
        self.interval = interval;
    }

    /// Notes how urgent the news are now.
    pub fn note_urgency(&mut self, now: Duration, urgency: Urgency) {
        if urgency == Urgency::None {
            self.lazy_since = None;
        } else {
            self.lazy_since.get_or_insert(now);
        }
    }

    /// Returns the least urgency of the news that are due, if any are.
    pub fn due_urgency(&self, now: Duration, urgency: Urgency) -> Option<Urgency> {
        let lazy_at = self.lazy_since? + self.interval;
        if now >= lazy_at {
            return Some(Urgency::Lazy);
        }
        let urgent_due = urgency == Urgency::Urgent && now >= self.urgent_at + self.batch;
        urgent_due.then_some(Urgency::Urgent)
    }

    /// Notes that the news of this urgency and above went out.
    pub fn record_sent(&mut self, now: Duration, least: Urgency) {
        self.urgent_at = now;
        if least == Urgency::Lazy {
            self.lazy_since = None;
        }
    }

    /// Returns when the next news are due, if there are any.
    pub fn next_due_at(&self, urgency: Urgency) -> Option<Duration> {
        let lazy_at = self.lazy_since? + self.interval;
        Some(match urgency {
            Urgency::Urgent => lazy_at.min(self.urgent_at + self.batch),
            Urgency::None | Urgency::Lazy => lazy_at,
        })
    }
}
