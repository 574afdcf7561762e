//! Chooses endpoints for the requests of plain services, and holds back those that would be answered late.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use super::admission::Admission;
use super::candidates::BestEndpoint;
use super::candidates::Candidate;
use crate::arrival::Arrival;
use crate::endpoint_load::Load;
use crate::endpoint_table::Endpoint;
use crate::hashing::pair_hash;
use crate::plain_choice::PlainOption;
use crate::plain_choice::draw_option;
use crate::plain_pressure::endpoint_limit;
use crate::verdict::RefusalReason;

/// Time that reports of other hosts take in a fleet with relays.
const REPORT_DELAY_MS: f64 = 200.0;
/// Fraction of the latency target that a request may wait for an endpoint with room. A caller that is refused within it
/// can retry at another host and still be answered in time.
const QUEUE_TIME_RATIO: f64 = 0.12;
/// Factor by which the load that an endpoint states may differ from what hosts report.
const STATED_FACTOR: f64 = 2.0;
/// Salt that makes the admission of a request independent of the choice of its endpoint.
const ADMISSION_SALT: u64 = 0x5f06;
/// Fraction of an endpoint's slots in use up to which it takes any request.
const LOW_USE_RATIO: f64 = 0.5;
/// Requests up to which an endpoint counts as able to answer in time, as a multiple of its slots, if its answers take
/// nearly as long as the latency target: each request then waits for at most one other on average.
const MIN_LIMIT_PER_SLOT: f64 = 2.0;

impl Dispatcher {
    /// Counts a plain request, and updates the part of its service's requests that is admitted.
    pub(super) fn on_plain_arrival(&mut self, now: Duration, arrival: &Arrival) {
        let service = &arrival.service;
        let account = arrival.account.unwrap_or_default();
        self.pressure.on_arrived(service, account);
        if self.pressure.is_observation_due(now, service) {
            let fill_ratio = self.fill_ratio(now, arrival);
            self.pressure.observe(now, service, fill_ratio);
        }
    }

    /// Returns the endpoint to which a plain request is sent, if one can answer it in time.
    pub(super) fn best_plain<'a>(
        &'a self,
        now: Duration,
        pending: &Pending,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Option<Candidate<'a>> {
        let target_ms = self.target_ms(&pending.arrival);
        let candidates = endpoints.map(|endpoint| self.plain_candidate(now, endpoint));
        let mut candidates: Vec<_> = candidates
            .filter(|candidate| self.is_in_time(candidate, target_ms))
            .collect();
        let options: Vec<_> = candidates
            .iter()
            .map(|candidate| PlainOption {
                cost_ms: candidate.cost_ms,
                cost_per_request_ms: self.ms_per_request(candidate.endpoint),
            })
            .collect();
        let unseen = candidates
            .iter()
            .map(|candidate| self.unseen_requests(candidate.endpoint));
        let draw = self.draw(pending, u64::from(pending.sends));
        if let Some(drawn) = draw_option(&options, unseen.sum(), draw) {
            return Some(candidates.swap_remove(drawn));
        }
        candidates.into_iter().min_by(|one, other| {
            let by_cost = one.cost_ms.total_cmp(&other.cost_ms);
            by_cost.then_with(|| self.own_rank(one).cmp(&self.own_rank(other)))
        })
    }

    fn plain_candidate<'a>(&self, now: Duration, endpoint: &'a Arc<Endpoint>) -> Candidate<'a> {
        let requests = self.requests_at(now, endpoint);
        let work_ms =
            self.records.work_ms(endpoint.key) * self.reported.slowdown(now, endpoint.key);
        let busy_ratio = (requests + 1.0) / f64::from(endpoint.slots.max(1));
        Candidate {
            endpoint,
            load: Load {
                requests: 1,
                ..Load::default()
            },
            cost_ms: work_ms * busy_ratio + self.extra_cost_ms(now, endpoint),
            backlog_ms: 0.0,
            first_event_ms: work_ms,
            busy_ratio,
        }
    }

    /// Tells whether the endpoint would answer in time after all the work that is known.
    fn is_in_time(&self, candidate: &Candidate<'_>, target_ms: f64) -> bool {
        let work_ms = self.records.work_ms(candidate.endpoint.key);
        let in_time = target_ms / work_ms.max(1.0);
        let is_idle = self.loads.total(candidate.endpoint.key).requests == 0;
        is_idle || candidate.busy_ratio <= in_time.max(MIN_LIMIT_PER_SLOT)
    }

    /// Tells whether a plain request may be sent to its best endpoint.
    pub(super) fn admits_plain(&self, pending: &Pending, best: &Candidate<'_>) -> bool {
        let is_idle = self.loads.total(best.endpoint.key).requests == 0;
        if is_idle || best.busy_ratio <= LOW_USE_RATIO || pending.sends > 0 {
            return true;
        }
        let arrival = &pending.arrival;
        let account = arrival.account.unwrap_or_default();
        let draw = self.draw(pending, ADMISSION_SALT);
        self.pressure.admits(&arrival.service, account, draw)
    }

    /// Tells whether endpoints of a plain request other than the `tried` ones are reachable and open, so that it can only be
    /// their load that keeps it waiting.
    pub(super) fn is_plain_shortage(
        &self,
        now: Duration,
        arrival: &Arrival,
        tried: &[u64],
    ) -> bool {
        let mut usable = self.endpoints.usable(&arrival.service).iter();
        arrival.prompt.is_none()
            && usable.any(|it| !tried.contains(&it.key) && self.takes_requests(now, it))
    }

    /// Tells whether an endpoint counts among those that share the service's requests.
    fn takes_requests(&self, now: Duration, endpoint: &Endpoint) -> bool {
        self.records.is_reachable(now, endpoint.key) && self.is_open(now, endpoint)
    }

    /// Returns the next step of a plain request that no endpoint would answer in time.
    pub(super) fn wait_or_refuse_plain(
        &self,
        now: Duration,
        pending: &Pending,
        best: Option<BestEndpoint>,
    ) -> Admission {
        // The caller of a request that was sent before cannot be sent to another host at once.
        let wait_ratio = match pending.sends {
            0 => QUEUE_TIME_RATIO,
            _ => self.settings.admission.queue_time_ratio,
        };
        let arrival = &pending.arrival;
        let max_wait = Duration::from_secs_f64(self.target_ms(arrival) / 1_000.0 * wait_ratio);
        match now < arrival.received_at + max_wait {
            true => Admission::Wait,
            false => Admission::Refuse(RefusalReason::Overload, best),
        }
    }

    /// Returns the part of the service's requests that is admitted, for requests without a prompt.
    pub(super) fn admitted_part(&self, arrival: &Arrival) -> Option<f64> {
        let is_plain = arrival.prompt.is_none();
        is_plain.then(|| self.pressure.admitted(&arrival.service))
    }

    /// Returns the requests at the service's endpoints, as a fraction of those that are answered in time.
    fn fill_ratio(&self, now: Duration, arrival: &Arrival) -> f64 {
        let target_ms = self.target_ms(arrival);
        let usable = self.endpoints.usable(&arrival.service).iter();
        let (mut requests, mut limit) = (0.0, 0.0);
        for endpoint in usable.filter(|it| self.takes_requests(now, it)) {
            let work_ms = self.records.work_ms(endpoint.key);
            requests += f64::from(self.loads.total(endpoint.key).requests);
            limit += endpoint_limit(endpoint.slots, work_ms, target_ms);
        }
        match limit > 0.0 {
            true => requests / limit,
            false => 0.0,
        }
    }

    /// Returns the requests at an endpoint: those that it stated, if that was lately, within bounds of what hosts report.
    fn requests_at(&self, now: Duration, endpoint: &Endpoint) -> f64 {
        let known = f64::from(self.loads.total(endpoint.key).requests);
        let own = known - f64::from(self.loads.of_others(endpoint.key).requests);
        let Some(stated) = self.reported.requests(now, endpoint.key) else {
            return known;
        };
        let least = own.max(known / STATED_FACTOR);
        let most = known * STATED_FACTOR + f64::from(endpoint.slots.max(1));
        f64::from(stated).clamp(least, most)
    }

    /// Returns the time that each request adds to those behind it.
    fn ms_per_request(&self, endpoint: &Endpoint) -> f64 {
        self.records.work_ms(endpoint.key) / f64::from(endpoint.slots.max(1))
    }

    /// Returns the number of requests that other hosts have sent since their reports, if they send as many as before.
    fn unseen_requests(&self, endpoint: &Endpoint) -> f64 {
        let known = f64::from(self.loads.of_others(endpoint.key).requests);
        known * REPORT_DELAY_MS / self.records.work_ms(endpoint.key).max(1.0)
    }

    /// Returns a number from 0 to 1 for a request.
    fn draw(&self, pending: &Pending, salt: u64) -> f64 {
        let hash = pair_hash(self.settings.host ^ salt, pending.arrival.id.0);
        hash as f64 / u64::MAX as f64
    }
}
