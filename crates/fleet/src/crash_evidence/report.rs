//! Evidence about one suspect in a report to other hosts. Hosts share no clock, so times are ages.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::record::Crash;
use super::record::CrashRecord;
use super::record::MAX_CRASHES;
use super::record::MAX_REFUTED;
use super::record::Quarantine;
use super::record::Refutation;
use crate::peer_report::to_millis;
use crate::suspect::Suspect;

/// Longest age or duration in a report; more is absurd.
const MAX_AGE: Duration = Duration::from_secs(24 * 60 * 60);

/// A host's evidence about a suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The suspect.
    #[serde(rename = "s")]
    pub suspect: Suspect,
    /// Crashes under it.
    #[serde(rename = "c", default)]
    crashes: Vec<CrashAges>,
    /// Crashes that are refuted.
    #[serde(rename = "r", default)]
    refuted: Vec<RefutationAge>,
    /// Time since the newest crash, answer or decision in the report, in milliseconds.
    #[serde(rename = "a", default)]
    last_event_ago_ms: u64,
    /// Its last quarantine.
    #[serde(rename = "q", default)]
    quarantine: Option<QuarantineAges>,
    /// Number of the last quarantine that an answer has ended.
    #[serde(rename = "e", default)]
    cleared_round: u32,
    /// Whether a host knew of sound answers from before the crashes.
    #[serde(rename = "h", default)]
    has_history: bool,
}

/// A crash: key of the endpoint's run, and milliseconds since the suspect was sent and since the connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct CrashAges(u64, u64, u64);

/// A refuted crash: key of the endpoint's run, and milliseconds since the refutation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct RefutationAge(u64, u64);

/// A quarantine: milliseconds since the newest request that it rests on was sent, milliseconds left (negative if it is
/// over), its number, and whether the suspect may be innocent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantineAges(u64, i64, u32, bool);

impl SuspectReport {
    /// Describes a record. `now` and the times of the record are of one clock.
    pub(super) fn new(now: Duration, suspect: Suspect, record: &CrashRecord) -> Self {
        let age_ms = |at: Duration| to_millis(now.saturating_sub(at));
        let crashes = record.crashes().iter();
        let quarantine = record.quarantine();
        Self {
            suspect,
            crashes: crashes
                .map(|it| CrashAges(it.endpoint, age_ms(it.sent_at), age_ms(it.lost_at)))
                .collect(),
            refuted: record
                .refuted()
                .iter()
                .map(|it| RefutationAge(it.endpoint, age_ms(it.at)))
                .collect(),
            last_event_ago_ms: age_ms(record.last_event_at()),
            quarantine: quarantine.map(|it| {
                let left_ms = to_millis(it.until) as i64 - to_millis(now) as i64;
                QuarantineAges(age_ms(it.crash_sent_at), left_ms, it.round, it.is_ambiguous)
            }),
            cleared_round: record.cleared_round(),
            has_history: record.has_history(),
        }
    }

    /// Returns the keys of the endpoints' runs whose crashes the report tells.
    pub fn crashed_endpoints(&self) -> impl Iterator<Item = u64> {
        let crashes = self.crashes.iter().take(MAX_CRASHES);
        crashes.map(|CrashAges(endpoint, ..)| *endpoint)
    }

    /// Merges the report into a record. Returns whether anything was new.
    pub(super) fn merge_into(&self, now: Duration, record: &mut CrashRecord) -> bool {
        let refuted = self.refuted.iter().take(MAX_REFUTED);
        let refuted: Vec<_> = refuted.map(|it| it.at(now)).collect();
        let mut has_changed = record.refute(now, &refuted);
        has_changed |= record.end_quarantines(self.cleared_round);
        for crash in self.crashes.iter().take(MAX_CRASHES) {
            let crash = crash.at(now);
            if !self.suspect.is_part() {
                record.note_first_sent(crash);
            }
            has_changed |= record.add_crash(crash);
        }
        if self.has_history {
            has_changed |= record.add_history();
        }
        if let Some(quarantine) = self.quarantine {
            has_changed |= record.adopt_quarantine(quarantine.at(now));
        }
        if has_changed {
            record.note_event(ago(now, self.last_event_ago_ms));
        }
        has_changed
    }
}

impl RefutationAge {
    fn at(self, now: Duration) -> Refutation {
        let Self(endpoint, ago_ms) = self;
        Refutation {
            endpoint,
            at: ago(now, ago_ms),
        }
    }
}

impl CrashAges {
    fn at(self, now: Duration) -> Crash {
        let Self(endpoint, sent_ago_ms, lost_ago_ms) = self;
        Crash {
            endpoint,
            sent_at: ago(now, sent_ago_ms),
            lost_at: ago(now, lost_ago_ms),
        }
    }
}

impl QuarantineAges {
    fn at(self, now: Duration) -> Quarantine {
        let Self(crash_sent_ago_ms, left_ms, round, is_ambiguous) = self;
        let left = Duration::from_millis(left_ms.unsigned_abs()).min(MAX_AGE);
        Quarantine {
            crash_sent_at: ago(now, crash_sent_ago_ms),
            until: match left_ms < 0 {
                true => now.saturating_sub(left),
                false => now + left,
            },
            round,
            is_ambiguous,
        }
    }
}

fn ago(now: Duration, age_ms: u64) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms).min(MAX_AGE))
}
