//! When the caller of a refused request should come back.

use std::time::Duration;

/// Earliest return, as a part of the latency target. Reports between hosts and the way of a new
/// connection take about as long; a caller that is back sooner meets the state that refused it.
const EARLIEST_PART: f64 = 0.1;
/// Part of the latency target over which callers that are refused at the same time are spread.
/// Told one moment, they would arrive as a burst and refuse each other.
const SPREAD_PART: f64 = 0.2;
/// Return of a caller that has no chance to be served in time: about the length of a burst of
/// arrivals. Its answer will be late anyway; before that it would only take the place of another.
const LATE_RETURN: Duration = Duration::from_millis(2_000);
/// Spread of such returns, as a part of the time to them.
const LATE_SPREAD: f64 = 0.5;
/// Fractional part of the golden ratio. Its multiples fill the unit interval evenly, however many
/// are taken.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// What is known of a request when it is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Latency target of its route.
    pub latency_target: Duration,
    /// Time that it has waited here.
    pub waited: Duration,
    /// Time until the best endpoint has worked off enough of its backlog.
    pub backlog_wait: Duration,
    /// Expected time from then on to the first piece of its answer.
    pub first_piece_delay: Duration,
}

/// Return times of the callers that one host refuses.
///
/// A caller that comes back within its latency target is served as if it had never been refused:
/// engines fall idle within tens of milliseconds, and another host may know of room. One that was
/// sent away for two seconds is late for certain, and takes engine time from a request that would
/// still be in time.
#[derive(Debug, Default)]
pub struct RetryDelays {
    refusals: u64,
}

impl RetryDelays {
    /// Returns how long the caller should wait.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::retry_delay::{RefusedRequest, RetryDelays};
    ///
    /// let outlook = RefusedRequest {
    ///     latency_target: Duration::from_millis(500),
    ///     waited: Duration::ZERO,
    ///     backlog_wait: Duration::from_millis(100),
    ///     first_piece_delay: Duration::from_millis(80),
    /// };
    /// let wait = RetryDelays::default().after_refusal(outlook);
    /// assert!(wait >= outlook.backlog_wait);
    /// assert!(wait + outlook.first_piece_delay <= outlook.latency_target);
    /// ```
    pub fn after_refusal(&mut self, outlook: RefusedRequest) -> Duration {
        let fraction = self.next_fraction();
        let target = outlook.latency_target;
        let earliest = outlook.backlog_wait.max(target.mul_f64(EARLIEST_PART));
        let latest = target.saturating_sub(outlook.waited + outlook.first_piece_delay);
        if earliest > latest {
            let spread = LATE_RETURN.mul_f64(LATE_SPREAD * fraction);
            return outlook.backlog_wait.max(LATE_RETURN) + spread;
        }
        let spread = target.mul_f64(SPREAD_PART).min(latest - earliest);
        earliest + spread.mul_f64(fraction)
    }

    /// Returns how long a caller should wait for a service none of whose endpoints takes requests before `opens_in`.
    /// All who are refused until then would otherwise come back at one moment.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::retry_delay::RetryDelays;
    ///
    /// let opens_in = Duration::from_secs(2);
    /// let mut returns = RetryDelays::default();
    /// let [one, other] = [(); 2].map(|()| returns.while_closed(opens_in));
    /// assert!(one >= opens_in && other >= opens_in);
    /// assert_ne!(one, other);
    /// ```
    pub fn while_closed(&mut self, opens_in: Duration) -> Duration {
        let spread = opens_in.mul_f64(LATE_SPREAD * self.next_fraction());
        opens_in.saturating_add(spread)
    }

    fn next_fraction(&mut self) -> f64 {
        self.refusals = self.refusals.wrapping_add(1);
        (self.refusals as f64 * GOLDEN_FRACTION).fract()
    }
}
