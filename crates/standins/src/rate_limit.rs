//! A token bucket, for the limits of the platform's services.

use std::time::Duration;

/// Burst size, as the time in which the rate yields that many permits.
const BURST_S: f64 = 0.1;

/// Limits the calls of each second, with a small burst.
#[derive(Debug)]
pub struct RateLimit {
    permits_per_s: f64,
    permits: f64,
    refilled_at: Duration,
}

impl RateLimit {
    /// Creates a full bucket.
    pub fn new(permits_per_s: f64) -> Self {
        Self {
            permits_per_s,
            permits: burst_permits(permits_per_s),
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes one permit; `false` if none is left.
    pub fn try_take(&mut self, now: Duration) -> bool {
        let gained = (now.saturating_sub(self.refilled_at)).as_secs_f64() * self.permits_per_s;
        self.permits = (self.permits + gained).min(burst_permits(self.permits_per_s));
        self.refilled_at = now;
        let is_permitted = self.permits >= 1.0;
        if is_permitted {
            self.permits -= 1.0;
        }
        is_permitted
    }

    /// Time after which to retry a refused call, in whole seconds.
    pub fn retry_after_s(&self) -> u64 {
        (1.0 / self.permits_per_s).ceil() as u64
    }
}

fn burst_permits(permits_per_s: f64) -> f64 {
    (permits_per_s * BURST_S).max(1.0)
}
