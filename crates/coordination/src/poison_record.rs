//! Evidence against one request that was in progress on endpoints when they crashed.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;

/// Lost connections of one endpoint within this time belong to one crash.
pub const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);
/// Crashes beyond the threshold after which a request counts as poison whatever else ran with it.
const EXTRA_CRASHES: usize = 2;
/// Maximum number of doublings of the quarantine time.
const MAX_DOUBLINGS: u32 = 5;

/// A crash of an endpoint while it ran one request.
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
        self.endpoint == other.endpoint && self.at.abs_diff(other.at) < SAME_CRASH_WINDOW
    }
}

/// Crashes and quarantines of one request.
#[derive(Debug, Default)]
pub struct PoisonRecord {
    crashes: Vec<Crash>,
    quarantines: u32,
    quarantined_until: Option<Duration>,
    resolved_at: Option<Duration>,
}

impl PoisonRecord {
    /// Adds a crash; returns whether it was new.
    pub fn add_crash(&mut self, crash: Crash, crash_threshold: usize) -> bool {
        let is_known = self.crashes.iter().any(|known| known.is_same(&crash));
        if is_known || !self.is_unresolved(&crash) {
            return false;
        }
        if self.crashes.len() == max_kept_crashes(crash_threshold) {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Tells whether the request was in a crash or quarantined, and has not finished since.
    pub fn is_suspect(&self) -> bool {
        !self.crashes.is_empty() || self.quarantines > 0
    }

    /// Tells whether there is enough evidence for an evaluation.
    pub fn needs_evaluation(&self) -> bool {
        self.unresolved_crashes().count() >= 2 || self.quarantines > 0
    }

    /// Returns how suspect the request was in `crash`: the number of its earlier crashes and of its
    /// quarantines; 0 if it was not in progress, or not a suspect.
    ///
    /// A notice makes a crash appear later than it was, so one shortly after counts as earlier.
    pub fn suspicion_score(&self, crash: &Crash) -> u32 {
        if !self.was_in(crash) {
            return 0;
        }
        let is_earlier =
            |known: &&Crash| known.at < crash.at + SAME_CRASH_WINDOW && !known.is_same(crash);
        let earlier = self.crashes.iter().filter(is_earlier).count();
        let earlier = u32::try_from(earlier).unwrap_or(u32::MAX);
        earlier.saturating_add(self.quarantines)
    }

    fn was_in(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Evaluates the evidence. `is_prime_suspect` tells whether no other request was as suspect in
    /// a crash.
    ///
    /// The first crash counts although a whole batch was in it; a later one only if the request was
    /// the prime suspect. Otherwise innocent requests that were retried beside the poison would be
    /// refused with it.
    pub fn is_poison(
        &self,
        is_prime_suspect: impl Fn(&Crash) -> bool,
        crash_threshold: usize,
    ) -> bool {
        let was_never_quarantined = self.quarantines == 0;
        let first = self.crashes.iter().min_by_key(|crash| crash.at);
        let counts = |crash: &&Crash| {
            was_never_quarantined && Some(*crash) == first || is_prime_suspect(crash)
        };
        let counted = self.unresolved_crashes().filter(counts);
        let mut endpoints: Vec<_> = counted.map(|crash| &crash.endpoint).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        let needed = if was_never_quarantined {
            crash_threshold
        } else {
            1
        };
        endpoints.len() >= needed
            || self.unresolved_crashes().count() >= max_kept_crashes(crash_threshold)
    }

    /// Quarantines the request and returns for how long; each further quarantine lasts twice as
    /// long.
    pub fn quarantine(&mut self, now: Duration, base_duration: Duration) -> Duration {
        let duration = base_duration.saturating_mul(1 << self.quarantines.min(MAX_DOUBLINGS));
        self.quarantines += 1;
        self.quarantine_until(now, now + duration);
        duration
    }

    /// Quarantines the request at least until `until`, which resolves all crashes up to now.
    pub fn quarantine_until(&mut self, now: Duration, until: Duration) {
        self.resolved_at = self.resolved_at.max(Some(now));
        self.quarantines = self.quarantines.max(1);
        self.quarantined_until = self.quarantined_until.max(Some(until));
    }

    /// Returns for how long the request is still refused.
    pub fn quarantined_for(&self, now: Duration) -> Option<Duration> {
        let left = self.quarantined_until?.saturating_sub(now);
        (left > Duration::ZERO).then_some(left)
    }

    /// Drops all evidence, because the request finished.
    pub fn clear(&mut self, now: Duration) {
        *self = Self {
            resolved_at: Some(now),
            ..Self::default()
        };
    }

    /// Tells whether the request was cleared or quarantined since `at`, or so shortly before that a
    /// notice of an earlier crash may only have been slow: its age does not include its transit
    /// time.
    pub fn was_resolved_near(&self, at: Duration) -> bool {
        self.resolved_at
            .is_some_and(|resolved| at < resolved + SAME_CRASH_WINDOW)
    }

    /// Returns the time of the last change.
    pub fn changed_at(&self) -> Duration {
        let crashed_at = self.crashes.iter().map(|crash| crash.at).max();
        crashed_at
            .max(self.quarantined_until)
            .max(self.resolved_at)
            .unwrap_or_default()
    }

    fn is_unresolved(&self, crash: &Crash) -> bool {
        self.resolved_at.is_none_or(|resolved| crash.at > resolved)
    }

    fn unresolved_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(|crash| self.is_unresolved(crash))
    }
}

/// Maximum number of crashes kept for one request; more would prove nothing more.
fn max_kept_crashes(crash_threshold: usize) -> usize {
    crash_threshold + EXTRA_CRASHES
}
