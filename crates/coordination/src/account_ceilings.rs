//! Ceilings of client accounts: requests started a second, and requests in progress at once.
//!
//! The same part stands at two places. An entry router asks it on arrival, with its own requests
//! in progress: what one router alone is over, the fleet is over, so the refusal is right and comes
//! at once. The home of a pool asks it before a grant, with the account's holdings in the whole
//! fleet: so the sum holds wherever the account's traffic arrives, without a message of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::AccountSettings;

use crate::refusal::RefusalReason;

/// Millionths of a start: the unit of the rate budget.
const MICRO_STARTS_PER_START: u64 = 1_000_000;

/// A ceiling that an account has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CeilingReached {
    /// Which ceiling: `RateLimited` or `ConcurrencyLimited`.
    pub reason: RefusalReason,
    /// When the next start is allowed; nothing when that takes the end of another request.
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

    // The unit makes the refill exact: one start a second is one millionth in each microsecond.
    fn refill(&mut self, now: Duration) {
        let elapsed_us = now.saturating_sub(self.refilled_at).as_micros();
        let earned = elapsed_us * u128::from(self.max_requests_per_s);
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        let full = burst_micro_starts(self.max_requests_per_s);
        self.micro_starts = self.micro_starts.saturating_add(earned).min(full);
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
        let missing = MICRO_STARTS_PER_START - self.micro_starts;
        let wait_us = missing.div_ceil(u64::from(self.max_requests_per_s));
        Err(CeilingReached {
            reason: RefusalReason::RateLimited,
            next_start_in: Some(Duration::from_micros(wait_us)),
        })
    }
}

/// Starts that may be saved up: those of one second.
fn burst_micro_starts(max_requests_per_s: u32) -> u64 {
    u64::from(max_requests_per_s) * MICRO_STARTS_PER_START
}

/// Ceilings of all client accounts that have one.
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
    /// Adopts the accounts of a configuration; unchanged ceilings keep what they have counted.
    pub fn configure(&mut self, now: Duration, accounts: &[AccountSettings]) {
        let mut previous = std::mem::take(&mut self.ceilings);
        for account in accounts {
            if account.max_in_progress == 0 && account.max_requests_per_s == 0 {
                continue;
            }
            let mut ceiling = Ceiling::new(account, now);
            if let Some(old) = previous.remove(&account.id) {
                ceiling.micro_starts = ceiling.micro_starts.min(old.micro_starts);
                ceiling.refilled_at = old.refilled_at;
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

    /// Counts a start that was allowed.
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
