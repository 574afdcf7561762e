//! The data path: a real router process between real callers and a stand-in engine.

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_protocol::chat::CHAT_PATH;

use crate::design;
use crate::meter;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

/// API key of the only account; the settings hold its SHA-256.
const KEY: &str = "slopes-key";
const KEY_SHA256: &str = "8f3e59899bc98dd41da0d3af38a16ce6d47ac9e21aea0b47969015274bb34eeb";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for all streams to open.
const OPEN_TIME: Duration = Duration::from_secs(4);
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Token limit of a stream: enough that no stream ends while it is measured, since the engine
/// generates at least a quarter of the limit.
const MAX_TOKENS: u32 = 4_000;
const SLOTS: u32 = 400;
/// Number of callers, each of which sends one short request after another.
const CALLER_COUNT: u64 = 8;

/// Cost of streams open at one router.
pub const STREAMS: Bench = Bench {
    name: "data-streams",
    size_title: "streams open at one router, a token each 42 ms",
    sizes: &[20, 40, 80, 160],
    quick_sizes: &[10, 20, 30, 40],
    target: target::TOKENS_PER_S * target::TOKEN_INTERVAL_MS / 1_000.0 / target::NODES,
    metrics: &[
        Metric {
            name: "memory_kb",
            title: "data path: memory of the router process, KB",
        },
        Metric {
            name: "threads",
            title: "data path: threads of the router process",
        },
        Metric {
            name: "cpu_ms",
            title: "data path: processor time of the router process a second, ms",
        },
    ],
    is_timed: true,
    measure: measure_streams,
};

/// Cost of short requests through one router.
pub const REQUESTS: Bench = Bench {
    name: "data-requests",
    size_title: "requests through one router, one token each, 8 callers",
    sizes: &[500, 1_000, 2_000, 4_000],
    quick_sizes: &[200, 400, 800, 1_600],
    target: 1_000.0,
    metrics: &[Metric {
        name: "cpu_ms",
        title: "data path: processor time of the router process, ms",
    }],
    is_timed: true,
    measure: measure_requests,
};

fn measure_streams(point: Point) -> Sample {
    let processes = Processes::start(target::TOKEN_INTERVAL_MS).expect("router and engine start");
    let body = chat_body(MAX_TOKENS);
    for _ in 0..point.size {
        let stream = processes.send(&body).expect("the router takes the request");
        thread::spawn(move || drain(stream));
    }
    thread::sleep(OPEN_TIME);
    let id = processes.router.id();
    let at_start = (Instant::now(), meter::process_cpu_time(id));
    let waits = meter::voluntary_context_switches(id);
    thread::sleep(MEASURED_TIME);
    let cpu = meter::process_cpu_time(id) - at_start.1;
    let waits = meter::voluntary_context_switches(id) - waits;
    let seconds = at_start.0.elapsed().as_secs_f64();
    let mut sample = Sample::default();
    sample.set("cpu_ms", cpu.as_secs_f64() * 1e3 / seconds);
    sample.set("waits", waits as f64 / seconds);
    sample.set("memory_kb", meter::status_field(id, "VmRSS:") as f64);
    sample.set("threads", meter::status_field(id, "Threads:") as f64);
    sample
}

fn measure_requests(point: Point) -> Sample {
    let processes = Processes::start(1.0).expect("router and engine start");
    let body = chat_body(1);
    let id = processes.router.id();
    let cpu_before = meter::process_cpu_time(id);
    thread::scope(|scope| {
        for _ in 0..CALLER_COUNT {
            scope.spawn(|| {
                for _ in 0..point.size / CALLER_COUNT {
                    let stream = processes.send(&body).expect("the router takes the request");
                    assert!(drain(stream) > 0, "every request has an answer");
                }
            });
        }
    });
    let cpu = meter::process_cpu_time(id) - cpu_before;
    let mut sample = Sample::default();
    sample.set("cpu_ms", cpu.as_secs_f64() * 1e3);
    sample
}

fn drain(mut stream: TcpStream) -> usize {
    let mut buffer = [0; 16 << 10];
    let mut total = 0;
    while let Ok(len @ 1..) = stream.read(&mut buffer) {
        total += len;
    }
    total
}

fn chat_body(max_tokens: u32) -> String {
    format!(
        "{{\"model\":\"model-0\",\"stream\":true,\"max_tokens\":{max_tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"a lens and a light\"}}]}}"
    )
}

/// A router and an engine, each in its own process.
struct Processes {
    router: Child,
    engine: Child,
    callers: SocketAddr,
    settings: PathBuf,
}

impl Processes {
    fn start(token_ms: f64) -> io::Result<Self> {
        let [engine_at, callers, peers, operators] = free_addresses()?;
        let engine = sibling_program("sedgeridge-standins")?
            .args(["engine", "--listen", &engine_at.to_string()])
            .args(["--slots", &SLOTS.to_string()])
            .args(["--token-ms", &token_ms.to_string()])
            .spawn()?;
        let text = format!(
            "[fleet]\nname = slopes\n[site.a]\n[host.r1]\nsite = a\ncaller_address = {callers}\n\
             peer_address = {peers}\noperator_address = {operators}\n[pool.model-0]\nkind = model\n\
             [service.model-0]\npool = model-0\nrepeatable = yes\n[endpoint.e1]\npool = model-0\n\
             site = a\naddress = {engine_at}\nslots = {SLOTS}\nchecks_fencing = yes\n\
             [account.{}]\nkey_sha256 = {KEY_SHA256}\n",
            design::account_id(0)
        );
        let file = format!("sedgeridge-slopes-{}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, text)?;
        let router = sibling_program("sedgeridge-router")?
            .arg("--config")
            .arg(&settings)
            .args(["--host", "r1"])
            .spawn()?;
        let processes = Self {
            router,
            engine,
            callers,
            settings,
        };
        processes.wait_until_ready()?;
        Ok(processes)
    }

    /// Retries a request until it is answered or [`READY_TIMEOUT`] has passed.
    fn wait_until_ready(&self) -> io::Result<()> {
        let started_at = Instant::now();
        loop {
            let answered = self.send(&chat_body(1)).map(drain);
            match answered {
                Ok(1..) => return Ok(()),
                Err(error) if started_at.elapsed() > READY_TIMEOUT => return Err(error),
                _ => thread::sleep(READY_POLL_INTERVAL),
            }
        }
    }

    fn send(&self, body: &str) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.callers)?;
        let head = format!(
            "POST {CHAT_PATH} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {KEY}\r\n\
             Content-Type: application/json\r\nConnection: close\r\n\
             x-sedgeridge-deadline-ms: 300000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        Ok(stream)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in [&mut self.router, &mut self.engine] {
            // The process may already have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the command of a program in the same directory as this one.
fn sibling_program(name: &str) -> io::Result<Command> {
    let path = std::env::current_exe()?.with_file_name(name);
    let mut command = Command::new(path);
    command.stdin(Stdio::null()).stdout(Stdio::null());
    command.stderr(Stdio::null());
    Ok(command)
}

fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    let listen = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listeners = [0; 4].map(listen);
    let mut addresses = [SocketAddr::from((Ipv4Addr::LOCALHOST, 0)); 4];
    for (address, listener) in addresses.iter_mut().zip(listeners) {
        *address = listener?.local_addr()?;
    }
    Ok(addresses)
}
