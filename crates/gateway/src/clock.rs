//! The process's clock.

use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::clock;

/// A clock that each task of the event loop can keep. The time of day is never used: it jumps.
pub trait Clock: clock::Clock + Clone + 'static {}

impl<C: clock::Clock + Clone + 'static> Clock for C {}

/// The system's steady clock.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    started_at: Instant,
}

impl MonotonicClock {
    /// Starts counting now.
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
