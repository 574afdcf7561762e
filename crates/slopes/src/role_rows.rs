//! Cost of each role at the size to design for, from the fitted series.

use std::fmt;

use crate::figures::Figures;
use crate::role_rows::Amount::InEarlierRow;
use crate::role_rows::Amount::Measured;
use crate::role_rows::Amount::Missing;
use crate::role_rows::Amount::OnDemand;
use crate::roles::claims;
use crate::roles::config;
use crate::roles::config_spread;
use crate::roles::coordinator;
use crate::roles::data_path;
use crate::roles::fleet;
use crate::roles::home;
use crate::roles::home_endpoints;
use crate::roles::load_reports;
use crate::roles::tools;
use crate::svg::format_short;
use crate::target;

const KB: f64 = 1_024.0;
/// Ticks a second of a coordinator.
const COORDINATOR_TICKS_PER_S: f64 = 20.0;

/// Value of one cell of a row.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Amount {
    /// Measured, or derived from measurements.
    Measured(f64),
    /// Not measured.
    Missing,
    /// Included in an earlier row.
    InEarlierRow,
    /// Costs nothing unless an operator asks.
    OnDemand,
}

impl Amount {
    /// Returns the value, or 0 where there is none.
    pub fn or_zero(self) -> f64 {
        match self {
            Self::Measured(value) => value,
            Self::Missing | Self::InEarlierRow | Self::OnDemand => 0.0,
        }
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Measured(value) => f.write_str(&format_short(*value)),
            Self::Missing => f.write_str("not measured"),
            Self::InEarlierRow => f.write_str("(above)"),
            Self::OnDemand => f.write_str("when asked"),
        }
    }
}

/// Costs of one role.
#[derive(Debug, Clone)]
pub struct RoleRow {
    /// Name of the role.
    pub role: &'static str,
    /// Nodes that have the role.
    pub place: &'static str,
    /// State that the role keeps.
    pub state: String,
    /// Messages sent by one node a second.
    pub messages_per_s: Amount,
    /// Payload sent by one node a second.
    pub payload_bytes_per_s: Amount,
    /// Bytes sent on the wire by one node a second.
    pub wire_bytes_per_s: Amount,
    /// Share of a core, in percent.
    pub core_percent: Amount,
    /// Memory of one node in KB.
    pub memory_kb: Amount,
    /// Module that implements the role.
    pub module: &'static str,
}

/// Returns the rows in the order of the page.
pub fn role_rows(figures: &Figures) -> Vec<RoleRow> {
    vec![
        entry_router_row(figures),
        endpoint_home_row(figures),
        account_home_row(figures),
        load_report_row(figures),
        membership_row(figures),
        configuration_row(figures),
        claims_row(figures),
        coordinator_row(figures),
        operator_tools_row(figures),
    ]
}

fn entry_router_row(f: &Figures) -> RoleRow {
    let at = |metric| f.at_target(&fleet::NODES, metric);
    let requests_per_s = target::REQUESTS_PER_S / target::NODES;
    let micros = at("entry_cpu_us") * requests_per_s + at("timer_cpu_ms") * 1e3;
    RoleRow {
        role: "entry router",
        place: "every node",
        state: format!(
            "settings, limits, queues and {:.0} requests under way",
            target::streams() / target::NODES
        ),
        messages_per_s: Measured(at("entry_messages")),
        payload_bytes_per_s: Measured(at("entry_payload")),
        wire_bytes_per_s: Measured(at("entry_wire")),
        core_percent: Measured(core_percent(micros)),
        memory_kb: Measured(at("memory_kb")),
        module: "`entry`, `entry_pool`",
    }
}

fn endpoint_home_row(f: &Figures) -> RoleRow {
    let at = |metric| f.at_target(&fleet::NODES, metric);
    let requests_per_s = target::REQUESTS_PER_S / target::POOLS;
    let micros = at("home_cpu_us") * requests_per_s + at("home_timer_cpu_ms") * 1e3;
    let stream_overhead = sedgeridge_transport::peers::STREAM_OVERHEAD_BYTES as f64;
    RoleRow {
        role: "endpoint home",
        place: "4 nodes, one pool each",
        state: format!(
            "550 endpoints, {} KB for each one more; the grants of {:.0} requests, {} KB for each",
            format_short(f.slope_at_target(&home_endpoints::ENDPOINTS, "memory_kb")),
            target::streams() / target::POOLS,
            format_short(f.slope_at_target(&home::TAKEOVER, "memory_kb"))
        ),
        messages_per_s: Measured(at("home_messages")),
        payload_bytes_per_s: Measured(at("home_wire_out") - at("home_messages") * stream_overhead),
        wire_bytes_per_s: Measured(at("home_wire_out")),
        core_percent: Measured(core_percent(micros)),
        memory_kb: Measured(f.at_target(&home::TAKEOVER, "memory_kb")),
        module: "`pool_home`, `homed_pool`",
    }
}

fn account_home_row(f: &Figures) -> RoleRow {
    RoleRow {
        role: "account home",
        place: "the pool's home keeps the account order",
        state: format!(
            "6,900 accounts, {:.2} KB for each one more",
            f.slope_at_target(&home::ACCOUNTS, "memory_kb")
        ),
        messages_per_s: InEarlierRow,
        payload_bytes_per_s: InEarlierRow,
        wire_bytes_per_s: InEarlierRow,
        core_percent: InEarlierRow,
        memory_kb: Measured(f.at_target(&home::ACCOUNTS, "memory_kb")),
        module: "`account_table`, `service_ledger`; its messages and time are the endpoint home's",
    }
}

fn load_report_row(f: &Figures) -> RoleRow {
    let at = |metric| f.at_target(&load_reports::READS, metric);
    let reads_per_s = f.at_target(&fleet::NODES, "home_load_reads");
    let decisions_us = f.at_target(&fleet::NODES, "home_load_cpu_us") * reads_per_s;
    let segment_bytes = load_reports::SEGMENT_OVERHEAD_BYTES as f64 * 2.0;
    let wire = at("sent_wire_kb") * KB;
    RoleRow {
        role: "endpoint home: load reports",
        place: "4 nodes, one pool each",
        state: "slot budget and health of 550 endpoints (in the row above)".to_owned(),
        messages_per_s: Measured(reads_per_s),
        payload_bytes_per_s: Measured(wire - reads_per_s * segment_bytes),
        wire_bytes_per_s: Measured(wire),
        core_percent: Measured(core_percent(at("cpu_ms") * 1e3 + decisions_us)),
        memory_kb: InEarlierRow,
        module: "`load_reads`, `endpoint_health`",
    }
}

fn membership_row(f: &Figures) -> RoleRow {
    let at = |metric| f.at_target(&fleet::NODES, metric);
    RoleRow {
        role: "membership",
        place: "every node",
        state: format!(
            "400 members; a node's memory grows by {} KB with each node and its share of all else (in the entry router's row)",
            format_short(f.slope_at_target(&fleet::NODES, "memory_kb"))
        ),
        messages_per_s: Measured(at("member_messages")),
        payload_bytes_per_s: Measured(at("member_payload")),
        wire_bytes_per_s: Measured(at("member_wire")),
        core_percent: Measured(core_percent(at("member_cpu_us"))),
        memory_kb: InEarlierRow,
        module: "`membership`",
    }
}

fn configuration_row(f: &Figures) -> RoleRow {
    let changes_per_s = target::CONFIG_CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    let wire = f.at_target(&config_spread::SPREAD, "peer_wire") * changes_per_s;
    let micros = f.at_target(&config::ACCOUNTS, "adopt_cpu_ms") * 1e3 * changes_per_s;
    let messages = 2.0 * changes_per_s;
    let overhead = sedgeridge_transport::peers::STREAM_OVERHEAD_BYTES as f64;
    RoleRow {
        role: "configuration adoption",
        place: "every node",
        state: "document, settings and the last 64 changes".to_owned(),
        messages_per_s: Measured(messages),
        payload_bytes_per_s: Measured(wire - messages * overhead),
        wire_bytes_per_s: Measured(wire),
        core_percent: Measured(core_percent(micros)),
        memory_kb: Measured(f.at_target(&config::ACCOUNTS, "node_memory_kb")),
        module: "`config_adoption`, `node_config`",
    }
}

fn claims_row(f: &Figures) -> RoleRow {
    let at = |metric| f.at_target(&claims::RATE, metric);
    RoleRow {
        role: "claims",
        place: "every node",
        state: "open claims only; outcomes are rows of the table".to_owned(),
        messages_per_s: Measured(at("transactions")),
        payload_bytes_per_s: Measured(at("call_bytes")),
        wire_bytes_per_s: Missing,
        core_percent: Measured(core_percent(at("cpu_us"))),
        memory_kb: Missing,
        module: "`claims`, `node_claims`",
    }
}

fn coordinator_row(f: &Figures) -> RoleRow {
    let lease = |metric| f.at_target(&coordinator::LEASE, metric);
    let orders = |metric| f.at_target(&coordinator::ORDERS, metric);
    RoleRow {
        role: "coordinator",
        place: "one holder; 7 candidates assumed, one a data centre",
        state: "newest order of each of 2,200 engines".to_owned(),
        messages_per_s: Measured((lease("reads") + lease("writes")) / lease_candidates()),
        payload_bytes_per_s: Missing,
        wire_bytes_per_s: Missing,
        core_percent: Measured(core_percent(
            orders("tick_cpu_us") * COORDINATOR_TICKS_PER_S,
        )),
        memory_kb: Measured(orders("memory_kb")),
        module: "`lease`, `orders`",
    }
}

fn lease_candidates() -> f64 {
    coordinator::LEASE.target
}

fn operator_tools_row(f: &Figures) -> RoleRow {
    RoleRow {
        role: "operators' tools",
        place: "an operator's machine; a page of each router when asked",
        state: format!(
            "base file of {:.0} KB",
            f.at_target(&tools::NODES, "file_kb")
        ),
        messages_per_s: OnDemand,
        payload_bytes_per_s: OnDemand,
        wire_bytes_per_s: OnDemand,
        core_percent: OnDemand,
        memory_kb: Measured(f.at_target(&tools::NODES, "load_memory_kb")),
        module: "`sedgeridge` command line",
    }
}

/// Control costs of one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct NodeTotal {
    /// Bytes sent on the wire a second.
    pub wire_bytes_per_s: f64,
    /// Share of a core, in percent.
    pub core_percent: f64,
    /// Memory in KB.
    pub memory_kb: f64,
}

/// Returns the total costs of a node that is no home, and of one that is the home of a pool.
pub fn node_totals(rows: &[RoleRow]) -> [(&'static str, NodeTotal); 2] {
    let everywhere = |row: &&RoleRow| row.place == "every node";
    let homes = |row: &&RoleRow| row.place.starts_with("4 nodes") || everywhere(row);
    [
        (
            "a node that is no home",
            sum(rows.iter().filter(everywhere)),
        ),
        (
            "a node that is home of a pool",
            sum(rows.iter().filter(homes)),
        ),
    ]
}

fn sum<'a>(rows: impl Iterator<Item = &'a RoleRow>) -> NodeTotal {
    rows.fold(NodeTotal::default(), |sum, row| NodeTotal {
        wire_bytes_per_s: sum.wire_bytes_per_s + row.wire_bytes_per_s.or_zero(),
        core_percent: sum.core_percent + row.core_percent.or_zero(),
        memory_kb: sum.memory_kb + row.memory_kb.or_zero(),
    })
}

/// Returns the data path's cost on a node: percent of a core, memory in KB, and threads.
pub fn data_path_cost(f: &Figures) -> (f64, f64, f64) {
    let at = |metric| f.at_target(&data_path::STREAMS, metric);
    let per_request_ms = f.slope_at_target(&data_path::REQUESTS, "cpu_ms");
    let requests_per_s = target::REQUESTS_PER_S / target::NODES;
    let millis = at("cpu_ms") + per_request_ms * requests_per_s;
    (core_percent(millis * 1e3), at("memory_kb"), at("threads"))
}

fn core_percent(micros_per_s: f64) -> f64 {
    micros_per_s / 1e6 * 100.0
}
