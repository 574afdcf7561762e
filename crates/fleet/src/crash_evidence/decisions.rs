//! Decides which parts of prompts have crashed enough endpoints to be refused, and carries out all decisions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

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
/// Time before and after the crashes of a suspect in which crashes without it count.
pub(super) const OTHER_CRASH_TIME: Duration = Duration::from_secs(60);
/// Crashes from which a suspect needs no trial once everything else in them is cleared.
const SETTLING_CRASHES: usize = 5;
/// First quarantine of a suspect that may be innocent.
const AMBIGUOUS_QUARANTINE_TIME: Duration = Duration::from_secs(4);

impl CrashEvidence {
    /// Quarantines suspects with enough evidence and drops old records. `settle_time` is the time that hosts need to learn
    /// of a suspect and to clear it. Returns the new quarantines.
    ///
    /// `is_common` tells whether most prompts have a part. While all endpoints are down nothing clears it, and its
    /// quarantine would keep any answer from clearing it later. So it needs a contrast: other prompts that are answered.
    pub fn tick(
        &mut self,
        now: Duration,
        settle_time: Duration,
        is_common: impl Fn(Suspect) -> Option<bool>,
    ) -> Vec<Quarantined> {
        let now = self.set_now(now);
        let until = now.saturating_sub(settle_time);
        let settled = self.settled(until).into_iter();
        let mut quarantined: Vec<_> = settled.map(|it| self.quarantine(now, it, false)).collect();
        loop {
            let requests = self.proven_requests(until);
            let parts = self.proven_parts(now, settle_time, &is_common, &requests);
            let proven = match parts.is_empty() {
                true => requests,
                false => parts,
            };
            if proven.is_empty() {
                break;
            }
            // All of them are judged before any is quarantined, since a quarantine explains crashes of the others.
            let proven = proven.into_iter();
            let judged = proven.map(|suspect| (suspect, self.is_ambiguous(suspect, until)));
            let judged: Vec<_> = judged.collect();
            let started = judged.into_iter();
            quarantined
                .extend(started.map(|(it, is_ambiguous)| self.quarantine(now, it, is_ambiguous)));
        }
        self.drop_old(now);
        quarantined
    }

    /// Ends the quarantines whose crashes another quarantined suspect has all had, with more crashes. Returns their suspects.
    pub fn release_explained(&mut self, now: Duration) -> Vec<Suspect> {
        let now = self.set_now(now);
        let explained = self.explained_suspects(now);
        for suspect in &explained {
            let Some(entry) = self.suspects.get_mut(suspect) else {
                continue;
            };
            let round = entry.record.quarantine().map_or(0, |it| it.round);
            if entry.record.end_quarantines(round) {
                entry.record.note_event(now);
                entry.repeats = CHANGE_REPEATS;
                self.has_unreported = true;
            }
        }
        explained
    }

    fn explained_suspects(&self, now: Duration) -> Vec<Suspect> {
        let in_force = |record: &CrashRecord| record.quarantine().is_some_and(|it| it.until > now);
        let explains = |other: &CrashRecord, record: &CrashRecord| {
            let is_certain = other.quarantine().is_some_and(|it| !it.is_ambiguous);
            is_certain
                && other.crashes().len() > record.crashes().len()
                && other.has_all_crashes_of(record, Duration::MAX)
        };
        let records = || self.suspects.iter().map(|(it, entry)| (it, &entry.record));
        let quarantined = records().filter(|(_, record)| in_force(record));
        let explained = quarantined.filter(|(_, record)| {
            !record.crashes().is_empty() && records().any(|(_, other)| explains(other, record))
        });
        explained.map(|(suspect, _)| *suspect).collect()
    }

    fn drop_old(&mut self, now: Duration) {
        let evidence_time = self.quarantine_time();
        self.suspects.retain(|_, entry| {
            entry.record.drop_old_refutations(now);
            entry.record.kept_until(evidence_time, CLEARED_TIME) > now
        });
    }

    /// Returns the parts to be quarantined next: those with the most crashes that no quarantined part explains. Parts
    /// that share requests with it have some of its crashes, which prove nothing about them.
    fn proven_parts(
        &mut self,
        now: Duration,
        settle_time: Duration,
        is_common: &impl Fn(Suspect) -> Option<bool>,
        proven_requests: &[Suspect],
    ) -> Vec<Suspect> {
        // While nothing is answered, nothing can be cleared.
        if now.saturating_sub(self.answers_since) < settle_time {
            return Vec::new();
        }
        let until = now.saturating_sub(settle_time);
        let explained = self.explained_crashes(Suspect::is_part);
        let unexplained = self.unexplained_crashes(&explained);
        let mut candidates = Vec::new();
        let first_sound_at = self.first_sound_at;
        let parts = self.suspects.iter_mut();
        for (suspect, entry) in parts.filter(|(suspect, _)| suspect.is_part()) {
            let record = &mut entry.record;
            record.note_other_crashes(&unexplained, OTHER_CRASH_TIME);
            let threshold = match record.has_other_crashes() {
                true => PART_CRASHES_AMONG_OTHERS,
                false => PART_CRASHES,
            };
            let never_worked = record.never_worked(first_sound_at);
            let is_proven = match record.quarantine() {
                Some(_) => record.failed_trial(never_worked),
                None => record.is_proven(now, &explained, threshold, until),
            };
            if is_proven {
                candidates.push(Candidate {
                    suspect: *suspect,
                    is_trial: record.quarantine().is_some_and(|it| it.is_ambiguous),
                    crashes: record.crash_count(&explained, until),
                    may_be_cause: is_common(*suspect) == Some(false)
                        || never_worked
                        || record.has_contrast(),
                });
            }
        }
        let is_answering = self.is_answering(now);
        candidates.retain(|it| !self.has_cause(it.suspect, proven_requests, until));
        let most_crashes = candidates.iter().map(|it| it.crashes).max();
        let is_chosen = |it: &&Candidate| {
            let has_most = Some(it.crashes) == most_crashes;
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

    /// Returns whether a suspect's first quarantine rests on crashes of which something else may be the cause. Its first
    /// trial comes soon then: it clears the suspect, or tells it from the others.
    fn is_ambiguous(&self, suspect: Suspect, until: Duration) -> bool {
        let entry = self.suspects.get(&suspect);
        entry.is_some_and(|Entry { record, .. }| {
            record.quarantine().is_none()
                && match suspect.is_part() {
                    true => self.has_rival(suspect, record, until),
                    false => self.may_have_other_cause(suspect, record, until),
                }
        })
    }

    /// Returns whether another part was in progress in all crashes of a suspect.
    pub(super) fn has_rival(
        &self,
        suspect: Suspect,
        record: &CrashRecord,
        until: Duration,
    ) -> bool {
        let others = self.suspects.iter();
        let mut others = others.filter(|(other, _)| other.is_part() && **other != suspect);
        others.any(|(_, other)| other.record.has_all_crashes_of(record, until))
    }

    /// Returns whether a whole request is known to crash endpoints that was in progress in all crashes of a part.
    fn has_cause(&self, part: Suspect, proven_requests: &[Suspect], until: Duration) -> bool {
        let Some(Entry { record, .. }) = self.suspects.get(&part) else {
            return false;
        };
        let is_known = |request: &Suspect, entry: &Entry| {
            let quarantine = entry.record.quarantine();
            let is_proven = proven_requests.contains(request) || quarantine.is_some();
            let is_sole = !self.may_be_another_request(*request, &entry.record, until);
            quarantine.is_some_and(|it| !it.is_ambiguous) || is_proven && is_sole
        };
        let requests = self.suspects.iter().filter(|(it, _)| !it.is_part());
        let mut known = requests.filter(|(request, entry)| is_known(request, entry));
        known.any(|(_, entry)| entry.record.has_all_crashes_of(record, until))
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

    /// Returns the endpoints whose crashes are not explained, and when they crashed, also if the crashes are refuted.
    pub(super) fn unexplained_crashes(&self, explained: &BTreeSet<u64>) -> BTreeMap<u64, Duration> {
        let records = self.suspects.values().map(|entry| &entry.record);
        let crashes = records.clone().flat_map(CrashRecord::crashes);
        let crashes = crashes.map(|crash| (crash.endpoint, crash.lost_at));
        let refuted = records.flat_map(CrashRecord::refuted);
        let refuted = refuted.map(|refutation| (refutation.endpoint, refutation.at));
        let all = refuted.chain(crashes);
        all.filter(|(endpoint, _)| !explained.contains(endpoint))
            .collect()
    }

    /// Returns the endpoints that crashed under those quarantined suspects that may explain a crash.
    pub(super) fn explained_crashes(&self, explains: impl Fn(Suspect) -> bool) -> BTreeSet<u64> {
        let records = self.suspects.iter();
        let explaining = records.filter(|(suspect, _)| explains(**suspect));
        let quarantined = explaining.filter(|(_, entry)| entry.record.quarantine().is_some());
        let crashes = quarantined.flat_map(|(_, entry)| entry.record.crashes());
        crashes.map(|crash| crash.endpoint).collect()
    }

    fn quarantine(&mut self, now: Duration, suspect: Suspect, is_ambiguous: bool) -> Quarantined {
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

/// A part with enough crashes.
struct Candidate {
    suspect: Suspect,
    /// Whether it has failed the trial after a first quarantine that may have been wrong.
    is_trial: bool,
    crashes: usize,
    may_be_cause: bool,
}
