//! Compares the endpoints to which a request may go.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use super::allowed_endpoints::AllowedEndpoints;
use crate::config::EngineSpec;
use crate::endpoint_load::Load;
use crate::endpoint_table::Endpoint;
use crate::hashing::pair_hash;
use crate::prompt::Prompt;

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

/// An endpoint that could take a request.
pub(super) struct Candidate<'a> {
    pub(super) endpoint: &'a Arc<Endpoint>,
    pub(super) load: Load,
    pub(super) cost_ms: f64,
    pub(super) backlog_ms: f64,
    pub(super) first_event_ms: f64,
    /// Requests in progress, as a fraction of the slots.
    pub(super) busy_ratio: f64,
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

/// The best endpoint when a decision was made, for the log and the retry delay.
pub(super) struct BestEndpoint {
    pub(super) endpoint: Arc<Endpoint>,
    pub(super) backlog_ms: f64,
    pub(super) first_event_ms: f64,
}

impl Dispatcher {
    /// Returns the best endpoint with free capacity among those allowed for the request.
    pub(super) fn best_candidate(&self, now: Duration, pending: &Pending) -> Option<Candidate<'_>> {
        if let Some(origin) = pending.arrival.origin {
            let drawn = self.drawn_with_origin(&pending.arrival, origin);
            return self.best_among(now, pending, &AllowedEndpoints::Any, drawn);
        }
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
        let (Some(prompt), Some(engine)) = (prompt, engine) else {
            return self.best_plain(now, pending, untried);
        };
        let candidates = untried.filter_map(|endpoint| {
            let home = allowed.home_rank(endpoint.key);
            let candidate = self.engine_candidate(now, endpoint, engine, prompt, home.is_some())?;
            let is_second = matches!(allowed, AllowedEndpoints::Homes(_)) && home == Some(1);
            if is_second && candidate.busy_ratio > SECOND_HOME_RATIO {
                return None;
            }
            let home_cost_ms = f64::from(u8::from(is_second)) * SECOND_HOME_COST_MS;
            Some(Candidate {
                cost_ms: candidate.cost_ms + home_cost_ms,
                ..candidate
            })
        });
        candidates.min_by(|one, other| {
            let by_cost = one.cost_ms.total_cmp(&other.cost_ms);
            by_cost.then_with(|| self.own_rank(one).cmp(&self.own_rank(other)))
        })
    }

    /// Returns this host's rank of an endpoint among others of the same cost. If all hosts preferred the first of equal
    /// endpoints, they would send to the same one, since they see each other's work late.
    pub(super) fn own_rank(&self, candidate: &Candidate<'_>) -> u64 {
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

    pub(super) fn extra_cost_ms(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let is_near = endpoint.data_centre == self.settings.data_centre;
        let remote_cost_ms = match is_near {
            true => 0.0,
            false => self.settings.admission.remote_cost.as_secs_f64() * 1_000.0,
        };
        remote_cost_ms + self.records.failure_share(now, endpoint.key) * FAILURE_COST_MS
    }
}
