//! Remembers endpoints that announced in an answer that they are leaving.
//!
//! A host learns this even while the platform's store is unavailable. The note outlives the
//! endpoint's entry: an entry that lapses and comes back may be older than the answer, and would
//! bring the endpoint back into use.

use std::time::Duration;

use nohash_hasher::IntMap;

/// Time for which a departure is remembered. It is far longer than an endpoint keeps serving after
/// the announcement, even if the store is unavailable.
const RETENTION: Duration = Duration::from_secs(600);

/// Runs of endpoints that are leaving, by [`Endpoint::key`](crate::endpoint_table::Endpoint::key).
#[derive(Debug, Default)]
pub struct Departures {
    noted_at: IntMap<u64, Duration>,
}

impl Departures {
    /// Records that a run is leaving.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::departures::Departures;
    ///
    /// let mut departures = Departures::default();
    /// departures.note(Duration::ZERO, 7);
    /// assert!(departures.contains(7));
    /// ```
    pub fn note(&mut self, now: Duration, run: u64) {
        self.noted_at.insert(run, now);
    }

    /// Returns whether a run is leaving.
    pub fn contains(&self, run: u64) -> bool {
        self.noted_at.contains_key(&run)
    }

    /// Forgets runs that left long ago.
    pub fn tick(&mut self, now: Duration) {
        self.noted_at
            .retain(|_, noted_at| now.saturating_sub(*noted_at) < RETENTION);
    }
}
