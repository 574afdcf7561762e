//! Limits of client accounts: requests started per second, and requests in progress.
//!
//! An entry router checks them on arrival against its own starts and requests in progress, without
//! extra messages. If one router alone exceeds a limit, so does the fleet, and the refusal is
//! correct and immediate.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::AccountSettings;

use crate::refusal::RefusalReason;

/// The rate budget is kept in millionths of a start.
const MICRO_STARTS_PER_START: u64 = 1_000_000;

/// A limit that an account has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CeilingReached {
    /// The limit: `RateLimited` or `ConcurrencyLimited`.
    pub reason: RefusalReason,
    /// Time until the next start is allowed; `None` when it depends on the end of another request.
    pub next_start_in: Option<Duration>,
}

#[derive(Debug)]
struct Ceiling {
    max_in_progress: u32,
    max_requests_per_s: u32,
    micro_starts: u64,
    refilled_at: Duration,
}

impl Ceiling {
    fn new(account: &AccountSettings, now: Duration) -> Self {
        Self {
            max_in_progress: account.max_in_progress,
            max_requests_per_s: account.max_requests_per_s,
            micro_starts: burst_micro_starts(account.max_requests_per_s),
            refilled_at: now,
        }
    }

    // The unit makes the refill exact: one start per second is one millionth per microsecond.
    fn refill(&mut self, now: Duration) {
        let elapsed_us = now.saturating_sub(self.refilled_at).as_micros();
        let earned = elapsed_us * u128::from(self.max_requests_per_s);
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        let max_micro_starts = burst_micro_starts(self.max_requests_per_s);
        self.micro_starts = self
            .micro_starts
            .saturating_add(earned)
            .min(max_micro_starts);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn check(&mut self, now: Duration, in_progress: u32) -> Result<(), CeilingReached> {
        if self.max_in_progress > 0 && in_progress >= self.max_in_progress {
            return Err(CeilingReached {
                reason: RefusalReason::ConcurrencyLimited,
                next_start_in: None,
            });
        }
        if self.max_requests_per_s == 0 {
            return Ok(());
        }
        self.refill(now);
        if self.micro_starts >= MICRO_STARTS_PER_START {
            return Ok(());
        }
        let missing_micro_starts = MICRO_STARTS_PER_START - self.micro_starts;
        let wait_us = missing_micro_starts.div_ceil(u64::from(self.max_requests_per_s));
        Err(CeilingReached {
            reason: RefusalReason::RateLimited,
            next_start_in: Some(Duration::from_micros(wait_us)),
        })
    }
}

/// Maximum rate budget: the starts of one second.
fn burst_micro_starts(max_requests_per_s: u32) -> u64 {
    u64::from(max_requests_per_s) * MICRO_STARTS_PER_START
}

/// Limits of all client accounts that have any.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::account_ceilings::AccountCeilings;
/// use sedgeridge_state::ids::AccountId;
/// use sedgeridge_state::settings::AccountSettings;
///
/// let account = AccountId::from("crew-07");
/// let mut ceilings = AccountCeilings::default();
/// ceilings.configure(
///     Duration::ZERO,
///     &[AccountSettings {
///         id: account.clone(),
///         weight: 1,
///         key_sha256: String::new(),
///         max_in_progress: 2,
///         max_requests_per_s: 0,
///     }],
/// );
/// assert!(ceilings.check(Duration::ZERO, &account, 1).is_ok());
/// assert!(ceilings.check(Duration::ZERO, &account, 2).is_err());
/// ```
#[derive(Debug, Default)]
pub struct AccountCeilings {
    ceilings: BTreeMap<AccountId, Ceiling>,
}

impl AccountCeilings {
    /// Applies the accounts of a configuration; accounts that had limits before get no new budget.
    pub fn configure(&mut self, now: Duration, accounts: &[AccountSettings]) {
        let mut previous = std::mem::take(&mut self.ceilings);
        for account in accounts {
            if account.max_in_progress == 0 && account.max_requests_per_s == 0 {
                continue;
            }
            let mut ceiling = Ceiling::new(account, now);
            if let Some(previous) = previous.remove(&account.id) {
                ceiling.micro_starts = ceiling.micro_starts.min(previous.micro_starts);
                ceiling.refilled_at = previous.refilled_at;
            }
            self.ceilings.insert(account.id.clone(), ceiling);
        }
    }

    /// Tells whether `account`, with `in_progress` requests in progress, may start one more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::account_ceilings::AccountCeilings;
    /// use sedgeridge_state::ids::AccountId;
    ///
    /// let mut ceilings = AccountCeilings::default();
    /// let no_ceiling = AccountId::from("booking");
    /// assert!(ceilings.check(Duration::ZERO, &no_ceiling, 1_000).is_ok());
    /// ```
    pub fn check(
        &mut self,
        now: Duration,
        account: &AccountId,
        in_progress: u32,
    ) -> Result<(), CeilingReached> {
        match self.ceilings.get_mut(account) {
            Some(ceiling) => ceiling.check(now, in_progress),
            None => Ok(()),
        }
    }

    /// Records a start that was allowed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::account_ceilings::AccountCeilings;
    /// use sedgeridge_state::ids::AccountId;
    ///
    /// AccountCeilings::default().record_start(Duration::ZERO, &AccountId::from("no-ceiling"));
    /// ```
    pub fn record_start(&mut self, now: Duration, account: &AccountId) {
        if let Some(ceiling) = self.ceilings.get_mut(account) {
            ceiling.refill(now);
            ceiling.micro_starts = ceiling.micro_starts.saturating_sub(MICRO_STARTS_PER_START);
        }
    }
}
