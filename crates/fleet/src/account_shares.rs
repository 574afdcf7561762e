//! Max-min shares of the engines' tokens between client accounts, over the whole fleet.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::unreported_starts::REPORT_DELAY;
use crate::unreported_starts::StartedRequest;
use crate::unreported_starts::UnreportedStarts;

/// Parts into which the window is cut. Use fades in as many steps.
///
/// Use that counts in full until its window ends leaves a gap that all hosts see at the same time and
/// fill before they hear of each other. One account then begins in one second what it is due in several,
/// again and again; the engines' backlogs meanwhile refuse an account that one host serves. Use that
/// fades leaves no gap.
const BUCKETS: u64 = 8;
/// Age up to which another host's sums count.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2_500);

/// An account is backlogged if it asked for more than its share and for this much more than it got.
const BACKLOGGED_RATIO: f64 = 1.3;
/// Largest ratio between what two backlogged accounts are given. The users hold a ratio of two for
/// unfair; the rest is for requests that begin unevenly within the window, and for what hosts learn of
/// each other late.
const MOST_AHEAD: f64 = 1.2;
/// The same from which an account gets nothing, however idle the engines: each host's idle engines add up to
/// more than twice what a backlogged account gets. Lower, accounts of equal size hold each other back in
/// a burst.
const LARGEST_LEAD: f64 = 1.6;
/// Part of the share below which a backlogged account holds nobody back: its host may be cut off.
const LEAST_PART: f64 = 0.5;

/// How much more an account was given than a backlogged one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lead {
    /// No account is backlogged, or the difference is small.
    Small,
    /// So much that only idle engines should take its requests.
    Large,
    /// So much that it has to wait for the other one.
    TooLarge,
}

/// What one account asked for and was given in the window, in tokens.
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

    /// Returns the usage times a fraction.
    fn part(self, parts: u64, of: u64) -> Self {
        let of_tokens = |tokens: u32| (u64::from(tokens) * parts / of) as u32;
        Self {
            requested_tokens: of_tokens(self.requested_tokens),
            started_tokens: of_tokens(self.started_tokens),
        }
    }

    /// Takes away usage that was added before.
    pub fn subtract(&mut self, other: Self) {
        self.requested_tokens = self.requested_tokens.saturating_sub(other.requested_tokens);
        self.started_tokens = self.started_tokens.saturating_sub(other.started_tokens);
    }
}

/// Usage by account, named by the hash of its name, in a sliding window in which use fades: this
/// host's own and what other hosts reported.
#[derive(Debug)]
pub struct AccountShares {
    window: Duration,
    capacity_per_s: Option<f64>,
    own: IntMap<u64, [Usage; BUCKETS as usize]>,
    bucket: u64,
    reported: IntMap<u64, (Duration, Vec<(u64, Usage)>)>,
    totals: IntMap<u64, Usage>,
    unseen: UnreportedStarts,
    fair_share: f64,
    /// What the backlogged account that was given least has; infinite if none is backlogged.
    least: f64,
}

impl AccountShares {
    /// Creates shares without usage.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            capacity_per_s: None,
            own: IntMap::default(),
            bucket: 0,
            reported: IntMap::default(),
            totals: IntMap::default(),
            unseen: UnreportedStarts::default(),
            fair_share: f64::INFINITY,
            least: f64::INFINITY,
        }
    }

    /// Changes the window.
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
        self.unseen.begin(StartedRequest {
            at,
            account,
            tokens,
        });
        self.guess_unseen(account);
    }

    /// Takes back a request that was sent at `started_at` and did not run. The sums follow with the
    /// next tick.
    ///
    /// While engines are lost, a request may find no connection at one after another. Charged for
    /// each try, its account would be refused as over its share for work that nobody did.
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
        self.unseen.take_back(StartedRequest {
            at,
            account,
            tokens,
        });
    }

    /// Takes another host's sums over its window.
    pub fn on_report(&mut self, now: Duration, host: u64, usage: Vec<(u64, Usage)>) {
        self.reported.insert(host, (now, usage));
    }

    /// Returns this host's sums over the window, for its report.
    pub fn own(&self) -> Vec<(u64, Usage)> {
        let sums = self
            .own
            .iter()
            .map(|(account, buckets)| (*account, self.faded(buckets)));
        sums.filter(|(_, usage)| *usage != Usage::default())
            .collect()
    }

    /// Brings sums and the level up to date. Call it several times a second.
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
        self.least = self.least_backlogged();
        for account in self.unseen.tick(now) {
            self.guess_unseen(account);
        }
    }

    /// Returns what the account was given, as a multiple of its fair share. Above 1 it has had it.
    ///
    /// What other hosts probably began besides does not count here: it would refuse accounts about at
    /// their share while engines have room.
    pub fn share_used(&self, account: u64) -> f64 {
        if !self.fair_share.is_finite() {
            return 0.0;
        }
        let used = self.totals.get(&account).copied().unwrap_or_default();
        f64::from(used.started_tokens) / self.fair_share.max(1.0)
    }

    /// Returns what all accounts asked of this host and of the whole fleet, in tokens.
    pub fn requested_here_and_in_fleet(&self) -> (f64, f64) {
        let here = self.own().into_iter().map(|(_, usage)| usage);
        let in_all = self.totals.values().copied();
        let asked = |usage: Usage| f64::from(usage.requested_tokens);
        (here.map(asked).sum(), in_all.map(asked).sum())
    }

    /// Returns what the account asked for, as a multiple of its fair share.
    pub fn share_requested(&self, account: u64) -> f64 {
        let used = self.totals.get(&account).copied().unwrap_or_default();
        f64::from(used.requested_tokens) / self.fair_share.max(1.0)
    }

    /// Returns what the backlogged account that holds others back was given, as a multiple of its
    /// fair share; infinite if no account is backlogged.
    pub fn least_share_used(&self) -> f64 {
        match self.fair_share.is_finite() {
            true => self.least / self.fair_share.max(1.0),
            false => f64::INFINITY,
        }
    }

    /// Tells how far the account is ahead of the backlogged one that was given least.
    ///
    /// A backlogged account may be held up by its host, which its callers fill. What engines have
    /// left then goes to accounts on other hosts, and the gap between the two grows without bound.
    pub fn lead(&self, account: u64) -> Lead {
        let given = self.given(account);
        if given > self.least * LARGEST_LEAD {
            Lead::TooLarge
        } else if given > self.least * MOST_AHEAD {
            Lead::Large
        } else {
            Lead::Small
        }
    }

    /// Returns the share at which accounts are cut, in tokens a window; infinite when all fit.
    pub fn fair_share(&self) -> f64 {
        self.fair_share
    }

    fn count(&mut self, now: Duration, account: u64, usage: Usage) {
        self.advance(now);
        let slot = (self.bucket % BUCKETS) as usize;
        let buckets = self.own.entry(account).or_default();
        buckets[slot].add(usage);
        // Counted at once: requests that arrive together must not all see the state before them.
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

    /// Sums up use by its age. The newest counts twice and the oldest hardly, so that steady use has
    /// the same sum as if all counted once.
    fn faded(&self, buckets: &[Usage; BUCKETS as usize]) -> Usage {
        let mut total = Usage::default();
        for age in 0..BUCKETS.min(self.bucket + 1) {
            let slot = ((self.bucket - age) % BUCKETS) as usize;
            total.add(buckets[slot].part(2 * (BUCKETS - age), BUCKETS));
        }
        total
    }

    /// Returns what the account was given by all hosts, as far as this one knows or guesses.
    fn given(&self, account: u64) -> f64 {
        let known = self.totals.get(&account).copied().unwrap_or_default();
        f64::from(known.started_tokens) + self.unseen.tokens(account)
    }

    /// Guesses what other hosts began for the account: as much as this one by what they are asked
    /// for, and no more than that.
    fn guess_unseen(&mut self, account: u64) {
        let own = self.own.get(&account);
        let own_asked = own.map_or(0, |buckets| self.faded(buckets).requested_tokens);
        let total = self.totals.get(&account).copied().unwrap_or_default();
        let others_asked = f64::from(total.requested_tokens.saturating_sub(own_asked));
        let ratio = others_asked / f64::from(own_asked.max(1));
        let asked_meanwhile = others_asked * REPORT_DELAY.as_secs_f64() / self.window.as_secs_f64();
        self.unseen.guess(account, ratio, asked_meanwhile);
    }

    /// Returns what the backlogged account that was given least has, or part of the share if that is
    /// more.
    fn least_backlogged(&self) -> f64 {
        if !self.fair_share.is_finite() {
            return f64::INFINITY;
        }
        let backlogged = self.totals.values().filter(|usage| {
            let (asked, started) = (
                f64::from(usage.requested_tokens),
                f64::from(usage.started_tokens),
            );
            asked > self.fair_share && asked > started * BACKLOGGED_RATIO
        });
        let least = backlogged.map(|usage| f64::from(usage.started_tokens));
        let least = least.fold(f64::INFINITY, f64::min);
        least.max(self.fair_share * LEAST_PART)
    }

    /// Fills accounts evenly until the capacity is given out: the max-min share.
    fn compute_fair_share(&self) -> f64 {
        let Some(capacity) = self.capacity_per_s else {
            return f64::INFINITY;
        };
        // What was really given counts if it is more: cached prompts cost engines less than their
        // length. Accounts that still ask for more are then cut at one level, not at none.
        let given = self
            .totals
            .values()
            .map(|usage| f64::from(usage.started_tokens));
        let capacity = (capacity * self.window.as_secs_f64()).max(given.sum());
        let asked = self
            .totals
            .values()
            .map(|usage| f64::from(usage.requested_tokens));
        max_min_share(asked.collect(), capacity)
    }
}

/// Returns the largest share such that everyone gets the lesser of it and what they asked, and the
/// sum fits into `capacity`; infinite when everything fits.
///
/// ```
/// use sedgeridge_fleet::account_shares::max_min_share;
///
/// assert_eq!(max_min_share(vec![10.0, 50.0, 90.0], 90.0), 40.0);
/// assert_eq!(max_min_share(vec![10.0, 20.0], 90.0), f64::INFINITY);
/// ```
pub fn max_min_share(mut asked: Vec<f64>, capacity: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut others = asked.len();
    for ask in asked {
        let even = left / others as f64;
        if ask > even {
            return even;
        }
        left -= ask;
        others -= 1;
    }
    f64::INFINITY
}
