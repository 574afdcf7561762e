//! Failures of hosts, data centres and links between regions, in a simulated fleet.

use std::time::Duration;

use crate::design;
use crate::design::FleetSize;
use crate::fleet::Fleet;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

const JOIN_TIME: Duration = Duration::from_secs(5);
const FILL_TIME: Duration = Duration::from_secs(14);
const AGREE_LIMIT: Duration = Duration::from_secs(60);
/// Simulated duration of a partition; nothing changes after both sides have settled.
const PARTITION_TIME: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(20);
/// Time for moved homes to settle.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time after a planned stop in which gaps between grants are measured.
const PLANNED_STOP_WINDOW: Duration = Duration::from_secs(10);
/// Time before and after a failure over which traffic is compared.
const TRAFFIC_WINDOW: Duration = Duration::from_secs(15);

const METRICS: &[Metric] = &[
    Metric {
        name: "agree_s",
        title: "time until every host holds the failed ones for dead, s",
    },
    Metric {
        name: "grant_gap_s",
        title: "longest time without a grant in one pool, s",
    },
    Metric {
        name: "messages_ratio",
        title: "messages of the fleet in the 15 s after it, times those before",
    },
    Metric {
        name: "payload_ratio",
        title: "payload of the fleet in the 15 s after it, times that before",
    },
    Metric {
        name: "back_s",
        title: "time until every host knows the restarted ones, s",
    },
    Metric {
        name: "planned_gap_s",
        title: "longest time without a grant in one pool, its home told to stop, s",
    },
];

/// The home of a pool fails.
pub const HOST: Bench = Bench {
    name: "failure-host",
    size_title: "nodes; the home of a pool fails",
    sizes: &[50, 100, 200, 400],
    quick_sizes: &[16, 24, 32, 48],
    target: target::NODES,
    metrics: METRICS,
    is_timed: false,
    measure: measure_host,
};

/// A data centre fails.
pub const SITE: Bench = Bench {
    name: "failure-site",
    size_title: "nodes; a seventh of them fails at once",
    sizes: &[50, 100, 200, 400],
    quick_sizes: &[16, 24, 32, 48],
    target: target::NODES,
    metrics: METRICS,
    is_timed: false,
    measure: measure_site,
};

/// The links between two regions fail.
pub const REGION: Bench = Bench {
    name: "failure-region",
    size_title: "nodes; two regions lose each other",
    sizes: &[20, 40, 80, 160],
    quick_sizes: &[16, 24, 32, 48],
    target: target::NODES,
    metrics: &[
        Metric {
            name: "cut_agree_s",
            title: "time until each side holds the other for dead, s",
        },
        Metric {
            name: "cut_running",
            title: "requests at the engines in the cut, times those before it",
        },
        Metric {
            name: "cut_kb",
            title: "payload in the cut, times that before it",
        },
        Metric {
            name: "heal_agree_s",
            title: "time from the heal until all agree, s",
        },
        Metric {
            name: "heal_extra_kb",
            title: "payload more than without the cut, 15 s after the heal, KB",
        },
        Metric {
            name: "heal_member_part",
            title: "part of the payload in the 15 s after the heal that is membership's",
        },
        Metric {
            name: "heal_running",
            title: "most requests at the engines in the 15 s after the heal, times those before the cut",
        },
    ],
    is_timed: false,
    measure: measure_region,
};

fn loaded_fleet(point: Point) -> Fleet {
    let size = FleetSize::for_nodes(point.size as usize);
    let mut fleet = Fleet::new(size, point.seed);
    fleet.run_for(JOIN_TIME);
    fleet.start_callers();
    fleet.run_for(FILL_TIME);
    fleet
}

/// Runs for [`TRAFFIC_WINDOW`] and returns the messages and payload bytes sent in it.
fn sent_in_window(fleet: &mut Fleet) -> (f64, f64) {
    fleet.reset_costs();
    fleet.run_for(TRAFFIC_WINDOW);
    let (messages, bytes) = fleet.sent();
    (messages as f64, bytes as f64)
}

fn measure_host(point: Point) -> Sample {
    let mut fleet = loaded_fleet(point);
    let home = fleet.home_of(&design::pool_id(0));
    let mut sample = measure_failure(&mut fleet, &[home.expect("a pool has a home")]);
    fleet.run_for(SETTLE_TIME);
    let planned_gap = planned_stop(&mut fleet);
    sample.set("planned_gap_s", planned_gap.as_secs_f64());
    sample
}

fn measure_site(point: Point) -> Sample {
    let mut fleet = loaded_fleet(point);
    let home = fleet.home_of(&design::pool_id(0));
    let site = home.expect("a pool has a home") % design::SITE_COUNT;
    let hosts: Vec<usize> = (0..point.size as usize)
        .filter(|host| host % design::SITE_COUNT == site)
        .collect();
    measure_failure(&mut fleet, &hosts)
}

fn measure_failure(fleet: &mut Fleet, hosts: &[usize]) -> Sample {
    let before = sent_in_window(fleet);
    fleet.reset_costs();
    fleet.kill(hosts);
    let mut agreed_after = None;
    let mut gap = LongestGrantGap::new();
    let mut time = Duration::ZERO;
    while time < TRAFFIC_WINDOW {
        fleet.run_for(STEP);
        time += STEP;
        gap.observe(fleet, time);
        if agreed_after.is_none() && fleet.is_membership_agreed() {
            agreed_after = Some(time);
        }
    }
    let (messages, bytes) = fleet.sent();
    let mut sample = Sample::default();
    let agreed_after = agreed_after.unwrap_or_else(|| time + fleet.run_until_agreed(AGREE_LIMIT));
    sample.set("agree_s", agreed_after.as_secs_f64());
    sample.set("grant_gap_s", gap.longest.as_secs_f64());
    sample.set("messages_ratio", messages as f64 / before.0);
    sample.set("payload_ratio", bytes as f64 / before.1);
    fleet.restart(hosts);
    let back = fleet.run_until_agreed(AGREE_LIMIT);
    sample.set("back_s", back.as_secs_f64());
    sample
}

/// Stops the home of a pool and returns the longest time without a grant in one pool.
fn planned_stop(fleet: &mut Fleet) -> Duration {
    let home = fleet.home_of(&design::pool_id(0));
    let mut gap = LongestGrantGap::new();
    gap.observe(fleet, Duration::ZERO);
    fleet.stop(home.expect("a pool has a home"));
    let mut time = Duration::ZERO;
    while time < PLANNED_STOP_WINDOW {
        fleet.run_for(STEP);
        time += STEP;
        gap.observe(fleet, time);
    }
    gap.longest
}

/// Tracks the longest time in which any one pool had no grant.
struct LongestGrantGap {
    last: Vec<(u64, Duration)>,
    longest: Duration,
}

impl LongestGrantGap {
    fn new() -> Self {
        Self {
            last: vec![(0, Duration::ZERO); target::POOLS as usize],
            longest: Duration::ZERO,
        }
    }

    fn observe(&mut self, fleet: &Fleet, now: Duration) {
        let grants = fleet.grants();
        for (index, (last, at)) in self.last.iter_mut().enumerate() {
            let pool = design::pool_id(index);
            let grants = grants.get(&pool).copied().unwrap_or(0);
            // A new home's counter starts at zero.
            if grants != *last && grants > 0 {
                self.longest = self.longest.max(now - *at);
                (*last, *at) = (grants, now);
            }
        }
    }
}

fn measure_region(point: Point) -> Sample {
    let mut fleet = loaded_fleet(point);
    let before = sent_in_window(&mut fleet);
    let running_before = fleet.requests_running() as f64;
    let region: Vec<usize> = (0..point.size as usize)
        .filter(|host| host % design::SITE_COUNT % design::REGION_COUNT == 1)
        .collect();
    fleet.isolate(&region);
    let cut_agreed = fleet.run_until_agreed(AGREE_LIMIT);
    fleet.run_for(PARTITION_TIME.saturating_sub(cut_agreed));
    let during = sent_in_window(&mut fleet);
    let mut sample = Sample::default();
    sample.set("cut_agree_s", cut_agreed.as_secs_f64());
    let running = fleet.requests_running() as f64;
    sample.set("cut_running", running / running_before);
    sample.set("cut_kb", during.1 / before.1);
    fleet.reset_costs();
    fleet.heal_partition();
    let mut agreed = None;
    let mut most_running: f64 = 0.0;
    let mut time = Duration::ZERO;
    while time < TRAFFIC_WINDOW {
        fleet.run_for(STEP);
        time += STEP;
        if agreed.is_none() && fleet.is_membership_agreed() {
            agreed = Some(time);
        }
        most_running = most_running.max(fleet.requests_running() as f64);
    }
    let bytes = fleet.sent().1 as f64;
    sample.set("heal_member_part", fleet.membership_bytes() as f64 / bytes);
    let agreed = agreed.unwrap_or_else(|| time + fleet.run_until_agreed(AGREE_LIMIT));
    sample.set("heal_agree_s", agreed.as_secs_f64());
    sample.set("heal_extra_kb", (bytes - before.1) / 1_024.0);
    sample.set("heal_running", most_running / running_before);
    sample
}
