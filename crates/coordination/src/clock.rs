//! Clock interface, so that tests can replay every decision.

use std::time::Duration;

/// Monotonic clock.
pub trait Clock {
    /// Returns the time since the process started. It never goes back.
    fn now(&self) -> Duration;
}

/// A clock that a test advances.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::clock::{Clock, ManualClock};
///
/// let mut clock = ManualClock::default();
/// clock.advance(Duration::from_millis(5));
/// assert_eq!(clock.now(), Duration::from_millis(5));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    now: Duration,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&mut self, by: Duration) {
        self.now += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        self.now
    }
}
