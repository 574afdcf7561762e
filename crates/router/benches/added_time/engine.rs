//! An engine that reports how long it held a request, and when it sent the first token.
//!
//! The usual engine stand-in admits requests in batch steps. The noise of that is larger than the
//! times measured here.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const CHUNK_FIELDS: &str = r#""object":"chat.completion.chunk","choices":[{"index":0,"delta""#;

/// Starts an engine with this many slots that holds requests for `service_time` on average, from
/// half to one and a half of it. Times are reported in microseconds since `epoch`.
///
/// With equal hold times, callers that wait for their answers would synchronise and send all
/// requests at once, and the bench would measure their queue.
pub fn start(slots: u32, service_time: Duration, epoch: Instant) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (seed, stream) in (1..).zip(listener.incoming().flatten()) {
            let _ = stream.set_nodelay(true);
            let hold_times = HoldTimes {
                mean: service_time,
                state: seed,
            };
            thread::spawn(move || serve(stream, slots, hold_times, epoch));
        }
    });
    address
}

/// Hold times from half to one and a half of their mean (64-bit linear congruential generator).
#[derive(Debug)]
struct HoldTimes {
    mean: Duration,
    state: u64,
}

impl HoldTimes {
    fn next(&mut self) -> Duration {
        const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
        const INCREMENT: u64 = 1_442_695_040_888_963_407;
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let fraction = (self.state >> 32) as f64 / f64::from(u32::MAX);
        self.mean.mul_f64(0.5 + fraction)
    }
}

fn serve(
    mut stream: TcpStream,
    slots: u32,
    mut hold_times: HoldTimes,
    epoch: Instant,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut first = String::new();
        reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
        let began = Instant::now();
        let (attempt, length) = read_head(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        if first.starts_with("GET") {
            let load = format!(
                r#"{{"running":0,"waiting":0,"slots":{slots},"age_ms":0,"leaving":false}}"#
            );
            write_answer(&mut stream, "", &load).ok()?;
            continue;
        }
        let hold_time = hold_times.next();
        if !hold_time.is_zero() {
            thread::sleep(hold_time);
        }
        let wants_stream = String::from_utf8_lossy(&body).contains(r#""stream":true"#);
        if wants_stream {
            write_stream(&mut stream, &attempt, epoch).ok()?;
        } else {
            let held_us = began.elapsed().as_micros();
            let answer = format!(
                r#"{{"id":"held:{held_us} ","object":"chat.completion","choices":[],"usage":{{"prompt_tokens":1,"completion_tokens":1}}}}"#
            );
            write_answer(&mut stream, &attempt, &answer).ok()?;
        }
    }
}

/// Reads a request head and returns its attempt id line, which the answer repeats, and the body's
/// length.
fn read_head(reader: &mut impl BufRead) -> Option<(String, usize)> {
    let mut attempt = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line == "\r\n" {
            return Some((attempt, length));
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse().ok()?;
        }
        if line.starts_with("x-sedgeridge-attempt-id") {
            attempt = line;
        }
    }
}

fn write_answer(stream: &mut TcpStream, attempt: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{attempt}content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes())
}

fn write_stream(stream: &mut TcpStream, attempt: &str, epoch: Instant) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{attempt}content-type: text/event-stream\r\n\
         x-endpoint-first-token: 0\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let sent_us = epoch.elapsed().as_micros();
    let first =
        format!("data: {{\"id\":\"a\",{CHUNK_FIELDS}:{{\"content\":\"sent:{sent_us} \"}}}}]}}\n\n");
    write_chunk(stream, &first)?;
    write_chunk(stream, "data: [DONE]\n\n")?;
    stream.write_all(b"0\r\n\r\n")
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let length = text.len();
    stream.write_all(format!("{length:x}\r\n{text}\r\n").as_bytes())
}
