//! A caller that sends requests on one persistent connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Maximum time to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A caller with one connection.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    request: String,
}

/// One answer.
#[derive(Debug)]
pub struct Answer {
    /// Time from the first byte sent to the whole answer.
    pub duration: Duration,
    /// Time at which the first token was received.
    pub first_token_at: Option<Instant>,
    /// Head and body as received.
    pub text: String,
}

impl Client {
    /// Connects. All requests of a client are the same.
    pub fn connect(address: SocketAddr, stream: bool) -> Self {
        let body = format!(
            r#"{{"model":"desk","messages":[{{"role":"user","content":"lens"}}],"stream":{stream},"max_tokens":1}}"#
        );
        let length = body.len();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer secret\r\n\
             x-sedgeridge-attempt-id: direct\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        let stream = TcpStream::connect(address).expect("a listener");
        stream.set_nodelay(true).expect("an option");
        stream
            .set_read_timeout(Some(ANSWER_TIMEOUT))
            .expect("an option");
        Self { stream, request }
    }

    /// Sends the request and reads the whole answer.
    pub fn ask(&mut self) -> Answer {
        let began = Instant::now();
        self.stream
            .write_all(self.request.as_bytes())
            .expect("room");
        let mut bytes = Vec::new();
        let mut first_token_at = None;
        let mut buffer = [0; 4_096];
        loop {
            let read = self.stream.read(&mut buffer).expect("an answer");
            assert!(
                read > 0,
                "the connection ended: {}",
                String::from_utf8_lossy(&bytes)
            );
            bytes.extend_from_slice(&buffer[..read]);
            let text = String::from_utf8_lossy(&bytes);
            if first_token_at.is_none() && text.contains("sent:") {
                first_token_at = Some(Instant::now());
            }
            if is_complete(&text) {
                let duration = began.elapsed();
                assert!(text.starts_with("HTTP/1.1 200"), "{text}");
                return Answer {
                    duration,
                    first_token_at,
                    text: text.into_owned(),
                };
            }
        }
    }
}

impl Answer {
    /// Parses the number between a mark and the next space.
    pub fn number_after(&self, mark: &str) -> u64 {
        let rest = self.text.split_once(mark).expect("the mark").1;
        let digits = rest.split_once(' ').expect("the end of the number").0;
        digits.parse().expect("a number")
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => body.len() >= length.parse().expect("a length"),
        None => body.ends_with("0\r\n\r\n"),
    }
}
