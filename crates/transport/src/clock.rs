//! The process clock.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sedgeridge_coordination::clock::Clock;
use sedgeridge_state::ids::Incarnation;

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started_at: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }
}

impl Clock for ProcessClock {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// Returns an incarnation above that of every earlier run on this host. It is taken from the wall clock because
/// hosts store nothing with which they could count their runs.
pub fn incarnation_from_wall_clock() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since_epoch.as_micros() as u64)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for records that outlive the
/// process. No decision relies on a precise comparison with another host's clock.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}
