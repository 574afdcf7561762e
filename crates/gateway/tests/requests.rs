//! Requests through a whole router on loopback, with endpoints that misbehave.

mod support;

use std::io::Write;
use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use support::Act;
use support::ask;
use support::header;
use support::read_message;
use support::request;
use support::run;
use support::whole;

fn answers(body: &str) -> Vec<Act> {
    vec![Act::Read, Act::Send(whole(body))]
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
    fleet.seen.iter().map(|s| s.borrow().requests.len()).sum()
}

#[test]
fn an_answer_is_passed_on_unchanged_and_the_key_is_not() {
    let script = vec![answers("kit list")];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(answer.ends_with("kit list"), "{answer}");
        assert_eq!(header(&answer, "proof").as_deref(), Some("p"));
        let sent = fleet.seen[0].borrow().requests[0].clone();
        assert_eq!(header(&sent, "key"), None);
        assert_eq!(header(&sent, "account").as_deref(), Some("crew-7"));
        assert!(sent.ends_with("body"));
    });
}

#[test]
fn unknown_keys_and_routes_get_their_own_answers() {
    let script = vec![answers("x")];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let stranger = request("a1").replace("secret", "guess");
        let answer = ask(fleet.callers, &stranger, false).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        let elsewhere = request("a2").replace("desk.example", "other.example");
        let answer = ask(fleet.callers, &elsewhere, false).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        let anonymous = request("a3").replace("id: a3\r\n", "");
        let answer = ask(fleet.callers, &anonymous, false).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(total_requests(&fleet), 0);
    });
}

/// The caller's deposit is charged once. The endpoint reads the request and closes the connection:
/// it may have run. The caller learns that it failed, and no second endpoint sees the request.
#[test]
fn a_lost_answer_of_an_unrepeatable_request_is_a_failure_not_a_repeat() {
    let lossy = vec![vec![Act::Read, Act::Close]];
    run(Repeat::AtMostOnce, 2, lossy, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert_eq!(total_requests(&fleet), 1);
    });
}

/// The caller gets its answer although the first endpoint lost it: the request may run twice.
#[test]
fn a_lost_answer_of_a_repeatable_request_is_asked_for_again() {
    let script = vec![vec![Act::Read, Act::Close], answers("from the second")];
    run(Repeat::Idempotent, 2, script, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.ends_with("from the second"), "{answer}");
        assert_eq!(total_requests(&fleet), 2);
    });
}

/// The caller gets its answer although the first endpoint takes the request and stays silent.
#[test]
fn a_silent_endpoint_is_given_up_for_another() {
    let script = vec![vec![Act::Read, Act::Hang], answers("from the second")];
    run(Repeat::Idempotent, 2, script, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.ends_with("from the second"), "{answer}");
    });
}

/// The caller must not get another caller's kit list. An endpoint answers with the id of another
/// request, as it does when an old answer comes late on a connection that is used again.
#[test]
fn an_answer_to_another_request_is_never_passed_on() {
    let crossed = whole("another's list").replace("{id}", "somebody");
    let script = vec![vec![Act::Read, Act::Send(crossed)]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(!answer.contains("another's list"));
    });
}

/// A success without the endpoint's proof, or with an encoding nobody asked for, is not its answer.
#[test]
fn an_answer_without_proof_is_not_passed_on() {
    let script = vec![vec![
        Act::Read,
        Act::Send(whole("x").replace("proof: p\r\n", "")),
    ]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    });
}

/// A refusal promises that the request has not run. An endpoint's own 503 does not say so, and must
/// not reach the caller as one.
#[test]
fn an_endpoints_busy_answer_without_the_promise_is_no_refusal() {
    let busy = "HTTP/1.1 503 Busy\r\nid: {id}\r\nproof: p\r\nContent-Length: 0\r\n\r\n";
    let script = vec![vec![Act::Read, Act::Send(busy.to_owned())]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    });
}

/// The caller gets a refusal with a time to come back when every endpoint turned the request away.
#[test]
fn requests_that_were_turned_away_unrun_are_refused_with_a_time() {
    let full = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    let script = vec![vec![Act::Read, Act::Send(full.to_owned())]];
    run(Repeat::AtMostOnce, 2, script, async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(header(&answer, "retry-after").is_some());
    });
}

/// The caller sees events 1 to 3 once each. The first endpoint breaks off in the middle of event 2;
/// the second one goes on after event 1.
#[test]
fn a_stream_goes_on_elsewhere_after_its_last_whole_event() {
    let first = vec![
        Act::Read,
        Act::Send(stream_head()),
        Act::Send(chunk("id: 1\ndata: a\n\nid: 2\nda")),
        Act::Close,
    ];
    let second = vec![
        Act::Read,
        Act::Send(stream_head()),
        Act::Send(chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")),
        Act::Send("0\r\n\r\n".to_owned()),
    ];
    let repeat = Repeat::Stream { resumable: true };
    run(repeat, 2, vec![first, second], async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), true).await;
        for event in ["id: 1\n", "id: 2\n", "id: 3\n"] {
            assert_eq!(answer.matches(event).count(), 1, "{event:?} in {answer}");
        }
        let requests = fleet.seen.iter().flat_map(|s| s.borrow().requests.clone());
        let resumed = requests.filter_map(|sent| header(&sent, "last-event-id"));
        assert_eq!(resumed.collect::<Vec<_>>(), ["1"]);
    });
}

/// The caller sees that the answer is not complete: the connection ends without the last chunk.
#[test]
fn a_stream_that_cannot_go_on_does_not_look_complete() {
    let broken = vec![
        Act::Read,
        Act::Send(stream_head()),
        Act::Send(chunk("id: 1\ndata: a\n\n")),
        Act::Close,
    ];
    let repeat = Repeat::Stream { resumable: false };
    run(repeat, 1, vec![broken], async |fleet| {
        let answer = ask(fleet.callers, &request("a1"), true).await;
        assert!(answer.contains("id: 1"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    });
}

/// Callers find a connection although many others keep theirs idle: above the set number each
/// answer ends its connection.
#[test]
fn a_crowded_router_ends_connections_with_their_answers() {
    let script = vec![vec![
        Act::Read,
        Act::Send(whole("x")),
        Act::Read,
        Act::Send(whole("x")),
    ]];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut idle = Vec::new();
        for _ in 0..2 {
            idle.push(TcpStream::connect(fleet.callers).await.expect("connected"));
        }
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert_eq!(header(&answer, "connection"), None, "{answer}");
        for _ in 0..2 {
            idle.push(TcpStream::connect(fleet.callers).await.expect("connected"));
        }
        let answer = ask(fleet.callers, &request("a2"), false).await;
        assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    });
}

/// The endpoint stops working for a caller that has left: its connection is closed at once.
#[test]
fn a_caller_that_leaves_frees_the_endpoint() {
    let script = vec![vec![Act::Read, Act::Hang]];
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
        assert_eq!(fleet.seen[0].borrow().closed_while_hanging, 1);
    });
}

/// The caller gets a final answer at the route's timeout from an endpoint that never answers.
#[test]
fn a_request_ends_at_its_routes_timeout() {
    let script = vec![vec![Act::Read, Act::Hang]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let asked = std::time::Instant::now();
        let answer = ask(fleet.callers, &request("a1"), false).await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        let took = asked.elapsed();
        assert!(took < Duration::from_millis(2_000), "{took:?}");
    });
}

/// The route's timeout runs from the request's head. A body that came slowly must not move it.
#[test]
fn a_slow_body_does_not_move_the_timeout() {
    let script = vec![vec![Act::Read, Act::Hang]];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let mut caller = TcpStream::connect(fleet.callers).await.expect("connected");
        let whole = request("a1");
        let (head, body) = whole.split_at(whole.len() - 2);
        let asked = std::time::Instant::now();
        caller.write_all(head.as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(900)).await;
        caller.write_all(body.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        let took = asked.elapsed();
        assert!(took < Duration::from_millis(2_000), "{took:?}");
    });
}

/// A planned stop cuts off nobody: the request in progress gets its answer, the balancer is told,
/// an idle kept connection is closed, and the process ends.
#[test]
fn a_stop_finishes_what_is_in_progress_and_closes_kept_connections() {
    let slow = vec![vec![Act::Read, Act::Hang], answers("x")];
    run(Repeat::Idempotent, 1, slow, async |fleet| {
        let mut kept = TcpStream::connect(fleet.callers).await.expect("connected");
        let ready = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
        assert!(
            ask(fleet.ready, ready, false)
                .await
                .starts_with("HTTP/1.1 200")
        );
        fleet.stop.notify_one();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let answer = ask(fleet.ready, ready, false).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(read_message(&mut kept).await, None);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert!(*fleet.is_stopped.borrow());
    });
}

/// A host has too much to do. Callers whose connections it has not accepted yet give up and close
/// them; it accepts them later, with the requests still in them. These must not reach an endpoint:
/// it would work for nobody.
#[test]
fn a_request_whose_caller_left_before_it_was_accepted_reaches_no_endpoint() {
    let script = vec![answers("x")];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        for number in 0..20 {
            // All in one step, so that the router's event loop sees only the closed connection.
            let mut stream = std::net::TcpStream::connect(fleet.callers).expect("a connection");
            let request = request(&format!("a{number}"));
            stream.write_all(request.as_bytes()).expect("sent");
            drop(stream);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(total_requests(&fleet), 0);
        let answer = ask(fleet.callers, &request("b1"), false).await;
        assert!(answer.ends_with('x'), "{answer}");
    });
}

/// Callers are answered by the second endpoint only. Another writer puts bytes that cannot be read
/// where the first one's entry stood: nothing says any more that the first one takes requests, and
/// the entry of the second one still holds.
#[test]
fn an_entry_that_cannot_be_read_names_no_endpoint() {
    let answers: Vec<Act> = (0..8).flat_map(|_| answers("x")).collect();
    let script = vec![answers];
    run(Repeat::Idempotent, 2, script, async |fleet| {
        fleet.overwrite.notify_one();
        tokio::time::sleep(Duration::from_millis(50)).await;
        for number in 0..8 {
            let answer = ask(fleet.callers, &request(&format!("a{number}")), false).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        assert_eq!(fleet.seen[0].borrow().requests.len(), 0);
        assert_eq!(fleet.seen[1].borrow().requests.len(), 8);
    });
}
