//! Load reports read from endpoints over HTTP, as the home of a pool does.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use sedgeridge_protocol::engine::LOAD_PATH;
use sedgeridge_protocol::engine::LoadReport;
use ureq::Agent;

use crate::design;
use crate::meter;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::target;

/// Reads a second for a pool of 550 endpoints at the default `health.report_interval_ms`.
const READS_PER_POOL_PER_S: f64 = target::ENDPOINTS / target::POOLS * 4.0;
/// IPv4 and TCP headers of one segment, with the timestamp option.
pub const SEGMENT_OVERHEAD_BYTES: u64 = 52;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Load reports read one after another from one endpoint.
pub const READS: Bench = Bench {
    name: "load-reads",
    size_title: "load reports read",
    sizes: &[1_000, 2_000, 4_000, 8_000],
    quick_sizes: &[500, 1_000, 2_000, 4_000],
    target: READS_PER_POOL_PER_S,
    metrics: &[
        Metric {
            name: "cpu_ms",
            title: "load reports: processor time of the reading thread, ms",
        },
        Metric {
            name: "sent_wire_kb",
            title: "load reports: requests sent on the wire, KB",
        },
        Metric {
            name: "received_wire_kb",
            title: "load reports: answers received on the wire, KB",
        },
    ],
    is_timed: true,
    measure,
};

fn measure(point: Point) -> Sample {
    let request_bytes = Arc::new(AtomicU64::new(0));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback is available");
    let address = listener.local_addr().expect("a listener has an address");
    let counter = Arc::clone(&request_bytes);
    thread::spawn(move || serve(&listener, &counter));
    let agent = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent();
    let url = format!("http://{address}{LOAD_PATH}");
    let cpu_before = meter::main_thread_cpu_time();
    for _ in 0..point.size {
        let mut response = agent.get(&url).call().expect("the server answers");
        let body = response.body_mut().read_to_vec().expect("a whole answer");
        let report: LoadReport = serde_json::from_slice(&body).expect("a load report");
        assert_eq!(report.slots, design::SLOTS_PER_ENGINE);
    }
    let cpu = meter::main_thread_cpu_time() - cpu_before;
    let overhead_bytes = SEGMENT_OVERHEAD_BYTES * 2;
    let sent = request_bytes.load(Ordering::Relaxed) + overhead_bytes * point.size;
    let received = (answer().len() as u64 + overhead_bytes) * point.size;
    let mut sample = Sample::default();
    sample.set("cpu_ms", cpu.as_secs_f64() * 1e3);
    sample.set("sent_wire_kb", sent as f64 / 1_024.0);
    sample.set("received_wire_kb", received as f64 / 1_024.0);
    sample
}

fn serve(listener: &TcpListener, request_bytes: &AtomicU64) {
    for stream in listener.incoming().flatten() {
        // The connection ends with the bench.
        let _ = answer_requests(stream, request_bytes);
    }
}

fn answer_requests(mut stream: TcpStream, request_bytes: &AtomicU64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let answer = answer();
    let mut line = String::new();
    loop {
        line.clear();
        let len = reader.read_line(&mut line)?;
        if len == 0 {
            return Ok(());
        }
        request_bytes.fetch_add(len as u64, Ordering::Relaxed);
        if line == "\r\n" {
            stream.write_all(answer.as_bytes())?;
        }
    }
}

fn answer() -> String {
    let report = LoadReport {
        running: 27,
        waiting: 0,
        slots: design::SLOTS_PER_ENGINE,
        age_ms: 180,
        leaving: false,
    };
    let body = serde_json::to_string(&report).expect("plain data encodes");
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Wed, 02 Dec 2026 19:00:00 GMT\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
