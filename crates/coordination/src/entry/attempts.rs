//! Grants, the attempts that use them, and what follows when one ends.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::PoolId;

use crate::entry::Entry;
use crate::entry::TRIAL_PAUSE;
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
use crate::request_table::Place;
use crate::retry_budget::FailedAttempt;
use crate::retry_budget::RetryDecision;

impl Entry {
    pub(super) fn granted(&mut self, now: Duration, grant: &Grant, actions: &mut Vec<EntryAction>) {
        if !self.pool(&grant.pool).accept(grant) {
            return;
        }
        while let Some(key) = self.pool(&grant.pool).pop_for(grant) {
            if self.may_start(now, key, actions) {
                let cost_tokens = self.cost_of(key);
                self.pool(&grant.pool).hold(now, grant, cost_tokens);
                return self.start(now, key, &grant.id, &grant.endpoint, actions);
            }
        }
        self.pool(&grant.pool).give_back(grant);
    }

    /// Uses a grant again for the next request that it covers, or ends it.
    fn go_on(
        &mut self,
        now: Duration,
        pool: &PoolId,
        grant: &GrantId,
        actions: &mut Vec<EntryAction>,
    ) {
        while let Some((key, endpoint)) = self.pool(pool).next_of_grant(now, grant) {
            if self.may_start(now, key, actions) {
                return self.start(now, key, grant, &endpoint, actions);
            }
        }
        self.pool(pool).release(now, grant);
    }

    /// Decides about a request that was taken from its queue; one that may not start now is put off
    /// or given up.
    fn may_start(
        &mut self,
        now: Duration,
        key: RequestKey,
        actions: &mut Vec<EntryAction>,
    ) -> bool {
        self.waiting -= 1;
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let pool = request.arrival.pool.clone();
        let account = request.arrival.account.clone();
        let fingerprint = request.arrival.fingerprint;
        if self.is_too_late(now, key) {
            self.note_left(now, &pool, &account);
            self.forget_place(key);
            self.give_up(now, key, RefusalReason::DeadlinePassed, actions);
            return false;
        }
        let permit = self.quarantine.try_start(now, fingerprint);
        if permit == StartDecision::Start {
            return true;
        }
        self.note_left(now, &pool, &account);
        if permit == StartDecision::Wait {
            self.requests.put_off(key, now + TRIAL_PAUSE);
        } else {
            self.forget_place(key);
            self.give_up(now, key, RefusalReason::Quarantined, actions);
        }
        false
    }

    /// Tells whether hardly a request like this one, not attempted yet, ends before its deadline.
    ///
    /// Started all the same, it would break off at the deadline: its caller gets half an answer, or
    /// is told that it may have run, in place of "not run", and the slot's work is for nothing.
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
        now + self.pool(&pool).least_run(&account) > deadline
    }

    /// Marks a request that is in no queue any more.
    fn forget_place(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(key) {
            request.place = Place::Running;
        }
    }

    fn cost_of(&self, key: RequestKey) -> u64 {
        self.requests.get(key).map_or(1, |request| {
            let arrival = &request.arrival;
            self.estimates
                .estimate(&arrival.account, arrival.hint_tokens)
        })
    }

    fn start(
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
        request.place = Place::Running;
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
        let waiting_of_account = view.waiting_of(&account);
        self.admission
            .started(now, &pool, &account, waiting_of_pool, waiting_of_account);
    }

    pub(super) fn progressed(&mut self, attempt: AttemptKey, charged_tokens: u64) {
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

    pub(super) fn attempt_ended(
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
                self.estimates
                    .learn(&arrival.account, arrival.hint_tokens, charge_of(end));
                self.retries.on_success(now, &arrival.account);
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
                self.blame(now, &arrival, endpoint.as_ref(), failure);
                if let Some(request) = self.requests.get_mut(ended.key) {
                    request.sent_tokens = request.sent_tokens.max(sent_tokens);
                    request.may_have_run |= failure.may_have_run();
                    request.head_sent |= head_sent;
                }
                self.after_failure(now, ended.key, failure, actions);
            }
        }
    }

    /// Charges what an attempt received, and uses its grant again or ends it. Returns the endpoint.
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
            pool.note_result(endpoint, ran, end);
        }
        if matches!(end, AttemptEnd::Finished { .. }) {
            pool.learn_run_time(&arrival.account, ran);
            self.go_on(now, &arrival.pool, &ended.grant, actions);
        } else {
            pool.release(now, &ended.grant);
        }
        endpoint
    }

    fn blame(
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

    fn after_failure(
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
        // A request that may not be repeated and may have run is never sent again: the caller
        // would see its effect twice. One that certainly did not start may go to another endpoint.
        let decision = self.retries.may_retry(
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
                self.requests.put_off(key, now + backoff);
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
