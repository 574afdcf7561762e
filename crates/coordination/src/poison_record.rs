//! What is known of one request that was in progress on endpoints when they crashed.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;

/// Losses on one endpoint that lie closer together belong to one crash.
pub const SAME_CRASH: Duration = Duration::from_secs(5);
/// Crashes beyond the set number after which a request is held guilty whatever else ran with it.
const EXTRA_CRASHES: usize = 2;
/// Most doublings of the quarantine time.
const MAX_DOUBLINGS: u32 = 5;

/// A crash of an endpoint, as far as one request is concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the connection was lost.
    pub at: Duration,
}

impl Crash {
    /// Tells whether both are the same crash.
    pub fn is_same(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.at.abs_diff(other.at) < SAME_CRASH
    }
}

/// Evidence against one request.
#[derive(Debug, Default)]
pub struct PoisonRecord {
    crashes: Vec<Crash>,
    quarantines: u32,
    quarantined_until: Option<Duration>,
    cleared_at: Option<Duration>,
}

impl PoisonRecord {
    /// Adds a crash; tells whether it was news.
    pub fn add(&mut self, crash: Crash, most: usize) -> bool {
        let is_known = self.crashes.iter().any(|known| known.is_same(&crash));
        if is_known || self.cleared_at.is_some_and(|at| crash.at <= at) {
            return false;
        }
        if self.crashes.len() == most_kept(most) {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Tells whether the request was in a crash or quarantined, and has not finished since.
    pub fn is_suspect(&self) -> bool {
        !self.crashes.is_empty() || self.quarantines > 0
    }

    /// Tells whether the request was a suspect already when `crash` happened.
    pub fn was_suspect_at(&self, crash: &Crash) -> bool {
        let is_earlier = |known: &Crash| known.at < crash.at && !known.is_same(crash);
        self.quarantines > 0 || self.crashes.iter().any(is_earlier)
    }

    /// Tells whether the request was in progress in `crash`.
    pub fn was_in(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Returns the crashes, in the order in which they became known.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Judges the request: `counted` are the crashes that no other suspect may have caused. One is
    /// enough for a request that was quarantined before.
    pub fn is_guilty(&self, counted: &[&Crash], most: usize) -> bool {
        let mut endpoints: Vec<_> = counted.iter().map(|crash| &crash.endpoint).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        let needed = if self.quarantines > 0 { 1 } else { most };
        endpoints.len() >= needed || self.crashes.len() >= most + EXTRA_CRASHES
    }

    /// Quarantines the request; each further time lasts twice as long.
    pub fn quarantine(&mut self, now: Duration, first: Duration) -> Duration {
        let lasts = first.saturating_mul(1 << self.quarantines.min(MAX_DOUBLINGS));
        self.quarantines += 1;
        self.quarantine_until(now + lasts);
        lasts
    }

    /// Quarantines the request at least until `until`.
    pub fn quarantine_until(&mut self, until: Duration) {
        self.quarantines = self.quarantines.max(1);
        self.quarantined_until = self.quarantined_until.max(Some(until));
    }

    /// Returns for how long the request is still refused.
    pub fn quarantined_for(&self, now: Duration) -> Option<Duration> {
        let left = self.quarantined_until?.saturating_sub(now);
        (left > Duration::ZERO).then_some(left)
    }

    /// Drops all evidence up to `at`, when the request finished.
    pub fn clear(&mut self, at: Duration) {
        *self = Self {
            cleared_at: self.cleared_at.max(Some(at)),
            ..Self::default()
        };
    }

    /// Tells whether the request finished since `at`, or so shortly before that a notice of an
    /// earlier crash may only have been slow: its age does not count the time on the way.
    pub fn was_cleared_near(&self, at: Duration) -> bool {
        self.cleared_at
            .is_some_and(|cleared| at < cleared + SAME_CRASH)
    }

    /// Returns when something was last learnt.
    pub fn changed_at(&self) -> Duration {
        let crashed_at = self.crashes.iter().map(|crash| crash.at).max();
        crashed_at
            .max(self.quarantined_until)
            .max(self.cleared_at)
            .unwrap_or_default()
    }
}

/// Most crashes of one request that are kept; more prove no more.
fn most_kept(most: usize) -> usize {
    most + EXTRA_CRASHES
}
