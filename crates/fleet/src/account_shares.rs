//! Max-min fair shares of the engines' token capacity for client accounts, over the whole fleet.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::unreported_starts::REPORT_DELAY;
use crate::unreported_starts::StartedRequest;
use crate::unreported_starts::UnreportedStarts;

/// Number of buckets in the window. The weight of usage decreases by one step per bucket.
///
/// If usage counted in full until the end of its window, its end would leave a gap that all hosts see at the same time
/// and fill before they receive each other's reports. One account would then repeatedly start in one second what it is
/// due in several; meanwhile an account that only one host serves would be refused because of the engines' backlogs.
const BUCKETS: u64 = 8;
/// Maximum age of another host's report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2_500);

/// An account is backlogged if it requested more than its share and more than this multiple of what was started for it.
const BACKLOGGED_RATIO: f64 = 1.3;
/// Ratio of started tokens to those of a backlogged account above which only idle engines take an account's requests.
/// Users consider a ratio of two unfair. The margin covers requests that start unevenly within the window and the delay
/// of reports between hosts.
const LARGE_LEAD_RATIO: f64 = 1.2;
/// The same ratio above which an account has to wait, even if engines are idle. Each host sees its own idle engines,
/// and the requests that all hosts send to engines that they see as idle add up to more than twice what a backlogged
/// account gets. With a lower ratio, accounts of equal size hold each other back in a burst.
const TOO_LARGE_LEAD_RATIO: f64 = 1.6;
/// A backlogged account counts as having got at least this fraction of the fair share. Its host may be cut off, and must
/// not hold back all other accounts.
const MIN_BACKLOGGED_RATIO: f64 = 0.5;

/// By how much the tokens started for an account exceed those of a backlogged account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lead {
    /// No account is backlogged, or the difference is small.
    Small,
    /// The difference is so large that only idle engines should take the account's requests.
    Large,
    /// The difference is so large that the account has to wait.
    TooLarge,
}

/// Tokens that were requested by and started for one account in the window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Tokens of requests that arrived.
    pub requested_tokens: u32,
    /// Tokens of requests that were sent to an engine.
    pub started_tokens: u32,
}

impl Usage {
    /// Adds other usage.
    pub fn add(&mut self, other: Self) {
        self.requested_tokens = self.requested_tokens.saturating_add(other.requested_tokens);
        self.started_tokens = self.started_tokens.saturating_add(other.started_tokens);
    }

    /// Returns the usage times `numerator / denominator`.
    fn scaled(self, numerator: u64, denominator: u64) -> Self {
        let scale = |tokens: u32| (u64::from(tokens) * numerator / denominator) as u32;
        Self {
            requested_tokens: scale(self.requested_tokens),
            started_tokens: scale(self.started_tokens),
        }
    }

    /// Subtracts usage that was added before.
    pub fn subtract(&mut self, other: Self) {
        self.requested_tokens = self.requested_tokens.saturating_sub(other.requested_tokens);
        self.started_tokens = self.started_tokens.saturating_sub(other.started_tokens);
    }
}

/// Usage by account, in a sliding window in which older usage weighs less: this host's own, and what other hosts
/// reported. Accounts are identified by the hash of their name.
#[derive(Debug)]
pub struct AccountShares {
    window: Duration,
    capacity_per_s: Option<f64>,
    own: IntMap<u64, [Usage; BUCKETS as usize]>,
    bucket: u64,
    reported: IntMap<u64, (Duration, Vec<(u64, Usage)>)>,
    totals: IntMap<u64, Usage>,
    unreported: UnreportedStarts,
    fair_share: f64,
    /// Fewest tokens started for a backlogged account; infinite if no account is backlogged.
    least_started: f64,
}

impl AccountShares {
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            capacity_per_s: None,
            own: IntMap::default(),
            bucket: 0,
            reported: IntMap::default(),
            totals: IntMap::default(),
            unreported: UnreportedStarts::default(),
            fair_share: f64::INFINITY,
            least_started: f64::INFINITY,
        }
    }

    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Sets the tokens that all engines together process in a second.
    pub fn set_capacity(&mut self, tokens_per_s: Option<f64>) {
        self.capacity_per_s = tokens_per_s;
    }

    /// Counts a request that arrived.
    pub fn on_arrived(&mut self, now: Duration, account: u64, tokens: f64) {
        let requested_tokens = tokens as u32;
        self.count(
            now,
            account,
            Usage {
                requested_tokens,
                started_tokens: 0,
            },
        );
    }

    /// Counts a request that was sent to an engine.
    pub fn on_started(&mut self, now: Duration, account: u64, tokens: f64) {
        let started_tokens = tokens as u32;
        self.count(
            now,
            account,
            Usage {
                requested_tokens: 0,
                started_tokens,
            },
        );
        let at = now;
        self.unreported.add(StartedRequest {
            at,
            account,
            tokens,
        });
        self.estimate_unreported(account);
    }

    /// Removes a request that was sent at `started_at` and did not run. The sums change at the next tick.
    ///
    /// When engines fail, a request may fail to connect to several of them. If each attempt were charged, the account
    /// would be refused as over its share for work that was never done.
    pub fn on_not_run(&mut self, now: Duration, started_at: Duration, account: u64, tokens: f64) {
        self.advance(now);
        let bucket = self.bucket_at(started_at);
        let has_left = bucket + BUCKETS <= self.bucket;
        if let Some(buckets) = self.own.get_mut(&account).filter(|_| !has_left) {
            let started_tokens = tokens as u32;
            buckets[(bucket % BUCKETS) as usize].subtract(Usage {
                requested_tokens: 0,
                started_tokens,
            });
        }
        let at = started_at;
        self.unreported.remove(StartedRequest {
            at,
            account,
            tokens,
        });
    }

    /// Stores another host's sums over its window.
    pub fn on_report(&mut self, now: Duration, host: u64, usage: Vec<(u64, Usage)>) {
        self.reported.insert(host, (now, usage));
    }

    /// Returns this host's sums over the window, for its report.
    pub fn own(&self) -> Vec<(u64, Usage)> {
        let sums = self
            .own
            .iter()
            .map(|(account, buckets)| (*account, self.weighted_sum(buckets)));
        sums.filter(|(_, usage)| *usage != Usage::default())
            .collect()
    }

    /// Updates the sums and the fair share. Call it several times a second.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        self.reported
            .retain(|_, (at, _)| now.saturating_sub(*at) <= MAX_REPORT_AGE);
        self.totals.clear();
        for (account, usage) in self.own() {
            self.totals.entry(account).or_default().add(usage);
        }
        for (_, usages) in self.reported.values() {
            for (account, usage) in usages {
                self.totals.entry(*account).or_default().add(*usage);
            }
        }
        self.fair_share = self.compute_fair_share();
        self.least_started = self.compute_least_started();
        for account in self.unreported.tick(now) {
            self.estimate_unreported(account);
        }
    }

    /// Returns the tokens started for the account, as a multiple of its fair share. Above 1 it is over its share.
    ///
    /// The estimate of unreported starts at other hosts does not count here: accounts close to their share would be
    /// refused while engines have capacity.
    pub fn share_used(&self, account: u64) -> f64 {
        if !self.fair_share.is_finite() {
            return 0.0;
        }
        let used = self.totals.get(&account).copied().unwrap_or_default();
        f64::from(used.started_tokens) / self.fair_share.max(1.0)
    }

    /// Returns the tokens that all accounts requested from this host and from the whole fleet.
    pub fn requested_here_and_in_fleet(&self) -> (f64, f64) {
        let here = self.own().into_iter().map(|(_, usage)| usage);
        let in_fleet = self.totals.values().copied();
        let requested = |usage: Usage| f64::from(usage.requested_tokens);
        (here.map(requested).sum(), in_fleet.map(requested).sum())
    }

    /// Returns the tokens that the account requested, as a multiple of its fair share.
    pub fn share_requested(&self, account: u64) -> f64 {
        let used = self.totals.get(&account).copied().unwrap_or_default();
        f64::from(used.requested_tokens) / self.fair_share.max(1.0)
    }

    /// Returns the tokens started for the backlogged account with the fewest, as a multiple of its fair share; infinite
    /// if no account is backlogged.
    pub fn least_share_used(&self) -> f64 {
        match self.fair_share.is_finite() {
            true => self.least_started / self.fair_share.max(1.0),
            false => f64::INFINITY,
        }
    }

    /// Compares the account with the backlogged one for which the fewest tokens were started.
    ///
    /// A backlogged account may be limited by its host, which its callers fill. The remaining capacity of the engines
    /// then goes to accounts on other hosts, and the gap between the two grows without bound.
    pub fn lead(&self, account: u64) -> Lead {
        let started = self.started_with_estimate(account);
        if started > self.least_started * TOO_LARGE_LEAD_RATIO {
            Lead::TooLarge
        } else if started > self.least_started * LARGE_LEAD_RATIO {
            Lead::Large
        } else {
            Lead::Small
        }
    }

    /// Returns the max-min fair share in tokens per window; infinite if all requested tokens fit.
    pub fn fair_share(&self) -> f64 {
        self.fair_share
    }

    fn count(&mut self, now: Duration, account: u64, usage: Usage) {
        self.advance(now);
        let slot = (self.bucket % BUCKETS) as usize;
        let buckets = self.own.entry(account).or_default();
        buckets[slot].add(usage);
        // The total changes at once, so that requests that arrive together don't all see the old state.
        self.totals.entry(account).or_default().add(usage);
    }

    fn advance(&mut self, now: Duration) {
        let bucket = self.bucket_at(now);
        let steps = bucket.saturating_sub(self.bucket).min(BUCKETS);
        for step in 1..=steps {
            let slot = ((self.bucket + step) % BUCKETS) as usize;
            for buckets in self.own.values_mut() {
                buckets[slot] = Usage::default();
            }
        }
        self.bucket = self.bucket.max(bucket);
        self.own
            .retain(|_, buckets| buckets.iter().any(|used| *used != Usage::default()));
    }

    fn bucket_at(&self, at: Duration) -> u64 {
        let length = self.window.as_millis() as u64 / BUCKETS;
        at.as_millis() as u64 / length.max(1)
    }

    /// Sums usage weighted by age. The newest bucket counts twice and the oldest least, so that steady usage has about
    /// the same sum as without weights.
    fn weighted_sum(&self, buckets: &[Usage; BUCKETS as usize]) -> Usage {
        let mut total = Usage::default();
        for age in 0..BUCKETS.min(self.bucket + 1) {
            let slot = ((self.bucket - age) % BUCKETS) as usize;
            total.add(buckets[slot].scaled(2 * (BUCKETS - age), BUCKETS));
        }
        total
    }

    /// Returns the tokens started for the account by all hosts, unreported starts estimated.
    fn started_with_estimate(&self, account: u64) -> f64 {
        let known = self.totals.get(&account).copied().unwrap_or_default();
        f64::from(known.started_tokens) + self.unreported.tokens(account)
    }

    /// Estimates what other hosts started for the account and have not reported: as much as this host relative to the
    /// tokens requested from them, and at most the tokens requested from them in that time.
    fn estimate_unreported(&mut self, account: u64) {
        let own = self.own.get(&account);
        let own_requested = own.map_or(0, |buckets| self.weighted_sum(buckets).requested_tokens);
        let total = self.totals.get(&account).copied().unwrap_or_default();
        let others_requested = f64::from(total.requested_tokens.saturating_sub(own_requested));
        let ratio = others_requested / f64::from(own_requested.max(1));
        let max_tokens = others_requested * REPORT_DELAY.as_secs_f64() / self.window.as_secs_f64();
        self.unreported.estimate(account, ratio, max_tokens);
    }

    /// Returns the fewest tokens started for a backlogged account, but at least [`MIN_BACKLOGGED_RATIO`] of the share.
    fn compute_least_started(&self) -> f64 {
        if !self.fair_share.is_finite() {
            return f64::INFINITY;
        }
        let backlogged = self.totals.values().filter(|usage| {
            let (requested, started) = (
                f64::from(usage.requested_tokens),
                f64::from(usage.started_tokens),
            );
            requested > self.fair_share && requested > started * BACKLOGGED_RATIO
        });
        let least = backlogged.map(|usage| f64::from(usage.started_tokens));
        let least = least.fold(f64::INFINITY, f64::min);
        least.max(self.fair_share * MIN_BACKLOGGED_RATIO)
    }

    fn compute_fair_share(&self) -> f64 {
        let Some(capacity) = self.capacity_per_s else {
            return f64::INFINITY;
        };
        // Started tokens may exceed the stated capacity, since cached prompts cost engines less than their length.
        // They count as capacity then, so that accounts that request more still get a common finite share.
        let started = self
            .totals
            .values()
            .map(|usage| f64::from(usage.started_tokens));
        let capacity = (capacity * self.window.as_secs_f64()).max(started.sum());
        let requested = self
            .totals
            .values()
            .map(|usage| f64::from(usage.requested_tokens));
        max_min_share(requested.collect(), capacity)
    }
}

/// Returns the largest share for which the sum of the lesser of each request and the share fits into `capacity`;
/// infinite if all requests fit.
///
/// ```
/// use sedgeridge_fleet::account_shares::max_min_share;
///
/// assert_eq!(max_min_share(vec![10.0, 50.0, 90.0], 90.0), 40.0);
/// assert_eq!(max_min_share(vec![10.0, 20.0], 90.0), f64::INFINITY);
/// ```
pub fn max_min_share(mut requested: Vec<f64>, capacity: f64) -> f64 {
    requested.sort_by(f64::total_cmp);
    let mut capacity_left = capacity;
    let mut accounts_left = requested.len();
    for request in requested {
        let even_share = capacity_left / accounts_left as f64;
        if request > even_share {
            return even_share;
        }
        capacity_left -= request;
        accounts_left -= 1;
    }
    f64::INFINITY
}
