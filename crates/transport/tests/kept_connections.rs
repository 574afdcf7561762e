//! Memory of callers' connections that are kept open between requests.

mod support;

use sedgeridge_state::settings::FrontSettings;
use sedgeridge_transport::answer::AnswerPart;
use support::front_bench::Connection;
use support::front_bench::FrontBench;
use support::front_bench::chat_request;
use support::front_bench::head;
use support::resident::resident_bytes;

const CONNECTIONS: usize = 500;
const BODY_BYTES: usize = 256 << 10;
/// A third above the 21 KB measured with 800 connections; an unused one takes 13 KB, task included.
const MOST_BYTES_PER_CONNECTION: u64 = 28 << 10;

fn ask(bench: &FrontBench) -> Connection {
    let text = "lens ".repeat(BODY_BYTES / 5);
    let body = format!(r#"{{"model":"desk","messages":[{{"role":"user","content":"{text}"}}]}}"#);
    let mut caller = bench.connect();
    caller.send(&chat_request(&body));
    let new = bench.arrived();
    new.answer.try_send(head()).unwrap();
    new.answer.try_send(AnswerPart::End).unwrap();
    caller.read_until("0\r\n\r\n");
    caller
}

// Callers of a router lose their answers: its process is ended for want of memory while few
// requests are in progress. Each caller has sent one long request and keeps its connection open
// for the next. A connection's read buffer grows with the body that it carries and is kept at that
// size, so that memory follows the number of idle connections and the longest bodies.
#[test]
fn idle_connections_do_not_keep_room_for_the_longest_body() {
    let bench = FrontBench::start(FrontSettings::default());
    drop(ask(&bench));
    let before = resident_bytes();
    let callers: Vec<_> = (0..CONNECTIONS).map(|_| ask(&bench)).collect();
    let grown = resident_bytes().saturating_sub(before);
    let each = grown / callers.len() as u64;
    assert!(
        each <= MOST_BYTES_PER_CONNECTION,
        "{each} bytes for each idle connection"
    );
}
