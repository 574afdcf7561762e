//! Some machines of a larger fleet are killed at the same moment, and the desired state changes right afterwards.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_harness_2::engine::Engine;
use review_harness_2::engine::EngineSpec;
use review_harness_2::engine::RunLog;
use review_harness_2::engine::Work;
use review_harness_2::fixture::Fixture;
use review_harness_2::fixture::SiteSettings;
use review_harness_2::fixture::TAXITILLSTAND;
use review_harness_2::http;
use review_harness_2::record::Record;
use review_harness_2::store::Store;

const ZONES: [&str; 4] = ["vasteras-a", "vasteras-b", "uppsala-c", "orebro-d"];
const HOST: &str = "ficu95.example";

fn env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|it| it.parse().ok()).unwrap_or(default)
}

fn config(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r1\",\"host\":\"{HOST}\",\"path_prefix\":\"/lohu930/\",\
         \"type\":\"idempotent\",\"service\":\"{service}\",\"timeout_ms\":1000,\"target_latency_ms\":150,\
         \"max_attempts\":2,\"priority\":2,\"public\":true}}],\
         \"services\":[{{\"name\":\"old\",\"max_connections\":360,\"health_path\":\"/healthz\"}},\
         {{\"name\":\"new\",\"max_connections\":360,\"health_path\":\"/healthz\"}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\
         \"idle_timeout_ms\":10000,\"tokens_per_s\":100000}}}}"
    )
}

fn main() {
    let record = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    std::process::exit(play(Path::new(&record)));
}

fn play(record: &Path) -> i32 {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let routers = env("ROUTERS", 13) as usize;
    let site = SiteSettings { config_apply_ms: env("APPLY_MS", 2_000), ..TAXITILLSTAND };
    let record = Arc::new(Record::create(record).expect("a record"));
    let mut fixture = Fixture::new(6, record.clone()).expect("a fixture");
    let store = Store::default();
    store.put("op", "config", &config(3, "old"));
    let log = Arc::new(RunLog::default());
    for (number, service) in ["old", "new", "old", "new"].into_iter().enumerate() {
        let spec = EngineSpec {
            name: format!("{service}{number}"),
            service: service.to_owned(),
            zone: ZONES[number].to_owned(),
            slots: 64,
            address: fixture.address(240 + number as u8, 9000),
            down_time: Duration::from_secs(3),
        };
        Engine::start(spec, store.clone(), record.clone(), log.clone(), |_| Work::Whole {
            time: Duration::from_millis(5),
            bytes: 800,
        });
    }
    let mut stores = Vec::new();
    for number in 0..routers {
        let address = store.listen(fixture.address(250, 20_000 + number as u16)).expect("a store");
        stores.push(address);
        let zone = ZONES[number % 4];
        let name = format!("edge-{zone}-{}", number / 4 + 1);
        fixture.add_router(&ZONES, zone, &name, address, &site).expect("a router");
    }
    if !fixture.wait_until_ready(Duration::from_secs(20)) {
        record.say("not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(env("SETTLE_S", 12)));
    let followers = store.followers(Duration::from_millis(3_500));
    let numbers: Vec<_> = followers.iter().filter_map(|it| stores.iter().position(|own| own == it)).collect();
    record.say(&format!("followers: {numbers:?}, routers running {}", fixture.running()));
    let frontends: Vec<_> = (0..routers).map(|it| fixture.frontend(it)).collect();
    let mut killed = Vec::new();
    if has_trouble {
        for number in numbers.iter().take(env("KILLS", 4) as usize) {
            match env("FREEZE", 0) {
                0 => fixture.kill(*number),
                _ => fixture.signal(*number, "STOP"),
            }
            killed.push(*number);
        }
        record.say(&format!("killed {killed:?}"));
    }
    thread::sleep(Duration::from_millis(env("GAP_MS", 50)));
    let acked = {
        store.put("op", "config", &config(7, "new"));
        record.now()
    };
    record.say("version 7 acknowledged: the route leads to the new service");
    let alive: Vec<_> = (0..routers).filter(|it| !killed.contains(it)).collect();
    let mut callers = Vec::new();
    for number in alive {
        let (record, target) = (record.clone(), frontends[number]);
        callers.push(thread::spawn(move || probe(&record, number, target, acked)));
    }
    for caller in callers {
        caller.join().expect("no panic");
    }
    let bound = acked + Duration::from_millis(site.config_apply_ms);
    let runs = log.runs();
    let late: Vec<_> = runs.iter().filter(|run| run.engine.starts_with("i-old")).collect();
    let mut last = std::collections::BTreeMap::new();
    for run in &late {
        let router = run.attempt[8..12].to_owned();
        last.insert(router, run.at);
    }
    let mut broken = 0;
    for (router, at) in &last {
        let after = at.saturating_sub(acked).as_secs_f64();
        record.say(&format!("router {router}: last run at the old service {after:.3} s after the ack"));
    }
    for run in late.iter().filter(|run| run.at > bound) {
        broken += 1;
        record.note(&format!("late {} at {}", run.attempt, run.engine));
    }
    record.say(&format!("requests that the old service ran after the bound: {broken}"));
    for number in killed {
        if env("FREEZE", 0) == 1 {
            fixture.signal(number, "CONT");
        }
    }
    i32::from(broken > 0)
}

fn probe(record: &Record, number: usize, target: SocketAddr, acked: Duration) {
    let mut turn = 0u64;
    while record.now() < acked + Duration::from_millis(6_000) {
        let attempt = format!("{:08x}{:04x}{:08x}", 0xabu32, number, turn);
        turn += 1;
        let request = format!(
            "GET /lohu930/{turn} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1000\r\n\
             Connection: close\r\n\r\n"
        );
        record.note(&format!("sent {attempt}"));
        let answer = http::fetch(target, request.as_bytes(), Duration::from_secs(1));
        record.note(&format!("answer {attempt} {:?}", answer.map(|it| it.status)));
        thread::sleep(Duration::from_millis(100));
    }
}
