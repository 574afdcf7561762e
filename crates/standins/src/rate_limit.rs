//! A token bucket, for the limits of the platform's services.

use std::time::Duration;

/// Part of a second's permits that may be used at once.
const BURST_S: f64 = 0.1;

/// Lets a number of calls through each second, with a small burst.
#[derive(Debug)]
pub struct RateLimit {
    permits_per_s: f64,
    permits: f64,
    filled_at: Duration,
}

impl RateLimit {
    /// Starts with a full bucket.
    pub fn new(permits_per_s: f64) -> Self {
        Self {
            permits_per_s,
            permits: burst(permits_per_s),
            filled_at: Duration::ZERO,
        }
    }

    /// Takes one permit, if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        let gained = (now.saturating_sub(self.filled_at)).as_secs_f64() * self.permits_per_s;
        self.permits = (self.permits + gained).min(burst(self.permits_per_s));
        self.filled_at = now;
        let has_one = self.permits >= 1.0;
        if has_one {
            self.permits -= 1.0;
        }
        has_one
    }

    /// Whole seconds after which a refused call may come back.
    pub fn retry_after_s(&self) -> u64 {
        (1.0 / self.permits_per_s).ceil() as u64
    }
}

fn burst(permits_per_s: f64) -> f64 {
    (permits_per_s * BURST_S).max(1.0)
}
