//! Computes how long the caller of a refused request should wait before it retries.

use std::time::Duration;

/// Shortest delay, as a fraction of the latency target. Reports between hosts and a new connection take about as long; a
/// caller that retries sooner meets the state in which it was refused.
const MIN_DELAY_RATIO: f64 = 0.1;
/// Fraction of the latency target over which the retries of callers that are refused together are spread. With one delay
/// for all, they would arrive as a burst and cause each other's refusal.
const SPREAD_RATIO: f64 = 0.2;
/// Delay of a caller that can't be served in time any more: about the length of a burst of requests. Its answer is late
/// in any case; an earlier retry would only take the place of another request.
const LATE_DELAY: Duration = Duration::from_millis(2_000);
/// Spread of late delays and of delays for closed services, as a fraction of the delay.
const LATE_SPREAD_RATIO: f64 = 0.5;
/// Fractional part of the golden ratio. Its multiples modulo 1 fill the unit interval evenly, however many are taken.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// State of a request at its refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Latency target of the request's route.
    pub latency_target: Duration,
    /// Time that the request has waited on this host.
    pub waited: Duration,
    /// Time until the best endpoint has reduced its backlog enough to take the request.
    pub backlog_wait: Duration,
    /// Expected time from then on to the first piece of the answer.
    pub first_piece_delay: Duration,
}

/// Retry delays for the callers that one host refuses.
///
/// A caller that retries within its latency target can still be served in time: engines become idle within tens of
/// milliseconds, and another host may know an engine with free capacity. A caller that waits for two seconds is late for
/// certain, and takes engine time from a request that could still be in time.
#[derive(Debug, Default)]
pub struct RetryDelays {
    refusals: u64,
}

impl RetryDelays {
    /// Returns how long the caller of a refused request should wait.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::retry_delay::{RefusedRequest, RetryDelays};
    ///
    /// let request = RefusedRequest {
    ///     latency_target: Duration::from_millis(500),
    ///     waited: Duration::ZERO,
    ///     backlog_wait: Duration::from_millis(100),
    ///     first_piece_delay: Duration::from_millis(80),
    /// };
    /// let wait = RetryDelays::default().after_refusal(request);
    /// assert!(wait >= request.backlog_wait);
    /// assert!(wait + request.first_piece_delay <= request.latency_target);
    /// ```
    pub fn after_refusal(&mut self, request: RefusedRequest) -> Duration {
        let fraction = self.next_fraction();
        let target = request.latency_target;
        let earliest = request.backlog_wait.max(target.mul_f64(MIN_DELAY_RATIO));
        let latest = target.saturating_sub(request.waited + request.first_piece_delay);
        if earliest > latest {
            let spread = LATE_DELAY.mul_f64(LATE_SPREAD_RATIO * fraction);
            return request.backlog_wait.max(LATE_DELAY) + spread;
        }
        let spread = target.mul_f64(SPREAD_RATIO).min(latest - earliest);
        earliest + spread.mul_f64(fraction)
    }

    /// Returns how long a caller should wait for a service of which no endpoint takes requests before `opens_in`. The
    /// delays differ, since otherwise all callers refused until then would retry at the same time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::retry_delay::RetryDelays;
    ///
    /// let opens_in = Duration::from_secs(2);
    /// let mut delays = RetryDelays::default();
    /// let [one, other] = [(); 2].map(|()| delays.while_closed(opens_in));
    /// assert!(one >= opens_in && other >= opens_in);
    /// assert_ne!(one, other);
    /// ```
    pub fn while_closed(&mut self, opens_in: Duration) -> Duration {
        let spread = opens_in.mul_f64(LATE_SPREAD_RATIO * self.next_fraction());
        opens_in.saturating_add(spread)
    }

    fn next_fraction(&mut self) -> f64 {
        self.refusals = self.refusals.wrapping_add(1);
        (self.refusals as f64 * GOLDEN_FRACTION).fract()
    }
}
