//! Failures during orders to engines.

mod common;

use std::time::Duration;

use common::order_harness::OrderHarness;
use common::store::CallOutcome;
use sedgeridge_coordination::order_events::EngineAnswer;
use sedgeridge_coordination::order_events::OrderEvent;
use sedgeridge_coordination::order_events::OrderRejection;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;

const LOAD_INTERVAL_MS: u64 = 10_000;

fn change_role_to_booking() -> EngineOrder {
    EngineOrder::ChangeRole("booking".into())
}

fn load_order() -> EngineOrder {
    EngineOrder::Load("assistant/v2".into())
}

// The holder writes the intent and dies before it sends the order. The next holder reads the intent
// before it accepts new orders, and sends the order with its own fencing number.
#[test]
fn the_next_holder_completes_an_intent() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.deliver(CallOutcome::Answered);
    assert!(harness.sent.is_empty());
    harness.take_over();
    harness.request("desk-2", change_role_to_booking());
    assert_eq!(harness.rejections, [OrderRejection::Recovering]);
    harness.run(4_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
    assert_eq!(harness.sent[0].fencing, FencingNumber(2));
    harness.answer(EngineAnswer::Done);
    harness.run(1_000);
    assert_eq!(harness.ended, [("desk-1".into(), OrderState::Done)]);
    assert!(harness.drained.is_empty());
}

// The holder's intent is still in transit to the table when the next holder takes over and reads.
// The write's condition on the epoch no longer holds, so the order is not created. Without the
// condition the row would appear unnoticed, and a later holder would send an outdated order.
#[test]
fn an_intent_that_arrives_after_the_epoch_is_not_written() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.deliver(CallOutcome::Delayed);
    harness.take_over();
    harness.deliver_all();
    harness.store.run_delayed_write();
    assert_eq!(harness.store.count("order/"), 0);
    harness.run(40_000);
    assert!(harness.sent.is_empty());
}

// The table commits the intent and its answer is lost. Nothing is sent until the row is read back.
#[test]
fn an_order_is_not_sent_before_its_intent_is_certain() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.deliver(CallOutcome::AnswerLost);
    for _ in 0..50 {
        harness.now += Duration::from_millis(100);
        harness.event(OrderEvent::Tick);
    }
    assert!(harness.sent.is_empty());
    harness.deliver(CallOutcome::Answered);
    harness.run(4_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
}

// The first read of the new holder is stale and lacks the previous holder's intent. All orders are
// read again later, so the order is completed without another change of holder.
#[test]
fn an_intent_missed_by_a_stale_read_is_found_later() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.deliver(CallOutcome::Answered);
    harness.take_over();
    harness.deliver(CallOutcome::Stale(2));
    assert_eq!(harness.orders.open_orders().count(), 0);
    harness.run(10_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
}

// A holder is paused past its deadline with an order ready to send. When it resumes and has not yet
// learnt that its lease is lost, it doesn't send the order.
#[test]
fn a_paused_holder_sends_nothing() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.deliver_all();
    harness.now += Duration::from_secs(4_000);
    harness.event(OrderEvent::Tick);
    assert!(harness.sent.is_empty());
    harness.request("desk-2", change_role_to_booking());
    assert_eq!(harness.rejections, [OrderRejection::NotLeaseHolder]);
}

// An engine that ignores fencing numbers obeys the new holder, and then an older holder's delayed
// order arrives. The new holder waits for the longest delay, reads the engine's state, finds that
// its order is not in effect and repeats it.
#[test]
fn an_engine_that_ignores_fencing_is_read_back_and_told_again() {
    let mut harness = OrderHarness::new(false);
    harness.request("desk-1", change_role_to_booking());
    harness.deliver_all();
    harness.run(4_500);
    assert!(
        harness.sent.is_empty(),
        "orders of the previous holder may be in transit"
    );
    harness.run(1_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
    harness.answer(EngineAnswer::Done);
    harness.run(4_000);
    assert!(harness.read_backs.is_empty());
    harness.run(2_000);
    assert_eq!(harness.read_backs, [1]);
    read_back(&mut harness, false);
    assert_eq!(harness.ordered(), ["desk-1", "desk-1"]);
    assert!(harness.ended.is_empty());
    harness.answer(EngineAnswer::Done);
    harness.run(6_000);
    read_back(&mut harness, true);
    harness.deliver_all();
    assert_eq!(harness.ended, [("desk-1".into(), OrderState::Done)]);
}

fn read_back(harness: &mut OrderHarness, in_effect: bool) {
    harness.event(OrderEvent::ReadBack {
        endpoint: "desk-1".into(),
        number: 1,
        in_effect: Some(in_effect),
    });
}

// An engine that checks fencing numbers has seen a higher one. So this process is no longer the
// holder, whatever its clock says, and gives no further order.
#[test]
fn an_engine_that_knows_a_higher_number_ends_the_orders() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.run(4_000);
    harness.answer(EngineAnswer::OldFencing);
    harness.request("desk-2", change_role_to_booking());
    assert_eq!(harness.rejections, [OrderRejection::NotLeaseHolder]);
    harness.run(60_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
}

// Two of three endpoints get orders to change roles at once; the pool's floor is two. The second
// drain waits until the first endpoint is back, so callers always find two. Routers honour the
// first drain for up to 9 s after its last announcement, so the endpoint is not back before that.
#[test]
fn drains_never_take_a_pool_below_its_floor() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.request("desk-2", change_role_to_booking());
    harness.run(20_000);
    assert_eq!(harness.drained, ["desk-1".into()]);
    harness.answer(EngineAnswer::Done);
    harness.run(8_900);
    assert!(harness.drained.is_empty());
    harness.run(4_000);
    assert_eq!(harness.drained, ["desk-2".into()]);
}

// The holder drained one endpoint and stops; the next holder takes over at once and finds intents
// for two. Routers still honour the drain, so the other endpoint stays in service until the drain
// has expired.
#[test]
fn the_next_holder_counts_drains_that_routers_still_heed() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-2", change_role_to_booking());
    harness.run(1_000);
    assert_eq!(harness.drained, ["desk-2".into()]);
    harness.request("desk-1", change_role_to_booking());
    harness.run(1_000);
    harness.take_over();
    harness.run(8_900);
    assert!(harness.drained.is_empty());
    harness.run(1_000);
    assert_eq!(harness.drained, ["desk-1".into()]);
}

// The endpoint still runs requests, and a router that doesn't know of the drain may send more. The
// order waits for both; if it were sent earlier, it would cut off answers.
#[test]
fn an_order_waits_for_the_work_in_progress() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.run(2_000);
    assert_eq!(harness.drained, ["desk-1".into()]);
    assert!(
        harness.sent.is_empty(),
        "a router may not know of the drain"
    );
    harness.report("desk-1", 2);
    harness.run(10_000);
    assert!(harness.sent.is_empty());
    harness.report("desk-1", 0);
    assert_eq!(harness.ordered(), ["desk-1"]);
}

// Loads on several engines are requested at once and a holder dies between them. The weight store
// gets at most one load per interval, also across the change of holder.
#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let mut harness = OrderHarness::new(true);
    harness.run(LOAD_INTERVAL_MS);
    harness.request("desk-1", load_order());
    harness.run(4_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
    harness.take_over();
    harness.run(LOAD_INTERVAL_MS - 1_000);
    assert!(harness.sent.is_empty());
    harness.run(2_000);
    harness.answer(EngineAnswer::Unknown);
    harness.run(20_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
    harness.run(20_000);
    assert_eq!(harness.ordered(), ["desk-1", "desk-1"]);
}

// All routers know of the drain, and the next report shows no work. Reports lag: its figures are
// from before every router knew of the drain. An order based on it would cut off a request that
// arrived in between, so the order waits for figures of a later time.
#[test]
fn an_old_report_of_no_work_is_no_proof() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.run(300);
    let reported_at = harness.now;
    harness.now += Duration::from_secs(4);
    harness.event(OrderEvent::EndpointState {
        endpoint: "desk-1".into(),
        serving: true,
        in_progress: 0,
        as_of: reported_at,
    });
    assert!(harness.sent.is_empty());
    harness.report("desk-1", 0);
    assert_eq!(harness.ordered(), ["desk-1"]);
}

// An operator writes an order's row while a process holds the lease. The holder reads changed rows
// each second and gives the order. If it only read all rows twice a minute, the order would be
// late.
#[test]
fn an_order_that_an_operator_wrote_is_taken_up_within_seconds() {
    let mut harness = OrderHarness::new(true);
    harness.run(1_000);
    let record = OrderRecord {
        endpoint: "desk-2".into(),
        number: 1,
        fencing: FencingNumber(0),
        order: change_role_to_booking(),
        state: OrderState::Intended,
    };
    harness.store.put("order/desk-2", &record.encode());
    harness.run(6_000);
    assert_eq!(harness.ordered(), ["desk-2"]);
    harness.answer(EngineAnswer::Done);
    harness.deliver_all();
    let row = harness
        .store
        .value("order/desk-2")
        .and_then(OrderRecord::decode);
    let ended = row.map(|record| (record.state, record.fencing));
    assert_eq!(ended, Some((OrderState::Done, FencingNumber(1))));
}

// An operator writes an order for an endpoint that is not in the holder's configuration. It is not
// sent, and stays open until a configuration with the endpoint is in force.
#[test]
fn an_order_to_an_unknown_endpoint_is_not_sent() {
    let mut harness = OrderHarness::new(true);
    let record = OrderRecord {
        endpoint: "desk-9".into(),
        number: 1,
        fencing: FencingNumber(0),
        order: EngineOrder::ExportCache("cache-1".into()),
        state: OrderState::Intended,
    };
    harness.store.put("order/desk-9", &record.encode());
    harness.run(60_000);
    assert!(harness.sent.is_empty());
    assert_eq!(harness.orders.open_orders().count(), 1);
}

// No router can be told of the drain, so all continue to send requests to the endpoint, while its
// report happens to show no work. The order waits until routers know of the drain; otherwise it
// would cut off the next request.
#[test]
fn a_drain_that_no_router_heard_of_leads_to_no_order() {
    let mut harness = OrderHarness::new(true);
    harness.routers_reachable = false;
    harness.request("desk-1", change_role_to_booking());
    harness.run(20_000);
    assert!(harness.sent.is_empty());
    harness.routers_reachable = true;
    harness.run(2_000);
    assert!(harness.sent.is_empty());
    harness.run(2_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
}

// Routers were told of the drain, and then none can be reached for longer than they honour it,
// while the endpoint still runs a long request. Routers send to it again. It counts as idle only by
// a report from after the next announcement has reached all routers.
#[test]
fn a_drain_that_lapsed_starts_again() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.report("desk-1", 1);
    harness.run(5_000);
    harness.routers_reachable = false;
    harness.run(10_000);
    harness.report("desk-1", 0);
    harness.run(1_000);
    assert!(harness.sent.is_empty());
    harness.routers_reachable = true;
    harness.run(1_000);
    assert!(harness.sent.is_empty());
    harness.run(3_000);
    assert_eq!(harness.ordered(), ["desk-1"]);
}

// A second load is requested just after the weight store was used; the floor would allow a drain at
// once. The engine serves until shortly before its load is allowed. If it were drained at once, it
// would stand idle for the whole interval, and callers would wait.
#[test]
fn an_engine_serves_until_shortly_before_its_load() {
    let mut harness = OrderHarness::new(true);
    harness.run(LOAD_INTERVAL_MS);
    harness.request("desk-1", load_order());
    harness.run(4_000);
    harness.answer(EngineAnswer::Done);
    harness.run(100);
    harness.request("desk-2", load_order());
    harness.run(4_000);
    assert!(
        harness.drained.is_empty(),
        "its load is allowed in six seconds"
    );
    // The floor allows one drained endpoint, and routers honour the drain of the first for a while
    // after its order is done. The second waits for the end of that and for its own drain.
    harness.run(12_000);
    assert_eq!(harness.ordered(), ["desk-1", "desk-2"]);
}

// An engine answers after the order was sent again; the second copy is still in transit. With the
// same fencing number it could arrive after the operator's next order and undo that. So the order
// stays open until the copy must have arrived and the engine's state is read.
#[test]
fn an_order_that_was_sent_twice_is_read_back_before_it_ends() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    harness.run(4_000);
    harness.run(30_000);
    assert_eq!(harness.ordered(), ["desk-1", "desk-1"]);
    harness.answer(EngineAnswer::Done);
    harness.run(4_500);
    assert!(harness.ended.is_empty());
    harness.run(1_000);
    read_back(&mut harness, true);
    harness.deliver_all();
    assert_eq!(harness.ended, [("desk-1".into(), OrderState::Done)]);
}

// Engines hang on orders and block every thread that sends, so an order waits in the call queue. If
// it were sent half a minute later, it would arrive after the holder assumed its arrival, and undo
// a later order. So it carries a time, well before that, after which it is not sent.
#[test]
fn an_order_that_waits_in_the_ring_is_not_sent_late() {
    let mut harness = OrderHarness::new(true);
    harness.request("desk-1", change_role_to_booking());
    while harness.sent.is_empty() {
        harness.run(100);
    }
    assert!(harness.sent[0].not_after < harness.now + Duration::from_secs(5));
}
