//! Tracks endpoints that refused a request and want no further ones from this host for a while.

use std::time::Duration;

use nohash_hasher::IntMap;

/// End of each endpoint's pause, by [`Endpoint::key`](crate::endpoint_table::Endpoint::key).
///
/// Pauses are kept apart from the list of endpoints: a pause goes on when the endpoint's entry
/// lapses and comes back.
#[derive(Debug, Default)]
pub struct EndpointPauses {
    until: IntMap<u64, Duration>,
}

impl EndpointPauses {
    /// Records that an endpoint wants no requests until `until` at least.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::endpoint_pauses::EndpointPauses;
    ///
    /// let mut pauses = EndpointPauses::default();
    /// pauses.note(7, Duration::from_secs(3));
    /// pauses.note(7, Duration::from_secs(1));
    /// assert_eq!(pauses.until(Duration::ZERO, 7), Some(Duration::from_secs(3)));
    /// assert_eq!(pauses.until(Duration::from_secs(3), 7), None);
    /// ```
    pub fn note(&mut self, endpoint: u64, until: Duration) {
        let noted = self.until.entry(endpoint).or_default();
        *noted = until.max(*noted);
    }

    /// Returns the end of the endpoint's pause, if it is paused.
    pub fn until(&self, now: Duration, endpoint: u64) -> Option<Duration> {
        let until = self.until.get(&endpoint).copied();
        until.filter(|until| now < *until)
    }

    /// Forgets pauses that are over.
    pub fn tick(&mut self, now: Duration) {
        self.until.retain(|_, until| now < *until);
    }
}
