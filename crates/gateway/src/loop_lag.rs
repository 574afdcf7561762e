//! How far the event loop is behind its timers.

use std::time::Duration;

/// Weight of the newest timer; about the last five count.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean lateness from which the host has more to do than its processor share allows. Timers of a
/// host with room are a few milliseconds late.
const OVERLOADED_MEAN: Duration = Duration::from_millis(80);
/// Mean lateness below which it has room again.
const RECOVERED_MEAN: Duration = Duration::from_millis(15);

/// Tells a host that cannot keep up.
///
/// One caller can bring a small host more than it can read, while others of its data centre have
/// room. Connections then wait unaccepted until their callers give up. A host that is overloaded calls
/// itself not ready, so that new connections come to other hosts. Open ones stay, and the caller is
/// spread over several hosts.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_gateway::loop_lag::LoopLag;
///
/// let mut lag = LoopLag::default();
/// for _ in 0..10 {
///     lag.record(Duration::from_millis(200));
/// }
/// assert!(lag.is_overloaded());
/// ```
#[derive(Debug, Default)]
pub struct LoopLag {
    mean_s: f64,
    is_overloaded: bool,
}

impl LoopLag {
    /// Notes how late a timer was.
    pub fn record(&mut self, late: Duration) {
        self.mean_s += (late.as_secs_f64() - self.mean_s) * NEWEST_WEIGHT;
        if self.mean_s >= OVERLOADED_MEAN.as_secs_f64() {
            self.is_overloaded = true;
        } else if self.mean_s <= RECOVERED_MEAN.as_secs_f64() {
            self.is_overloaded = false;
        }
    }

    /// Tells whether the host has more to do than it can.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
