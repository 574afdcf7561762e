//! Finds requests that crash the endpoints that run them, and refuses them for a time.
//!
//! A crash ends a whole batch, so at first every request of the batch is a suspect. A suspect that
//! finishes later is cleared. The others run one at a time in each router, among requests that are
//! not suspects; a crash counts against a request that was the prime suspect in it. Routers
//! exchange their observations, and a suspect is evaluated only after a short delay, so that two
//! suspects of two routers in the same crash are told apart. All routers refuse a request found to
//! be poison.

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

/// Maximum number of requests that a router keeps records of.
pub const MAX_RECORDS: usize = 4_096;
/// Time within which the notices of other routers about the same crash arrive.
const EVALUATION_DELAY: Duration = Duration::from_secs(1);
/// Retention time of a record, as a multiple of the quarantine time.
const RETENTION_QUARANTINE_TIMES: u32 = 2;
/// Longest trial of a suspect; after it the next trial may start.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(600);
/// Minimum number of crashes that prove anything: the first one implicates a whole batch.
const MIN_CRASHES: u32 = 2;
/// Longest quarantine that a notice may ask for, as a multiple of the quarantine time;
/// more is absurd.
const MAX_NOTICE_QUARANTINE_TIMES: u32 = 32;

/// Whether a request may start on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// It may start.
    Start,
    /// It is a suspect and must wait for the end of another suspect's trial or of its evaluation.
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
    crash_detector: CrashDetector,
    trial: Option<Trial>,
    pending_evaluations: BTreeMap<Fingerprint, Duration>,
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
            crash_detector: CrashDetector::default(),
            trial: None,
            pending_evaluations: BTreeMap::new(),
            notices: Vec::new(),
        }
    }

    /// Adopts changed settings and keeps all records.
    pub fn configure(&mut self, settings: HealthSettings) {
        self.settings = settings;
    }

    /// Returns for how long a request is still refused, if it is.
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

    /// Decides whether a request may start. A suspect that may start is on trial until it ends.
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
        if self
            .pending_evaluations
            .get(&fingerprint)
            .is_some_and(|at| *at <= now)
        {
            self.evaluate(now, fingerprint);
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
        let is_on_trial = |trial: &Trial| now.saturating_sub(trial.since) < MAX_TRIAL_DURATION;
        if self.pending_evaluations.contains_key(&fingerprint)
            || self.trial.as_ref().is_some_and(is_on_trial)
        {
            return StartDecision::Wait;
        }
        self.trial = Some(Trial {
            fingerprint,
            since: now,
        });
        StartDecision::Start
    }

    /// Records that a request finished, which clears it: a poison request never finishes.
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
            self.pending_evaluations.remove(&fingerprint);
            self.queue_notice(fingerprint, PoisonEvent::Finished);
        }
    }

    /// Records that a request ended in a way that proves nothing, such as a cancellation.
    pub fn on_ended(&mut self, fingerprint: Fingerprint) {
        self.end_trial(fingerprint);
    }

    /// Records that the connection to `endpoint` was lost while it ran a request.
    ///
    /// The network may be the cause. The loss counts against the request only if the endpoint is
    /// then found to be down, see [`on_endpoint_down`](Self::on_endpoint_down).
    pub fn on_connection_lost(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
    ) {
        self.end_trial(fingerprint);
        if let Some(crash) = self
            .crash_detector
            .on_connection_lost(now, fingerprint, endpoint)
        {
            self.record_crash(now, fingerprint, &crash);
        }
    }

    /// Records that `endpoint` refuses connections or reports that it has restarted.
    pub fn on_endpoint_down(&mut self, now: Duration, endpoint: &EndpointId) {
        let Some(batch) = self.crash_detector.on_endpoint_down(now, endpoint) else {
            return;
        };
        for fingerprint in batch.requests {
            self.record_crash(now, fingerprint, &batch.crash);
        }
    }

    /// Runs due evaluations and drops expired records. Called every few hundred milliseconds.
    pub fn tick(&mut self, now: Duration) {
        let due: Vec<_> = self
            .pending_evaluations
            .iter()
            .filter(|(_, evaluate_at)| **evaluate_at <= now)
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        for fingerprint in due {
            self.evaluate(now, fingerprint);
        }
        self.crash_detector.remove_expired(now);
        let retention = self.quarantine_time() * RETENTION_QUARANTINE_TIMES;
        self.records
            .retain(|_, record| record.changed_at() + retention > now);
    }

    /// Applies a notice of another router. A repeated or late notice changes nothing.
    pub fn on_notice(&mut self, now: Duration, notice: PoisonNotice) {
        let fingerprint = notice.fingerprint;
        let crash_threshold = self.crash_threshold();
        let max_remaining = self.quarantine_time() * MAX_NOTICE_QUARANTINE_TIMES;
        match notice.event {
            PoisonEvent::Crashed { endpoint, age } if age <= self.quarantine_time() => {
                let crash = Crash {
                    endpoint,
                    at: now.saturating_sub(age),
                };
                let record = self.record_mut(fingerprint);
                if !record.was_resolved_near(crash.at) && record.add_crash(crash, crash_threshold) {
                    self.schedule_evaluation(now, fingerprint);
                }
            }
            PoisonEvent::Crashed { .. } => {}
            PoisonEvent::Quarantined { remaining } => {
                let until = now + remaining.min(max_remaining);
                self.record_mut(fingerprint).quarantine_until(now, until);
            }
            PoisonEvent::Finished => {
                self.record_mut(fingerprint).clear(now);
                self.pending_evaluations.remove(&fingerprint);
            }
        }
    }

    /// Takes the notices to be sent to all routers.
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

    /// Returns the number of requests on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no request is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record_crash(&mut self, now: Duration, fingerprint: Fingerprint, crash: &Crash) {
        let crash_threshold = self.crash_threshold();
        let record = self.record_mut(fingerprint);
        if !record.add_crash(crash.clone(), crash_threshold) {
            return;
        }
        self.schedule_evaluation(now, fingerprint);
        let event = PoisonEvent::Crashed {
            endpoint: crash.endpoint.clone(),
            age: now.saturating_sub(crash.at),
        };
        self.queue_notice(fingerprint, event);
    }

    fn schedule_evaluation(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.record_mut(fingerprint).needs_evaluation() {
            self.pending_evaluations
                .insert(fingerprint, now + EVALUATION_DELAY);
        }
    }

    fn evaluate(&mut self, now: Duration, fingerprint: Fingerprint) {
        self.pending_evaluations.remove(&fingerprint);
        let crash_threshold = self.crash_threshold();
        let base_duration = self.quarantine_time();
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        let is_prime_suspect = |crash: &Crash| self.is_prime_suspect(fingerprint, crash);
        if record.quarantined_for(now).is_some()
            || !record.is_poison(is_prime_suspect, crash_threshold)
        {
            return;
        }
        let remaining = self.record_mut(fingerprint).quarantine(now, base_duration);
        self.queue_notice(fingerprint, PoisonEvent::Quarantined { remaining });
    }

    fn is_prime_suspect(&self, fingerprint: Fingerprint, crash: &Crash) -> bool {
        let score = |record: &PoisonRecord| record.suspicion_score(crash);
        let own = self.records.get(&fingerprint).map_or(0, score);
        self.records
            .iter()
            .all(|(other, record)| *other == fingerprint || score(record) < own)
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

    fn queue_notice(&mut self, fingerprint: Fingerprint, event: PoisonEvent) {
        self.notices.push(PoisonNotice { fingerprint, event });
    }

    fn record_mut(&mut self, fingerprint: Fingerprint) -> &mut PoisonRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            self.drop_oldest_record();
        }
        self.records.entry(fingerprint).or_default()
    }

    fn drop_oldest_record(&mut self) {
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.changed_at())
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.records.remove(&oldest);
            self.pending_evaluations.remove(&oldest);
        }
    }

    fn crash_threshold(&self) -> usize {
        let crash_threshold = self.settings.poison_after_crashes.max(MIN_CRASHES);
        usize::try_from(crash_threshold).unwrap_or(usize::MAX)
    }

    fn quarantine_time(&self) -> Duration {
        millis(self.settings.poison_quarantine_ms)
    }
}
