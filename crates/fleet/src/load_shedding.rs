//! Which part of its callers' requests a host without the processor time for all of them sends to other hosts.
//!
//! The balancer leads all connections of a client to one host, which may get more than it can forward while others of
//! its data centre are idle. A request that is refused at once comes back to another host within its latency target;
//! one that waits for the processor is late here, and so is everybody else's.

use std::time::Duration;

/// Lateness of the event loop's timers from which on requests are shed.
const LATE: Duration = Duration::from_millis(20);
/// Added to the part that is shed for each such time by which a timer is late. The further the loop is behind, the fewer
/// timers there are to tell of it.
const RISE: f64 = 0.1;
/// Taken from it at each timer that is in time.
const FALL: f64 = 0.03;
/// Largest part that is shed: some requests have to show whether there is time again.
const MOST: f64 = 0.98;

/// The part that is shed, found out from how late timers are.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::load_shedding::LoadShedding;
///
/// let mut shedding = LoadShedding::default();
/// assert!(!shedding.takes_turn());
/// for _ in 0..40 {
///     shedding.on_timer(Duration::from_millis(100));
/// }
/// let shed = (0..100).filter(|_| shedding.takes_turn()).count();
/// assert!(shed > 90);
/// ```
#[derive(Debug, Default)]
pub struct LoadShedding {
    part: f64,
    due: f64,
}

impl LoadShedding {
    /// Notes how late a timer was.
    pub fn on_timer(&mut self, late: Duration) {
        self.part = match late > LATE {
            true => {
                let times = late.as_secs_f64() / LATE.as_secs_f64();
                (self.part + RISE * times).min(MOST)
            }
            false => (self.part - FALL).max(0.0),
        };
    }

    /// Tells whether any requests are shed.
    pub fn is_active(&self) -> bool {
        self.part > 0.0
    }

    /// Tells whether the next request is shed.
    pub fn takes_turn(&mut self) -> bool {
        self.due += self.part;
        let is_due = self.due >= 1.0;
        if is_due {
            self.due -= 1.0;
        }
        is_due
    }
}
