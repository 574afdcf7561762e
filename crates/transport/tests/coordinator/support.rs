//! Coordinators that run in threads of the test process, with a clock that the test advances.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::coordinator_events::CoordinatorSettings;
use sedgeridge_protocol::coordinator::CoordinatorStatus;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::lease_record::LEASE_KEY;
use sedgeridge_state::lease_record::LeaseRecord;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::EndpointSettings;
use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::PoolSettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::coordinator_core::COORDINATOR_CHANNEL_LEN;
use sedgeridge_transport::coordinator_core::CoordinatorCore;
use sedgeridge_transport::directory::Directory;
use sedgeridge_transport::status::SharedStatus;
use serde::de::DeserializeOwned;
use tiny_http::Request;

use crate::engine::FakeEngine;
use crate::table::FakeTable;

/// Longest real time to wait for a condition; a passing test takes far less.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Real time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time by which the clock advances between two checks. It is short enough that a thread which gets no CPU time
/// for a second on a busy machine does not miss a renewal.
const CLOCK_STEP_MS: u64 = 20;

pub const ENDPOINT: &str = "desk-1";

/// A clock that the test advances; clones show the same time.
#[derive(Debug, Clone, Default)]
pub struct SharedClock {
    now_ms: Arc<AtomicU64>,
}

impl SharedClock {
    pub fn advance(&self, by_ms: u64) {
        self.now_ms.fetch_add(by_ms, Ordering::SeqCst);
    }
}

impl Clock for SharedClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms.load(Ordering::SeqCst))
    }
}

pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> T {
    serde_json::from_reader(request.as_reader()).unwrap()
}

/// A table service, an engine, and the settings of the coordinators that send it orders.
#[derive(Debug)]
pub struct Fleet {
    pub table: FakeTable,
    pub engine: FakeEngine,
    /// Settings of the coordinators that are started next.
    pub coordinator_settings: CoordinatorSettings,
    settings: Settings,
}

/// A coordinator that runs in a thread of the test process.
#[derive(Debug)]
pub struct Process {
    pub clock: SharedClock,
    pub status: SharedStatus<CoordinatorStatus>,
    inputs: SyncSender<CoordinatorEvent>,
    core: JoinHandle<()>,
}

impl Fleet {
    pub fn new(checks_fencing: bool) -> Self {
        let table = FakeTable::start();
        let engine = FakeEngine::start(checks_fencing);
        let mut settings = Settings::default();
        settings.platform.table_address = Some(table.address);
        settings.pools.push(PoolSettings {
            id: "desk".into(),
            kind: PoolKind::Model,
            floor: 0,
        });
        settings.endpoints.push(EndpointSettings {
            id: ENDPOINT.into(),
            pool: "desk".into(),
            site: "north".into(),
            address: engine.address,
            slots: 4,
            checks_fencing,
        });
        settings.hosts.push(HostSettings {
            id: "host-1".into(),
            site: "north".into(),
            caller_address: engine.address,
            peer_address: engine.address,
            operator_address: engine.address,
            coordinator_address: None,
        });
        Self {
            table,
            engine,
            coordinator_settings: CoordinatorSettings::default(),
            settings,
        }
    }

    /// Starts the coordinator of a host's first run.
    pub fn start(&self, host: &str) -> Process {
        let clock = SharedClock::default();
        let status = SharedStatus::default();
        let (inputs, inbox) = sync_channel(COORDINATOR_CHANNEL_LEN);
        let member = Member {
            host: host.into(),
            incarnation: Incarnation(1),
        };
        let core = CoordinatorCore::new(
            clock.clone(),
            member,
            self.coordinator_settings.clone(),
            Arc::new(Directory::new(self.settings.clone())),
            &inputs,
            status.clone(),
        );
        let core = core.unwrap();
        Process {
            clock,
            status,
            inputs,
            core: thread::spawn(move || core.run(&inbox)),
        }
    }

    /// Writes an order to the table, as an operator does.
    pub fn write_order(&self, order: EngineOrder) {
        let record = OrderRecord {
            endpoint: ENDPOINT.into(),
            number: 1,
            fencing: FencingNumber(0),
            order,
            state: OrderState::Intended,
        };
        self.table
            .put(&order_key(&ENDPOINT.into()), &record.encode());
    }

    pub fn order_state(&self) -> Option<OrderState> {
        let value = self.table.value(&order_key(&ENDPOINT.into()))?;
        Some(OrderRecord::decode(&value)?.state)
    }

    pub fn lease(&self) -> Option<LeaseRecord> {
        LeaseRecord::decode(&self.table.value(LEASE_KEY)?)
    }
}

impl Process {
    /// Advances the clock until a condition holds.
    pub fn run_until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let started = Instant::now();
        while !condition() {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "did not happen within {TEST_TIMEOUT:?}: {what}"
            );
            self.clock.advance(CLOCK_STEP_MS);
            thread::sleep(CHECK_INTERVAL);
        }
    }

    pub fn run_until_holding(&self) {
        self.run_until("the lease is held", || self.status.read().holding);
    }

    pub fn stop(&self) {
        self.inputs.send(CoordinatorEvent::StopRequested).unwrap();
    }

    pub fn join(self) {
        self.run_until("the coordinator ends", || self.core.is_finished());
        self.core.join().unwrap();
    }
}
