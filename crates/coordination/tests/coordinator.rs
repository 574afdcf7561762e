//! Failures that involve more than one part of a coordinator.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::store::CallOutcome;
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

const ACCEPTED_CONFIG: &str = "\
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
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A coordinator, its store, and endpoints whose reports the test sets.
struct Harness {
    now: Duration,
    store: Store,
    coordinator: Coordinator,
    /// Endpoints that answer reads of their load.
    reporting_endpoints: Vec<&'static str>,
    sent: Vec<SendOrder>,
    announced_drains: Vec<(EndpointId, Duration)>,
    load_reads: usize,
    /// The accepted configuration, if there is one.
    accepted_config: Option<ConfigDocument>,
}

impl Harness {
    fn new() -> Self {
        let settings = CoordinatorSettings::default();
        Self {
            now: Duration::ZERO,
            store: Store::default(),
            coordinator: Coordinator::new(member(), settings, &two_engines(), 0, 7),
            reporting_endpoints: vec!["desk-1", "desk-2"],
            sent: Vec::new(),
            announced_drains: Vec::new(),
            load_reads: 0,
            accepted_config: None,
        }
    }

    fn event(&mut self, event: CoordinatorEvent) {
        let mut actions = Vec::new();
        self.coordinator.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                CoordinatorAction::Store { part, action } => {
                    let event = self.store.call(&action, CallOutcome::Answered);
                    self.event(CoordinatorEvent::StoreEnded { part, event });
                }
                CoordinatorAction::Send(order) => self.sent.push(order),
                CoordinatorAction::AnnounceDrain { endpoint } => {
                    self.announced_drains.push((endpoint.clone(), self.now));
                    self.event(CoordinatorEvent::DrainAnnounced { endpoint });
                }
                CoordinatorAction::ReadLoad { endpoint } => {
                    self.load_reads += 1;
                    let load = self.load(&endpoint);
                    self.event(CoordinatorEvent::LoadRead { endpoint, load });
                }
                CoordinatorAction::ReadConfig(read) => self.read_config(&read),
                _ => {}
            }
        }
    }

    fn read_config(&mut self, read: &ConfigRead) {
        let event = match (read, &self.accepted_config) {
            (ConfigRead::Head { call, .. }, accepted) => ConfigEvent::HeadRead {
                call: *call,
                generation: accepted.as_ref().map(|_| Generation(1)),
            },
            (ConfigRead::Changes { call, .. }, Some(document)) => ConfigEvent::Fetched {
                call: *call,
                items: vec![ConfigItem {
                    generation: Generation(1),
                    content: ConfigItemContent::Snapshot(Arc::new(ConfigContent::Snapshot(
                        document.clone(),
                    ))),
                }],
            },
            (ConfigRead::Changes { call, .. }, None) => ConfigEvent::CallFailed { call: *call },
        };
        self.event(CoordinatorEvent::ConfigRead(event));
    }

    fn load(&self, endpoint: &EndpointId) -> Option<EndpointLoad> {
        let reports = self.reporting_endpoints.contains(&endpoint.as_str());
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
            self.now += TICK_INTERVAL;
            self.event(CoordinatorEvent::Tick);
        }
    }

    fn write_order(&mut self, endpoint: &str, number: u64) {
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

    fn answer_done(&mut self) {
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

// An order ends and its pool's reports are no longer read. Hours later the other engine is gone and
// an order for the first arrives. If the old report counted the other engine as serving, the order
// would leave the pool without a serving engine. It counts only when it reports again.
#[test]
fn a_report_of_hours_ago_does_not_count_for_the_floor() {
    let mut harness = Harness::new();
    harness.write_order("desk-1", 1);
    harness.run(Duration::from_secs(10));
    harness.answer_done();
    harness.run(Duration::from_secs(1));
    let reads = harness.load_reads;
    harness.run(Duration::from_secs(7_200));
    assert_eq!(
        harness.load_reads, reads,
        "no order in progress needs reports"
    );
    harness.reporting_endpoints = vec!["desk-1"];
    harness.write_order("desk-1", 2);
    harness.run(Duration::from_secs(60));
    assert!(harness.sent.is_empty());
    harness.reporting_endpoints = vec!["desk-1", "desk-2"];
    harness.run(Duration::from_secs(10));
    assert_eq!(harness.sent.len(), 1);
}

// A drain lasts until the engine has obeyed. Routers honour an announcement only for a limited time,
// so it is repeated less than nine seconds after the last one; otherwise an engine would get new
// requests while it carries out an order.
#[test]
fn a_drain_is_announced_again_until_the_order_ends() {
    let mut harness = Harness::new();
    harness.write_order("desk-1", 1);
    harness.run(Duration::from_secs(25));
    let times: Vec<Duration> = harness.announced_drains.iter().map(|(_, at)| *at).collect();
    assert!(times.len() > 7);
    assert!(
        times
            .windows(2)
            .all(|pair| pair[1] - pair[0] < Duration::from_secs(9))
    );
    harness.answer_done();
    let announced = harness.announced_drains.len();
    harness.run(Duration::from_secs(60));
    assert_eq!(harness.announced_drains.len(), announced);
}

// The holder is paused during a drain and resumes an hour later. It must not keep the endpoint out
// of service for an order that another holder has completed by then.
#[test]
fn a_holder_frozen_past_its_lease_announces_no_drain() {
    let mut harness = Harness::new();
    harness.write_order("desk-1", 1);
    harness.reporting_endpoints = vec!["desk-2"];
    harness.run(Duration::from_secs(10));
    let announced = harness.announced_drains.len();
    assert!(announced > 0);
    harness.now += Duration::from_secs(3_600);
    let mut actions = Vec::new();
    let event = CoordinatorEvent::Tick;
    harness.coordinator.handle(harness.now, event, &mut actions);
    let drains =
        |action: &CoordinatorAction| matches!(action, CoordinatorAction::AnnounceDrain { .. });
    assert!(!actions.iter().any(drains));
    assert!(actions.contains(&CoordinatorAction::Lost));
}

// The engine ignores fencing numbers, so its order waits until no order of an earlier holder can be
// in transit; the engine is drained and nothing else is missing. The holder is paused until long
// after the end of its lease. On resuming it must notice that end before it sends the order.
#[test]
fn a_holder_frozen_with_an_order_due_does_not_send_it() {
    let mut harness = Harness::new();
    let mut settings = two_engines();
    settings.endpoints[0].checks_fencing = false;
    harness.coordinator =
        Coordinator::new(member(), CoordinatorSettings::default(), &settings, 0, 7);
    harness.write_order("desk-1", 1);
    harness.run(Duration::from_millis(4_500));
    let stage = harness
        .coordinator
        .open_orders()
        .next()
        .map(|open| open.stage);
    assert_eq!(stage, Some("awaiting_send"));
    harness.now += Duration::from_secs(3_600);
    let mut actions = Vec::new();
    let event = CoordinatorEvent::Tick;
    harness.coordinator.handle(harness.now, event, &mut actions);
    let sends = |action: &CoordinatorAction| matches!(action, CoordinatorAction::Send(_));
    assert!(!actions.iter().any(sends));
}

// The settings files that the holder started with don't contain desk-9; the accepted configuration
// does. Orders use the accepted configuration. By the files the order would stay open until the
// holder is restarted.
#[test]
fn an_order_goes_by_the_accepted_configuration() {
    let mut harness = Harness::new();
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
    harness.coordinator = Coordinator::new(member(), settings, &files, 0, 7);
    harness.reporting_endpoints = vec!["desk-8", "desk-9"];
    harness.accepted_config = Some(ConfigDocument::from_texts(ACCEPTED_CONFIG, &[]));
    harness.write_order("desk-9", 1);
    harness.write_order("desk-1", 1);
    harness.run(Duration::from_secs(20));
    let ordered: Vec<&str> = harness.sent.iter().map(|o| o.endpoint.as_str()).collect();
    assert_eq!(ordered, ["desk-9"]);
}

// A candidate, which doesn't hold the lease, reads no configuration: on every host of a large fleet
// these reads would use up the table's capacity that the routers need.
#[test]
fn a_candidate_reads_no_configuration() {
    let mut files = two_engines();
    files.platform.configuration = ConfigurationSource::Table;
    let settings = CoordinatorSettings::default();
    let mut coordinator = Coordinator::new(member(), settings, &files, 0, 7);
    let mut actions = Vec::new();
    for step in 0..100 {
        coordinator.handle(TICK_INTERVAL * step, CoordinatorEvent::Tick, &mut actions);
    }
    let reads = |action: &CoordinatorAction| matches!(action, CoordinatorAction::ReadConfig(_));
    assert!(!actions.iter().any(reads));
}
