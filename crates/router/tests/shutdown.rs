//! SIGTERM to a real router: nothing in progress is cut off, nothing new begins.

mod support;

use std::io::Read;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Router;
use support::fake_engine;
use support::read_until;
use support::wait_until;

const PAUSE: Duration = Duration::from_millis(5);
const NOT_SERVED: &str = "GET /nothing HTTP/1.1\r\nhost: r\r\n\r\n";

// A router is stopped while a stream runs and a second caller keeps an idle connection. The
// stream goes on to its end mark; a new request on either connection is refused as not run, with
// a time to come back; the idle connection does not hold the process up.
#[test]
fn a_stream_in_progress_ends_whole_and_new_requests_are_refused() {
    let (engine, streams) = fake_engine::start(PAUSE);
    let mut router = Router::start("stream_in_progress", engine, "");
    let mut idle = router.connect();
    idle.write_all(NOT_SERVED.as_bytes()).unwrap();
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

// A router is stopped while a caller of a long stream has stopped reading. Its endpoint's slot and
// the process would stay for good; after the idle time the connection is closed and the router ends.
#[test]
fn a_caller_that_never_reads_does_not_hold_up_the_stop() {
    let (engine, streams) = fake_engine::start(Duration::ZERO);
    let mut router = Router::start("never_reads", engine, "idle_timeout_ms = 1000");
    let _silent = router.ask(1_000_000);
    wait_until("the stream", || streams.running.load(Ordering::SeqCst) == 1);
    router.terminate();
    assert_eq!(router.wait_for_end(), 0);
    wait_until("end of the stream", || {
        streams.running.load(Ordering::SeqCst) == 0
    });
}

// A router without work is stopped while callers hold a connection that was never used, and one in
// the middle of a request head. The first is closed; the second has the time that a head may take,
// and is then told that its request was not run.
#[test]
fn connections_without_a_request_do_not_hold_up_the_stop() {
    let (engine, _) = fake_engine::start(PAUSE);
    let mut router = Router::start("without_request", engine, "header_timeout_ms = 1000");
    let mut unused = router.connect();
    let mut half = router.connect();
    half.write_all(b"GET /nothing HTTP/1.1\r\nho").unwrap();
    router.terminate();
    let refused = read_until(&mut half, "}}");
    assert!(refused.starts_with("HTTP/1.1 408"), "{refused}");
    assert!(refused.contains("outcome: not-run"), "{refused}");
    assert_eq!(router.wait_for_end(), 0);
    assert_eq!(unused.read(&mut [0]).unwrap(), 0);
}
