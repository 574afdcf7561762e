//! Stand-in of a model engine. Its streams have a fixed number of events, and it records what it makes.

use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json;

const SLOTS: u32 = 64;
/// Prefix of the paths that are answered with a stream.
pub const STREAMS_PREFIX: &str = "/pufi791/";
/// Methods of requests that it runs. It rejects others, as a sound server does.
const KNOWN_METHODS: [&str; 3] = ["GET", "POST", "PUT"];
/// Work of a request with a short answer.
const WORK_TIME: Duration = Duration::from_millis(60);
/// An engine cuts off an answer that remains unread for some seconds.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

struct Engine {
    id: String,
    service: String,
    zone: String,
    store: SocketAddr,
    address: SocketAddr,
    events: u64,
    event_bytes: usize,
    /// Events that are written one by one, and the number of those that are written together after them.
    single_events: u64,
    batch: u64,
    interval: Duration,
    heartbeat: Duration,
    running: AtomicU32,
    record: Mutex<File>,
}

pub fn serve(settings: &[&str]) {
    let fields = settings.iter().filter_map(|field| field.split_once('='));
    let fields: BTreeMap<&str, &str> = fields.collect();
    let number = |name: &str| fields[name].parse::<u64>().expect("a number");
    let address: SocketAddr = fields["address"].parse().expect("an address");
    let listener = TcpListener::bind(address).expect("the engine's address is free");
    let record = OpenOptions::new()
        .create(true)
        .append(true)
        .open(fields["record"]);
    let engine = Arc::new(Engine {
        id: fields["id"].to_owned(),
        service: fields["service"].to_owned(),
        zone: fields["zone"].to_owned(),
        store: fields["store"].parse().expect("an address"),
        address,
        events: number("events"),
        event_bytes: number("event_bytes") as usize,
        single_events: number("single_events"),
        batch: number("batch").max(1),
        interval: Duration::from_millis(number("interval_ms")),
        heartbeat: Duration::from_millis(number("heartbeat_ms")),
        running: AtomicU32::new(0),
        record: Mutex::new(record.expect("a record file")),
    });
    let beating = engine.clone();
    thread::spawn(move || beating.register_forever());
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        thread::spawn(move || engine.serve_connection(stream));
    }
}

impl Engine {
    fn register_forever(&self) {
        for sequence in 1.. {
            let (service, address, zone) = (&self.service, self.address, &self.zone);
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}"
            );
            put_row(self.store, "servers", &self.id, &entry);
            thread::sleep(self.heartbeat);
        }
    }

    fn note(&self, line: &str) {
        let mut record = self.record.lock().expect("no thread panics");
        // One write for a line: several engines append to the same file.
        let line = format!("{} {line}\n", self.id);
        let _ = record.write_all(line.as_bytes());
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(UNREAD_TIMEOUT));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        if request.path() == "/healthz" {
            return http::write_answer(writer, 200, &[("X-Instance-Id", &self.id)], b"");
        }
        let Some(attempt) = request.header("x-attempt-id") else {
            return http::write_answer(writer, 400, &[("X-Not-Executed", "1")], b"");
        };
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return http::write_answer(writer, 421, &[("X-Instance-Id", &self.id)], b"");
        }
        if !KNOWN_METHODS.contains(&request.method.as_str()) {
            self.note(&format!("rejects {attempt} {}", request.method));
            let headers = [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")];
            return http::write_answer(writer, 400, &headers, b"");
        }
        if !request.path().starts_with(STREAMS_PREFIX) {
            return self.answer_plain(request, attempt, writer);
        }
        let load = self.running.fetch_add(1, Ordering::SeqCst);
        self.note(&format!("runs {attempt}"));
        let written = self.write_stream(request, attempt, load, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if let Err(error) = &written {
            self.note(&format!("stops {attempt}: {error}"));
        }
        written
    }

    /// Runs a request with a short answer, and records what it was given.
    fn answer_plain(
        &self,
        request: &Request,
        attempt: &str,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let (method, target) = (&request.method, &request.target);
        let (length, hash) = (request.body.len(), http::hash(&request.body));
        self.note(&format!(
            "ran {attempt} {method} {target} {length} {hash:016x}"
        ));
        let text = String::from_utf8_lossy(&request.body);
        self.note(&format!(
            "body {attempt} {}",
            text.replace(['\r', '\n', ' '], "_")
        ));
        thread::sleep(WORK_TIME);
        let stamp = format!("stamp-{attempt}");
        let headers = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Stamp", &stamp),
            ("Keep-Alive", "timeout=30"),
        ];
        http::write_answer(writer, 200, &headers, attempt.as_bytes())
    }

    /// Writes a stream of events. It ends early at the caller's deadline.
    fn write_stream(
        &self,
        request: &Request,
        attempt: &str,
        load: u32,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let time_left = request
            .header("x-deadline-ms")
            .and_then(|it| it.parse().ok())
            .unwrap_or(10_000);
        let ends_at = Instant::now() + Duration::from_millis(time_left);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: {attempt}\r\n\
             X-Server-Stamp: stamp-{attempt}\r\nX-Instance-Load: {},0,{SLOTS}\r\nKeep-Alive: timeout=30\r\n\r\n",
            load + 1
        );
        writer.write_all(head.as_bytes())?;
        let first = request
            .header("last-event-id")
            .and_then(|it| it.parse::<u64>().ok())
            .map_or(1, |it| it + 1);
        let mut number = first;
        while number <= self.events {
            thread::sleep(self.interval);
            if Instant::now() >= ends_at {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            // A busy engine writes the events of several steps at once.
            let count = if number <= self.single_events {
                1
            } else {
                self.batch
            };
            let last = (number + count - 1).min(self.events);
            let padding = "x".repeat(self.event_bytes);
            let events: String = (number..=last)
                .map(|number| {
                    format!(
                        "id: {number}\ndata: {number} of {} for {attempt} {padding}\n\n",
                        self.events
                    )
                })
                .collect();
            write!(writer, "{:x}\r\n{events}\r\n", events.len())?;
            self.note(&format!("made {attempt} {last} of {}", self.events));
            number = last + 1;
        }
        writer.write_all(b"0\r\n\r\n")?;
        self.note(&format!("ends {attempt}"));
        Ok(())
    }
}

/// Writes a row to the store.
pub fn put_row(store: SocketAddr, table: &str, key: &str, document: &str) -> bool {
    let value = json::base64(document.as_bytes());
    let body = format!(
        "{{\"expect\":[],\"puts\":[{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\"}}],\"remove\":[]}}"
    );
    http::call(store, "POST", "/v1/rows-tx", &body).is_some_and(|(status, _)| status == 200)
}
