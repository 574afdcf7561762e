//! Stand-in of an engine: answers with whole bodies or streams, records its runs, and can crash and start again.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Request;
use crate::record::Record;
use crate::store::Store;

/// Time between looks at the listener.
const ACCEPT_POLL: Duration = Duration::from_millis(2);
/// Silence after which the platform removes the entry of an engine: three liveness reports of 1.2 s.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);

/// How an engine works on a request.
#[derive(Debug, Clone)]
pub enum Work {
    /// A whole answer after a time.
    Whole { time: Duration, bytes: usize },
    /// A stream of events.
    Stream {
        first_after: Duration,
        events: u64,
        interval: Duration,
        event_bytes: usize,
    },
    /// A stream that goes on until the engine crashes, this long after the request.
    StreamAndCrash {
        first_after: Duration,
        interval: Duration,
        crash_after: Duration,
    },
}

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub attempt: String,
    pub target: String,
    pub engine: String,
}

/// Runs and crashes of all engines of a play.
#[derive(Default)]
pub struct RunLog {
    runs: Mutex<Vec<Run>>,
    /// Time and engine of each crash.
    crashes: Mutex<Vec<(Duration, String)>>,
}

impl RunLog {
    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    /// Returns the crashes so far.
    pub fn crashes(&self) -> Vec<(Duration, String)> {
        self.crashes.lock().expect("no panic").clone()
    }
}

/// Properties of an engine.
#[derive(Clone)]
pub struct EngineSpec {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    /// Time for which it is down after a crash.
    pub down_time: Duration,
}

type Worker = dyn Fn(&Request) -> Work + Send + Sync;

/// An engine and what it shares with the play.
pub struct Engine {
    pub spec: EngineSpec,
    store: Store,
    record: Arc<Record>,
    log: Arc<RunLog>,
    work: Box<Worker>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Number of the run of the engine, from 1.
    lifetime: u64,
    is_up: bool,
    connections: Vec<TcpStream>,
}

impl Engine {
    /// Starts an engine and lists it in the store.
    pub fn start(
        spec: EngineSpec,
        store: Store,
        record: Arc<Record>,
        log: Arc<RunLog>,
        work: impl Fn(&Request) -> Work + Send + Sync + 'static,
    ) -> Arc<Self> {
        let engine = Arc::new(Self {
            spec,
            store,
            record,
            log,
            work: Box::new(work),
            state: Mutex::default(),
        });
        engine.clone().begin_lifetime();
        engine
    }

    fn id(&self, lifetime: u64) -> String {
        format!("i-{}-{lifetime}", self.spec.name)
    }

    fn begin_lifetime(self: Arc<Self>) {
        let listener = TcpListener::bind(self.spec.address).expect("a free address");
        listener.set_nonblocking(true).expect("set");
        let mut state = self.state.lock().expect("no panic");
        state.lifetime += 1;
        state.is_up = true;
        let lifetime = state.lifetime;
        drop(state);
        let engine = self.clone();
        thread::spawn(move || engine.accept(listener, lifetime));
        self.list(lifetime, "ready");
    }

    /// Writes the engine's entry.
    pub fn list(&self, lifetime: u64, state: &str) {
        let spec = &self.spec;
        let document = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            spec.service, spec.address, spec.zone, spec.slots
        );
        let id = self.id(lifetime);
        self.store.put("servers", &id, &document);
        self.record.note(&format!("engine {id} listed {state}"));
    }

    fn is_alive(&self, lifetime: u64) -> bool {
        let state = self.state.lock().expect("no panic");
        state.is_up && state.lifetime == lifetime
    }

    fn accept(self: Arc<Self>, listener: TcpListener, lifetime: u64) {
        while self.is_alive(lifetime) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_POLL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(other) = stream.try_clone() {
                self.state.lock().expect("no panic").connections.push(other);
            }
            let engine = self.clone();
            thread::spawn(move || engine.serve(stream, lifetime));
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream, lifetime: u64) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if !self.is_alive(lifetime) || !self.answer(&request, &mut writer, lifetime) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(self: &Arc<Self>, request: &Request, writer: &mut TcpStream, lifetime: u64) -> bool {
        let id = self.id(lifetime);
        let Some(attempt) = request.header("x-attempt-id") else {
            let headers = "X-Not-Executed: 1\r\n";
            return http::write_answer(writer, "400 Bad Request", headers, b"").is_ok();
        };
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let headers = format!("{echo}X-Not-Executed: 1\r\n");
            return http::write_answer(writer, "421 Misdirected Request", &headers, b"").is_ok();
        }
        let run = Run {
            at: self.record.now(),
            attempt: attempt.to_owned(),
            target: request.target.clone(),
            engine: id.clone(),
        };
        self.log.runs.lock().expect("no panic").push(run);
        self.record
            .note(&format!("run {attempt} {} at {id}", request.target));
        let headers = format!("{echo}X-Server-Stamp: {id}.{attempt}\r\n");
        match (self.work)(request) {
            Work::Whole { time, bytes } => {
                thread::sleep(time);
                let body = vec![b'.'; bytes];
                self.is_alive(lifetime)
                    && http::write_answer(writer, "200 OK", &headers, &body).is_ok()
            }
            Work::Stream {
                first_after,
                events,
                interval,
                event_bytes,
            } => {
                thread::sleep(first_after);
                let first = first_event(request);
                let is_sent = begin_stream(writer, &headers)
                    && (first..events).all(|number| {
                        let is_sent = send_event(writer, number, event_bytes);
                        thread::sleep(interval);
                        is_sent && self.is_alive(lifetime)
                    })
                    && http::write_chunk(writer, b"").is_ok();
                let outcome = if is_sent { "complete" } else { "cut" };
                self.record
                    .note(&format!("engine {id} ends {attempt} {outcome}"));
                is_sent
            }
            Work::StreamAndCrash {
                first_after,
                interval,
                crash_after,
            } => {
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(crash_after);
                    engine.crash(lifetime);
                });
                thread::sleep(first_after);
                let mut is_sent = begin_stream(writer, &headers);
                let mut number = 0;
                while is_sent && self.is_alive(lifetime) {
                    is_sent = send_event(writer, number, 60);
                    number += 1;
                    thread::sleep(interval);
                }
                // The engine goes on until it crashes, also if the connection is closed.
                false
            }
        }
    }

    /// Ends a lifetime of the engine: all connections end and new ones are refused until it starts again.
    pub fn crash(self: &Arc<Self>, lifetime: u64) {
        let mut state = self.state.lock().expect("no panic");
        if !state.is_up || state.lifetime != lifetime {
            return;
        }
        state.is_up = false;
        let connections = std::mem::take(&mut state.connections);
        drop(state);
        let id = self.id(lifetime);
        let crash = (self.record.now(), id.clone());
        self.log.crashes.lock().expect("no panic").push(crash);
        self.record.note(&format!("crash {id}"));
        // The listener closes first, as in a process that ends.
        thread::sleep(ACCEPT_POLL * 2);
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(ENTRY_TIME);
            engine.store.remove("servers", &id);
        });
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(engine.spec.down_time);
            engine.begin_lifetime();
        });
    }
}

fn first_event(request: &Request) -> u64 {
    let last = request.header("last-event-id");
    let last: Option<u64> = last.and_then(|id| id.parse().ok());
    last.map_or(0, |last| last + 1)
}

fn begin_stream(writer: &mut TcpStream, headers: &str) -> bool {
    use std::io::Write;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}Transfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).is_ok()
}

fn send_event(writer: &mut TcpStream, number: u64, bytes: usize) -> bool {
    let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(bytes));
    http::write_chunk(writer, event.as_bytes()).is_ok()
}
