//! Decides which request is sent next, to which endpoint, and which is refused.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use super::allowed_endpoints::AllowedEndpoints;
use crate::account_shares::Lead;
use crate::arrival::Arrival;
use crate::arrival::RequestId;
use crate::config::EngineSpec;
use crate::endpoint_load::Load;
use crate::endpoint_table::Endpoint;
use crate::hashing::pair_hash;
use crate::prompt::Prompt;
use crate::retry_delay::RefusedRequest;
use crate::verdict::Decision;
use crate::verdict::RefusalReason;

/// Limits on queueing and on the backlogs of engines.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Backlog up to which an engine gets more requests, as a fraction of the shortest latency target of its routes.
    pub backlog_ratio: f64,
    /// The same for accounts over their share, and for requests that are late in any case. They get the capacity that
    /// engines have left. With a higher limit they take so much reading time that the first events of others are late.
    pub low_backlog_ratio: f64,
    /// Fraction of an engine's slots in use up to which it counts as idle. Only idle engines take requests of accounts
    /// that are far ahead of a backlogged one. Without this exception such accounts are refused under light load too.
    pub idle_slots_ratio: f64,
    /// Fraction of the latency target that a request may wait for an endpoint.
    pub queue_time_ratio: f64,
    /// Fraction of the latency target. A request whose first event is expected later counts as late. The rest covers the
    /// way to the caller and the error of the estimate.
    pub target_ratio: f64,
    /// Fraction of an engine's memory that requests in progress may take. An engine without memory suspends a running
    /// request and reads its prompt again later. The rest covers answers longer than expected.
    pub memory_ratio: f64,
    /// Maximum number of requests on a plain endpoint, as a multiple of its slots. With 2, a request waits there for at
    /// most one other on average.
    pub plain_requests_per_slot: f64,
    /// Time added to an endpoint in another data centre when endpoints are compared: the way there and back at a
    /// millisecond each, doubled because traffic between data centres is paid for.
    pub remote_cost: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            backlog_ratio: 0.4,
            low_backlog_ratio: 0.01,
            idle_slots_ratio: 0.1,
            queue_time_ratio: 0.3,
            target_ratio: 0.9,
            memory_ratio: 0.9,
            plain_requests_per_slot: 2.0,
            remote_cost: Duration::from_millis(4),
        }
    }
}

/// Cost in the comparison of an endpoint with a failure share of 1. It is several latency targets, so that any endpoint
/// that answers is preferred to one that never does.
const FAILURE_COST_MS: f64 = 400.0;
/// Cost in the comparison of each shared token that an endpoint has not cached, in addition to its reading time: it
/// displaces other shared parts from the cache, which are then read again.
const REREAD_TOKEN_COST_MS: f64 = 0.1;
/// Cost in the comparison of the second home of a prompt, a third of the time in which a usual shared part is read. Below
/// this difference in time, all requests about a subject go to its first home, which alone caches the shared part.
const SECOND_HOME_COST_MS: f64 = 30.0;
/// Fraction of its slots in use up to which the second home takes a prompt with a long shared part. Each home has to read
/// the shared part; without a second home more requests are refused under light load.
const SECOND_HOME_RATIO: f64 = 0.25;
/// Fraction of the shared tokens that counts as memory of one request: several requests hold them together.
const SHARED_MEMORY_RATIO: f64 = 0.3;
/// Fraction of the maximum answer length that counts as memory: answers end early, and grow while they run.
const ANSWER_MEMORY_RATIO: f64 = 0.5;
/// Time for which accounts over their share are refused without another comparison, after one has shown that engines have
/// no capacity left for them. In a flood, comparing a hundred engines for each request uses up the processor of a small
/// host, and all requests wait.
const NO_ROOM_DURATION: Duration = Duration::from_millis(10);
/// Retry delay for a request that is suspected of crashing endpoints. By then the endpoint that runs it has answered or is
/// known to be down.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// Retry delay when no endpoint can be reached: the time of detection plus restart. Refusals because the host is busy
/// or the request is out of time use the same delay, although this reason does not apply to them.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(400);

/// An endpoint that could take a request.
struct Candidate<'a> {
    endpoint: &'a Arc<Endpoint>,
    load: Load,
    cost_ms: f64,
    backlog_ms: f64,
    first_event_ms: f64,
    /// Requests in progress, as a fraction of the slots.
    busy_ratio: f64,
}

impl From<Candidate<'_>> for BestEndpoint {
    fn from(best: Candidate<'_>) -> Self {
        Self {
            endpoint: best.endpoint.clone(),
            backlog_ms: best.backlog_ms,
            first_event_ms: best.first_event_ms,
        }
    }
}

/// Next step of a request.
enum Admission {
    Send(Arc<Endpoint>, Load),
    Wait,
    Refuse(RefusalReason, Option<BestEndpoint>),
}

/// The best endpoint when a decision was made, for the log and the retry delay.
pub(super) struct BestEndpoint {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) backlog_ms: f64,
    pub(super) first_event_ms: f64,
}

impl Dispatcher {
    /// Sends, keeps or refuses each queued request, accounts with the smallest share used first.
    pub(super) fn serve_queue(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let mut order: Vec<_> = queue
            .drain(..)
            .filter_map(|id| Some((self.queue_rank(id)?, id)))
            .collect();
        order.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        for (_, id) in order {
            self.try_place(now, id, decisions);
        }
    }

    /// Sends, queues or refuses a request.
    pub(super) fn try_place(
        &mut self,
        now: Duration,
        id: RequestId,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let is_queued = match self.decide(now, pending) {
            Admission::Send(endpoint, load) => !self.start(now, id, endpoint, load, decisions),
            Admission::Wait => true,
            Admission::Refuse(reason, best) => {
                // A refusal without a comparison of endpoints gives no new information.
                if reason == RefusalReason::OverShare && best.is_some() {
                    self.no_room_until = now + NO_ROOM_DURATION;
                }
                self.end_unsent(now, id, reason, best, decisions);
                false
            }
        };
        if is_queued {
            self.queue.push(id);
        }
    }

    /// Ends a request that waits for an endpoint. It may have run in an earlier attempt.
    fn end_unsent(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: RefusalReason,
        best: Option<BestEndpoint>,
        decisions: &mut Vec<Decision>,
    ) {
        let may_have_run = self.requests.get(&id).is_some_and(|p| p.may_have_run);
        if may_have_run {
            self.give_up(now, id, decisions);
        } else {
            self.refuse(now, id, reason, best, decisions);
        }
    }

    fn queue_rank(&self, id: RequestId) -> Option<f64> {
        let arrival = &self.requests.get(&id)?.arrival;
        Some(self.share_used(arrival))
    }

    pub(super) fn share_used(&self, arrival: &Arrival) -> f64 {
        let account = arrival.account;
        account.map_or(0.0, |account| self.shares.share_used(account))
    }

    fn decide(&self, now: Duration, pending: &Pending) -> Admission {
        let arrival = &pending.arrival;
        if now >= arrival.deadline {
            return Admission::Refuse(RefusalReason::OutOfTime, None);
        }
        let is_over_share = self.share_used(arrival) > 1.0;
        let is_first_send = arrival.prompt.is_some() && pending.sends == 0;
        if is_over_share && is_first_send && self.has_no_room(now) {
            return Admission::Refuse(RefusalReason::OverShare, None);
        }
        let max_wait = arrival
            .route
            .latency_target
            .mul_f64(self.settings.admission.queue_time_ratio);
        let waits_until = arrival.received_at + max_wait;
        let has_waited_long = now >= waits_until;
        let Some(best) = self.best_candidate(now, pending) else {
            let closed_until = self.closed_until(now, &arrival.service);
            let is_closed_too_long = closed_until.is_some_and(|until| until > waits_until);
            return match has_waited_long || is_closed_too_long {
                true => Admission::Refuse(RefusalReason::NoEndpoint, None),
                false => Admission::Wait,
            };
        };
        if self.is_admitted(now, pending, &best) {
            return Admission::Send(best.endpoint.clone(), best.load);
        }
        let reason = match is_over_share {
            // Waiting would not help, since accounts with a smaller share used go first.
            true => RefusalReason::OverShare,
            false if has_waited_long => RefusalReason::Overload,
            false => return Admission::Wait,
        };
        Admission::Refuse(reason, Some(best.into()))
    }

    fn is_admitted(&self, now: Duration, pending: &Pending, best: &Candidate<'_>) -> bool {
        let arrival = &pending.arrival;
        let settings = &self.settings.admission;
        if arrival.prompt.is_none() {
            return true;
        }
        if pending.may_have_run {
            // The request was started before: its caller waits for the rest, and engines have done work for it.
            return true;
        }
        if self.has_idle_engines(arrival) {
            let limit_ms = self.target_ms(arrival) * settings.backlog_ratio;
            return best.backlog_ms <= limit_ms;
        }
        let lead = arrival.account.map(|account| self.shares.lead(account));
        match lead.unwrap_or(Lead::Small) {
            Lead::TooLarge => return false,
            Lead::Large if best.busy_ratio > settings.idle_slots_ratio => return false,
            Lead::Large | Lead::Small => {}
        }
        best.backlog_ms <= self.allowed_backlog_ms(now, arrival, best.first_event_ms)
    }

    /// Returns whether the engines have so little to read that no account keeps another one waiting. Accounts then need not
    /// be compared: the stated throughput, by which shares are counted, may be a small part of what the engines can do.
    fn has_idle_engines(&self, arrival: &Arrival) -> bool {
        let settings = &self.settings.admission;
        let tokens_per_ms = self.speeds.expected_tokens_per_ms() * self.engine_count() as f64;
        let mean_backlog_ms = self.loads.unread_tokens() as f64 / tokens_per_ms.max(1.0);
        mean_backlog_ms <= self.target_ms(arrival) * settings.low_backlog_ratio
    }

    /// Returns the shortest latency target of the routes to the request's service, in milliseconds.
    fn target_ms(&self, arrival: &Arrival) -> f64 {
        let target = self.shortest_target.get(&arrival.service);
        let target = target.copied().unwrap_or(arrival.route.latency_target);
        target.as_secs_f64() * 1_000.0
    }

    /// Returns the backlog up to which an engine gets this request. Callers that retry after a refusal are treated like
    /// others: the time budgets of one route differ by more than the time that a refused caller has used, so the time left
    /// does not tell which caller has tried before.
    fn allowed_backlog_ms(&self, now: Duration, arrival: &Arrival, first_event_ms: f64) -> f64 {
        let settings = &self.settings.admission;
        let time_left = arrival.first_piece_deadline().saturating_sub(now);
        let usable_ms = time_left.as_secs_f64() * 1_000.0 * settings.target_ratio;
        let is_in_time = first_event_ms <= usable_ms;
        let ratio = match is_in_time && self.share_used(arrival) <= 1.0 {
            true => settings.backlog_ratio,
            false => settings.low_backlog_ratio,
        };
        self.target_ms(arrival) * ratio
    }

    /// Returns the best endpoint with free capacity among those allowed for the request.
    fn best_candidate(&self, now: Duration, pending: &Pending) -> Option<Candidate<'_>> {
        let allowed = self.allowed_endpoints(now, pending);
        let best = self.best_of(now, pending, &allowed);
        match allowed {
            AllowedEndpoints::Preferred { .. } if best.is_none() => {
                self.best_of(now, pending, &AllowedEndpoints::Any)
            }
            _ => best,
        }
    }

    fn best_of(
        &self,
        now: Duration,
        pending: &Pending,
        allowed: &AllowedEndpoints,
    ) -> Option<Candidate<'_>> {
        let service = &pending.arrival.service;
        let Some(keys) = allowed.keys() else {
            let usable = self.endpoints.usable(service).iter();
            return self.best_among(now, pending, allowed, usable);
        };
        let listed = keys
            .into_iter()
            .filter_map(|key| self.endpoints.get_by_key(key));
        let usable = listed.filter(|it| it.service == *service && !it.is_leaving);
        self.best_among(now, pending, allowed, usable)
    }

    /// Returns the best of some endpoints of the request's service.
    fn best_among<'a>(
        &'a self,
        now: Duration,
        pending: &Pending,
        allowed: &AllowedEndpoints,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Option<Candidate<'a>> {
        let arrival = &pending.arrival;
        let spec = self.services.get(&arrival.service);
        let engine = spec.and_then(|spec| spec.engine);
        let prompt = arrival.prompt.as_ref();
        let untried = endpoints.filter(|endpoint| {
            self.records.is_up(now, endpoint.key)
                && self.is_open(now, endpoint)
                && !pending.tried_endpoints.contains(&endpoint.key)
        });
        let candidates = untried.filter_map(|endpoint| match (prompt, engine) {
            (Some(prompt), Some(engine)) => {
                let home = allowed.home_rank(endpoint.key);
                let candidate =
                    self.engine_candidate(now, endpoint, engine, prompt, home.is_some())?;
                let is_second = matches!(allowed, AllowedEndpoints::Homes(_)) && home == Some(1);
                if is_second && candidate.busy_ratio > SECOND_HOME_RATIO {
                    return None;
                }
                let home_cost_ms = f64::from(u8::from(is_second)) * SECOND_HOME_COST_MS;
                Some(Candidate {
                    cost_ms: candidate.cost_ms + home_cost_ms,
                    ..candidate
                })
            }
            _ => self.plain_candidate(now, endpoint),
        });
        candidates.min_by(|one, other| {
            let by_cost = one.cost_ms.total_cmp(&other.cost_ms);
            by_cost.then_with(|| self.own_rank(one).cmp(&self.own_rank(other)))
        })
    }

    /// Returns this host's rank of an endpoint among others of the same cost. If all hosts preferred the first of equal
    /// endpoints, they would send to the same one, since they see each other's work late.
    fn own_rank(&self, candidate: &Candidate<'_>) -> u64 {
        pair_hash(self.settings.host, candidate.endpoint.key)
    }

    fn engine_candidate<'a>(
        &self,
        now: Duration,
        endpoint: &'a Arc<Endpoint>,
        engine: EngineSpec,
        prompt: &Prompt,
        is_home: bool,
    ) -> Option<Candidate<'a>> {
        let settings = &self.settings.admission;
        let key = endpoint.key;
        let total = self.loads.total(key);
        let unread = self.cached.unread_tokens(now, key, prompt, is_home);
        let own_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
        let unread_shared = unread.saturating_sub(own_tokens);
        let shared = f64::from(prompt.shared_tokens());
        let own = f64::from(prompt.prompt_tokens) - shared;
        let answer = f64::from(prompt.max_output_tokens) * ANSWER_MEMORY_RATIO;
        let load = Load {
            unread_tokens: unread,
            requests: 1,
            memory_tokens: (own + shared * SHARED_MEMORY_RATIO + answer) as u32,
        };
        let memory = f64::from(total.memory_tokens) + f64::from(load.memory_tokens);
        let has_memory = memory <= engine.memory_tokens as f64 * settings.memory_ratio;
        let has_slot = total.requests < endpoint.slots.min(engine.slots);
        // An idle engine takes any request, even one larger than the memory estimate allows.
        if total.requests > 0 && !(has_memory && has_slot) {
            return None;
        }
        let backlog = f64::from(total.unread_tokens);
        let first_event_ms = self.speeds.first_event_ms(key, backlog + f64::from(unread));
        Some(Candidate {
            endpoint,
            load,
            cost_ms: first_event_ms
                + f64::from(unread_shared) * REREAD_TOKEN_COST_MS
                + self.extra_cost_ms(now, endpoint),
            backlog_ms: backlog / self.speeds.tokens_per_ms(key),
            first_event_ms,
            busy_ratio: f64::from(total.requests) / f64::from(endpoint.slots.max(1)),
        })
    }

    fn plain_candidate<'a>(
        &self,
        now: Duration,
        endpoint: &'a Arc<Endpoint>,
    ) -> Option<Candidate<'a>> {
        let key = endpoint.key;
        let total = self.loads.total(key);
        let slots = f64::from(endpoint.slots.max(1));
        let depth = (f64::from(total.requests) + 1.0) / slots;
        if total.requests > 0 && depth > self.settings.admission.plain_requests_per_slot {
            return None;
        }
        let answer_ms = self.records.mean_answer_ms(key) * depth.max(1.0 / slots);
        let load = Load {
            requests: 1,
            ..Load::default()
        };
        Some(Candidate {
            endpoint,
            load,
            cost_ms: answer_ms + self.extra_cost_ms(now, endpoint),
            backlog_ms: 0.0,
            first_event_ms: answer_ms,
            busy_ratio: depth,
        })
    }

    fn extra_cost_ms(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let is_near = endpoint.data_centre == self.settings.data_centre;
        let remote_cost_ms = match is_near {
            true => 0.0,
            false => self.settings.admission.remote_cost.as_secs_f64() * 1_000.0,
        };
        remote_cost_ms + self.records.failure_share(now, endpoint.key) * FAILURE_COST_MS
    }

    /// Returns the retry delay of a request that is refused now.
    pub(super) fn retry_after(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        reason: RefusalReason,
        best: Option<&BestEndpoint>,
    ) -> Duration {
        let wait = match reason {
            RefusalReason::OverShare | RefusalReason::Overload => {
                let refused = self.refused_request(now, arrival, best);
                self.retry_delays.after_refusal(refused)
            }
            RefusalReason::Quarantined => QUARANTINE_RETRY_DELAY,
            RefusalReason::NoEndpoint | RefusalReason::TurnedAway => {
                let closed_until = self.closed_until(now, &arrival.service);
                closed_until.map_or(OUTAGE_RETRY_DELAY, |until| {
                    self.retry_delays.while_closed(until.saturating_sub(now))
                })
            }
            RefusalReason::OutOfTime | RefusalReason::HostBusy => OUTAGE_RETRY_DELAY,
        };
        // A delay beyond the caller's deadline is of no use.
        wait.min(arrival.deadline.saturating_sub(now))
    }

    fn refused_request(
        &self,
        now: Duration,
        arrival: &Arrival,
        best: Option<&BestEndpoint>,
    ) -> RefusedRequest {
        let (backlog_ms, first_event_ms) =
            best.map_or((0.0, 0.0), |best| (best.backlog_ms, best.first_event_ms));
        let allowed_ms = self.allowed_backlog_ms(now, arrival, first_event_ms);
        let backlog_wait_ms = (backlog_ms - allowed_ms).max(0.0);
        let first_piece_ms = (first_event_ms - backlog_ms).max(0.0);
        RefusedRequest {
            latency_target: arrival.route.latency_target,
            waited: now.saturating_sub(arrival.received_at),
            backlog_wait: Duration::from_secs_f64(backlog_wait_ms / 1_000.0),
            first_piece_delay: Duration::from_secs_f64(first_piece_ms / 1_000.0),
        }
    }
}
