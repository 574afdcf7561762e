//! Attempts against a test endpoint.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptKey;
use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_transport::answer::AnswerPart;
use sedgeridge_transport::answer::AnswerReceiver;
use sedgeridge_transport::answer::AnswerSender;
use sedgeridge_transport::call::AnswerForm;
use sedgeridge_transport::call::Call;
use sedgeridge_transport::endpoint_call::AttemptSpec;

/// Starts an endpoint that answers every request with the same bytes after it has called `before_answer`. It closes
/// the connection after an answer with `connection: close`.
pub fn start_endpoint(
    answer: String,
    before_answer: impl Fn() + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let shared = Arc::new((answer, before_answer));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let shared = Arc::clone(&shared);
            thread::spawn(move || {
                let (answer, before_answer) = &*shared;
                let mut stream = stream.expect("a connection");
                while read_request(&mut stream) {
                    before_answer();
                    let sent = stream.write_all(answer.as_bytes());
                    if sent.is_err() || answer.contains("connection: close") {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Returns a complete HTTP response with the text as its body.
pub fn http_response(text: &str) -> String {
    let length = text.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{text}")
}

/// Reads a GET, or a request whose body ends with `}`; returns false if the connection ends.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 4_096];
    let mut is_get = false;
    loop {
        let read = match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(read) => &buffer[..read],
        };
        is_get |= read.starts_with(b"GET ");
        if read.ends_with(b"}") || is_get && read.ends_with(b"\r\n\r\n") {
            return true;
        }
    }
}

pub fn attempt_spec(
    address: SocketAddr,
    form: AnswerForm,
    body: Bytes,
    answer: AnswerSender,
) -> AttemptSpec {
    AttemptSpec {
        attempt: AttemptKey(7),
        call: Call {
            account: "crew-07".into(),
            request_id: "request-1".into(),
            method: http::Method::POST,
            path: Arc::from(CHAT_PATH),
            content_type: Arc::from("application/json"),
            idempotency_key: None,
            body,
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

/// Reads a whole answer and returns its length.
pub fn read_answer(caller: &mut AnswerReceiver) -> usize {
    let mut bytes = 0;
    while let Some(part) = caller.blocking_recv() {
        match part {
            AnswerPart::Chunk(chunk) => bytes += chunk.len(),
            AnswerPart::End => return bytes,
            AnswerPart::Head { .. } => {}
            AnswerPart::Refusal(refusal) => panic!("unexpected refusal: {refusal:?}"),
        }
    }
    panic!("the answer has no end after {bytes} bytes");
}
