//! Decides what a host still does at which time of a planned stop.

use std::time::Duration;

/// Time in which the balancer may still send callers here. It asks each second and removes a host after two misses.
const OUT_OF_ROTATION_TIME: Duration = Duration::from_millis(2_600);
/// Fraction of the grace period after which the process ends, whatever is in progress.
const USABLE_GRACE_FRACTION: f64 = 0.94;
/// Time in which the last answers reach their callers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);

/// Times of a planned stop.
#[derive(Debug, Clone, Copy)]
pub struct StopTimes {
    /// Requests that arrive later are refused.
    pub accepts_until: Duration,
    /// Requests without a response are answered now, so that none is cut off without a word.
    pub answers_at: Duration,
    /// The process ends, whatever is in progress.
    pub ends_at: Duration,
}

impl StopTimes {
    /// Returns the times of a stop that was requested at `requested_at`, after which the process is killed within
    /// `grace_period`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::stop_times::StopTimes;
    ///
    /// let times = StopTimes::new(Duration::from_secs(100), Duration::from_secs(8));
    /// assert_eq!(times.accepts_until, Duration::from_millis(102_600));
    /// assert!(times.answers_at < times.ends_at);
    /// assert!(times.ends_at < Duration::from_secs(108));
    /// ```
    pub fn new(requested_at: Duration, grace_period: Duration) -> Self {
        let ends_at = requested_at + grace_period.mul_f64(USABLE_GRACE_FRACTION);
        Self {
            accepts_until: requested_at + OUT_OF_ROTATION_TIME.min(grace_period / 2),
            answers_at: ends_at.saturating_sub(LAST_ANSWERS_TIME).max(requested_at),
            ends_at,
        }
    }

    /// Tells whether an endpoint that usually answers within `usual_time` can still answer a request.
    pub fn leaves_time_for(&self, now: Duration, usual_time: Duration) -> bool {
        now + usual_time < self.answers_at
    }
}
