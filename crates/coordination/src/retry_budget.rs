//! Decides whether a failed attempt is retried, and after which backoff.
//!
//! Each success adds to the retry budget. While an endpoint or a whole pool fails there are few
//! successes, so retries run out instead of multiplying the load.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::RetrySettings;

use crate::random::SeededRandom;

/// Budgets are kept in thousandths of a retry.
const MILLI_RETRIES_PER_RETRY: u64 = 1_000;
/// Maximum budget of one account at one router.
const ACCOUNT_CAP_MILLI_RETRIES: u64 = 10 * MILLI_RETRIES_PER_RETRY;
/// Maximum budget of a router over all accounts.
const ROUTER_CAP_MILLI_RETRIES: u64 = 100 * MILLI_RETRIES_PER_RETRY;
/// Budget of an account without any success, so that an account with little traffic can still retry
/// after a failure of one endpoint.
const ACCOUNT_FLOOR_MILLI_RETRIES: u64 = 2 * MILLI_RETRIES_PER_RETRY;
/// Budget of a router without any success.
const ROUTER_FLOOR_MILLI_RETRIES: u64 = 10 * MILLI_RETRIES_PER_RETRY;
/// Time in which an empty budget refills to its floor.
const FLOOR_REFILL_TIME: Duration = Duration::from_secs(20);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 16;

/// Failure after which an attempt may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// No connection could be opened.
    ConnectFailed,
    /// The endpoint refused the request before starting it.
    NotStarted,
    /// The endpoint answered with a server error.
    ServerError,
    /// The connection was lost.
    ConnectionLost,
    /// No more data of the answer arrived.
    StreamSilent,
    /// The answer belonged to another attempt.
    AnswerCrossed,
}

impl RetryReason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 6] = [
        Self::ConnectFailed,
        Self::NotStarted,
        Self::ServerError,
        Self::ConnectionLost,
        Self::StreamSilent,
        Self::AnswerCrossed,
    ];

    /// Returns the stable name, used in metric labels.
    ///
    /// ```
    /// use sedgeridge_coordination::retry_budget::RetryReason;
    ///
    /// assert_eq!(RetryReason::ConnectFailed.as_str(), "connect_failed");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::NotStarted => "not_started",
            Self::ServerError => "server_error",
            Self::ConnectionLost => "connection_lost",
            Self::StreamSilent => "stream_silent",
            Self::AnswerCrossed => "answer_crossed",
        }
    }

    /// Tells whether the failed attempt may have run.
    ///
    /// ```
    /// use sedgeridge_coordination::retry_budget::RetryReason;
    ///
    /// assert!(!RetryReason::NotStarted.may_have_run());
    /// assert!(RetryReason::ConnectionLost.may_have_run());
    /// ```
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::ConnectFailed | Self::NotStarted)
    }
}

/// A failed attempt whose request may be retried.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt<'a> {
    /// The client account.
    pub account: &'a AccountId,
    /// Kind of the failure.
    pub reason: RetryReason,
    /// Number of attempts made so far, including the failed one.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Latest useful start of a further attempt, on the clock of `now`.
    pub deadline: Duration,
}

/// Decision on a further attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a delay.
    Retry {
        /// Delay before the retry.
        backoff: Duration,
    },
    /// Give up.
    Denied(RetryDenial),
}

/// Reason for which no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryDenial {
    /// The request may have run and is not repeatable.
    NotRepeatable,
    /// The request used all its attempts.
    AttemptsUsed,
    /// The deadline would pass during the backoff.
    DeadlineNear,
    /// The account has no budget left.
    AccountBudget,
    /// The router has no budget left.
    RouterBudget,
}

impl RetryDenial {
    /// Returns the stable name, used in metric labels.
    ///
    /// ```
    /// use sedgeridge_coordination::retry_budget::RetryDenial;
    ///
    /// assert_eq!(RetryDenial::AccountBudget.as_str(), "account_budget");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::AttemptsUsed => "attempts_used",
            Self::DeadlineNear => "deadline_near",
            Self::AccountBudget => "account_budget",
            Self::RouterBudget => "router_budget",
        }
    }
}

/// Budget that successes fill, with a floor to which it refills over time.
#[derive(Debug)]
struct Bucket {
    milli_retries: u64,
    floor_milli_retries: u64,
    cap_milli_retries: u64,
    refilled_at: Duration,
}

impl Bucket {
    fn new(now: Duration, floor_milli_retries: u64, cap_milli_retries: u64) -> Self {
        Self {
            milli_retries: floor_milli_retries,
            floor_milli_retries,
            cap_milli_retries,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let refill = u128::from(self.floor_milli_retries) * elapsed.as_micros()
            / FLOOR_REFILL_TIME.as_micros();
        if refill == 0 {
            return;
        }
        self.refilled_at = now;
        if self.milli_retries < self.floor_milli_retries {
            let refill = u64::try_from(refill).unwrap_or(self.floor_milli_retries);
            self.milli_retries = self
                .milli_retries
                .saturating_add(refill)
                .min(self.floor_milli_retries);
        }
    }

    fn deposit(&mut self, amount: u64) {
        self.milli_retries = (self.milli_retries + amount).min(self.cap_milli_retries);
    }

    fn affords_one(&self) -> bool {
        self.milli_retries >= MILLI_RETRIES_PER_RETRY
    }

    fn withdraw_one(&mut self) {
        self.milli_retries -= MILLI_RETRIES_PER_RETRY;
    }
}

/// Retry budgets of one router: one for each client account and one over all.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::retry_budget::{FailedAttempt, RetryBudgets};
/// use sedgeridge_coordination::retry_budget::{RetryDecision, RetryReason};
/// use sedgeridge_state::ids::AccountId;
/// use sedgeridge_state::settings::RetrySettings;
///
/// let account = AccountId::from("crew-07");
/// let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
/// let failed = FailedAttempt {
///     account: &account,
///     reason: RetryReason::ConnectFailed,
///     attempts: 1,
///     repeatable: true,
///     deadline: Duration::from_secs(5),
/// };
/// let decision = budgets.decide_retry(Duration::ZERO, failed);
/// assert!(matches!(decision, RetryDecision::Retry { .. }));
/// ```
#[derive(Debug)]
pub struct RetryBudgets {
    settings: RetrySettings,
    random: SeededRandom,
    router_bucket: Option<Bucket>,
    account_buckets: BTreeMap<AccountId, Bucket>,
    counts: BTreeMap<(RetryReason, Option<RetryDenial>), u64>,
}

impl RetryBudgets {
    /// Creates the budgets; `seed` seeds the jitter.
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            settings,
            random: SeededRandom::new(seed),
            router_bucket: None,
            account_buckets: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Applies changed settings; the budgets keep their contents.
    pub fn configure(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// Records a whole answer given to `account`, which adds to its retry budget.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::retry_budget::RetryBudgets;
    /// use sedgeridge_state::ids::AccountId;
    /// use sedgeridge_state::settings::RetrySettings;
    ///
    /// let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    /// budgets.on_success(Duration::ZERO, &AccountId::from("crew-07"));
    /// ```
    pub fn on_success(&mut self, now: Duration, account: &AccountId) {
        let amount = u64::from(self.settings.budget_percent) * MILLI_RETRIES_PER_RETRY / 100;
        let (router_bucket, account_bucket) = self.buckets(now, account);
        router_bucket.deposit(amount);
        account_bucket.deposit(amount);
    }

    /// Decides whether a failed attempt is retried; a retry is withdrawn from the budgets at once.
    ///
    /// Each decision is counted, see [`counts`](Self::counts).
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::retry_budget::{FailedAttempt, RetryBudgets, RetryDecision};
    /// use sedgeridge_coordination::retry_budget::{RetryDenial, RetryReason};
    /// use sedgeridge_state::ids::AccountId;
    /// use sedgeridge_state::settings::RetrySettings;
    ///
    /// let account = AccountId::from("booking");
    /// let deposit_charge = FailedAttempt {
    ///     account: &account,
    ///     reason: RetryReason::ConnectionLost,
    ///     attempts: 1,
    ///     repeatable: false,
    ///     deadline: Duration::from_secs(5),
    /// };
    /// let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    /// let decision = budgets.decide_retry(Duration::ZERO, deposit_charge);
    /// assert_eq!(decision, RetryDecision::Denied(RetryDenial::NotRepeatable));
    /// ```
    pub fn decide_retry(&mut self, now: Duration, failed: FailedAttempt<'_>) -> RetryDecision {
        let decision = match self.decide(now, failed) {
            Ok(backoff) => RetryDecision::Retry { backoff },
            Err(denial) => RetryDecision::Denied(denial),
        };
        let denial = match decision {
            RetryDecision::Retry { .. } => None,
            RetryDecision::Denied(denial) => Some(denial),
        };
        *self.counts.entry((failed.reason, denial)).or_default() += 1;
        decision
    }

    /// Returns the number of decisions by reason and by denial; no denial means a retry.
    ///
    /// ```
    /// use sedgeridge_coordination::retry_budget::RetryBudgets;
    /// use sedgeridge_state::settings::RetrySettings;
    ///
    /// let budgets = RetryBudgets::new(RetrySettings::default(), 1);
    /// assert_eq!(budgets.counts().count(), 0);
    /// ```
    pub fn counts(&self) -> impl Iterator<Item = (RetryReason, Option<RetryDenial>, u64)> + '_ {
        self.counts
            .iter()
            .map(|(&(reason, denial), &count)| (reason, denial, count))
    }

    fn decide(
        &mut self,
        now: Duration,
        failed: FailedAttempt<'_>,
    ) -> Result<Duration, RetryDenial> {
        if !failed.repeatable && failed.reason.may_have_run() {
            return Err(RetryDenial::NotRepeatable);
        }
        if failed.attempts >= self.settings.max_attempts {
            return Err(RetryDenial::AttemptsUsed);
        }
        let backoff = self.backoff(failed.attempts);
        if now + backoff >= failed.deadline {
            return Err(RetryDenial::DeadlineNear);
        }
        self.withdraw(now, failed.account)?;
        Ok(backoff)
    }

    /// Removes the budgets of accounts that no longer exist.
    ///
    /// ```
    /// use sedgeridge_coordination::retry_budget::RetryBudgets;
    /// use sedgeridge_state::settings::RetrySettings;
    ///
    /// let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    /// budgets.retain_accounts(|account| account.as_str() != "closed");
    /// ```
    pub fn retain_accounts(&mut self, exists: impl Fn(&AccountId) -> bool) {
        self.account_buckets.retain(|account, _| exists(account));
    }

    // Half of the backoff is fixed and half is random. With full jitter a retry could be sent at
    // once, into the restart that it should wait for; the random half still spreads callers that
    // failed together.
    fn backoff(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let full = Duration::from_millis(self.settings.base_backoff_ms)
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF);
        let half_us = u64::try_from(full.as_micros() / 2).unwrap_or(u64::MAX);
        Duration::from_micros(half_us + self.random.below(half_us + 1))
    }

    fn withdraw(&mut self, now: Duration, account: &AccountId) -> Result<(), RetryDenial> {
        let (router_bucket, account_bucket) = self.buckets(now, account);
        if !account_bucket.affords_one() {
            return Err(RetryDenial::AccountBudget);
        }
        if !router_bucket.affords_one() {
            return Err(RetryDenial::RouterBudget);
        }
        account_bucket.withdraw_one();
        router_bucket.withdraw_one();
        Ok(())
    }

    fn buckets(&mut self, now: Duration, account: &AccountId) -> (&mut Bucket, &mut Bucket) {
        let router_bucket = self.router_bucket.get_or_insert_with(|| {
            Bucket::new(now, ROUTER_FLOOR_MILLI_RETRIES, ROUTER_CAP_MILLI_RETRIES)
        });
        let account_bucket = self
            .account_buckets
            .entry(account.clone())
            .or_insert_with(|| {
                Bucket::new(now, ACCOUNT_FLOOR_MILLI_RETRIES, ACCOUNT_CAP_MILLI_RETRIES)
            });
        router_bucket.refill(now);
        account_bucket.refill(now);
        (router_bucket, account_bucket)
    }
}
