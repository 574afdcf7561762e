//! A request that crashes the engines that run it comes again and again. It crashes them some seconds after its stream has
//! begun. Variables with the prefix `REVIEW_` change the play for trials; the case is played without them.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_harness_2::engine::Engine;
use review_harness_2::engine::EngineSpec;
use review_harness_2::engine::RunLog;
use review_harness_2::engine::Work;
use review_harness_2::fixture::Fixture;
use review_harness_2::fixture::LUCE_ETNA;
use review_harness_2::http;
use review_harness_2::record::Record;
use review_harness_2::store::Store;

const ZONES: [&str; 3] = ["magazzino", "sportello", "officina"];
const HOST: &str = "ficu95.example";
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const CRASHING_PATH: &str = "/lohu930/again";

fn env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|it| it.parse().ok()).unwrap_or(default)
}

fn main() {
    let record = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    let code = play(Path::new(&record));
    std::process::exit(code);
}

fn play(record: &Path) -> i32 {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let routers = env("REVIEW_ROUTERS", 6) as usize;
    let engines = env("REVIEW_ENGINES", 9) as usize;
    let crash_after = Duration::from_millis(env("REVIEW_CRASH_MS", 4_000));
    let interval = Duration::from_millis(env("REVIEW_INTERVAL_MS", 667));
    let play_time = Duration::from_secs(env("REVIEW_SECONDS", 38));
    let record = Arc::new(Record::create(record).expect("a record"));
    let mut fixture = Fixture::new(4, record.clone()).expect("a fixture");
    let attempts = env("REVIEW_ATTEMPTS", 1);
    let resumable = env("REVIEW_RESUMABLE", 0) == 1;
    let store = Store::default();
    let store_address = store.listen(fixture.address(250, 8781)).expect("a store");
    store.put(
        "op",
        "config",
        &format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"r1\",\"host\":\"{HOST}\",\"path_prefix\":\"/lohu930/\",\
             \"type\":\"streaming\",\"service\":\"desk-llm\",\"timeout_ms\":12000,\"target_latency_ms\":600,\
             \"max_attempts\":{attempts},\"resumable\":{resumable},\"priority\":1,\"gap_target_ms\":250,\"sticky\":true}}],\
             \"services\":[{{\"name\":\"desk-llm\",\"max_connections\":360,\"health_path\":\"/healthz\",\
             \"engine\":{{\"slots\":64,\"kv_capacity\":774753}}}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\
             \"idle_timeout_ms\":10000,\"tokens_per_s\":100000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}"
        ),
    );
    let log = Arc::new(RunLog::default());
    for number in 0..engines {
        let spec = EngineSpec {
            name: format!("e{number}"),
            service: "desk-llm".to_owned(),
            zone: ZONES[number % 3].to_owned(),
            slots: 64,
            address: fixture.address(100 + number as u8, 9000),
            down_time: Duration::from_secs(3),
        };
        Engine::start(
            spec,
            store.clone(),
            record.clone(),
            log.clone(),
            move |request| match has_trouble && request.path() == CRASHING_PATH {
                true => Work::StreamAndCrash {
                    first_after: Duration::from_millis(60),
                    interval: Duration::from_millis(40),
                    crash_after,
                },
                false => Work::Stream {
                    first_after: Duration::from_millis(60),
                    events: 25,
                    interval: Duration::from_millis(20),
                    event_bytes: 60,
                },
            },
        );
    }
    for number in 0..routers {
        let zone = ZONES[number % 3];
        let name = format!("edge-{zone}-{}", number / 3 + 1);
        fixture
            .add_router(&ZONES, zone, &name, store_address, &LUCE_ETNA)
            .expect("a router");
    }
    if !fixture.wait_until_ready(Duration::from_secs(15)) {
        record.say("the routers are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    record.say("routers ready");
    let frontends: Vec<_> = (0..routers).map(|it| fixture.frontend(it)).collect();
    let started = record.now();
    let mut sent = 0u32;
    let mut crashing = 0u32;
    let sound_interval = Duration::from_millis(env("REVIEW_SOUND_MS", 33));
    let mut callers = Vec::new();
    while record.now() - started < play_time {
        let elapsed = record.now() - started;
        while sound_interval * sent < elapsed {
            let target = frontends[sent as usize % routers];
            let record = record.clone();
            let attempt = format!("{:016x}", 0x5000_0000_0000u64 + u64::from(sent));
            let path = format!("/lohu930/{sent}");
            let (first, second) = shared();
            let parts = format!(
                "5c1e07a2:{first},{:x}:{second},{:x}:618",
                0x1000 + sent % 40,
                0xa000_0000u32 + sent
            );
            callers.push(thread::spawn(move || {
                call(
                    &record,
                    target,
                    &attempt,
                    &path,
                    &parts,
                    &format!("body {attempt}"),
                )
            }));
            sent += 1;
        }
        while interval * crashing < elapsed {
            let target = frontends[(crashing as usize * 5) % routers];
            let record = record.clone();
            let attempt = format!("{:016x}", 0xc000_0000_0000u64 + u64::from(crashing));
            callers.push(thread::spawn(move || {
                let (first, second) = shared();
                let parts = format!("5c1e07a2:{first},91bd3f06:{second},e4402b7d:618");
                call(
                    &record,
                    target,
                    &attempt,
                    CRASHING_PATH,
                    &parts,
                    "the same body",
                )
            }));
            crashing += 1;
        }
        thread::sleep(Duration::from_millis(4));
    }
    let statuses: Vec<(String, u16)> = callers
        .into_iter()
        .filter_map(|it| it.join().ok())
        .collect();
    let sound = statuses.iter().filter(|(attempt, _)| attempt.contains('5'));
    let served = sound.clone().filter(|(_, status)| *status == 200).count();
    record.say(&format!(
        "sound requests {}, served {served}",
        sound.count()
    ));
    judge(&record, &log)
}

fn shared() -> (u64, u64) {
    match env("REVIEW_SHARED", 1) {
        0 => (119, 79),
        _ => (512, 4_870),
    }
}

fn call(
    record: &Record,
    target: std::net::SocketAddr,
    attempt: &str,
    path: &str,
    parts: &str,
    body: &str,
) -> (String, u16) {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\nX-Token-Usage: 6000,64\r\n\
         X-Prefix-Hash: {parts}\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.note(&format!("sent {attempt} {path} to {target}"));
    let answer = http::fetch(target, request.as_bytes(), Duration::from_secs(12));
    let status = answer.as_ref().map_or(0, |it| it.status);
    let text = answer.map_or_else(
        || "no answer".to_owned(),
        |it| {
            let reason = match it.status {
                200 => String::new(),
                _ => String::from_utf8_lossy(&it.body).into_owned(),
            };
            format!("{} {:?} {reason}", it.status, it.end)
        },
    );
    record.note(&format!("answer {attempt} {text}"));
    (attempt.to_owned(), status)
}

fn judge(record: &Record, log: &RunLog) -> i32 {
    let crashes = log.crashes();
    let runs = log.runs();
    let of_request: Vec<_> = runs
        .iter()
        .filter(|run| run.target == CRASHING_PATH)
        .collect();
    for (at, engine) in &crashes {
        record.say(&format!("crash at {:.3} of {engine}", at.as_secs_f64()));
    }
    let Some((third, _)) = crashes.get(2) else {
        record.say(&format!(
            "{} crashes, {} runs: the rule held",
            crashes.len(),
            of_request.len()
        ));
        return 0;
    };
    let from = *third + Duration::from_millis(LUCE_ETNA.stable_ms);
    let late: Vec<_> = of_request.iter().filter(|run| run.at > from).collect();
    for run in &late {
        record.say(&format!(
            "late arrival at {:.3}: {} at {}",
            run.at.as_secs_f64(),
            run.attempt,
            run.engine
        ));
    }
    record.say(&format!(
        "third crash at {:.3}, arrivals later than 3 s after it: {}",
        third.as_secs_f64(),
        late.len()
    ));
    match late.len() > 3 {
        true => {
            record.say("BUDGET is broken");
            1
        }
        false => {
            record.say("the rule held");
            0
        }
    }
}
