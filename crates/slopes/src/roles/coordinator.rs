//! The coordinator: the lease that hosts compete for, and its orders to engines.

use std::time::Duration;

use sedgeridge_coordination::lease::Lease;
use sedgeridge_coordination::lease_events::HeldLease;
use sedgeridge_coordination::lease_events::LeaseAction;
use sedgeridge_coordination::lease_events::LeaseEvent;
use sedgeridge_coordination::lease_events::LeaseSettings;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::OrderAction;
use sedgeridge_coordination::order_events::OrderEndpoint;
use sedgeridge_coordination::order_events::OrderEvent;
use sedgeridge_coordination::order_events::OrderSettings;
use sedgeridge_coordination::order_events::PoolFloor;
use sedgeridge_coordination::orders::Orders;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::EPOCH_KEY;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;

use crate::design;
use crate::memory_table::MemoryTable;
use crate::meter;
use crate::meter::Stopwatch;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

/// Time over which calls to the table are counted.
const LEASE_TIME: Duration = Duration::from_secs(120);
const LEASE_STEP: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(50);
/// Orders over which processor time is averaged.
const MEASURED_ORDERS: usize = 100;
const LEASE_DEADLINE: Duration = Duration::from_secs(3_600);

/// Lease traffic, by the number of hosts that run a coordinator.
pub const LEASE: Bench = Bench {
    name: "coordinator-lease",
    size_title: "hosts that compete for the lease",
    sizes: &[2, 4, 8, 16, 32],
    quick_sizes: &[2, 4, 8, 16],
    target: 7.0,
    metrics: &[
        Metric {
            name: "reads",
            title: "coordinator: reads of the lease, fleet and second",
        },
        Metric {
            name: "writes",
            title: "coordinator: renewals of the lease, fleet and second",
        },
    ],
    is_timed: true,
    measure: measure_lease,
};

/// Cost of orders, by the number of engines.
pub const ORDERS: Bench = Bench {
    name: "coordinator-orders",
    size_title: "engines",
    sizes: &[275, 550, 1_100, 2_200, 4_400],
    quick_sizes: &[110, 275, 550, 1_100],
    target: target::ENDPOINTS,
    metrics: &[
        Metric {
            name: "order_cpu_us",
            title: "coordinator: processor time of one order, ticks apart, us",
        },
        Metric {
            name: "tick_cpu_us",
            title: "coordinator: processor time of one tick, us",
        },
        Metric {
            name: "memory_kb",
            title: "coordinator: memory of orders and their rows, KB",
        },
        Metric {
            name: "transactions",
            title: "coordinator: transactions of one order",
        },
        Metric {
            name: "recover_kb",
            title: "coordinator: rows that a new holder reads, one order to each engine, KB",
        },
    ],
    is_timed: true,
    measure: measure_orders,
};

fn measure_lease(point: Point) -> Sample {
    let mut table = MemoryTable::default();
    let mut hosts: Vec<Lease> = (0..point.size)
        .map(|index| {
            let member = Member {
                host: design::host_id(index as usize),
                incarnation: Incarnation(1),
            };
            Lease::new(member, LeaseSettings::default(), point.seed + index)
        })
        .collect();
    let mut now = Duration::ZERO;
    while now < LEASE_TIME {
        for lease in &mut hosts {
            handle_lease_event(lease, now, LeaseEvent::Tick, &mut table);
        }
        now += LEASE_STEP;
    }
    let seconds = LEASE_TIME.as_secs_f64();
    let mut sample = Sample::default();
    sample.set("reads", table.reads as f64 / seconds);
    sample.set("writes", table.transactions as f64 / seconds);
    sample
}

fn handle_lease_event(
    lease: &mut Lease,
    now: Duration,
    event: LeaseEvent,
    table: &mut MemoryTable,
) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        lease.handle(now, event, &mut actions);
        for action in actions {
            if let LeaseAction::Store(call) = action {
                events.push(LeaseEvent::Store(table.execute(&call)));
            }
        }
    }
}

fn measure_orders(point: Point) -> Sample {
    let before = meter::resident_bytes();
    let mut holder = Holder::new(point.size as usize);
    let transactions_before = holder.table.transactions;
    for index in 0..MEASURED_ORDERS {
        holder.run_order(&design::endpoint_id(index));
    }
    let transactions = holder.table.transactions - transactions_before;
    let memory = meter::resident_bytes().saturating_sub(before);
    let orders = MEASURED_ORDERS as f64;
    let mut sample = Sample::default();
    sample.set("order_cpu_us", holder.order_watch.cpu_micros() / orders);
    let ticks = f64::from(holder.ticks.max(1));
    sample.set("tick_cpu_us", holder.tick_watch.cpu_micros() / ticks);
    sample.set("memory_kb", memory as f64 / 1_024.0);
    sample.set("transactions", transactions as f64 / orders);
    let row_bytes = holder.table.row_bytes() as f64 / holder.table.row_count() as f64;
    sample.set("recover_kb", row_bytes * point.size as f64 / 1_024.0);
    sample
}

/// A lease holder whose engines carry out each order at once.
struct Holder {
    orders: Orders,
    table: MemoryTable,
    now: Duration,
    order_watch: Stopwatch,
    tick_watch: Stopwatch,
    ticks: u32,
    open_orders: usize,
}

impl Holder {
    fn new(engines: usize) -> Self {
        let mut table = MemoryTable::default();
        let epoch_version = table.put(EPOCH_KEY, "1");
        let mut holder = Self {
            orders: Orders::new(OrderSettings::default()),
            table,
            now: Duration::ZERO,
            order_watch: Stopwatch::start(),
            tick_watch: Stopwatch::start(),
            ticks: 0,
            open_orders: 0,
        };
        let pools = target::POOLS as usize;
        let endpoints = (0..engines).map(|index| OrderEndpoint {
            id: design::endpoint_id(index),
            pool: design::pool_id(index % pools),
            checks_fencing: true,
        });
        let floors = (0..pools).map(|index| PoolFloor {
            pool: design::pool_id(index),
            floor: 1,
        });
        holder.handle_event(OrderEvent::Configured {
            endpoints: endpoints.collect(),
            floors: floors.collect(),
        });
        for index in 0..engines {
            holder.handle_event(OrderEvent::EndpointState {
                endpoint: design::endpoint_id(index),
                serving: true,
                in_progress: 0,
                as_of: Duration::ZERO,
            });
        }
        holder.handle_event(OrderEvent::Lease(Some(HeldLease {
            fencing: FencingNumber(1),
            epoch_version,
            deadline: LEASE_DEADLINE,
            unfenced_orders_from: Duration::ZERO,
        })));
        holder
    }

    /// Issues one order and runs until it has ended.
    fn run_order(&mut self, endpoint: &EndpointId) {
        self.open_orders += 1;
        self.handle_event(OrderEvent::Requested {
            endpoint: endpoint.clone(),
            order: EngineOrder::Unload("adapter-v7".into()),
        });
        while self.open_orders > 0 {
            self.now += TICK;
            self.ticks += 1;
            self.handle_event(OrderEvent::EndpointState {
                endpoint: endpoint.clone(),
                serving: true,
                in_progress: 0,
                as_of: self.now,
            });
            self.handle_event(OrderEvent::Tick);
            assert!(self.now < LEASE_DEADLINE, "an order ends before the lease");
        }
    }

    fn handle_event(&mut self, event: OrderEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let watch = match event {
                OrderEvent::Tick => &mut self.tick_watch,
                _ => &mut self.order_watch,
            };
            let mut actions = Vec::new();
            let (orders, now) = (&mut self.orders, self.now);
            watch.measure(|| orders.handle(now, event, &mut actions));
            for action in actions {
                match action {
                    OrderAction::Store(call) => {
                        events.push(OrderEvent::Store(self.table.execute(&call)));
                    }
                    OrderAction::Send(order) => events.push(OrderEvent::Answered {
                        endpoint: order.endpoint,
                        number: order.number,
                        answer: EngineAnswer::Done,
                    }),
                    OrderAction::Drain(endpoint) => {
                        events.push(OrderEvent::DrainAnnounced { endpoint });
                    }
                    OrderAction::Ended { .. } => self.open_orders -= 1,
                    _ => {}
                }
            }
        }
    }
}
