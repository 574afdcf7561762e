//! Answers lost with their connections, until it is known whether their endpoints crashed.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::crash_evidence::Crash;
use crate::suspect::Suspect;

/// Time after a lost connection in which the endpoint has to be found down. Crashed endpoints are back after some seconds.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);

/// A suspect and the crash that speaks against it.
pub type SuspectCrash = (Suspect, Crash);

/// Lost answers by endpoint, and endpoints that are down.
#[derive(Debug, Default)]
pub struct LostAnswers {
    lost: IntMap<u64, Vec<SuspectCrash>>,
    down_since: IntMap<u64, Duration>,
}

impl LostAnswers {
    /// Records suspects whose connection to an endpoint was lost. Returns them if the endpoint is known to be down.
    pub fn add(
        &mut self,
        now: Duration,
        endpoint: u64,
        crashes: Vec<SuspectCrash>,
    ) -> Vec<SuspectCrash> {
        if self.is_down(now, endpoint) {
            return crashes;
        }
        self.lost.entry(endpoint).or_default().extend(crashes);
        Vec::new()
    }

    /// Returns whether suspects wait for the endpoint to be found down.
    pub fn is_awaited(&self, endpoint: u64) -> bool {
        self.lost
            .get(&endpoint)
            .is_some_and(|lost| !lost.is_empty())
    }

    /// Records that an endpoint refuses connections. Returns the suspects in its crash.
    pub fn on_down(&mut self, now: Duration, endpoint: u64) -> Vec<SuspectCrash> {
        if !self.is_down(now, endpoint) {
            self.down_since.insert(endpoint, now);
        }
        self.lost.remove(&endpoint).unwrap_or_default()
    }

    /// Drops what is too old.
    pub fn tick(&mut self, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < CONFIRMATION_TIME;
        self.lost.retain(|_, lost| {
            lost.retain(|(_, crash)| is_recent(crash.lost_at));
            !lost.is_empty()
        });
        self.down_since.retain(|_, since| is_recent(*since));
    }

    fn is_down(&self, now: Duration, endpoint: u64) -> bool {
        let since = self.down_since.get(&endpoint);
        since.is_some_and(|since| now.saturating_sub(*since) < CONFIRMATION_TIME)
    }
}
