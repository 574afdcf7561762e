//! Decides which suspects have crashed enough endpoints to be refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::settings::HealthSettings;

use super::CHANGE_REPEATS;
use super::CLEARED_TIME;
use super::CrashEvidence;
use super::Entry;
use super::Quarantined;
use super::record::CrashRecord;
use crate::suspect::Suspect;

/// Crashes that prove that a part of prompts is their cause, each under a request that was sent after the one before.
const PART_CRASHES: usize = 3;
/// The same where endpoints have also crashed without the part.
const PART_CRASHES_AMONG_OTHERS: usize = 4;
/// Minimum number of crashes that prove that a whole request is their cause, whatever the settings say.
const MIN_REQUEST_CRASHES: u32 = 2;
/// Further crashes that are needed of a whole request where endpoints have also crashed without it.
const EXTRA_REQUEST_CRASHES: usize = 2;
/// Time before and after the crashes of a suspect in which crashes without it count.
const OTHER_CRASH_TIME: Duration = Duration::from_secs(60);
/// Crashes from which a suspect needs no trial once everything else in them is cleared.
const SETTLING_CRASHES: usize = 8;
/// First quarantine of a suspect that may be innocent.
const AMBIGUOUS_QUARANTINE_TIME: Duration = Duration::from_secs(4);

impl CrashEvidence {
    /// Quarantines suspects with enough evidence and drops old records. `settle_time` is the time that hosts need to learn
    /// of a suspect and to clear it. Returns the new quarantines.
    ///
    /// `is_common` tells whether most requests have a suspect. While all endpoints are down nothing clears it, and its
    /// quarantine would keep any answer from clearing it later. So it needs a contrast: other requests that are answered.
    pub fn tick(
        &mut self,
        now: Duration,
        settle_time: Duration,
        is_common: impl Fn(Suspect) -> Option<bool>,
    ) -> Vec<Quarantined> {
        let now = self.set_now(now);
        let until = now.saturating_sub(settle_time);
        let settled = self.settled(until).into_iter();
        let mut quarantined: Vec<_> = settled.map(|it| self.quarantine(now, it, until)).collect();
        loop {
            let proven = self.proven(now, settle_time, &is_common);
            if proven.is_empty() {
                break;
            }
            let proven = proven.into_iter();
            quarantined.extend(proven.map(|suspect| self.quarantine(now, suspect, until)));
        }
        self.drop_old(now);
        quarantined
    }

    fn drop_old(&mut self, now: Duration) {
        let evidence_time = self.quarantine_time();
        self.suspects.retain(|_, entry| {
            entry.record.drop_old_refutations(now);
            entry.record.kept_until(evidence_time, CLEARED_TIME) > now
        });
    }

    /// Returns the suspects to be quarantined next: those with the most crashes that no quarantined part explains. Parts
    /// that share requests with it have some of its crashes, which prove nothing about them.
    fn proven(
        &mut self,
        now: Duration,
        settle_time: Duration,
        is_common: &impl Fn(Suspect) -> Option<bool>,
    ) -> Vec<Suspect> {
        // While nothing is answered, nothing can be cleared.
        if now.saturating_sub(self.answers_since) < settle_time {
            return Vec::new();
        }
        let until = now.saturating_sub(settle_time);
        let explained = self.explained_crashes();
        let unexplained = self.unexplained_crashes(&explained);
        let mut candidates = Vec::new();
        for (suspect, entry) in &mut self.suspects {
            let record = &mut entry.record;
            record.note_other_crashes(&unexplained, OTHER_CRASH_TIME);
            let has_others = record.has_other_crashes();
            let threshold = threshold(*suspect, has_others, &self.settings);
            let is_proven = match record.quarantine() {
                Some(_) => record.failed_trial(),
                None => record.is_proven(now, &explained, threshold, until),
            };
            if is_proven {
                candidates.push(Candidate {
                    suspect: *suspect,
                    is_trial: record.quarantine().is_some_and(|it| it.is_ambiguous),
                    crashes: record.crash_count(&explained, until),
                    may_be_cause: may_be_cause(*suspect, record, is_common(*suspect)),
                });
            }
        }
        let is_answering = self.is_answering(now);
        let is_chosen = |it: &&Candidate| {
            let has_most = it.crashes == most_crashes(&candidates, it.suspect.is_part());
            let may_be_bystander = it.is_trial && !self.is_foremost(it.suspect);
            has_most
                && !may_be_bystander
                && it.may_be_cause
                && !self.is_excused(it.suspect, until, is_answering)
        };
        let chosen = candidates.iter().filter(is_chosen);
        chosen.map(|it| it.suspect).collect()
    }

    /// Returns whether a suspect has worked before, and either nothing is answered that could clear it, or something else
    /// was in progress in all of its crashes.
    fn is_excused(&self, suspect: Suspect, until: Duration, is_answering: bool) -> bool {
        let entry = self.suspects.get(&suspect);
        entry.is_some_and(|Entry { record, .. }| {
            let has_worked = record.has_history() && !record.has_contrast();
            has_worked && (!is_answering || self.has_rival(suspect, record, until))
        })
    }

    /// Returns whether a suspect's first quarantine rests on crashes in all of which another part was in progress. Its first
    /// trial comes soon then: it clears the suspect, or tells it from the others.
    fn is_ambiguous(&self, suspect: Suspect, until: Duration) -> bool {
        let entry = self.suspects.get(&suspect);
        entry.is_some_and(|Entry { record, .. }| {
            record.quarantine().is_none() && self.has_rival(suspect, record, until)
        })
    }

    /// Returns whether another part was in progress in all crashes of a suspect.
    fn has_rival(&self, suspect: Suspect, record: &CrashRecord, until: Duration) -> bool {
        let others = self.suspects.iter();
        let mut others = others.filter(|(other, _)| other.is_part() && **other != suspect);
        others.any(|(_, other)| other.record.has_all_crashes_of(record, until))
    }

    /// Returns the suspects that may have been innocent when their quarantine began, and whose many crashes nothing else
    /// explains now that the others are cleared.
    fn settled(&self, until: Duration) -> Vec<Suspect> {
        let is_settled = |suspect: &Suspect, record: &CrashRecord| {
            let is_ambiguous = record.quarantine().is_some_and(|it| it.is_ambiguous);
            let has_many = record.crashes().len() >= SETTLING_CRASHES;
            let is_sole = has_many && !self.has_rival(*suspect, record, until);
            is_ambiguous && is_sole && self.has_most_crashes(record)
        };
        let entries = self.suspects.iter();
        let settled = entries.filter(|(suspect, entry)| is_settled(suspect, &entry.record));
        settled.map(|(suspect, _)| *suspect).collect()
    }

    /// Returns whether no part has more crashes than a suspect.
    fn is_foremost(&self, suspect: Suspect) -> bool {
        let entry = self.suspects.get(&suspect);
        entry.is_some_and(|entry| self.has_most_crashes(&entry.record))
    }

    /// Returns whether no part has more crashes than a record. One with more of them may be the cause of all.
    fn has_most_crashes(&self, record: &CrashRecord) -> bool {
        let parts = self.suspects.iter().filter(|(other, _)| other.is_part());
        let mut crashes = parts.map(|(_, entry)| entry.record.crashes().len());
        crashes.all(|crashes| crashes <= record.crashes().len())
    }

    /// Returns the endpoints that crashed under no quarantined part, and when, also if their crashes are refuted.
    fn unexplained_crashes(&self, explained: &BTreeSet<u64>) -> BTreeMap<u64, Duration> {
        let records = self.suspects.values().map(|entry| &entry.record);
        let crashes = records.clone().flat_map(CrashRecord::crashes);
        let crashes = crashes.map(|crash| (crash.endpoint, crash.lost_at));
        let refuted = records.flat_map(CrashRecord::refuted);
        let refuted = refuted.map(|refutation| (refutation.endpoint, refutation.at));
        let all = refuted.chain(crashes);
        all.filter(|(endpoint, _)| !explained.contains(endpoint))
            .collect()
    }

    /// Returns the endpoints that crashed under quarantined parts.
    fn explained_crashes(&self) -> BTreeSet<u64> {
        let records = self.suspects.iter();
        let parts = records.filter(|(suspect, _)| suspect.is_part());
        let quarantined = parts.filter(|(_, entry)| entry.record.quarantine().is_some());
        let crashes = quarantined.flat_map(|(_, entry)| entry.record.crashes());
        crashes.map(|crash| crash.endpoint).collect()
    }

    fn quarantine(&mut self, now: Duration, suspect: Suspect, until: Duration) -> Quarantined {
        let is_ambiguous = self.is_ambiguous(suspect, until);
        let base_time = match is_ambiguous {
            true => AMBIGUOUS_QUARANTINE_TIME,
            false => self.quarantine_time(),
        };
        let entry = self.entry_mut(suspect);
        entry.repeats = CHANGE_REPEATS;
        let record = &mut entry.record;
        record.start_quarantine(now, base_time, is_ambiguous);
        record.note_event(now);
        let until = record.quarantine().map_or(now, |it| it.until);
        let crashes = record.crashes().len();
        self.has_unreported = true;
        Quarantined {
            suspect,
            crashes,
            duration: until.saturating_sub(now),
            is_ambiguous,
        }
    }
}

/// A suspect with enough crashes.
struct Candidate {
    suspect: Suspect,
    /// Whether it has failed the trial after a first quarantine that may have been wrong.
    is_trial: bool,
    crashes: usize,
    may_be_cause: bool,
}

/// Returns the largest number of crashes among the candidates that are parts, or among whole requests.
fn most_crashes(candidates: &[Candidate], of_parts: bool) -> usize {
    let alike = candidates
        .iter()
        .filter(|it| it.suspect.is_part() == of_parts);
    alike.map(|it| it.crashes).max().unwrap_or(0)
}

/// Returns how many crashes prove that a suspect is their cause.
fn threshold(suspect: Suspect, has_others: bool, settings: &HealthSettings) -> usize {
    let request_crashes = settings.poison_after_crashes.max(MIN_REQUEST_CRASHES) as usize;
    match (suspect.is_part(), has_others) {
        (false, false) => request_crashes,
        (false, true) => request_crashes + EXTRA_REQUEST_CRASHES,
        (true, false) => PART_CRASHES,
        (true, true) => PART_CRASHES_AMONG_OTHERS,
    }
}

/// Returns whether a suspect may be refused. A content that many requests have is not one request that comes again and
/// again, and a part that most requests have needs a contrast.
fn may_be_cause(suspect: Suspect, record: &CrashRecord, is_common: Option<bool>) -> bool {
    match (suspect.is_part(), is_common) {
        (true, Some(false)) => true,
        (true, _) => record.has_contrast(),
        (false, is_common) => is_common != Some(true),
    }
}
