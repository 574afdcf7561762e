//! Failures in the middle of orders to engines.

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

fn to_booking() -> EngineOrder {
    EngineOrder::ChangeRole("booking".into())
}

fn load() -> EngineOrder {
    EngineOrder::Load("assistant/v2".into())
}

// The holder writes the intent and dies before it sends the order.
// The next holder reads the intent before it takes new orders, and sends it with its own number.
#[test]
fn the_next_holder_completes_an_intent() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.deliver(CallOutcome::Answered);
    assert!(bench.sent.is_empty());
    bench.take_over();
    bench.want("desk-2", to_booking());
    assert_eq!(bench.refused, [OrderRejection::Recovering]);
    bench.run(4_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
    assert_eq!(bench.sent[0].fencing, FencingNumber(2));
    bench.answer(EngineAnswer::Done);
    bench.run(1_000);
    assert_eq!(bench.ended, [("desk-1".into(), OrderState::Done)]);
    assert!(bench.drained.is_empty());
}

// The holder's intent is still on its way to the table when the next one takes over and reads.
// The write's condition on the epoch no longer holds, so the order never comes into being.
// Without it the row would appear unseen, and a later holder would send a forgotten order.
#[test]
fn an_intent_that_arrives_after_the_epoch_is_not_written() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.deliver(CallOutcome::Delayed);
    bench.take_over();
    bench.deliver_all();
    bench.store.run_delayed_write();
    assert_eq!(bench.store.count("order/"), 0);
    bench.run(40_000);
    assert!(bench.sent.is_empty());
}

// The table takes the intent and its answer is lost. Nothing is sent until the row is read back.
#[test]
fn an_order_is_not_sent_before_its_intent_is_certain() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.deliver(CallOutcome::AnswerLost);
    for _ in 0..50 {
        bench.now += Duration::from_millis(100);
        bench.event(OrderEvent::Tick);
    }
    assert!(bench.sent.is_empty());
    bench.deliver(CallOutcome::Answered);
    bench.run(4_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
}

// The first read of the new holder is stale and lacks the intent of the holder before.
// The orders are read again, so the order is completed without another change of holder.
#[test]
fn an_intent_missed_by_a_stale_read_is_found_later() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.deliver(CallOutcome::Answered);
    bench.take_over();
    bench.deliver(CallOutcome::Stale(2));
    assert_eq!(bench.orders.open_orders().count(), 0);
    bench.run(10_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
}

// A holder is paused past its deadline with an order ready to send.
// When it goes on, before it learnt that its lease is lost, the order stays unsent.
#[test]
fn a_paused_holder_sends_nothing() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.deliver_all();
    bench.now += Duration::from_secs(4_000);
    bench.event(OrderEvent::Tick);
    assert!(bench.sent.is_empty());
    bench.want("desk-2", to_booking());
    assert_eq!(bench.refused, [OrderRejection::NotLeaseHolder]);
}

// An engine that ignores fencing numbers obeys the new holder, and then an older holder's order
// arrives that was on its way. The new holder waits for the longest delay, reads the engine's
// state, finds another one and repeats its order.
#[test]
fn an_engine_that_ignores_fencing_is_read_back_and_told_again() {
    let mut bench = OrderHarness::new(false);
    bench.want("desk-1", to_booking());
    bench.deliver_all();
    bench.run(4_500);
    assert!(
        bench.sent.is_empty(),
        "orders of the holder before may be on their way"
    );
    bench.run(1_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
    bench.answer(EngineAnswer::Done);
    bench.run(4_000);
    assert!(bench.read_backs.is_empty());
    bench.run(2_000);
    assert_eq!(bench.read_backs, [1]);
    read_back(&mut bench, false);
    assert_eq!(bench.ordered(), ["desk-1", "desk-1"]);
    assert!(bench.ended.is_empty());
    bench.answer(EngineAnswer::Done);
    bench.run(6_000);
    read_back(&mut bench, true);
    bench.deliver_all();
    assert_eq!(bench.ended, [("desk-1".into(), OrderState::Done)]);
}

fn read_back(bench: &mut OrderHarness, in_effect: bool) {
    bench.event(OrderEvent::ReadBack {
        endpoint: "desk-1".into(),
        number: 1,
        in_effect: Some(in_effect),
    });
}

// An engine that checks numbers has seen a higher one. This process is no holder any more,
// whatever its clock says, and gives no further order.
#[test]
fn an_engine_that_knows_a_higher_number_ends_the_orders() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.run(4_000);
    bench.answer(EngineAnswer::OldFencing);
    bench.want("desk-2", to_booking());
    assert_eq!(bench.refused, [OrderRejection::NotLeaseHolder]);
    bench.run(60_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
}

// Two of three endpoints are ordered to other roles at once; the pool's floor is two.
// The second drain waits until the first endpoint is back, so callers always find two. Routers
// heed the first drain for up to 9 s after its last announcement, so it is not back before that.
#[test]
fn drains_never_take_a_pool_below_its_floor() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.want("desk-2", to_booking());
    bench.run(20_000);
    assert_eq!(bench.drained, ["desk-1".into()]);
    bench.answer(EngineAnswer::Done);
    bench.run(8_900);
    assert!(bench.drained.is_empty());
    bench.run(4_000);
    assert_eq!(bench.drained, ["desk-2".into()]);
}

// The holder drained one endpoint and stops; the next one takes over at once and finds intents for
// two. Routers still heed the drain, so the other endpoint stays in service until that has lapsed.
#[test]
fn the_next_holder_counts_drains_that_routers_still_heed() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-2", to_booking());
    bench.run(1_000);
    assert_eq!(bench.drained, ["desk-2".into()]);
    bench.want("desk-1", to_booking());
    bench.run(1_000);
    bench.take_over();
    bench.run(8_900);
    assert!(bench.drained.is_empty());
    bench.run(1_000);
    assert_eq!(bench.drained, ["desk-1".into()]);
}

// The endpoint still runs requests, and a router that has not heard of the drain may send more.
// The order waits for both; sent earlier, it would cut answers off.
#[test]
fn an_order_waits_for_the_work_in_progress() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.run(2_000);
    assert_eq!(bench.drained, ["desk-1".into()]);
    assert!(
        bench.sent.is_empty(),
        "a router may not have heard of the drain"
    );
    bench.report("desk-1", 2);
    bench.run(10_000);
    assert!(bench.sent.is_empty());
    bench.report("desk-1", 0);
    assert_eq!(bench.ordered(), ["desk-1"]);
}

// Loads on several engines are wanted at once and a holder dies between them.
// The weight store sees one load an interval, also across the change of holder.
#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let mut bench = OrderHarness::new(true);
    bench.run(LOAD_INTERVAL_MS);
    bench.want("desk-1", load());
    bench.run(4_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
    bench.take_over();
    bench.run(LOAD_INTERVAL_MS - 1_000);
    assert!(bench.sent.is_empty());
    bench.run(2_000);
    bench.answer(EngineAnswer::Unknown);
    bench.run(20_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
    bench.run(20_000);
    assert_eq!(bench.ordered(), ["desk-1", "desk-1"]);
}

// The drain has settled, and the next report says that the endpoint has no work. Reports lag: its
// figures are from before every router had heard of the drain. An order on the strength of it
// would cut off a request that came in between, so it waits for figures of a later time.
#[test]
fn an_old_report_of_no_work_is_no_proof() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.run(300);
    let reported_at = bench.now;
    bench.now += Duration::from_secs(4);
    bench.event(OrderEvent::EndpointState {
        endpoint: "desk-1".into(),
        serving: true,
        in_progress: 0,
        as_of: reported_at,
    });
    assert!(bench.sent.is_empty());
    bench.report("desk-1", 0);
    assert_eq!(bench.ordered(), ["desk-1"]);
}

// An operator writes an order's row while a holder is at work. The holder reads what changed each
// second and gives the order; before, it read all rows twice a minute and the operator waited.
#[test]
fn an_order_that_an_operator_wrote_is_taken_up_within_seconds() {
    let mut bench = OrderHarness::new(true);
    bench.run(1_000);
    let record = OrderRecord {
        endpoint: "desk-2".into(),
        number: 1,
        fencing: FencingNumber(0),
        order: to_booking(),
        state: OrderState::Intended,
    };
    bench.store.put("order/desk-2", &record.encode());
    bench.run(6_000);
    assert_eq!(bench.ordered(), ["desk-2"]);
    bench.answer(EngineAnswer::Done);
    bench.deliver_all();
    let row = bench
        .store
        .value("order/desk-2")
        .and_then(OrderRecord::decode);
    let ended = row.map(|record| (record.state, record.fencing));
    assert_eq!(ended, Some((OrderState::Done, FencingNumber(1))));
}

// An operator orders an endpoint that the holder's configuration does not know. It is not sent,
// and stays open until a configuration with the endpoint is in force.
#[test]
fn an_order_to_an_unknown_endpoint_is_not_sent() {
    let mut bench = OrderHarness::new(true);
    let record = OrderRecord {
        endpoint: "desk-9".into(),
        number: 1,
        fencing: FencingNumber(0),
        order: EngineOrder::ExportCache("cache-1".into()),
        state: OrderState::Intended,
    };
    bench.store.put("order/desk-9", &record.encode());
    bench.run(60_000);
    assert!(bench.sent.is_empty());
    assert_eq!(bench.orders.open_orders().count(), 1);
}

// No router can be told of the drain, so all go on sending to the endpoint; in between its report
// happens to show no work. The order waits until routers know, else it would cut off the request
// that comes next.
#[test]
fn a_drain_that_no_router_heard_of_leads_to_no_order() {
    let mut bench = OrderHarness::new(true);
    bench.routers_reached = false;
    bench.want("desk-1", to_booking());
    bench.run(20_000);
    assert!(bench.sent.is_empty());
    bench.routers_reached = true;
    bench.run(2_000);
    assert!(bench.sent.is_empty());
    bench.run(2_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
}

// Routers were told of the drain, and then none can be reached for longer than they heed it; the
// endpoint still works off a long request. Routers send to it again. Its work must end after the
// next announcement has spread, not before.
#[test]
fn a_drain_that_lapsed_starts_again() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.report("desk-1", 1);
    bench.run(5_000);
    bench.routers_reached = false;
    bench.run(10_000);
    bench.report("desk-1", 0);
    bench.run(1_000);
    assert!(bench.sent.is_empty());
    bench.routers_reached = true;
    bench.run(1_000);
    assert!(bench.sent.is_empty());
    bench.run(3_000);
    assert_eq!(bench.ordered(), ["desk-1"]);
}

// Loads on two engines are wanted at once; the floor would allow one to be drained, and the weight
// store has just been used. The engine goes on serving until shortly before the load's turn. At
// once drained it would stand idle for the whole interval, and callers would wait.
#[test]
fn an_engine_serves_until_shortly_before_its_load() {
    let mut bench = OrderHarness::new(true);
    bench.run(LOAD_INTERVAL_MS);
    bench.want("desk-1", load());
    bench.run(4_000);
    bench.answer(EngineAnswer::Done);
    bench.run(100);
    bench.want("desk-2", load());
    bench.run(4_000);
    assert!(bench.drained.is_empty(), "its turn is six seconds away");
    // The floor allows one drained endpoint, and routers heed the drain of the first for a while
    // after its order is done; the second waits for the end of that and for its own drain.
    bench.run(12_000);
    assert_eq!(bench.ordered(), ["desk-1", "desk-2"]);
}

// An engine's answer comes so late that the order has been sent again; the second copy is still on
// its way. Ended at once, the order would be followed by the operator's next one, and then the copy
// would arrive and undo that: its fencing number is the same. So the order stays open until the copy
// must have arrived, and the engine's state is read.
#[test]
fn an_order_that_was_sent_twice_is_read_back_before_it_ends() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    bench.run(4_000);
    bench.run(30_000);
    assert_eq!(bench.ordered(), ["desk-1", "desk-1"]);
    bench.answer(EngineAnswer::Done);
    bench.run(4_500);
    assert!(bench.ended.is_empty());
    bench.run(1_000);
    read_back(&mut bench, true);
    bench.deliver_all();
    assert_eq!(bench.ended, [("desk-1".into(), OrderState::Done)]);
}

// Engines hang over orders and hold every thread that sends, so an order waits in the ring. Sent
// half a minute later it would arrive after the holder has counted it as arrived, and undo a later
// order. It carries a time after which it is not sent, well before that.
#[test]
fn an_order_that_waits_in_the_ring_is_not_sent_late() {
    let mut bench = OrderHarness::new(true);
    bench.want("desk-1", to_booking());
    while bench.sent.is_empty() {
        bench.run(100);
    }
    assert!(bench.sent[0].not_after < bench.now + Duration::from_secs(5));
}
