//! Which of its callers' requests a host without the processor time for all of them sends to other hosts.
//!
//! The balancer leads all connections of a client to one host, which may get more than it can forward while others of
//! its data centre are idle. A request that is refused at once comes back to another host within its latency target;
//! one that waits for the processor is late here, and so is everybody else's.
//!
//! Accounts that have had most of their share are shed first. Chosen without regard to the account, requests of one
//! that has had little are turned away while others of one that is far over its share are sent.

use std::time::Duration;

use nohash_hasher::IntMap;

use crate::account_shares::max_min_share;

/// Lateness of the event loop's timers from which on requests are shed.
const LATE: Duration = Duration::from_millis(20);
/// Added to the part that is shed for each such time by which a timer is late. The further the loop is behind, the fewer
/// timers there are to tell of it.
const RISE: f64 = 0.1;
/// Taken from it at each timer that is in time.
const FALL: f64 = 0.03;
/// Largest part that is shed: some requests have to show whether there is time again.
const MOST: f64 = 0.98;
/// Time between two looks whether a host that sheds all accounts over their share still falls behind. While it catches
/// up, others are left alone.
const TREND_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the requests below which those of accounts over their share are too few to relieve the host.
const FEW: f64 = 0.2;
/// Time after which older requests of an account count less.
const FADE_INTERVAL: Duration = Duration::from_millis(50);
/// Part of an account's requests that still counts after that time: about the last half second does.
const REMEMBERED: f64 = 0.9;
/// Requests below which an account is forgotten.
const FEWEST: f64 = 0.01;

/// The parts that are shed, found out from how late timers are, and their division among accounts.
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
    /// Part of the requests of accounts over their share.
    over_part: f64,
    /// Part of the requests of others.
    within_part: f64,
    /// How late timers are while as much of the former is shed as may be.
    trend: Option<Trend>,
    accounts: IntMap<u64, AccountTurns>,
    next_fade: Duration,
}

#[derive(Debug)]
struct Trend {
    noted_at: Duration,
    late: Duration,
    is_rising: bool,
}

/// The recent requests of one account.
#[derive(Debug, Default)]
struct AccountTurns {
    requests: f64,
    /// What the account was given, as a multiple of its fair share.
    share_used: f64,
    /// Part of its requests that is shed.
    part: f64,
    due: f64,
}

impl AccountTurns {
    fn is_over_share(&self) -> bool {
        self.share_used > 1.0
    }

    fn set_shed(&mut self, requests: f64) {
        self.part = requests / self.requests.max(FEWEST);
    }
}

impl LoadShedding {
    /// Notes how late a timer was.
    pub fn on_timer(&mut self, now: Duration, late: Duration) {
        match Self::is_late(late) {
            true => self.rise(now, late),
            false => self.fall(),
        }
        self.fade(now);
        if self.is_active() {
            self.divide();
        }
    }

    /// Tells whether a timer is so late that requests are shed for it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::load_shedding::LoadShedding;
    ///
    /// assert!(!LoadShedding::is_late(Duration::from_millis(5)));
    /// assert!(LoadShedding::is_late(Duration::from_millis(50)));
    /// ```
    pub fn is_late(late: Duration) -> bool {
        late > LATE
    }

    /// Tells whether any requests are shed.
    pub fn is_active(&self) -> bool {
        self.over_part > 0.0 || self.within_part > 0.0
    }

    fn rise(&mut self, now: Duration, late: Duration) {
        let by = RISE * late.as_secs_f64() / LATE.as_secs_f64();
        self.over_part = (self.over_part + by).min(MOST);
        if self.has_few_over() || self.falls_further_behind(now, late) {
            self.within_part = (self.within_part + by).min(MOST);
        }
    }

    fn has_few_over(&self) -> bool {
        let requests = |turns: &AccountTurns| turns.requests;
        let all: f64 = self.accounts.values().map(requests).sum();
        let over = self.accounts.values().filter(|turns| turns.is_over_share());
        over.map(requests).sum::<f64>() <= all * FEW
    }

    /// Tells whether lateness rises though as many requests of accounts over their share are shed as may be.
    fn falls_further_behind(&mut self, now: Duration, late: Duration) -> bool {
        if self.over_part < MOST {
            self.trend = None;
            return false;
        }
        let trend = self.trend.get_or_insert(Trend {
            noted_at: now,
            late,
            is_rising: false,
        });
        if now.saturating_sub(trend.noted_at) >= TREND_INTERVAL {
            *trend = Trend {
                noted_at: now,
                late,
                is_rising: late >= trend.late,
            };
        }
        trend.is_rising
    }

    fn fall(&mut self) {
        self.trend = None;
        if self.within_part > 0.0 {
            self.within_part = (self.within_part - FALL).max(0.0);
        } else {
            self.over_part = (self.over_part - FALL).max(0.0);
        }
    }

    fn fade(&mut self, now: Duration) {
        if now < self.next_fade {
            return;
        }
        self.next_fade = now + FADE_INTERVAL;
        for turns in self.accounts.values_mut() {
            turns.requests *= REMEMBERED;
        }
        self.accounts.retain(|_, turns| turns.requests > FEWEST);
    }

    /// Counts a request that is not shed. `share_used` is what its account was given, as a multiple of its fair share.
    pub fn count_kept(&mut self, account: u64, share_used: f64) {
        self.turns(account, share_used).requests += 1.0;
    }

    /// Tells whether the next request, which is one of `account`, is shed, and counts it if it is.
    pub fn try_shed(&mut self, account: u64, share_used: f64) -> bool {
        if !self.is_active() {
            return false;
        }
        let turns = self.turns(account, share_used);
        turns.due += turns.part;
        let is_due = turns.due >= 1.0;
        if is_due {
            turns.due -= 1.0;
            turns.requests += 1.0;
        }
        is_due
    }

    fn turns(&mut self, account: u64, share_used: f64) -> &mut AccountTurns {
        let part = match share_used > 1.0 {
            true => self.over_part,
            false => self.within_part,
        };
        let turns = self.accounts.entry(account).or_insert(AccountTurns {
            part,
            ..AccountTurns::default()
        });
        turns.share_used = share_used;
        turns
    }

    /// Divides what is shed among accounts: of those over their share the furthest ahead come first, of the others
    /// those with most requests here.
    fn divide(&mut self) {
        let mut accounts: Vec<_> = self.accounts.values_mut().collect();
        accounts.sort_by(|one, other| other.share_used.total_cmp(&one.share_used));
        let over = accounts.partition_point(|turns| turns.is_over_share());
        let (over, within) = accounts.split_at_mut(over);
        let mut to_shed = sum_of_requests(over) * self.over_part;
        for turns in over {
            let shed = to_shed.min(turns.requests);
            turns.set_shed(shed);
            to_shed -= shed;
        }
        let kept = sum_of_requests(within) * (1.0 - self.within_part);
        let requests = within.iter().map(|turns| turns.requests);
        let most_kept = max_min_share(requests.collect(), kept);
        for turns in within {
            let shed = (turns.requests - most_kept).max(0.0);
            turns.set_shed(shed);
        }
    }
}

fn sum_of_requests(accounts: &[&mut AccountTurns]) -> f64 {
    accounts.iter().map(|turns| turns.requests).sum()
}
