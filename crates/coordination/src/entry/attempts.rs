//! Use of grants: starting attempts, and handling their end.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::PoolId;

use crate::entry::Entry;
use crate::entry::QUARANTINE_RETRY_DELAY;
use crate::entry::charge_of;
use crate::entry_events::Arrival;
use crate::entry_events::AttemptEnd;
use crate::entry_events::AttemptFailure;
use crate::entry_events::AttemptKey;
use crate::entry_events::EntryAction;
use crate::entry_events::RequestKey;
use crate::entry_events::StartAttempt;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;
use crate::quarantine::StartDecision;
use crate::refusal::RefusalReason;
use crate::request_table::Attempt;
use crate::request_table::RequestState;
use crate::retry_budget::FailedAttempt;
use crate::retry_budget::RetryDecision;

impl Entry {
    pub(super) fn on_grant(
        &mut self,
        now: Duration,
        grant: &Grant,
        actions: &mut Vec<EntryAction>,
    ) {
        if !self.pool(&grant.pool).accept(grant) {
            return;
        }
        while let Some(key) = self.pool(&grant.pool).pop_for_grant(grant) {
            if self.may_start(now, key, actions) {
                let cost_tokens = self.estimate_cost(key);
                self.pool(&grant.pool).hold(now, grant, cost_tokens);
                return self.start_attempt(now, key, &grant.id, &grant.endpoint, actions);
            }
        }
        self.pool(&grant.pool).return_unused(grant);
    }

    /// Starts the next request that a grant covers, or releases the grant.
    fn start_next_or_release(
        &mut self,
        now: Duration,
        pool: &PoolId,
        grant: &GrantId,
        actions: &mut Vec<EntryAction>,
    ) {
        while let Some((key, endpoint)) = self.pool(pool).next_request_of(now, grant) {
            if self.may_start(now, key, actions) {
                return self.start_attempt(now, key, grant, &endpoint, actions);
            }
        }
        self.pool(pool).release(now, grant);
    }

    /// Tells whether a request that was taken from its queue may start. If not, delays it or gives
    /// it up.
    fn may_start(
        &mut self,
        now: Duration,
        key: RequestKey,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        self.waiting_requests -= 1;
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let pool = request.arrival.pool.clone();
        let account = request.arrival.account.clone();
        let fingerprint = request.arrival.fingerprint;
        if self.is_too_late(now, key) {
            self.record_left_queue(now, &pool, &account);
            self.mark_dequeued(key);
            self.give_up(now, key, RefusalReason::DeadlinePassed, actions);
            return false;
        }
        let decision = self.quarantine.try_start(now, fingerprint);
        if decision == StartDecision::Start {
            return true;
        }
        self.record_left_queue(now, &pool, &account);
        if decision == StartDecision::Wait {
            self.requests.delay(key, now + QUARANTINE_RETRY_DELAY);
        } else {
            self.mark_dequeued(key);
            self.give_up(now, key, RefusalReason::Quarantined, actions);
        }
        false
    }

    /// Tells whether a request that was not attempted yet is unlikely to end before its deadline.
    ///
    /// If it started, it would be cut off at the deadline. Its caller would get half an answer, or
    /// the outcome "unknown" in place of "not run", and the work of the slot would be wasted.
    fn is_too_late(&mut self, now: Duration, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        if request.attempts > 0 {
            return false;
        }
        let deadline = request.arrival.deadline;
        let account = request.arrival.account.clone();
        let pool = request.arrival.pool.clone();
        now + self.pool(&pool).min_run_time(&account) > deadline
    }

    /// Marks a request as no longer queued.
    fn mark_dequeued(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.state = RequestState::Running;
        }
    }

    fn estimate_cost(&self, key: RequestKey) -> u64 {
        self.requests.get(key).map_or(1, |request| {
            let arrival = &request.arrival;
            self.cost_estimates
                .estimate(&arrival.account, arrival.hint_tokens)
        })
    }

    fn start_attempt(
        &mut self,
        now: Duration,
        key: RequestKey,
        grant: &GrantId,
        endpoint: &EndpointId,
        actions: &mut Vec<EntryAction>,
    ) {
        let attempt = self.requests.start_attempt(key, grant.clone(), now);
        let max_attempts = self.max_attempts;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.attempts += 1;
        request.state = RequestState::Running;
        let account = request.arrival.account.clone();
        let pool = request.arrival.pool.clone();
        actions.push(EntryAction::Start(StartAttempt {
            key,
            attempt,
            endpoint: endpoint.clone(),
            resume_after_tokens: request.sent_tokens,
            head_sent: request.head_sent,
            last_attempt: !request.arrival.repeatable || request.attempts >= max_attempts,
        }));
        let view = self.pool(&pool);
        let waiting_of_pool = view.waiting();
        let waiting_of_account = view.waiting_of_account(&account);
        self.admission
            .record_started(now, &pool, &account, waiting_of_pool, waiting_of_account);
    }

    pub(super) fn on_progress(&mut self, attempt: AttemptKey, charged_tokens: u64) {
        let Some(Attempt { key, grant, .. }) = self.requests.attempt(attempt) else {
            return;
        };
        let Some(request) = self.requests.get(*key) else {
            return;
        };
        let pool = request.arrival.pool.clone();
        let grant = grant.clone();
        self.pool(&pool).raise_estimate(&grant, charged_tokens);
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Duration,
        attempt: AttemptKey,
        end: AttemptEnd,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(ended) = self.requests.end_attempt(attempt) else {
            return;
        };
        let Some(request) = self.requests.get(ended.key) else {
            return;
        };
        let arrival = request.arrival.clone();
        let endpoint = self.settle(now, &ended, &arrival, end, actions);
        match end {
            AttemptEnd::Finished { .. } => {
                self.cost_estimates
                    .learn(&arrival.account, arrival.hint_tokens, charge_of(end));
                self.retry_budgets.on_success(now, &arrival.account);
                self.quarantine.on_finished(now, arrival.fingerprint);
                self.requests.remove(ended.key);
            }
            AttemptEnd::CallerGone { .. } => {
                self.quarantine.on_ended(arrival.fingerprint);
                self.requests.remove(ended.key);
            }
            AttemptEnd::Failed {
                failure,
                sent_tokens,
                head_sent,
                ..
            } => {
                self.record_failure_for_quarantine(now, &arrival, endpoint.as_ref(), failure);
                if let Some(request) = self.requests.get_mut(ended.key) {
                    request.sent_tokens = request.sent_tokens.max(sent_tokens);
                    request.may_have_run |= failure.may_have_run();
                    request.head_sent |= head_sent;
                }
                self.retry_or_give_up(now, ended.key, failure, actions);
            }
        }
    }

    /// Charges the service of an ended attempt to its account, and reuses or releases its grant.
    /// Returns the endpoint.
    fn settle(
        &mut self,
        now: Duration,
        ended: &Attempt,
        arrival: &Arrival,
        end: AttemptEnd,
        actions: &mut Vec<EntryAction>,
    ) -> Option<EndpointId> {
        let ran = now.saturating_sub(ended.started_at);
        let pool = self.pool(&arrival.pool);
        let endpoint = pool.settle(&ended.grant, &arrival.account, charge_of(end));
        if let Some(endpoint) = &endpoint {
            pool.record_result(endpoint, ran, end);
        }
        if matches!(end, AttemptEnd::Finished { .. }) {
            pool.record_run_time(&arrival.account, ran);
            self.start_next_or_release(now, &arrival.pool, &ended.grant, actions);
        } else {
            pool.release(now, &ended.grant);
        }
        endpoint
    }

    fn record_failure_for_quarantine(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        endpoint: Option<&EndpointId>,
        failure: AttemptFailure,
    ) {
        match (endpoint, failure) {
            (Some(endpoint), AttemptFailure::ConnectionLost) => {
                let fingerprint = arrival.fingerprint;
                self.quarantine
                    .on_connection_lost(now, fingerprint, endpoint);
            }
            (Some(endpoint), AttemptFailure::Crashed) => {
                let fingerprint = arrival.fingerprint;
                self.quarantine
                    .on_connection_lost(now, fingerprint, endpoint);
                self.quarantine.on_endpoint_down(now, endpoint);
            }
            (Some(endpoint), AttemptFailure::ConnectFailed) => {
                self.quarantine.on_ended(arrival.fingerprint);
                self.quarantine.on_endpoint_down(now, endpoint);
            }
            _ => self.quarantine.on_ended(arrival.fingerprint),
        }
    }

    fn retry_or_give_up(
        &mut self,
        now: Duration,
        key: RequestKey,
        failure: AttemptFailure,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Some(reason) = failure.retry_reason() else {
            return self.give_up(now, key, RefusalReason::DeadlinePassedRunning, actions);
        };
        // A non-repeatable request that may have run is never sent again, as its effect could occur
        // twice. One that certainly did not start may go to another endpoint.
        let decision = self.retry_budgets.decide_retry(
            now,
            FailedAttempt {
                account: &request.arrival.account,
                reason,
                attempts: request.attempts,
                repeatable: request.arrival.repeatable,
                deadline: request.arrival.deadline,
            },
        );
        match decision {
            RetryDecision::Retry { backoff } => {
                actions.push(EntryAction::Retried { key, reason });
                self.requests.delay(key, now + backoff);
            }
            RetryDecision::Denied(_) => {
                let reason = match failure {
                    AttemptFailure::ConnectFailed => RefusalReason::NoEndpoint,
                    AttemptFailure::NotStarted => RefusalReason::EndpointRefused,
                    _ if request.head_sent => RefusalReason::AnswerIncomplete,
                    _ => RefusalReason::EndpointFailed,
                };
                self.give_up(now, key, reason, actions);
            }
        }
    }
}
