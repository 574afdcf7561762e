//! Exponential backoff with seeded jitter.

use std::time::Duration;

use crate::random::SeededRandom;

const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff that spreads retries, so that hosts that failed together do not retry
/// together.
#[derive(Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    random: SeededRandom,
}

impl Backoff {
    /// Creates a backoff that starts at `base` and never exceeds `cap`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::backoff::Backoff;
    ///
    /// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(1), 7);
    /// assert!(backoff.delay(1) <= Duration::from_millis(100));
    /// ```
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Self {
        Self {
            base,
            cap,
            random: SeededRandom::new(seed),
        }
    }

    /// Returns the delay before the retry after this many failures: between half and all of the
    /// base, doubled for each failure after the first.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::backoff::Backoff;
    ///
    /// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(1), 7);
    /// assert!(backoff.delay(9) >= Duration::from_millis(500));
    /// ```
    pub fn delay(&mut self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let full = self.base.saturating_mul(1 << doublings).min(self.cap);
        self.jitter(full)
    }

    /// Returns a random time between half of `full` and `full`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::backoff::Backoff;
    ///
    /// let mut backoff = Backoff::new(Duration::ZERO, Duration::ZERO, 7);
    /// assert!(backoff.jitter(Duration::from_secs(2)) >= Duration::from_secs(1));
    /// ```
    pub fn jitter(&mut self, full: Duration) -> Duration {
        let half = full / 2;
        half + self.spread(half)
    }

    /// Returns a random time between zero and `full`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::backoff::Backoff;
    ///
    /// let mut backoff = Backoff::new(Duration::ZERO, Duration::ZERO, 7);
    /// assert!(backoff.spread(Duration::from_secs(2)) <= Duration::from_secs(2));
    /// ```
    pub fn spread(&mut self, full: Duration) -> Duration {
        let span_us = u64::try_from(full.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.random.below(span_us.saturating_add(1)))
    }
}
