//! Which queued request is sent next, where to, and which is refused.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use super::places::Places;
use crate::account_shares::Lead;
use crate::arrival::Arrival;
use crate::arrival::RequestId;
use crate::config::EngineSpec;
use crate::endpoint_load::Load;
use crate::endpoint_table::Endpoint;
use crate::prompt::Prompt;
use crate::retry_delay::RefusedRequest;
use crate::verdict::Decision;
use crate::verdict::RefusalReason;

/// Bounds of queueing and of engines' backlogs.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Backlog of an engine, as a part of the shortest latency target of its routes, up to which it
    /// is given more to read.
    pub backlog_ratio: f64,
    /// The same for accounts that have had their share, and for requests that are late anyway. They
    /// get what engines have left: with more they take so much reading time that the others' first
    /// events come late.
    pub low_backlog_ratio: f64,
    /// Part of an engine's slots up to which it counts as idle. Only idle engines take requests of
    /// accounts that are far ahead of a backlogged one. Without it such accounts are refused on calm days too.
    pub idle_slots_ratio: f64,
    /// Part of the latency target that a request may wait for an endpoint.
    pub queue_time_ratio: f64,
    /// Part of the latency target by which the first event is expected, or the request counts as
    /// late. The rest is for the way to the caller and the error of the estimate.
    pub target_ratio: f64,
    /// Part of an engine's memory that requests in progress may take. Beyond it the engine puts a
    /// running request back and reads it again; the rest covers answers longer than expected.
    pub memory_ratio: f64,
    /// Requests on a plain endpoint, as a multiple of its slots. With two, a request waits there for
    /// one other at most on the average.
    pub plain_requests_per_slot: f64,
    /// Time that a request to another data centre costs in the comparison of endpoints: the way
    /// there and back at a millisecond each, twice, since bytes between data centres are paid for.
    pub distance: Duration,
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
            distance: Duration::from_millis(4),
        }
    }
}

/// Time that a failing endpoint costs in the comparison, at a failure share of 1: several latency
/// targets, so that any endpoint that answers goes before one that never does.
const FAILURE_COST_MS: f64 = 400.0;
/// Cost in the comparison of a shared token that an endpoint has not cached, besides its reading
/// time: it takes memory from other shared parts, which are read again in turn.
const REREAD_COST_MS: f64 = 0.1;
/// Cost in the comparison of each further home of a prompt, a third of the time that reading a usual
/// shared part takes: below this difference in time all
/// requests about a subject meet at its first home, which alone then caches the shared part.
const NEXT_HOME_COST_MS: f64 = 30.0;
/// Part of its slots up to which the second home takes such a prompt. Each home reads the shared part; without a
/// second one more requests of a calm day are refused.
const SECOND_HOME_PART: f64 = 0.25;
/// Part of the shared tokens that counts as memory of its own: several requests hold them together.
const SHARED_MEMORY_PART: f64 = 0.3;
/// Part of the largest answer that counts as memory: answers end early, and grow while they run.
const ANSWER_MEMORY_PART: f64 = 0.5;
/// Time for which accounts over their share are refused without another comparison, once it has
/// shown that engines have no room left over. In a flood the comparison of a hundred engines for each
/// request uses up a small host's processor, and then everybody waits.
const NO_ROOM_TIME: Duration = Duration::from_millis(10);
/// When the caller of a request that is suspected of crashing endpoints should come back: by then the
/// endpoint that runs it has answered or is known to be down.
const QUARANTINE_RETRY: Duration = Duration::from_millis(2_000);
/// When a caller should come back where no endpoint could be reached: detection plus restart.
const OUTAGE_RETRY: Duration = Duration::from_millis(400);
/// An endpoint that could take a request.
struct Candidate<'a> {
    endpoint: &'a Arc<Endpoint>,
    load: Load,
    cost_ms: f64,
    backlog_ms: f64,
    first_event_ms: f64,
    /// Requests in progress as a part of the slots.
    busy_part: f64,
}

impl From<Candidate<'_>> for Compared {
    fn from(best: Candidate<'_>) -> Self {
        Self {
            endpoint: best.endpoint.clone(),
            backlog_ms: best.backlog_ms,
            first_event_ms: best.first_event_ms,
        }
    }
}

/// What becomes of a queued request at this moment.
enum Placing {
    Send(Arc<Endpoint>, Load),
    Wait,
    Refuse(RefusalReason, Option<Compared>),
}

/// The best endpoint at the moment of a decision, for the log.
pub(super) struct Compared {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) backlog_ms: f64,
    pub(super) first_event_ms: f64,
}

impl Dispatcher {
    /// Sends, keeps or refuses each queued request; accounts that had least go first.
    pub(super) fn serve_queue(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        if self.queue.is_empty() {
            return;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let mut order: Vec<_> = queue
            .drain(..)
            .filter_map(|id| Some((self.rank(id)?, id)))
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
        let is_kept = match self.place(now, pending) {
            Placing::Send(endpoint, load) => !self.start(now, id, endpoint, load, decisions),
            Placing::Wait => true,
            Placing::Refuse(reason, best) => {
                // A refusal without a comparison shows nothing new.
                if reason == RefusalReason::OverShare && best.is_some() {
                    self.no_room_until = now + NO_ROOM_TIME;
                }
                self.end_unsent(now, id, reason, best, decisions);
                false
            }
        };
        if is_kept {
            self.queue.push(id);
        }
    }

    /// Ends a request that waits for an endpoint, whether or not it was tried before.
    fn end_unsent(
        &mut self,
        now: Duration,
        id: RequestId,
        reason: RefusalReason,
        best: Option<Compared>,
        decisions: &mut Vec<Decision>,
    ) {
        let was_tried = self.requests.get(&id).is_some_and(|p| p.may_have_run);
        if was_tried {
            self.give_up(now, id, decisions);
        } else {
            self.refuse(now, id, reason, best, decisions);
        }
    }

    fn rank(&self, id: RequestId) -> Option<f64> {
        let arrival = &self.requests.get(&id)?.arrival;
        Some(self.share_used(arrival))
    }

    pub(super) fn share_used(&self, arrival: &Arrival) -> f64 {
        let account = arrival.account;
        account.map_or(0.0, |account| self.shares.share_used(account))
    }

    fn place(&self, now: Duration, pending: &Pending) -> Placing {
        let arrival = &pending.arrival;
        if now >= arrival.deadline {
            return Placing::Refuse(RefusalReason::OutOfTime, None);
        }
        let is_over_share = self.share_used(arrival) > 1.0;
        let is_fresh = arrival.prompt.is_some() && pending.sends == 0;
        if is_over_share && is_fresh && self.has_no_room(now) {
            return Placing::Refuse(RefusalReason::OverShare, None);
        }
        let hold = arrival
            .route
            .latency_target
            .mul_f64(self.settings.admission.queue_time_ratio);
        let held_until = arrival.received_at + hold;
        let is_held_long = now >= held_until;
        let Some(best) = self.best_candidate(now, pending) else {
            let closed_until = self.closed_until(now, &arrival.service);
            let waits_in_vain = closed_until.is_some_and(|until| until > held_until);
            return match is_held_long || waits_in_vain {
                true => Placing::Refuse(RefusalReason::NoEndpoint, None),
                false => Placing::Wait,
            };
        };
        if self.is_admitted(now, pending, &best) {
            return Placing::Send(best.endpoint.clone(), best.load);
        }
        let reason = match is_over_share {
            // Waiting would not help: those that have had less go first.
            true => RefusalReason::OverShare,
            false if is_held_long => RefusalReason::Overload,
            false => return Placing::Wait,
        };
        Placing::Refuse(reason, Some(best.into()))
    }

    fn is_admitted(&self, now: Duration, pending: &Pending, best: &Candidate<'_>) -> bool {
        let arrival = &pending.arrival;
        let settings = &self.settings.admission;
        if arrival.prompt.is_none() {
            return true;
        }
        if pending.may_have_run {
            // It has been begun: its caller waits for the rest, and the engine's work is spent.
            return true;
        }
        let lead = arrival.account.map(|account| self.shares.lead(account));
        match lead.unwrap_or(Lead::Small) {
            Lead::TooLarge => return false,
            Lead::Large if best.busy_part > settings.idle_slots_ratio => return false,
            Lead::Large | Lead::Small => {}
        }
        best.backlog_ms <= self.allowed_backlog_ms(now, arrival, best.first_event_ms)
    }

    /// Returns the backlog up to which an engine is given this request. Callers that come back after
    /// a refusal count like others: time budgets of one route differ by more than what a refused
    /// caller has used up, so that the time left does not tell who has tried before.
    fn allowed_backlog_ms(&self, now: Duration, arrival: &Arrival, first_event_ms: f64) -> f64 {
        let settings = &self.settings.admission;
        let left = arrival.first_piece_deadline().saturating_sub(now);
        let left_ms = left.as_secs_f64() * 1_000.0 * settings.target_ratio;
        let is_in_time = first_event_ms <= left_ms;
        let part = match is_in_time && self.share_used(arrival) <= 1.0 {
            true => settings.backlog_ratio,
            false => settings.low_backlog_ratio,
        };
        let target = self.shortest_target.get(&arrival.service);
        let target = target.copied().unwrap_or(arrival.route.latency_target);
        target.as_secs_f64() * 1_000.0 * part
    }

    /// Returns the best endpoint that has room, among those where the request should go.
    fn best_candidate(&self, now: Duration, pending: &Pending) -> Option<Candidate<'_>> {
        let places = self.places(now, pending);
        let best = self.best_of(now, pending, &places);
        match places {
            Places::Preferred { .. } if best.is_none() => {
                self.best_of(now, pending, &Places::Anywhere)
            }
            _ => best,
        }
    }

    fn best_of(&self, now: Duration, pending: &Pending, places: &Places) -> Option<Candidate<'_>> {
        let arrival = &pending.arrival;
        let usable = self.endpoints.usable(&arrival.service);
        let spec = self.services.get(&arrival.service);
        let engine = spec.and_then(|spec| spec.engine);
        let prompt = arrival.prompt.as_ref();
        let untried = usable.iter().filter(|endpoint| {
            places.allow(endpoint.key)
                && self.records.is_up(now, endpoint.key)
                && self.is_open(now, endpoint)
                && !pending.tried.contains(&endpoint.key)
        });
        let candidates = untried.filter_map(|endpoint| match (prompt, engine) {
            (Some(prompt), Some(engine)) => {
                let home = places.home_rank(endpoint.key);
                let candidate =
                    self.engine_candidate(now, endpoint, engine, prompt, home.is_some())?;
                let is_second = matches!(places, Places::Homes(_)) && home == Some(1);
                if is_second && candidate.busy_part > SECOND_HOME_PART {
                    return None;
                }
                let further_ms = f64::from(u8::from(is_second)) * NEXT_HOME_COST_MS;
                Some(Candidate {
                    cost_ms: candidate.cost_ms + further_ms,
                    ..candidate
                })
            }
            _ => self.plain_candidate(now, endpoint),
        });
        candidates.min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms))
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
        let own_part = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
        let unread_shared = unread.saturating_sub(own_part);
        let shared = f64::from(prompt.shared_tokens());
        let own = f64::from(prompt.prompt_tokens) - shared;
        let answer = f64::from(prompt.max_output_tokens) * ANSWER_MEMORY_PART;
        let load = Load {
            unread_tokens: unread,
            requests: 1,
            memory_tokens: (own + shared * SHARED_MEMORY_PART + answer) as u32,
        };
        let memory = f64::from(total.memory_tokens) + f64::from(load.memory_tokens);
        let has_memory = memory <= engine.memory_tokens as f64 * settings.memory_ratio;
        let has_slot = total.requests < endpoint.slots.min(engine.slots);
        // An idle engine takes any request: it may be larger than the estimate allows.
        if total.requests > 0 && !(has_memory && has_slot) {
            return None;
        }
        let backlog = f64::from(total.unread_tokens);
        let first_event_ms = self.speeds.first_event_ms(key, backlog + f64::from(unread));
        Some(Candidate {
            endpoint,
            load,
            cost_ms: first_event_ms
                + f64::from(unread_shared) * REREAD_COST_MS
                + self.extra_cost_ms(now, endpoint),
            backlog_ms: backlog / self.speeds.tokens_per_ms(key),
            first_event_ms,
            busy_part: f64::from(total.requests) / f64::from(endpoint.slots.max(1)),
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
        let answer_ms = self.records.answer_ms(key) * depth.max(1.0 / slots);
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
            busy_part: depth,
        })
    }

    fn extra_cost_ms(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let is_near = endpoint.data_centre == self.settings.data_centre;
        let distance = match is_near {
            true => 0.0,
            false => self.settings.admission.distance.as_secs_f64() * 1_000.0,
        };
        distance + self.records.failure_share(now, endpoint.key) * FAILURE_COST_MS
    }

    /// Returns when the caller of a request that is refused now should come back.
    pub(super) fn retry_after(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        reason: RefusalReason,
        best: Option<&Compared>,
    ) -> Duration {
        let wait = match reason {
            RefusalReason::OverShare | RefusalReason::Overload => {
                let outlook = self.outlook(now, arrival, best);
                self.returns.after_refusal(outlook)
            }
            RefusalReason::Quarantined => QUARANTINE_RETRY,
            RefusalReason::NoEndpoint | RefusalReason::TurnedAway => {
                let closed_until = self.closed_until(now, &arrival.service);
                closed_until.map_or(OUTAGE_RETRY, |until| {
                    self.returns.while_closed(until.saturating_sub(now))
                })
            }
            RefusalReason::OutOfTime | RefusalReason::HostBusy => OUTAGE_RETRY,
        };
        // Beyond the caller's own time an answer says nothing.
        wait.min(arrival.deadline.saturating_sub(now))
    }

    fn outlook(&self, now: Duration, arrival: &Arrival, best: Option<&Compared>) -> RefusedRequest {
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
