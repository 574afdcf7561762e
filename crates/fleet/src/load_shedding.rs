//! Chooses the requests that a host sheds when it has too little processor time for all of them.
//!
//! The load balancer sends all connections of a client to one host, which may get more than it can forward while other
//! hosts of its data centre are idle. A request that is refused at once is retried at another host within its latency
//! target. One that waits for the processor is late, and delays all others.
//!
//! Accounts furthest over their share are shed first. If requests were shed regardless of their account, those of an
//! account with little use would be refused while those of one far over its share were sent.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::account_shares::max_min_share;

/// Delay of the event loop's timers above which requests are shed.
const SHEDDING_TIMER_DELAY: Duration = Duration::from_millis(20);
/// Increase of the shed ratio for each [`SHEDDING_TIMER_DELAY`] by which a timer is late. It grows with the delay because
/// fewer timers fire the further the event loop is behind.
const RATIO_INCREASE: f64 = 0.1;
/// Decrease of the shed ratio at each timer that is on time.
const RATIO_DECREASE: f64 = 0.03;
/// Largest shed ratio. The remaining requests show whether the host has time again.
const MAX_SHED_RATIO: f64 = 0.98;
/// Interval at which a host that sheds as much as it may of accounts over their share checks whether its delay still
/// grows. While the delay shrinks, the shed ratio of other accounts is not increased.
const TREND_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of all requests up to which those of accounts over their share are too few to relieve the host.
const FEW_OVER_SHARE_RATIO: f64 = 0.2;
/// Interval at which the request counts of accounts decay.
const DECAY_INTERVAL: Duration = Duration::from_millis(50);
/// Factor applied to an account's request count at each interval. About the last half second counts.
const DECAY_FACTOR: f64 = 0.9;
/// Decayed request count at or below which an account is removed.
const MIN_REQUESTS: f64 = 0.01;

/// Derives shed ratios from the delay of timers and distributes the shed requests among accounts.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::load_shedding::LoadShedding;
///
/// let mut shedding = LoadShedding::default();
/// assert!(!shedding.try_shed(1, 2.0));
/// for tick in 0..40 {
///     shedding.on_timer(Duration::from_millis(120 * tick), Duration::from_millis(100));
/// }
/// let shed = (0..100).filter(|_| shedding.try_shed(1, 2.0)).count();
/// assert!(shed > 90);
/// ```
#[derive(Debug, Default)]
pub struct LoadShedding {
    /// Fraction that is shed of the requests of accounts over their share.
    over_share_ratio: f64,
    /// Fraction that is shed of the requests of other accounts.
    within_share_ratio: f64,
    /// Trend of the timer delay while `over_share_ratio` is at its maximum.
    trend: Option<DelayTrend>,
    accounts: IntMap<u64, AccountRequests>,
    next_decay: Duration,
}

#[derive(Debug)]
struct DelayTrend {
    sampled_at: Duration,
    delay: Duration,
    is_rising: bool,
}

/// Recent requests of one account.
#[derive(Debug, Default)]
struct AccountRequests {
    requests: f64,
    /// Tokens that the fleet started for the account, as a multiple of its fair share.
    share_used: f64,
    /// Fraction of its requests that is shed.
    shed_ratio: f64,
    /// Accumulated `shed_ratio` of its requests. The request that brings it to 1 is shed.
    shed_due: f64,
}

impl AccountRequests {
    fn is_over_share(&self) -> bool {
        self.share_used > 1.0
    }

    fn set_shed_requests(&mut self, requests: f64) {
        self.shed_ratio = requests / self.requests.max(MIN_REQUESTS);
    }
}

impl LoadShedding {
    /// Updates the shed ratios after a timer that fired `delay` after it was due.
    pub fn on_timer(&mut self, now: Duration, delay: Duration) {
        match Self::is_late(delay) {
            true => self.increase_ratios(now, delay),
            false => self.decrease_ratios(),
        }
        self.decay(now);
        if self.is_active() {
            self.distribute();
        }
    }

    /// Tells whether a timer's delay is long enough to shed requests.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::load_shedding::LoadShedding;
    ///
    /// assert!(!LoadShedding::is_late(Duration::from_millis(5)));
    /// assert!(LoadShedding::is_late(Duration::from_millis(50)));
    /// ```
    pub fn is_late(delay: Duration) -> bool {
        delay > SHEDDING_TIMER_DELAY
    }

    /// Tells whether any requests are shed.
    pub fn is_active(&self) -> bool {
        self.over_share_ratio > 0.0 || self.within_share_ratio > 0.0
    }

    fn increase_ratios(&mut self, now: Duration, delay: Duration) {
        let increase = RATIO_INCREASE * delay.as_secs_f64() / SHEDDING_TIMER_DELAY.as_secs_f64();
        self.over_share_ratio = (self.over_share_ratio + increase).min(MAX_SHED_RATIO);
        if self.has_few_over_share() || self.is_delay_rising(now, delay) {
            self.within_share_ratio = (self.within_share_ratio + increase).min(MAX_SHED_RATIO);
        }
    }

    fn has_few_over_share(&self) -> bool {
        let requests = |account: &AccountRequests| account.requests;
        let all: f64 = self.accounts.values().map(requests).sum();
        let over_share = self
            .accounts
            .values()
            .filter(|account| account.is_over_share());
        over_share.map(requests).sum::<f64>() <= all * FEW_OVER_SHARE_RATIO
    }

    /// Tells whether the delay rises although as many requests of accounts over their share are shed as allowed.
    fn is_delay_rising(&mut self, now: Duration, delay: Duration) -> bool {
        if self.over_share_ratio < MAX_SHED_RATIO {
            self.trend = None;
            return false;
        }
        let trend = self.trend.get_or_insert(DelayTrend {
            sampled_at: now,
            delay,
            is_rising: false,
        });
        if now.saturating_sub(trend.sampled_at) >= TREND_INTERVAL {
            *trend = DelayTrend {
                sampled_at: now,
                delay,
                is_rising: delay >= trend.delay,
            };
        }
        trend.is_rising
    }

    fn decrease_ratios(&mut self) {
        self.trend = None;
        if self.within_share_ratio > 0.0 {
            self.within_share_ratio = (self.within_share_ratio - RATIO_DECREASE).max(0.0);
        } else {
            self.over_share_ratio = (self.over_share_ratio - RATIO_DECREASE).max(0.0);
        }
    }

    fn decay(&mut self, now: Duration) {
        if now < self.next_decay {
            return;
        }
        self.next_decay = now + DECAY_INTERVAL;
        for account in self.accounts.values_mut() {
            account.requests *= DECAY_FACTOR;
        }
        self.accounts
            .retain(|_, account| account.requests > MIN_REQUESTS);
    }

    /// Counts a request that is not shed. `share_used` is what the fleet started for its account, as a multiple of the
    /// account's fair share.
    pub fn count_kept(&mut self, account: u64, share_used: f64) {
        self.requests_of(account, share_used).requests += 1.0;
    }

    /// Decides whether the next request of `account` is shed, and counts it if so.
    pub fn try_shed(&mut self, account: u64, share_used: f64) -> bool {
        if !self.is_active() {
            return false;
        }
        let recent = self.requests_of(account, share_used);
        recent.shed_due += recent.shed_ratio;
        let is_due = recent.shed_due >= 1.0;
        if is_due {
            recent.shed_due -= 1.0;
            recent.requests += 1.0;
        }
        is_due
    }

    fn requests_of(&mut self, account: u64, share_used: f64) -> &mut AccountRequests {
        let shed_ratio = match share_used > 1.0 {
            true => self.over_share_ratio,
            false => self.within_share_ratio,
        };
        let recent = self.accounts.entry(account).or_insert(AccountRequests {
            shed_ratio,
            ..AccountRequests::default()
        });
        recent.share_used = share_used;
        recent
    }

    /// Distributes the shed requests among accounts. Of those over their share, the ones furthest over it are shed
    /// first; of the others, those with the most requests at this host.
    fn distribute(&mut self) {
        let mut accounts: Vec<_> = self.accounts.values_mut().collect();
        accounts.sort_by(|one, other| other.share_used.total_cmp(&one.share_used));
        let over_share = accounts.partition_point(|account| account.is_over_share());
        let (over_share, within_share) = accounts.split_at_mut(over_share);
        let mut to_shed = sum_of_requests(over_share) * self.over_share_ratio;
        for account in over_share {
            let shed = to_shed.min(account.requests);
            account.set_shed_requests(shed);
            to_shed -= shed;
        }
        let kept = sum_of_requests(within_share) * (1.0 - self.within_share_ratio);
        let requests = within_share.iter().map(|account| account.requests);
        let max_kept = max_min_share(requests.collect(), kept);
        for account in within_share {
            let shed = (account.requests - max_kept).max(0.0);
            account.set_shed_requests(shed);
        }
    }
}

fn sum_of_requests(accounts: &[&mut AccountRequests]) -> f64 {
    accounts.iter().map(|account| account.requests).sum()
}
