//! Decides whether a failed attempt may be repeated, and after how long.
//!
//! Retries are paid for by successes. While an endpoint or a whole pool fails there are few
//! successes, so the retries stop by themselves instead of multiplying the load.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::RetrySettings;

use crate::random::SeededRandom;

/// Thousandths of a retry: the unit in which budgets are kept.
const MILLI_RETRIES_PER_RETRY: u64 = 1_000;
/// Retries that one account may save up at one router.
const ACCOUNT_CAP_MILLI_RETRIES: u64 = 10 * MILLI_RETRIES_PER_RETRY;
/// Retries that a router may save up over all accounts.
const ROUTER_CAP_MILLI_RETRIES: u64 = 100 * MILLI_RETRIES_PER_RETRY;
/// Retries that are there without any success: a quiet account still survives one bad endpoint.
const ACCOUNT_FLOOR_MILLI_RETRIES: u64 = 2 * MILLI_RETRIES_PER_RETRY;
/// Retries of a router that are there without any success.
const ROUTER_FLOOR_MILLI_RETRIES: u64 = 10 * MILLI_RETRIES_PER_RETRY;
/// Time in which the floor of a bucket fills up again.
const FLOOR_REFILL_TIME: Duration = Duration::from_secs(20);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 16;

/// Why an attempt is to be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// No connection could be opened.
    ConnectFailed,
    /// The endpoint refused before it started.
    NotStarted,
    /// The endpoint answered with a server error.
    ServerError,
    /// The connection was lost.
    ConnectionLost,
    /// The answer went silent.
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

/// A failed attempt whose request may be tried again.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt<'a> {
    /// The client account.
    pub account: &'a AccountId,
    /// What went wrong.
    pub reason: RetryReason,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Latest useful start of a further attempt, on the clock of `now`.
    pub deadline: Duration,
}

/// Whether a further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after a pause.
    Retry {
        /// The pause.
        backoff: Duration,
    },
    /// Give up.
    Denied(RetryDenial),
}

/// Why no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryDenial {
    /// The request may have run and may not be repeated.
    NotRepeatable,
    /// The request had all its attempts.
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

/// Budget filled by successes, with a floor that refills by time.
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
    router: Option<Bucket>,
    accounts: BTreeMap<AccountId, Bucket>,
    counts: BTreeMap<(RetryReason, Option<RetryDenial>), u64>,
}

impl RetryBudgets {
    /// Creates the budgets; `seed` feeds the jitter.
    pub fn new(settings: RetrySettings, seed: u64) -> Self {
        Self {
            settings,
            random: SeededRandom::new(seed),
            router: None,
            accounts: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Adopts changed settings; what was saved up stays.
    pub fn configure(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// Counts a whole answer given to `account`, which pays for later retries.
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
        let (router, bucket) = self.buckets(now, account);
        router.deposit(amount);
        bucket.deposit(amount);
    }

    /// Decides whether a failed attempt is repeated; a granted retry is paid for at once.
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

    /// Returns how often each reason was decided in which way; no denial means a retry.
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

    /// Drops the budgets of accounts that no longer exist.
    ///
    /// ```
    /// use sedgeridge_coordination::retry_budget::RetryBudgets;
    /// use sedgeridge_state::settings::RetrySettings;
    ///
    /// let mut budgets = RetryBudgets::new(RetrySettings::default(), 1);
    /// budgets.retain_accounts(|account| account.as_str() != "closed");
    /// ```
    pub fn retain_accounts(&mut self, exists: impl Fn(&AccountId) -> bool) {
        self.accounts.retain(|account, _| exists(account));
    }

    // A full-jitter backoff would let a retry go out at once, into the restart it should wait for;
    // half of the time is fixed and half is random, which still parts callers that failed together.
    fn backoff(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let full = Duration::from_millis(self.settings.base_backoff_ms)
            .saturating_mul(1 << doublings)
            .min(MAX_BACKOFF);
        let half_us = u64::try_from(full.as_micros() / 2).unwrap_or(u64::MAX);
        Duration::from_micros(half_us + self.random.below(half_us + 1))
    }

    fn withdraw(&mut self, now: Duration, account: &AccountId) -> Result<(), RetryDenial> {
        let (router, bucket) = self.buckets(now, account);
        if !bucket.affords_one() {
            return Err(RetryDenial::AccountBudget);
        }
        if !router.affords_one() {
            return Err(RetryDenial::RouterBudget);
        }
        bucket.withdraw_one();
        router.withdraw_one();
        Ok(())
    }

    fn buckets(&mut self, now: Duration, account: &AccountId) -> (&mut Bucket, &mut Bucket) {
        let router = self.router.get_or_insert_with(|| {
            Bucket::new(now, ROUTER_FLOOR_MILLI_RETRIES, ROUTER_CAP_MILLI_RETRIES)
        });
        let bucket = self.accounts.entry(account.clone()).or_insert_with(|| {
            Bucket::new(now, ACCOUNT_FLOOR_MILLI_RETRIES, ACCOUNT_CAP_MILLI_RETRIES)
        });
        router.refill(now);
        bucket.refill(now);
        (router, bucket)
    }
}
