//! Schedule of reports to homes on other routers.

use std::time::Duration;

use crate::entry_pool::Urgency;

/// Collects changes for a short pause if work may wait for them, otherwise for a longer one.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::entry_pool::Urgency;
/// use sedgeridge_coordination::report_schedule::ReportSchedule;
///
/// let (batch_interval, lazy_interval) = (Duration::from_millis(5), Duration::from_millis(200));
/// let mut schedule = ReportSchedule::new(batch_interval, lazy_interval);
/// let start = Duration::from_secs(1);
/// schedule.note_urgency(start, Urgency::Lazy);
/// assert_eq!(schedule.due_urgency(start, Urgency::Lazy), None);
/// assert_eq!(schedule.due_urgency(start, Urgency::Urgent), Some(Urgency::Urgent));
/// assert_eq!(schedule.due_urgency(start + lazy_interval, Urgency::Lazy), Some(Urgency::Lazy));
/// ```
#[derive(Debug)]
pub struct ReportSchedule {
    batch_interval: Duration,
    lazy_interval: Duration,
    last_sent_at: Duration,
    pending_since: Option<Duration>,
}

impl ReportSchedule {
    /// Creates a schedule: urgent changes wait for at most `batch_interval`, others for
    /// `lazy_interval`.
    pub fn new(batch_interval: Duration, lazy_interval: Duration) -> Self {
        Self {
            batch_interval,
            lazy_interval,
            last_sent_at: Duration::ZERO,
            pending_since: None,
        }
    }

    /// Adopts changed pauses.
    pub fn configure(&mut self, batch_interval: Duration, lazy_interval: Duration) {
        self.batch_interval = batch_interval;
        self.lazy_interval = lazy_interval;
    }

    /// Records the present urgency of the unreported changes.
    pub fn note_urgency(&mut self, now: Duration, urgency: Urgency) {
        if urgency == Urgency::None {
            self.pending_since = None;
        } else {
            self.pending_since.get_or_insert(now);
        }
    }

    /// Returns the lowest urgency of the changes that are due, if any are.
    pub fn due_urgency(&self, now: Duration, urgency: Urgency) -> Option<Urgency> {
        let lazy_at = self.pending_since? + self.lazy_interval;
        if now >= lazy_at {
            return Some(Urgency::Lazy);
        }
        let urgent_due =
            urgency == Urgency::Urgent && now >= self.last_sent_at + self.batch_interval;
        urgent_due.then_some(Urgency::Urgent)
    }

    /// Records that the changes of this and higher urgency were sent.
    pub fn record_sent(&mut self, now: Duration, least: Urgency) {
        self.last_sent_at = now;
        if least == Urgency::Lazy {
            self.pending_since = None;
        }
    }

    /// Returns when the next changes are due, if there are any.
    pub fn next_due_at(&self, urgency: Urgency) -> Option<Duration> {
        let lazy_at = self.pending_since? + self.lazy_interval;
        Some(match urgency {
            Urgency::Urgent => lazy_at.min(self.last_sent_at + self.batch_interval),
            Urgency::None | Urgency::Lazy => lazy_at,
        })
    }
}
