//! Makes a single call to a router and records the result as the caller saw it.

use std::io::BufReader;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sedgeridge_protocol::headers;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::answer_reader::classify_chat;
use crate::answer_reader::classify_plain;
use crate::answer_reader::classify_stream;
use crate::answer_reader::read_stream;
use crate::history::CallRecord;
use crate::history::Ending;
use crate::history::Outcome;
use crate::plan::AccountPlan;
use crate::plan::PoolKind;
use crate::plan::RouterPlan;
use crate::work::Work;

/// Deadline that callers send with each request.
const REQUEST_DEADLINE_MS: u64 = 20_000;
/// Timeout of a whole call. It is longer than the deadline, so that the fleet has time to report
/// how the request ended.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of keep-alive connections to each router.
const MAX_IDLE_CONNECTIONS_PER_ROUTER: usize = 256;

/// One call to make.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The account that calls.
    pub account: &'a AccountPlan,
    /// The service called.
    pub service: &'a str,
    /// The router called.
    pub router: &'a RouterPlan,
    /// The work asked for.
    pub work: &'a Work,
    /// Request id of this call.
    pub request_id: &'a str,
    /// Whether it repeats finished work on purpose.
    pub repeat: bool,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallResult {
    /// The caller's record.
    pub record: CallRecord,
    /// Wait that the fleet asks for before a retry.
    pub retry_after: Option<Duration>,
}

/// Microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

/// Creates the HTTP client that all callers share.
pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(CALL_TIMEOUT))
        .max_idle_connections(MAX_IDLE_CONNECTIONS_PER_ROUTER * 16)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_ROUTER)
        .build();
    Agent::new_with_config(config)
}

/// Makes one call and waits for its end.
pub fn call(agent: &Agent, call: Call<'_>) -> CallResult {
    let mut result = CallResult {
        record: blank_record(call),
        retry_after: None,
    };
    match send(agent, call) {
        Ok(response) => take_response(&mut result, response, call),
        Err(error) => result.record.reason = Some(error.to_string()),
    }
    result.record.ended_at_us = now_us();
    result
}

fn blank_record(call: Call<'_>) -> CallRecord {
    CallRecord {
        request_id: call.request_id.to_owned(),
        work: call.work.number,
        account: call.account.name.clone(),
        service: call.service.to_owned(),
        router: call.router.name.clone(),
        idempotency_key: call.work.idempotency_key.clone(),
        repeat: call.repeat,
        sent_at_us: now_us(),
        first_token_at_us: None,
        ended_at_us: 0,
        status: None,
        outcome: None,
        reason: None,
        ending: Ending::Broken,
    }
}

fn send(agent: &Agent, call: Call<'_>) -> Result<Response<Body>, ureq::Error> {
    let url = format!("http://{}{}", call.router.caller_address, call.work.path);
    let mut request = agent
        .post(url)
        .header("Authorization", format!("Bearer {}", call.account.key))
        .header("Content-Type", "application/json")
        .header(headers::REQUEST_ID, call.request_id)
        .header(headers::DEADLINE_MS, REQUEST_DEADLINE_MS);
    if let Some(key) = &call.work.idempotency_key {
        request = request.header(headers::IDEMPOTENCY_KEY, key);
    }
    request.send(call.work.body.as_str())
}

fn take_response(result: &mut CallResult, response: Response<Body>, call: Call<'_>) {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    let record = &mut result.record;
    record.status = Some(response.status().as_u16());
    record.outcome = header(headers::OUTCOME).and_then(Outcome::from_header);
    record.reason = header(headers::REASON).map(str::to_owned);
    let retry_after_s: Option<f64> = header("Retry-After").and_then(|v| v.parse().ok());
    result.retry_after = retry_after_s.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let other_id = header(headers::REQUEST_ID).is_some_and(|id| id != call.request_id);
    let refused = !response.status().is_success();
    let body = BufReader::new(response.into_body().into_reader());
    record.ending = match (call.work.kind, call.work.stream) {
        _ if other_id => Ending::Foreign,
        _ if refused => Ending::Refused,
        (PoolKind::Plain, _) => classify_plain(body, &call.work.answer),
        (PoolKind::Model, false) => classify_chat(body, &call.work.answer),
        (PoolKind::Model, true) => {
            let first_us = &mut record.first_token_at_us;
            let read = read_stream(body, || {
                first_us.get_or_insert_with(now_us);
            });
            classify_stream(&read, &call.work.answer)
        }
    };
}
