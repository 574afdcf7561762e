//! An engine stand-in whose streams end when the test allows it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const LOAD: &str = r#"{"running":0,"waiting":0,"slots":4,"age_ms":0,"leaving":false}"#;
const EVENT: &str = "data: {\"id\":\"a\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"lens \"}}]}\n\n";

/// Number of running streams, and whether they may end.
#[derive(Debug, Default)]
pub struct Streams {
    /// Number of running streams.
    pub running: AtomicUsize,
    /// Whether streams end with the next event.
    pub may_end: AtomicBool,
}

/// Starts an engine that pauses for `event_interval` after each event of a stream.
pub fn start(event_interval: Duration) -> (SocketAddr, Arc<Streams>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let streams = Arc::new(Streams::default());
    let shared = Arc::clone(&streams);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = Arc::clone(&shared);
            thread::spawn(move || serve(stream, event_interval, &shared));
        }
    });
    (address, streams)
}

fn serve(mut stream: TcpStream, event_interval: Duration, streams: &Streams) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    let mut lines = (&mut reader).lines().map_while(Result::ok);
    let Some(first) = lines.next() else { return };
    let head: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
    let length = head
        .iter()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |length| length.parse().expect("a length"));
    // Closing the connection with unread bytes would reset it.
    let _ = reader.read_exact(&mut vec![0; length]);
    if first.starts_with("GET") {
        let length = LOAD.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{LOAD}"
        );
        let _ = stream.write_all(answer.as_bytes());
        return;
    }
    streams.running.fetch_add(1, Ordering::SeqCst);
    let _ = stream_answer(&mut stream, &head, event_interval, streams);
    streams.running.fetch_sub(1, Ordering::SeqCst);
}

fn stream_answer(
    stream: &mut TcpStream,
    head: &[String],
    event_interval: Duration,
    streams: &Streams,
) -> std::io::Result<()> {
    let attempt = head
        .iter()
        .find(|line| line.starts_with("x-sedgeridge-attempt-id"));
    let attempt = attempt.expect("every attempt has an id");
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{attempt}\r\n\
         x-endpoint-first-token: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(answer.as_bytes())?;
    while !streams.may_end.load(Ordering::SeqCst) {
        stream.write_all(EVENT.as_bytes())?;
        thread::sleep(event_interval);
    }
    stream.write_all(b"data: [DONE]\n\n")
}
