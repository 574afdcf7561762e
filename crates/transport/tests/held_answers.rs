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
use support::attempts::attempt_spec;
use support::attempts::read_answer;
use support::attempts::start_endpoint;
use tokio::sync::mpsc;

const MIB: usize = 1 << 20;
/// Time after which every attempt that can end has ended.
const SETTLE_TIME: Duration = Duration::from_secs(2);

struct RunningAttempt {
    attempt: JoinHandle<AttemptEnd>,
    caller: AnswerReceiver,
}

fn start_attempt(
    clients: &EndpointClients,
    address: SocketAddr,
    form: AnswerForm,
) -> RunningAttempt {
    let (answer, caller) = mpsc::channel(ANSWER_CHANNEL_LEN);
    let clients = clients.clone();
    let attempt = thread::spawn(move || {
        let (core, _inbox) = sync_channel(16);
        let body = Bytes::from_static(b"{}");
        clients
            .run(&attempt_spec(address, form, body, answer), &core)
            .end
    });
    RunningAttempt { attempt, caller }
}

// Callers of a plain service get documents of four megabytes and read them slowly. Each answer is buffered as a
// whole, so without a common limit the router's process would run out of memory and every caller would lose
// its answer. Answers beyond the limit must wait at their endpoints, and none may be lost.
#[test]
fn whole_answers_are_buffered_within_a_limit_and_none_is_lost() {
    const ANSWERS: usize = 12;
    let document = "x".repeat(4 * MIB);
    let length = document.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let address = start_endpoint(head + &document, || {});
    let clients = EndpointClients::new(&HealthSettings::default());
    let running: Vec<_> = (0..ANSWERS)
        .map(|_| start_attempt(&clients, address, AnswerForm::Plain))
        .collect();
    thread::sleep(SETTLE_TIME);
    let buffered = running.iter().filter(|r| r.attempt.is_finished()).count();
    assert!(
        buffered * length <= 16 * MIB,
        "{buffered} answers of 4 MiB are buffered"
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

// An endpoint streams long events to a caller who stops reading. If the parts that wait for the caller were
// bounded by number only, one stalled caller would cost the router 30 MB.
#[test]
fn a_stalled_stream_buffers_few_bytes_and_loses_no_event() {
    const EVENTS: usize = 40;
    let event = format!("data: {}\n\n", "x".repeat(900 << 10));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let end = "data: [DONE]\n\n";
    let address = start_endpoint(format!("{head}{}{end}", event.repeat(EVENTS)), || {});
    let clients = EndpointClients::new(&HealthSettings::default());
    let mut running = start_attempt(&clients, address, AnswerForm::ChatStream);
    thread::sleep(SETTLE_TIME);
    let buffered = running.caller.len();
    assert!(
        buffered * event.len() <= 2 * MIB,
        "{buffered} parts are buffered"
    );
    assert_eq!(
        read_answer(&mut running.caller),
        EVENTS * event.len() + end.len()
    );
    let end = running.attempt.join().expect("no panic");
    assert!(matches!(end, AttemptEnd::Finished { .. }), "{end:?}");
}

// The caller of a stalled stream disconnects. The attempt must end, as its endpoint would otherwise keep a slot
// for a caller that is gone.
#[test]
fn a_stalled_stream_ends_when_its_caller_disconnects() {
    let event = format!("data: {}\n\n", "x".repeat(900 << 10));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let address = start_endpoint(format!("{head}{}", event.repeat(40)), || {});
    let clients = EndpointClients::new(&HealthSettings::default());
    let running = start_attempt(&clients, address, AnswerForm::ChatStream);
    thread::sleep(Duration::from_millis(500));
    drop(running.caller);
    let disconnected_at = Instant::now();
    let end = running.attempt.join().expect("no panic");
    assert!(matches!(end, AttemptEnd::CallerGone { .. }), "{end:?}");
    assert!(disconnected_at.elapsed() < SETTLE_TIME);
}
