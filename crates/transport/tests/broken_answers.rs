//! Attempts against an endpoint that breaks its answers in every place.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptFailure;
use sedgeridge_coordination::entry_events::AttemptKey;
use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_protocol::headers;
use sedgeridge_state::claim_record::RecordedBody;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_transport::answer::AnswerPart;
use sedgeridge_transport::answer::AnswerReceiver;
use sedgeridge_transport::call::AnswerForm;
use sedgeridge_transport::call::Call;
use sedgeridge_transport::endpoint_call::AttemptResult;
use sedgeridge_transport::endpoint_call::AttemptSpec;
use sedgeridge_transport::endpoint_call::EndpointClients;
use tokio::sync::mpsc;

const ATTEMPT_ID: &str = "router-1.1.7";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

/// Serves one connection with these bytes and then closes it, or keeps it open without a word.
fn endpoint(answer: String, stays_open: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("one connection");
        read_request(&mut stream);
        let _ = stream.write_all(answer.as_bytes());
        if stays_open {
            let _ = stream.read(&mut [0; 64]);
        }
    });
    address
}

fn read_request(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    let mut buffer = [0; 1_024];
    while !seen.ends_with(b"{}") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(read) => seen.extend_from_slice(&buffer[..read]),
        }
    }
}

fn event(token: &str) -> String {
    format!(
        "data: {{\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":\
         [{{\"index\":0,\"delta\":{{\"content\":\"{token} \"}}}}]}}\n\n"
    )
}

struct Order {
    form: AnswerForm,
    repeatable: bool,
    resume_after_tokens: u64,
    head_sent: bool,
}

impl Default for Order {
    fn default() -> Self {
        Self {
            form: AnswerForm::ChatStream,
            repeatable: true,
            resume_after_tokens: 0,
            head_sent: false,
        }
    }
}

/// Runs one attempt and returns how it ended and what the caller's side got.
fn run(address: SocketAddr, order: &Order) -> (AttemptResult, Vec<AnswerPart>) {
    let (answer, mut receiver) = mpsc::channel(32);
    let ended = attempt(address, order, answer);
    (ended, received(&mut receiver))
}

fn attempt(address: SocketAddr, order: &Order, answer: mpsc::Sender<AnswerPart>) -> AttemptResult {
    let health = HealthSettings {
        stream_idle_timeout_ms: 200,
        ..HealthSettings::default()
    };
    let (core, _inbox) = sync_channel(16);
    let order = AttemptSpec {
        attempt: AttemptKey(7),
        call: Call {
            account: "crew-07".into(),
            request_id: "request-1".into(),
            method: http::Method::POST,
            path: Arc::from(CHAT_PATH),
            content_type: Arc::from("application/json"),
            idempotency_key: None,
            body: Bytes::from_static(b"{}"),
            form: order.form,
            repeatable: order.repeatable,
            hint_tokens: 10,
        },
        address,
        attempt_id: ATTEMPT_ID.to_owned(),
        resume_after_tokens: order.resume_after_tokens,
        head_sent: order.head_sent,
        last_attempt: false,
        time_left: Duration::from_secs(20),
        output_token_factor: 4,
        answer,
    };
    EndpointClients::new(&health).run(&order, &core)
}

fn received(receiver: &mut AnswerReceiver) -> Vec<AnswerPart> {
    std::iter::from_fn(|| receiver.try_recv().ok()).collect()
}

fn heads(parts: &[AnswerPart]) -> usize {
    let is_head = |part: &&AnswerPart| matches!(part, AnswerPart::Head { .. });
    parts.iter().filter(is_head).count()
}

fn failure(ended: &AttemptResult) -> (AttemptFailure, u64, bool) {
    match ended.end {
        AttemptEnd::Failed {
            failure,
            sent_tokens,
            head_sent,
            ..
        } => (failure, sent_tokens, head_sent),
        other => panic!("a failure was expected, not {other:?}"),
    }
}

// The caller sees a stream that ends early and takes it for whole. The endpoint broke between the
// head and the first token, and the next attempt sent a second head, which ended the body without
// its end mark. The next attempt must be told that the caller holds the head, and send none.
#[test]
fn a_stream_that_broke_before_its_first_token_gets_no_second_head() {
    let broken = endpoint(STREAM_HEAD.to_owned(), false);
    let (ended, parts) = run(broken, &Order::default());
    assert_eq!(failure(&ended).1, 0);
    assert!(failure(&ended).2, "the head went out");
    assert_eq!(heads(&parts), 1);

    let whole = format!("{STREAM_HEAD}{}data: [DONE]\n\n", event("lens"));
    let order = Order {
        head_sent: true,
        ..Order::default()
    };
    let (ended, parts) = run(endpoint(whole, false), &order);
    assert!(matches!(ended.end, AttemptEnd::Finished { .. }));
    assert_eq!(heads(&parts), 0);
    assert_eq!(parts.last(), Some(&AnswerPart::End));
}

// The caller has two tokens when the endpoint dies. The next attempt may go on only from there: an
// endpoint that starts anew would repeat them.
#[test]
fn a_stream_goes_on_only_where_the_caller_stands() {
    let two = format!("{STREAM_HEAD}{}{}", event("lens"), event("tripod"));
    let (ended, _) = run(endpoint(two, false), &Order::default());
    assert_eq!(failure(&ended).1, 2);

    let order = Order {
        resume_after_tokens: 2,
        head_sent: true,
        ..Order::default()
    };
    let anew = format!("{STREAM_HEAD}{}data: [DONE]\n\n", event("lens"));
    let (ended, parts) = run(endpoint(anew, false), &order);
    assert_eq!(failure(&ended).0, AttemptFailure::AnswerCrossed);
    assert!(parts.is_empty());

    let resumed_head = STREAM_HEAD.replace(
        "connection: close",
        &format!("{}: 2\r\nconnection: close", headers::FIRST_TOKEN),
    );
    let resumed = format!("{resumed_head}{}data: [DONE]\n\n", event("filter"));
    let (ended, parts) = run(endpoint(resumed, false), &order);
    assert!(matches!(ended.end, AttemptEnd::Finished { .. }));
    assert_eq!(heads(&parts), 0);
}

// One crew would see another's answer: the endpoint answers with the id of another attempt.
#[test]
fn an_answer_to_another_attempt_reaches_nobody() {
    let crossed = STREAM_HEAD.replace(
        "connection: close",
        &format!("{}: router-1.1.8\r\nconnection: close", headers::ATTEMPT_ID),
    );
    let (ended, parts) = run(endpoint(crossed, false), &Order::default());
    assert_eq!(failure(&ended).0, AttemptFailure::AnswerCrossed);
    assert!(parts.is_empty());
}

// Half a document would pass for a whole one: the endpoint announces ten bytes and dies after four.
#[test]
fn a_document_that_broke_off_reaches_nobody() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"a\"".to_owned();
    let order = Order {
        form: AnswerForm::Plain,
        ..Order::default()
    };
    let (ended, parts) = run(endpoint(half, false), &order);
    let (failure, ..) = failure(&ended);
    assert!(matches!(
        failure,
        AttemptFailure::ConnectionLost | AttemptFailure::Crashed
    ));
    assert!(parts.is_empty());
}

// The caller waits for ever on a connection that something in between has forgotten. After the
// idle time the attempt ends as silent, and a fresh connection is tried.
#[test]
fn a_silent_stream_ends_after_its_idle_time() {
    let silent = format!("{STREAM_HEAD}{}", event("lens"));
    let (ended, parts) = run(endpoint(silent, true), &Order::default());
    assert_eq!(failure(&ended), (AttemptFailure::Silent, 1, true));
    assert_eq!(heads(&parts), 1);
}

// The caller is told that its request was not run, and it was not: nobody listens there.
#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    drop(listener);
    let (ended, _) = run(address, &Order::default());
    assert_eq!(failure(&ended).0, AttemptFailure::ConnectFailed);
}

// The caller of a decision letter goes away in the middle and asks again with the same key. The
// letter must not be cut off half-written: it runs to its end, and the record holds all of it.
#[test]
fn a_request_that_may_not_be_repeated_runs_on_without_its_caller() {
    let whole = format!("{STREAM_HEAD}{}data: [DONE]\n\n", event("letter"));
    let order = Order {
        repeatable: false,
        ..Order::default()
    };
    let (answer, receiver) = mpsc::channel(32);
    drop(receiver);
    let ended = attempt(endpoint(whole.clone(), false), &order, answer);
    assert!(matches!(ended.end, AttemptEnd::Finished { .. }));
    let recorded = ended.recorded.expect("the answer is whole");
    assert_eq!(recorded.status, 200);
    let body = whole.strip_prefix(STREAM_HEAD).expect("built from it");
    assert_eq!(recorded.body, RecordedBody::Inline(Arc::from(body)));
}
