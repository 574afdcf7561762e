//! Rate at which requests start from a queue, measured only while requests wait in it.

use std::time::Duration;

/// Number of starts from which on the measured gap is used.
const MIN_STARTS: u32 = 3;
/// Minimum factor by which the weight of the past is multiplied at each start.
const MIN_KEPT_WEIGHT: f64 = 0.875;
/// Time constant with which the weight of the past decays when starts follow quickly.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Time without waiting requests after which the measurement is discarded.
const STALE_AFTER: Duration = Duration::from_secs(60);

/// Mean gap between two starts from one queue.
///
/// Starts come in bursts, since grants are sent in batches. The past is therefore weighted by time
/// when starts follow quickly, and by their number when they follow slowly.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::drain_rate::DrainRate;
///
/// let mut rate = DrainRate::default();
/// rate.record_queued(Duration::ZERO);
/// for second in 1..=10 {
///     rate.record_started(Duration::from_secs(second), true);
/// }
/// assert_eq!(rate.expected_gap(Duration::from_secs(10)), Some(Duration::from_secs(1)));
/// ```
#[derive(Debug, Default)]
pub struct DrainRate {
    starts: u32,
    weighted_starts: f64,
    weighted_gaps_s: f64,
    waiting_since: Option<Duration>,
    changed_at: Duration,
}

impl DrainRate {
    /// Records that a request joined the queue.
    pub fn record_queued(&mut self, now: Duration) {
        if self.is_stale(now) {
            *self = Self::default();
        }
        self.waiting_since.get_or_insert(now);
        self.changed_at = now;
    }

    /// Records that a request left the queue to run; `others_wait` tells whether more wait.
    pub fn record_started(&mut self, now: Duration, others_wait: bool) {
        let elapsed_s = self.elapsed_s(now);
        let kept = kept_weight(elapsed_s);
        self.starts = self.starts.saturating_add(1);
        self.weighted_starts = self.weighted_starts * kept + 1.0;
        self.weighted_gaps_s = self.weighted_gaps_s * kept + elapsed_s;
        self.waiting_since = others_wait.then_some(now);
        self.changed_at = now;
    }

    /// Records that the last waiting request left without having run.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::drain_rate::DrainRate;
    ///
    /// let mut rate = DrainRate::default();
    /// rate.record_queued(Duration::ZERO);
    /// rate.record_emptied(Duration::from_secs(1));
    /// assert!(rate.is_stale(Duration::from_secs(100)));
    /// ```
    pub fn record_emptied(&mut self, now: Duration) {
        self.waiting_since = None;
        self.changed_at = now;
    }

    /// Returns the expected gap between two starts, or `None` while too few starts were measured.
    ///
    /// While requests wait and none starts, the expected gap grows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::drain_rate::DrainRate;
    ///
    /// assert_eq!(DrainRate::default().expected_gap(Duration::ZERO), None);
    /// ```
    pub fn expected_gap(&self, now: Duration) -> Option<Duration> {
        if self.starts < MIN_STARTS || self.is_stale(now) {
            return None;
        }
        let elapsed_s = self.elapsed_s(now);
        let kept = kept_weight(elapsed_s);
        let measured_s = self.weighted_gaps_s / self.weighted_starts;
        let stalled_s =
            (self.weighted_gaps_s * kept + elapsed_s) / (self.weighted_starts * kept + 1.0);
        Some(Duration::from_secs_f64(measured_s.max(stalled_s)))
    }

    /// Tells whether no request waited for so long that the measurement is obsolete.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::drain_rate::DrainRate;
    ///
    /// assert!(DrainRate::default().is_stale(Duration::from_secs(3_600)));
    /// ```
    pub fn is_stale(&self, now: Duration) -> bool {
        self.waiting_since.is_none() && now.saturating_sub(self.changed_at) > STALE_AFTER
    }

    fn elapsed_s(&self, now: Duration) -> f64 {
        self.waiting_since
            .map_or(0.0, |since| now.saturating_sub(since).as_secs_f64())
    }
}

fn kept_weight(elapsed_s: f64) -> f64 {
    (-elapsed_s / DECAY_TIME.as_secs_f64())
        .exp()
        .max(MIN_KEPT_WEIGHT)
}
