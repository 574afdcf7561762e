//! Effects of each fault that can be ordered.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use sedgeridge_protocol::headers;
use sedgeridge_protocol::ledger::LedgerRecord;
use sedgeridge_protocol::ledger::RunOutcome;
use sedgeridge_standins::answer;
use sedgeridge_standins::configs::engine::EngineConfig;
use sedgeridge_standins::configs::plain::PlainConfig;
use sedgeridge_standins::configs::platform::TableConfig;
use sedgeridge_standins::engine;
use sedgeridge_standins::faults::Fault;
use sedgeridge_standins::faults::FaultOrder;
use sedgeridge_standins::faults::Faults;
use sedgeridge_standins::ledger::Ledger;
use sedgeridge_standins::plain;
use sedgeridge_standins::table;

use common::agent;
use common::agent_with_timeout;
use common::ask;
use common::chat;
use common::eventually;
use common::fast_engine;
use common::load;
use common::order;
use common::post;
use common::read_stream;
use common::runs;

const WRITE: &str = r#"{"checks":[{"key":"a","version":0}],"writes":[{"key":"a","value":"1"}]}"#;
const READ: &str = r#"{"keys":["a"]}"#;

fn short_agent() -> ureq::Agent {
    agent_with_timeout(Duration::from_millis(400))
}

#[test]
fn a_lost_answer_leaves_the_write_in_effect() {
    // The connection closes without an answer after the table has made the write. A blind retry
    // therefore meets a conflict, and a read shows the caller's own value.
    let table = table::spawn(TableConfig::default()).unwrap();
    order(&table, r#"{"fault":"drop_answer","count":1}"#);
    assert!(post(&agent(), &table.url("/v1/transact"), WRITE).is_err());
    let mut read = post(&agent(), &table.url("/v1/read"), READ).unwrap();
    let rows = read.body_mut().read_to_string().unwrap();
    assert!(rows.contains(r#""version":1"#), "{rows}");
    let mut again = post(&agent(), &table.url("/v1/transact"), WRITE).unwrap();
    let answer = again.body_mut().read_to_string().unwrap();
    assert!(answer.contains("conflict"), "{answer}");
}

#[test]
fn an_outage_refuses_until_it_is_cleared() {
    let table = table::spawn(TableConfig::default()).unwrap();
    order(&table, r#"{"fault":"outage"}"#);
    let refused = post(&agent(), &table.url("/v1/read"), READ).unwrap();
    assert_eq!(refused.status(), 503);
    assert!(!refused.headers().contains_key(headers::NOT_STARTED));
    order(&table, r#"{"fault":"clear"}"#);
    let answered = post(&agent(), &table.url("/v1/read"), READ).unwrap();
    assert_eq!(answered.status(), 200);
}

#[test]
fn a_close_order_does_no_work() {
    let booking = plain::spawn(PlainConfig::default()).unwrap();
    order(&booking, r#"{"fault":"close","count":1}"#);
    assert!(post(&agent(), &booking.url("/holds"), "x").is_err());
    assert!(runs(&booking).is_empty());
}

#[yare::parameterized(
    delayed_work_has_not_run = { "delay", 0 },
    late_answers_have_run = { "late", 1 },
)]
fn a_slow_answer(fault: &str, expected_runs: usize) {
    // The caller times out before the answer. With `delay` the work has not begun by then; with
    // `late` it is done and only the answer is held back.
    let config = PlainConfig {
        service_ms: 0.0,
        ..PlainConfig::default()
    };
    let booking = plain::spawn(config).unwrap();
    let slow = format!(r#"{{"fault":"{fault}","delay_ms":60000,"path":"/holds"}}"#);
    order(&booking, &slow);
    assert!(post(&short_agent(), &booking.url("/holds"), "x").is_err());
    assert_eq!(runs(&booking).len(), expected_runs);
    let other = post(&agent(), &booking.url("/other"), "x").unwrap();
    assert_eq!(other.status(), 200);
}

#[test]
fn silence_holds_the_open_connections_only() {
    // A pooled connection stays open but carries no more bytes, so only a timeout reveals the
    // fault. A new connection works at once.
    let table = table::spawn(TableConfig::default()).unwrap();
    let pooled = agent();
    let mut first = post(&pooled, &table.url("/v1/read"), READ).unwrap();
    first.body_mut().read_to_string().unwrap();
    order(&table, r#"{"fault":"silence"}"#);
    let limited = pooled
        .post(table.url("/v1/read"))
        .config()
        .timeout_global(Some(Duration::from_millis(400)))
        .build()
        .send(READ);
    assert!(limited.is_err());
    let fresh = post(&agent(), &table.url("/v1/read"), READ).unwrap();
    assert_eq!(fresh.status(), 200);
}

#[test]
fn a_cut_closes_a_stream_midway() {
    let engine = engine::spawn(fast_engine()).unwrap();
    let endless = chat("long", 100_000, true);
    let answer = ask(&agent(), &engine, &endless, &[]).unwrap();
    order(&engine, r#"{"fault":"cut"}"#);
    assert!(!read_stream(answer, u64::MAX).complete);
    eventually("the run is withdrawn", || load(&engine).running == 0);
}

#[test]
fn a_stream_breaks_off_after_the_ordered_number_of_tokens() {
    let engine = engine::spawn(fast_engine()).unwrap();
    order(
        &engine,
        r#"{"fault":"drop_answer","after_events":5,"count":1}"#,
    );
    let request = chat("break me", 100, true);
    let broken = read_stream(ask(&agent(), &engine, &request, &[]).unwrap(), u64::MAX);
    assert!(!broken.complete);
    assert!(broken.tokens <= 5, "{}", broken.tokens);
    assert!(answer::answer_text(&request).starts_with(&broken.text));
    let whole = read_stream(ask(&agent(), &engine, &request, &[]).unwrap(), u64::MAX);
    assert_eq!(whole.text, answer::answer_text(&request));
}

#[test]
fn a_stale_read_does_not_show_a_new_write() {
    let table = table::spawn(TableConfig::default()).unwrap();
    post(&agent(), &table.url("/v1/transact"), WRITE).unwrap();
    let rows = || {
        let mut read = post(&agent(), &table.url("/v1/read"), READ).unwrap();
        read.body_mut().read_to_string().unwrap()
    };
    order(
        &table,
        r#"{"fault":"stale_reads","delay_ms":50000,"count":1}"#,
    );
    assert_eq!(rows(), r#"{"rows":[]}"#);
    assert!(rows().contains(r#""version":1"#));
}

#[test]
fn load_reports_can_lag_freeze_and_tell_that_the_engine_leaves() {
    let engine = engine::spawn(fast_engine()).unwrap();
    assert!(!load(&engine).leaving);
    order(
        &engine,
        r#"[{"fault":"leaving"},{"fault":"lag_load","delay_ms":60000}]"#,
    );
    let endless = chat("long", 100_000, true);
    let running = ask(&agent(), &engine, &endless, &[]).unwrap();
    let lagging = load(&engine);
    assert!(lagging.leaving);
    assert_eq!(lagging.running, 0);
    order(&engine, r#"[{"fault":"clear"},{"fault":"freeze_load"}]"#);
    assert_eq!(load(&engine).running, 1);
    drop(running);
    eventually("the run has ended", || {
        runs(&engine)
            .iter()
            .all(|run| run.outcome == RunOutcome::Cancelled)
    });
    assert_eq!(load(&engine).running, 1);
    order(&engine, r#"{"fault":"clear"}"#);
    assert_eq!(load(&engine).running, 0);
}

#[test]
fn fencing_can_be_ignored_and_honoured_on_order() {
    let engine = engine::spawn(fast_engine()).unwrap();
    let send_order = |fencing: u64| {
        let body = format!(r#"{{"fencing":{fencing},"kind":"role","target":"prefill"}}"#);
        post(&agent(), &engine.url("/orders"), &body)
            .unwrap()
            .status()
            .as_u16()
    };
    assert_eq!([send_order(2), send_order(1)], [200, 409]);
    order(&engine, r#"{"fault":"ignore_fencing"}"#);
    assert_eq!(send_order(1), 200);
    order(&engine, r#"{"fault":"honour_fencing"}"#);
    assert_eq!(send_order(1), 409);
}

#[yare::parameterized(
    no_json = { "x" },
    unknown_fault = { r#"{"fault":"melt"}"# },
    unknown_field = { r#"{"fault":"outage","weight":1}"# },
    no_delay = { r#"{"fault":"delay"}"# },
    no_poison = { r#"{"fault":"crash"}"# },
    bad_probability = { r#"{"fault":"outage","probability":1.5}"# },
    one_bad_of_two = { r#"[{"fault":"outage"},{"fault":"late"}]"# },
)]
fn bad_orders_are_refused_whole(body: &str) {
    let table = table::spawn(TableConfig::default()).unwrap();
    let refused = post(&agent(), &table.url("/control"), body).unwrap();
    assert_eq!(refused.status(), 400);
    let mut listed = agent().get(table.url("/control")).call().unwrap();
    assert_eq!(listed.body_mut().read_to_string().unwrap(), "[]");
}

#[test]
fn count_probability_and_duration_limit_an_order() {
    let second = Duration::from_secs(1);
    let hits = |order: FaultOrder, now: Duration| {
        let mut faults = Faults::default();
        faults.add(Duration::ZERO, order);
        (0..1000)
            .filter(|_| faults.plan(now, "/x", b"").outage)
            .count()
    };
    let outage = FaultOrder::new(Fault::Outage);
    let counted = FaultOrder {
        count: Some(3),
        ..outage.clone()
    };
    assert_eq!(hits(counted, second), 3);
    let drawn = FaultOrder {
        probability: Some(0.3),
        seed: 7,
        ..outage.clone()
    };
    let share = hits(drawn.clone(), second);
    assert!((250..350).contains(&share), "{share}");
    assert_eq!(hits(drawn, second), share);
    let limited = FaultOrder {
        duration_ms: Some(500),
        ..outage
    };
    assert_eq!(hits(limited.clone(), second), 0);
    assert_eq!(hits(limited, second / 4), 1000);
}

#[test]
fn polls_for_load_do_not_use_up_a_count() {
    let mut faults = Faults::default();
    let dropped = FaultOrder {
        count: Some(1),
        ..FaultOrder::new(Fault::DropAnswer)
    };
    faults.add(Duration::ZERO, dropped);
    let drops = |faults: &mut Faults, path| {
        let plan = faults.plan(Duration::ZERO, path, b"");
        plan.drop_after_events.is_some()
    };
    assert!(!drops(&mut faults, "/load"));
    assert!(drops(&mut faults, "/v1/transact"));
    assert!(!drops(&mut faults, "/v1/transact"));
}

/// A file in the temporary directory of the build, removed when dropped.
struct ScratchFile(PathBuf);

impl ScratchFile {
    fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        // An interrupted test run may have left the file.
        let _ = std::fs::remove_file(&path);
        Self(path)
    }
}

impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn a_poison_request_ends_the_process_and_the_ledger_tells() {
    // One request contains the poison text and the process exits with code 70. Its caller and that
    // of another request in progress lose their connections. The ledger file must list both runs as
    // crashed; otherwise a check takes them for requests that never ran.
    let file = ScratchFile::new("poison.jsonl");
    let mut process = Command::new(env!("CARGO_BIN_EXE_sedgeridge-standins"))
        .args(["engine", "--token-ms", "1", "--ledger-file"])
        .arg(&file.0)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut output = BufReader::new(process.stdout.take().unwrap());
    output.read_line(&mut line).unwrap();
    let address = line.trim().rsplit(' ').next().unwrap();
    let url = |path: &str| format!("http://{address}{path}");
    let chat_url = url("/v1/chat/completions");
    let agent = agent();
    let poison = r#"{"fault":"crash","poison":"hemlock"}"#;
    assert_eq!(
        post(&agent, &url("/control"), poison).unwrap().status(),
        200
    );
    let body = |text| serde_json::to_string(&chat(text, 100_000, true)).unwrap();
    let other = post(&agent, &chat_url, &body("harmless")).unwrap();
    let other = BufReader::new(other.into_body().into_reader());
    let mut other = other.lines();
    assert!(other.next().unwrap().is_ok());
    assert!(post(&agent, &chat_url, &body("some hemlock here")).is_err());
    assert_eq!(process.wait().unwrap().code(), Some(70));
    assert!(other.any(|line| line.is_err()));
    let ledger = Ledger::open(Some(&file.0)).unwrap();
    let crashed = ledger.to_json_lines().matches("crashed").count();
    assert_eq!((ledger.records().len(), crashed), (2, 2));
    let LedgerRecord::Run(harmless) = &ledger.records()[0] else {
        panic!("{:?}", ledger.records()[0]);
    };
    assert!(harmless.output_tokens > 0);
}

#[test]
fn an_engine_that_ends_without_a_word_leaves_its_runs_as_crashed() {
    let file = ScratchFile::new("killed.jsonl");
    let mut config = EngineConfig::default();
    config.endpoint.ledger_file = Some(file.0.clone());
    let engine = engine::spawn(config.clone()).unwrap();
    let running = ask(&agent(), &engine, &chat("x", 1000, true), &[]).unwrap();
    drop(engine);
    drop(running);
    let engine = engine::spawn(config).unwrap();
    let runs = runs(&engine);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].outcome, RunOutcome::Crashed);
}
