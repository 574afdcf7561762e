//! `sedgeridge-data-paths`: runs the same streams through both data paths, one after the other.
//!
//! Prints processor time per event, voluntary context switches and memory of each router process:
//! `sedgeridge-router` (threads and rings) and `sedgeridge-edge` (one event loop).

use std::error::Error;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_platform_standins::documents;
use sedgeridge_platform_standins::documents::AccountSpec;
use sedgeridge_platform_standins::documents::ConfigSpec;
use sedgeridge_platform_standins::documents::EndpointSpec;
use sedgeridge_platform_standins::documents::RouteKind;
use sedgeridge_platform_standins::documents::RouteSpec;
use sedgeridge_platform_standins::endpoint;
use sedgeridge_platform_standins::endpoint::ListedRun;
use sedgeridge_platform_standins::endpoint::RunLog;
use sedgeridge_platform_standins::endpoint::STREAM_PATH;
use sedgeridge_platform_standins::endpoint::StreamShape;
use sedgeridge_platform_standins::store;
use sedgeridge_platform_standins::store::CONFIG_KEY;
use sedgeridge_platform_standins::store::ENDPOINTS_TABLE;
use sedgeridge_platform_standins::store::OPERATOR_TABLE;
use sedgeridge_platform_standins::store::StoreRows;
use sedgeridge_slopes::meter;
use sedgeridge_slopes::roles::Point;
use sedgeridge_slopes::roles::data_path;
use sedgeridge_slopes::sample::Sample;
use sedgeridge_slopes::target;
use sedgeridge_soak::routers::Router;
use sedgeridge_soak::routers::find_program;

/// Numbers of concurrent streams.
const SIZES: [u64; 3] = [50, 100, 200];
/// Time for the router to load its configuration.
const START_TIME: Duration = Duration::from_secs(2);
/// Time for all streams to open.
const OPEN_TIME: Duration = Duration::from_secs(3);
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Events of a stream: enough that no stream ends while it is measured.
const EVENTS: u64 = 1_000;
const SLOTS: u32 = 400;
const TIMEOUT_MS: u64 = 60_000;

fn main() -> Result<(), Box<dyn Error>> {
    println!("streams  program           us an event  waits/s  memory KB");
    for size in SIZES {
        let point = Point {
            size,
            seed: 1,
            quick: false,
        };
        print_row(
            size,
            "sedgeridge-router",
            &(data_path::STREAMS.measure)(point),
        );
        print_row(size, "sedgeridge-edge", &measure_edge(size)?);
    }
    Ok(())
}

fn print_row(size: u64, program: &str, sample: &Sample) {
    let value = |name| sample.get(name).unwrap_or(f64::NAN);
    let events_per_s = size as f64 * 1e3 / target::TOKEN_INTERVAL_MS;
    let each_us = value("cpu_ms") * 1e3 / events_per_s;
    let (waits, memory) = (value("waits"), value("memory_kb"));
    println!("{size:7}  {program:17} {each_us:11.1} {waits:8.0} {memory:10.0}");
}

fn measure_edge(size: u64) -> io::Result<Sample> {
    let rows = StoreRows::default();
    let shape = StreamShape {
        events: EVENTS,
        interval: Duration::from_secs_f64(target::TOKEN_INTERVAL_MS / 1e3),
        comment_bytes: 0,
    };
    let store = store::spawn(rows.clone())?;
    let endpoint = endpoint::spawn(ListedRun::new("e-1", "v1"), RunLog::default(), shape)?;
    rows.put(OPERATOR_TABLE, CONFIG_KEY, &documents::config(&config()));
    let entry = documents::endpoint(&EndpointSpec {
        service: "streams".to_owned(),
        software_version: "v1".to_owned(),
        address: endpoint.address(),
        data_centre: "dc-0".to_owned(),
        slots: SLOTS,
        is_leaving: false,
        cold_remaining_ms: 0,
    });
    rows.put(ENDPOINTS_TABLE, "e-1", &entry);

    let dir = std::env::temp_dir().join(format!("sedgeridge-paths-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let mut router = Router::new(0, &dir, &find_program()?, store.address())?;
    router.start()?;
    thread::sleep(START_TIME);
    for number in 0..size {
        let stream = open_stream(router.callers_address(), number)?;
        thread::spawn(move || drain(stream));
    }
    thread::sleep(OPEN_TIME);
    let id = router.process();
    let (started_at, cpu, waits) = (
        Instant::now(),
        meter::process_cpu_time(id),
        meter::voluntary_context_switches(id),
    );
    thread::sleep(MEASURED_TIME);
    let seconds = started_at.elapsed().as_secs_f64();
    let mut sample = Sample::default();
    let cpu = meter::process_cpu_time(id) - cpu;
    sample.set("cpu_ms", cpu.as_secs_f64() * 1e3 / seconds);
    sample.set(
        "waits",
        (meter::voluntary_context_switches(id) - waits) as f64 / seconds,
    );
    sample.set("memory_kb", router.memory_kb() as f64);
    drop(router);
    fs::remove_dir_all(&dir)?;
    Ok(sample)
}

fn config() -> ConfigSpec {
    ConfigSpec {
        version: 1,
        routes: vec![RouteSpec {
            host: "desk.example".to_owned(),
            path: STREAM_PATH.to_owned(),
            kind: RouteKind::Stream,
            service: "streams".to_owned(),
            timeout_ms: TIMEOUT_MS,
        }],
        cold_start_s: 0.0,
        cold_requests_per_s: 0.0,
        accounts: vec![AccountSpec {
            name: "crew".to_owned(),
            keys: vec!["secret".to_owned()],
        }],
    }
}

/// Sends a request and checks that it is answered with status 200.
fn open_stream(address: SocketAddr, number: u64) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    let request = format!(
        "POST {STREAM_PATH} HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer secret\r\n\
         X-Attempt-Id: {number}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    if !status.ends_with(b" 200") {
        let status = String::from_utf8_lossy(&status);
        return Err(io::Error::other(format!(
            "expected status 200, got {status}"
        )));
    }
    Ok(stream)
}

fn drain(mut stream: TcpStream) {
    let mut buffer = [0; 16 << 10];
    while let Ok(1..) = stream.read(&mut buffer) {}
}
