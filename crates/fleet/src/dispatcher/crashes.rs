//! Crashes of endpoints under requests of this host, and what is refused because of them.

use std::sync::Arc;
use std::time::Duration;

use super::Attempt;
use super::Dispatcher;
use super::Pending;
use crate::arrival::Arrival;
use crate::arrival::RequestId;
use crate::arrival_shares::ArrivalShares;
use crate::crash_evidence::Crash;
use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::QuarantineCheck;
use crate::crash_evidence::QuarantineEvent;
use crate::crash_evidence::SuspectReport;
use crate::crash_evidence::Waiver;
use crate::endpoint_table::Endpoint;
use crate::lost_connections::GivenUp;
use crate::lost_connections::LostConnections;
use crate::lost_connections::SuspectCrash;
use crate::prompt::Prompt;
use crate::sound_answers::SoundAnswers;
use crate::suspect::Suspect;

/// Time in which all hosts of a small fleet learn of a suspect, and sound answers clear it.
const SMALL_FLEET_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// The same for fleets in which relays pass reports on.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Maximum number of parts of a prompt that are suspects. A head has room for hundreds, which each answer that has begun
/// would hold.
const MAX_PARTS_PER_PROMPT: usize = 64;
/// Maximum number of suspects in one report.
const MAX_SUSPECTS_PER_REPORT: usize = 4;

/// State of one host about crashes.
#[derive(Debug)]
pub(super) struct Crashes {
    pub(super) evidence: CrashEvidence,
    pub(super) answers: SoundAnswers,
    /// Shares of the requests at this host that have a suspect in common.
    pub(super) arrivals: ArrivalShares,
    pub(super) lost: LostConnections,
    endpoints_to_check: Vec<Arc<Endpoint>>,
    events: Vec<CrashEvent>,
}

/// A crash, or the start or end of a quarantine, for logs, metrics and the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub enum CrashEvent {
    /// An endpoint crashed under requests of this host. The suspects are those that may be the cause, each with the number
    /// of its crashes on record.
    EndpointCrashed(Arc<Endpoint>, Vec<(Suspect, usize)>),
    /// A request is sent to an endpoint although one of its suspects has been quarantined.
    QuarantineWaived(Arc<Endpoint>, Suspect, Waiver),
    /// A quarantine started or ended, by this host's evidence or by that of others.
    Quarantine(QuarantineEvent),
}

impl Crashes {
    pub(super) fn new(host: u64) -> Self {
        Self {
            evidence: CrashEvidence::new(host),
            answers: SoundAnswers::default(),
            arrivals: ArrivalShares::default(),
            lost: LostConnections::default(),
            endpoints_to_check: Vec::new(),
            events: Vec::new(),
        }
    }
}

/// Returns the parts of a request's prompt that other requests share.
pub(super) fn parts_of(arrival: &Arrival) -> Vec<Suspect> {
    let parts = arrival.prompt.as_ref().map(Prompt::shared_parts);
    let parts = parts.into_iter().flatten().take(MAX_PARTS_PER_PROMPT);
    parts.map(|part| Suspect::Part(part.id)).collect()
}

/// Returns the suspects of a request: the parts of its prompt that other requests share, and its whole content.
fn suspects_of(arrival: &Arrival) -> Vec<Suspect> {
    let mut suspects = parts_of(arrival);
    suspects.extend(whole_request(arrival));
    suspects
}

/// Returns a request's whole content; `None` if its body has not been read.
pub(super) fn whole_request(arrival: &Arrival) -> Option<Suspect> {
    arrival.fingerprint.map(Suspect::request)
}

impl Dispatcher {
    /// Takes the endpoints that are to be connected to, since connections to them were lost and they may have crashed. The
    /// answer is [`DispatchEvent::EndpointDown`](super::DispatchEvent::EndpointDown) if one refuses the connection, and
    /// [`DispatchEvent::EndpointUp`](super::DispatchEvent::EndpointUp) if it accepts it.
    pub fn take_endpoints_to_check(&mut self) -> Vec<Arc<Endpoint>> {
        std::mem::take(&mut self.crashes.endpoints_to_check)
    }

    /// Takes the crashes and changes of quarantines since the last call.
    pub fn take_crash_events(&mut self) -> Vec<CrashEvent> {
        std::mem::take(&mut self.crashes.events)
    }

    /// Refuses a suspect for what is left of a quarantine that the platform's store has kept.
    pub fn restore_quarantine(&mut self, now: Duration, suspect: Suspect, left: Duration) {
        self.crashes.evidence.restore(now, suspect, left);
    }

    /// Returns the number of suspects on record, and of those that are refused.
    pub fn suspect_counts(&self) -> (usize, usize) {
        let evidence = &self.crashes.evidence;
        (evidence.len(), evidence.quarantined_count())
    }

    fn check_quarantine(&self, now: Duration, arrival: &Arrival) -> QuarantineCheck {
        let evidence = &self.crashes.evidence;
        if evidence.is_empty() {
            return QuarantineCheck::Clear;
        }
        let arrivals = &self.crashes.arrivals;
        evidence.check(now, &suspects_of(arrival), |it| arrivals.is_common(it))
    }

    /// Returns the time for which a request is refused because of crashes; `None` if it is not.
    pub(super) fn quarantined_for(&self, now: Duration, arrival: &Arrival) -> Option<Duration> {
        match self.check_quarantine(now, arrival) {
            QuarantineCheck::Refused(left) => Some(left),
            QuarantineCheck::Clear | QuarantineCheck::Waived(..) => None,
        }
    }

    /// Reports a request that is about to be sent although one of its suspects has been quarantined.
    pub(super) fn note_waiver(&mut self, now: Duration, id: RequestId, endpoint: &Arc<Endpoint>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let check = self.check_quarantine(now, &pending.arrival);
        if let QuarantineCheck::Waived(suspect, waiver) = check {
            if waiver == Waiver::Trial {
                self.crashes.evidence.begin_trial(now, suspect);
            }
            let event = CrashEvent::QuarantineWaived(endpoint.clone(), suspect, waiver);
            self.crashes.events.push(event);
        }
    }

    /// Records that the connection of an attempt was lost. Its endpoint may have crashed under the attempt, or under an
    /// answer that was complete a moment before.
    pub(super) fn on_answer_lost(&mut self, now: Duration, id: RequestId, attempt: &Attempt) {
        let endpoint = &attempt.endpoint;
        let crashes = self.lost_suspects(now, id, attempt);
        if !self.endpoints.is_usable(endpoint) {
            return;
        }
        if self.crashes.lost.must_check(now, endpoint.key) {
            self.crashes.endpoints_to_check.push(endpoint.clone());
        }
        let confirmed = self.crashes.lost.add(now, endpoint.key, crashes);
        self.add_crashes(now, endpoint, &confirmed);
    }

    /// Returns the suspects of an attempt, and the parts of answers that had just begun at its endpoint, except those that a
    /// later answer has cleared. The parts of the attempt count only if its answer had not begun.
    fn lost_suspects(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: &Attempt,
    ) -> Vec<SuspectCrash> {
        let endpoint = attempt.endpoint.key;
        let crash = |sent_at| Crash {
            endpoint,
            sent_at,
            lost_at: now,
        };
        let begun = self.crashes.answers.take_lost(now, endpoint);
        let begun = begun.into_iter().flat_map(|answer| {
            let crash = crash(answer.sent_at);
            let parts = answer.parts.into_iter();
            parts.map(move |part| (part, crash))
        });
        let mut crashes: Vec<SuspectCrash> = begun.collect();
        let has_begun = attempt.first_piece_at.is_some();
        if let Some(pending) = self.requests.get(&id) {
            let suspects = match has_begun {
                true => whole_request(&pending.arrival).into_iter().collect(),
                false => suspects_of(&pending.arrival),
            };
            let crash = crash(attempt.sent_at);
            crashes.extend(suspects.into_iter().map(|suspect| (suspect, crash)));
        }
        crashes.retain(|(suspect, crash)| {
            let sound_at = self.crashes.answers.last_sound(*suspect);
            sound_at.is_none_or(|at| at < crash.sent_at)
        });
        crashes
    }

    /// Records that an attempt was given up. Its endpoint may still work on it, and crash.
    pub(super) fn on_attempt_given_up(&mut self, id: RequestId, attempt: &Attempt) {
        let Some(Pending { arrival, .. }) = self.requests.get(&id) else {
            return;
        };
        if let Some(suspect) = whole_request(arrival) {
            self.crashes.lost.add_given_up(GivenUp {
                suspect,
                endpoint: attempt.endpoint.key,
                sent_at: attempt.sent_at,
                deadline: arrival.deadline,
            });
        }
    }

    /// Returns whether a request was sent although one of its suspects has been quarantined, so that its endpoint may crash.
    pub(super) fn is_on_trial(&self, now: Duration, arrival: &Arrival) -> bool {
        let check = self.check_quarantine(now, arrival);
        check != QuarantineCheck::Clear
    }

    /// Records that an endpoint was found down after connections to it were lost.
    pub(super) fn on_endpoint_down(&mut self, now: Duration, endpoint: &Arc<Endpoint>) {
        let crashes = self.crashes.lost.on_found_down(now, endpoint.key);
        self.add_crashes(now, endpoint, &crashes);
    }

    /// Records that an endpoint has refused the connection for an attempt.
    pub(super) fn on_connection_refused(
        &mut self,
        now: Duration,
        endpoint: &Arc<Endpoint>,
        tried_at: Duration,
    ) {
        let crashes = self.crashes.lost.on_refused(now, endpoint.key, tried_at);
        self.add_crashes(now, endpoint, &crashes);
    }

    fn add_crashes(&mut self, now: Duration, endpoint: &Arc<Endpoint>, crashes: &[SuspectCrash]) {
        if crashes.is_empty() {
            return;
        }
        for (suspect, crash) in crashes {
            self.crashes.evidence.add_crash(now, *suspect, *crash);
            if self.crashes.answers.has_worked(*suspect) {
                self.crashes.evidence.add_history(*suspect);
            }
        }
        let mut suspects: Vec<_> = crashes.iter().map(|(suspect, _)| *suspect).collect();
        suspects.sort_unstable();
        suspects.dedup();
        let evidence = &self.crashes.evidence;
        let suspects = suspects.into_iter();
        let suspects = suspects.map(|suspect| (suspect, evidence.crash_count(suspect)));
        let event = CrashEvent::EndpointCrashed(endpoint.clone(), suspects.collect());
        self.crashes.events.push(event);
    }

    pub(super) fn on_suspects_reported(&mut self, now: Duration, reports: &[SuspectReport]) {
        for report in reports {
            for endpoint in report.crashed_endpoints() {
                self.on_crash_reported(now, endpoint);
            }
            let event = self.crashes.evidence.merge(now, report);
            self.crashes
                .events
                .extend(event.map(CrashEvent::Quarantine));
            if self.crashes.answers.has_worked(report.suspect) {
                self.crashes.evidence.add_history(report.suspect);
            }
            if let Some(sent_at) = self.crashes.answers.last_sound(report.suspect) {
                self.clear(now, report.suspect, sent_at);
            }
        }
    }

    /// Adds the suspects that this host knows of a crash that another host has seen.
    fn on_crash_reported(&mut self, now: Duration, endpoint: u64) {
        let Crashes { answers, lost, .. } = &mut self.crashes;
        let mut crashes = lost.take_given_up(endpoint, now);
        for answer in answers.take_lost(now, endpoint) {
            let crash = Crash {
                endpoint,
                sent_at: answer.sent_at,
                lost_at: now,
            };
            crashes.extend(answer.parts.into_iter().map(|part| (part, crash)));
        }
        for (suspect, crash) in crashes {
            self.crashes.evidence.add_crash(now, suspect, crash);
        }
    }

    /// Returns what the next report tells about suspects.
    pub(super) fn next_suspect_reports(&mut self) -> Vec<SuspectReport> {
        self.crashes.evidence.next_reports(MAX_SUSPECTS_PER_REPORT)
    }

    /// Clears a whole request of which an endpoint has sent the complete answer.
    pub(super) fn on_request_answered(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        sent_at: Duration,
    ) {
        if let Some(request) = whole_request(arrival) {
            self.crashes.answers.note_sound(now, request, sent_at);
            self.clear(now, request, sent_at);
        }
    }

    /// Clears parts of answers that have gone on, and quarantines suspects with enough evidence.
    pub(super) fn check_crashes(&mut self, now: Duration) {
        for answer in self.crashes.answers.take_sound(now) {
            let evidence = &mut self.crashes.evidence;
            evidence.add_contrasts(now, &answer.parts, answer.sent_at);
            if let Some(request) = answer.whole {
                evidence.add_long_answer(now, request, answer.sent_at);
            }
            for part in answer.parts {
                self.clear(now, part, answer.sent_at);
            }
        }
        self.crashes.lost.tick(now);
        let settle_time = match self.peers.is_small_fleet(now) {
            true => SMALL_FLEET_SETTLE_TIME,
            false => SETTLE_TIME,
        };
        let hosts = self.hosts(now);
        let Crashes {
            evidence, arrivals, ..
        } = &mut self.crashes;
        evidence.set_hosts(hosts);
        let quarantined = evidence.tick(now, settle_time, |it| arrivals.is_common(it));
        let released = evidence.release_explained(now).into_iter();
        let released = released.map(QuarantineEvent::Cleared);
        let started = quarantined.into_iter().map(QuarantineEvent::Started);
        let events = started.chain(released);
        self.crashes
            .events
            .extend(events.map(CrashEvent::Quarantine));
    }

    fn clear(&mut self, now: Duration, suspect: Suspect, sent_at: Duration) {
        let evidence = &mut self.crashes.evidence;
        if evidence.add_sound_answer(now, suspect, sent_at) {
            let event = QuarantineEvent::Cleared(suspect);
            self.crashes.events.push(CrashEvent::Quarantine(event));
        }
    }
}
