//! Memory of answers whose callers read slowly or not at all.

mod support;

use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_transport::answer::ANSWER_CHANNEL_LEN;
use sedgeridge_transport::answer::AnswerReceiver;
use sedgeridge_transport::call::AnswerForm;
use sedgeridge_transport::endpoint_call::EndpointClients;
use support::attempts::endpoint;
use support::attempts::order;
use support::attempts::read_answer;
use tokio::sync::mpsc;

const MIB: usize = 1 << 20;
/// Time in which an attempt that can end has ended.
const PATIENCE: Duration = Duration::from_secs(2);

struct Running {
    attempt: JoinHandle<AttemptEnd>,
    caller: AnswerReceiver,
}

fn start(clients: &EndpointClients, address: SocketAddr, form: AnswerForm) -> Running {
    let (answer, caller) = mpsc::channel(ANSWER_CHANNEL_LEN);
    let clients = clients.clone();
    let attempt = thread::spawn(move || {
        let (core, _inbox) = sync_channel(16);
        let body = Bytes::from_static(b"{}");
        clients.run(&order(address, form, body, answer), &core).end
    });
    Running { attempt, caller }
}

// Callers of a plain service get documents of four megabytes and read them slowly. The router's
// process is ended for want of memory and every caller loses its answer: each answer is held whole,
// and nothing bounds them together. Those for which there is no room wait at their endpoints, and
// none is lost.
#[test]
fn whole_answers_are_held_within_a_bound_and_none_is_lost() {
    const ANSWERS: usize = 12;
    let document = "x".repeat(4 * MIB);
    let length = document.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let address = endpoint(head + &document, || {});
    let clients = EndpointClients::new(&HealthSettings::default());
    let running: Vec<_> = (0..ANSWERS)
        .map(|_| start(&clients, address, AnswerForm::Plain))
        .collect();
    thread::sleep(PATIENCE);
    let held = running.iter().filter(|r| r.attempt.is_finished()).count();
    assert!(
        held * length <= 16 * MIB,
        "{held} answers of 4 MiB are held"
    );
    let ends = running.into_iter().map(|mut running| {
        thread::spawn(move || {
            let bytes = read_answer(&mut running.caller);
            (bytes, running.attempt.join().expect("no panic"))
        })
    });
    for end in ends.collect::<Vec<_>>() {
        let (bytes, end) = end.join().expect("no panic");
        assert_eq!(bytes, length);
        assert!(matches!(end, AttemptEnd::Finished { .. }), "{end:?}");
    }
}

// An endpoint streams long events to a caller who stops reading. The parts that wait for the caller
// are bounded by number, not by size: one stalled caller costs the router 30 MB.
#[test]
fn a_stalled_stream_holds_few_bytes_and_loses_no_event() {
    const EVENTS: usize = 40;
    let event = format!("data: {}\n\n", "x".repeat(900 << 10));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let end = "data: [DONE]\n\n";
    let address = endpoint(format!("{head}{}{end}", event.repeat(EVENTS)), || {});
    let clients = EndpointClients::new(&HealthSettings::default());
    let mut running = start(&clients, address, AnswerForm::ChatStream);
    thread::sleep(PATIENCE);
    let held = running.caller.len();
    assert!(held * event.len() <= 2 * MIB, "{held} parts are held");
    assert_eq!(
        read_answer(&mut running.caller),
        EVENTS * event.len() + end.len()
    );
    let end = running.attempt.join().expect("no panic");
    assert!(matches!(end, AttemptEnd::Finished { .. }), "{end:?}");
}

// The caller of a stalled stream goes away. The attempt must end with it: its endpoint would keep a
// slot for nobody.
#[test]
fn a_stalled_stream_ends_when_its_caller_goes_away() {
    let event = format!("data: {}\n\n", "x".repeat(900 << 10));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let address = endpoint(format!("{head}{}", event.repeat(40)), || {});
    let clients = EndpointClients::new(&HealthSettings::default());
    let running = start(&clients, address, AnswerForm::ChatStream);
    thread::sleep(Duration::from_millis(500));
    drop(running.caller);
    let gone_at = Instant::now();
    let end = running.attempt.join().expect("no panic");
    assert!(matches!(end, AttemptEnd::CallerGone { .. }), "{end:?}");
    assert!(gone_at.elapsed() < PATIENCE);
}
