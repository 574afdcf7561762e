//! Connections of callers that carry more than one request.

mod support;

use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use support::Fleet;
use support::Step;
use support::read_message;
use support::request;
use support::response_with_body;
use support::run;

const PAUSE: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// More than hyper answers in one turn.
const PIPELINED: usize = 40;

fn responses(body: &str, count: usize) -> Vec<Step> {
    let once = [Step::Read, Step::Send(response_with_body(body))];
    once.iter().cycle().take(2 * count).cloned().collect()
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.callers)
        .await
        .expect("a connection")
}

fn received_requests(fleet: &Fleet) -> Vec<String> {
    let all = fleet
        .records
        .iter()
        .map(|records| records.borrow().requests.clone());
    all.flatten().collect()
}

/// Returns a request that is rejected before its body is read.
fn rejected_request(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: {id}\r\nkey: guess\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Reads to the end of the connection, or until nothing more comes.
async fn read_all(caller: &mut TcpStream) -> String {
    let mut read = Vec::new();
    // A reset ends the data like a close.
    let _ = timeout(Duration::from_millis(600), caller.read_to_end(&mut read)).await;
    String::from_utf8_lossy(&read).into_owned()
}

/// A request is rejected by its key alone, and its body arrived with its head. The caller sends its
/// next request on the same connection. The endpoint must get that one as it was sent, with no
/// bytes of the earlier body before it.
#[test]
fn an_unread_body_is_not_part_of_the_next_request() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let first = rejected_request("a1", "body");
        caller.write_all(first.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 401"), "{response}");
        // The connection may be closed instead.
        let _ = caller.write_all(request("a2").as_bytes()).await;
        let response = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        for request in received_requests(&fleet) {
            assert!(request.starts_with("POST /plan "), "{request}");
        }
        if let Some(response) = response.expect("an answer or a close") {
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    });
}

/// The same with a body that is longer than one read. Such a rejection is common: the host has no
/// configuration yet, is about to stop, or has no memory. The next request must not be answered
/// with 400.
#[test]
fn a_long_unread_body_is_not_part_of_the_next_request() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let first = rejected_request("a1", &"x".repeat(20_000));
        caller.write_all(first.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 401"), "{response}");
        // The connection may be closed instead.
        let _ = caller.write_all(request("a2").as_bytes()).await;
        let response = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        for request in received_requests(&fleet) {
            assert!(request.starts_with("POST /plan "), "{request}");
        }
        if let Some(response) = response.expect("an answer or a close") {
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    });
}

/// The body of a rejected request looks like another request. It is a body and must not run.
#[test]
fn a_request_inside_the_body_of_a_refused_one_does_not_run() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let outer = rejected_request("a1", &request("inner"));
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let read = read_all(&mut caller).await;
        assert!(read.starts_with("HTTP/1.1 401"), "{read}");
        assert_eq!(read.matches("HTTP/1.1").count(), 1, "{read}");
        assert_eq!(received_requests(&fleet), Vec::<String>::new());
    });
}

/// The same with a body that arrives after the response.
#[test]
fn a_request_inside_a_late_body_does_not_run() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let outer = rejected_request("a1", &request("inner"));
        let (head, body) = outer.split_once("\r\n\r\n").expect("a head");
        let head = format!("{head}\r\n\r\n");
        caller.write_all(head.as_bytes()).await.expect("sent");
        sleep(PAUSE).await;
        // The connection may be closed already.
        let _ = caller.write_all(body.as_bytes()).await;
        let read = read_all(&mut caller).await;
        assert!(read.matches("HTTP/1.1").count() <= 1, "{read}");
        assert_eq!(received_requests(&fleet), Vec::<String>::new());
    });
}

/// The same in chunks, whose framing must be parsed as such.
#[test]
fn unread_chunks_do_not_run_as_a_request() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let outer = "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: guess\r\n\
                     Transfer-Encoding: chunked\r\n\r\n";
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let inner = request("inner");
        let chunk = format!("{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len());
        sleep(PAUSE).await;
        let _ = caller.write_all(chunk.as_bytes()).await;
        let read = read_all(&mut caller).await;
        assert!(read.matches("HTTP/1.1").count() <= 1, "{read}");
        assert_eq!(received_requests(&fleet), Vec::<String>::new());
    });
}

/// A body arrives so slowly that the caller gets a timeout. The rest arrives later and must not
/// run.
#[test]
fn the_rest_of_a_slow_body_does_not_run_as_a_request() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let inner = request("inner");
        let length = inner.len() + 4;
        let outer = format!(
            "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: secret\r\n\
             time-left-ms: 200\r\nContent-Length: {length}\r\n\r\nbody"
        );
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        let _ = caller.write_all(inner.as_bytes()).await;
        let read = read_all(&mut caller).await;
        assert_eq!(read, "");
        assert_eq!(received_requests(&fleet), Vec::<String>::new());
    });
}

/// A body exceeds the limit and is rejected unread. What follows is still the body.
#[test]
fn the_rest_of_a_too_long_body_does_not_run_as_a_request() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let outer = "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: secret\r\n\
                     Content-Length: 5000000\r\n\r\n";
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        let _ = caller.write_all(request("inner").as_bytes()).await;
        let read = read_all(&mut caller).await;
        assert_eq!(read, "");
        assert_eq!(received_requests(&fleet), Vec::<String>::new());
    });
}

/// A caller waits for `100 Continue` and is rejected instead. What it sends next may be that body
/// or a request, as it chooses. The connection is closed, since nobody can tell.
#[test]
fn a_body_sent_without_continue_does_not_run_as_a_request() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let inner = request("inner");
        let length = inner.len();
        let outer = format!(
            "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: guess\r\n\
             Expect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
        );
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 401"), "{response}");
        let _ = caller.write_all(inner.as_bytes()).await;
        read_all(&mut caller).await;
        assert_eq!(received_requests(&fleet), Vec::<String>::new());
    });
}

/// A caller sends many requests at once and reads all responses afterwards. Each request gets one,
/// also if the responses are ready at once.
#[test]
fn pipelined_requests_are_all_answered() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let request = "GET /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: guess\r\n\r\n";
        let all = request.repeat(PIPELINED);
        caller.write_all(all.as_bytes()).await.expect("sent");
        for number in 0..PIPELINED {
            let response = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
            let response = response.unwrap_or_else(|_| panic!("answer {number} in time"));
            assert!(response.is_some_and(|response| response.starts_with("HTTP/1.1 401")));
        }
    });
}

/// The same with requests that run. Each has a body, and packets end anywhere within them.
#[test]
fn pipelined_requests_run_once_each() {
    let script = vec![responses("kit list", 8)];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let all: String = (0..6).map(|id| request(&format!("a{id}"))).collect();
        for piece in all.as_bytes().chunks(97) {
            caller.write_all(piece).await.expect("sent");
            sleep(Duration::from_millis(7)).await;
        }
        for number in 0..6 {
            let response = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
            let response = response.expect("in time").expect("an answer");
            assert_eq!(support::header(&response, "id"), Some(format!("a{number}")));
        }
        assert_eq!(received_requests(&fleet).len(), 6);
    });
}

/// Part of the next request's head has arrived when the first request is answered. The rest arrives
/// much later.
#[test]
fn a_partial_head_behind_a_request_is_kept() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let second = request("a2");
        let (begin, end) = second.split_at(30);
        let sent = request("a1") + begin;
        caller.write_all(sent.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        sleep(Duration::from_millis(500)).await;
        caller.write_all(end.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert_eq!(support::header(&response, "id").as_deref(), Some("a2"));
        assert_eq!(received_requests(&fleet).len(), 2);
    });
}

/// A caller reads its response late, so that most of it waits in the router, and then sends its
/// next request.
#[test]
fn a_long_response_to_a_slow_reader_arrives_completely() {
    let body = "x".repeat(200_000);
    let script = vec![responses(&body, 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        for id in ["a1", "a2"] {
            let sent = request(id);
            caller.write_all(sent.as_bytes()).await.expect("sent");
            sleep(Duration::from_millis(700)).await;
            let response = read_message(&mut caller).await.expect("an answer");
            assert!(response.ends_with(&body), "{} bytes", response.len());
        }
    });
}

/// One account's callers announce long bodies and send almost nothing of them. The host still has
/// all its memory, so a small request of another caller must not be refused for lack of it.
#[test]
fn bodies_that_never_come_take_no_memory_from_others() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut slow = Vec::new();
        // The lengths add up to 33,090,128 bytes, 464,304 less than half of the host's 64 MiB.
        for (id, length) in [4_194_304; 7].into_iter().chain([3_730_000]).enumerate() {
            let mut caller = connect(&fleet).await;
            let head = format!(
                "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: s{id}\r\nkey: secret\r\n\
                 Content-Length: {length}\r\n\r\nbody"
            );
            caller.write_all(head.as_bytes()).await.expect("sent");
            slow.push(caller);
        }
        sleep(PAUSE).await;
        let mut caller = connect(&fleet).await;
        caller
            .write_all(request("a1").as_bytes())
            .await
            .expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// A request is refused for lack of memory, and its caller sends the body afterwards. It must not
/// run as a request.
#[test]
fn the_body_of_a_request_without_memory_does_not_run_as_a_request() {
    let script = vec![responses("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut slow = Vec::new();
        for (id, length) in [4_194_304; 7].into_iter().chain([3_730_000]).enumerate() {
            let mut caller = connect(&fleet).await;
            let head = format!(
                "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: s{id}\r\nkey: secret\r\n\
                 Content-Length: {length}\r\n\r\nbody"
            );
            caller.write_all(head.as_bytes()).await.expect("sent");
            slow.push(caller);
        }
        sleep(PAUSE).await;
        let mut caller = connect(&fleet).await;
        let inner = request("inner");
        let outer = format!(
            "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: secret\r\n\
             Content-Length: {}\r\n\r\n",
            inner.len()
        );
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let response = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        // Either a response or the end may come first; what matters is what runs.
        drop(response);
        drop(slow);
        sleep(PAUSE).await;
        let _ = caller.write_all(inner.as_bytes()).await;
        read_all(&mut caller).await;
        let ran: Vec<_> = received_requests(&fleet)
            .iter()
            .filter_map(|request| support::header(request, "id"))
            .collect();
        assert!(!ran.contains(&"inner".to_owned()), "{ran:?}");
    });
}

/// Guards against connections that stay counted after their callers closed them.
#[test]
fn connections_closed_by_callers_are_released() {
    let script = vec![responses("kit list", 8)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        // With more than three open connections each response would close its connection.
        for id in 0..8 {
            let mut caller = connect(&fleet).await;
            let sent = request(&format!("a{id}"));
            caller.write_all(sent.as_bytes()).await.expect("sent");
            let response = read_message(&mut caller).await.expect("an answer");
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert_eq!(support::header(&response, "connection"), None);
            drop(caller);
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// The router is told to stop. An idle kept connection is closed. A new one whose request is on its
/// way is answered and then closed. The rest of a partial head is waited for.
#[test]
fn a_stop_closes_idle_connections_and_answers_new_ones() {
    let script = vec![responses("kit list", 8)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut idle = connect(&fleet).await;
        idle.write_all(request("a1").as_bytes())
            .await
            .expect("sent");
        read_message(&mut idle).await.expect("an answer");
        let mut new = connect(&fleet).await;
        let mut half = connect(&fleet).await;
        let third = request("a3");
        let (begin, end) = third.split_at(40);
        half.write_all(begin.as_bytes()).await.expect("sent");
        sleep(PAUSE).await;
        fleet.stop.notify_one();
        sleep(PAUSE).await;
        assert_eq!(read_all(&mut idle).await, "");
        new.write_all(request("a2").as_bytes())
            .await
            .expect("still open");
        let response = read_all(&mut new).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        half.write_all(end.as_bytes()).await.expect("still open");
        let response = read_all(&mut half).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(received_requests(&fleet).len(), 3);
    });
}

/// Responses without a body, and requests with chunked bodies, leave the connection usable.
#[test]
fn other_methods_and_framings_keep_the_connection() {
    let empty = "HTTP/1.1 200 OK\r\nid: {id}\r\nproof: p\r\nContent-Length: 0\r\n\r\n";
    let once = [Step::Read, Step::Send(empty.to_owned())];
    let script = vec![once.iter().cycle().take(8).cloned().collect()];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let head = "HEAD /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: secret\r\n\r\n";
        let chunked = "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a2\r\nkey: secret\r\n\
                       Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
        caller.write_all(head.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert_eq!(support::header(&response, "id").as_deref(), Some("a1"));
        caller.write_all(chunked.as_bytes()).await.expect("sent");
        let response = read_message(&mut caller).await.expect("an answer");
        assert!(response.starts_with("HTTP/1.1 100"), "{response}");
        for piece in ["4\r\nbo", "dy\r\n0\r", "\n", "\r\n"] {
            caller.write_all(piece.as_bytes()).await.expect("sent");
            sleep(Duration::from_millis(20)).await;
        }
        let response = read_message(&mut caller).await.expect("an answer");
        assert_eq!(support::header(&response, "id").as_deref(), Some("a2"));
        assert!(received_requests(&fleet)[1].ends_with("body"));
    });
}
