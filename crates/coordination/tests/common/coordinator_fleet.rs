//! Coordinators that compete for the lease and give orders to engines, over a network that delays
//! and loses messages.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_coordination::coordinator::Coordinator;
use sedgeridge_coordination::coordinator_events::CoordinatorAction;
use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::coordinator_events::CoordinatorPart;
use sedgeridge_coordination::coordinator_events::CoordinatorSettings;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::SendOrder;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::EndpointSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::PoolSettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::millis;

use super::store::CallOutcome;
use super::store::Store;

/// Engines; those with odd numbers ignore fencing numbers.
pub const ENGINES: [&str; 4] = ["desk-0", "desk-1", "desk-2", "desk-3"];
const LOAD_INTERVAL: Duration = Duration::from_secs(10);
const TICK_MS: u64 = 100;

/// One coordinator process.
#[derive(Debug)]
pub struct Host {
    pub coordinator: Coordinator,
    pub calls: VecDeque<(CoordinatorPart, StoreAction)>,
    pub paused: bool,
    /// Events that arrived while the process was paused.
    inbox: VecDeque<CoordinatorEvent>,
    incarnation: u64,
    started_at: Duration,
}

/// An order or its answer.
#[derive(Debug)]
enum Message {
    Order(SendOrder),
    Answer(CoordinatorEvent),
}

#[derive(Debug)]
struct MessageInFlight {
    arrives_at: Duration,
    host: usize,
    incarnation: u64,
    message: Message,
}

#[derive(Debug, Default)]
struct Engine {
    highest_fencing: u64,
    role: Option<String>,
    loaded: Option<String>,
}

/// Treatment of the next messages by the network.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    /// Transit time of an order; less than the longest order delay.
    pub order_ms: u64,
    /// Transit time of an answer; none if it is lost.
    pub answer_ms: Option<u64>,
    /// Whether reports, read-backs and drains are delivered.
    pub is_reachable: bool,
}

/// A network that delivers every message quickly.
pub const WORKING_NETWORK: Network = Network {
    order_ms: 10,
    answer_ms: Some(10),
    is_reachable: true,
};

/// Hosts, engines, the store and the network.
#[derive(Debug)]
pub struct CoordinatorFleet {
    pub now: Duration,
    pub store: Store,
    pub hosts: Vec<Host>,
    pub network: Network,
    engines: BTreeMap<EndpointId, Engine>,
    messages_in_flight: Vec<MessageInFlight>,
    /// Highest fencing number of the orders sent to each engine that ignores fencing numbers.
    sent_fencing: BTreeMap<EndpointId, FencingNumber>,
    last_load_at: Option<Duration>,
}

impl CoordinatorFleet {
    pub fn new(hosts: usize) -> Self {
        let start = |index| start(index, 1, Duration::ZERO);
        let engines = ENGINES.map(|id| (EndpointId::from(id), Engine::default()));
        Self {
            now: Duration::ZERO,
            store: Store::default(),
            hosts: (0..hosts).map(start).collect(),
            network: WORKING_NETWORK,
            engines: engines.into(),
            messages_in_flight: Vec::new(),
            sent_fencing: BTreeMap::new(),
            last_load_at: None,
        }
    }

    /// Kills a process and starts it again without memory.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation + 1;
        self.hosts[index] = start(index, incarnation, self.now);
    }

    pub fn resume(&mut self, index: usize) {
        self.hosts[index].paused = false;
        while let Some(event) = self.hosts[index].inbox.pop_front() {
            self.event(index, event);
        }
    }

    /// Passes an event to a process; a paused one handles it on resuming, unless it is a tick.
    pub fn event(&mut self, index: usize, event: CoordinatorEvent) {
        let host = &mut self.hosts[index];
        if host.paused {
            if event != CoordinatorEvent::Tick {
                host.inbox.push_back(event);
            }
            return;
        }
        let mut actions = Vec::new();
        let now = self.now - host.started_at;
        host.coordinator.handle(now, event, &mut actions);
        for action in actions {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Store { part, action } => {
                self.hosts[index].calls.push_back((part, action));
            }
            CoordinatorAction::Send(order) => self.send(index, order),
            CoordinatorAction::ReadBack {
                endpoint,
                number,
                order,
            } => {
                let is_reachable = self.network.is_reachable;
                let in_effect = is_reachable.then(|| self.is_in_effect(&endpoint, &order));
                self.event(
                    index,
                    CoordinatorEvent::ReadBack {
                        endpoint,
                        number,
                        in_effect,
                    },
                );
            }
            CoordinatorAction::ReadLoad { endpoint } => {
                let load = self.network.is_reachable.then_some(EndpointLoad {
                    running: 0,
                    waiting: 0,
                    slots: 4,
                    age: Duration::ZERO,
                    leaving: false,
                });
                self.event(index, CoordinatorEvent::LoadRead { endpoint, load });
            }
            CoordinatorAction::AnnounceDrain { endpoint } if self.network.is_reachable => {
                self.event(index, CoordinatorEvent::DrainAnnounced { endpoint });
            }
            _ => {}
        }
    }

    /// Sends an order and checks the invariants of sending.
    fn send(&mut self, index: usize, order: SendOrder) {
        let host = &self.hosts[index];
        assert!(
            self.now - host.started_at < order.not_after,
            "sent too late"
        );
        if !checks_fencing(&order.endpoint) {
            let highest = self
                .sent_fencing
                .entry(order.endpoint.clone())
                .or_insert(order.fencing);
            assert!(
                *highest <= order.fencing,
                "sent after a later holder's order"
            );
            *highest = order.fencing;
        }
        if order.order.reads_weights() {
            let last = self.last_load_at.replace(self.now);
            assert!(
                last.is_none_or(|last| last + LOAD_INTERVAL <= self.now),
                "loads too close"
            );
        }
        let arrives_at = self.now + millis(self.network.order_ms);
        self.send_message(index, host.incarnation, arrives_at, Message::Order(order));
    }

    fn send_message(
        &mut self,
        host: usize,
        incarnation: u64,
        arrives_at: Duration,
        message: Message,
    ) {
        self.messages_in_flight.push(MessageInFlight {
            arrives_at,
            host,
            incarnation,
            message,
        });
    }

    /// Advances the time; messages in flight arrive in order of their arrival times.
    pub fn advance(&mut self, by_ms: u64) {
        let end = self.now + millis(by_ms);
        while let Some(next) = self.next_arrival(end) {
            let arrived = self.messages_in_flight.remove(next);
            self.now = arrived.arrives_at;
            self.arrive(arrived);
        }
        self.now = end;
        for index in 0..self.hosts.len() {
            self.event(index, CoordinatorEvent::Tick);
        }
    }

    fn next_arrival(&self, end: Duration) -> Option<usize> {
        let due = self.messages_in_flight.iter().enumerate();
        let due = due.filter(|(_, message)| message.arrives_at <= end);
        due.min_by_key(|(_, message)| message.arrives_at)
            .map(|(index, _)| index)
    }

    fn arrive(&mut self, arrived: MessageInFlight) {
        let (host, incarnation) = (arrived.host, arrived.incarnation);
        match arrived.message {
            Message::Answer(event) if self.hosts[host].incarnation == incarnation => {
                self.event(host, event);
            }
            Message::Answer(_) => {}
            Message::Order(order) => {
                let answer = CoordinatorEvent::Answered {
                    answer: self.obey(&order),
                    endpoint: order.endpoint,
                    number: order.number,
                };
                if let Some(answer_ms) = self.network.answer_ms {
                    let arrives_at = self.now + millis(answer_ms);
                    self.send_message(host, incarnation, arrives_at, Message::Answer(answer));
                }
            }
        }
    }

    fn obey(&mut self, order: &SendOrder) -> EngineAnswer {
        let engine = self.engines.get_mut(&order.endpoint).expect("an engine");
        if checks_fencing(&order.endpoint) && order.fencing.0 < engine.highest_fencing {
            return EngineAnswer::OldFencing;
        }
        engine.highest_fencing = engine.highest_fencing.max(order.fencing.0);
        let (kind, subject) = order.order.kind_and_subject();
        match kind {
            "load" => engine.loaded = Some(subject.to_owned()),
            _ => engine.role = Some(subject.to_owned()),
        }
        EngineAnswer::Done
    }

    fn is_in_effect(&self, endpoint: &EndpointId, order: &EngineOrder) -> bool {
        let (kind, subject) = order.kind_and_subject();
        let engine = &self.engines[endpoint];
        let state = match kind {
            "load" => &engine.loaded,
            _ => &engine.role,
        };
        state.as_deref() == Some(subject)
    }

    /// Delivers the oldest call of a process to the store.
    pub fn deliver(&mut self, index: usize, outcome: CallOutcome) {
        if self.hosts[index].paused {
            return;
        }
        if let Some((part, call)) = self.hosts[index].calls.pop_front() {
            let event = self.store.call(&call, outcome);
            self.event(index, CoordinatorEvent::StoreEnded { part, event });
        }
    }

    /// Writes an operator's order unless one is open, as the command `orders add` does.
    pub fn order(&mut self, endpoint: &str, order: EngineOrder) {
        let key = order_key(&endpoint.into());
        let last = self.store.value(&key).and_then(OrderRecord::decode);
        if last
            .as_ref()
            .is_some_and(|l| l.state == OrderState::Intended)
        {
            return;
        }
        let record = OrderRecord {
            endpoint: endpoint.into(),
            number: last.map_or(0, |last| last.number) + 1,
            fencing: FencingNumber(0),
            order,
            state: OrderState::Intended,
        };
        self.store.put(&key, &record.encode());
    }

    /// Runs for the given time with a store that answers every call.
    pub fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / TICK_MS {
            self.advance(TICK_MS);
            for index in 0..self.hosts.len() {
                while !self.hosts[index].paused && !self.hosts[index].calls.is_empty() {
                    self.deliver(index, CallOutcome::Answered);
                }
            }
        }
    }

    /// Checks that every order has ended and that each engine is in the state of its newest order.
    pub fn check_ended(&self) {
        for endpoint in ENGINES {
            let endpoint = EndpointId::from(endpoint);
            let row = self.store.value(&order_key(&endpoint));
            let Some(record) = row.and_then(OrderRecord::decode) else {
                continue;
            };
            assert_eq!(record.state, OrderState::Done, "{endpoint}");
            assert!(
                self.is_in_effect(&endpoint, &record.order),
                "{endpoint}: {record:?}"
            );
        }
    }
}

fn start(index: usize, incarnation: u64, now: Duration) -> Host {
    let member = Member {
        host: format!("host-{index}").as_str().into(),
        incarnation: Incarnation(incarnation),
    };
    let settings = CoordinatorSettings::default();
    let seed = index as u64 + incarnation * 100;
    Host {
        coordinator: Coordinator::new(member, settings, &engine_settings(), 0, seed),
        calls: VecDeque::new(),
        paused: false,
        inbox: VecDeque::new(),
        incarnation,
        started_at: now,
    }
}

fn checks_fencing(endpoint: &EndpointId) -> bool {
    matches!(endpoint.as_str(), "desk-0" | "desk-2")
}

fn engine_settings() -> Settings {
    let endpoint = |id: &str| EndpointSettings {
        id: id.into(),
        pool: "desk".into(),
        site: "north".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 4,
        checks_fencing: checks_fencing(&id.into()),
    };
    Settings {
        pools: vec![PoolSettings {
            id: "desk".into(),
            kind: PoolKind::Model,
            floor: 2,
        }],
        endpoints: ENGINES.iter().map(|id| endpoint(id)).collect(),
        ..Settings::default()
    }
}
