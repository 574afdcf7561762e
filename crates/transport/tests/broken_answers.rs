//! Attempts against an endpoint whose answers are incomplete, silent or wrong.

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

/// Starts an endpoint that sends these bytes on one connection, and then closes it or keeps it open in silence.
fn start_endpoint(answer: String, stays_open: bool) -> SocketAddr {
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

struct AttemptOptions {
    form: AnswerForm,
    repeatable: bool,
    resume_after_tokens: u64,
    head_sent: bool,
}

impl Default for AttemptOptions {
    fn default() -> Self {
        Self {
            form: AnswerForm::ChatStream,
            repeatable: true,
            resume_after_tokens: 0,
            head_sent: false,
        }
    }
}

/// Runs one attempt and returns its result and the parts that its caller received.
fn run_attempt(address: SocketAddr, options: &AttemptOptions) -> (AttemptResult, Vec<AnswerPart>) {
    let (answer, mut receiver) = mpsc::channel(32);
    let result = attempt(address, options, answer);
    (result, drain(&mut receiver))
}

fn attempt(
    address: SocketAddr,
    options: &AttemptOptions,
    answer: mpsc::Sender<AnswerPart>,
) -> AttemptResult {
    let health = HealthSettings {
        stream_idle_timeout_ms: 200,
        ..HealthSettings::default()
    };
    let (core, _inbox) = sync_channel(16);
    let spec = AttemptSpec {
        attempt: AttemptKey(7),
        call: Call {
            account: "crew-07".into(),
            request_id: "request-1".into(),
            method: http::Method::POST,
            path: Arc::from(CHAT_PATH),
            content_type: Arc::from("application/json"),
            idempotency_key: None,
            body: Bytes::from_static(b"{}"),
            form: options.form,
            repeatable: options.repeatable,
            hint_tokens: 10,
        },
        address,
        attempt_id: ATTEMPT_ID.to_owned(),
        resume_after_tokens: options.resume_after_tokens,
        head_sent: options.head_sent,
        last_attempt: false,
        time_left: Duration::from_secs(20),
        output_token_factor: 4,
        answer,
    };
    EndpointClients::new(&health).run(&spec, &core)
}

fn drain(receiver: &mut AnswerReceiver) -> Vec<AnswerPart> {
    std::iter::from_fn(|| receiver.try_recv().ok()).collect()
}

fn head_count(parts: &[AnswerPart]) -> usize {
    let is_head = |part: &&AnswerPart| matches!(part, AnswerPart::Head { .. });
    parts.iter().filter(is_head).count()
}

fn expect_failure(result: &AttemptResult) -> (AttemptFailure, u64, bool) {
    match result.end {
        AttemptEnd::Failed {
            failure,
            sent_tokens,
            head_sent,
            ..
        } => (failure, sent_tokens, head_sent),
        other => panic!("expected a failure, found {other:?}"),
    }
}

// An endpoint fails between the head and the first token. A second head from the next attempt would end the body
// without its end mark, and the caller would take the stream for complete. The next attempt must know that
// the caller has the head, and send none.
#[test]
fn a_stream_that_broke_before_its_first_token_gets_no_second_head() {
    let broken = start_endpoint(STREAM_HEAD.to_owned(), false);
    let (result, parts) = run_attempt(broken, &AttemptOptions::default());
    assert_eq!(expect_failure(&result).1, 0);
    assert!(expect_failure(&result).2, "the head was sent");
    assert_eq!(head_count(&parts), 1);

    let whole = format!("{STREAM_HEAD}{}data: [DONE]\n\n", event("lens"));
    let options = AttemptOptions {
        head_sent: true,
        ..AttemptOptions::default()
    };
    let (result, parts) = run_attempt(start_endpoint(whole, false), &options);
    assert!(matches!(result.end, AttemptEnd::Finished { .. }));
    assert_eq!(head_count(&parts), 0);
    assert_eq!(parts.last(), Some(&AnswerPart::End));
}

// The caller has two tokens when the endpoint fails. The next attempt must resume after them, as an endpoint that
// starts from the beginning would repeat them.
#[test]
fn a_stream_goes_on_only_where_the_caller_stands() {
    let two = format!("{STREAM_HEAD}{}{}", event("lens"), event("tripod"));
    let (result, _) = run_attempt(start_endpoint(two, false), &AttemptOptions::default());
    assert_eq!(expect_failure(&result).1, 2);

    let options = AttemptOptions {
        resume_after_tokens: 2,
        head_sent: true,
        ..AttemptOptions::default()
    };
    let restarted = format!("{STREAM_HEAD}{}data: [DONE]\n\n", event("lens"));
    let (result, parts) = run_attempt(start_endpoint(restarted, false), &options);
    assert_eq!(expect_failure(&result).0, AttemptFailure::AnswerCrossed);
    assert!(parts.is_empty());

    let resumed_head = STREAM_HEAD.replace(
        "connection: close",
        &format!("{}: 2\r\nconnection: close", headers::FIRST_TOKEN),
    );
    let resumed = format!("{resumed_head}{}data: [DONE]\n\n", event("filter"));
    let (result, parts) = run_attempt(start_endpoint(resumed, false), &options);
    assert!(matches!(result.end, AttemptEnd::Finished { .. }));
    assert_eq!(head_count(&parts), 0);
}

// An endpoint answers with the id of another attempt. Its answer must not reach the caller, who would see the
// answer to another account.
#[test]
fn an_answer_to_another_attempt_reaches_nobody() {
    let crossed = STREAM_HEAD.replace(
        "connection: close",
        &format!("{}: router-1.1.8\r\nconnection: close", headers::ATTEMPT_ID),
    );
    let (result, parts) = run_attempt(start_endpoint(crossed, false), &AttemptOptions::default());
    assert_eq!(expect_failure(&result).0, AttemptFailure::AnswerCrossed);
    assert!(parts.is_empty());
}

// An endpoint declares ten bytes and fails after four. The caller must not take an incomplete document for a
// complete one.
#[test]
fn a_document_that_broke_off_reaches_nobody() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n{\"a\"".to_owned();
    let options = AttemptOptions {
        form: AnswerForm::Plain,
        ..AttemptOptions::default()
    };
    let (result, parts) = run_attempt(start_endpoint(half, false), &options);
    let (failure, ..) = expect_failure(&result);
    assert!(matches!(
        failure,
        AttemptFailure::ConnectionLost | AttemptFailure::Crashed
    ));
    assert!(parts.is_empty());
}

// A device on the way has dropped its state of the connection, so no further bytes arrive and no error either. The
// attempt must end as silent after the idle timeout, so that another one can be made on a new connection.
#[test]
fn a_silent_stream_ends_after_its_idle_time() {
    let silent = format!("{STREAM_HEAD}{}", event("lens"));
    let (result, parts) = run_attempt(start_endpoint(silent, true), &AttemptOptions::default());
    assert_eq!(expect_failure(&result), (AttemptFailure::Silent, 1, true));
    assert_eq!(head_count(&parts), 1);
}

// Nothing listens at the endpoint's address. The failure must prove that the request did not run.
#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    drop(listener);
    let (result, _) = run_attempt(address, &AttemptOptions::default());
    assert_eq!(expect_failure(&result).0, AttemptFailure::ConnectFailed);
}

// The caller of a non-repeatable request disconnects before the answer is complete, and repeats the request with
// the same key. The attempt must run to its end, and the record must contain the complete answer.
#[test]
fn a_request_that_may_not_be_repeated_runs_on_without_its_caller() {
    let whole = format!("{STREAM_HEAD}{}data: [DONE]\n\n", event("letter"));
    let options = AttemptOptions {
        repeatable: false,
        ..AttemptOptions::default()
    };
    let (answer, receiver) = mpsc::channel(32);
    drop(receiver);
    let result = attempt(start_endpoint(whole.clone(), false), &options, answer);
    assert!(matches!(result.end, AttemptEnd::Finished { .. }));
    let recorded = result.recorded.expect("the answer is whole");
    assert_eq!(recorded.status, 200);
    let body = whole.strip_prefix(STREAM_HEAD).expect("built from it");
    assert_eq!(recorded.body, RecordedBody::Inline(Arc::from(body)));
}
