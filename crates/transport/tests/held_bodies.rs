//! Memory of request bodies that a router holds while requests wait and run.

mod support;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc::TryRecvError;

use sedgeridge_state::settings::FrontSettings;
use sedgeridge_transport::core::CoreInput;
use sedgeridge_transport::core::NewRequest;
use support::KEY;
use support::OTHER_KEY;
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

fn long_chat(key: &str) -> String {
    let text = "lens ".repeat(BODY_BYTES / 5);
    let body = format!(r#"{{"model":"desk","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    chat_request(&body).replace(KEY, key)
}

fn refusals() -> u64 {
    let counts = ["queue_full", "account_queue_full"]
        .map(|reason| count_of(&format!("sedgeridge_refusals_total{{reason=\"{reason}\"}}")));
    counts.iter().sum()
}

/// The tests count refusals of their common process, so they run one by one.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a long request; `None` when it was refused.
fn ask(bench: &FrontBench, caller: &mut Connection, key: &str) -> Option<NewRequest> {
    let before = refusals();
    caller.send(&long_chat(key));
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

/// Sends long requests until one is refused; returns those that wait, and the refusal.
fn fill(bench: &FrontBench, key: &str) -> (Vec<NewRequest>, String) {
    let mut waiting = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = bench.connect();
        let Some(new) = ask(bench, &mut caller, key) else {
            return (waiting, caller.read_until("\"outcome\":\"not-run\""));
        };
        // The caller goes on waiting as long as its request does.
        std::mem::forget(caller);
        waiting.push(new);
    }
    panic!("{} long requests wait", waiting.len());
}

// Callers of many accounts send long requests faster than endpoints take them, and lose all answers
// when the router's process is ended for want of memory. Queues are bounded by the number of requests
// only: with bodies of a megabyte, a queue that is far from full holds more than the process may have.
// The request that finds no room is refused at once, not run, with a time to come back.
#[test]
fn bodies_beyond_what_may_be_held_are_refused_with_a_time_to_come_back() {
    let _alone = alone();
    let bench = FrontBench::start(FrontSettings {
        max_held_body_bytes: 3 << 20,
        max_held_body_bytes_per_account: 2 << 20,
        ..FrontSettings::default()
    });
    let (first, _) = fill(&bench, KEY);
    let (second, answer) = fill(&bench, OTHER_KEY);
    assert_eq!((first.len(), second.len()), (2, 1));
    assert_refused(&answer, 503, "queue_full");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");

    // A short request still finds room, and a long one does when others have ended.
    let mut short = bench.connect();
    short.send(&chat_request(CHAT));
    drop(bench.arrived());
    drop(first);
    let mut again = bench.connect();
    assert!(ask(&bench, &mut again, OTHER_KEY).is_some());
}

// One account floods the router with long requests, and callers of all others are refused: memory for
// bodies was given to whoever came first. The flood is refused beyond its part, as its own fault.
#[test]
fn one_account_cannot_take_all_memory_for_bodies() {
    let _alone = alone();
    let bench = FrontBench::start(FrontSettings::default());
    let (waiting, answer) = fill(&bench, KEY);
    assert_refused(&answer, 429, "account_queue_full");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    let (mut other, mut again) = (bench.connect(), bench.connect());
    assert!(ask(&bench, &mut other, OTHER_KEY).is_some());
    drop(waiting);
    assert!(ask(&bench, &mut again, KEY).is_some());
}
