//! Decides when a host leaves the load balancer's rotation, so that new connections of its callers reach hosts of its data
//! centre that have processor time left.
//!
//! The balancer leads all connections of a client to one host as long as that host is ready. Hosts decide for themselves,
//! by their own timers and by the number of hosts in their data centre that are pressed or have left.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::hashing::pair_hash;

/// Weight of the newest timer in the mean delay, which covers about the last five.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean delay of timers from which the host is pressed: a tenth of the shortest latency targets, spent on waiting alone.
/// Requests are shed from a longer delay, so that callers are moved first.
const PRESSED_MEAN: Duration = Duration::from_millis(10);
/// Mean delay of timers below which the host is no longer pressed.
const RECOVERED_MEAN: Duration = Duration::from_millis(5);
/// Mean delay of timers from which the host is overloaded, that is, has more to do than its processor share allows.
const OVERLOADED_MEAN: Duration = Duration::from_millis(80);
/// Mean delay of timers below which the host is no longer overloaded.
const NOT_OVERLOADED_MEAN: Duration = Duration::from_millis(15);
/// Time for which a host is pressed before it leaves. Its report of it reaches the others meanwhile.
const PRESSED_TIME: Duration = Duration::from_millis(200);
/// Shortest time out of rotation. The balancer asks once a second and acts on the second answer, so that a host that is not
/// ready for two seconds may have moved nobody.
const MIN_RELIEF: Duration = Duration::from_secs(4);
/// Longest time out of rotation.
const MAX_RELIEF: Duration = Duration::from_secs(8);
/// Time after a return within which the next relief lasts twice as long.
const RETURN_WINDOW: Duration = Duration::from_secs(5);
/// Fraction of its time that a host may be out of rotation in the long run.
const RELIEF_RATIO: f64 = 0.125;
/// Most time out of rotation that a host saves up.
const MAX_CREDIT: Duration = Duration::from_secs(16);
/// Hosts of a data centre for each one that may be out of rotation. With fewer than half of the hosts left, the balancer
/// uses all of them.
const HOSTS_PER_RELIEVED: u32 = 3;
/// Answers to the balancer after which it leads no new connections to a host that is not ready.
const UNREADY_ANSWERS: u32 = 2;
/// Time between two kept connections that a relieved host closes. Callers open as many anew elsewhere, so that they reach
/// the next host bit by bit.
const CLOSE_INTERVAL: Duration = Duration::from_millis(25);
/// Largest processor share of a host that is believed, in thousandths of a core.
const MAX_PROCESSOR_MILLICORES: u32 = 1_000_000;

/// Load of the hosts of a data centre, or of one of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct HostLoads {
    /// Hosts that are counted.
    #[serde(rename = "h")]
    pub hosts: u32,
    /// Hosts in rotation that have too little processor time.
    #[serde(rename = "p")]
    pub pressed: u32,
    /// Hosts that left the rotation for lack of processor time.
    #[serde(rename = "r")]
    pub relieved: u32,
    /// Processor share of all, in thousandths of a core; 0 if it is not known.
    #[serde(rename = "c")]
    pub processor_millicores: u32,
    /// Processor share of the relieved ones.
    #[serde(rename = "d")]
    pub relieved_millicores: u32,
}

impl HostLoads {
    /// Adds other hosts.
    ///
    /// ```
    /// use sedgeridge_fleet::host_load::HostLoads;
    ///
    /// let one = HostLoads { hosts: 1, pressed: 1, ..HostLoads::default() };
    /// let mut sum = one;
    /// sum.add(&one);
    /// assert_eq!((sum.hosts, sum.pressed), (2, 2));
    /// ```
    pub fn add(&mut self, other: &Self) {
        self.hosts = self.hosts.saturating_add(other.hosts);
        self.pressed = self.pressed.saturating_add(other.pressed);
        self.relieved = self.relieved.saturating_add(other.relieved);
        self.processor_millicores = self
            .processor_millicores
            .saturating_add(other.processor_millicores);
        self.relieved_millicores = self
            .relieved_millicores
            .saturating_add(other.relieved_millicores);
    }

    /// Returns these counts with impossible ones cut to what `max_hosts` hosts can report.
    ///
    /// ```
    /// use sedgeridge_fleet::host_load::HostLoads;
    ///
    /// let wrong = HostLoads { hosts: 900, relieved: 800, ..HostLoads::default() };
    /// let bounded = wrong.bounded(4);
    /// assert_eq!((bounded.hosts, bounded.relieved), (4, 4));
    /// ```
    #[must_use]
    pub fn bounded(&self, max_hosts: u32) -> Self {
        let hosts = self.hosts.min(max_hosts);
        let relieved = self.relieved.min(hosts);
        let max_millicores = MAX_PROCESSOR_MILLICORES.saturating_mul(hosts);
        let processor_millicores = self.processor_millicores.min(max_millicores);
        Self {
            hosts,
            pressed: self.pressed.min(hosts - relieved),
            relieved,
            processor_millicores,
            relieved_millicores: self.relieved_millicores.min(processor_millicores),
        }
    }

    fn max_relieved(&self) -> u32 {
        (self.hosts / HOSTS_PER_RELIEVED).max(1)
    }

    /// Tells whether more than half of the hosts have too little processor time, so that moving callers helps nobody.
    fn are_mostly_loaded(&self) -> bool {
        self.pressed.saturating_add(self.relieved).saturating_mul(2) > self.hosts
    }

    /// Tells whether the hosts that stay have the processor share of those that leave several times over. One host that is
    /// no larger than the mean may always leave.
    fn can_spare(&self, millicores: u32) -> bool {
        let leaving = self.relieved_millicores.saturating_add(millicores);
        let is_small = leaving.saturating_mul(HOSTS_PER_RELIEVED) <= self.processor_millicores;
        let is_first_of_mean_size = self.relieved == 0
            && millicores.saturating_mul(self.hosts) <= self.processor_millicores;
        self.processor_millicores == 0 || is_small || is_first_of_mean_size
    }
}

/// Load of this host, and its time out of rotation.
#[derive(Debug)]
pub struct HostLoad {
    host: u64,
    processor_millicores: u32,
    mean_delay_s: f64,
    is_overloaded: bool,
    has_reports: bool,
    pressed_since: Option<Duration>,
    relief: Option<Relief>,
    last_relief: Option<LastRelief>,
    /// Time for which the host may still be out of rotation.
    credit: Duration,
    credited_at: Option<Duration>,
    unready_answers: u32,
    next_close_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Relief {
    since: Duration,
    /// Shortest time until the return.
    hold: Duration,
}

#[derive(Debug, Clone, Copy)]
struct LastRelief {
    ended_at: Duration,
    hold: Duration,
}

impl HostLoad {
    /// Creates the state of a host in rotation. `host` is the hash of its name.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::host_load::{HostLoad, HostLoads};
    ///
    /// let mut load = HostLoad::new(7, 90);
    /// let pressed = HostLoads { hosts: 8, pressed: 1, processor_millicores: 720, ..HostLoads::default() };
    /// for tick in 0..40 {
    ///     let now = Duration::from_millis(60 * tick);
    ///     load.on_timer(now, Duration::from_millis(40), Some(pressed));
    /// }
    /// assert!(load.is_relieved() && !load.takes_callers());
    /// ```
    pub fn new(host: u64, processor_millicores: u32) -> Self {
        Self {
            host,
            processor_millicores: processor_millicores.min(MAX_PROCESSOR_MILLICORES),
            mean_delay_s: 0.0,
            is_overloaded: false,
            has_reports: false,
            pressed_since: None,
            relief: None,
            last_relief: None,
            credit: MAX_CREDIT,
            credited_at: None,
            unready_answers: 0,
            next_close_at: Duration::ZERO,
        }
    }

    /// Records a timer that fired `delay` after it was due, and decides whether the host leaves or returns. `reported` is the load of the data centre if recent reports tell it. Returns
    /// whether the host left or returned.
    pub fn on_timer(
        &mut self,
        now: Duration,
        delay: Duration,
        reported: Option<HostLoads>,
    ) -> bool {
        self.has_reports = reported.is_some();
        self.record(delay);
        self.update_pressed(now);
        self.update_credit(now);
        match self.relief {
            None if self.should_leave(now, reported) => self.leave(now),
            Some(relief) if self.should_return(now, relief, reported) => {
                self.relief = None;
                self.last_relief = Some(LastRelief {
                    ended_at: now,
                    hold: relief.hold,
                });
            }
            _ => return false,
        }
        true
    }

    /// Returns whether the host should get new connections of callers. Without reports of other hosts it leaves while it is
    /// overloaded, as it cannot tell how many others have left.
    pub fn takes_callers(&self) -> bool {
        self.relief.is_none() && (self.has_reports || !self.is_overloaded)
    }

    /// Returns whether the host has left the rotation so that its callers reach others.
    pub fn is_relieved(&self) -> bool {
        self.relief.is_some()
    }

    /// Returns whether the host has much more to do than its processor share allows.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Returns the mean delay of the last timers.
    pub fn mean_delay(&self) -> Duration {
        Duration::from_secs_f64(self.mean_delay_s)
    }

    /// Returns this host's part of the load of its data centre.
    pub fn own(&self) -> HostLoads {
        let relieved = u32::from(self.is_relieved());
        HostLoads {
            hosts: 1,
            pressed: u32::from(self.pressed_since.is_some()) * (1 - relieved),
            relieved,
            processor_millicores: self.processor_millicores,
            relieved_millicores: self.processor_millicores * relieved,
        }
    }

    /// Decides whether the connection of a refused request is closed, so that its caller reaches another host with the next
    /// one. Closed connections are spread over time.
    pub fn try_close(&mut self, now: Duration) -> bool {
        let is_out = self.is_relieved() && self.unready_answers >= UNREADY_ANSWERS;
        let closes = is_out && now >= self.next_close_at;
        if closes {
            self.next_close_at = now + CLOSE_INTERVAL;
        }
        closes
    }

    /// Records whether the host told the balancer that it is ready.
    pub fn on_ready_answer(&mut self, is_ready: bool) {
        self.unready_answers = match is_ready {
            true => 0,
            false => self.unready_answers.saturating_add(1),
        };
    }

    fn record(&mut self, delay: Duration) {
        self.mean_delay_s += (delay.as_secs_f64() - self.mean_delay_s) * NEWEST_WEIGHT;
        if self.mean_delay_s >= OVERLOADED_MEAN.as_secs_f64() {
            self.is_overloaded = true;
        } else if self.mean_delay_s <= NOT_OVERLOADED_MEAN.as_secs_f64() {
            self.is_overloaded = false;
        }
    }

    fn update_pressed(&mut self, now: Duration) {
        if self.mean_delay_s >= PRESSED_MEAN.as_secs_f64() {
            self.pressed_since.get_or_insert(now);
        } else if self.mean_delay_s <= RECOVERED_MEAN.as_secs_f64() {
            self.pressed_since = None;
        }
    }

    fn update_credit(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.credited_at.replace(now).unwrap_or(now));
        self.credit += elapsed.mul_f64(RELIEF_RATIO);
        self.credit = self.credit.min(MAX_CREDIT);
        if self.is_relieved() {
            self.credit = self.credit.saturating_sub(elapsed);
        }
    }

    fn should_leave(&self, now: Duration, reported: Option<HostLoads>) -> bool {
        let is_pressed = |since| now.saturating_sub(since) >= PRESSED_TIME;
        let Some(hosts) = reported.filter(|hosts| hosts.hosts > 1) else {
            return false;
        };
        let is_needed = self.pressed_since.is_some_and(is_pressed) && self.credit >= MIN_RELIEF;
        let has_room = !hosts.are_mostly_loaded() && hosts.can_spare(self.processor_millicores);
        let free = hosts.max_relieved().saturating_sub(hosts.relieved);
        is_needed && has_room && self.is_among(now, free, hosts.pressed.max(1))
    }

    fn should_return(&self, now: Duration, relief: Relief, reported: Option<HostLoads>) -> bool {
        let Some(hosts) = reported else {
            return true;
        };
        let relieved_for = now.saturating_sub(relief.since);
        let is_over = relieved_for >= MAX_RELIEF || self.credit.is_zero();
        let is_recovered = relieved_for >= relief.hold && self.pressed_since.is_none();
        let is_too_many = !self.is_among(now, hosts.max_relieved(), hosts.relieved);
        is_over || is_recovered || is_too_many || hosts.are_mostly_loaded()
    }

    /// Tells whether this host is among the `places` of `count` hosts by rank. Ranks change each second, so that no host is
    /// always last.
    fn is_among(&self, now: Duration, places: u32, count: u32) -> bool {
        let rank = pair_hash(self.host, now.as_secs()) as f64 / u64::MAX as f64;
        places >= count || rank * f64::from(count) < f64::from(places)
    }

    fn leave(&mut self, now: Duration) {
        let is_recent = |last: &LastRelief| now.saturating_sub(last.ended_at) <= RETURN_WINDOW;
        let again = self.last_relief.filter(is_recent);
        let hold = again.map_or(MIN_RELIEF, |last| (last.hold * 2).min(MAX_RELIEF));
        self.relief = Some(Relief { since: now, hold });
    }
}
