//! Limits of the front over real sockets: each refuses with its own reason and is counted.

mod support;

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use bytes::Bytes;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_transport::answer::AnswerPart;
use support::front_bench::CHAT;
use support::front_bench::FrontBench;
use support::front_bench::assert_refused;
use support::front_bench::chat_request;
use support::front_bench::count_of;
use support::front_bench::head;
use support::front_bench::wait_until;
use yare::parameterized;

fn limits() -> FrontSettings {
    FrontSettings {
        header_timeout_ms: 200,
        idle_timeout_ms: 200,
        ..FrontSettings::default()
    }
}

fn refusals(reason: &str) -> u64 {
    count_of(&format!("sedgeridge_refusals_total{{reason=\"{reason}\"}}"))
}

fn closed(reason: &str) -> u64 {
    count_of(&format!(
        "sedgeridge_connections_closed_total{{reason=\"{reason}\"}}"
    ))
}

// A caller sends half a request head and then nothing. It is told so and its connection ends, as
// such connections would otherwise use up those that the router may have open.
#[test]
fn a_head_that_does_not_end_is_answered_and_closed() {
    let bench = FrontBench::start(limits());
    let before = refusals("header_timeout");
    let mut caller = bench.connect();
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nhost: de");
    assert_refused(&caller.read_to_end(), 408, "header_timeout");
    assert!(refusals("header_timeout") > before);
    assert!(closed("header_timeout") > 0);
}

// A caller sends its head and half its body, then nothing. It is refused, not kept.
#[test]
fn a_body_that_does_not_end_is_answered_and_closed() {
    let bench = FrontBench::start(limits());
    let mut caller = bench.connect();
    let request = chat_request(CHAT);
    caller.send(&request[..request.len() - 10]);
    let answer = caller.read_to_end();
    assert_refused(&answer, 408, "header_timeout");
    assert!(answer.contains("body: found no end"), "{answer}");
}

// A kept connection stays unused. It closes without an answer: nobody asked for one, and a caller
// that sends its next request at this moment must not take a refusal for that request's answer.
#[test]
fn an_idle_connection_is_closed_without_an_answer() {
    let bench = FrontBench::start(limits());
    let before = closed("idle");
    let mut caller = bench.connect();
    caller.send("GET /nothing HTTP/1.1\r\nhost: desk\r\n\r\n");
    caller.read_until("expected Bearer KEY");
    let rest = caller.read_to_end();
    assert!(!rest.contains("HTTP/1.1"), "{rest}");
    assert!(closed("idle") > before);
}

#[test]
fn a_connection_that_was_never_used_is_closed_without_an_answer() {
    let bench = FrontBench::start(limits());
    let before = closed("never_used");
    assert_eq!(bench.connect().read_to_end(), "");
    assert!(closed("never_used") > before);
}

// A caller waits for its answer longer than an idle connection may stay open. It is not idle.
#[test]
fn a_connection_that_waits_for_its_answer_is_not_idle() {
    let bench = FrontBench::start(limits());
    let mut waiting = bench.connect();
    waiting.send_chat();
    let new = bench.arrived();
    // A connection opened later closes as unused; the waiting one has waited longer by then.
    assert_eq!(bench.connect().read_to_end(), "");
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    let answer = waiting.read_to_end();
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn a_body_too_large_is_refused() {
    let bench = FrontBench::start(FrontSettings {
        max_body_bytes: 100,
        ..FrontSettings::default()
    });
    let before = refusals("body_too_large");
    let mut caller = bench.connect();
    caller.send(&chat_request(&" ".repeat(101)));
    let answer = caller.read_until("at most 100 bytes");
    assert_refused(&answer, 413, "body_too_large");
    assert!(refusals("body_too_large") > before);
}

// A router has as many connections as it may. One more caller is told so, with a time to come
// back; the callers before it keep theirs. When one of them goes, the next caller is served.
#[test]
fn a_connection_too_many_is_refused_with_a_time_to_come_back() {
    let bench = FrontBench::start(FrontSettings {
        max_connections: 1,
        ..FrontSettings::default()
    });
    let mut first = bench.connect();
    first.send_chat();
    let new = bench.arrived();
    let before = refusals("too_many_connections");
    let mut second = bench.connect();
    second.send_chat();
    let answer = second.read_to_end();
    assert_refused(&answer, 503, "too_many_connections");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(refusals("too_many_connections") > before);
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    first.read_until("0\r\n\r\n");
    drop(first);
    wait_until("a served connection", || {
        let mut next = bench.connect();
        next.send_chat();
        bench
            .core
            .recv_timeout(std::time::Duration::from_millis(50))
            .is_ok()
    });
}

// A caller goes away while its request waits. The core hears of it, so that the request leaves
// the queue and does not run for nobody.
#[test]
fn a_caller_that_goes_away_while_waiting_frees_its_place() {
    let bench = FrontBench::start(FrontSettings::default());
    let mut caller = bench.connect();
    caller.send_chat();
    let new = bench.arrived();
    drop(caller);
    assert_eq!(bench.caller_gone(), new.arrival.key);
    wait_until("end of the answer", || new.answer.is_closed());
}

// A caller stops reading in the middle of a long stream. The parts of its answer find no more
// room, which holds back its own endpoint only: another caller is served. After the idle time
// its connection is closed, so that the endpoint gets its slot back.
#[test]
fn a_caller_that_stops_reading_holds_back_only_itself() {
    let bench = FrontBench::start(limits());
    let before = closed("not_reading");
    let mut silent = bench.connect();
    silent.send_chat();
    let stream = bench.arrived();
    let sent = Arc::new(AtomicU64::new(0));
    let endpoint_sent = Arc::clone(&sent);
    let endpoint = thread::spawn(move || {
        stream.answer.blocking_send(head()).unwrap();
        let part = AnswerPart::Chunk(Bytes::from(vec![b'x'; 64 << 10]));
        while stream.answer.blocking_send(part.clone()).is_ok() {
            endpoint_sent.fetch_add(1, Ordering::Relaxed);
        }
    });
    wait_until("begin of the stream", || sent.load(Ordering::Relaxed) > 0);
    let mut other = bench.connect();
    other.send_chat();
    let new = bench.arrived();
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    other.read_until("0\r\n\r\n");
    wait_until("end of the stream", || endpoint.is_finished());
    assert!(closed("not_reading") > before);
    let mut rest = Vec::new();
    let _ = silent.stream.read_to_end(&mut rest);
    assert!(
        !rest.ends_with(b"0\r\n\r\n"),
        "a cut answer must not look whole"
    );
}

// A request by its id would show one account another's answer. No page gives one, neither to the
// account itself nor to others.
#[parameterized(
    chat = { "/v1/chat/completions/router-1-1-0" },
    request = { "/v1/requests/router-1-1-0" },
    answer = { "/v1/answers/router-1-1-0" },
)]
fn no_request_is_readable_by_its_id(path: &str) {
    let bench = FrontBench::start(limits());
    let mut caller = bench.connect();
    let key = support::KEY;
    caller.send(&format!(
        "GET {path} HTTP/1.1\r\nhost: desk\r\nauthorization: {key}\r\n\r\n"
    ));
    assert_refused(&caller.read_to_end(), 404, "unknown_service");
}

// What is no HTTP is answered by the HTTP library with a bare status, and counted here.
#[parameterized(
    no_http = { "lens\r\n\r\n", 400 },
    other_version = { "GET / HTTP/3.0\r\n\r\n", 400 },
    space_in_header_name = { "GET / HTTP/1.1\r\nho st: desk\r\n\r\n", 400 },
    two_lengths = { "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400 },
    length_with_sign = { "POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\na", 400 },
    unknown_transfer = { "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n", 400 },
    null_in_header = { "GET / HTTP/1.1\r\nhost: a\0b\r\n\r\n", 400 },
)]
fn what_is_no_http_is_refused_and_counted(text: &str, status: u16) {
    let bench = FrontBench::start(limits());
    let before = refusals("bad_request");
    let mut caller = bench.connect();
    caller.send(text);
    let answer = caller.read_to_end();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer:?}"
    );
    wait_until("the count", || refusals("bad_request") > before);
}

#[parameterized(
    many_headers = { (0..200).map(|n| format!("x-{n}: a\r\n")).collect() },
    long_header = { format!("x-long: {}\r\n", "a".repeat(9_000)) },
)]
fn a_head_too_large_is_refused_and_counted(headers: String) {
    let bench = FrontBench::start(limits());
    let before = refusals("bad_request");
    let mut caller = bench.connect();
    caller.send(&format!("GET / HTTP/1.1\r\n{headers}\r\n"));
    let answer = caller.read_to_end();
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer:?}");
    wait_until("the count", || refusals("bad_request") > before);
}

#[test]
fn a_chunked_body_that_is_malformed_is_refused() {
    let bench = FrontBench::start(limits());
    let mut caller = bench.connect();
    let key = support::KEY;
    caller.send(&format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: desk\r\nauthorization: {key}\r\n\
         transfer-encoding: chunked\r\n\r\nlens\r\n"
    ));
    let answer = caller.read_to_end();
    assert_refused(&answer, 400, "bad_request");
    assert!(answer.contains("body: "), "{answer}");
}
