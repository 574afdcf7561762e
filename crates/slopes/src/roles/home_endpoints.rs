//! Cost of a node for each endpoint whose home it is.

use std::time::Duration;

use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::FairScope;

use crate::design;
use crate::design::FleetSize;
use crate::meter;
use crate::meter::Stopwatch;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

const ACCOUNT_COUNT: usize = 100;
/// Load reports read from each endpoint.
const REPORTS_PER_ENDPOINT: u32 = 10;
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Endpoints in the pools whose home is one node.
pub const ENDPOINTS: Bench = Bench {
    name: "home-endpoints",
    size_title: "endpoints whose home a node is, 100 accounts",
    sizes: &[275, 550, 1_100, 2_200, 4_400],
    quick_sizes: &[110, 275, 550, 1_100],
    target: target::ENDPOINTS / target::POOLS,
    metrics: &[
        Metric {
            name: "memory_kb",
            title: "endpoint home: memory of a node, settings included, KB",
        },
        Metric {
            name: "report_cpu_us",
            title: "endpoint home: decisions on one load report, all endpoints idle, us",
        },
    ],
    is_timed: true,
    measure,
};

fn measure(point: Point) -> Sample {
    let endpoints = point.size as usize;
    let mut settings = design::settings(FleetSize {
        nodes: 1,
        endpoints,
        accounts: ACCOUNT_COUNT,
        requests_per_s: 1,
    });
    // With this scope a node is the home of every pool without any other members.
    settings.fair.scope = FairScope::Router;
    let member = Member {
        host: design::host_id(0),
        incarnation: Incarnation(1),
    };
    let before = meter::resident_bytes();
    let mut node = Node::new(member, settings, point.seed);
    let mut watch = Stopwatch::start();
    let load = EndpointLoad {
        running: 0,
        waiting: 0,
        slots: design::SLOTS_PER_ENGINE,
        age: Duration::ZERO,
        leaving: false,
    };
    for round in 0..REPORTS_PER_ENDPOINT {
        let now = REPORT_INTERVAL * round;
        for index in 0..endpoints {
            let event = NodeEvent::LoadRead {
                endpoint: design::endpoint_id(index),
                load: Some(load),
            };
            watch.measure(|| node.handle(now, event, &mut Vec::new()));
        }
    }
    let memory = meter::resident_bytes().saturating_sub(before);
    let reports = f64::from(REPORTS_PER_ENDPOINT) * endpoints as f64;
    let mut sample = Sample::default();
    sample.set("memory_kb", memory as f64 / 1_024.0);
    sample.set("report_cpu_us", watch.cpu_micros() / reports);
    sample
}
