//! Memory of request bodies that a router holds while requests wait and run.

mod support;

use std::sync::mpsc::TryRecvError;

use sedgeridge_state::settings::FrontSettings;
use sedgeridge_transport::core::CoreInput;
use sedgeridge_transport::core::NewRequest;
use support::front_bench::CHAT;
use support::front_bench::Connection;
use support::front_bench::FrontBench;
use support::front_bench::assert_refused;
use support::front_bench::chat_request;
use support::front_bench::count_of;
use support::front_bench::wait_until;

const BODY_BYTES: usize = 1_000_000;
/// Together far more than the router may hold.
const CALLERS: usize = 60;

fn long_chat() -> String {
    let text = "lens ".repeat(BODY_BYTES / 5);
    let body = format!(r#"{{"model":"desk","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    chat_request(&body)
}

fn refusals() -> u64 {
    count_of("sedgeridge_refusals_total{reason=\"queue_full\"}")
}

/// Sends a long request; `None` when it was refused.
fn ask(bench: &FrontBench, caller: &mut Connection) -> Option<NewRequest> {
    let before = refusals();
    caller.send(&long_chat());
    let mut arrived = None;
    wait_until("a request or a refusal", || {
        match bench.core.try_recv() {
            Ok(CoreInput::Arrived(new)) => arrived = Some(*new),
            Err(TryRecvError::Empty) => {}
            other => panic!("expected a request, found {other:?}"),
        }
        arrived.is_some() || refusals() > before
    });
    arrived
}

// Callers send long requests faster than endpoints take them, and lose all answers when the router's
// process is ended for want of memory. Queues are bounded by the number of requests only: with
// bodies of a megabyte, a queue that is far from full holds more than the process may have. The
// request that finds no room is refused at once, not run, with a time to come back.
#[test]
fn bodies_beyond_what_may_be_held_are_refused_with_a_time_to_come_back() {
    let bench = FrontBench::start(FrontSettings::default());
    let mut callers: Vec<Connection> = (0..CALLERS).map(|_| bench.connect()).collect();
    let mut waiting = Vec::new();
    let refused = callers.iter_mut().find_map(|caller| {
        let new = ask(&bench, caller);
        let refused = new.is_none().then_some(caller);
        waiting.extend(new);
        refused
    });
    let refused = refused.unwrap_or_else(|| panic!("{} long requests wait", waiting.len()));
    let answer = refused.read_until("\"outcome\":\"not-run\"");
    assert_refused(&answer, 503, "queue_full");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");

    // A short request still finds room, and a long one does when others have ended.
    let mut short = bench.connect();
    short.send(&chat_request(CHAT));
    drop(bench.arrived());
    drop(waiting);
    assert!(ask(&bench, &mut bench.connect()).is_some());
}
