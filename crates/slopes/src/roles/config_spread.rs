//! Time for a configuration change to be in force on every host of a simulated fleet.

use std::time::Duration;

use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::settings::ConfigurationSource;
use sedgeridge_transport::peers::STREAM_OVERHEAD_BYTES;

use crate::design;
use crate::design::FleetSize;
use crate::fleet::Fleet;
use crate::fleet::costs::Component;
use crate::random::Random;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::roles::config::base_text;
use crate::roles::config::weight_change;
use crate::sample::Sample;
use crate::target;

const JOIN_TIME: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(10);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(60);
/// Time between two changes: 11,000 a day is one every 7.9 s.
const CHANGE_INTERVAL: Duration = Duration::from_millis(7_854);
const CHANGES: u64 = 10;
const QUICK_CHANGES: u64 = 3;
/// Number of accounts and of endpoints: few, since each host reads the whole configuration at
/// each change.
const ACCOUNTS_AND_ENDPOINTS: usize = 70;

/// Propagation of changes between hosts and from the table.
pub const SPREAD: Bench = Bench {
    name: "config-spread",
    size_title: "nodes",
    sizes: &[25, 50, 100, 200, 400],
    quick_sizes: &[16, 24, 32, 48],
    target: target::NODES,
    metrics: &[
        Metric {
            name: "slowest_s",
            title: "configuration: slowest change until in force on the last host, s",
        },
        Metric {
            name: "mean_s",
            title: "configuration: mean time until in force on the last host, s",
        },
        Metric {
            name: "table_reads",
            title: "configuration: reads of the table, fleet and second",
        },
        Metric {
            name: "peer_wire",
            title: "configuration: sent on the wire between peers, node and change, bytes",
        },
    ],
    is_timed: true,
    measure,
};

fn measure(point: Point) -> Sample {
    let size = FleetSize {
        nodes: point.size as usize,
        endpoints: ACCOUNTS_AND_ENDPOINTS,
        accounts: ACCOUNTS_AND_ENDPOINTS,
        requests_per_s: 1,
    };
    let mut settings = design::settings(size);
    settings.platform.configuration = ConfigurationSource::Table;
    let mut fleet = Fleet::with_settings(size, &settings, point.seed);
    fleet.accept_whole(ConfigDocument::from_texts(&base_text(size), &[]));
    fleet.run_for(JOIN_TIME);
    fleet.reset_costs();
    fleet.config.reads = 0;
    let changes = if point.quick { QUICK_CHANGES } else { CHANGES };
    let mut random = Random::new(point.seed);
    let mut times = Vec::new();
    let mut total = Duration::ZERO;
    for _ in 0..changes {
        // A change comes at a random point of the hosts' timer intervals.
        let pause = Duration::from_millis(random.below(1_000));
        fleet.run_for(pause);
        let next = fleet.config.newest_generation() + 1;
        fleet.config.accept(weight_change(next));
        let time = run_until_in_force(&mut fleet, size.nodes);
        let rest = CHANGE_INTERVAL.saturating_sub(time + pause);
        fleet.run_for(rest);
        total += pause + time + rest;
        times.push(time.as_secs_f64());
    }
    let wire = fleet.nodes.iter().map(|node| {
        let sent = node.costs.sent_of(Component::Configuration);
        sent.wire_bytes(STREAM_OVERHEAD_BYTES) as f64
    });
    let wire: f64 = wire.sum();
    let mut sample = Sample::default();
    sample.set("slowest_s", times.iter().copied().fold(0.0, f64::max));
    sample.set("mean_s", times.iter().sum::<f64>() / changes as f64);
    let reads = fleet.config.reads as f64;
    sample.set("table_reads", reads / total.as_secs_f64());
    sample.set("peer_wire", wire / size.nodes as f64 / changes as f64);
    sample
}

fn run_until_in_force(fleet: &mut Fleet, nodes: usize) -> Duration {
    let mut time = Duration::ZERO;
    while fleet.config.up_to_date_hosts() < nodes && time < IN_FORCE_LIMIT {
        fleet.run_for(STEP);
        time += STEP;
    }
    time
}
