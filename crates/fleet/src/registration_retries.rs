//! Spreads the attempts of many hosts to register in the platform's store.

use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;

/// Time over which the first retries of hosts that start together are spread. The store accepts some
/// hundred writes a second in one part of a table, and other hosts know a host by its reports before
/// it is registered.
const FIRST_SPREAD: Duration = Duration::from_secs(5);
/// Time after the store's return from an older copy in which hosts write their lost entries again: the
/// spread of the first attempts, and a margin for one that fails and for learning of the return.
pub const REGISTRATION_WINDOW: Duration = Duration::from_secs(8);
/// Longest time over which retries are spread.
const MAX_SPREAD: Duration = Duration::from_secs(10);

/// Pauses between the attempts of one host.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::random::SeededRandom;
/// use sedgeridge_fleet::registration_retries::RegistrationRetries;
///
/// let mut random = SeededRandom::new(1);
/// let mut retries = RegistrationRetries::default();
/// assert!(retries.next_pause(&mut random) < Duration::from_secs(5));
/// assert!(retries.next_pause(&mut random) < Duration::from_secs(10));
/// ```
#[derive(Debug)]
pub struct RegistrationRetries {
    spread: Duration,
}

impl Default for RegistrationRetries {
    fn default() -> Self {
        Self {
            spread: FIRST_SPREAD,
        }
    }
}

impl RegistrationRetries {
    /// Returns the pause before the next attempt: a random part of a time that doubles each time.
    pub fn next_pause(&mut self, random: &mut SeededRandom) -> Duration {
        let spread_ms = u64::try_from(self.spread.as_millis()).unwrap_or(u64::MAX);
        self.spread = self.spread.saturating_mul(2).min(MAX_SPREAD);
        Duration::from_millis(random.below(spread_ms))
    }
}
