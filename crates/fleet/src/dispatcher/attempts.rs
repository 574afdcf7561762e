//! Starts attempts, and handles their answers and failures.

use std::sync::Arc;
use std::time::Duration;

use super::Attempt;
use super::Dispatcher;
use super::Pending;
use super::candidates::BestEndpoint;
use super::crashes::parts_of;
use super::crashes::whole_request;
use crate::arrival::Arrival;
use crate::arrival::RequestId;
use crate::attempt_progress::AttemptProgress;
use crate::endpoint_load::Load;
use crate::endpoint_table::Endpoint;
use crate::sound_answers::BegunAnswer;
use crate::stream_origin::StreamOrigin;
use crate::verdict::Basis;
use crate::verdict::Decision;
use crate::verdict::Failure;
use crate::verdict::RefusalReason;
use crate::verdict::Verdict;

/// Maximum number of unreachable endpoints after which a request is still tried elsewhere. Nothing was sent to them, so
/// they don't count as attempts.
const MAX_UNREACHABLE: u32 = 3;
/// Multiple of the latency target. If an endpoint has sent nothing for that long when the caller disconnects, the attempt
/// counts as failed. Otherwise an endpoint that takes requests and never answers would look as good as the others.
const MAX_SILENCE_TARGETS: u32 = 2;
/// Minimum time to the deadline with which a request is sent again.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

impl Dispatcher {
    pub(super) fn on_arrival(
        &mut self,
        now: Duration,
        arrival: Arrival,
        decisions: &mut Vec<Decision>,
    ) {
        let id = arrival.id;
        if let Some(account) = arrival.account.filter(|_| arrival.prompt.is_some()) {
            self.shares
                .on_arrived(now, account, arrival.charged_tokens());
        }
        if arrival.prompt.is_none() {
            self.on_plain_arrival(now, &arrival);
        }
        self.crashes.arrivals.note(now, &parts_of(&arrival));
        if let Some(quarantine_left) = self.quarantined_for(now, &arrival) {
            let verdict = Verdict::Refuse {
                reason: RefusalReason::Quarantined,
                retry_after: quarantine_left,
                basis: Basis::default(),
            };
            decisions.push(Decision {
                request: id,
                verdict,
            });
            return;
        }
        let pending = Pending {
            waits_since: arrival.received_at,
            arrival,
            sends: 0,
            unreachable: 0,
            tried_endpoints: Vec::new(),
            may_have_run: false,
            is_charged: false,
            last_failure: None,
            attempt: None,
        };
        self.requests.insert(id, pending);
        self.try_place(now, id, decisions);
    }

    /// Sends a request to `endpoint`.
    pub(super) fn start(
        &mut self,
        now: Duration,
        id: RequestId,
        endpoint: Arc<Endpoint>,
        load: Load,
        decisions: &mut Vec<Decision>,
    ) {
        self.note_waiver(now, id, &endpoint);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let unread_before = self.loads.total(endpoint.key).unread_tokens;
        pending.attempt = Some(Attempt {
            endpoint: endpoint.clone(),
            load,
            sent_at: now,
            unread_tokens_at_send: f64::from(unread_before) + f64::from(load.unread_tokens),
            first_piece_at: None,
        });
        pending.sends += 1;
        pending.tried_endpoints.push(endpoint.key);
        let arrival = &pending.arrival;
        if let Some(prompt) = &arrival.prompt {
            self.cached.note(now, endpoint.key, prompt);
            if let Some(account) = arrival.account.filter(|_| !pending.is_charged) {
                self.shares
                    .on_started(now, account, arrival.charged_tokens());
                pending.is_charged = true;
            }
        }
        if pending.sends == 1 {
            self.resends.on_request(now, &arrival.service);
            self.counts.sent += 1;
        } else {
            self.counts.resent += 1;
        }
        self.peers.on_started();
        self.loads.add_own(endpoint.key, load);
        self.cold.on_sent(now, endpoint.key);
        let verdict = Verdict::Send(endpoint);
        decisions.push(Decision {
            request: id,
            verdict,
        });
    }

    pub(super) fn on_first_piece(&mut self, now: Duration, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let has_prompt = pending.arrival.prompt.is_some();
        let Some(attempt) = pending.attempt.as_mut() else {
            return;
        };
        if attempt.first_piece_at.is_some() {
            return;
        }
        attempt.first_piece_at = Some(now);
        let begun = BegunAnswer {
            request: id,
            endpoint: attempt.endpoint.key,
            sent_at: attempt.sent_at,
            begun_at: now,
            parts: parts_of(&pending.arrival),
            whole: whole_request(&pending.arrival),
        };
        self.crashes.answers.follow(begun);
        let key = attempt.endpoint.key;
        self.crashes.lost.on_answering(key, attempt.sent_at);
        let read = Load {
            unread_tokens: attempt.load.unread_tokens,
            ..Load::default()
        };
        attempt.load.unread_tokens = 0;
        self.loads.subtract_own(key, read);
        if has_prompt {
            let took = now.saturating_sub(attempt.sent_at);
            self.speeds
                .observe(key, attempt.unread_tokens_at_send, took);
        }
        self.tick_early(now);
    }

    /// Returns the progress of a request's attempt, if one is in progress.
    pub fn attempt_progress(&self, now: Duration, id: RequestId) -> Option<AttemptProgress> {
        let pending = self.requests.get(&id)?;
        let attempt = pending.attempt.as_ref()?;
        let prompt = pending.arrival.prompt.as_ref();
        Some(AttemptProgress {
            sent_ago: now.saturating_sub(attempt.sent_at),
            answered_for: attempt.first_piece_at.map(|at| now.saturating_sub(at)),
            parts: prompt.map_or_else(Vec::new, |prompt| prompt.parts.clone()),
        })
    }

    pub(super) fn on_stream_began(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = &pending.attempt {
            let origin = StreamOrigin::of(&attempt.endpoint);
            pending.arrival.origin.get_or_insert(origin);
        }
    }

    pub(super) fn on_completed(&mut self, now: Duration, id: RequestId) {
        let Some(mut pending) = self.requests.remove(&id) else {
            return;
        };
        if let Some(attempt) = pending.attempt.take() {
            let took = now.saturating_sub(attempt.sent_at);
            self.records.on_success(now, attempt.endpoint.key, took);
            self.on_request_answered(now, &pending.arrival, attempt.sent_at);
            self.loads.subtract_own(attempt.endpoint.key, attempt.load);
        }
    }

    pub(super) fn on_abandoned(&mut self, now: Duration, id: RequestId) {
        self.queue.retain(|queued| *queued != id);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = pending.attempt.take() {
            self.loads.subtract_own(attempt.endpoint.key, attempt.load);
            let silent_for = now.saturating_sub(attempt.sent_at);
            let max_silence = pending.arrival.route.latency_target * MAX_SILENCE_TARGETS;
            if attempt.first_piece_at.is_none() && silent_for > max_silence {
                let key = attempt.endpoint.key;
                self.records.on_failure(now, key, Failure::TimedOut);
            }
            self.on_attempt_given_up(id, &attempt);
        }
        self.requests.remove(&id);
        self.crashes.answers.withdraw(id);
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        now: Duration,
        id: RequestId,
        failure: Failure,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending.attempt.take() else {
            return;
        };
        pending.last_failure = Some(failure);
        if pending.arrival.origin.is_some() {
            pending.waits_since = now;
        }
        pending.may_have_run |= failure.may_have_run();
        if !failure.was_sent() {
            pending.sends -= 1;
            pending.unreachable += 1;
        }
        if !pending.may_have_run && std::mem::take(&mut pending.is_charged) {
            let arrival = &pending.arrival;
            if let Some(account) = arrival.account {
                let tokens = arrival.charged_tokens();
                self.shares
                    .on_not_run(now, attempt.sent_at, account, tokens);
            }
        }
        match failure {
            Failure::ConnectionLost => self.on_answer_lost(now, id, &attempt),
            Failure::TimedOut => {
                self.crashes.answers.withdraw(id);
                self.on_attempt_given_up(id, &attempt);
            }
            _ => self.crashes.answers.withdraw(id),
        }
        let endpoint = attempt.endpoint;
        self.loads.subtract_own(endpoint.key, attempt.load);
        if self.records.on_failure(now, endpoint.key, failure) {
            self.on_connection_refused(now, &endpoint, attempt.sent_at);
            self.expect_cold_start(now, &endpoint);
        }
        if failure == Failure::Misdirected {
            // Another run has the address, so this one has ended even if it is still listed.
            self.endpoints.set_leaving(&endpoint);
        }
        if self.may_send_again(now, id) {
            self.try_place(now, id, decisions);
        } else {
            self.give_up(now, id, decisions);
        }
    }

    fn may_send_again(&mut self, now: Duration, id: RequestId) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return false;
        };
        let arrival = &pending.arrival;
        let route = &arrival.route;
        if pending.may_have_run && !route.repeat.allows_second_run() {
            return false;
        }
        if arrival.deadline.saturating_sub(now) < MIN_TIME_LEFT {
            return false;
        }
        if pending.last_failure == Some(Failure::ConnectionLost) && self.is_on_trial(now, arrival) {
            return false;
        }
        if pending.sends >= route.max_attempts || pending.unreachable > MAX_UNREACHABLE {
            return false;
        }
        if pending.sends == 0 {
            return true;
        }
        let hosts = self.hosts(now);
        let is_allowed = self.resends.try_resend(now, &arrival.service, hosts);
        if !is_allowed {
            self.counts.resends_denied += 1;
        }
        is_allowed
    }

    /// Ends a request that was tried, as failed if it may have run, otherwise as refused.
    pub(super) fn give_up(&mut self, now: Duration, id: RequestId, decisions: &mut Vec<Decision>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if pending.may_have_run {
            let failure = pending.last_failure.unwrap_or(Failure::ConnectionLost);
            self.requests.remove(&id);
            let verdict = Verdict::Fail(failure);
            decisions.push(Decision {
                request: id,
                verdict,
            });
        } else {
            let reason = match pending.last_failure {
                Some(Failure::NotConnected) | None => RefusalReason::NoEndpoint,
                Some(_) => RefusalReason::TurnedAway,
            };
            self.refuse(now, id, reason, None, decisions);
        }
    }

    /// Refuses a request that has not run.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: RefusalReason,
        best: Option<BestEndpoint>,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        let retry_after = self.retry_after(now, &pending.arrival, reason, best.as_ref());
        let verdict = Verdict::Refuse {
            reason,
            retry_after,
            basis: self.basis(now, &pending, best),
        };
        decisions.push(Decision {
            request: id,
            verdict,
        });
    }

    fn basis(&self, now: Duration, pending: &Pending, best: Option<BestEndpoint>) -> Basis {
        let account = pending.arrival.account;
        Basis {
            share_used: self.share_used(&pending.arrival),
            share_requested: account.map_or(0.0, |account| self.shares.share_requested(account)),
            least_share_used: self.shares.least_share_used(),
            queued_requests: self.queue.len(),
            admitted_part: self.admitted_part(&pending.arrival),
            hosts: self.hosts(now),
            oldest_report_age: self.loads.oldest_report_age(now),
            backlog_ms: best.as_ref().map_or(0.0, |best| best.backlog_ms),
            first_piece_ms: best.as_ref().map_or(0.0, |best| best.first_event_ms),
            endpoint: best.map(|best| best.endpoint),
        }
    }
}
