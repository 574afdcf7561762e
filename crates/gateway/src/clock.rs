//! The process's clock.

use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::clock;

/// A clock that each task of the event loop can own. It is never the time of day, which can jump.
pub trait Clock: clock::Clock + Clone + 'static {}

impl<C: clock::Clock + Clone + 'static> Clock for C {}

/// The system's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    started_at: Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }
}

impl clock::Clock for MonotonicClock {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}
