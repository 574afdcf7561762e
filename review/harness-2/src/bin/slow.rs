//! Callers read the answers to their streams slowly, around a SIGHUP of their router.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_harness_2::engine::Engine;
use review_harness_2::engine::EngineSpec;
use review_harness_2::engine::RunLog;
use review_harness_2::engine::Work;
use review_harness_2::fixture::ATLAS;
use review_harness_2::fixture::Fixture;
use review_harness_2::fixture::SiteSettings;
use review_harness_2::http::Connection;
use review_harness_2::http::End;
use review_harness_2::record::Record;
use review_harness_2::store::Store;

const ZONES: [&str; 2] = ["ma-north-a", "ma-north-b"];
const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const CALLERS: u64 = 8;
/// Events and their bytes of the long streams: within the largest of `build-log-diagnosis`.
const EVENTS: u64 = 60;
const EVENT_BYTES: usize = 560;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Time budget of the long streams, and timeout of their route.
const TIME_LEFT_MS: u64 = 8_000;
/// Receive buffer of a caller.
const RECEIVE_BUFFER_BYTES: i32 = 4_096;
/// Bytes that a slow caller reads before its pause.
const READ_BEFORE_PAUSE: usize = 4_000;
const PAUSE: Duration = Duration::from_millis(3_000);

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

fn main() {
    let record = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    std::process::exit(play(Path::new(&record)));
}

fn config() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r1\",\"host\":\"{HOST}\",\"path_prefix\":\"/lohu930/\",\
         \"type\":\"streaming\",\"service\":\"sedge-model-pool\",\"timeout_ms\":{TIME_LEFT_MS},\"target_latency_ms\":600,\
         \"max_attempts\":2,\"resumable\":true,\"priority\":1,\"gap_target_ms\":300,\"sticky\":true}}],\
         \"services\":[{{\"name\":\"sedge-model-pool\",\"max_connections\":530,\"health_path\":\"/healthz\",\
         \"engine\":{{\"slots\":12,\"kv_capacity\":444000}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\
         \"idle_timeout_ms\":10000,\"tokens_per_s\":100000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}"
    )
}

fn play(record: &Path) -> i32 {
    let is_slow = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(record).expect("a record"));
    let mut fixture = Fixture::new(5, record.clone()).expect("a fixture");
    let store = Store::default();
    let store_address = store.listen(fixture.address(250, 8781)).expect("a store");
    store.put("op", "config", &config());
    let log = Arc::new(RunLog::default());
    for number in 0..4u8 {
        let spec = EngineSpec {
            name: format!("e{number}"),
            service: "sedge-model-pool".to_owned(),
            zone: ZONES[usize::from(number % 2)].to_owned(),
            slots: 12,
            address: fixture.address(100 + number, 9000),
            down_time: Duration::from_secs(3),
        };
        Engine::start(
            spec,
            store.clone(),
            record.clone(),
            log.clone(),
            |request| Work::Stream {
                first_after: Duration::from_millis(60),
                events: if request.path().ends_with("/short") {
                    2
                } else {
                    EVENTS
                },
                interval: EVENT_INTERVAL,
                event_bytes: EVENT_BYTES,
            },
        );
    }
    for (number, zone) in ZONES.into_iter().enumerate() {
        let name = format!("edge-{zone}-{number}");
        let added = fixture.add_router(&ZONES, zone, &name, store_address, &ATLAS);
        added.expect("a router");
    }
    if !fixture.wait_until_ready(Duration::from_secs(15)) {
        record.say("the routers are not ready");
        return 2;
    }
    // Machines are in touch after this time without any impairment.
    thread::sleep(Duration::from_millis(ATLAS.stable_ms + 500));
    let changed = SiteSettings {
        retry_min_extra: ATLAS.retry_min_extra + 2,
        ..ATLAS
    };
    fixture.change_settings(0, &ZONES, store_address, &changed);
    fixture.signal(0, "HUP");
    let hup_at = record.now();
    thread::sleep(Duration::from_millis(200));
    let target = fixture.frontend(0);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || call(&record, target, number, is_slow))
        })
        .collect();
    let mut cut = 0;
    for caller in callers {
        let Some((sent_at, is_complete)) = caller.join().ok().flatten() else {
            record.say("a caller got no answer to its first request");
            return 2;
        };
        if sent_at > hup_at + Duration::from_millis(ATLAS.config_apply_ms) {
            record.say("a request was sent too late after the SIGHUP");
            return 2;
        }
        cut += u32::from(!is_complete);
    }
    record.say(&format!("routers running: {}", fixture.running()));
    record.say(&format!(
        "streams that ended without a complete answer: {cut} of {CALLERS}"
    ));
    match cut > 3 {
        true => {
            record.say("LOST is broken");
            1
        }
        false => {
            record.say("the rule held");
            0
        }
    }
}

/// Sends two requests on one connection. Returns when the second one was sent, and whether its answer was complete.
fn call(
    record: &Record,
    target: SocketAddr,
    number: u64,
    is_slow: bool,
) -> Option<(Duration, bool)> {
    let stream = connect(target)?;
    let mut connection = Connection::of(stream, Duration::from_millis(TIME_LEFT_MS)).ok()?;
    let first = exchange(record, &mut connection, number * 16, "short", false);
    let sent_at = record.now();
    let second = exchange(record, &mut connection, number * 16 + 1, "long", is_slow);
    first.then_some((sent_at, second))
}

fn exchange(
    record: &Record,
    connection: &mut Connection,
    id: u64,
    path: &str,
    is_slow: bool,
) -> bool {
    let attempt = format!("{id:016x}");
    let request = format!(
        "POST /lohu930/{path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,{:x}:410,{:x}:250\r\n\
         X-Deadline-Ms: {TIME_LEFT_MS}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\nbody",
        0x91bd_3000 + id,
        0xe440_2000 + id
    );
    record.note(&format!("sent {attempt} {path}"));
    if connection.send(request.as_bytes()).is_err() {
        return false;
    }
    let mut has_paused = !is_slow;
    let answer = connection.read_answer(|read| {
        if !has_paused && read >= READ_BEFORE_PAUSE {
            has_paused = true;
            record.note(&format!("caller of {attempt} pauses after {read} bytes"));
            thread::sleep(PAUSE);
            record.note(&format!("caller of {attempt} reads on"));
        }
    });
    let events = String::from_utf8_lossy(&answer.body)
        .matches("data:")
        .count();
    record.say(&format!(
        "answer {attempt} {path}: {} {:?}, {events} events",
        answer.status, answer.end
    ));
    answer.status == 200 && answer.end == End::Complete
}

fn connect(target: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&target, Duration::from_secs(1)).ok()?;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let size = RECEIVE_BUFFER_BYTES;
    // Safe: the socket is open and the value is a whole number of this length.
    let set = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &size, 4) };
    (set == 0).then_some(stream)
}
