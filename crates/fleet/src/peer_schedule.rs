//! Schedules what a host reports and to which hosts.

use std::ops::RangeInclusive;
use std::time::Duration;

/// Shortest time between two reports in a small fleet. An engine gets about three requests in that
/// time.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the report interval for each other host of a small fleet. It keeps a host below a
/// hundred reports a second.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(12);
/// Started requests after which a host reports before its interval is over. It bounds, for each
/// host, the load that the others do not know of, and hosts with little work send few reports.
const MAX_UNREPORTED_STARTS: u32 = 20;
/// Part of the interval between two sums of a relay for each host of the fleet. A relay thus sends
/// a few hundred sums a second in a fleet of any size. Work that a host does not know of yet draws
/// its requests to engines that only seem idle.
const SUM_INTERVAL_PER_HOST: Duration = Duration::from_millis(1);
/// Bounds of the interval between sums. In the largest fleets bytes matter more, since each sum
/// holds more engines.
const SUM_INTERVALS: RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_millis(300);
/// Relays of a data centre that take turns in sending sums to other data centres, whose relays
/// receive the sums of all of them. Bytes between data centres are paid for.
const REMOTE_SUM_TURNS: u32 = 2;
/// Shortest time between two reports to the relays.
const MIN_MEMBER_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between heartbeats of a host that follows the store. Other hosts take its place
/// after three missed heartbeats.
const MAX_FOLLOWER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Times of the next reports.
#[derive(Debug, Default)]
pub struct PeerSchedule {
    next_report_at: Duration,
    next_sums_at: Duration,
    sum_count: u32,
    next_heartbeat_at: Duration,
    unreported_starts: u32,
}

impl PeerSchedule {
    /// Counts a started request.
    pub fn on_started(&mut self) {
        self.unreported_starts += 1;
    }

    /// Returns the number of requests started since the last report.
    pub fn unreported_starts(&self) -> u32 {
        self.unreported_starts
    }

    /// Records that this host's work was reported.
    pub fn on_reported(&mut self) {
        self.unreported_starts = 0;
    }

    /// Makes the next heartbeat due now, and in a small fleet the next report.
    pub fn make_due_now(&mut self) {
        self.next_report_at = Duration::ZERO;
        self.next_heartbeat_at = Duration::ZERO;
    }

    /// Makes the next report of this host's work due now.
    pub fn make_report_due_now(&mut self) {
        self.next_report_at = Duration::ZERO;
    }

    /// Returns whether a report to all hosts of a small fleet is due, and schedules the next one.
    pub fn take_due_report(&mut self, now: Duration, hosts: usize) -> bool {
        let interval = REPORT_INTERVAL_PER_HOST.saturating_mul(hosts as u32);
        self.take_due_own_report(now, interval.max(MIN_REPORT_INTERVAL))
    }

    /// Returns whether a report to the relays is due, and schedules the next one. There are two
    /// reports for each sum.
    pub fn take_due_member_report(&mut self, now: Duration, hosts: usize) -> bool {
        let interval = sum_interval(hosts) / 2;
        self.take_due_own_report(now, interval.max(MIN_MEMBER_REPORT_INTERVAL))
    }

    /// Returns whether a relay's sums are due, and schedules the next ones.
    pub fn take_due_sums(&mut self, now: Duration, hosts: usize) -> bool {
        take_due(&mut self.next_sums_at, now, sum_interval(hosts))
    }

    /// Returns whether the sum that is due also goes to other data centres. The first two relays of
    /// a data centre, with `rank` 0 and 1, take turns.
    pub fn take_remote_sum_turn(&mut self, hosts: usize, rank: usize) -> bool {
        self.sum_count += 1;
        let is_frequent = sum_interval(hosts) * REMOTE_SUM_TURNS <= *SUM_INTERVALS.end();
        !is_frequent || (self.sum_count + rank as u32).is_multiple_of(REMOTE_SUM_TURNS)
    }

    /// Returns whether a heartbeat is due, and schedules the next one.
    pub fn take_due_heartbeat(
        &mut self,
        now: Duration,
        is_follower: bool,
        interval: Duration,
    ) -> bool {
        let interval = match is_follower {
            true => interval.min(MAX_FOLLOWER_HEARTBEAT_INTERVAL),
            false => interval,
        };
        take_due(&mut self.next_heartbeat_at, now, interval)
    }

    fn take_due_own_report(&mut self, now: Duration, interval: Duration) -> bool {
        if self.unreported_starts >= MAX_UNREPORTED_STARTS {
            self.next_report_at = now;
        }
        take_due(&mut self.next_report_at, now, interval)
    }
}

/// Returns the interval between two sums of a relay in a fleet of this size.
fn sum_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let interval = SUM_INTERVAL_PER_HOST.saturating_mul(hosts);
    interval.clamp(*SUM_INTERVALS.start(), *SUM_INTERVALS.end())
}

fn take_due(due_at: &mut Duration, now: Duration, interval: Duration) -> bool {
    let is_due = now >= *due_at;
    if is_due {
        *due_at = now + interval;
    }
    is_due
}
