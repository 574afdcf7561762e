//! Memory of answers whose callers read slowly or not at all.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptKey;
use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_transport::answer::ANSWER_RING_LEN;
use sedgeridge_transport::answer::AnswerPart;
use sedgeridge_transport::answer::AnswerReceiver;
use sedgeridge_transport::answer::AnswerSender;
use sedgeridge_transport::call::AnswerForm;
use sedgeridge_transport::call::Call;
use sedgeridge_transport::endpoint_call::AttemptOrder;
use sedgeridge_transport::endpoint_call::EndpointClients;
use tokio::sync::mpsc;

const MIB: usize = 1 << 20;
/// Time in which an attempt that can end has ended.
const PATIENCE: Duration = Duration::from_secs(2);

/// Serves every connection with the same bytes.
fn endpoint(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let answer: Arc<str> = Arc::from(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || serve(stream.expect("a connection"), &answer));
        }
    });
    address
}

fn serve(mut stream: TcpStream, answer: &str) {
    let mut seen = Vec::new();
    let mut buffer = [0; 1_024];
    while !seen.ends_with(b"{}") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(read) => seen.extend_from_slice(&buffer[..read]),
        }
    }
    let _ = stream.write_all(answer.as_bytes());
}

fn order(address: SocketAddr, form: AnswerForm, answer: AnswerSender) -> AttemptOrder {
    AttemptOrder {
        attempt: AttemptKey(7),
        call: Call {
            account: "crew-07".into(),
            request_id: "request-1".into(),
            method: http::Method::POST,
            path: Arc::from(CHAT_PATH),
            content_type: Arc::from("application/json"),
            idempotency_key: None,
            body: Bytes::from_static(b"{}"),
            form,
            repeatable: true,
            hint_tokens: 10,
        },
        address,
        attempt_id: "router-1.1.7".to_owned(),
        resume_after_tokens: 0,
        head_sent: false,
        last_attempt: false,
        time_left: Duration::from_secs(60),
        output_token_factor: 4,
        answer,
    }
}

struct Running {
    attempt: JoinHandle<AttemptEnd>,
    caller: AnswerReceiver,
}

fn start(clients: &EndpointClients, address: SocketAddr, form: AnswerForm) -> Running {
    let (answer, caller) = mpsc::channel(ANSWER_RING_LEN);
    let clients = clients.clone();
    let attempt = thread::spawn(move || {
        let (core, _inbox) = sync_channel(16);
        clients.run(&order(address, form, answer), &core).end
    });
    Running { attempt, caller }
}

/// Reads a whole answer and returns its length.
fn read(caller: &mut AnswerReceiver) -> usize {
    let mut bytes = 0;
    while let Some(part) = caller.blocking_recv() {
        match part {
            AnswerPart::Chunk(chunk) => bytes += chunk.len(),
            AnswerPart::End => return bytes,
            AnswerPart::Head { .. } => {}
            AnswerPart::GivenUp(given_up) => panic!("given up: {given_up:?}"),
        }
    }
    panic!("no end after {bytes} bytes");
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
    let address = endpoint(head + &document);
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
            let bytes = read(&mut running.caller);
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
    let address = endpoint(format!("{head}{}{end}", event.repeat(EVENTS)));
    let clients = EndpointClients::new(&HealthSettings::default());
    let mut running = start(&clients, address, AnswerForm::ChatStream);
    thread::sleep(PATIENCE);
    let held = running.caller.len();
    assert!(held * event.len() <= 2 * MIB, "{held} parts are held");
    assert_eq!(read(&mut running.caller), EVENTS * event.len() + end.len());
    let end = running.attempt.join().expect("no panic");
    assert!(matches!(end, AttemptEnd::Finished { .. }), "{end:?}");
}

// The caller of a stalled stream goes away. The attempt must end with it: its endpoint would keep a
// slot for nobody.
#[test]
fn a_stalled_stream_ends_when_its_caller_goes_away() {
    let event = format!("data: {}\n\n", "x".repeat(900 << 10));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let address = endpoint(format!("{head}{}", event.repeat(40)));
    let clients = EndpointClients::new(&HealthSettings::default());
    let running = start(&clients, address, AnswerForm::ChatStream);
    thread::sleep(Duration::from_millis(500));
    drop(running.caller);
    let gone_at = Instant::now();
    let end = running.attempt.join().expect("no panic");
    assert!(matches!(end, AttemptEnd::CallerGone { .. }), "{end:?}");
    assert!(gone_at.elapsed() < PATIENCE);
}
