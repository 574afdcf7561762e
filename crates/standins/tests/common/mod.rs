//! Helpers for tests that call stand-ins over HTTP.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_protocol::chat::ChatChunk;
use sedgeridge_protocol::chat::ChatMessage;
use sedgeridge_protocol::chat::ChatRequest;
use sedgeridge_protocol::chat::STREAM_END;
use sedgeridge_protocol::engine::LoadReport;
use sedgeridge_protocol::ledger::LedgerRecord;
use sedgeridge_protocol::ledger::RunRecord;
use sedgeridge_standins::configs::engine::EngineConfig;
use sedgeridge_standins::server::RunningServer;

pub type HttpAnswer = ureq::http::Response<ureq::Body>;

/// Timeout for events that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// An agent that returns error statuses as answers and times out after [`EVENT_TIMEOUT`].
pub fn agent() -> ureq::Agent {
    agent_with_timeout(EVENT_TIMEOUT)
}

pub fn agent_with_timeout(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .build()
        .new_agent()
}

pub fn fast_engine() -> EngineConfig {
    EngineConfig {
        token_ms: 1.0,
        prefill_us_per_token: 1.0,
        ..EngineConfig::default()
    }
}

pub fn chat(content: &str, max_tokens: u32, stream: bool) -> ChatRequest {
    ChatRequest {
        model: "desk".into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content: content.into(),
        }],
        stream,
        max_tokens: Some(max_tokens),
    }
}

pub fn post(agent: &ureq::Agent, url: &str, body: &str) -> Result<HttpAnswer, ureq::Error> {
    agent.post(url).send(body)
}

pub fn ask(
    agent: &ureq::Agent,
    engine: &RunningServer,
    request: &ChatRequest,
    headers: &[(&str, &str)],
) -> Result<HttpAnswer, ureq::Error> {
    let mut call = agent.post(engine.url(CHAT_PATH));
    for (name, value) in headers {
        call = call.header(*name, *value);
    }
    call.send(serde_json::to_string(request).unwrap())
}

pub fn order(standin: &RunningServer, body: &str) {
    let answer = post(&agent(), &standin.url("/control"), body).unwrap();
    assert_eq!(answer.status(), 200, "{body}");
}

pub fn load(engine: &RunningServer) -> LoadReport {
    let mut answer = agent().get(engine.url("/load")).call().unwrap();
    serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap()
}

pub fn ledger(standin: &RunningServer) -> Vec<LedgerRecord> {
    let mut answer = agent().get(standin.url("/ledger")).call().unwrap();
    let lines = answer.body_mut().read_to_string().unwrap();
    lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

pub fn runs(standin: &RunningServer) -> Vec<RunRecord> {
    ledger(standin)
        .into_iter()
        .filter_map(|record| match record {
            LedgerRecord::Run(run) => Some(run),
            LedgerRecord::Order(_) => None,
        })
        .collect()
}

/// Waits until the condition holds; fails the test after [`EVENT_TIMEOUT`].
pub fn eventually(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "timed out waiting for: {description}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The part of a streamed answer that has been read.
#[derive(Debug, Default)]
pub struct Streamed {
    pub text: String,
    pub tokens: u64,
    pub last_chunk: Option<ChatChunk>,
    pub complete: bool,
}

/// Reads events until the end, an error, or the given number of tokens.
pub fn read_stream(answer: HttpAnswer, max_tokens_read: u64) -> Streamed {
    let mut streamed = Streamed::default();
    let reader = BufReader::new(answer.into_body().into_reader());
    for line in reader.lines() {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == STREAM_END {
            streamed.complete = true;
            break;
        }
        let chunk: ChatChunk = serde_json::from_str(data).unwrap();
        if let Some(content) = &chunk.choices[0].delta.content {
            streamed.text.push_str(content);
            streamed.tokens += 1;
        }
        streamed.last_chunk = Some(chunk);
        if streamed.tokens >= max_tokens_read {
            break;
        }
    }
    streamed
}
