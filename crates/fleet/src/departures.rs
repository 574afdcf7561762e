//! Endpoints that said in an answer that they leave.
//!
//! A host hears this also while the platform's store is away. The note outlives the endpoint's entry: an entry that
//! lapses and comes back may be older than the answer, and would bring the endpoint back into use.

use std::time::Duration;

use nohash_hasher::IntMap;

/// Time for which a departure is remembered: far longer than an endpoint serves on after it has said so, also if
/// the store is away.
const KEPT: Duration = Duration::from_secs(600);

/// Runs of endpoints that leave, by [`Endpoint::key`](crate::endpoint_table::Endpoint::key).
#[derive(Debug, Default)]
pub struct Departures {
    noted_at: IntMap<u64, Duration>,
}

impl Departures {
    /// Notes that a run leaves.
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

    /// Tells whether a run leaves.
    pub fn contains(&self, run: u64) -> bool {
        self.noted_at.contains_key(&run)
    }

    /// Forgets runs that left long ago.
    pub fn tick(&mut self, now: Duration) {
        self.noted_at
            .retain(|_, noted_at| now.saturating_sub(*noted_at) < KEPT);
    }
}
