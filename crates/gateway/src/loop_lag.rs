//! Measures how late the event loop's timers are.

use std::time::Duration;

/// Weight of the newest timer in the mean, which covers about the last five.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean lateness from which the host is overloaded, that is, has more to do than its processor
/// share allows. Timers of a host with spare time are a few milliseconds late.
const OVERLOADED_MEAN: Duration = Duration::from_millis(80);
/// Mean lateness below which the host is no longer overloaded.
const RECOVERED_MEAN: Duration = Duration::from_millis(15);

/// Detects that the host cannot keep up.
///
/// One caller can send a small host more than it can read, while others of its data centre have
/// spare capacity. Connections then wait unaccepted until their callers give up. An overloaded host
/// reports itself as not ready, so that new connections reach other hosts. Open ones stay, and the
/// caller is spread over several hosts.
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
    /// Records how late a timer was.
    pub fn record(&mut self, late: Duration) {
        self.mean_s += (late.as_secs_f64() - self.mean_s) * NEWEST_WEIGHT;
        if self.mean_s >= OVERLOADED_MEAN.as_secs_f64() {
            self.is_overloaded = true;
        } else if self.mean_s <= RECOVERED_MEAN.as_secs_f64() {
            self.is_overloaded = false;
        }
    }

    /// Returns whether the host is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
