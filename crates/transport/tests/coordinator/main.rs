//! Failures of coordinators that talk to a table, an engine and a router over loopback.

mod engine;
mod support;
mod table;

use std::sync::mpsc::sync_channel;
use std::time::Duration;

use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::SendOrder;
use sedgeridge_protocol::engine::EngineOrder as BorderOrder;
use sedgeridge_protocol::engine::OrderKind;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::lease_record::LEASE_KEY;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_transport::coordinator_calls::CoordinatorCall;
use sedgeridge_transport::coordinator_calls::CoordinatorCalls;

use support::ENDPOINT;
use support::Fleet;
use support::SharedClock;
use table::TableFault;

fn to_booking() -> EngineOrder {
    EngineOrder::ChangeRole("booking".into())
}

#[test]
fn an_operators_order_is_drained_for_sent_and_recorded() {
    let fleet = Fleet::new(true);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    fleet.order(EngineOrder::Load("assistant/v2".into()));
    holder.run_until("the order is recorded", || {
        fleet.order_state() == Some(OrderState::Done)
    });
    let log = fleet.engine.lock();
    assert!(log.drained.iter().all(|endpoint| endpoint == ENDPOINT));
    assert!(!log.drained.is_empty());
    assert!(
        log.orders
            .iter()
            .all(|(order, _)| order.target == "assistant")
    );
    assert_eq!(log.state.loaded[0].version.as_deref(), Some("v2"));
}

// The process is frozen between the decision to send an order and the sending, for longer than its
// lease. When it goes on, its thread has the order in hand and nothing has told it of the lapse.
// The thread looks at the clock before it connects, so the engine hears nothing.
#[test]
fn an_order_in_hand_is_not_sent_after_the_lease_lapsed() {
    let fleet = Fleet::new(false);
    let clock = SharedClock::default();
    let (inputs, answers) = sync_channel(1);
    let calls = CoordinatorCalls::start(clock.clone(), Duration::from_secs(5), inputs).unwrap();
    clock.advance(10_000);
    calls.call(CoordinatorCall::Order {
        order: SendOrder {
            endpoint: ENDPOINT.into(),
            number: 1,
            order: to_booking(),
            fencing: FencingNumber(1),
            not_after: Duration::from_secs(10),
        },
        address: fleet.engine.address,
    });
    let expected = CoordinatorEvent::Answered {
        endpoint: ENDPOINT.into(),
        number: 1,
        answer: EngineAnswer::Unknown,
    };
    assert_eq!(answers.recv().unwrap(), expected);
    assert!(fleet.engine.lock().orders.is_empty());
}

// The engine ignores fencing numbers, so its order waits until none of an earlier holder can be on
// its way. All else is done when the holder is frozen for an hour. Another host takes the lease over
// and completes the order. The first goes on, and the order in its hands is due: its clock tells it
// that the lease has lapsed, so the engine hears of the order from the second host only.
#[test]
fn a_holder_frozen_past_its_lease_gives_no_order() {
    let mut fleet = Fleet::new(false);
    fleet.coordinators.lease.max_order_delay_ms = 9_000;
    fleet.order(to_booking());
    let first = fleet.start("host-1");
    first.run_until("the order is due next", || {
        let orders = first.status.read().orders;
        let stage = orders.first().map(|order| order.stage.clone());
        stage.as_deref() == Some("awaiting_send")
    });
    let second = fleet.start("host-2");
    second.run_until("the order is recorded", || {
        fleet.order_state() == Some(OrderState::Done)
    });
    first.clock.advance(3_600_000);
    first.run_until("the first learns of the new holder", || {
        let lease = first.status.read().lease;
        lease.is_some_and(|lease| lease.fencing == 2)
    });
    let obeyed = fleet.engine.obeyed();
    assert!(!obeyed.is_empty());
    assert!(obeyed.iter().all(|fencing| *fencing == 2));
}

// The table takes a renewal and its answer is lost. The holder reads its own record back and goes
// on with the same fencing number; taken for lost, every open order would start anew.
#[test]
fn a_lost_answer_to_a_renewal_does_not_end_the_lease() {
    let fleet = Fleet::new(true);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    let before = fleet.lease().unwrap();
    fleet.table.set_fault(TableFault::LoseNextAnswer, LEASE_KEY);
    holder.run_until("the renewal after the lost one", || {
        fleet.lease().unwrap().renewal >= before.renewal + 3
    });
    assert_eq!(fleet.lease().unwrap().fencing, before.fencing);
    assert!(holder.status.read().holding);
}

// The holder writes the intent, and dies before the engine hears of it: here it stands still from
// then on. The next holder finds the intent, gives the order once, and records the end.
#[test]
fn the_next_holder_completes_an_order_that_was_only_intended() {
    let fleet = Fleet::new(true);
    fleet.order(to_booking());
    let first = fleet.start("host-1");
    first.run_until("the first takes the order up", || {
        !first.status.read().orders.is_empty()
    });
    let second = fleet.start("host-2");
    second.run_until("the order is recorded", || {
        fleet.order_state() == Some(OrderState::Done)
    });
    let obeyed = fleet.engine.obeyed();
    assert!(!obeyed.is_empty());
    assert!(obeyed.iter().all(|fencing| *fencing == 2));
}

// The engine ignores fencing numbers. An order of an earlier holder, which was on its way, arrives
// after the new holder's and undoes it. The new holder waits until none can be on its way, reads
// the engine's state, and gives its order again; without the reading it would record an end that
// is not so.
#[test]
fn an_engine_that_ignores_fencing_ends_in_the_newest_holders_state() {
    let fleet = Fleet::new(false);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    fleet.order(to_booking());
    holder.run_until("the order arrives", || !fleet.engine.obeyed().is_empty());
    fleet.engine.lock().obey(BorderOrder {
        fencing: 0,
        kind: OrderKind::Role,
        target: "desk".into(),
        version: None,
    });
    holder.run_until("the order is recorded", || {
        fleet.order_state() == Some(OrderState::Done)
    });
    let log = fleet.engine.lock();
    assert_eq!(log.state.role.as_deref(), Some("booking"));
    assert!(log.orders.len() >= 2);
}

// The holder is told to stop while an order is open. It gives the lease back, so the next holder
// need not wait for the term; the intent stays in the table for it.
#[test]
fn a_stop_gives_the_lease_back_and_leaves_the_intent() {
    let fleet = Fleet::new(true);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    fleet.engine.lock().running = 1;
    fleet.order(to_booking());
    holder.run_until("the order is taken up", || {
        !holder.status.read().orders.is_empty()
    });
    holder.stop();
    holder.join();
    assert!(fleet.lease().unwrap().released);
    assert_eq!(fleet.order_state(), Some(OrderState::Intended));
    assert!(fleet.engine.lock().orders.is_empty());
}

// The table is down when the holder is told to stop, so the lease cannot be given back. The process
// ends all the same; the next holder waits for the term.
#[test]
fn a_stop_without_the_table_ends_too() {
    let fleet = Fleet::new(true);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    fleet.table.set_fault(TableFault::Down, "");
    holder.stop();
    holder.join();
    assert!(!fleet.lease().unwrap().released);
}
