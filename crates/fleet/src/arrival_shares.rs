//! Shares of recent requests that have a part of prompts, or the same content.

use std::collections::HashMap;
use std::time::Duration;

use crate::suspect::Suspect;

/// Time for which a generation counts arrivals. Two of them are kept.
const GENERATION_TIME: Duration = Duration::from_secs(5);
/// Maximum number of suspects in a generation. Common ones are among the first.
const MAX_COUNTED: usize = 4_096;
/// Minimum number of arrivals with prompts, and with fingerprints, from which shares are known.
const MIN_PROMPTS: u32 = 5;
const MIN_FINGERPRINTS: u32 = 20;
/// Share of the arrivals with prompts above which a part counts as common.
const COMMON_PART_SHARE: f64 = 0.5;
/// Share of the arrivals with a fingerprint above which their content counts as common: it is not one request that comes
/// again and again.
const COMMON_REQUEST_SHARE: f64 = 0.1;

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
    fingerprints: u32,
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

    /// Tells whether many of the recent requests have something in common. `None` if there were too few.
    pub fn is_common(&self, suspect: Suspect) -> Option<bool> {
        let (young, old) = (&self.young, &self.old);
        let (arrivals, min_arrivals, common_share) = match suspect.is_part() {
            true => (young.prompts + old.prompts, MIN_PROMPTS, COMMON_PART_SHARE),
            false => {
                let fingerprints = young.fingerprints + old.fingerprints;
                (fingerprints, MIN_FINGERPRINTS, COMMON_REQUEST_SHARE)
            }
        };
        if arrivals < min_arrivals {
            return None;
        }
        let count = young.count(suspect) + old.count(suspect);
        Some(f64::from(count) > f64::from(arrivals) * common_share)
    }
}

impl Generation {
    fn note(&mut self, suspects: &[Suspect]) {
        let has_prompt = suspects.iter().any(|suspect| suspect.is_part());
        let has_fingerprint = suspects.iter().any(|suspect| !suspect.is_part());
        self.prompts += u32::from(has_prompt);
        self.fingerprints += u32::from(has_fingerprint);
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
