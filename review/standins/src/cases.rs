//! The scripted cases. Each returns 1 if the rule was broken, 0 if it held, and 2 if it could not run.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client;
use crate::client::Answer;
use crate::client::End;
use crate::client::Pace;
use crate::client::ETHERNET_SEGMENT;
use crate::client::SLOW_BUFFER;
use crate::fleet::Config;
use crate::fleet::Fleet;
use crate::fleet::FleetSpec;
use crate::fleet::Record;
use crate::fleet::StreamShape;
use crate::fleet::FIRST_CONFIG;
use crate::fleet::GRACE;
use crate::fleet::HOST_NAME;
use crate::fleet::KEY;
use crate::fleet::LOOKUP_PREFIX;
use crate::fleet::STREAM_PATH;
use crate::fleet::UPDATE_PREFIX;
use crate::http;

/// A long stream of 1.1 MB, which an engine makes in 2.2 s.
const SHAPE: StreamShape = StreamShape {
    events: 700,
    event_bytes: 1_500,
    interval_ms: 3,
    single_events: 700,
    batch: 1,
};
/// A stream of 0.85 MB, which an engine makes in 1.7 s.
const SHORT_SHAPE: StreamShape = StreamShape {
    events: 550,
    ..SHAPE
};
/// A stream of 1.4 MB, which an engine makes in 1.9 s.
const QUICK_SHAPE: StreamShape = StreamShape {
    events: 900,
    event_bytes: 1_500,
    interval_ms: 2,
    single_events: 900,
    batch: 1,
};
/// A stream of 3.1 MB. A busy engine writes the later events of ten steps at once.
const BATCHED_SHAPE: StreamShape = StreamShape {
    events: 2_000,
    event_bytes: 1_500,
    interval_ms: 4,
    single_events: 400,
    batch: 10,
};
/// Reads a stream of `SHORT_SHAPE` in about 6 s.
const SLOW: Pace = Pace {
    bytes_per_s: Some(170_000),
    slow_for: Duration::from_secs(60),
    receive_buffer: SLOW_BUFFER,
    segment_bytes: ETHERNET_SEGMENT,
};
/// On a bad link for the first seconds, then on a good one.
const SLOW_AT_FIRST: Pace = Pace {
    bytes_per_s: Some(60_000),
    slow_for: Duration::from_millis(3_500),
    receive_buffer: SLOW_BUFFER,
    segment_bytes: ETHERNET_SEGMENT,
};
const FAST: Pace = Pace {
    bytes_per_s: None,
    slow_for: Duration::ZERO,
    receive_buffer: 256 * 1024,
    segment_bytes: ETHERNET_SEGMENT,
};
/// Longer than `config_apply_ms`.
const APPLY_TIME: Duration = Duration::from_secs(4);
const MEMORY_MB: u64 = 512;
/// Time budget of the clients.
const BUDGET_MS: u64 = 10_000;

pub fn run(name: &str, folder: &str) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|it| it == "0");
    let has_trouble = !has_trouble;
    let record = Record::create(Path::new(folder));
    let Ok(mut record) = record else {
        eprintln!("no record in {folder}");
        return ExitCode::from(2);
    };
    let outcome = match name {
        "removed-route" => removed_route(&mut record, has_trouble),
        "route-timeout" => route_timeout(&mut record, has_trouble),
        "engine-crash" => engine_crash(&mut record, has_trouble),
        "slow-memory" => slow_memory(&mut record, has_trouble),
        "rolling-stop" => rolling_stop(&mut record, has_trouble),
        _ => Err(format!("no case {name}")),
    };
    match outcome {
        Ok(0) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record.note(&format!("the rule was broken {broken} times"));
            ExitCode::from(1)
        }
        Err(reason) => {
            record.note(&format!("could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

struct Sent {
    router: usize,
    pace: &'static str,
    client: JoinHandle<Answer>,
}

fn send(fleet: &Fleet, router: usize, attempt: String, pace: &'static str) -> Sent {
    let address: SocketAddrV4 = fleet.frontend(router);
    let body = "x".repeat(628);
    let request = format!(
        "POST {STREAM_PATH} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Usage: 628,2640\r\nX-Prefix-Hash: 5c1e07a2:119,{attempt}:509\r\nX-Deadline-Ms: {BUDGET_MS}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let options = match pace {
        "slow" => SLOW,
        "slow-at-first" => SLOW_AT_FIRST,
        _ => FAST,
    };
    let time_left = Duration::from_millis(BUDGET_MS);
    let client = thread::spawn(move || {
        client::fetch_stream(address, &request, &attempt, time_left, options)
    });
    Sent {
        router,
        pace,
        client,
    }
}

/// What the engines have recorded of one attempt.
#[derive(Debug, Default, Clone)]
struct Run {
    engines: Vec<String>,
    made: u64,
    has_ended: bool,
}

fn runs_of(record: &str) -> BTreeMap<String, Run> {
    let mut runs: BTreeMap<String, Run> = BTreeMap::new();
    for line in record.lines() {
        let mut words = line.split(' ');
        let (Some(engine), Some(verb), Some(attempt)) = (words.next(), words.next(), words.next())
        else {
            continue;
        };
        let run = runs
            .entry(attempt.trim_end_matches(':').to_owned())
            .or_default();
        match verb {
            "runs" => run.engines.push(engine.to_owned()),
            "made" => {
                run.made = words
                    .next()
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(run.made)
            }
            "ends" => run.has_ended = true,
            _ => {}
        }
    }
    runs
}

fn note_answer(
    record: &mut Record,
    shape: StreamShape,
    router: usize,
    pace: &str,
    answer: &Answer,
    run: &Run,
) {
    record.note(&format!(
        "answer {} router={router} client={pace} status={} stamp={} events={} of {} end={:?} body_bytes={} took_ms={} \
         | engine={} made={} ended={}",
        answer.attempt,
        answer.status,
        answer.has_stamp,
        answer.last_event(),
        shape.events,
        answer.end,
        answer.body_bytes,
        answer.took.as_millis(),
        run.engines.join(","),
        run.made,
        run.has_ended,
    ));
}

/// A request that a client sent on a kept connection.
struct SentRequest {
    method: &'static str,
    target: String,
    body: Vec<u8>,
}

/// UNASKED: an engine runs a request with the body that its client sent. Clients pipeline lookups and updates on a kept
/// connection, and the route of the lookups has been removed.
fn removed_route(record: &mut Record, has_trouble: bool) -> Result<usize, String> {
    const ROUTERS: usize = 3;
    const CLIENTS: usize = 12;
    const LOOKUPS: usize = 48;
    const UPDATES: usize = 30;
    const UPDATE_BYTES: usize = 1_000;
    let fleet = Fleet::start(FleetSpec {
        routers: ROUTERS,
        engines: 6,
        shape: SHAPE,
        memory_mb: MEMORY_MB,
    })?;
    record.note("the deployment is ready");
    if has_trouble {
        let config = Config {
            has_lookups: false,
            ..FIRST_CONFIG
        };
        if !fleet.write_config(2, config) {
            return Err("the store took no configuration".to_owned());
        }
        record.note("the store acknowledged version 2, without the route of lookups");
    }
    thread::sleep(APPLY_TIME);
    let mut all = BTreeMap::new();
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        // Clients differ a little in the length of their lookups.
        let info = "i".repeat(280 + 10 * (client / ROUTERS));
        let mut bytes = Vec::new();
        for number in 0..LOOKUPS + UPDATES {
            let attempt = format!("{:016x}", 0xe_0000 + client * 0x100 + number);
            let is_lookup = number < LOOKUPS;
            let (method, prefix) = if is_lookup {
                ("GET", LOOKUP_PREFIX)
            } else {
                ("PUT", UPDATE_PREFIX)
            };
            let body = if is_lookup {
                Vec::new()
            } else {
                attempt.repeat(UPDATE_BYTES / attempt.len()).into_bytes()
            };
            let request = SentRequest {
                method,
                target: format!("{prefix}{number}"),
                body,
            };
            bytes.extend(encode(&request, &attempt, &info));
            let hash = http::hash(&request.body);
            record.note(&format!(
                "sent {attempt} {method} {} {} {hash:016x}",
                request.target,
                request.body.len()
            ));
            all.insert(attempt, request);
        }
        let address = fleet.frontend(client % ROUTERS);
        clients.push((
            client % ROUTERS,
            thread::spawn(move || client::pipeline(address, &bytes, LOOKUPS + UPDATES, FAST)),
        ));
    }
    record.note(&format!("{CLIENTS} clients sent {LOOKUPS} lookups and {UPDATES} updates each, without waiting for answers"));
    let mut answers = 0;
    for (router, client) in clients {
        let statuses = client.join().expect("a client does not panic");
        answers += statuses.len();
        record.note(&format!(
            "a client of router {router} got {} of {} answers: {:?}",
            statuses.len(),
            LOOKUPS + UPDATES,
            count_equal(&statuses)
        ));
    }
    let broken = count_unasked(record, &fleet.engine_record(), &all);
    if !has_trouble && broken == 0 && answers < all.len() {
        return Err("a request was not answered though nothing was disturbed".to_owned());
    }
    Ok(broken)
}

fn encode(request: &SentRequest, attempt: &str, info: &str) -> Vec<u8> {
    let SentRequest {
        method,
        target,
        body,
    } = request;
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("Content-Length: {}\r\n", body.len()),
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000\r\n\
         X-Client-Info: {info}\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn count_equal(statuses: &[u16]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for status in statuses {
        *counts.entry(*status).or_default() += 1;
    }
    counts
}

/// Counts the runs of requests that no client sent, or with another method, target or body.
fn count_unasked(
    record: &mut Record,
    engines: &str,
    sent: &BTreeMap<String, SentRequest>,
) -> usize {
    let mut runs = 0;
    let mut broken = 0;
    for line in engines.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [engine, "ran", attempt, method, target, length, hash] = words.as_slice() else {
            continue;
        };
        runs += 1;
        record.note(&format!("run {line}"));
        let is_sent = sent.get(*attempt).is_some_and(|request| {
            let sent_hash = format!("{:016x}", http::hash(&request.body));
            request.method == *method && request.target == *target && sent_hash == *hash
        });
        if is_sent {
            continue;
        }
        broken += 1;
        record.note(&format!("UNASKED broken: {engine} ran {method} {target} of {attempt} with {length} other bytes:"));
        let body = engines
            .lines()
            .find(|line| line.contains(&format!(" body {attempt} ")));
        record.note(&format!("  {}", body.unwrap_or_default()));
    }
    record.note(&format!(
        "engines ran {runs} requests, {broken} of them not as sent"
    ));
    broken
}

/// Waits for the answers, records them, and returns them with how many streams came whole.
fn collect(
    record: &mut Record,
    fleet: &Fleet,
    shape: StreamShape,
    sent: Vec<Sent>,
) -> (Vec<(usize, Answer, Run)>, usize) {
    let answers: Vec<_> = sent
        .into_iter()
        .map(|sent| {
            (
                sent.router,
                sent.pace,
                sent.client.join().expect("a client does not panic"),
            )
        })
        .collect();
    let runs = runs_of(&fleet.engine_record());
    let mut collected = Vec::new();
    for (router, pace, answer) in answers {
        let run = runs.get(&answer.attempt).cloned().unwrap_or_default();
        note_answer(record, shape, router, pace, &answer, &run);
        collected.push((router, answer, run));
    }
    let is_whole =
        |answer: &Answer| answer.end == End::Complete && answer.last_event() == shape.events;
    let whole = collected
        .iter()
        .filter(|(_, answer, _)| is_whole(answer))
        .count();
    record.note(&format!(
        "{whole} of {} streams were served whole",
        collected.len()
    ));
    (collected, whole)
}

/// Counts the streams that end as complete before their last event, or have a gap.
fn count_order_broken(
    record: &mut Record,
    fleet: &Fleet,
    shape: StreamShape,
    answers: &[(usize, Answer, Run)],
) -> usize {
    let mut broken = 0;
    for (router, answer, _) in answers {
        let is_success = answer.status == 200 && answer.has_stamp;
        let is_short = answer.end == End::Complete && answer.last_event() < shape.events;
        if is_success && (is_short || !answer.is_gapless()) {
            broken += 1;
            let (attempt, last) = (&answer.attempt, answer.last_event());
            record.note(&format!(
                "ORDER broken: {attempt} ends as complete after event {last}"
            ));
            for line in fleet.router_lines(*router, attempt) {
                record.note(&format!("  log of router {router}: {line}"));
            }
        }
    }
    broken
}

fn check_whole(
    has_trouble: bool,
    whole: usize,
    all: usize,
    broken: usize,
) -> Result<usize, String> {
    if !has_trouble && whole < all && broken == 0 {
        return Err("a stream was not served whole though nothing was disturbed".to_owned());
    }
    Ok(broken)
}

/// ORDER: a stream must not end as complete before its last event. Clients read slowly until after their route's timeout.
fn route_timeout(record: &mut Record, has_trouble: bool) -> Result<usize, String> {
    const ROUTERS: usize = 3;
    const STREAMS: usize = 12;
    const ROUTE_TIMEOUT_MS: u64 = 2_500;
    let fleet = Fleet::start(FleetSpec {
        routers: ROUTERS,
        engines: 6,
        shape: QUICK_SHAPE,
        memory_mb: MEMORY_MB,
    })?;
    record.note("the deployment is ready");
    let config = Config {
        stream_timeout_ms: ROUTE_TIMEOUT_MS,
        ..FIRST_CONFIG
    };
    if !fleet.write_config(2, config) {
        return Err("the store took no configuration".to_owned());
    }
    record.note(&format!(
        "the store acknowledged version 2, with timeout_ms {ROUTE_TIMEOUT_MS} for the route"
    ));
    thread::sleep(APPLY_TIME);
    let pace = if has_trouble { "slow-at-first" } else { "fast" };
    let send_one = |number| {
        send(
            &fleet,
            number % ROUTERS,
            format!("{:016x}", 0xc000 + number),
            pace,
        )
    };
    let sent: Vec<_> = (0..STREAMS).map(send_one).collect();
    record.note(&format!("sent {STREAMS} requests"));
    let (answers, whole) = collect(record, &fleet, QUICK_SHAPE, sent);
    let broken = count_order_broken(record, &fleet, QUICK_SHAPE, &answers);
    check_whole(has_trouble, whole, STREAMS, broken)
}

/// ORDER: a stream must not end as complete before its last event. An engine crashes while some of its clients still read
/// what it has made.
fn engine_crash(record: &mut Record, has_trouble: bool) -> Result<usize, String> {
    const ROUTERS: usize = 3;
    const ENGINES: usize = 6;
    const STREAMS_PER_ROUTER: usize = 6;
    let mut fleet = Fleet::start(FleetSpec {
        routers: ROUTERS,
        engines: ENGINES,
        shape: SHAPE,
        memory_mb: MEMORY_MB,
    })?;
    record.note("the deployment is ready");
    let mut sent = Vec::new();
    for number in 0..ROUTERS * STREAMS_PER_ROUTER {
        // Each third client is on a fast link, for comparison.
        let pace = if number / ROUTERS % 3 == 2 {
            "fast"
        } else {
            "slow"
        };
        sent.push(send(
            &fleet,
            number % ROUTERS,
            format!("{:016x}", 0xa000 + number),
            pace,
        ));
    }
    record.note(&format!("sent {} requests", sent.len()));
    thread::sleep(Duration::from_millis(1_800));
    let runs = runs_of(&fleet.engine_record());
    let load_of = |id: &str| {
        runs.values()
            .filter(|run| run.engines.iter().any(|engine| engine == id))
            .count()
    };
    let busiest = (0..ENGINES)
        .max_by_key(|number| load_of(fleet.engine_id(*number)))
        .unwrap_or(0);
    if has_trouble {
        record.note(&format!(
            "engine {} is killed, with {} streams",
            fleet.engine_id(busiest),
            load_of(fleet.engine_id(busiest))
        ));
        fleet.kill_engine(busiest);
        thread::sleep(Duration::from_millis(4_500));
        fleet.start_engine(busiest)?;
        record.note(&format!(
            "the engine is back as {}",
            fleet.engine_id(busiest)
        ));
    }
    let (answers, whole) = collect(record, &fleet, SHAPE, sent);
    let broken = count_order_broken(record, &fleet, SHAPE, &answers);
    check_whole(has_trouble, whole, answers.len(), broken)
}

/// LOST: around SIGTERM, a request that was passed on to an engine gets a complete answer. The engines have made all of it;
/// its clients still read.
fn rolling_stop(record: &mut Record, has_trouble: bool) -> Result<usize, String> {
    const ROUTERS: usize = 3;
    const STREAMS: usize = 7;
    /// Clients don't begin at the same moment.
    const STAGGER: Duration = Duration::from_millis(70);
    let mut fleet = Fleet::start(FleetSpec {
        routers: ROUTERS,
        engines: 6,
        shape: SHORT_SHAPE,
        memory_mb: MEMORY_MB,
    })?;
    record.note("the deployment is ready");
    let mut broken = 0;
    let mut whole = 0;
    for router in 0..ROUTERS {
        let mut sent = Vec::new();
        for number in 0..STREAMS {
            let pace = if number == 0 { "fast" } else { "slow" };
            let attempt = format!("{:016x}", 0xb000 + router * STREAMS + number);
            sent.push(send(&fleet, router, attempt, pace));
            thread::sleep(STAGGER);
        }
        record.note(&format!("sent {STREAMS} requests to router {router}"));
        if has_trouble {
            record.note(&format!("SIGTERM to router {router}"));
            if !fleet.terminate_router(router) {
                return Err("no signal was sent".to_owned());
            }
            let (took, status) = fleet.wait_for_end(router);
            record.note(&format!(
                "router {router} ended {} ms after SIGTERM: {status}",
                took.as_millis()
            ));
            fleet.start_router(router)?;
        }
        let (answers, whole_here) = collect(record, &fleet, SHORT_SHAPE, sent);
        for (_, answer, run) in &answers {
            let was_passed_on = !run.engines.is_empty();
            // The rule holds around SIGTERM only, until 1 s after the grace time.
            let is_around_stop = has_trouble && answer.took < GRACE + Duration::from_secs(1);
            let is_cut = matches!(answer.end, End::Cut(_));
            if is_around_stop && was_passed_on && run.has_ended && is_cut {
                broken += 1;
                let (attempt, last) = (&answer.attempt, answer.last_event());
                record.note(&format!(
                    "LOST broken: the connection of {attempt} ended after event {last}; its engine had made all"
                ));
            }
        }
        whole += whole_here;
        if has_trouble {
            fleet.wait_until_ready(router)?;
        }
    }
    check_whole(has_trouble, whole, ROUTERS * STREAMS, broken)
}

/// LOST: a machine closes kept connections without an answer after it has passed their requests on to sound engines. Slow
/// clients of streams fill its memory, and the platform kills a process over its limit.
fn slow_memory(record: &mut Record, has_trouble: bool) -> Result<usize, String> {
    const STREAMS: usize = 300;
    const KEPT_CLIENTS: usize = 20;
    const LIMIT_MB: u64 = 120;
    let mut fleet = Fleet::start(FleetSpec {
        routers: 1,
        engines: 8,
        shape: BATCHED_SHAPE,
        memory_mb: LIMIT_MB,
    })?;
    record.note(&format!(
        "the deployment is ready; the memory limit is {LIMIT_MB} MB"
    ));
    let address = fleet.frontend(0);
    let kept: Vec<_> = (0..KEPT_CLIENTS)
        .map(|client| {
            thread::spawn(move || client::repeat_on_kept(address, 0xf0_0000 + client * 0x1000))
        })
        .collect();
    let pace = if has_trouble { "slow" } else { "fast" };
    let mut sent = Vec::new();
    for number in 0..STREAMS {
        sent.push(send(&fleet, 0, format!("{:016x}", 0xd000 + number), pace));
        thread::sleep(Duration::from_millis(5));
    }
    record.note(&format!("{STREAMS} streams are asked for"));
    let mut most = 0;
    let mut was_killed = false;
    for _ in 0..400 {
        let memory = fleet.router_memory(0);
        most = most.max(memory);
        if memory > LIMIT_MB * 1_048_576 {
            record.note(&format!("the router holds {memory} bytes and is killed"));
            fleet.kill_router(0);
            was_killed = true;
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.note(&format!("the router held {most} bytes at most"));
    client::STOP.store(true, std::sync::atomic::Ordering::SeqCst);
    let (answers, whole) = collect(record, &fleet, BATCHED_SHAPE, sent);
    let refused = answers
        .iter()
        .filter(|(_, answer, _)| answer.status != 200)
        .count();
    record.note(&format!(
        "{whole} streams were served whole, {refused} refused"
    ));
    let runs = fleet.engine_record();
    let mut lost = 0;
    let mut served = 0;
    for client in kept {
        let kept = client.join().expect("a client does not panic");
        served += kept.answered;
        let Some(attempt) = kept.unanswered else {
            continue;
        };
        let was_passed_on = runs.contains(&format!(" ran {attempt} "));
        record.note(&format!(
            "{attempt} on a kept connection got no answer; an engine ran it: {was_passed_on}"
        ));
        lost += usize::from(was_passed_on);
    }
    record.note(&format!(
        "{served} requests on kept connections were answered, {lost} that an engine ran were not"
    ));
    const ALLOWED: usize = 3;
    Ok(if was_killed && lost > ALLOWED {
        lost
    } else {
        0
    })
}
