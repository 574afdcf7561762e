//! Memory of callers' connections that stay open between requests.

mod support;

use sedgeridge_state::settings::FrontSettings;
use sedgeridge_transport::answer::AnswerPart;
use support::resident::resident_bytes;
use support::test_front::Connection;
use support::test_front::TestFront;
use support::test_front::chat_request;
use support::test_front::head;

const CONNECTIONS: usize = 500;
const BODY_BYTES: usize = 256 << 10;
/// A third above the 21 KB measured with 800 connections. An unused connection takes 13 KB, including its task.
const MAX_BYTES_PER_CONNECTION: u64 = 28 << 10;

fn send_long_request(front: &TestFront) -> Connection {
    let text = "lens ".repeat(BODY_BYTES / 5);
    let body = format!(r#"{{"model":"desk","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    let mut caller = front.connect();
    caller.send(&chat_request(&body));
    let new = front.next_request();
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    caller.read_until("0\r\n\r\n");
    caller
}

// Each caller has sent one long request and keeps its connection open. If a connection's read buffer grew with
// the body and kept that size, idle connections would use up the router's memory, and the process would be
// killed although few requests are in progress.
#[test]
fn idle_connections_do_not_keep_buffers_for_the_longest_body() {
    let front = TestFront::start(FrontSettings::default());
    drop(send_long_request(&front));
    let before = resident_bytes();
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|_| send_long_request(&front))
        .collect();
    let grown = resident_bytes().saturating_sub(before);
    let each = grown / callers.len() as u64;
    assert!(
        each <= MAX_BYTES_PER_CONNECTION,
        "{each} bytes for each idle connection"
    );
}
