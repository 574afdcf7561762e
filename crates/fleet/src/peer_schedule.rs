//! When a host reports what to whom.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Shortest time between two reports in a small fleet. An engine gets about three requests meanwhile.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time between reports for each other host of a small fleet, so that they stay below a hundred a
/// second and host.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(12);
/// Requests that a host starts before it reports, also before its interval is over. Loads that the
/// others do not know of are bounded by this for each host, and hosts with little work stay quiet.
const UNREPORTED_STARTS: u32 = 20;
/// Time between two sums of one relay for each host of the fleet, so that a relay of any size sends a few
/// hundred sums a second. Work that a host does not know of yet draws its requests to engines that only
/// seem idle.
const RELAY_INTERVAL_PER_HOST: Duration = Duration::from_millis(1);
/// Bounds of that time. In the largest fleets bytes matter more, since each sum holds more engines.
const RELAY_INTERVALS: RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_millis(300);
/// Relays of a data centre that take turns in telling other data centres, whose relays hear each of
/// them. Bytes between data centres are paid for.
const TURNS: u32 = 2;
/// Shortest time between two reports to the relays.
const MIN_MEMBER_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between signs of life of a host that follows the store: others take its place when
/// it is silent for three of them.
const FOLLOWER_PRESENCE_INTERVAL: Duration = Duration::from_millis(700);

/// Times of the next reports.
#[derive(Debug, Default)]
pub struct PeerSchedule {
    report_at: Duration,
    sums_at: Duration,
    sums_made: u32,
    presence_at: Duration,
    unreported: u32,
}

impl PeerSchedule {
    /// Counts a request that was started.
    pub fn on_started(&mut self) {
        self.unreported += 1;
    }

    /// Returns how many requests were started since the last report.
    pub fn unreported_starts(&self) -> u32 {
        self.unreported
    }

    /// Notes that the own work was reported.
    pub fn on_reported(&mut self) {
        self.unreported = 0;
    }

    /// Makes the next sign of life, and in a small fleet the next report, due at once.
    pub fn make_due_now(&mut self) {
        self.report_at = Duration::ZERO;
        self.presence_at = Duration::ZERO;
    }

    /// Tells whether a report to all hosts of a small fleet is due, and plans the next one.
    pub fn take_due_report(&mut self, now: Duration, hosts: usize) -> bool {
        let interval = REPORT_INTERVAL_PER_HOST.saturating_mul(hosts as u32);
        self.takes_own(now, interval.max(MIN_REPORT_INTERVAL))
    }

    /// Tells whether a report to the relays is due, and plans the next one. There are two for each sum.
    pub fn take_due_member_report(&mut self, now: Duration, hosts: usize) -> bool {
        let interval = relay_interval(hosts) / 2;
        self.takes_own(now, interval.max(MIN_MEMBER_INTERVAL))
    }

    /// Tells whether a relay's sums are due, and plans the next ones.
    pub fn take_due_sums(&mut self, now: Duration, hosts: usize) -> bool {
        take(&mut self.sums_at, now, relay_interval(hosts))
    }

    /// Tells whether the sum that is due is sent to other data centres too. The first two relays of a data
    /// centre, `rank` 0 and 1, take turns.
    pub fn take_remote_sum_turn(&mut self, hosts: usize, rank: usize) -> bool {
        self.sums_made += 1;
        let is_dense = relay_interval(hosts) * TURNS <= *RELAY_INTERVALS.end();
        !is_dense || (self.sums_made + rank as u32).is_multiple_of(TURNS)
    }

    /// Tells whether a sign of life is due, and plans the next one.
    pub fn take_due_heartbeat(
        &mut self,
        now: Duration,
        is_follower: bool,
        interval: Duration,
    ) -> bool {
        let interval = match is_follower {
            true => interval.min(FOLLOWER_PRESENCE_INTERVAL),
            false => interval,
        };
        take(&mut self.presence_at, now, interval)
    }

    fn takes_own(&mut self, now: Duration, interval: Duration) -> bool {
        if self.unreported >= UNREPORTED_STARTS {
            self.report_at = now;
        }
        take(&mut self.report_at, now, interval)
    }
}

/// Returns the time between two sums of one relay in a fleet of that many hosts.
fn relay_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let interval = RELAY_INTERVAL_PER_HOST.saturating_mul(hosts);
    interval.clamp(*RELAY_INTERVALS.start(), *RELAY_INTERVALS.end())
}

fn take(due_at: &mut Duration, now: Duration, interval: Duration) -> bool {
    let is_due = now >= *due_at;
    if is_due {
        *due_at = now + interval;
    }
    is_due
}
