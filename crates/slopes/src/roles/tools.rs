//! Operators' tools: sizes of a router's pages, and the cost of loading a configuration.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use sedgeridge_protocol::operator::AccountRow;
use sedgeridge_protocol::operator::AccountsPage;
use sedgeridge_protocol::operator::EndpointRow;
use sedgeridge_protocol::operator::EndpointState;
use sedgeridge_protocol::operator::EndpointsPage;
use sedgeridge_protocol::operator::MemberRow;
use sedgeridge_protocol::operator::MemberState;
use sedgeridge_protocol::operator::RouterStatus;
use sedgeridge_state::config_document::ConfigDocument;

use crate::design;
use crate::design::FleetSize;
use crate::meter;
use crate::meter::Stopwatch;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::roles::config::base_text;
use crate::sample::Sample;
use crate::target;

const INCARNATION: u64 = 1_800_000_000_000_000;

/// Pages and files of a fleet, by its number of nodes with all else in proportion.
pub const NODES: Bench = Bench {
    name: "tools-nodes",
    size_title: "nodes, all else in proportion",
    sizes: &[50, 100, 200, 400, 800],
    quick_sizes: &[25, 50, 100, 200],
    target: target::NODES,
    metrics: &[
        Metric {
            name: "status_kb",
            title: "tools: status page of one router, KB",
        },
        Metric {
            name: "endpoints_kb",
            title: "tools: endpoints page of one router, KB",
        },
        Metric {
            name: "accounts_kb",
            title: "tools: accounts page of one router, all accounts active, KB",
        },
        Metric {
            name: "file_kb",
            title: "tools: base file of the fleet, KB",
        },
        Metric {
            name: "load_cpu_ms",
            title: "tools: processor time to read the base file and check it, ms",
        },
        Metric {
            name: "load_memory_kb",
            title: "tools: memory of the file, the document and the settings, KB",
        },
    ],
    is_timed: true,
    measure,
};

fn measure(point: Point) -> Sample {
    let size = FleetSize::for_nodes(point.size as usize);
    let before = meter::resident_bytes();
    let text = base_text(size);
    let mut watch = Stopwatch::start();
    let loaded = watch.measure(|| {
        let document = ConfigDocument::from_texts(&text, &[]);
        let settings = document
            .settings("site-0")
            .expect("the generated file is valid");
        (document, settings)
    });
    let memory = meter::resident_bytes().saturating_sub(before);
    assert_eq!(loaded.1.accounts.len(), size.accounts);
    let kb = |bytes: usize| bytes as f64 / 1_024.0;
    let mut sample = Sample::default();
    sample.set("file_kb", kb(text.len()));
    sample.set("load_cpu_ms", watch.cpu_micros() / 1e3);
    sample.set("load_memory_kb", memory as f64 / 1_024.0);
    sample.set("status_kb", kb(json_bytes(&status_page(size))));
    sample.set("endpoints_kb", kb(json_bytes(&endpoints_page(size))));
    sample.set("accounts_kb", kb(json_bytes(&accounts_page(size))));
    sample
}

fn json_bytes(page: &impl serde::Serialize) -> usize {
    serde_json::to_vec(page).map_or(0, |bytes| bytes.len())
}

fn status_page(size: FleetSize) -> RouterStatus {
    let members = (0..size.nodes).map(|index| MemberRow {
        host: design::host_id(index).to_string(),
        incarnation: INCARNATION + index as u64,
        state: MemberState::Live,
    });
    RouterStatus {
        host: design::host_id(0).to_string(),
        site: design::site_id(0).to_string(),
        incarnation: INCARNATION,
        ready: true,
        waiting: 100,
        running: 168,
        config_generation: 11_000,
        homes: 1,
        members: size.nodes as u64,
        member_list: members.collect(),
        ..RouterStatus::default()
    }
}

fn endpoints_page(size: FleetSize) -> EndpointsPage {
    let endpoints = (0..size.endpoints).map(|index| EndpointRow {
        endpoint: design::endpoint_id(index).to_string(),
        pool: design::pool_id(index % target::POOLS as usize).to_string(),
        site: design::site_id(index).to_string(),
        address: SocketAddr::from((Ipv4Addr::new(10, 2, 100, 100), 9_000)),
        state: EndpointState::Serving,
        slots: design::SLOTS_PER_ENGINE,
        usable_slots: design::SLOTS_PER_ENGINE,
        occupied_slots: 27,
        home: design::host_id(0).to_string(),
        running: 27,
        waiting: 0,
        report_age_ms: Some(180),
    });
    EndpointsPage {
        endpoints: endpoints.collect(),
    }
}

fn accounts_page(size: FleetSize) -> AccountsPage {
    let accounts = (0..size.accounts).map(|index| AccountRow {
        account: design::account_id(index).to_string(),
        weight: 1,
        pool: design::pool_id(index % target::POOLS as usize).to_string(),
        waiting: 3,
        running: 10,
        service_tokens: 1_000_000,
    });
    AccountsPage {
        accounts: accounts.collect(),
    }
}
