//! Shares of recent prompts that have a part.

use std::collections::HashMap;
use std::time::Duration;

use crate::suspect::Suspect;

/// Time for which a generation counts arrivals. Two of them are kept.
const GENERATION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of suspects in a generation. Common ones are among the first.
const MAX_COUNTED: usize = 4_096;
/// Minimum number of prompts from which shares are known.
const MIN_PROMPTS: u32 = 5;
/// Share of the prompts above which a part counts as common.
const COMMON_PART_SHARE: f64 = 0.5;

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
    prompts: u32,
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

    /// Tells whether most of the recent prompts have a part. `None` if there were too few, or for a whole request.
    pub fn is_common(&self, suspect: Suspect) -> Option<bool> {
        let (young, old) = (&self.young, &self.old);
        let prompts = young.prompts + old.prompts;
        if prompts < MIN_PROMPTS || !suspect.is_part() {
            return None;
        }
        let count = young.count(suspect) + old.count(suspect);
        Some(f64::from(count) > f64::from(prompts) * COMMON_PART_SHARE)
    }
}

impl Generation {
    fn note(&mut self, suspects: &[Suspect]) {
        let parts = suspects.iter().filter(|suspect| suspect.is_part());
        self.prompts += u32::from(parts.clone().next().is_some());
        for suspect in parts {
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
