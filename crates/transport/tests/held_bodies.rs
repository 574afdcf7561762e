//! Memory for the bodies of waiting and running requests in a router.

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
use support::test_front::CHAT;
use support::test_front::Connection;
use support::test_front::TestFront;
use support::test_front::assert_refused;
use support::test_front::chat_request;
use support::test_front::counter_value;
use support::test_front::wait_until;

const BODY_BYTES: usize = 1_000_000;
/// Enough for bodies far beyond the router's limit.
const CALLERS: usize = 60;

fn long_chat(key: &str) -> String {
    let text = "lens ".repeat(BODY_BYTES / 5);
    let body = format!(r#"{{"model":"desk","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    chat_request(&body).replace(KEY, key)
}

fn refusals() -> u64 {
    let counts = ["queue_full", "account_queue_full"]
        .map(|reason| counter_value(&format!("sedgeridge_refusals_total{{reason=\"{reason}\"}}")));
    counts.iter().sum()
}

/// Serialises the tests, as they count refusals of their common process.
fn run_exclusively() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a long request; returns `None` if it was refused.
fn send_long_request(front: &TestFront, caller: &mut Connection, key: &str) -> Option<NewRequest> {
    let before = refusals();
    caller.send(&long_chat(key));
    let mut accepted = None;
    wait_until("a request or a refusal", || {
        match front.core.try_recv() {
            Ok(CoreInput::RequestArrived(new)) => accepted = Some(*new),
            Err(TryRecvError::Empty) => {}
            other => panic!("expected a request, found {other:?}"),
        }
        accepted.is_some() || refusals() > before
    });
    accepted
}

/// Sends long requests until one is refused; returns the accepted ones and the refusal.
fn send_until_refused(front: &TestFront, key: &str) -> (Vec<NewRequest>, String) {
    let mut waiting = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = front.connect();
        let Some(new) = send_long_request(front, &mut caller, key) else {
            return (waiting, caller.read_until("\"outcome\":\"not-run\""));
        };
        // Keeps the connection open, as a disconnect would end the request.
        std::mem::forget(caller);
        waiting.push(new);
    }
    panic!("all {} long requests were accepted", waiting.len());
}

// Callers of many accounts send long requests faster than endpoints take them. With queues bounded by the
// number of requests only, bodies of a megabyte would use up the router's memory, and all callers would
// lose their answers. A request beyond the limit must be refused at once with `Retry-After`.
#[test]
fn bodies_beyond_the_router_limit_are_refused_with_retry_after() {
    let _exclusive = run_exclusively();
    let front = TestFront::start(FrontSettings {
        max_held_body_bytes: 3 << 20,
        max_held_body_bytes_per_account: 2 << 20,
        ..FrontSettings::default()
    });
    let (first, _) = send_until_refused(&front, KEY);
    let (second, answer) = send_until_refused(&front, OTHER_KEY);
    assert_eq!((first.len(), second.len()), (2, 1));
    assert_refused(&answer, 503, "queue_full");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");

    // A short request still fits, and a long one fits after others have ended.
    let mut short = front.connect();
    short.send(&chat_request(CHAT));
    drop(front.next_request());
    drop(first);
    let mut again = front.connect();
    assert!(send_long_request(&front, &mut again, OTHER_KEY).is_some());
}

// One account floods the router with long requests. Without a limit for each account, it would take all memory
// for bodies, and requests of other accounts would be refused. The flood must be refused beyond its part, with
// the account's own reason.
#[test]
fn one_account_cannot_take_all_memory_for_bodies() {
    let _exclusive = run_exclusively();
    let front = TestFront::start(FrontSettings::default());
    let (waiting, answer) = send_until_refused(&front, KEY);
    assert_refused(&answer, 429, "account_queue_full");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    let (mut other, mut again) = (front.connect(), front.connect());
    assert!(send_long_request(&front, &mut other, OTHER_KEY).is_some());
    drop(waiting);
    assert!(send_long_request(&front, &mut again, KEY).is_some());
}
