//! Failures that concern more than one part of a coordinator.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::store::Fate;
use common::store::Store;
use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::config_events::ConfigItem;
use sedgeridge_coordination::config_events::ConfigItemContent;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_coordination::coordinator::Coordinator;
use sedgeridge_coordination::coordinator_events::CoordinatorAction;
use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::coordinator_events::CoordinatorSettings;
use sedgeridge_coordination::node_config::ConfigRead;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::SendOrder;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::ConfigurationSource;
use sedgeridge_state::settings::EndpointSettings;
use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::PoolSettings;
use sedgeridge_state::settings::Settings;

const ACCEPTED: &str = "\
[fleet]
name = demo
[site.north]
[host.host-1]
site = north
caller_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
operator_address = 127.0.0.1:4
[pool.desk]
floor = 1
[endpoint.desk-8]
pool = desk
site = north
address = 127.0.0.1:8
slots = 4
checks_fencing = yes
[endpoint.desk-9]
pool = desk
site = north
address = 127.0.0.1:9
slots = 4
checks_fencing = yes
";
const STEP: Duration = Duration::from_millis(100);

/// One coordinator, its store, and endpoints whose reports the test sets.
struct Bench {
    now: Duration,
    store: Store,
    coordinator: Coordinator,
    /// Endpoints that answer reads of their load.
    reporting: Vec<&'static str>,
    sent: Vec<SendOrder>,
    announced: Vec<(EndpointId, Duration)>,
    reads: usize,
    /// The accepted configuration, if there is one.
    accepted: Option<ConfigDocument>,
}

impl Bench {
    fn new() -> Self {
        let settings = CoordinatorSettings::default();
        Self {
            now: Duration::ZERO,
            store: Store::default(),
            coordinator: Coordinator::new(member(), settings, &two_engines(), 0, 7),
            reporting: vec!["desk-1", "desk-2"],
            sent: Vec::new(),
            announced: Vec::new(),
            reads: 0,
            accepted: None,
        }
    }

    fn event(&mut self, event: CoordinatorEvent) {
        let mut actions = Vec::new();
        self.coordinator.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                CoordinatorAction::Store { part, action } => {
                    let event = self.store.call(&action, Fate::Answered);
                    self.event(CoordinatorEvent::StoreEnded { part, event });
                }
                CoordinatorAction::Send(order) => self.sent.push(order),
                CoordinatorAction::AnnounceDrain { endpoint } => {
                    self.announced.push((endpoint.clone(), self.now));
                    self.event(CoordinatorEvent::DrainAnnounced { endpoint });
                }
                CoordinatorAction::ReadLoad { endpoint } => {
                    self.reads += 1;
                    let load = self.load(&endpoint);
                    self.event(CoordinatorEvent::LoadRead { endpoint, load });
                }
                CoordinatorAction::ReadConfig(read) => self.read_config(&read),
                _ => {}
            }
        }
    }

    fn read_config(&mut self, read: &ConfigRead) {
        let event = match (read, &self.accepted) {
            (ConfigRead::Head { call, .. }, accepted) => ConfigEvent::Head {
                call: *call,
                generation: accepted.as_ref().map(|_| Generation(1)),
            },
            (ConfigRead::Changes { call, .. }, Some(document)) => ConfigEvent::Fetched {
                call: *call,
                items: vec![ConfigItem {
                    generation: Generation(1),
                    content: ConfigItemContent::Whole(Arc::new(ConfigContent::Snapshot(
                        document.clone(),
                    ))),
                }],
            },
            (ConfigRead::Changes { call, .. }, None) => ConfigEvent::Failed { call: *call },
        };
        self.event(CoordinatorEvent::ConfigRead(event));
    }

    fn load(&self, endpoint: &EndpointId) -> Option<EndpointLoad> {
        let reports = self.reporting.contains(&endpoint.as_str());
        reports.then_some(EndpointLoad {
            running: 0,
            waiting: 0,
            slots: 4,
            age: Duration::ZERO,
            leaving: false,
        })
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.event(CoordinatorEvent::Tick);
        }
    }

    fn order(&mut self, endpoint: &str, number: u64) {
        let record = OrderRecord {
            endpoint: endpoint.into(),
            number,
            fencing: FencingNumber(0),
            order: EngineOrder::ChangeRole("booking".into()),
            state: OrderState::Intended,
        };
        let key = order_key(&endpoint.into());
        self.store.put(&key, &record.encode());
    }

    fn obey(&mut self) {
        let order = self.sent.pop().expect("an order");
        self.event(CoordinatorEvent::Answered {
            endpoint: order.endpoint,
            number: order.number,
            answer: EngineAnswer::Done,
        });
    }
}

fn member() -> Member {
    Member {
        host: "host-1".into(),
        incarnation: Incarnation(1),
    }
}

fn two_engines() -> Settings {
    let endpoint = |id: &str| EndpointSettings {
        id: id.into(),
        pool: "desk".into(),
        site: "north".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 4,
        checks_fencing: true,
    };
    Settings {
        pools: vec![PoolSettings {
            id: "desk".into(),
            kind: PoolKind::Model,
            floor: 1,
        }],
        endpoints: vec![endpoint("desk-1"), endpoint("desk-2")],
        ..Settings::default()
    }
}

// An order ends and its pool's reports are read no more. Hours later the other engine is gone and
// an order comes for the first. By the old report the other engine serves, and the order would
// leave the pool with none; forgotten, it counts only when it reports again.
#[test]
fn a_report_of_hours_ago_does_not_count_for_the_floor() {
    let mut bench = Bench::new();
    bench.order("desk-1", 1);
    bench.run(Duration::from_secs(10));
    bench.obey();
    bench.run(Duration::from_secs(1));
    let reads = bench.reads;
    bench.run(Duration::from_secs(7_200));
    assert_eq!(bench.reads, reads, "no order under way needs reports");
    bench.reporting = vec!["desk-1"];
    bench.order("desk-1", 2);
    bench.run(Duration::from_secs(60));
    assert!(bench.sent.is_empty());
    bench.reporting = vec!["desk-1", "desk-2"];
    bench.run(Duration::from_secs(10));
    assert_eq!(bench.sent.len(), 1);
}

// A drain lasts as long as the engine takes to obey. Routers heed an announcement for ten seconds,
// so it is repeated; one that was said once would bring new requests to an engine under an order.
#[test]
fn a_drain_is_announced_again_until_the_order_ends() {
    let mut bench = Bench::new();
    bench.order("desk-1", 1);
    bench.run(Duration::from_secs(25));
    let times: Vec<Duration> = bench.announced.iter().map(|(_, at)| *at).collect();
    assert!(times.len() > 7);
    assert!(
        times
            .windows(2)
            .all(|pair| pair[1] - pair[0] < Duration::from_secs(9))
    );
    bench.obey();
    let announced = bench.announced.len();
    bench.run(Duration::from_secs(60));
    assert_eq!(bench.announced.len(), announced);
}

// The holder is frozen in the middle of a drain and goes on an hour later. It must not keep the
// endpoint out of service for an order that another holder has completed by now.
#[test]
fn a_holder_frozen_past_its_lease_announces_no_drain() {
    let mut bench = Bench::new();
    bench.order("desk-1", 1);
    bench.reporting = vec!["desk-2"];
    bench.run(Duration::from_secs(10));
    let announced = bench.announced.len();
    assert!(announced > 0);
    bench.now += Duration::from_secs(3_600);
    let mut actions = Vec::new();
    let event = CoordinatorEvent::Tick;
    bench.coordinator.handle(bench.now, event, &mut actions);
    let drains =
        |action: &CoordinatorAction| matches!(action, CoordinatorAction::AnnounceDrain { .. });
    assert!(!actions.iter().any(drains));
    assert!(actions.contains(&CoordinatorAction::Lost));
}

// The engine ignores fencing numbers, so its order waits until none of an earlier holder can be on
// its way; the engine is drained, nothing else is missing. The holder is frozen until long after
// its lease. The first thing it does then would be to send. It must learn of the lapse first.
#[test]
fn a_holder_frozen_with_an_order_due_does_not_send_it() {
    let mut bench = Bench::new();
    let mut settings = two_engines();
    settings.endpoints[0].checks_fencing = false;
    bench.coordinator = Coordinator::new(member(), CoordinatorSettings::default(), &settings, 0, 7);
    bench.order("desk-1", 1);
    bench.run(Duration::from_millis(4_500));
    let waiting = bench
        .coordinator
        .open_orders()
        .next()
        .map(|open| open.stage);
    assert_eq!(waiting, Some("awaiting_send"));
    bench.now += Duration::from_secs(3_600);
    let mut actions = Vec::new();
    let event = CoordinatorEvent::Tick;
    bench.coordinator.handle(bench.now, event, &mut actions);
    let sends = |action: &CoordinatorAction| matches!(action, CoordinatorAction::Send(_));
    assert!(!actions.iter().any(sends));
}

// The files of the holder's start know no desk-9; the accepted configuration does. The order goes
// by what is accepted. By the files it would stay open until somebody starts the holder again.
#[test]
fn an_order_goes_by_the_accepted_configuration() {
    let mut bench = Bench::new();
    let mut files = two_engines();
    files.platform.configuration = ConfigurationSource::Table;
    files.hosts.push(HostSettings {
        id: "host-1".into(),
        site: "north".into(),
        caller_address: "127.0.0.1:2".parse().expect("an address"),
        peer_address: "127.0.0.1:3".parse().expect("an address"),
        operator_address: "127.0.0.1:4".parse().expect("an address"),
        coordinator_address: None,
    });
    let settings = CoordinatorSettings::default();
    bench.coordinator = Coordinator::new(member(), settings, &files, 0, 7);
    bench.reporting = vec!["desk-8", "desk-9"];
    bench.accepted = Some(ConfigDocument::from_texts(ACCEPTED, &[]));
    bench.order("desk-9", 1);
    bench.order("desk-1", 1);
    bench.run(Duration::from_secs(20));
    let ordered: Vec<&str> = bench.sent.iter().map(|o| o.endpoint.as_str()).collect();
    assert_eq!(ordered, ["desk-9"]);
}

// A candidate does not hold the lease. It reads no configuration: on every host of a large fleet
// these reads would take the table from the routers.
#[test]
fn a_candidate_reads_no_configuration() {
    let mut files = two_engines();
    files.platform.configuration = ConfigurationSource::Table;
    let settings = CoordinatorSettings::default();
    let mut coordinator = Coordinator::new(member(), settings, &files, 0, 7);
    let mut actions = Vec::new();
    for step in 0..100 {
        coordinator.handle(STEP * step, CoordinatorEvent::Tick, &mut actions);
    }
    let reads = |action: &CoordinatorAction| matches!(action, CoordinatorAction::ReadConfig(_));
    assert!(!actions.iter().any(reads));
}
