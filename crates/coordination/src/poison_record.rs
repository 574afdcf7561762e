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
    settled_at: Option<Duration>,
}

impl PoisonRecord {
    /// Adds a crash; tells whether it was news.
    pub fn add(&mut self, crash: Crash, most: usize) -> bool {
        let is_known = self.crashes.iter().any(|known| known.is_same(&crash));
        if is_known || !self.is_open(&crash) {
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

    /// Tells whether there is evidence enough for a judgement.
    pub fn is_accused(&self) -> bool {
        self.open_crashes().count() >= 2 || self.quarantines > 0
    }

    /// Returns how suspect the request was in `crash`, going by its other crashes and quarantines;
    /// 0 when it was not in progress, or was no suspect.
    ///
    /// A notice makes a crash look later than it was, so one shortly after counts as before.
    pub fn suspicion_in(&self, crash: &Crash) -> u32 {
        if !self.was_in(crash) {
            return 0;
        }
        let is_earlier = |known: &&Crash| known.at < crash.at + SAME_CRASH && !known.is_same(crash);
        let earlier = self.crashes.iter().filter(is_earlier).count();
        let earlier = u32::try_from(earlier).unwrap_or(u32::MAX);
        earlier.saturating_add(self.quarantines)
    }

    fn was_in(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Judges the request. `is_foremost` tells whether no other request was as suspect in a crash.
    ///
    /// The first crash counts although a whole batch was in it; a later one only if the request was
    /// the foremost suspect. Without this, innocent requests that were retried beside the poison
    /// would be refused with it.
    pub fn is_guilty(&self, is_foremost: impl Fn(&Crash) -> bool, most: usize) -> bool {
        let was_free = self.quarantines == 0;
        let first = self.crashes.iter().min_by_key(|crash| crash.at);
        let counts = |crash: &&Crash| was_free && Some(*crash) == first || is_foremost(crash);
        let counted = self.open_crashes().filter(counts);
        let mut endpoints: Vec<_> = counted.map(|crash| &crash.endpoint).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        let needed = if was_free { most } else { 1 };
        endpoints.len() >= needed || self.open_crashes().count() >= most_kept(most)
    }

    /// Quarantines the request; each further time lasts twice as long.
    pub fn quarantine(&mut self, now: Duration, first: Duration) -> Duration {
        let lasts = first.saturating_mul(1 << self.quarantines.min(MAX_DOUBLINGS));
        self.quarantines += 1;
        self.quarantine_until(now, now + lasts);
        lasts
    }

    /// Quarantines the request at least until `until`. Crashes up to now are judged by that.
    pub fn quarantine_until(&mut self, now: Duration, until: Duration) {
        self.settled_at = self.settled_at.max(Some(now));
        self.quarantines = self.quarantines.max(1);
        self.quarantined_until = self.quarantined_until.max(Some(until));
    }

    /// Returns for how long the request is still refused.
    pub fn quarantined_for(&self, now: Duration) -> Option<Duration> {
        let left = self.quarantined_until?.saturating_sub(now);
        (left > Duration::ZERO).then_some(left)
    }

    /// Drops all evidence, when the request finished.
    pub fn clear(&mut self, now: Duration) {
        *self = Self {
            settled_at: Some(now),
            ..Self::default()
        };
    }

    /// Tells whether the request was cleared or judged since `at`, or so shortly before that a
    /// notice of an earlier crash may only have been slow: its age leaves out the time on the way.
    pub fn was_settled_near(&self, at: Duration) -> bool {
        self.settled_at
            .is_some_and(|settled| at < settled + SAME_CRASH)
    }

    /// Returns when something was last learnt.
    pub fn changed_at(&self) -> Duration {
        let crashed_at = self.crashes.iter().map(|crash| crash.at).max();
        crashed_at
            .max(self.quarantined_until)
            .max(self.settled_at)
            .unwrap_or_default()
    }

    fn is_open(&self, crash: &Crash) -> bool {
        self.settled_at.is_none_or(|settled| crash.at > settled)
    }

    fn open_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| self.is_open(crash))
    }
}

/// Most crashes of one request that are kept; more prove no more.
fn most_kept(most: usize) -> usize {
    most + EXTRA_CRASHES
}
