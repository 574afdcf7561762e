//! Requests that crash the endpoints which run them.
//!
//! A crash takes a whole batch with it, so at first every request of the batch is a suspect. One
//! that finishes later is cleared. The others run one at a time in each router, among requests that
//! are no suspects; a crash in which a request was the foremost suspect counts against it. Routers
//! tell each other what they saw, and a short while passes before judgement, so that two suspects
//! of two routers in the same crash are told apart. The guilty are refused everywhere, for a time.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::millis;

use crate::crash_detector::CrashDetector;
use crate::poison_notice::PoisonEvent;
use crate::poison_notice::PoisonNotice;
use crate::poison_record::Crash;
use crate::poison_record::PoisonRecord;

/// Most requests that a router keeps records of.
pub const MAX_RECORDS: usize = 4_096;
/// Time in which the notices of other routers about the same crash arrive.
const JUDGE_AFTER: Duration = Duration::from_secs(1);
/// Quarantine times for which a suspect is remembered.
const REMEMBERED_TIMES: u32 = 2;
/// Longest trial of a suspect; the next one may start then.
const MAX_TRIAL: Duration = Duration::from_secs(600);
/// Fewest crashes that prove anything: the first blames a whole batch.
const MIN_CRASHES: u32 = 2;
/// Quarantine times that a notice may ask for; more is absurd.
const MAX_NOTICE_TIMES: u32 = 32;

/// Whether a request may start on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// It may.
    Start,
    /// It is a suspect and has to wait until another suspect's trial, or its judgement, is over.
    Wait,
    /// It is quarantined.
    Refuse,
}

/// Suspects, trials and quarantined requests, as one router knows them.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::quarantine::{Quarantine, StartDecision};
/// use sedgeridge_state::fingerprint::Fingerprint;
/// use sedgeridge_state::ids::EndpointId;
/// use sedgeridge_state::settings::HealthSettings;
///
/// let poison = Fingerprint(1);
/// let mut quarantine = Quarantine::new(HealthSettings::default());
/// for (second, name) in [(0, "desk-1"), (10, "desk-2")] {
///     let (now, desk) = (Duration::from_secs(second), EndpointId::from(name));
///     assert_eq!(quarantine.try_start(now, poison), StartDecision::Start);
///     quarantine.on_connection_lost(now, poison, &desk);
///     quarantine.on_endpoint_down(now, &desk);
///     quarantine.tick(now + Duration::from_secs(1));
/// }
/// assert_eq!(quarantine.try_start(Duration::from_secs(12), poison), StartDecision::Refuse);
/// ```
#[derive(Debug)]
pub struct Quarantine {
    settings: HealthSettings,
    records: BTreeMap<Fingerprint, PoisonRecord>,
    crashes: CrashDetector,
    trial: Option<Trial>,
    accused: BTreeMap<Fingerprint, Duration>,
    notices: Vec<PoisonNotice>,
}

#[derive(Debug)]
struct Trial {
    fingerprint: Fingerprint,
    since: Duration,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            crashes: CrashDetector::default(),
            trial: None,
            accused: BTreeMap::new(),
            notices: Vec::new(),
        }
    }

    /// Adopts changed settings; what is known stays.
    pub fn configure(&mut self, settings: HealthSettings) {
        self.settings = settings;
    }

    /// Tells for how long a request is still refused, if it is.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::quarantine::Quarantine;
    /// use sedgeridge_state::fingerprint::Fingerprint;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let quarantine = Quarantine::new(HealthSettings::default());
    /// assert_eq!(quarantine.refused_for(Duration::ZERO, Fingerprint(1)), None);
    /// ```
    pub fn refused_for(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        self.records.get(&fingerprint)?.quarantined_for(now)
    }

    /// Asks to start a request. A suspect that is let start is on trial until it ends.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::quarantine::{Quarantine, StartDecision};
    /// use sedgeridge_state::fingerprint::Fingerprint;
    /// use sedgeridge_state::ids::EndpointId;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let (now, desk) = (Duration::from_secs(1), EndpointId::from("desk-1"));
    /// let (first, second) = (Fingerprint(1), Fingerprint(2));
    /// let mut quarantine = Quarantine::new(HealthSettings::default());
    /// quarantine.on_connection_lost(now, first, &desk);
    /// quarantine.on_connection_lost(now, second, &desk);
    /// quarantine.on_endpoint_down(now, &desk);
    /// assert_eq!(quarantine.try_start(now, first), StartDecision::Start);
    /// assert_eq!(quarantine.try_start(now, second), StartDecision::Wait);
    /// ```
    pub fn try_start(&mut self, now: Duration, fingerprint: Fingerprint) -> StartDecision {
        if self.accused.get(&fingerprint).is_some_and(|at| *at <= now) {
            self.judge(now, fingerprint);
        }
        let Some(record) = self.records.get(&fingerprint) else {
            return StartDecision::Start;
        };
        if record.quarantined_for(now).is_some() {
            return StartDecision::Refuse;
        }
        if !record.is_suspect() {
            return StartDecision::Start;
        }
        let is_on_trial = |trial: &Trial| now.saturating_sub(trial.since) < MAX_TRIAL;
        if self.accused.contains_key(&fingerprint) || self.trial.as_ref().is_some_and(is_on_trial) {
            return StartDecision::Wait;
        }
        self.trial = Some(Trial {
            fingerprint,
            since: now,
        });
        StartDecision::Start
    }

    /// Notes that a request ran to its end, which clears it: a poison request never does.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::quarantine::{Quarantine, StartDecision};
    /// use sedgeridge_state::fingerprint::Fingerprint;
    /// use sedgeridge_state::ids::EndpointId;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let (now, desk) = (Duration::from_secs(1), EndpointId::from("desk-1"));
    /// let (first, second) = (Fingerprint(1), Fingerprint(2));
    /// let mut quarantine = Quarantine::new(HealthSettings::default());
    /// quarantine.on_connection_lost(now, first, &desk);
    /// quarantine.on_connection_lost(now, second, &desk);
    /// quarantine.on_endpoint_down(now, &desk);
    /// quarantine.try_start(now, first);
    /// quarantine.on_finished(now, first);
    /// assert_eq!(quarantine.try_start(now, second), StartDecision::Start);
    /// ```
    pub fn on_finished(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.end_trial(fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.is_suspect() || record.quarantined_for(now).is_some() {
            record.clear(now);
            self.accused.remove(&fingerprint);
            self.tell(fingerprint, PoisonEvent::Finished);
        }
    }

    /// Notes that a request ended in a way that says nothing about it, such as a cancel.
    pub fn on_ended(&mut self, fingerprint: Fingerprint) {
        self.end_trial(fingerprint);
    }

    /// Notes that the connection to `endpoint` was lost while it ran a request.
    ///
    /// That may be the network's doing. It is held against the request only if the endpoint is then
    /// found to be down, see [`endpoint_down`](Self::endpoint_down).
    pub fn on_connection_lost(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
    ) {
        self.end_trial(fingerprint);
        if let Some(crash) = self.crashes.connection_lost(now, fingerprint, endpoint) {
            self.blame(now, fingerprint, &crash);
        }
    }

    /// Notes that `endpoint` refuses connections or says that it has restarted.
    pub fn on_endpoint_down(&mut self, now: Duration, endpoint: &EndpointId) {
        let Some(batch) = self.crashes.endpoint_down(now, endpoint) else {
            return;
        };
        for fingerprint in batch.requests {
            self.blame(now, fingerprint, &batch.crash);
        }
    }

    /// Judges the accused, and drops what is too old to matter. Called every few hundred
    /// milliseconds.
    pub fn tick(&mut self, now: Duration) {
        let due: Vec<_> = self
            .accused
            .iter()
            .filter(|(_, judge_at)| **judge_at <= now)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in due {
            self.judge(now, fingerprint);
        }
        self.crashes.forget_old(now);
        let remembered = self.quarantine_time() * REMEMBERED_TIMES;
        self.records
            .retain(|_, record| record.changed_at() + remembered > now);
    }

    /// Takes what another router tells. A repeated or late notice changes nothing.
    pub fn on_notice(&mut self, now: Duration, notice: PoisonNotice) {
        let fingerprint = notice.fingerprint;
        let most = self.most_crashes();
        let longest = self.quarantine_time() * MAX_NOTICE_TIMES;
        match notice.event {
            PoisonEvent::Crashed { endpoint, age } if age <= self.quarantine_time() => {
                let crash = Crash {
                    endpoint,
                    at: now.saturating_sub(age),
                };
                let record = self.record(fingerprint);
                if !record.was_settled_near(crash.at) && record.add(crash, most) {
                    self.accuse(now, fingerprint);
                }
            }
            PoisonEvent::Crashed { .. } => {}
            PoisonEvent::Quarantined { remaining } => {
                let until = now + remaining.min(longest);
                self.record(fingerprint).quarantine_until(now, until);
            }
            PoisonEvent::Finished => {
                self.record(fingerprint).clear(now);
                self.accused.remove(&fingerprint);
            }
        }
    }

    /// Takes the notices to be spread to all routers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::quarantine::{Quarantine, StartDecision};
    /// use sedgeridge_state::fingerprint::Fingerprint;
    /// use sedgeridge_state::ids::EndpointId;
    /// use sedgeridge_state::settings::HealthSettings;
    ///
    /// let (now, desk) = (Duration::from_secs(1), EndpointId::from("desk-1"));
    /// let (first, second) = (Fingerprint(1), Fingerprint(2));
    /// let mut quarantine = Quarantine::new(HealthSettings::default());
    /// quarantine.on_connection_lost(now, first, &desk);
    /// quarantine.on_connection_lost(now, second, &desk);
    /// quarantine.on_endpoint_down(now, &desk);
    /// let mut peer = Quarantine::new(HealthSettings::default());
    /// for notice in quarantine.take_notices() {
    ///     peer.on_notice(now, notice);
    /// }
    /// assert_eq!(peer.len(), 2);
    /// ```
    pub fn take_notices(&mut self) -> Vec<PoisonNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns how many requests records are kept of.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no request is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn blame(&mut self, now: Duration, fingerprint: Fingerprint, crash: &Crash) {
        let most = self.most_crashes();
        let record = self.record(fingerprint);
        if !record.add(crash.clone(), most) {
            return;
        }
        self.accuse(now, fingerprint);
        let news = PoisonEvent::Crashed {
            endpoint: crash.endpoint.clone(),
            age: now.saturating_sub(crash.at),
        };
        self.tell(fingerprint, news);
    }

    fn accuse(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.record(fingerprint).is_accused() {
            self.accused.insert(fingerprint, now + JUDGE_AFTER);
        }
    }

    fn judge(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.accused.remove(&fingerprint);
        let most = self.most_crashes();
        let first = self.quarantine_time();
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        let is_foremost = |crash: &Crash| self.is_foremost(fingerprint, crash);
        if record.quarantined_for(now).is_some() || !record.is_guilty(is_foremost, most) {
            return;
        }
        let remaining = self.record(fingerprint).quarantine(now, first);
        self.tell(fingerprint, PoisonEvent::Quarantined { remaining });
    }

    fn is_foremost(&self, fingerprint: Fingerprint, crash: &Crash) -> bool {
        let suspicion = |record: &PoisonRecord| record.suspicion_in(crash);
        let own = self.records.get(&fingerprint).map_or(0, suspicion);
        self.records
            .iter()
            .all(|(other, record)| *other == fingerprint || suspicion(record) < own)
    }

    fn end_trial(&mut self, fingerprint: Fingerprint) {
        if self
            .trial
            .as_ref()
            .is_some_and(|trial| trial.fingerprint == fingerprint)
        {
            self.trial = None;
        }
    }

    fn tell(&mut self, fingerprint: Fingerprint, event: PoisonEvent) {
        self.notices.push(PoisonNotice { fingerprint, event });
    }

    fn record(&mut self, fingerprint: Fingerprint) -> &mut PoisonRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            self.drop_oldest();
        }
        self.records.entry(fingerprint).or_default()
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.changed_at())
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.records.remove(&oldest);
            self.accused.remove(&oldest);
        }
    }

    fn most_crashes(&self) -> usize {
        let most = self.settings.poison_after_crashes.max(MIN_CRASHES);
        usize::try_from(most).unwrap_or(usize::MAX)
    }

    fn quarantine_time(&self) -> Duration {
        millis(self.settings.poison_quarantine_ms)
    }
}
