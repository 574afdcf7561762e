//! Coordinators with a fake table service, engine and router on loopback, and their failures.

mod engine;
mod support;
mod table;

use std::sync::mpsc::sync_channel;
use std::time::Duration;

use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::SendOrder;
use sedgeridge_protocol::engine::EngineOrder as WireOrder;
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

fn change_role_to_booking() -> EngineOrder {
    EngineOrder::ChangeRole("booking".into())
}

#[test]
fn an_operators_order_is_drained_for_sent_and_recorded() {
    let fleet = Fleet::new(true);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    fleet.write_order(EngineOrder::Load("assistant/v2".into()));
    holder.run_until("the order is recorded", || {
        fleet.order_state() == Some(OrderState::Done)
    });
    let engine = fleet.engine.lock();
    assert!(engine.drained.iter().all(|endpoint| endpoint == ENDPOINT));
    assert!(!engine.drained.is_empty());
    assert!(
        engine
            .orders
            .iter()
            .all(|(order, _)| order.target == "assistant")
    );
    assert_eq!(engine.state.loaded[0].version.as_deref(), Some("v2"));
}

// The process is paused for longer than its lease, after it has decided to send an order and before a
// call thread sends it. The thread must check the lease's end before it connects, so that the engine
// does not get the order.
#[test]
fn a_queued_order_is_not_sent_after_the_lease_expired() {
    let fleet = Fleet::new(false);
    let clock = SharedClock::default();
    let (inputs, answers) = sync_channel(1);
    let calls = CoordinatorCalls::start(clock.clone(), Duration::from_secs(5), inputs).unwrap();
    clock.advance(10_000);
    calls.call(CoordinatorCall::Order {
        order: SendOrder {
            endpoint: ENDPOINT.into(),
            number: 1,
            order: change_role_to_booking(),
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

// The engine ignores fencing numbers, so an order waits until no order of an earlier holder can still
// arrive. During this wait the holder is paused for an hour, and another host takes the lease over and
// completes the order. When the first host resumes, its order is due, but it must find its lease expired
// and not send the order.
#[test]
fn a_holder_frozen_past_its_lease_gives_no_order() {
    let mut fleet = Fleet::new(false);
    fleet.coordinator_settings.lease.max_order_delay_ms = 9_000;
    fleet.write_order(change_role_to_booking());
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
    let fencing_numbers = fleet.engine.obeyed_fencing();
    assert!(!fencing_numbers.is_empty());
    assert!(fencing_numbers.iter().all(|fencing| *fencing == 2));
}

// The table commits a renewal, but its answer is lost. The holder must read its own record back and keep its
// fencing number. If it took the lease for lost, every open order would start again.
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

// The holder records an order as intended and crashes before it sends the order; here its clock stops.
// The next holder must find the order, send it and record its end.
#[test]
fn the_next_holder_completes_an_order_that_was_only_intended() {
    let fleet = Fleet::new(true);
    fleet.write_order(change_role_to_booking());
    let first = fleet.start("host-1");
    first.run_until("the first takes the order up", || {
        !first.status.read().orders.is_empty()
    });
    let second = fleet.start("host-2");
    second.run_until("the order is recorded", || {
        fleet.order_state() == Some(OrderState::Done)
    });
    let fencing_numbers = fleet.engine.obeyed_fencing();
    assert!(!fencing_numbers.is_empty());
    assert!(fencing_numbers.iter().all(|fencing| *fencing == 2));
}

// The engine ignores fencing numbers. A delayed order of an earlier holder arrives after the order of the
// new holder and reverts it. The new holder must wait until no earlier order can still arrive, read the
// engine's state back and send its order again. Otherwise it would record an end that is not true.
#[test]
fn an_engine_that_ignores_fencing_ends_in_the_newest_holders_state() {
    let fleet = Fleet::new(false);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    fleet.write_order(change_role_to_booking());
    holder.run_until("the order arrives", || {
        !fleet.engine.obeyed_fencing().is_empty()
    });
    fleet.engine.lock().apply(WireOrder {
        fencing: 0,
        kind: OrderKind::Role,
        target: "desk".into(),
        version: None,
    });
    holder.run_until("the order is recorded", || {
        fleet.order_state() == Some(OrderState::Done)
    });
    let engine = fleet.engine.lock();
    assert_eq!(engine.state.role.as_deref(), Some("booking"));
    assert!(engine.orders.len() >= 2);
}

// The holder is stopped while an order is open. It must release the lease, so that the next holder does not
// wait for the end of the term. The order stays in the table as intended.
#[test]
fn a_stop_releases_the_lease_and_leaves_the_order_intended() {
    let fleet = Fleet::new(true);
    let holder = fleet.start("host-1");
    holder.run_until_holding();
    fleet.engine.lock().running = 1;
    fleet.write_order(change_role_to_booking());
    holder.run_until("the order is taken up", || {
        !holder.status.read().orders.is_empty()
    });
    holder.stop();
    holder.join();
    assert!(fleet.lease().unwrap().released);
    assert_eq!(fleet.order_state(), Some(OrderState::Intended));
    assert!(fleet.engine.lock().orders.is_empty());
}

// The table service is down when the holder is stopped, so the lease cannot be released. The process must
// end nevertheless; the next holder waits for the end of the term.
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
