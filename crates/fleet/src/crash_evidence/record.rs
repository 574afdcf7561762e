//! Evidence against one suspect.
//!
//! Hosts share no clock, and the ages in their reports are a little off. So what hosts agree on are sets: crashes, those
//! that are refuted, and the number of the last quarantine that is over. Times only decide at the host that sees an answer
//! go on, and are never passed back and forth.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of crashes that are kept; more would prove nothing more.
pub const MAX_CRASHES: usize = 16;
/// Maximum number of refuted crashes that are kept, the newest ones.
pub const MAX_REFUTED: usize = 16;
/// Time for which a refuted crash is kept.
const REFUTED_TIME: Duration = Duration::from_secs(60);
/// Age up to which a refuted crash is taken over from another host. It is below [`REFUTED_TIME`], so that hosts don't tell
/// each other again and again of one that each has dropped.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(30);
/// Sound answers without a common suspect that show that only requests with it crash endpoints.
const MIN_CONTRASTS: u32 = 5;
/// Time between two crashes within which they count as one moment. Times that other hosts report are a little off.
const SAME_MOMENT: Duration = Duration::from_millis(20);
/// Time by which crashes under the same request may differ in how long they come after it.
const CRASH_TIME_SPREAD: Duration = Duration::from_millis(200);
/// Maximum number of times that the quarantine time is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// Crash of an endpoint that had begun to answer the suspect a moment before, or was about to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Key of the endpoint's run, which ends with the crash.
    pub endpoint: u64,
    /// When the suspect was sent to the endpoint: the first whole request, or the newest prompt with a part.
    pub sent_at: Duration,
    /// When the endpoint's connection was lost.
    pub lost_at: Duration,
}

/// Time in which nothing with the suspect is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// When the newest request was sent that the quarantine rests on.
    pub crash_sent_at: Duration,
    /// End of the quarantine.
    pub until: Duration,
    /// Number of quarantines of the suspect, this one included.
    pub round: u32,
    /// Whether something else was in progress in all of its crashes, so that it may be innocent.
    pub is_ambiguous: bool,
}

/// Crash that a later answer has refuted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refutation {
    /// Key of the run of the endpoint that crashed.
    pub endpoint: u64,
    /// When it was refuted.
    pub at: Duration,
}

/// Crashes under a suspect, its quarantine, and the answers that speak for it.
#[derive(Debug, Default)]
pub struct CrashRecord {
    /// In the order in which connections were lost.
    crashes: Vec<Crash>,
    /// In the order in which they were refuted.
    refuted: Vec<Refutation>,
    quarantine: Option<Quarantine>,
    /// Number of the last quarantine that an answer has ended.
    cleared_round: u32,
    /// Whether a host knew of sound answers from before the crashes.
    has_history: bool,
    /// Whether endpoints have crashed without the suspect at about the same time, for no known cause.
    has_other_crashes: bool,
    /// Sound answers to requests without the suspect, sent after the crashes that prove anything.
    contrasts: u32,
    /// When this host first knew of enough crashes for a quarantine.
    proven_at: Option<Duration>,
    /// When the newest crash, answer or decision happened that the record knows of, at whatever host.
    last_event_at: Duration,
}

impl CrashRecord {
    /// Adds a crash. Returns whether it is new and not refuted.
    pub fn add_crash(&mut self, crash: Crash) -> bool {
        if self.has_crash_of(crash.endpoint) || self.is_refuted(crash.endpoint) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|it| it.lost_at);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        if self.proven_at.is_none() {
            self.contrasts = 0;
        }
        true
    }

    /// Takes over when the first of several requests with the suspect was sent that were in progress at an endpoint that
    /// crashed: any of them may have been the cause.
    pub fn note_first_sent(&mut self, crash: Crash) {
        let known = self.crashes.iter_mut();
        for known in known.filter(|it| it.endpoint == crash.endpoint) {
            known.sent_at = known.sent_at.min(crash.sent_at);
        }
    }

    /// Records an answer that has gone on for `time` to a request that was sent at `sent_at`. It refutes crashes that came
    /// earlier after their requests, and ends an ambiguous quarantine if none is left. Returns whether that changed anything.
    pub fn add_long_answer(&mut self, now: Duration, sent_at: Duration, time: Duration) -> bool {
        let is_refuted = |crash: &&Crash| {
            let crash_time = crash.lost_at.saturating_sub(crash.sent_at);
            crash.sent_at <= sent_at && crash_time + CRASH_TIME_SPREAD < time
        };
        let refuted = self.crashes.iter().filter(is_refuted);
        let refuted = refuted.map(|it| Refutation {
            endpoint: it.endpoint,
            at: now,
        });
        let refuted: Vec<_> = refuted.collect();
        let has_refuted = self.refute(now, &refuted);
        let unproven = self.quarantine.filter(|it| it.is_ambiguous);
        if let Some(unproven) = unproven.filter(|_| has_refuted && self.crashes.is_empty()) {
            self.end_quarantines(unproven.round);
        }
        has_refuted
    }

    /// Records a sound answer to a request without the suspect.
    pub fn add_contrast(&mut self, sent_at: Duration) {
        if self.proven_at.is_none_or(|proven_at| sent_at > proven_at) {
            self.contrasts = self.contrasts.saturating_add(1);
        }
    }

    /// Tells whether requests without the suspect have been answered since its last crash, and none with it.
    pub fn has_contrast(&self) -> bool {
        self.contrasts >= MIN_CONTRASTS
    }

    /// Records an answer that did not crash its endpoint, to a request that was sent at `sent_at`. It refutes all crashes
    /// under requests that were sent before. Returns whether that changed anything.
    pub fn add_sound_answer(&mut self, now: Duration, sent_at: Duration) -> bool {
        let refuted = self.crashes.iter().filter(|it| it.sent_at <= sent_at);
        let refuted = refuted.map(|it| Refutation {
            endpoint: it.endpoint,
            at: now,
        });
        let refuted: Vec<_> = refuted.collect();
        let has_refuted = self.refute(now, &refuted);
        let ended = self.quarantine.filter(|it| it.crash_sent_at <= sent_at);
        let has_ended = ended.is_some_and(|it| self.end_quarantines(it.round));
        has_refuted || has_ended
    }

    /// Drops crashes that are refuted, also if they become known later. Returns whether any of them is new.
    pub fn refute(&mut self, now: Duration, refutations: &[Refutation]) -> bool {
        let mut has_changed = false;
        for refutation in refutations {
            has_changed |= self.refute_one(now, *refutation);
        }
        has_changed
    }

    fn refute_one(&mut self, now: Duration, refutation: Refutation) -> bool {
        let is_evidence = self.has_crash_of(refutation.endpoint);
        let is_old = now.saturating_sub(refutation.at) > MAX_REPORTED_AGE;
        let is_known = self.is_refuted(refutation.endpoint);
        if is_known || is_old && !is_evidence {
            return false;
        }
        if is_evidence {
            self.crashes.retain(|it| it.endpoint != refutation.endpoint);
            self.proven_at = None;
            self.contrasts = 0;
            self.has_other_crashes = false;
        }
        self.refuted.push(refutation);
        self.refuted.sort_by_key(|it| it.at);
        let excess = self.refuted.len().saturating_sub(MAX_REFUTED);
        self.refuted.drain(..excess);
        is_evidence || self.is_refuted(refutation.endpoint)
    }

    fn is_refuted(&self, endpoint: u64) -> bool {
        self.refuted.iter().any(|it| it.endpoint == endpoint)
    }

    /// Drops refuted crashes that all hosts know of.
    pub fn drop_old_refutations(&mut self, now: Duration) {
        self.refuted
            .retain(|it| now.saturating_sub(it.at) < REFUTED_TIME);
    }

    /// Ends all quarantines up to a number. Returns whether that is new.
    pub fn end_quarantines(&mut self, round: u32) -> bool {
        if round <= self.cleared_round {
            return false;
        }
        self.cleared_round = round;
        self.quarantine = self.quarantine.filter(|it| it.round > round);
        self.proven_at = None;
        true
    }

    /// Takes over a quarantine that another host has decided, unless it has ended or an earlier one. Returns whether it
    /// was new.
    pub fn adopt_quarantine(&mut self, quarantine: Quarantine) -> bool {
        let known_round = self.quarantine.map_or(self.cleared_round, |it| it.round);
        if quarantine.round <= known_round {
            return false;
        }
        self.quarantine = Some(quarantine);
        true
    }

    /// Tells whether a prompt that was sent after the last quarantine was over has crashed an endpoint. If the part may be
    /// innocent, other prompts have to be answered meanwhile, unless it has never worked while others did.
    pub fn failed_trial(&self, never_worked: bool) -> bool {
        let is_certain = self.quarantine.is_some_and(|last| !last.is_ambiguous);
        self.trial_crash().is_some() && (is_certain || never_worked || self.has_contrast())
    }

    /// Tells whether no sound answer is known from before the crashes although this host's first one to any prompt was.
    pub fn never_worked(&self, first_sound_at: Option<Duration>) -> bool {
        let first_crash = self.crashes.first().zip(first_sound_at);
        !self.has_history && first_crash.is_some_and(|(crash, sound_at)| sound_at < crash.lost_at)
    }

    /// Returns the newest crash, if its request was sent after the last quarantine was over.
    pub fn trial_crash(&self) -> Option<&Crash> {
        let last = self.quarantine?;
        let newest = self.crashes.last();
        newest.filter(|newest| newest.sent_at > last.until)
    }

    /// Returns whether there is enough evidence for a first quarantine: `threshold` crashes until a time that no other
    /// suspect explains, none of them refuted.
    pub fn is_proven(
        &mut self,
        now: Duration,
        explained: &BTreeSet<u64>,
        threshold: usize,
        until: Duration,
    ) -> bool {
        let is_proven = self.independent_crashes(explained, until) >= threshold;
        self.proven_at = match is_proven {
            true => self.proven_at.or(Some(now)),
            false => None,
        };
        is_proven
    }

    /// Starts a quarantine. Each further one lasts twice as long, until an answer clears the suspect.
    pub fn start_quarantine(&mut self, now: Duration, base_time: Duration, is_ambiguous: bool) {
        let newest = self.crashes.last();
        let last_round = self.quarantine.map_or(self.cleared_round, |it| it.round);
        let certain = self.quarantine.filter(|it| !it.is_ambiguous);
        let earlier_rounds = certain.map_or(0, |it| it.round - self.cleared_round);
        let duration = base_time.saturating_mul(1 << earlier_rounds.min(MAX_DOUBLINGS));
        self.quarantine = Some(Quarantine {
            crash_sent_at: newest.map_or(now, |crash| crash.sent_at),
            until: now + duration,
            round: last_round + 1,
            is_ambiguous,
        });
        self.proven_at = None;
    }

    /// Returns the number of crashes until a time of which each suspect was sent after the crash before, without those of
    /// some endpoints. Endpoints that crash at the same time, for whatever cause, count once.
    pub fn independent_crashes(&self, explained: &BTreeSet<u64>, until: Duration) -> usize {
        let mut count = 0;
        let mut last_at = Duration::ZERO;
        let crashes = self.crashes.iter().filter(|it| it.lost_at <= until);
        for crash in crashes.filter(|it| !explained.contains(&it.endpoint)) {
            if crash.sent_at >= last_at {
                count += 1;
                last_at = crash.lost_at;
            }
        }
        count
    }

    /// Returns the number of moments until a time at which endpoints crashed, without some endpoints. Endpoints that crash
    /// together, for whatever cause, count once.
    pub fn crash_moments(&self, explained: &BTreeSet<u64>, until: Duration) -> usize {
        let mut count = 0;
        let mut last_at = None;
        let crashes = self.crashes.iter().filter(|it| it.lost_at <= until);
        for crash in crashes.filter(|it| !explained.contains(&it.endpoint)) {
            if last_at.is_none_or(|last_at| crash.lost_at > last_at + SAME_MOMENT) {
                count += 1;
                last_at = Some(crash.lost_at);
            }
        }
        count
    }

    /// Returns the number of crashes until a time, without those of some endpoints.
    pub fn crash_count(&self, explained: &BTreeSet<u64>, until: Duration) -> usize {
        let crashes = self.crashes.iter().filter(|it| it.lost_at <= until);
        let crashes = crashes.filter(|it| !explained.contains(&it.endpoint));
        crashes.count()
    }

    /// Looks for crashes without the suspect that happened within `time` of its own ones.
    pub fn note_other_crashes(&mut self, crashes: &BTreeMap<u64, Duration>, time: Duration) {
        if !self.crashes.is_empty() {
            self.has_other_crashes = self.has_others_near(crashes, time);
        }
    }

    /// Tells whether some of these crashes happened without the suspect within `time` of its own ones.
    pub fn has_others_near(&self, crashes: &BTreeMap<u64, Duration>, time: Duration) -> bool {
        let (Some(first), Some(last)) = (self.crashes.first(), self.crashes.last()) else {
            return false;
        };
        let span = first.lost_at.saturating_sub(time)..=last.lost_at + time;
        let mut near = crashes.iter().filter(|(_, at)| span.contains(at));
        near.any(|(endpoint, _)| !self.has_crash_of(*endpoint))
    }

    /// Tells whether endpoints have crashed without the suspect at about the same time, for no known cause.
    pub fn has_other_crashes(&self) -> bool {
        self.has_other_crashes
    }

    /// Tells whether this suspect was in progress when an endpoint crashed.
    pub fn has_crash_of(&self, endpoint: u64) -> bool {
        self.crashes.iter().any(|it| it.endpoint == endpoint)
    }

    /// Tells whether this suspect was in progress in all crashes of another one until a time, as far as they are kept.
    pub fn has_all_crashes_of(&self, other: &Self, until: Duration) -> bool {
        let is_full = self.crashes.len() >= MAX_CRASHES;
        let oldest = self.crashes.first().filter(|_| is_full);
        let has = |crash: &Crash| {
            let is_dropped = oldest.is_some_and(|oldest| crash.lost_at < oldest.lost_at);
            is_dropped || self.has_crash_of(crash.endpoint)
        };
        let mut crashes = other.crashes.iter().filter(|it| it.lost_at <= until);
        !other.crashes.is_empty() && crashes.all(has)
    }

    /// Records that there were sound answers before the crashes. Returns whether that is new.
    pub fn add_history(&mut self) -> bool {
        !std::mem::replace(&mut self.has_history, true)
    }

    /// Returns whether a host knew of sound answers from before the crashes.
    pub fn has_history(&self) -> bool {
        self.has_history
    }

    /// Returns the crashes, in the order in which connections were lost.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the longest time from a request to the crash under it.
    pub fn longest_run(&self) -> Duration {
        let runs = self.crashes.iter();
        let runs = runs.map(|it| it.lost_at.saturating_sub(it.sent_at));
        runs.max().unwrap_or_default()
    }

    /// Returns the number of crashes, those that are refuted included.
    pub fn known_crashes(&self) -> usize {
        self.crashes.len() + self.refuted.len()
    }

    /// Returns the refuted crashes.
    pub fn refuted(&self) -> &[Refutation] {
        &self.refuted
    }

    /// Returns the last quarantine, also if its time is over, unless an answer has ended it.
    pub fn quarantine(&self) -> Option<Quarantine> {
        self.quarantine
    }

    /// Returns the number of the last quarantine that an answer has ended.
    pub fn cleared_round(&self) -> u32 {
        self.cleared_round
    }

    /// Records the time of a crash, an answer or a decision.
    pub fn note_event(&mut self, at: Duration) {
        self.last_event_at = self.last_event_at.max(at);
    }

    /// Returns when the newest crash, answer or decision happened that the record knows of.
    pub fn last_event_at(&self) -> Duration {
        self.last_event_at
    }

    /// Returns the time until which the record is of use.
    pub fn kept_until(&self, evidence_time: Duration, refutation_time: Duration) -> Duration {
        let newest = self.crashes.last().map(|it| it.lost_at + evidence_time);
        let quarantined = self.quarantine.map(|it| it.until + evidence_time);
        let cleared = self.last_event_at + refutation_time;
        cleared.max(newest.max(quarantined).unwrap_or_default())
    }
}
