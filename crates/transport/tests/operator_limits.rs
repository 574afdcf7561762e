//! Operator pages with clients that stay silent, send without end or do not read.

mod support;

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use metrics::histogram;
use sedgeridge_protocol::coordinator::CoordinatorStatus;
use sedgeridge_transport::operator::serve_operator_pages;
use sedgeridge_transport::status::SharedStatus;
use support::resident::resident_bytes;
use support::test_front::TEST_TIMEOUT;
use support::test_front::metrics;

const MIB: u64 = 1 << 20;
const CONNECTIONS: usize = 100;
/// Threads that the test harness may start for other tests in the meantime.
const MAX_HARNESS_THREADS: usize = 4;

/// Serialises the tests, as they measure the memory and threads of their common process.
fn run_exclusively() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve() -> SocketAddr {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let status = SharedStatus::<CoordinatorStatus>::default();
    serve_operator_pages(address, metrics().clone(), status, None).unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

fn read_response(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n"
    )
    .unwrap();
    read_response(&mut stream)
}

fn thread_count() -> usize {
    fs::read_dir("/proc/self/task").unwrap().count()
}

// A monitoring system opens a connection for each poll, and a network failure leaves them open. If each of
// them occupied a thread and its memory, the process would run out of memory and callers would lose their
// answers. Pages must still be served, and the silent connections must be closed.
#[test]
fn silent_connections_hold_no_thread_and_are_closed() {
    let _exclusive = run_exclusively();
    let address = serve();
    assert!(get(address, "/healthz").starts_with("HTTP/1.1 200"));
    let before = thread_count();
    let mut silent: Vec<_> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    assert!(get(address, "/healthz").starts_with("HTTP/1.1 200"));
    let more = thread_count().saturating_sub(before);
    assert!(more <= MAX_HARNESS_THREADS, "{more} more threads");
    for stream in &mut silent {
        let closed = stream.read(&mut [0]);
        assert!(closed.is_ok_and(|read| read == 0), "still open");
    }
}

// A client sends a header line without end. It must not be read into memory without a limit.
#[test]
fn a_head_without_end_is_not_buffered() {
    let _exclusive = run_exclusively();
    let address = serve();
    let before = resident_bytes();
    let mut stream = connect(address);
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nx-long: ")
        .unwrap();
    let part = vec![b'a'; MIB as usize];
    for _ in 0..64 {
        if stream.write_all(&part).is_err() {
            break;
        }
    }
    thread::sleep(Duration::from_millis(200));
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 4 * MIB, "{grown} bytes more are resident");
}

// A client requests the metrics and does not read the response. If other requests had to wait for it,
// readiness checks would fail and the host would be taken for down.
#[test]
fn a_client_that_does_not_read_blocks_no_other() {
    let _exclusive = run_exclusively();
    let address = serve();
    for label in 0..20_000 {
        metrics::counter!("sedgeridge_refusals_total", "reason" => format!("{label:0>400}"))
            .increment(1);
    }
    let mut silent = connect(address);
    silent
        .write_all(b"GET /metrics HTTP/1.1\r\nhost: desk\r\n\r\n")
        .unwrap();
    thread::sleep(Duration::from_millis(500));
    assert!(get(address, "/healthz").starts_with("HTTP/1.1 200"));
}

// The metrics of a process are never read. If the samples of its histograms were kept until the next read,
// memory use would grow with each sample.
#[test]
fn samples_are_aggregated_even_if_never_read() {
    let _exclusive = run_exclusively();
    serve();
    let before = resident_bytes();
    for _ in 0..6 {
        for sample in 0..1_000_000 {
            histogram!("sedgeridge_test_seconds").record(f64::from(sample));
        }
        thread::sleep(Duration::from_millis(1_500));
    }
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < 32 * MIB, "{grown} bytes more are resident");
}
