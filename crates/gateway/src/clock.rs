//! The process's clock.

use std::time::Duration;
use std::time::Instant;

/// Tells the time since a fixed moment of the process. The time of day is never used: it jumps.
pub trait Clock: Clone + 'static {
    /// Returns the time.
    fn now(&self) -> Duration;
}

/// The system's steady clock.
#[derive(Debug, Clone, Copy)]
pub struct SteadyClock {
    started_at: Instant,
}

impl SteadyClock {
    /// Starts counting now.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }
}

impl Clock for SteadyClock {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}
