//! The home of a pool by itself: its memory, and the reports that a new home receives.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::pool_home::AccountWeight;
use sedgeridge_coordination::pool_home::HomeEndpoint;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_home::PoolHome;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::GrantId;
use sedgeridge_coordination::pool_messages::Holding;
use sedgeridge_coordination::pool_messages::PrefixHash;
use sedgeridge_coordination::pool_messages::Served;
use sedgeridge_protocol::peer;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::RequestClass;
use sedgeridge_transport::peers::STREAM_OVERHEAD_BYTES;

use crate::design;
use crate::meter;
use crate::meter::Stopwatch;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

const INCARNATION: u64 = 1_800_000_000_000_000;
/// Requests of one backlogged account queued at one router.
const WAITING_PER_ROUTER: u32 = 5;
/// Assumption, the same as in the simulated fleet.
const ROUTERS_PER_ACCOUNT: usize = 4;
const HEAD_COST_TOKENS: u64 = 1_284;
const DISTINCT_HEAD_PREFIXES: u64 = 64;

/// Memory of a home, by the number of accounts it orders.
pub const ACCOUNTS: Bench = Bench {
    name: "home-accounts",
    size_title: "accounts, a tenth of them backlogged, 400 routers, 550 endpoints",
    sizes: &[1_725, 3_450, 6_900, 13_800, 27_600],
    quick_sizes: &[690, 1_725, 3_450, 6_900],
    target: target::ACCOUNTS,
    metrics: &[Metric {
        name: "memory_kb",
        title: "account home (the pool's home): memory, KB",
    }],
    is_timed: true,
    measure: measure_accounts,
};

/// Cost of a takeover, by the running requests whose grants are reported to the new home.
pub const TAKEOVER: Bench = Bench {
    name: "home-takeover",
    size_title: "requests under way in the pool, 400 routers, 6,900 accounts",
    sizes: &[2_100, 4_200, 8_400, 16_800, 33_600],
    quick_sizes: &[1_050, 2_100, 4_200, 8_400],
    target: target::TOKENS_PER_S * target::TOKEN_INTERVAL_MS / 1_000.0 / target::POOLS,
    metrics: &[
        Metric {
            name: "wire_kb",
            title: "new home: full reports of all routers on the wire, KB",
        },
        Metric {
            name: "cpu_ms",
            title: "new home: processor time to decode and take them, ms",
        },
        Metric {
            name: "memory_kb",
            title: "new home: memory after it, KB",
        },
    ],
    is_timed: true,
    measure: measure_takeover,
};

fn measure_accounts(point: Point) -> Sample {
    let before = meter::resident_bytes();
    let accounts = point.size as usize;
    let mut home = configured_home(accounts);
    for router in 0..target::NODES as usize {
        let report = full_report(router, accounts, 0);
        home.handle(Duration::ZERO, HomeEvent::Report(report), &mut Vec::new());
    }
    let mut sample = Sample::default();
    let memory = meter::resident_bytes().saturating_sub(before);
    sample.set("memory_kb", memory as f64 / 1_024.0);
    assert!(
        home.counters().rejections.is_empty(),
        "the home accepts all reports"
    );
    sample
}

fn measure_takeover(point: Point) -> Sample {
    let before = meter::resident_bytes();
    let accounts = target::ACCOUNTS as usize;
    let routers = target::NODES as usize;
    let mut home = configured_home(accounts);
    let mut wire_bytes = 0;
    let mut watch = Stopwatch::start();
    for router in 0..routers {
        let report = full_report(router, accounts, point.size as usize);
        let bytes = peer::encode(&PeerMessage::Report(report));
        wire_bytes += bytes.len() as u64 + STREAM_OVERHEAD_BYTES;
        watch.measure(|| {
            let message = peer::decode(&bytes, &member(router)).expect("a report decodes");
            if let PeerMessage::Report(report) = message {
                home.handle(Duration::ZERO, HomeEvent::Report(report), &mut Vec::new());
            }
        });
    }
    let mut sample = Sample::default();
    sample.set("wire_kb", wire_bytes as f64 / 1_024.0);
    sample.set("cpu_ms", watch.cpu_micros() / 1e3);
    let memory = meter::resident_bytes().saturating_sub(before);
    sample.set("memory_kb", memory as f64 / 1_024.0);
    assert!(
        home.counters().rejections.is_empty(),
        "the home accepts all reports"
    );
    sample
}

fn member(router: usize) -> Member {
    Member {
        host: design::host_id(router),
        incarnation: Incarnation(INCARNATION),
    }
}

fn configured_home(accounts: usize) -> PoolHome {
    let pool = design::pool_id(0);
    let mut home = PoolHome::new(member(0), pool, FairSettings::default());
    let endpoints = (0..(target::ENDPOINTS / target::POOLS) as usize).map(|index| HomeEndpoint {
        id: design::endpoint_id(index),
        site: design::site_id(index),
        slots: 2 * design::SLOTS_PER_ENGINE,
    });
    let weights = (0..accounts).map(|index| AccountWeight {
        account: design::account_id(index),
        weight: 1,
    });
    let configured = HomeEvent::Configured {
        endpoints: endpoints.collect(),
        weights: weights.collect(),
    };
    let members = (0..target::NODES as usize).map(member).collect();
    for event in [configured, HomeEvent::Members(members)] {
        home.handle(Duration::ZERO, event, &mut Vec::new());
    }
    home
}

/// Returns the full report of one router: its share of queued requests, running requests and past
/// service.
fn full_report(router: usize, accounts: usize, streams: usize) -> EntryReport {
    let routers = target::NODES as usize;
    let reaches = |account: usize| {
        (0..ROUTERS_PER_ACCOUNT).any(|nth| (account * 13 + nth * 101) % routers == router)
    };
    let demand = (0..accounts / 10).filter(|account| reaches(*account));
    let held = (0..streams).filter(|stream| stream % routers == router);
    let holdings: Vec<Holding> = held.map(|stream| holding(stream, accounts)).collect();
    let served: BTreeMap<_, _> = (0..accounts)
        .filter(|account| reaches(*account))
        .map(|account| (design::account_id(account), HEAD_COST_TOKENS * 100))
        .collect();
    EntryReport {
        from: member(router),
        pool: design::pool_id(0),
        sequence: 1,
        full: true,
        grants_received: 0,
        demand: demand
            .map(|account| Demand {
                account: design::account_id(account),
                class: RequestClass::Interactive,
                waiting: WAITING_PER_ROUTER,
                head_cost_tokens: HEAD_COST_TOKENS,
                head_prefix: Some(PrefixHash(account as u64 % DISTINCT_HEAD_PREFIXES)),
            })
            .collect(),
        holdings,
        ended: Vec::new(),
        served: served
            .into_iter()
            .map(|(account, total_tokens)| Served {
                account,
                total_tokens,
            })
            .collect(),
        results: Vec::new(),
    }
}

fn holding(stream: usize, accounts: usize) -> Holding {
    Holding {
        grant: GrantId {
            home: member(1),
            sequence: stream as u64 + 1,
        },
        endpoint: design::endpoint_id(stream % (target::ENDPOINTS / target::POOLS) as usize),
        account: design::account_id(stream % accounts),
        estimate_tokens: HEAD_COST_TOKENS,
    }
}
