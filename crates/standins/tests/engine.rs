//! The engine, called over HTTP.

mod common;

use std::thread;

use sedgeridge_protocol::chat::ChatAnswer;
use sedgeridge_protocol::headers;
use sedgeridge_protocol::ledger::LedgerRecord;
use sedgeridge_protocol::ledger::RunOutcome;
use sedgeridge_standins::answer;
use sedgeridge_standins::configs::engine::EngineConfig;
use sedgeridge_standins::engine;

use common::agent;
use common::ask;
use common::chat;
use common::eventually;
use common::fast_engine;
use common::ledger;
use common::load;
use common::post;
use common::read_stream;
use common::runs;

#[test]
fn a_streamed_answer_is_whole_and_right() {
    let engine = engine::spawn(fast_engine()).unwrap();
    let request = chat("which lens fits", 40, true);
    let answer = ask(&agent(), &engine, &request, &[(headers::ATTEMPT_ID, "a-1")]).unwrap();
    assert_eq!(answer.headers()[headers::ATTEMPT_ID], "a-1");
    assert_eq!(answer.headers()[headers::FIRST_TOKEN], "0");
    let streamed = read_stream(answer, u64::MAX);
    assert!(streamed.complete);
    assert_eq!(streamed.text, answer::answer_text(&request));
    assert_eq!(streamed.tokens, answer::output_tokens(&request));
    let last = streamed.last_chunk.unwrap();
    assert_eq!(last.id, "a-1");
    assert_eq!(last.usage.unwrap().completion_tokens, streamed.tokens);
}

#[test]
fn a_whole_answer_is_right_and_a_repeat_hits_the_prefix_cache() {
    let engine = engine::spawn(fast_engine()).unwrap();
    let request = chat("which lens fits", 20, false);
    let agent = agent();
    for cached_tokens in [0, 3] {
        let mut answer = ask(&agent, &engine, &request, &[]).unwrap();
        let body = answer.body_mut().read_to_string().unwrap();
        let answer: ChatAnswer = serde_json::from_str(&body).unwrap();
        let text = answer::answer_text(&request);
        assert_eq!(answer.choices[0].message.content, text);
        assert_eq!(answer.usage.prompt_tokens, 3);
        assert_eq!(answer.usage.cached_tokens, cached_tokens);
    }
}

#[test]
fn a_resumed_stream_carries_only_the_rest() {
    let engine = engine::spawn(fast_engine()).unwrap();
    let request = chat("resume me", 40, true);
    let agent = agent();
    let head = read_stream(ask(&agent, &engine, &request, &[]).unwrap(), 4);
    let resume = [(headers::RESUME_AFTER_TOKENS, "4")];
    let answer = ask(&agent, &engine, &request, &resume).unwrap();
    assert_eq!(answer.headers()[headers::FIRST_TOKEN], "4");
    let tail = read_stream(answer, u64::MAX);
    assert!(tail.complete);
    assert_eq!(head.text + &tail.text, answer::answer_text(&request));
}

#[test]
fn a_closed_connection_cancels_running_and_waiting_requests() {
    // The caller closes two connections: one whose stream has begun and one whose request is still
    // queued. The engine must cancel the first run and never start the second; otherwise a run
    // without a reader occupies a slot.
    let config = EngineConfig {
        token_ms: 5.0,
        ..fast_engine()
    };
    let engine = engine::spawn(with_slots(config, 1)).unwrap();
    let endless = chat("long", 100_000, true);
    let agent = agent();
    let first = ask(&agent, &engine, &endless, &[(headers::REQUEST_ID, "run")]).unwrap();
    let second = ask(&agent, &engine, &endless, &[(headers::REQUEST_ID, "wait")]).unwrap();
    eventually("one runs, one waits", || {
        let report = load(&engine);
        (report.running, report.waiting) == (1, 1)
    });
    drop(second);
    eventually("none waits", || load(&engine).waiting == 0);
    read_stream(first, 2);
    eventually("none runs", || load(&engine).running == 0);
    let runs = runs(&engine);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].request_id.as_deref(), Some("run"));
    assert_eq!(runs[0].outcome, RunOutcome::Cancelled);
    assert!(runs[0].output_tokens >= 2);
}

#[test]
fn the_ledger_tells_each_run_and_can_be_reset() {
    let engine = engine::spawn(fast_engine()).unwrap();
    let request = chat("record me", 20, true);
    let agent = agent();
    let sent = [
        (headers::REQUEST_ID, "r-1"),
        (headers::ATTEMPT_ID, "a-1"),
        (headers::ACCOUNT, "crew-07"),
        (headers::IDEMPOTENCY_KEY, "k-1"),
    ];
    let answer = ask(&agent, &engine, &request, &sent).unwrap();
    assert!(read_stream(answer, u64::MAX).complete);
    let run = &runs(&engine)[0];
    assert_eq!(run.request_id.as_deref(), Some("r-1"));
    assert_eq!(run.attempt_id.as_deref(), Some("a-1"));
    assert_eq!(run.account.as_deref(), Some("crew-07"));
    assert_eq!(run.idempotency_key.as_deref(), Some("k-1"));
    assert_eq!(run.service, "desk");
    assert_eq!(run.outcome, RunOutcome::Finished);
    assert_eq!(run.request_key, answer::request_key(&request));
    assert_eq!(run.output_tokens, answer::output_tokens(&request));
    assert!(run.ended_at_ms.unwrap() >= run.started_at_ms);
    post(&agent, &engine.url("/ledger/reset"), "").unwrap();
    assert!(ledger(&engine).is_empty());
}

#[test]
fn many_callers_at_once_each_get_their_own_answer() {
    let engine = engine::spawn(with_slots(fast_engine(), 16)).unwrap();
    thread::scope(|scope| {
        for caller in 0..200 {
            let engine = &engine;
            scope.spawn(move || {
                let request = chat(&format!("caller {caller}"), 30, true);
                let answer = ask(&agent(), engine, &request, &[]).unwrap();
                let streamed = read_stream(answer, u64::MAX);
                assert!(streamed.complete);
                assert_eq!(streamed.text, answer::answer_text(&request));
            });
        }
    });
    assert_eq!(runs(&engine).len(), 200);
}

#[test]
fn refusals_before_the_start_say_so_and_leave_no_run() {
    let config = EngineConfig {
        max_waiting: 0,
        ..fast_engine()
    };
    let engine = engine::spawn(with_slots(config, 1)).unwrap();
    let agent = agent();
    let running = ask(&agent, &engine, &chat("endless", 100_000, true), &[]).unwrap();
    let answer = ask(&agent, &engine, &chat("hello", 10, true), &[]).unwrap();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()[headers::NOT_STARTED], "1");
    assert_eq!(runs(&engine).len(), 1);
    drop(running);
}

#[yare::parameterized(
    no_json = { "{" },
    no_messages = { r#"{"model":"desk"}"# },
    wrong_type = { r#"{"model":"desk","messages":[],"max_tokens":"x"}"# },
)]
fn malformed_requests_are_refused(body: &str) {
    let engine = engine::spawn(fast_engine()).unwrap();
    let url = engine.url("/v1/chat/completions");
    assert_eq!(post(&agent(), &url, body).unwrap().status(), 400);
}

#[yare::parameterized(
    honoured = { true, [200, 200, 409, 200] },
    ignored = { false, [200, 200, 200, 200] },
)]
fn orders_with_an_old_fencing_number(checks_fencing: bool, expected: [u16; 4]) {
    let config = EngineConfig {
        checks_fencing,
        ..fast_engine()
    };
    let engine = engine::spawn(config).unwrap();
    let agent = agent();
    for (fencing, status) in [3, 5, 4, 5].into_iter().zip(expected) {
        let order = format!(r#"{{"fencing":{fencing},"kind":"load","target":"desk"}}"#);
        let answer = post(&agent, &engine.url("/orders"), &order).unwrap();
        assert_eq!(answer.status(), status, "{fencing}");
    }
    let orders = ledger(&engine);
    assert_eq!(orders.len(), 4);
    let LedgerRecord::Order(order) = &orders[2] else {
        panic!("{:?}", orders[2]);
    };
    assert_eq!(order.accepted, !checks_fencing);
    assert_eq!(order.highest_fencing, 5);
}

#[test]
fn an_unloaded_model_is_refused_before_the_start() {
    let engine = engine::spawn(fast_engine()).unwrap();
    let agent = agent();
    let request = chat("hello", 10, true);
    for (kind, status) in [("unload", 503), ("load", 200)] {
        let order = format!(r#"{{"fencing":1,"kind":"{kind}","target":"desk"}}"#);
        post(&agent, &engine.url("/orders"), &order).unwrap();
        let answer = ask(&agent, &engine, &request, &[]).unwrap();
        assert_eq!(answer.status(), status, "{kind}");
    }
}

fn with_slots(mut config: EngineConfig, slots: u32) -> EngineConfig {
    config.endpoint.slots = slots;
    config
}
