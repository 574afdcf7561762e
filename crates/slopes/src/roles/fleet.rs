//! Entry routers, pool homes and membership together in a simulated fleet.

use std::time::Duration;

use sedgeridge_transport::peers::DATAGRAM_OVERHEAD_BYTES;
use sedgeridge_transport::peers::STREAM_OVERHEAD_BYTES;

use crate::design::FleetSize;
use crate::fleet::Fleet;
use crate::fleet::SimulatedNode;
use crate::fleet::costs::Component;
use crate::meter;
use crate::meter::Stopwatch;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

/// Time for the members to discover each other.
const JOIN_TIME: Duration = Duration::from_secs(5);
/// Time until every slot is occupied and the first requests have ended.
const FILL_TIME: Duration = Duration::from_secs(14);
const MEASURED_TIME: Duration = Duration::from_secs(10);
const QUICK_MEASURED_TIME: Duration = Duration::from_secs(4);
/// Routers of the bench that varies the request rate.
const RATE_NODES: usize = 40;

const METRICS: &[Metric] = &[
    metric("entry_cpu_us", "entry: processor time a request, us"),
    metric("entry_messages", "entry: messages sent a node and second"),
    metric(
        "entry_payload",
        "entry: payload sent a node and second, bytes",
    ),
    metric(
        "entry_wire",
        "entry: sent on the wire a node and second, bytes",
    ),
    metric(
        "home_cpu_us",
        "endpoint home: processor time a request of its pool, us",
    ),
    metric(
        "home_messages",
        "endpoint home: grants sent a pool and second",
    ),
    metric(
        "home_wire_out",
        "endpoint home: sent on the wire a pool and second, bytes",
    ),
    metric(
        "home_wire_in",
        "endpoint home: received on the wire a pool and second, bytes",
    ),
    metric(
        "home_load_reads",
        "endpoint home: load reports read a pool and second",
    ),
    metric(
        "home_load_cpu_us",
        "endpoint home: decisions on a load report, us each",
    ),
    metric(
        "timer_cpu_ms",
        "timers of a node that is no home: processor time a second, ms",
    ),
    metric(
        "home_timer_cpu_ms",
        "timers of a pool's home: processor time a pool and second, ms",
    ),
    metric(
        "member_cpu_us",
        "membership: processor time a node and second, us",
    ),
    metric(
        "member_messages",
        "membership: messages sent a node and second",
    ),
    metric(
        "member_payload",
        "membership: payload sent a node and second, bytes",
    ),
    metric(
        "member_wire",
        "membership: sent on the wire a node and second, bytes",
    ),
    metric(
        "memory_kb",
        "memory a node, endpoints and callers included, KB",
    ),
];

const fn metric(name: &'static str, title: &'static str) -> Metric {
    Metric { name, title }
}

/// A fleet in the proportions of the size to design for.
pub const NODES: Bench = Bench {
    name: "fleet-nodes",
    size_title: "nodes, all else in proportion",
    sizes: &[25, 50, 100, 200, 400],
    quick_sizes: &[16, 24, 32, 48],
    target: target::NODES,
    metrics: METRICS,
    is_timed: true,
    measure: measure_nodes,
};

/// A fleet of fixed size under a growing request rate.
pub const REQUESTS: Bench = Bench {
    name: "fleet-requests",
    size_title: "requests a node and second below the engines' capacity, 40 nodes",
    sizes: &[2, 4, 6, 9, 12],
    quick_sizes: &[2, 4, 8, 12],
    target: target::REQUESTS_PER_S / target::NODES,
    metrics: METRICS,
    is_timed: true,
    measure: measure_requests,
};

fn measure_nodes(point: Point) -> Sample {
    measure(FleetSize::for_nodes(point.size as usize), point)
}

fn measure_requests(point: Point) -> Sample {
    let size = FleetSize {
        requests_per_s: RATE_NODES * point.size as usize,
        ..FleetSize::for_nodes(RATE_NODES)
    };
    measure(size, point)
}

fn measure(size: FleetSize, point: Point) -> Sample {
    let memory_before = meter::resident_bytes();
    let mut fleet = Fleet::new(size, point.seed);
    fleet.run_for(JOIN_TIME);
    fleet.start_callers();
    fleet.run_for(FILL_TIME);
    fleet.reset_costs();
    let time = if point.quick {
        QUICK_MEASURED_TIME
    } else {
        MEASURED_TIME
    };
    let watch = Stopwatch::start();
    fleet.run_for(time);
    let run_fraction = watch.run_fraction();
    let memory = meter::resident_bytes().saturating_sub(memory_before);
    let view = MeasuredFleet {
        fleet: &fleet,
        seconds: time.as_secs_f64(),
        run_fraction,
    };
    let mut sample = view.sample();
    sample.set("memory_kb", memory as f64 / 1_024.0 / size.nodes as f64);
    sample
}

/// A fleet after a run, with the factors that turn its sums into rates.
struct MeasuredFleet<'a> {
    fleet: &'a Fleet,
    seconds: f64,
    run_fraction: f64,
}

impl MeasuredFleet<'_> {
    fn sample(&self) -> Sample {
        let mut sample = Sample::default();
        let counts = self.fleet.callers.counts;
        let requests = (counts.ended as f64).max(1.0);
        let nodes = self.fleet.nodes.len() as f64;
        let rate = |total: f64, by: f64| total / by / self.seconds;
        let sent = |work| self.total(|n| n.costs.sent_of(work).messages as f64);
        let payload = |work| self.total(|n| n.costs.sent_of(work).payload_bytes as f64);
        let wire =
            |work, overhead| self.total(|n| n.costs.sent_of(work).wire_bytes(overhead) as f64);
        let stream = STREAM_OVERHEAD_BYTES;
        sample.set("entry_cpu_us", self.micros(Component::Entry) / requests);
        sample.set("entry_messages", rate(sent(Component::Entry), nodes));
        sample.set("entry_payload", rate(payload(Component::Entry), nodes));
        sample.set("entry_wire", rate(wire(Component::Entry, stream), nodes));
        let pools = target::POOLS;
        sample.set("home_cpu_us", self.micros(Component::Home) / requests);
        sample.set("home_messages", rate(sent(Component::Home), pools));
        sample.set("home_wire_out", rate(wire(Component::Home, stream), pools));
        let received =
            self.total(|n| n.costs.received_of(Component::Home).wire_bytes(stream) as f64);
        sample.set("home_wire_in", rate(received, pools));
        let reads = self.total(|n| n.costs.load_reads as f64);
        sample.set("home_load_reads", rate(reads, pools));
        sample.set(
            "home_load_cpu_us",
            self.micros(Component::LoadReports) / reads.max(1.0),
        );
        let idle_nodes = self.count(|n| n.node.load().homed_pools == 0);
        let idle = self.timer_micros(|n| n.node.load().homed_pools == 0) / idle_nodes.max(1.0);
        let homes = self.timer_micros(|n| n.node.load().homed_pools > 0);
        sample.set("timer_cpu_ms", rate(idle / 1e3, 1.0));
        sample.set("home_timer_cpu_ms", rate(homes / 1e3, pools));
        sample.set(
            "member_cpu_us",
            rate(self.micros(Component::Membership), nodes),
        );
        sample.set("member_messages", rate(sent(Component::Membership), nodes));
        sample.set(
            "member_payload",
            rate(payload(Component::Membership), nodes),
        );
        let datagrams = wire(Component::Membership, DATAGRAM_OVERHEAD_BYTES);
        sample.set("member_wire", rate(datagrams, nodes));
        sample.set("arrived", counts.arrived as f64);
        sample.set("ended", counts.ended as f64);
        sample.set("refused", counts.refused as f64);
        sample
    }

    fn total(&self, value: impl Fn(&SimulatedNode) -> f64) -> f64 {
        self.fleet.nodes.iter().map(value).sum()
    }

    fn count(&self, is_included: impl Fn(&SimulatedNode) -> bool) -> f64 {
        self.fleet.nodes.iter().filter(|n| is_included(n)).count() as f64
    }

    fn micros(&self, component: Component) -> f64 {
        self.total(|n| n.costs.time_of(component).as_secs_f64()) * 1e6 * self.run_fraction
    }

    fn timer_micros(&self, is_included: impl Fn(&SimulatedNode) -> bool) -> f64 {
        let included = self.fleet.nodes.iter().filter(|n| is_included(n));
        let time: f64 = included
            .map(|n| n.costs.time_of(Component::Timers).as_secs_f64())
            .sum();
        time * 1e6 * self.run_fraction
    }
}
