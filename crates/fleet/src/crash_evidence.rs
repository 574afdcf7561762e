//! Finds requests and parts of prompts that crash endpoints, and quarantines them.
//!
//! A crash ends all answers of an endpoint. Its possible causes are the whole requests in progress, and those parts of
//! prompts whose answers had not begun, or had begun a moment before: others had been written for a while without a crash.
//! A suspect is cleared by any later answer that does not crash its endpoint, at whatever host, so that only what crashes
//! every endpoint gathers evidence. Hosts pass the evidence on in their reports, and each host decides for itself. A suspect
//! is refused from then on; before, it is neither refused nor delayed.

mod decisions;
mod record;
mod report;
mod request_decisions;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::millis;

use crate::hashing::pair_hash;
use crate::suspect::Suspect;

pub use record::Crash;
pub use report::SuspectReport;

use record::CrashRecord;
use record::Quarantine;

/// Maximum number of suspects that a host keeps records of.
pub const MAX_SUSPECTS: usize = 512;
/// Time for which a cleared suspect is kept, so that all hosts learn of it.
const CLEARED_TIME: Duration = Duration::from_secs(60);
/// Minimum time for which another host's evidence about an unknown suspect must still be of use.
const MIN_KEPT_TIME: Duration = Duration::from_secs(20);
/// Number of reports that tell of a change before other suspects get their turn.
const CHANGE_REPEATS: u32 = 4;
/// Time after which a request that is in progress is not likely to crash its endpoint any more. Crashes under such requests
/// are reported once, after all other changes, until there are more of them.
const LIKELY_CRASH_TIME: Duration = Duration::from_millis(500);
/// Longest delay of a host's first trial after a quarantine of a suspect that may be innocent.
const MAX_AMBIGUOUS_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Longest delay of a host's first trial after a quarantine. Hosts draw different ones: the first trial clears the suspect
/// or renews the quarantine for all of them.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// Mean time between the trials of two hosts, in multiples of the time in which the request crashed endpoints.
const TRIAL_SPACING: u32 = 2;
/// Time in which hosts learn of the result of a trial, after the time that the request took to crash endpoints.
const TRIAL_RESULT_TIME: Duration = Duration::from_secs(1);
/// Time without sound answers after which hosts need the settle time anew.
const ANSWER_GAP: Duration = Duration::from_secs(1);
/// Added to the process's clock, which starts at zero, so that times before its start can be kept.
const CLOCK_HEADROOM: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// Start or end of a quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// A suspect is refused from now on.
    Started(Quarantined),
    /// A suspect is no longer refused, since an answer did not crash its endpoint, or another suspect explains its crashes.
    Cleared(Suspect),
}

/// Result of checking a request against the quarantines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineCheck {
    /// Nothing of it has been quarantined.
    Clear,
    /// It is refused for a time.
    Refused(Duration),
    /// One of its suspects has been quarantined, but it is sent all the same.
    Waived(Suspect, Waiver),
}

/// Reason why a request with a quarantined suspect is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiver {
    /// Most prompts have the part, and nothing shows that only they crash endpoints.
    Common,
    /// A part that the request lacks is no less likely the cause.
    OtherPart,
    /// The time of the quarantine is over: the answer clears the suspect or renews the quarantine.
    Trial,
}

impl Waiver {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Common => "common",
            Self::OtherPart => "other_part",
            Self::Trial => "trial",
        }
    }
}

/// A suspect that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantined {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of crashes on record.
    pub crashes: usize,
    /// Duration of the quarantine.
    pub duration: Duration,
    /// Whether something else was in progress in all of its crashes, so that it may be innocent.
    pub is_ambiguous: bool,
}

/// Evidence of one host, its own and that of others.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::crash_evidence::{Crash, CrashEvidence, QuarantineCheck};
/// use sedgeridge_fleet::suspect::Suspect;
///
/// let mut evidence = CrashEvidence::new(1);
/// for second in 0..3 {
///     let sent_at = Duration::from_secs(second);
///     let lost_at = sent_at + Duration::from_millis(90);
///     let crash = Crash { endpoint: second, sent_at, lost_at };
///     evidence.add_crash(lost_at, Suspect::Part(7), crash);
/// }
/// let (now, settle_time) = (Duration::from_secs(5), Duration::from_secs(1));
/// let is_common = |_| Some(false);
/// evidence.tick(now, settle_time, is_common);
/// let (first, crashing) = (Suspect::Part(4), Suspect::Part(7));
/// let check = evidence.check(now, &[first, crashing], is_common);
/// assert!(matches!(check, QuarantineCheck::Refused(_)));
/// assert_eq!(evidence.check(now, &[first], is_common), QuarantineCheck::Clear);
/// ```
#[derive(Debug)]
pub struct CrashEvidence {
    /// Hash of this host's name.
    host: u64,
    settings: HealthSettings,
    /// Latest time that was passed in.
    now: Duration,
    suspects: BTreeMap<Suspect, Entry>,
    /// Suspect after which the next report goes on with those that have not changed.
    last_reported: Option<Suspect>,
    /// The same for those that are refused.
    last_refused_reported: Option<Suspect>,
    /// Whether this host has evidence that it has not reported.
    has_unreported: bool,
    /// Time of this host's last sound answer to a prompt.
    last_sound_at: Option<Duration>,
    /// Time of this host's first sound answer to a prompt.
    first_sound_at: Option<Duration>,
    /// Since when there have been such answers without a gap.
    answers_since: Duration,
    /// Number of hosts in the fleet.
    hosts: u32,
}

#[derive(Debug, Default)]
struct Entry {
    record: CrashRecord,
    /// Time until which the result of this host's last trial of a whole request may come.
    trial_until: Duration,
    /// Number of reports that still have to tell of the last change.
    repeats: u32,
}

impl CrashEvidence {
    /// Creates the state of a host without evidence. `host` is the hash of its name.
    pub fn new(host: u64) -> Self {
        Self {
            host,
            settings: HealthSettings::default(),
            now: CLOCK_HEADROOM,
            suspects: BTreeMap::new(),
            last_reported: None,
            last_refused_reported: None,
            has_unreported: false,
            last_sound_at: None,
            first_sound_at: None,
            answers_since: Duration::ZERO,
            hosts: 1,
        }
    }

    /// Sets the number of hosts in the fleet, each of which tries a request once its quarantine is over.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    }

    /// Records that a request is sent whose quarantine is over. Others like it wait for the result.
    pub fn begin_trial(&mut self, now: Duration, suspect: Suspect) {
        let now = self.set_now(now);
        if let Some(entry) = self.suspects.get_mut(&suspect) {
            entry.trial_until = now + entry.record.longest_run() + TRIAL_RESULT_TIME;
        }
    }

    /// Records a crash that this host has seen. Its times are of the same clock as `now`.
    pub fn add_crash(&mut self, now: Duration, suspect: Suspect, crash: Crash) {
        let now = self.set_now(now);
        let crash = Crash {
            sent_at: crash.sent_at + CLOCK_HEADROOM,
            lost_at: crash.lost_at + CLOCK_HEADROOM,
            ..crash
        };
        let entry = self.entry_mut(suspect);
        if !suspect.is_part() {
            entry.record.note_first_sent(crash);
        }
        if entry.record.add_crash(crash) {
            entry.record.note_event(now);
            entry.repeats = change_repeats(suspect, &entry.record);
            self.has_unreported = true;
        }
    }

    /// Records that this host knows of sound answers to a suspect from before its crashes. A part that has worked until a
    /// moment ago is less likely the cause than one that has never worked.
    pub fn add_history(&mut self, suspect: Suspect) {
        let entry = self.suspects.get_mut(&suspect);
        if let Some(entry) = entry.filter(|entry| !entry.record.crashes().is_empty())
            && entry.record.add_history()
        {
            entry.repeats = CHANGE_REPEATS;
            self.has_unreported = true;
        }
    }

    /// Records an answer that did not crash its endpoint, to a request that was sent at `sent_at`. Returns whether it ended
    /// a quarantine.
    pub fn add_sound_answer(&mut self, now: Duration, suspect: Suspect, sent_at: Duration) -> bool {
        let now = self.set_now(now);
        let Some(entry) = self.suspects.get_mut(&suspect) else {
            return false;
        };
        let was_quarantined = entry.record.quarantine().is_some();
        let has_crashes = !entry.record.crashes().is_empty();
        if !was_quarantined && !has_crashes {
            return false;
        }
        if entry.record.add_sound_answer(now, sent_at + CLOCK_HEADROOM) {
            entry.record.note_event(now);
            entry.repeats = CHANGE_REPEATS;
            self.has_unreported = true;
        }
        was_quarantined && entry.record.quarantine().is_none()
    }

    /// Records an answer to a whole request, sent at `sent_at`, that has gone on until now. It speaks against crashes that
    /// came earlier after their requests.
    pub fn add_long_answer(&mut self, now: Duration, suspect: Suspect, sent_at: Duration) {
        let now = self.set_now(now);
        let sent_at = sent_at + CLOCK_HEADROOM;
        let Some(entry) = self.suspects.get_mut(&suspect) else {
            return;
        };
        let time = now.saturating_sub(sent_at);
        if entry.record.add_long_answer(now, sent_at, time) {
            entry.record.note_event(now);
            entry.repeats = CHANGE_REPEATS;
            self.has_unreported = true;
        }
    }

    fn note_sound_answer(&mut self, now: Duration) {
        if !self.is_answering(now) {
            self.answers_since = now;
        }
        self.last_sound_at = Some(now);
        self.first_sound_at.get_or_insert(now);
    }

    /// Returns whether prompts have been answered within the last moments.
    fn is_answering(&self, now: Duration) -> bool {
        let last = self.last_sound_at;
        last.is_some_and(|last| now.saturating_sub(last) <= ANSWER_GAP)
    }

    /// Records a sound answer to a prompt that has only these parts; nothing if it has none.
    pub fn add_contrasts(&mut self, now: Duration, parts: &[Suspect], sent_at: Duration) {
        let now = self.set_now(now);
        if parts.is_empty() {
            return;
        }
        self.note_sound_answer(now);
        for (other, entry) in &mut self.suspects {
            if other.is_part() && !parts.contains(other) {
                entry.record.add_contrast(sent_at + CLOCK_HEADROOM);
            }
        }
    }

    /// Merges another host's evidence about a suspect. Returns whether a quarantine started or ended by it.
    pub fn merge(&mut self, now: Duration, report: &SuspectReport) -> Option<QuarantineEvent> {
        let now = self.set_now(now);
        let suspect = report.suspect;
        if !self.suspects.contains_key(&suspect) && !self.is_worth_keeping(now, report) {
            return None;
        }
        let entry = self.entry_mut(suspect);
        let before = entry.record.quarantine();
        if !report.merge_into(now, &mut entry.record) {
            return None;
        }
        entry.repeats = change_repeats(suspect, &entry.record);
        let after = entry.record.quarantine();
        let crashes = entry.record.crashes().len();
        match (before, after) {
            (Some(_), None) => Some(QuarantineEvent::Cleared(suspect)),
            (_, Some(after)) if before != Some(after) && after.until > now => {
                Some(QuarantineEvent::Started(Quarantined {
                    suspect,
                    crashes,
                    duration: after.until.saturating_sub(now),
                    is_ambiguous: after.is_ambiguous,
                }))
            }
            _ => None,
        }
    }

    /// Returns whether a report is still of use for a while. Hosts drop a record at slightly different times; if
    /// each took it over from those that still have it, it would never go.
    fn is_worth_keeping(&self, now: Duration, report: &SuspectReport) -> bool {
        let mut record = CrashRecord::default();
        let is_new = report.merge_into(now, &mut record);
        is_new && self.kept_until(&record) > now + MIN_KEPT_TIME
    }

    fn kept_until(&self, record: &CrashRecord) -> Duration {
        record.kept_until(self.quarantine_time(), CLEARED_TIME)
    }

    /// Quarantines a suspect for what is left of a quarantine that the platform's store has kept.
    pub fn restore(&mut self, now: Duration, suspect: Suspect, left: Duration) {
        let now = self.set_now(now);
        let entry = self.entry_mut(suspect);
        let quarantine = Quarantine {
            crash_sent_at: now,
            until: now + left,
            round: 1,
            is_ambiguous: false,
        };
        if entry.record.adopt_quarantine(quarantine) {
            entry.record.note_event(now);
            entry.repeats = CHANGE_REPEATS;
            self.has_unreported = true;
        }
    }

    /// Returns the evidence for this host's next report: changes first, those that have been told least and then those with
    /// most crashes, refuted or not, before the others. Then come the other suspects in turn, one of those that are refused
    /// first, since a host that has just started must not send them.
    pub fn next_reports(&mut self, count: usize) -> Vec<SuspectReport> {
        let mut chosen: Vec<Suspect> = Vec::new();
        let mut changed: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, it)| it.repeats > 0)
            .collect();
        changed.sort_by_key(|(_, it)| Reverse((it.repeats, it.record.known_crashes())));
        chosen.extend(changed.iter().take(count).map(|(suspect, _)| **suspect));
        let refused = self.next_refused(&chosen).filter(|_| chosen.len() < count);
        if let Some(refused) = refused {
            chosen.push(refused);
            self.last_refused_reported = Some(refused);
        }
        let others = self.in_turn(self.last_reported);
        let others = others.filter(|it| !chosen.contains(it));
        let others: Vec<_> = others.take(count - chosen.len()).collect();
        self.last_reported = others.last().copied().or(self.last_reported);
        chosen.extend(others);
        self.has_unreported = false;
        let now = self.now;
        let reports = chosen.into_iter().filter_map(|suspect| {
            let entry = self.suspects.get_mut(&suspect)?;
            entry.repeats = entry.repeats.saturating_sub(1);
            Some(SuspectReport::new(now, suspect, &entry.record))
        });
        reports.collect()
    }

    /// Returns the next suspect in turn that is refused, if it is not chosen already.
    fn next_refused(&self, chosen: &[Suspect]) -> Option<Suspect> {
        let mut suspects = self.in_turn(self.last_refused_reported);
        suspects.find(|suspect| {
            let record = self.suspects.get(suspect).map(|entry| &entry.record);
            let left = record.and_then(|it| self.quarantine_left(self.now, *suspect, it));
            left.is_some() && !chosen.contains(suspect)
        })
    }

    /// Returns all suspects, those behind one of them first.
    fn in_turn(&self, after: Option<Suspect>) -> impl Iterator<Item = Suspect> {
        let later = self.suspects.keys().filter(move |it| Some(**it) > after);
        let earlier = self.suspects.keys().filter(move |it| Some(**it) <= after);
        later.chain(earlier).copied()
    }

    /// Sets the time to which the ages in the next reports refer.
    pub fn advance_to(&mut self, now: Duration) {
        self.set_now(now);
    }

    /// Tells whether this host has evidence that it has not reported.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported
    }

    /// Checks a request with these suspects against the quarantines.
    ///
    /// A part that is common here and has worked before is refused only with a contrast, see [`Self::tick`].
    /// Parts that were in the same crashes can't be told apart yet. A request with only some of them is not refused; it
    /// clears those that it has, or adds the crash that tells them from the others.
    pub fn check(
        &self,
        now: Duration,
        suspects: &[Suspect],
        is_common: impl Fn(Suspect) -> Option<bool>,
    ) -> QuarantineCheck {
        let mut result = QuarantineCheck::Clear;
        if self.suspects.is_empty() {
            return result;
        }
        let now = now + CLOCK_HEADROOM;
        for suspect in suspects {
            match self.check_suspect(now, *suspect, suspects, is_common(*suspect)) {
                Some(Ok(left)) => match result {
                    QuarantineCheck::Refused(longest) if longest >= left => {}
                    _ => result = QuarantineCheck::Refused(left),
                },
                Some(Err(waiver)) if result == QuarantineCheck::Clear => {
                    result = QuarantineCheck::Waived(*suspect, waiver);
                }
                _ => {}
            }
        }
        result
    }

    /// Returns the time for which one of a request's suspects is refused, or why it is not although it has been
    /// quarantined.
    fn check_suspect(
        &self,
        now: Duration,
        suspect: Suspect,
        suspects: &[Suspect],
        is_common: Option<bool>,
    ) -> Option<Result<Duration, Waiver>> {
        let Entry {
            record,
            trial_until,
            ..
        } = self.suspects.get(&suspect)?;
        record.quarantine()?;
        let Some(left) = self.quarantine_left(now, suspect, record) else {
            let trial_left = trial_until.saturating_sub(now);
            return Some(match !suspect.is_part() && !trial_left.is_zero() {
                true => Ok(trial_left),
                false => Err(Waiver::Trial),
            });
        };
        if !suspect.is_part() {
            return Some(Ok(left));
        }
        if is_common == Some(true) && record.has_history() && !record.has_contrast() {
            return Some(Err(Waiver::Common));
        }
        Some(match self.may_be_another(record, suspects) {
            true => Err(Waiver::OtherPart),
            false => Ok(left),
        })
    }

    /// Returns the number of crashes on record of a suspect.
    pub fn crash_count(&self, suspect: Suspect) -> usize {
        let entry = self.suspects.get(&suspect);
        entry.map_or(0, |entry| entry.record.crashes().len())
    }

    /// Returns whether a part that is not among `suspects` was in all crashes of a record, and is no less likely their
    /// cause.
    fn may_be_another(&self, record: &CrashRecord, suspects: &[Suspect]) -> bool {
        let others = self.suspects.iter();
        let mut others = others.filter(|(other, _)| other.is_part() && !suspects.contains(other));
        others.any(|(_, Entry { record: other, .. })| {
            let is_as_likely = record.has_history() || !other.has_history();
            is_as_likely && other.has_all_crashes_of(record, Duration::MAX)
        })
    }

    fn quarantine_left(
        &self,
        now: Duration,
        suspect: Suspect,
        record: &CrashRecord,
    ) -> Option<Duration> {
        let quarantine = record.quarantine()?;
        let max_delay = match quarantine.is_ambiguous {
            true => self.ambiguous_trial_delay(suspect, record),
            false => MAX_TRIAL_DELAY,
        };
        let until = quarantine.until + self.trial_delay(suspect, max_delay);
        let left = until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the longest delay of a host's first trial of a suspect that may be innocent. The result of a trial is known
    /// only after the time that the request took to crash endpoints, and few hosts are to begin theirs before.
    fn ambiguous_trial_delay(&self, suspect: Suspect, record: &CrashRecord) -> Duration {
        if suspect.is_part() {
            return MAX_AMBIGUOUS_TRIAL_DELAY;
        }
        let delay = record
            .longest_run()
            .saturating_mul(self.hosts)
            .saturating_mul(TRIAL_SPACING);
        delay
            .min(self.quarantine_time())
            .max(MAX_AMBIGUOUS_TRIAL_DELAY)
    }

    fn trial_delay(&self, suspect: Suspect, max_delay: Duration) -> Duration {
        let (Suspect::Part(key) | Suspect::Request(key)) = suspect;
        let max_ms = max_delay.as_millis() as u64;
        millis(pair_hash(self.host, key) % max_ms)
    }

    /// Returns the number of suspects on record.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether nothing is on record.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects that are refused.
    pub fn quarantined_count(&self) -> usize {
        let now = self.now;
        let entries = self.suspects.iter();
        let quarantined = entries.filter(|(suspect, entry)| {
            self.quarantine_left(now, **suspect, &entry.record)
                .is_some()
        });
        quarantined.count()
    }

    fn quarantine_time(&self) -> Duration {
        millis(self.settings.poison_quarantine_ms)
    }

    fn set_now(&mut self, now: Duration) -> Duration {
        self.now = self.now.max(now + CLOCK_HEADROOM);
        self.now
    }

    /// Returns the entry of a suspect. If there is no room for a new one, the one with the least evidence goes.
    fn entry_mut(&mut self, suspect: Suspect) -> &mut Entry {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&suspect) {
            let least = self.suspects.iter().min_by_key(|(_, entry)| {
                let record = &entry.record;
                let is_quarantined = record.quarantine().is_some();
                (
                    is_quarantined,
                    record.crashes().len(),
                    record.last_event_at(),
                )
            });
            if let Some(least) = least.map(|(suspect, _)| *suspect) {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(suspect).or_default()
    }
}

/// Returns the number of reports that tell of a change of a record before other suspects get their turn.
fn change_repeats(suspect: Suspect, record: &CrashRecord) -> u32 {
    let is_unlikely = |crash: &Crash| crash.lost_at > crash.sent_at + LIKELY_CRASH_TIME;
    match record.crashes() {
        [crash] if !suspect.is_part() && is_unlikely(crash) => 1,
        _ => CHANGE_REPEATS,
    }
}
