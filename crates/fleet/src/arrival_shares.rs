//! Shares of recent requests that have a part of prompts, or the same content.

use std::collections::HashMap;
use std::time::Duration;

use crate::suspect::Suspect;

/// Time for which a generation counts arrivals. Two of them are kept.
const GENERATION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of suspects in a generation. What many requests have in common is among the first ones.
const MAX_COUNTED: usize = 4_096;
/// Minimum number of arrivals from which shares are known.
const MIN_ARRIVALS: u32 = 5;
/// Share of the arrivals above which something counts as common.
const COMMON_SHARE: f64 = 0.5;

/// Counts of recent arrivals at this host.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::arrival_shares::ArrivalShares;
/// use sedgeridge_fleet::suspect::Suspect;
///
/// let (first, document) = (Suspect::Part(1), Suspect::Part(2));
/// let mut arrivals = ArrivalShares::default();
/// assert_eq!(arrivals.is_common(first), None);
/// arrivals.note(Duration::ZERO, &[first, document]);
/// for _ in 0..5 {
///     arrivals.note(Duration::ZERO, &[first]);
/// }
/// assert_eq!(arrivals.is_common(first), Some(true));
/// assert_eq!(arrivals.is_common(document), Some(false));
/// ```
#[derive(Debug, Default)]
pub struct ArrivalShares {
    young: Generation,
    old: Generation,
    young_since: Duration,
}

#[derive(Debug, Default)]
struct Generation {
    arrivals: u32,
    counts: HashMap<Suspect, u32>,
}

impl ArrivalShares {
    /// Counts a request.
    pub fn note(&mut self, now: Duration, suspects: &[Suspect]) {
        if now.saturating_sub(self.young_since) >= GENERATION_TIME {
            self.old = std::mem::take(&mut self.young);
            self.young_since = now;
        }
        self.young.note(suspects);
    }

    /// Tells whether most of the recent requests have something in common. `None` if there were too few.
    pub fn is_common(&self, suspect: Suspect) -> Option<bool> {
        let arrivals = self.young.arrivals + self.old.arrivals;
        if arrivals < MIN_ARRIVALS {
            return None;
        }
        let count = self.young.count(suspect) + self.old.count(suspect);
        Some(f64::from(count) > f64::from(arrivals) * COMMON_SHARE)
    }
}

impl Generation {
    fn note(&mut self, suspects: &[Suspect]) {
        self.arrivals += 1;
        for suspect in suspects {
            if let Some(count) = self.counts.get_mut(suspect) {
                *count += 1;
            } else if self.counts.len() < MAX_COUNTED {
                self.counts.insert(*suspect, 1);
            }
        }
    }

    fn count(&self, suspect: Suspect) -> u32 {
        self.counts.get(&suspect).copied().unwrap_or(0)
    }
}
