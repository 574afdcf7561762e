//! Admission control: whether a request joins the queue of its router, or is refused at once.
//!
//! The owner of the queue counts its requests and passes the counts with each call, so that a
//! missed event can't leave a wrong count that refuses callers forever.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FrontSettings;

use crate::drain_rate::DrainRate;
use crate::random::SeededRandom;
use crate::refusal::RefusalReason;

/// Shortest retry delay returned to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest retry delay returned to a refused caller, before the jitter of up to one half.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Upper bound of the estimated wait; beyond it the exact value does not matter.
const MAX_ESTIMATED_WAIT: Duration = Duration::from_secs(3_600);

/// A request that asks to join the queue.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// The client account.
    pub account: &'a AccountId,
    /// Pool that runs the service.
    pub pool: &'a PoolId,
    /// Waiting requests in this router, over all pools.
    pub waiting: u32,
    /// Waiting requests of the account in this router, over all pools.
    pub waiting_of_account: u32,
    /// Requests of the account for this pool that would go before this one.
    pub requests_ahead: u32,
    /// Accounts with waiting requests for this pool in this router, this one included.
    pub backlogged_accounts: u32,
    /// Deadline on the clock of `now`.
    pub deadline: Duration,
    /// Run time that the request is expected to need at least; zero when unknown.
    pub min_run_time: Duration,
}

/// A refusal, with the time after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller may retry; header values are rounded up to whole seconds.
    pub retry_after: Option<Duration>,
}

#[derive(Debug, Default)]
struct QueueRate {
    rate: DrainRate,
    next_return_at: Duration,
}

/// Admission to the queue of one router.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::limits::{Admission, AdmissionRequest};
/// use sedgeridge_coordination::refusal::RefusalReason;
/// use sedgeridge_state::ids::{AccountId, PoolId};
/// use sedgeridge_state::settings::FrontSettings;
///
/// let account = AccountId::from("crew-07");
/// let pool = PoolId::from("desk");
/// let mut admission = Admission::new(FrontSettings::default(), 1);
/// let arrival = AdmissionRequest {
///     account: &account,
///     pool: &pool,
///     waiting: 4_096,
///     waiting_of_account: 1,
///     requests_ahead: 1,
///     backlogged_accounts: 9,
///     deadline: Duration::from_secs(60),
///     min_run_time: Duration::ZERO,
/// };
/// let refusal = admission.admit(Duration::ZERO, arrival).unwrap_err();
/// assert_eq!(refusal.reason, RefusalReason::QueueFull);
/// assert!(refusal.retry_after.is_some());
/// ```
#[derive(Debug)]
pub struct Admission {
    settings: FrontSettings,
    random: SeededRandom,
    pools: BTreeMap<PoolId, QueueRate>,
    accounts: BTreeMap<(PoolId, AccountId), QueueRate>,
}

impl Admission {
    /// Creates the admission of a router; `seed` seeds the jitter.
    pub fn new(settings: FrontSettings, seed: u64) -> Self {
        Self {
            settings,
            random: SeededRandom::new(seed),
            pools: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// Applies changed settings; measured rates are kept.
    pub fn configure(&mut self, settings: FrontSettings) {
        self.settings = settings;
    }

    /// Decides whether a request may wait; the caller then reports an admitted one with
    /// [`record_queued`](Self::record_queued).
    pub fn admit(&mut self, now: Duration, arrival: AdmissionRequest<'_>) -> Result<(), Refusal> {
        let Some(reason) = self.refusal_reason(now, arrival) else {
            return Ok(());
        };
        let wait = self.estimated_wait(now, arrival).unwrap_or_default();
        let left = arrival.deadline.saturating_sub(now + arrival.min_run_time);
        let excess_wait = wait.saturating_sub(left);
        Err(self.refuse(now, reason, arrival.pool, arrival.account, excess_wait))
    }

    /// Creates the refusal of a request for any reason.
    ///
    /// The retry delays of callers refused from the same queue are one gap of the drain rate apart.
    /// If all returned at once, they would find the queue full and be refused again together.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::limits::Admission;
    /// use sedgeridge_coordination::refusal::RefusalReason;
    /// use sedgeridge_state::ids::{AccountId, PoolId};
    /// use sedgeridge_state::settings::FrontSettings;
    ///
    /// let mut admission = Admission::new(FrontSettings::default(), 1);
    /// let refusal = admission.refuse(
    ///     Duration::ZERO,
    ///     RefusalReason::NoEndpoint,
    ///     &PoolId::from("desk"),
    ///     &AccountId::from("crew-07"),
    ///     Duration::ZERO,
    /// );
    /// assert!(refusal.retry_after >= Some(Duration::from_secs(1)));
    /// ```
    pub fn refuse(
        &mut self,
        now: Duration,
        reason: RefusalReason,
        pool: &PoolId,
        account: &AccountId,
        earliest: Duration,
    ) -> Refusal {
        let retry_after = reason
            .offers_retry_after()
            .then(|| self.retry_after(now, reason, pool, account, earliest));
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Records that a request of `account` joined the queue for `pool`.
    pub fn record_queued(&mut self, now: Duration, pool: &PoolId, account: &AccountId) {
        self.pool(pool).rate.record_queued(now);
        self.account(pool, account).rate.record_queued(now);
    }

    /// Records that a request left the queue to run, and how many still wait.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::limits::Admission;
    /// use sedgeridge_state::ids::{AccountId, PoolId};
    /// use sedgeridge_state::settings::FrontSettings;
    ///
    /// let (pool, account) = (PoolId::from("desk"), AccountId::from("crew-07"));
    /// let mut admission = Admission::new(FrontSettings::default(), 1);
    /// admission.record_queued(Duration::ZERO, &pool, &account);
    /// admission.record_started(Duration::from_millis(3), &pool, &account, 0, 0);
    /// ```
    pub fn record_started(
        &mut self,
        now: Duration,
        pool: &PoolId,
        account: &AccountId,
        waiting_of_pool: u32,
        waiting_of_account: u32,
    ) {
        self.pool(pool)
            .rate
            .record_started(now, waiting_of_pool > 0);
        let queue = self.account(pool, account);
        queue.rate.record_started(now, waiting_of_account > 0);
    }

    /// Records that a waiting request left without having run, for example past its deadline.
    pub fn record_left(
        &mut self,
        now: Duration,
        pool: &PoolId,
        account: &AccountId,
        waiting_of_pool: u32,
        waiting_of_account: u32,
    ) {
        if waiting_of_pool == 0 {
            self.pool(pool).rate.record_emptied(now);
        }
        if waiting_of_account == 0 {
            self.account(pool, account).rate.record_emptied(now);
        }
    }

    /// Removes queues in which no request waited for a long time. Called periodically.
    pub fn forget_stale(&mut self, now: Duration) {
        let in_use = |queue: &QueueRate| !queue.rate.is_stale(now) || queue.next_return_at > now;
        self.accounts.retain(|_, queue| in_use(queue));
        self.pools.retain(|_, queue| in_use(queue));
    }

    /// Estimates how long a request would wait; `None` while too few starts were measured.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::limits::{Admission, AdmissionRequest};
    /// use sedgeridge_state::ids::{AccountId, PoolId};
    /// use sedgeridge_state::settings::FrontSettings;
    ///
    /// let (pool, account) = (PoolId::from("desk"), AccountId::from("crew-07"));
    /// let admission = Admission::new(FrontSettings::default(), 1);
    /// let arrival = AdmissionRequest {
    ///     account: &account,
    ///     pool: &pool,
    ///     waiting: 0,
    ///     waiting_of_account: 0,
    ///     requests_ahead: 0,
    ///     backlogged_accounts: 1,
    ///     deadline: Duration::from_secs(60),
    ///     min_run_time: Duration::ZERO,
    /// };
    /// assert_eq!(admission.estimated_wait(Duration::ZERO, arrival), None);
    /// ```
    pub fn estimated_wait(&self, now: Duration, arrival: AdmissionRequest<'_>) -> Option<Duration> {
        let gap = self.expected_account_gap(now, arrival)?;
        let wait = gap.saturating_mul(arrival.requests_ahead.saturating_add(1));
        Some(wait.min(MAX_ESTIMATED_WAIT))
    }

    fn refusal_reason(
        &self,
        now: Duration,
        arrival: AdmissionRequest<'_>,
    ) -> Option<RefusalReason> {
        if arrival.deadline <= now + arrival.min_run_time {
            return Some(RefusalReason::DeadlineUnreachable);
        }
        if arrival.waiting >= self.settings.max_queue {
            return Some(RefusalReason::QueueFull);
        }
        if arrival.waiting_of_account >= self.settings.max_queue_per_account {
            return Some(RefusalReason::AccountQueueFull);
        }
        // After an outage the measured gap is longer than any deadline. If the only request of an
        // account were refused for that, nothing would start, the gap would never be measured
        // again, and the account would be refused forever. So the first request in line is always
        // admitted.
        if arrival.requests_ahead == 0 {
            return None;
        }
        let wait = self.estimated_wait(now, arrival)?;
        let in_time = now + wait + arrival.min_run_time <= arrival.deadline;
        (!in_time).then_some(RefusalReason::DeadlineUnreachable)
    }

    // An account without a measurement is expected to get an equal share of the rate of its pool.
    fn expected_account_gap(
        &self,
        now: Duration,
        arrival: AdmissionRequest<'_>,
    ) -> Option<Duration> {
        let key = (arrival.pool.clone(), arrival.account.clone());
        let measured_gap = self
            .accounts
            .get(&key)
            .and_then(|q| q.rate.expected_gap(now));
        measured_gap.or_else(|| {
            let pool_gap = self.pools.get(arrival.pool)?.rate.expected_gap(now)?;
            Some(pool_gap.saturating_mul(arrival.backlogged_accounts.max(1)))
        })
    }

    fn retry_after(
        &mut self,
        now: Duration,
        reason: RefusalReason,
        pool: &PoolId,
        account: &AccountId,
        earliest: Duration,
    ) -> Duration {
        let queue = match reason {
            RefusalReason::AccountQueueFull
            | RefusalReason::DeadlineUnreachable
            | RefusalReason::ConcurrencyLimited => self.account(pool, account),
            RefusalReason::QueueFull => self.pool(pool),
            _ => return self.add_jitter(earliest),
        };
        let gap = queue.rate.expected_gap(now).unwrap_or_default();
        let earliest_at = now + earliest.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
        let latest_at = now + MAX_RETRY_AFTER;
        let return_at = queue.next_return_at.max(earliest_at).min(latest_at);
        queue.next_return_at = (return_at + gap.min(MAX_RETRY_AFTER)).min(latest_at);
        self.add_jitter(return_at - now)
    }

    // Spreads the retries of callers refused at the same time, also by different routers.
    fn add_jitter(&mut self, after: Duration) -> Duration {
        let after = after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let max_jitter_us = u64::try_from(after.as_micros() / 2).unwrap_or(u64::MAX);
        after + Duration::from_micros(self.random.below(max_jitter_us))
    }

    fn pool(&mut self, pool: &PoolId) -> &mut QueueRate {
        self.pools.entry(pool.clone()).or_default()
    }

    fn account(&mut self, pool: &PoolId, account: &AccountId) -> &mut QueueRate {
        let key = (pool.clone(), account.clone());
        self.accounts.entry(key).or_default()
    }
}
