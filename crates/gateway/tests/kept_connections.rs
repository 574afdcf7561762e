//! Connections of callers that carry more than one request.

mod support;

use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use support::Act;
use support::Fleet;
use support::read_message;
use support::request;
use support::run;
use support::whole;

const PAUSE: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// More than the server's library answers in one turn.
const PIPELINED: usize = 40;

fn answers(body: &str, count: usize) -> Vec<Act> {
    let once = [Act::Read, Act::Send(whole(body))];
    once.iter().cycle().take(2 * count).cloned().collect()
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.callers)
        .await
        .expect("a connection")
}

fn seen(fleet: &Fleet) -> Vec<String> {
    let all = fleet.seen.iter().map(|seen| seen.borrow().requests.clone());
    all.flatten().collect()
}

/// A request that is turned away before its body is read.
fn turned_away(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: {id}\r\nkey: guess\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Reads to the end of the connection, or until nothing more comes.
async fn read_all(caller: &mut TcpStream) -> String {
    let mut read = Vec::new();
    // A reset ends what was read like a close.
    let _ = timeout(Duration::from_millis(600), caller.read_to_end(&mut read)).await;
    String::from_utf8_lossy(&read).into_owned()
}

/// A caller's request is turned away by its key alone; its body came with its head. The caller sends its next
/// request on the same connection. The endpoint must get that request as it was sent, with nothing of
/// the earlier body before it.
#[test]
fn a_body_that_nobody_read_is_no_part_of_the_next_request() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let first = turned_away("a1", "body");
        caller.write_all(first.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        // The connection may be closed instead.
        let _ = caller.write_all(request("a2").as_bytes()).await;
        let answer = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        for request in seen(&fleet) {
            assert!(request.starts_with("POST /plan "), "{request}");
        }
        if let Some(answer) = answer.expect("an answer or a close") {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    });
}

/// The same with a body that is longer than what is read at once. Such a refusal is usual: the host has no
/// configuration yet, is about to stop, or has no memory. The next request must not be answered 400.
#[test]
fn a_long_body_that_nobody_read_is_no_part_of_the_next_request() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let first = turned_away("a1", &"x".repeat(20_000));
        caller.write_all(first.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        // The connection may be closed instead.
        let _ = caller.write_all(request("a2").as_bytes()).await;
        let answer = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        for request in seen(&fleet) {
            assert!(request.starts_with("POST /plan "), "{request}");
        }
        if let Some(answer) = answer.expect("an answer or a close") {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    });
}

/// A request's body looks like another request. The outer request is turned away; what is inside of it is
/// a body and must not run.
#[test]
fn a_request_inside_the_body_of_a_refused_one_does_not_run() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let outer = turned_away("a1", &request("inner"));
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let read = read_all(&mut caller).await;
        assert!(read.starts_with("HTTP/1.1 401"), "{read}");
        assert_eq!(read.matches("HTTP/1.1").count(), 1, "{read}");
        assert_eq!(seen(&fleet), Vec::<String>::new());
    });
}

/// The same, with a body that comes after the answer.
#[test]
fn a_request_inside_a_body_that_comes_late_does_not_run() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let outer = turned_away("a1", &request("inner"));
        let (head, body) = outer.split_once("\r\n\r\n").expect("a head");
        let head = format!("{head}\r\n\r\n");
        caller.write_all(head.as_bytes()).await.expect("sent");
        sleep(PAUSE).await;
        // The connection may be closed already.
        let _ = caller.write_all(body.as_bytes()).await;
        let read = read_all(&mut caller).await;
        assert!(read.matches("HTTP/1.1").count() <= 1, "{read}");
        assert_eq!(seen(&fleet), Vec::<String>::new());
    });
}

/// The same in chunks, whose framing must be read as such.
#[test]
fn chunks_that_nobody_read_are_no_request() {
    let script = vec![answers("kit list", 2)];
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
        assert_eq!(seen(&fleet), Vec::<String>::new());
    });
}

/// A body comes so slowly that the caller is told so. The rest of it comes later and must not run.
#[test]
fn the_rest_of_a_slow_body_is_no_request() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let inner = request("inner");
        let length = inner.len() + 4;
        let outer = format!(
            "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: secret\r\n\
             time-left-ms: 200\r\nContent-Length: {length}\r\n\r\nbody"
        );
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        let _ = caller.write_all(inner.as_bytes()).await;
        let read = read_all(&mut caller).await;
        assert_eq!(read, "");
        assert_eq!(seen(&fleet), Vec::<String>::new());
    });
}

/// A body is longer than callers may send. It is answered unread, and what follows is still the body.
#[test]
fn the_rest_of_a_body_that_is_too_long_is_no_request() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let outer = "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: secret\r\n\
                     Content-Length: 5000000\r\n\r\n";
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        let _ = caller.write_all(request("inner").as_bytes()).await;
        let read = read_all(&mut caller).await;
        assert_eq!(read, "");
        assert_eq!(seen(&fleet), Vec::<String>::new());
    });
}

/// A caller waits for the word to send its body and is turned away instead. What it sends next is, by its
/// own choice, that body or a request; the connection ends, since nobody can tell.
#[test]
fn a_body_that_was_not_asked_for_is_no_request() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let inner = request("inner");
        let length = inner.len();
        let outer = format!(
            "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: guess\r\n\
             Expect: 100-continue\r\nContent-Length: {length}\r\n\r\n"
        );
        caller.write_all(outer.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        let _ = caller.write_all(inner.as_bytes()).await;
        read_all(&mut caller).await;
        assert_eq!(seen(&fleet), Vec::<String>::new());
    });
}

/// A caller sends many requests at once and reads all answers after. Each gets one, also where the answers
/// are ready at once.
#[test]
fn requests_that_come_together_are_all_answered() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let request = "GET /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: guess\r\n\r\n";
        let all = request.repeat(PIPELINED);
        caller.write_all(all.as_bytes()).await.expect("sent");
        for number in 0..PIPELINED {
            let answer = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
            let answer = answer.unwrap_or_else(|_| panic!("answer {number} in time"));
            assert!(answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 401")));
        }
    });
}

/// The same with requests that run, each with a body, cut at any place between packets.
#[test]
fn requests_that_come_together_run_once_each() {
    let script = vec![answers("kit list", 8)];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let all: String = (0..6).map(|id| request(&format!("a{id}"))).collect();
        for piece in all.as_bytes().chunks(97) {
            caller.write_all(piece).await.expect("sent");
            sleep(Duration::from_millis(7)).await;
        }
        for number in 0..6 {
            let answer = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
            let answer = answer.expect("in time").expect("an answer");
            assert_eq!(support::header(&answer, "id"), Some(format!("a{number}")));
        }
        assert_eq!(seen(&fleet).len(), 6);
    });
}

/// Half of the next request's head is there when the first is answered, and the rest comes much later.
#[test]
fn half_a_head_behind_a_request_is_kept() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::AtMostOnce, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let second = request("a2");
        let (begin, end) = second.split_at(30);
        let sent = request("a1") + begin;
        caller.write_all(sent.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        sleep(Duration::from_millis(500)).await;
        caller.write_all(end.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert_eq!(support::header(&answer, "id").as_deref(), Some("a2"));
        assert_eq!(seen(&fleet).len(), 2);
    });
}

/// A caller reads its answer late, so that most of it waits in the router, and then sends its next request.
#[test]
fn a_long_answer_to_a_slow_reader_comes_whole() {
    let body = "x".repeat(200_000);
    let script = vec![answers(&body, 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        for id in ["a1", "a2"] {
            let sent = request(id);
            caller.write_all(sent.as_bytes()).await.expect("sent");
            sleep(Duration::from_millis(700)).await;
            let answer = read_message(&mut caller).await.expect("an answer");
            assert!(answer.ends_with(&body), "{} bytes", answer.len());
        }
    });
}

/// One account's callers announce long bodies and send nothing of them. The host has all its memory still; a
/// small request of anybody else must not be refused for want of it.
#[test]
fn bodies_that_never_come_take_no_memory_from_others() {
    let script = vec![answers("kit list", 2)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut slow = Vec::new();
        // Half of the 64 MiB that the host has, but for 5 KB.
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
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    });
}

/// The caller of a request for which there is no memory sends its body after the refusal. It is a body.
#[test]
fn the_body_of_a_request_without_room_is_no_request() {
    let script = vec![answers("kit list", 2)];
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
        let answer = timeout(READ_TIMEOUT, read_message(&mut caller)).await;
        // Either end may come first; what matters is what runs.
        drop(answer);
        drop(slow);
        sleep(PAUSE).await;
        let _ = caller.write_all(inner.as_bytes()).await;
        read_all(&mut caller).await;
        let ran: Vec<_> = seen(&fleet)
            .iter()
            .filter_map(|request| support::header(request, "id"))
            .collect();
        assert!(!ran.contains(&"inner".to_owned()), "{ran:?}");
    });
}

/// An idle caller closes its half of the connection after its request, and still reads its answer; an idle
/// one that closes is let go of. Neither leaves a connection behind.
#[test]
fn callers_that_close_leave_nothing_behind() {
    let script = vec![answers("kit list", 8)];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        // With more than three open connections each answer would end its connection.
        for id in 0..8 {
            let mut caller = connect(&fleet).await;
            let sent = request(&format!("a{id}"));
            caller.write_all(sent.as_bytes()).await.expect("sent");
            let answer = read_message(&mut caller).await.expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert_eq!(support::header(&answer, "connection"), None);
            drop(caller);
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// The router is told to stop. An idle kept connection is closed; a new one whose request is on its way is
/// answered, and then closed; half a head is waited for.
#[test]
fn a_stop_closes_idle_connections_and_answers_new_ones() {
    let script = vec![answers("kit list", 8)];
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
        let answer = read_all(&mut new).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        half.write_all(end.as_bytes()).await.expect("still open");
        let answer = read_all(&mut half).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(seen(&fleet).len(), 3);
    });
}

/// Answers without a body leave the connection whole: to HEAD, and to a request with a chunked body.
#[test]
fn other_methods_and_framings_keep_the_connection() {
    let empty = "HTTP/1.1 200 OK\r\nid: {id}\r\nproof: p\r\nContent-Length: 0\r\n\r\n";
    let once = [Act::Read, Act::Send(empty.to_owned())];
    let script = vec![once.iter().cycle().take(8).cloned().collect()];
    run(Repeat::Idempotent, 1, script, async |fleet| {
        let mut caller = connect(&fleet).await;
        let head = "HEAD /plan HTTP/1.1\r\nHost: desk.example\r\nid: a1\r\nkey: secret\r\n\r\n";
        let chunked = "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: a2\r\nkey: secret\r\n\
                       Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
        caller.write_all(head.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert_eq!(support::header(&answer, "id").as_deref(), Some("a1"));
        caller.write_all(chunked.as_bytes()).await.expect("sent");
        let answer = read_message(&mut caller).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 100"), "{answer}");
        for piece in ["4\r\nbo", "dy\r\n0\r", "\n", "\r\n"] {
            caller.write_all(piece.as_bytes()).await.expect("sent");
            sleep(Duration::from_millis(20)).await;
        }
        let answer = read_message(&mut caller).await.expect("an answer");
        assert_eq!(support::header(&answer, "id").as_deref(), Some("a2"));
        assert!(seen(&fleet)[1].ends_with("body"));
    });
}
