//! Successive coordinators that give orders to three engines of one pool.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_coordination::lease_events::HeldLease;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::OrderAction;
use sedgeridge_coordination::order_events::OrderEndpoint;
use sedgeridge_coordination::order_events::OrderEvent;
use sedgeridge_coordination::order_events::OrderRejection;
use sedgeridge_coordination::order_events::OrderSettings;
use sedgeridge_coordination::order_events::PoolFloor;
use sedgeridge_coordination::order_events::SendOrder;
use sedgeridge_coordination::orders::Orders;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::lease_record::EPOCH_KEY;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderState;

use super::store::CallOutcome;
use super::store::Store;

const POOL: &str = "desk";
const FLOOR: u32 = 2;
const LEASE_TERM: Duration = Duration::from_secs(3_600);
const UNFENCED_ORDERS_DELAY: Duration = Duration::from_secs(5);

/// A coordinator, its store, and the actions that it asked for.
#[derive(Debug)]
pub struct OrderHarness {
    pub now: Duration,
    pub store: Store,
    pub orders: Orders,
    pub lease: Option<HeldLease>,
    pub calls: VecDeque<StoreAction>,
    pub sent: Vec<SendOrder>,
    pub drained: Vec<EndpointId>,
    pub read_backs: Vec<u64>,
    pub ended: Vec<(EndpointId, OrderState)>,
    pub rejections: Vec<OrderRejection>,
    /// Whether routers can be told of drains.
    pub routers_reachable: bool,
    /// Requests in progress by endpoint, as reported with each step of time.
    in_progress: BTreeMap<String, u32>,
    checks_fencing: bool,
}

impl OrderHarness {
    /// Starts a coordinator that holds the lease and has read all orders.
    pub fn new(checks_fencing: bool) -> Self {
        let mut harness = Self {
            now: Duration::ZERO,
            store: Store::default(),
            orders: Orders::new(OrderSettings::default()),
            lease: None,
            calls: VecDeque::new(),
            sent: Vec::new(),
            drained: Vec::new(),
            read_backs: Vec::new(),
            ended: Vec::new(),
            rejections: Vec::new(),
            routers_reachable: true,
            in_progress: BTreeMap::new(),
            checks_fencing,
        };
        harness.take_over();
        harness.deliver_all();
        harness
    }

    /// Replaces the coordinator by a new one that has no memory and holds the lease.
    pub fn take_over(&mut self) {
        let fencing = self.lease.map_or(1, |lease| lease.fencing.0 + 1);
        let epoch_version = self.store.put(EPOCH_KEY, &fencing.to_string());
        let lease = HeldLease {
            fencing: FencingNumber(fencing),
            epoch_version,
            deadline: self.now + LEASE_TERM,
            unfenced_orders_from: self.now + UNFENCED_ORDERS_DELAY,
        };
        self.orders = Orders::new(OrderSettings::default());
        self.lease = Some(lease);
        self.calls.clear();
        self.sent.clear();
        self.drained.clear();
        self.event(OrderEvent::Configured {
            endpoints: ["desk-1", "desk-2", "desk-3"]
                .map(|id| self.endpoint(id))
                .into(),
            floors: vec![PoolFloor {
                pool: POOL.into(),
                floor: FLOOR,
            }],
        });
        for id in ["desk-1", "desk-2", "desk-3"] {
            self.report(id, 0);
        }
        self.event(OrderEvent::Lease(Some(lease)));
    }

    fn endpoint(&self, id: &str) -> OrderEndpoint {
        OrderEndpoint {
            id: id.into(),
            pool: POOL.into(),
            checks_fencing: self.checks_fencing,
        }
    }

    /// Passes an event to the coordinator and records its actions.
    pub fn event(&mut self, event: OrderEvent) {
        let mut actions = Vec::new();
        self.orders.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                OrderAction::Store(call) => self.calls.push_back(call),
                OrderAction::Drain(endpoint) => self.drained.push(endpoint),
                OrderAction::Undrain(endpoint) => self.drained.retain(|e| *e != endpoint),
                OrderAction::Send(order) => self.sent.push(order),
                OrderAction::ReadBack { number, .. } => self.read_backs.push(number),
                OrderAction::Ended {
                    endpoint, state, ..
                } => self.ended.push((endpoint, state)),
                OrderAction::Rejected { reason, .. } => self.rejections.push(reason),
            }
        }
    }

    pub fn request(&mut self, endpoint: &str, order: EngineOrder) {
        let endpoint = endpoint.into();
        self.event(OrderEvent::Requested { endpoint, order });
    }

    pub fn report(&mut self, endpoint: &str, in_progress: u32) {
        self.event(OrderEvent::EndpointState {
            endpoint: endpoint.into(),
            serving: true,
            in_progress,
            as_of: self.now,
        });
        self.in_progress.insert(endpoint.to_owned(), in_progress);
    }

    /// Answers the newest order that was sent.
    pub fn answer(&mut self, answer: EngineAnswer) {
        let order = self.sent.last().expect("an order");
        let (endpoint, number) = (order.endpoint.clone(), order.number);
        self.event(OrderEvent::Answered {
            endpoint,
            number,
            answer,
        });
    }

    pub fn deliver(&mut self, outcome: CallOutcome) {
        if let Some(call) = self.calls.pop_front() {
            let event = self.store.call(&call, outcome);
            self.event(OrderEvent::Store(event));
        }
    }

    pub fn deliver_all(&mut self) {
        while !self.calls.is_empty() {
            self.deliver(CallOutcome::Answered);
        }
    }

    /// Runs for the given time with a store that answers every call.
    pub fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 100 {
            self.now += Duration::from_millis(100);
            self.announce_drains();
            for (endpoint, in_progress) in self.in_progress.clone() {
                self.report(&endpoint, in_progress);
            }
            self.event(OrderEvent::Tick);
            self.deliver_all();
        }
    }

    fn announce_drains(&mut self) {
        if self.routers_reachable {
            for endpoint in self.drained.clone() {
                self.event(OrderEvent::DrainAnnounced { endpoint });
            }
        }
    }

    /// Lists the endpoints to which orders were sent, in the order of sending.
    pub fn ordered(&self) -> Vec<&str> {
        self.sent.iter().map(|o| o.endpoint.as_str()).collect()
    }
}
