//! Decides how long a request may wait on a host that has just started and knows no configuration yet.
//!
//! After a restart of all hosts, requests arrive before the first configuration, and a refused caller finds the other
//! hosts in the same state.

use std::time::Duration;

/// Time after the start of the process within which the first configuration is expected. A host that has none by then has
/// lost the store, and refuses requests at once.
const EXPECTED_AFTER_START: Duration = Duration::from_secs(2);
/// Fraction of the caller's remaining time that a request may wait. The latency targets are unknown without a configuration;
/// they are mostly longer than this.
const TIME_LEFT_RATIO: f64 = 0.1;
/// Longest wait, and the retry delay of a refused caller, which would return no sooner.
pub const FIRST_CONFIG_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Returns how long a request may wait for the first configuration, `since_start` after the start of the process.
/// `time_left` is the time for which its caller waits, if the request states it.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::first_config_wait::first_config_wait;
///
/// let time_left = Some(Duration::from_secs(1));
/// let wait = first_config_wait(Duration::from_millis(200), time_left);
/// assert_eq!(wait, Duration::from_millis(100));
/// assert_eq!(first_config_wait(Duration::from_secs(10), time_left), Duration::ZERO);
/// ```
pub fn first_config_wait(since_start: Duration, time_left: Option<Duration>) -> Duration {
    let until_expected = EXPECTED_AFTER_START.saturating_sub(since_start);
    let allowed = time_left.map(|time_left| time_left.mul_f64(TIME_LEFT_RATIO));
    let allowed = allowed.unwrap_or(FIRST_CONFIG_RETRY_DELAY);
    allowed.min(FIRST_CONFIG_RETRY_DELAY).min(until_expected)
}
