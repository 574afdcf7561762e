//! Limits of the front on real sockets: each has its own refusal reason and is counted.

mod support;

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use bytes::Bytes;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_transport::answer::AnswerPart;
use support::test_front::CHAT;
use support::test_front::TestFront;
use support::test_front::assert_refused;
use support::test_front::chat_request;
use support::test_front::counter_value;
use support::test_front::head;
use support::test_front::wait_until;
use yare::parameterized;

fn limits() -> FrontSettings {
    FrontSettings {
        header_timeout_ms: 200,
        idle_timeout_ms: 200,
        ..FrontSettings::default()
    }
}

fn refusal_count(reason: &str) -> u64 {
    counter_value(&format!("sedgeridge_refusals_total{{reason=\"{reason}\"}}"))
}

fn closed_count(reason: &str) -> u64 {
    counter_value(&format!(
        "sedgeridge_connections_closed_total{{reason=\"{reason}\"}}"
    ))
}

// A caller sends half a request head and then nothing. It must get a refusal and its connection must be closed.
// Otherwise such connections would use up the router's limit on connections.
#[test]
fn a_head_that_does_not_end_is_answered_and_closed() {
    let front = TestFront::start(limits());
    let before = refusal_count("header_timeout");
    let mut caller = front.connect();
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nhost: de");
    assert_refused(&caller.read_to_end(), 408, "header_timeout");
    assert!(refusal_count("header_timeout") > before);
    assert!(closed_count("header_timeout") > 0);
}

// A caller sends its head and half its body, then nothing. It must be refused and its connection closed.
#[test]
fn a_body_that_does_not_end_is_answered_and_closed() {
    let front = TestFront::start(limits());
    let mut caller = front.connect();
    let request = chat_request(CHAT);
    caller.send(&request[..request.len() - 10]);
    let answer = caller.read_to_end();
    assert_refused(&answer, 408, "header_timeout");
    assert!(answer.contains("body: found no end"), "{answer}");
}

// An idle connection must be closed without an answer: a caller that sends its next request at this moment
// would take a refusal for the answer to that request.
#[test]
fn an_idle_connection_is_closed_without_an_answer() {
    let front = TestFront::start(limits());
    let before = closed_count("idle");
    let mut caller = front.connect();
    caller.send("GET /nothing HTTP/1.1\r\nhost: desk\r\n\r\n");
    caller.read_until("expected Bearer KEY");
    let rest = caller.read_to_end();
    assert!(!rest.contains("HTTP/1.1"), "{rest}");
    assert!(closed_count("idle") > before);
}

#[test]
fn a_connection_that_was_never_used_is_closed_without_an_answer() {
    let front = TestFront::start(limits());
    let before = closed_count("never_used");
    assert_eq!(front.connect().read_to_end(), "");
    assert!(closed_count("never_used") > before);
}

// A caller waits for its answer longer than the idle timeout. Its connection must not count as idle.
#[test]
fn a_connection_that_waits_for_its_answer_is_not_idle() {
    let front = TestFront::start(limits());
    let mut waiting = front.connect();
    waiting.send_chat();
    let new = front.next_request();
    // A connection that is opened later is closed as unused, so the waiting one has waited longer.
    assert_eq!(front.connect().read_to_end(), "");
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    let answer = waiting.read_to_end();
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn a_body_too_large_is_refused() {
    let front = TestFront::start(FrontSettings {
        max_body_bytes: 100,
        ..FrontSettings::default()
    });
    let before = refusal_count("body_too_large");
    let mut caller = front.connect();
    caller.send(&chat_request(&" ".repeat(101)));
    let answer = caller.read_until("at most 100 bytes");
    assert_refused(&answer, 413, "body_too_large");
    assert!(refusal_count("body_too_large") > before);
}

// The router has reached its limit on connections. A further caller must be refused with `Retry-After`, and other
// connections must stay open. After one of them has closed, the next caller must be served.
#[test]
fn a_connection_beyond_the_limit_is_refused_with_retry_after() {
    let front = TestFront::start(FrontSettings {
        max_connections: 1,
        ..FrontSettings::default()
    });
    let mut first = front.connect();
    first.send_chat();
    let new = front.next_request();
    let before = refusal_count("too_many_connections");
    let mut second = front.connect();
    second.send_chat();
    let answer = second.read_to_end();
    assert_refused(&answer, 503, "too_many_connections");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(refusal_count("too_many_connections") > before);
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    first.read_until("0\r\n\r\n");
    drop(first);
    wait_until("a served connection", || {
        let mut next = front.connect();
        next.send_chat();
        front
            .core
            .recv_timeout(std::time::Duration::from_millis(50))
            .is_ok()
    });
}

// A caller disconnects while its request waits. The core must be notified, so that the request leaves the queue
// and does not run.
#[test]
fn a_caller_that_disconnects_while_waiting_is_reported_to_the_core() {
    let front = TestFront::start(FrontSettings::default());
    let mut caller = front.connect();
    caller.send_chat();
    let new = front.next_request();
    drop(caller);
    assert_eq!(front.next_disconnect(), new.arrival.key);
    wait_until("end of the answer", || new.answer.is_closed());
}

// A caller stops reading in the middle of a long stream. The channel of its answer fills up, which must block only
// its own attempt: another caller must be served. After the idle timeout its connection must be closed, so that
// the endpoint's slot becomes free.
#[test]
fn a_caller_that_stops_reading_holds_back_only_itself() {
    let front = TestFront::start(limits());
    let before = closed_count("not_reading");
    let mut silent = front.connect();
    silent.send_chat();
    let stream = front.next_request();
    let sent = Arc::new(AtomicU64::new(0));
    let endpoint_sent = Arc::clone(&sent);
    let endpoint = thread::spawn(move || {
        stream.answer.blocking_send(head()).unwrap();
        let part = AnswerPart::Chunk(Bytes::from(vec![b'x'; 64 << 10]));
        while stream.answer.blocking_send(part.clone()).is_ok() {
            endpoint_sent.fetch_add(1, Ordering::Relaxed);
        }
    });
    wait_until("start of the stream", || sent.load(Ordering::Relaxed) > 0);
    let mut other = front.connect();
    other.send_chat();
    let new = front.next_request();
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    other.read_until("0\r\n\r\n");
    wait_until("end of the stream", || endpoint.is_finished());
    assert!(closed_count("not_reading") > before);
    let mut rest = Vec::new();
    let _ = silent.stream.read_to_end(&mut rest);
    assert!(
        !rest.ends_with(b"0\r\n\r\n"),
        "an incomplete answer must not look complete"
    );
}

// If answers could be read by request id, one account could read another one's answer. No path may return an
// answer by id, not even to its own account.
#[parameterized(
    chat = { "/v1/chat/completions/router-1-1-0" },
    request = { "/v1/requests/router-1-1-0" },
    answer = { "/v1/answers/router-1-1-0" },
)]
fn no_request_is_readable_by_its_id(path: &str) {
    let front = TestFront::start(limits());
    let mut caller = front.connect();
    let key = support::KEY;
    caller.send(&format!(
        "GET {path} HTTP/1.1\r\nhost: desk\r\nauthorization: {key}\r\n\r\n"
    ));
    assert_refused(&caller.read_to_end(), 404, "unknown_service");
}

// Invalid HTTP is answered by the HTTP library with a bare status, and must be counted by the front.
#[parameterized(
    no_http = { "lens\r\n\r\n", 400 },
    other_version = { "GET / HTTP/3.0\r\n\r\n", 400 },
    space_in_header_name = { "GET / HTTP/1.1\r\nho st: desk\r\n\r\n", 400 },
    two_lengths = { "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400 },
    length_with_sign = { "POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\na", 400 },
    unknown_transfer = { "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n", 400 },
    null_in_header = { "GET / HTTP/1.1\r\nhost: a\0b\r\n\r\n", 400 },
)]
fn invalid_http_is_refused_and_counted(text: &str, status: u16) {
    let front = TestFront::start(limits());
    let before = refusal_count("bad_request");
    let mut caller = front.connect();
    caller.send(text);
    let answer = caller.read_to_end();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer:?}"
    );
    wait_until("the count", || refusal_count("bad_request") > before);
}

#[parameterized(
    many_headers = { (0..200).map(|n| format!("x-{n}: a\r\n")).collect() },
    long_header = { format!("x-long: {}\r\n", "a".repeat(9_000)) },
)]
fn a_head_too_large_is_refused_and_counted(headers: String) {
    let front = TestFront::start(limits());
    let before = refusal_count("bad_request");
    let mut caller = front.connect();
    caller.send(&format!("GET / HTTP/1.1\r\n{headers}\r\n"));
    let answer = caller.read_to_end();
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer:?}");
    wait_until("the count", || refusal_count("bad_request") > before);
}

#[test]
fn a_malformed_chunked_body_is_refused() {
    let front = TestFront::start(limits());
    let mut caller = front.connect();
    let key = support::KEY;
    caller.send(&format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: desk\r\nauthorization: {key}\r\n\
         transfer-encoding: chunked\r\n\r\nlens\r\n"
    ));
    let answer = caller.read_to_end();
    assert_refused(&answer, 400, "bad_request");
    assert!(answer.contains("body: "), "{answer}");
}
