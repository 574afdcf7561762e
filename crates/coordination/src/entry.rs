//! The entry router: queues the requests of its callers, reports the demand to the home of each
//! pool, and uses each granted slot for the first waiting request of the account.

mod attempts;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::millis;

use crate::account_ceilings::AccountCeilings;
use crate::cost_estimate::CostEstimates;
use crate::entry_events::Arrival;
use crate::entry_events::AttemptEnd;
use crate::entry_events::EntryAction;
use crate::entry_events::EntryEvent;
use crate::entry_events::GiveUp;
use crate::entry_events::RequestKey;
use crate::entry_pool::EntryPool;
use crate::entry_pool::LaneHead;
use crate::entry_pool::Urgency;
use crate::limits;
use crate::limits::Admission;
use crate::limits::Refusal;
use crate::quarantine::Quarantine;
use crate::refusal::Outcome;
use crate::refusal::RefusalReason;
use crate::request_table::Request;
use crate::request_table::RequestState;
use crate::request_table::RequestTable;
use crate::retry_budget::RetryBudgets;
use crate::retry_budget::RetryDenial;
use crate::retry_budget::RetryReason;

/// Delay before a request suspected of crashing endpoints tries again to start.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which stale queue measurements are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Queues and runs the requests of the callers of one router.
#[derive(Debug)]
pub struct Entry {
    member: Member,
    max_attempts: u32,
    grant_span: Duration,
    requests: RequestTable,
    pools: BTreeMap<PoolId, EntryPool>,
    admission: Admission,
    account_ceilings: AccountCeilings,
    retry_budgets: RetryBudgets,
    quarantine: Quarantine,
    cost_estimates: CostEstimates,
    waiting_requests: u32,
    is_stopping: bool,
    last_cleanup_at: Duration,
}

impl Entry {
    /// Creates the entry part of the router run `member`; `seed` seeds the jitter.
    pub fn new(member: Member, settings: &Settings, seed: u64) -> Self {
        let mut entry = Self {
            member,
            max_attempts: settings.retry.max_attempts,
            grant_span: millis(settings.fair.grant_span_ms),
            requests: RequestTable::default(),
            pools: BTreeMap::new(),
            admission: Admission::new(settings.front.clone(), seed),
            account_ceilings: AccountCeilings::default(),
            retry_budgets: RetryBudgets::new(settings.retry.clone(), seed.wrapping_add(1)),
            quarantine: Quarantine::new(settings.health.clone()),
            cost_estimates: CostEstimates::default(),
            waiting_requests: 0,
            is_stopping: false,
            last_cleanup_at: Duration::ZERO,
        };
        entry.configure(Duration::ZERO, settings);
        entry
    }

    /// Applies a configuration; requests in progress and measurements are kept.
    pub fn configure(&mut self, now: Duration, settings: &Settings) {
        self.max_attempts = settings.retry.max_attempts;
        self.grant_span = millis(settings.fair.grant_span_ms);
        for pool in self.pools.values_mut() {
            pool.set_grant_span(self.grant_span);
        }
        self.admission.configure(settings.front.clone());
        self.account_ceilings.configure(now, &settings.accounts);
        self.retry_budgets.configure(settings.retry.clone());
        let known: BTreeSet<&AccountId> = settings.accounts.iter().map(|a| &a.id).collect();
        self.retry_budgets.retain_accounts(|id| known.contains(id));
        self.quarantine.configure(settings.health.clone());
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Arrived(arrival) => self.on_arrival(now, arrival, actions),
            EntryEvent::Granted(grant) => self.on_grant(now, &grant, actions),
            EntryEvent::FullReportWanted { pool } => self.pool(&pool).request_full_report(),
            EntryEvent::HomeResync { host } => {
                let homed = self
                    .pools
                    .values_mut()
                    .filter(|pool| pool.is_homed_on(&host));
                homed.for_each(EntryPool::request_full_report);
            }
            EntryEvent::HomeChanged { pool, home } => self.pool(&pool).set_home(home),
            EntryEvent::Progress {
                attempt,
                charged_tokens,
            } => self.on_progress(attempt, charged_tokens),
            EntryEvent::AttemptEnded { attempt, end } => {
                self.on_attempt_ended(now, attempt, end, actions);
            }
            EntryEvent::CallerGone { key } => self.on_caller_gone(now, key),
            EntryEvent::Poison(notice) => self.quarantine.on_notice(now, notice),
            EntryEvent::StopRequested => self.stop(now, actions),
            EntryEvent::Tick => self.tick(now, actions),
        }
        let notices = self.quarantine.take_notices();
        actions.extend(notices.into_iter().map(EntryAction::Announce));
    }

    pub(crate) fn pools(&self) -> impl Iterator<Item = &EntryPool> {
        self.pools.values()
    }

    /// Returns the refusal that a request would get on arrival, if any. The caller checks this
    /// before it writes a claim for the request.
    pub fn check_admission(&mut self, now: Duration, arrival: &Arrival) -> Option<EntryAction> {
        let refusal = self.admit(now, arrival).err()?;
        Some(give_up(arrival.key, refusal, Outcome::NotRun))
    }

    /// Tells whether a request in progress may have run.
    pub fn may_have_run(&self, key: RequestKey) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| request.may_have_run)
    }

    /// Tells whether a request is waiting or running.
    pub fn contains(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some()
    }

    /// Appends a report for each pool that has changes and whose home and urgency satisfy `wanted`.
    /// `min_urgency` decides whether the reports include results of attempts that can wait.
    pub fn report(
        &mut self,
        min_urgency: Urgency,
        wanted: impl Fn(&Member, Urgency) -> bool,
        actions: &mut Vec<EntryAction>,
    ) {
        let requests = &self.requests;
        let estimates = &self.cost_estimates;
        for pool in self.pools.values_mut() {
            let urgency = pool.urgency();
            if !pool.home().is_some_and(|home| wanted(home, urgency)) {
                continue;
            }
            let lane_head = |key: RequestKey| {
                let arrival = &requests.get(key)?.arrival;
                Some(LaneHead {
                    cost_tokens: estimates.estimate(&arrival.account, arrival.hint_tokens),
                    prefix: arrival.prefix,
                })
            };
            if let Some((to, report)) = pool.report(&self.member, min_urgency, lane_head) {
                actions.push(EntryAction::Report { to, report });
            }
        }
    }

    /// Returns the highest urgency of the pending reports to homes other than `own`.
    pub fn urgency(&self, own: &Member) -> Urgency {
        let remote = self.pools.values().filter(|pool| pool.home() != Some(own));
        remote
            .map(EntryPool::urgency)
            .max()
            .unwrap_or(Urgency::None)
    }

    /// Returns the number of retry decisions by failure and by denial; no denial means a retry.
    pub fn retry_counts(
        &self,
    ) -> impl Iterator<Item = (RetryReason, Option<RetryDenial>, u64)> + '_ {
        self.retry_budgets.counts()
    }

    /// Returns the time at which the next delayed request is queued again.
    pub fn next_wake(&self) -> Option<Duration> {
        self.requests.next_due_at()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> u32 {
        self.waiting_requests
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.requests.running()
    }

    /// Returns the number of requests that are queued, delayed or running.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    fn pool(&mut self, id: &PoolId) -> &mut EntryPool {
        self.pools
            .entry(id.clone())
            .or_insert_with(|| EntryPool::new(id.clone(), self.grant_span))
    }

    fn on_arrival(&mut self, now: Duration, arrival: Arrival, actions: &mut Vec<EntryAction>) {
        let key = arrival.key;
        if let Err(refusal) = self.admit(now, &arrival) {
            actions.push(give_up(key, refusal, Outcome::NotRun));
            return;
        }
        self.account_ceilings.record_start(now, &arrival.account);
        self.requests.insert(Request::new(arrival));
        self.enqueue(now, key, false);
    }

    fn admit(&mut self, now: Duration, arrival: &Arrival) -> Result<(), Refusal> {
        let refuse = |admission: &mut Admission, reason, earliest| {
            Err(admission.refuse(now, reason, &arrival.pool, &arrival.account, earliest))
        };
        if self.is_stopping {
            let reason = RefusalReason::Draining;
            return refuse(&mut self.admission, reason, Duration::ZERO);
        }
        if let Some(left) = self.quarantine.refused_for(now, arrival.fingerprint) {
            return refuse(&mut self.admission, RefusalReason::Quarantined, left);
        }
        let in_progress = self.requests.in_progress_of_account(&arrival.account);
        if let Err(reached) = self
            .account_ceilings
            .check(now, &arrival.account, in_progress)
        {
            let earliest = reached.next_start_in.unwrap_or_default();
            return refuse(&mut self.admission, reached.reason, earliest);
        }
        let waiting_of_account = self.waiting_of_account(&arrival.account);
        let pool = self.pool(&arrival.pool);
        let min_run_time = pool.min_run_time(&arrival.account);
        let requests_ahead = pool.requests_ahead(&arrival.account, arrival.class);
        let backlogged_accounts = pool.backlogged_accounts_with(&arrival.account);
        self.admission.admit(
            now,
            limits::AdmissionRequest {
                account: &arrival.account,
                pool: &arrival.pool,
                waiting: self.waiting_requests,
                waiting_of_account,
                requests_ahead,
                backlogged_accounts,
                deadline: arrival.deadline,
                min_run_time,
            },
        )
    }

    fn waiting_of_account(&self, account: &AccountId) -> u32 {
        let pools = self.pools.values();
        pools.map(|pool| pool.waiting_of_account(account)).sum()
    }

    fn enqueue(&mut self, now: Duration, key: RequestKey, at_front: bool) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.state = RequestState::Queued;
        let lane = request.lane();
        let pool = request.arrival.pool.clone();
        self.admission.record_queued(now, &pool, &lane.account);
        self.waiting_requests += 1;
        self.pool(&pool).enqueue(lane, key, at_front);
    }

    /// Records for the drain rate that a request left the queue without running.
    fn record_left_queue(&mut self, now: Duration, pool: &PoolId, account: &AccountId) {
        let view = self.pool(pool);
        let waiting_of_pool = view.waiting();
        let waiting_of_account = view.waiting_of_account(account);
        self.admission
            .record_left(now, pool, account, waiting_of_pool, waiting_of_account);
    }

    /// Removes a request, also from its queue if it waits there.
    fn remove(&mut self, now: Duration, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(key)?;
        if request.state == RequestState::Queued {
            let lane = request.lane();
            if self.pool(&request.arrival.pool).remove_waiting(&lane, key) {
                self.waiting_requests -= 1;
                self.record_left_queue(now, &request.arrival.pool, &lane.account);
            }
        }
        Some(request)
    }

    fn on_caller_gone(&mut self, now: Duration, key: RequestKey) {
        let waits = |request: &Request| request.state != RequestState::Running;
        if self.requests.get(key).is_some_and(waits) {
            self.remove(now, key);
        }
    }

    fn give_up(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RefusalReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(request) = self.remove(now, key) else {
            return;
        };
        let arrival = &request.arrival;
        let refusal =
            self.admission
                .refuse(now, reason, &arrival.pool, &arrival.account, Duration::ZERO);
        let outcome = if request.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        actions.push(give_up(key, refusal, outcome));
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        self.quarantine.tick(now);
        while let Some(key) = self.requests.next_expired(now) {
            self.give_up(now, key, RefusalReason::DeadlinePassed, actions);
        }
        while let Some(key) = self.requests.take_due(now) {
            self.enqueue(now, key, true);
        }
        if now >= self.last_cleanup_at + CLEANUP_INTERVAL {
            self.last_cleanup_at = now;
            self.admission.forget_stale(now);
        }
    }

    fn stop(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        self.is_stopping = true;
        // The caller of a request that was attempted may already have part of the answer, so the
        // request still gets its next attempt.
        for key in self.requests.never_attempted() {
            self.give_up(now, key, RefusalReason::Draining, actions);
        }
    }
}

fn charge_of(end: AttemptEnd) -> u64 {
    match end {
        AttemptEnd::Finished { charged_tokens, .. }
        | AttemptEnd::Failed { charged_tokens, .. }
        | AttemptEnd::CallerGone { charged_tokens } => charged_tokens,
    }
}

fn give_up(key: RequestKey, refusal: Refusal, outcome: Outcome) -> EntryAction {
    EntryAction::GiveUp(GiveUp {
        key,
        reason: refusal.reason,
        outcome,
        retry_after: refusal.retry_after,
    })
}
