//! Decides which whole requests have crashed enough endpoints to be refused.
//!
//! A request that crashes every endpoint never gets a complete answer, so that nothing but its crashes counts: neither how
//! often it comes nor what else is answered.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::CrashEvidence;
use super::decisions::OTHER_CRASH_TIME;
use super::record::CrashRecord;
use crate::suspect::Suspect;

/// Minimum number of crashes that prove that a request is their cause, whatever the settings say.
const MIN_REQUEST_CRASHES: u32 = 2;
/// Further crashes that are needed where something else may be the cause.
const EXTRA_REQUEST_CRASHES: usize = 1;

impl CrashEvidence {
    /// Returns the requests to be quarantined next: those with the most crashes until a time that nothing quarantined
    /// explains, and those that have crashed an endpoint in their trial.
    pub(super) fn proven_requests(&self, until: Duration) -> Vec<Suspect> {
        let explained = self.explained_crashes(|_| true);
        let unexplained = self.unexplained_crashes(&explained);
        let requests = self.suspects.iter().filter(|(it, _)| !it.is_part());
        let mut proven = Vec::new();
        let mut most_crashes = 0;
        for (suspect, entry) in requests {
            let record = &entry.record;
            if record.quarantine().is_some() {
                if self.has_failed_trial(*suspect, record) {
                    return vec![*suspect];
                }
                continue;
            }
            let crashes = record.crash_count(&explained, until);
            if crashes >= most_crashes.max(self.request_crashes())
                && self.is_request_proven(*suspect, record, &explained, &unexplained, until)
            {
                if crashes > most_crashes {
                    proven.clear();
                    most_crashes = crashes;
                }
                proven.push(*suspect);
            }
        }
        proven
    }

    /// Returns whether a request has crashed an endpoint after its last quarantine, and no other suspect explains that.
    fn has_failed_trial(&self, suspect: Suspect, record: &CrashRecord) -> bool {
        record.trial_crash().is_some_and(|crash| {
            let by_others = self.explained_crashes(|other| other != suspect);
            !by_others.contains(&crash.endpoint)
        })
    }

    fn is_request_proven(
        &self,
        suspect: Suspect,
        record: &CrashRecord,
        explained: &BTreeSet<u64>,
        unexplained: &BTreeMap<u64, Duration>,
        until: Duration,
    ) -> bool {
        let may_be_another = self.may_be_another_request(suspect, record, until);
        let has_others = record.has_others_near(unexplained, OTHER_CRASH_TIME);
        let extra = match may_be_another || has_others {
            true => EXTRA_REQUEST_CRASHES,
            false => 0,
        };
        let crashes = match may_be_another {
            true => record.crash_moments(explained, until),
            false => record.crash_count(explained, until),
        };
        crashes >= self.request_crashes() + extra
    }

    /// Returns whether something else may be the cause of all crashes of a request: it has been answered before, or another
    /// request or a part of prompts was in progress in all of them.
    pub(super) fn may_have_other_cause(
        &self,
        suspect: Suspect,
        record: &CrashRecord,
        until: Duration,
    ) -> bool {
        self.may_be_another_request(suspect, record, until)
            || self.has_rival(suspect, record, until)
    }

    /// Returns whether a request has been answered before, or another request was in progress in all of its crashes.
    pub(super) fn may_be_another_request(
        &self,
        suspect: Suspect,
        record: &CrashRecord,
        until: Duration,
    ) -> bool {
        let others = self.suspects.iter();
        let mut others = others.filter(|(other, _)| !other.is_part() && **other != suspect);
        record.has_history()
            || others.any(|(_, other)| other.record.has_all_crashes_of(record, until))
    }

    /// Returns the number of crashes that prove that a request is their cause if nothing else may be.
    fn request_crashes(&self) -> usize {
        self.settings.poison_after_crashes.max(MIN_REQUEST_CRASHES) as usize
    }
}
