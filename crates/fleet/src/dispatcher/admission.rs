//! Decides which request is sent next, to which endpoint, and which is refused.

use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::Pending;
use super::candidates::BestEndpoint;
use super::candidates::Candidate;
use crate::account_shares::Lead;
use crate::arrival::Arrival;
use crate::arrival::RequestId;
use crate::endpoint_load::Load;
use crate::endpoint_table::Endpoint;
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
            remote_cost: Duration::from_millis(4),
        }
    }
}

/// Time for which accounts over their share are refused without another comparison, after one has shown that engines have
/// no capacity left for them. In a flood, comparing a hundred engines for each request uses up the processor of a small
/// host, and all requests wait.
const NO_ROOM_DURATION: Duration = Duration::from_millis(10);

/// Next step of a request.
pub(super) enum Admission {
    Send(Arc<Endpoint>, Load),
    Wait,
    Refuse(RefusalReason, Option<BestEndpoint>),
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
        match self.decide(now, pending) {
            Admission::Send(endpoint, load) => self.start(now, id, endpoint, load, decisions),
            Admission::Wait => self.queue.push(id),
            Admission::Refuse(reason, best) => {
                // A refusal without a comparison of endpoints gives no new information.
                if reason == RefusalReason::OverShare && best.is_some() {
                    self.no_room_until = now + NO_ROOM_DURATION;
                }
                self.end_unsent(now, id, reason, best, decisions);
            }
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
        if self.quarantined_for(now, arrival).is_some() {
            return Admission::Refuse(RefusalReason::Quarantined, None);
        }
        if self.is_version_gone(pending) {
            return Admission::Refuse(RefusalReason::VersionGone, None);
        }
        let is_over_share = self.share_used(arrival) > 1.0;
        let is_first_send =
            arrival.prompt.is_some() && pending.sends == 0 && arrival.origin.is_none();
        if is_over_share && is_first_send && self.has_no_room(now) {
            return Admission::Refuse(RefusalReason::OverShare, None);
        }
        let max_wait = arrival
            .route
            .latency_target
            .mul_f64(self.settings.admission.queue_time_ratio);
        let waits_until = pending.waits_since + max_wait;
        let has_waited_long = now >= waits_until;
        let Some(best) = self.best_candidate(now, pending) else {
            if self.is_plain_shortage(now, arrival, &pending.tried_endpoints) {
                return self.wait_or_refuse_plain(now, pending, None);
            }
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
        if arrival.prompt.is_none() {
            return self.wait_or_refuse_plain(now, pending, Some(best.into()));
        }
        let reason = match is_over_share {
            // Waiting would not help, since accounts with a smaller share used go first.
            true => RefusalReason::OverShare,
            false if has_waited_long => RefusalReason::Overload,
            false => return Admission::Wait,
        };
        Admission::Refuse(reason, Some(best.into()))
    }

    /// Returns whether the request's stream has begun and no endpoint is left at which it may go on.
    fn is_version_gone(&self, pending: &Pending) -> bool {
        let arrival = &pending.arrival;
        arrival.origin.is_some_and(|origin| {
            let mut usable = self.endpoints_with_origin(arrival, origin).iter();
            usable.all(|endpoint| pending.tried_endpoints.contains(&endpoint.key))
        })
    }

    fn is_admitted(&self, now: Duration, pending: &Pending, best: &Candidate<'_>) -> bool {
        let arrival = &pending.arrival;
        let settings = &self.settings.admission;
        if arrival.prompt.is_none() {
            return self.admits_plain(pending, best);
        }
        if pending.may_have_run || arrival.origin.is_some() {
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
    pub(super) fn target_ms(&self, arrival: &Arrival) -> f64 {
        let target = self.shortest_target.get(&arrival.service);
        let target = target.copied().unwrap_or(arrival.route.latency_target);
        target.as_secs_f64() * 1_000.0
    }

    /// Returns the backlog up to which an engine gets this request. Callers that retry after a refusal are treated like
    /// others: the time budgets of one route differ by more than the time that a refused caller has used, so the time left
    /// does not tell which caller has tried before.
    pub(super) fn allowed_backlog_ms(
        &self,
        now: Duration,
        arrival: &Arrival,
        first_event_ms: f64,
    ) -> f64 {
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
}
