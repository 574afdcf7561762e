//! Slot-time of constructed histories: two endpoints with one slot each, over 1,000 microseconds.

mod support;

use sedgeridge_load::history::CallRecord;
use sedgeridge_load::history::History;
use sedgeridge_load::history::RunRecord;
use sedgeridge_load::utilisation::SlotTime;
use sedgeridge_load::utilisation::pool_slot_time;
use support::call;
use support::history;
use support::plan;
use support::run;
use yare::parameterized;

fn slot_time(history: &History) -> SlotTime {
    pool_slot_time(&plan(), history, "p", history.steady)
}

fn on(endpoint: &str, start_us: u64, end_us: u64) -> RunRecord {
    RunRecord {
        endpoint: endpoint.to_owned(),
        ..run("none", start_us, end_us)
    }
}

#[test]
fn an_empty_pool_is_idle_but_nothing_waits() {
    let time = slot_time(&history(vec![], vec![]));
    assert_eq!((time.capacity_us, time.busy_us), (2_000, 0));
    assert_eq!(time.idle_while_waiting_us, 0);
}

#[test]
fn busy_time_is_clipped_to_the_window() {
    let time = slot_time(&history(vec![], vec![on("e1", 500, 5_000)]));
    assert_eq!(time.utilisation(), 0.25);
}

/// Two runs at once on an endpoint with one slot: one waits in the endpoint's own queue and adds no
/// capacity.
#[test]
fn an_overfilled_endpoint_counts_as_full() {
    let runs = vec![on("e1", 0, 1_000), on("e1", 0, 1_000)];
    assert_eq!(slot_time(&history(vec![], runs)).utilisation(), 0.5);
}

/// One slot is free for 300 microseconds while a request waits; after that both are busy.
#[test]
fn a_free_slot_while_work_waits_is_found() {
    let waiting = CallRecord {
        sent_at_us: 100,
        ended_at_us: 700,
        ..call("r1", 1)
    };
    let runs = vec![on("e1", 0, 1_000), on("e2", 400, 1_000)];
    let time = slot_time(&history(vec![waiting], runs));
    assert_eq!(time.idle_while_waiting_us, 300);
}

#[test]
fn a_request_that_runs_waits_no_more() {
    let served = CallRecord {
        sent_at_us: 100,
        ended_at_us: 900,
        ..call("r1", 1)
    };
    let time = slot_time(&history(vec![served], vec![run("r1", 150, 900)]));
    assert_eq!(time.idle_while_waiting_us, 50);
}

/// Both slots are free for 200 microseconds: one waiting request could use one, two could use both.
#[parameterized(
    one = { 1, 200 },
    two = { 2, 400 },
    more_than_slots = { 3, 400 },
)]
fn a_request_can_use_one_slot(requests: u64, idle_us: u64) {
    let waits = |work| CallRecord {
        sent_at_us: 100,
        ended_at_us: 300,
        ..call(&format!("r{work}"), work)
    };
    let time = slot_time(&history((0..requests).map(waits).collect(), vec![]));
    assert_eq!(time.idle_while_waiting_us, idle_us);
}

#[test]
fn a_run_that_has_not_ended_is_busy_to_the_end() {
    let open = RunRecord {
        ended_at_us: None,
        ..on("e2", 600, 0)
    };
    assert_eq!(slot_time(&history(vec![], vec![open])).busy_us, 400);
}
