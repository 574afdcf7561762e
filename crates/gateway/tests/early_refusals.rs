//! Requests that are refused by their first bytes while the engines have no capacity left.

mod support;

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use yare::parameterized;

use support::Fleet;
use support::Step;
use support::header;
use support::read_message;
use support::run_engines;

/// So low that one prompt is more than the account's share.
const TOKENS_PER_S: f64 = 10.0;
const TOKENS: u32 = 20_000;
const READ_TIMEOUT: Duration = Duration::from_secs(3);

fn engine_request(id: &str, more: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: {id}\r\nkey: secret\r\ntokens: {TOKENS}\r\n{more}\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Runs a test on a router whose only engine is busy with a long prompt, so that the account is
/// refused.
fn run(test: impl AsyncFnOnce(Fleet)) {
    let script = vec![vec![Step::Read, Step::Hang]];
    run_engines(TOKENS_PER_S, script, async |fleet| {
        let mut first = connect(&fleet).await;
        send(&mut first, &engine_request("first", "", "body")).await;
        sleep(Duration::from_millis(100)).await;
        // Another account asks for part of what the first one has used.
        let mut second = connect(&fleet).await;
        let other = engine_request("second", "", "body").replace("secret", "other");
        send(&mut second, &other).await;
        sleep(Duration::from_millis(150)).await;
        test(fleet).await;
        drop(first);
    });
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.callers)
        .await
        .expect("a connection")
}

async fn send(caller: &mut TcpStream, bytes: &str) {
    caller.write_all(bytes.as_bytes()).await.expect("sent");
}

async fn refusal(caller: &mut TcpStream) -> String {
    let response = timeout(READ_TIMEOUT, read_message(caller)).await;
    let response = response.expect("an answer in time").expect("an answer");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.ends_with("over_share"), "{response}");
    let wait: f64 = header(&response, "retry-after")
        .expect("a time")
        .parse()
        .expect("seconds");
    assert!(wait > 0.0 && wait <= 1.5, "{wait}");
    response
}

fn requests_seen(fleet: &Fleet) -> usize {
    fleet
        .records
        .iter()
        .map(|records| records.borrow().requests.len())
        .sum()
}

/// Guards against responses that are lost, doubled or out of order when many requests arrive on one
/// connection.
#[test]
fn each_request_of_a_flood_gets_one_answer() {
    run(async |fleet| {
        let mut caller = connect(&fleet).await;
        let mut early = 0;
        for number in 0..200 {
            send(
                &mut caller,
                &engine_request(&format!("a{number}"), "", "body"),
            )
            .await;
            // hyper adds a date to its responses.
            let response = refusal(&mut caller).await;
            early += u32::from(header(&response, "date").is_none());
        }
        assert!(early > 100, "{early} were refused by their first bytes");
        let pipelined: String = (0..50)
            .map(|number| engine_request(&format!("b{number}"), "", "body"))
            .collect();
        send(&mut caller, &pipelined).await;
        for _ in 0..50 {
            refusal(&mut caller).await;
        }
        assert_eq!(requests_seen(&fleet), 1, "nothing more has run");
    });
}

/// Guards against wrong handling of a request that arrives in pieces, or whose length only hyper
/// knows.
#[parameterized(
    within_head = { "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a\r\nkey: sec", "ret\r\ntokens: 20000\r\nContent-Length: 4\r\n\r\nbody" },
    before_body = { "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a\r\nkey: secret\r\ntokens: 20000\r\nContent-Length: 4\r\n\r\n", "body" },
    within_body = { "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a\r\nkey: secret\r\ntokens: 20000\r\nContent-Length: 4\r\n\r\nbo", "dy" },
    chunks = { "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a\r\nkey: secret\r\ntokens: 20000\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n" },
)]
fn a_request_in_pieces_is_answered_once(first: &str, rest: &str) {
    let (first, rest) = (first.to_owned(), rest.to_owned());
    run(async move |fleet| {
        let mut caller = connect(&fleet).await;
        for _ in 0..3 {
            // After this request, the next one may be refused early.
            send(&mut caller, &engine_request("before", "", "body")).await;
            refusal(&mut caller).await;
            send(&mut caller, &first).await;
            sleep(Duration::from_millis(5)).await;
            send(&mut caller, &rest).await;
            refusal(&mut caller).await;
        }
        assert_eq!(requests_seen(&fleet), 1);
    });
}

/// Guards against a stated length that is parsed in another way than by hyper.
#[parameterized(
    beyond_all = { "18446744073709551615" },
    signed = { "+4" },
    twice = { "4\r\nContent-Length: 5" },
)]
fn unusual_lengths_are_left_to_hyper(length: &str) {
    let odd = format!(
        "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: x\r\nkey: secret\r\ntokens: 5\r\n\
         Content-Length: {length}\r\n\r\nbody"
    );
    run(async move |fleet| {
        let mut caller = connect(&fleet).await;
        send(&mut caller, &engine_request("a", "", "body")).await;
        refusal(&mut caller).await;
        send(&mut caller, &odd).await;
        let response = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        // Closing the connection without a response is valid too.
        let response = response.expect("an end in time").unwrap_or_default();
        assert!(!response.starts_with("HTTP/1.1 503"), "{response}");
    });
}

/// Guards against leaving a caller waiting that asked for the end of the connection.
#[test]
fn a_connection_that_its_caller_wants_closed_is_closed() {
    run(async |fleet| {
        let mut other = connect(&fleet).await;
        send(&mut other, &engine_request("a", "", "body")).await;
        refusal(&mut other).await;
        let mut caller = connect(&fleet).await;
        send(
            &mut caller,
            &engine_request("b", "Connection: close\r\n", "body"),
        )
        .await;
        refusal(&mut caller).await;
        let end = timeout(READ_TIMEOUT, caller.read(&mut [0; 1])).await;
        assert_eq!(end.expect("an end in time").unwrap_or(0), 0);
    });
}

/// Guards against an early refusal of a request that isn't for an engine, or has an unknown key.
#[parameterized(
    unknown_key = { "key: guess", "401" },
    no_route = { "key: secret", "404" },
)]
fn other_error_responses_are_unchanged(key: &str, status: &str) {
    let path = match status {
        "404" => "elsewhere.example",
        _ => "desk.example",
    };
    let request = format!(
        "POST /plan HTTP/1.1\r\nHost: {path}\r\nid: x\r\n{key}\r\ntokens: 5\r\nContent-Length: 0\r\n\r\n"
    );
    let status = status.to_owned();
    run(async move |fleet| {
        let mut caller = connect(&fleet).await;
        send(&mut caller, &engine_request("a", "", "body")).await;
        refusal(&mut caller).await;
        send(&mut caller, &request).await;
        let response = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        let response = response.expect("in time").expect("an answer");
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{response}"
        );
    });
}
