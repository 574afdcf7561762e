//! Requests through a complete router on loopback, with endpoints that misbehave.

mod support;

use std::io::Write;
use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use support::Step;
use support::header;
use support::read_message;
use support::request;
use support::response_with_body;
use support::run;
use support::send_request;

fn responses(body: &str) -> Vec<Step> {
    vec![Step::Read, Step::Send(response_with_body(body))]
}

fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nid: {id}\r\nproof: p\r\nContent-Type: text/event-stream\r\n\
     Transfer-Encoding: chunked\r\n\r\n"
        .to_owned()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn total_requests(fleet: &support::Fleet) -> usize {
    fleet
        .records
        .iter()
        .map(|s| s.borrow().requests.len())
        .sum()
}

#[test]
fn an_answer_is_passed_on_unchanged_and_the_key_is_not() {
    let script = vec![responses("kit list")];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("kit list"), "{response}");
        assert_eq!(header(&response, "proof").as_deref(), Some("p"));
        let sent = fleet.records[0].borrow().requests[0].clone();
        assert_eq!(header(&sent, "key"), None);
        assert_eq!(header(&sent, "account").as_deref(), Some("crew-7"));
        assert!(sent.ends_with("body"));
    });
}

#[test]
fn unknown_keys_and_routes_get_their_own_answers() {
    let script = vec![responses("x")];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let unknown_key = request("a1").replace("secret", "guess");
        let response = send_request(fleet.callers, &unknown_key, false).await;
        assert!(response.starts_with("HTTP/1.1 401"), "{response}");
        let unknown_host = request("a2").replace("desk.example", "other.example");
        let response = send_request(fleet.callers, &unknown_host, false).await;
        assert!(response.starts_with("HTTP/1.1 404"), "{response}");
        let without_id = request("a3").replace("id: a3\r\n", "");
        let response = send_request(fleet.callers, &without_id, false).await;
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        assert_eq!(total_requests(&fleet), 0);
    });
}

/// An endpoint reads a request that must not run twice and closes the connection, so the request
/// may have run. The caller must get a failure, and no second endpoint may see the request.
#[test]
fn a_lost_answer_of_an_unrepeatable_request_is_a_failure_not_a_repeat() {
    let losing = vec![vec![Step::Read, Step::Close]];
    run(Repeat::AtMostOnce, 2, losing, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert_eq!(total_requests(&fleet), 1);
    });
}

/// The first endpoint loses the response of a request that may run twice. The caller must get it
/// from the second one.
#[test]
fn a_lost_answer_of_a_repeatable_request_is_asked_for_again() {
    let script = vec![vec![Step::Read, Step::Close], responses("from the second")];
    run(Repeat::Idempotent, 2, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.ends_with("from the second"), "{response}");
        assert_eq!(total_requests(&fleet), 2);
    });
}

/// The first endpoint accepts the request and stays silent. The caller must get its response from
/// the second one.
#[test]
fn a_silent_endpoint_is_given_up_for_another() {
    let script = vec![vec![Step::Read, Step::Hang], responses("from the second")];
    run(Repeat::Idempotent, 2, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.ends_with("from the second"), "{response}");
    });
}

/// Guards against a response to another caller's request. An endpoint sends the id of another
/// request, as it does when an old response arrives late on a reused connection.
#[test]
fn an_answer_to_another_request_is_never_passed_on() {
    let crossed = response_with_body("another's list").replace("{id}", "somebody");
    let script = vec![vec![Step::Read, Step::Send(crossed)]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert!(!response.contains("another's list"));
    });
}

/// A success without the endpoint's proof is not the endpoint's response and must not reach the
/// caller.
#[test]
fn an_answer_without_proof_is_not_passed_on() {
    let script = vec![vec![
        Step::Read,
        Step::Send(response_with_body("x").replace("proof: p\r\n", "")),
    ]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    });
}

/// A refusal promises that the request has not run. An endpoint's own 503 does not say so, and must
/// not reach the caller as a refusal.
#[test]
fn an_endpoints_busy_answer_without_the_promise_is_no_refusal() {
    let busy = "HTTP/1.1 503 Busy\r\nid: {id}\r\nproof: p\r\nContent-Length: 0\r\n\r\n";
    let script = vec![vec![Step::Read, Step::Send(busy.to_owned())]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    });
}

/// When every endpoint rejected the request unrun, the caller gets a refusal with a time after
/// which to retry.
#[test]
fn requests_that_were_turned_away_unrun_are_refused_with_a_time() {
    let full = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    let script = vec![vec![Step::Read, Step::Send(full.to_owned())]];
    run(Repeat::AtMostOnce, 2, script, async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(header(&response, "retry-after").is_some());
    });
}

/// The first endpoint of a stream breaks off in the middle of event 2; the second one resumes after
/// event 1. The caller must see each of the events 1 to 3 once.
#[test]
fn a_stream_goes_on_elsewhere_after_its_last_whole_event() {
    let first = vec![
        Step::Read,
        Step::Send(stream_head()),
        Step::Send(chunk("id: 1\ndata: a\n\nid: 2\nda")),
        Step::Close,
    ];
    let second = vec![
        Step::Read,
        Step::Send(stream_head()),
        Step::Send(chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")),
        Step::Send("0\r\n\r\n".to_owned()),
    ];
    let repeat = Repeat::Stream { resumable: true };
    run(repeat, 2, vec![first, second], async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), true).await;
        for event in ["id: 1\n", "id: 2\n", "id: 3\n"] {
            assert_eq!(
                response.matches(event).count(),
                1,
                "{event:?} in {response}"
            );
        }
        let requests = fleet
            .records
            .iter()
            .flat_map(|s| s.borrow().requests.clone());
        let resumed = requests.filter_map(|sent| header(&sent, "last-event-id"));
        assert_eq!(resumed.collect::<Vec<_>>(), ["1"]);
    });
}

/// A stream breaks off and cannot be resumed. The connection must end without the last chunk, so
/// that the caller sees that the response is not complete.
#[test]
fn a_stream_that_cannot_go_on_does_not_look_complete() {
    let broken = vec![
        Step::Read,
        Step::Send(stream_head()),
        Step::Send(chunk("id: 1\ndata: a\n\n")),
        Step::Close,
    ];
    let repeat = Repeat::Stream { resumable: false };
    run(repeat, 1, vec![broken], async |fleet| {
        let response = send_request(fleet.callers, &request("a1"), true).await;
        assert!(response.contains("id: 1"), "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    });
}

/// Above the limit on connections each response closes its connection, so that callers can connect
/// although many others keep idle connections.
#[test]
fn a_crowded_router_ends_connections_with_their_answers() {
    let script = vec![vec![
        Step::Read,
        Step::Send(response_with_body("x")),
        Step::Read,
        Step::Send(response_with_body("x")),
    ]];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut idle = Vec::new();
        for _ in 0..2 {
            idle.push(TcpStream::connect(fleet.callers).await.expect("connected"));
        }
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert_eq!(header(&response, "connection"), None, "{response}");
        for _ in 0..2 {
            idle.push(TcpStream::connect(fleet.callers).await.expect("connected"));
        }
        let response = send_request(fleet.callers, &request("a2"), false).await;
        assert_eq!(header(&response, "connection").as_deref(), Some("close"));
    });
}

/// When a caller leaves, the connection to the endpoint is closed at once, so that the endpoint
/// stops working for it.
#[test]
fn a_caller_that_leaves_frees_the_endpoint() {
    let script = vec![vec![Step::Read, Step::Hang]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let mut caller = TcpStream::connect(fleet.callers).await.expect("connected");
        caller
            .write_all(request("a1").as_bytes())
            .await
            .expect("sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(total_requests(&fleet), 1);
        drop(caller);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(fleet.records[0].borrow().closed_while_idle, 1);
    });
}

/// An endpoint never answers. The caller must get a final response at the route's timeout.
#[test]
fn a_request_ends_at_its_routes_timeout() {
    let script = vec![vec![Step::Read, Step::Hang]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let sent_at = std::time::Instant::now();
        let response = send_request(fleet.callers, &request("a1"), false).await;
        assert!(response.starts_with("HTTP/1.1 504"), "{response}");
        let elapsed = sent_at.elapsed();
        assert!(elapsed < Duration::from_millis(2_000), "{elapsed:?}");
    });
}

/// The route's timeout runs from the request's head. A body that arrives slowly must not extend it.
#[test]
fn a_slow_body_does_not_move_the_timeout() {
    let script = vec![vec![Step::Read, Step::Hang]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let mut caller = TcpStream::connect(fleet.callers).await.expect("connected");
        let sent = request("a1");
        let (head, body) = sent.split_at(sent.len() - 2);
        let sent_at = std::time::Instant::now();
        caller.write_all(head.as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(900)).await;
        caller.write_all(body.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 504"), "{response}");
        let elapsed = sent_at.elapsed();
        assert!(elapsed < Duration::from_millis(2_000), "{elapsed:?}");
    });
}

/// After a planned stop the readiness page answers 503, so that the balancer sends no more callers,
/// an idle kept connection is closed, and the process ends.
#[test]
fn a_stop_finishes_what_is_in_progress_and_closes_kept_connections() {
    let slow = vec![vec![Step::Read, Step::Hang], responses("x")];
    run(Repeat::Idempotent, 1, slow, async |fleet| {
        let mut kept = TcpStream::connect(fleet.callers).await.expect("connected");
        let ready = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
        assert!(
            send_request(fleet.ready, ready, false)
                .await
                .starts_with("HTTP/1.1 200")
        );
        fleet.stop.notify_one();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let response = send_request(fleet.ready, ready, false).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert_eq!(read_message(&mut kept).await, None);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert!(*fleet.is_stopped.borrow());
    });
}

/// An overloaded host accepts connections after their callers gave up and closed them, with the
/// requests still in them. These must not reach an endpoint, which would work for nobody.
#[test]
fn a_request_whose_caller_left_before_it_was_accepted_reaches_no_endpoint() {
    let script = vec![responses("x")];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        for number in 0..20 {
            // Without an `await`, so that the router's event loop sees only the closed connection.
            let mut stream = std::net::TcpStream::connect(fleet.callers).expect("a connection");
            let request = request(&format!("a{number}"));
            stream.write_all(request.as_bytes()).expect("sent");
            drop(stream);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(total_requests(&fleet), 0);
        let response = send_request(fleet.callers, &request("b1"), false).await;
        assert!(response.ends_with('x'), "{response}");
    });
}

/// Another writer overwrites the first endpoint's entry with unreadable bytes. Nothing says any
/// more that this endpoint takes requests, and the second one's entry still holds. Only the second
/// one may get requests.
#[test]
fn an_entry_that_cannot_be_read_names_no_endpoint() {
    let responses: Vec<Step> = (0..8).flat_map(|_| responses("x")).collect();
    let script = vec![responses];
    run(Repeat::Idempotent, 2, script, async |fleet| {
        fleet.overwrite.notify_one();
        tokio::time::sleep(Duration::from_millis(50)).await;
        for number in 0..8 {
            let response =
                send_request(fleet.callers, &request(&format!("a{number}")), false).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        assert_eq!(fleet.records[0].borrow().requests.len(), 0);
        assert_eq!(fleet.records[1].borrow().requests.len(), 8);
    });
}
