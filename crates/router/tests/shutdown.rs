//! SIGTERM to a router process: requests in progress finish and new ones are refused.

mod support;

use std::io::Read;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Router;
use support::fake_engine;
use support::read_until;
use support::wait_until;

const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const UNKNOWN_PATH_REQUEST: &str = "GET /nothing HTTP/1.1\r\nhost: r\r\n\r\n";

// A router is stopped while a stream runs and a second caller keeps an idle connection. The stream
// continues to its end mark; a new request is refused as not run, with a `Retry-After` header; the
// idle connection does not delay the end of the process.
#[test]
fn a_stream_in_progress_ends_whole_and_new_requests_are_refused() {
    let (engine, streams) = fake_engine::start(EVENT_INTERVAL);
    let mut router = Router::start("stream_in_progress", engine, "");
    let mut idle = router.connect();
    idle.write_all(UNKNOWN_PATH_REQUEST.as_bytes()).unwrap();
    read_until(&mut idle, "}}");
    let mut stream = router.ask(1_000);
    read_until(&mut stream, "lens ");
    router.terminate();
    wait_until("stop of the router", || {
        !router.page("/readyz").starts_with("HTTP/1.1 200")
    });

    let refused = read_until(&mut router.ask(1), "}}");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    for header in [
        "reason: draining",
        "outcome: not-run",
        "retry-after: ",
        "connection: close",
    ] {
        assert!(refused.contains(header), "{header} in {refused}");
    }
    assert_eq!(router.exit_code(), None, "the stream still runs");
    streams.may_end.store(true, Ordering::SeqCst);
    let rest = read_until(&mut stream, "0\r\n\r\n");
    assert!(rest.contains("data: [DONE]"), "{rest}");
    assert!(!rest.contains("event: error"), "{rest}");
    assert_eq!(router.wait_for_end(), 0);
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "closed without an answer");
}

// A router is stopped while a caller does not read its long stream. Without a limit the endpoint's
// slot would stay occupied and the process would never end. The connection is closed after the idle
// timeout, and the router ends.
#[test]
fn a_caller_that_never_reads_does_not_hold_up_the_stop() {
    let (engine, streams) = fake_engine::start(Duration::ZERO);
    let mut router = Router::start("never_reads", engine, "idle_timeout_ms = 1000");
    let _non_reading = router.ask(1_000_000);
    wait_until("the stream", || streams.running.load(Ordering::SeqCst) == 1);
    router.terminate();
    assert_eq!(router.wait_for_end(), 0);
    wait_until("end of the stream", || {
        streams.running.load(Ordering::SeqCst) == 0
    });
}

// A router without requests is stopped while callers hold one unused connection and one with an
// incomplete request head. The first is closed; the second is refused as not run after the header
// timeout.
#[test]
fn connections_without_a_request_do_not_hold_up_the_stop() {
    let (engine, _) = fake_engine::start(EVENT_INTERVAL);
    let mut router = Router::start("without_request", engine, "header_timeout_ms = 1000");
    let mut unused = router.connect();
    let mut partial = router.connect();
    partial.write_all(b"GET /nothing HTTP/1.1\r\nho").unwrap();
    router.terminate();
    let refused = read_until(&mut partial, "}}");
    assert!(refused.starts_with("HTTP/1.1 408"), "{refused}");
    assert!(refused.contains("outcome: not-run"), "{refused}");
    assert_eq!(router.wait_for_end(), 0);
    assert_eq!(unused.read(&mut [0]).unwrap(), 0);
}
