//! Calls to the platform's table service, in a few separate threads.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use metrics::counter;
use sedgeridge_coordination::store_call::CallId;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_coordination::store_call::StoreEvent;
use sedgeridge_coordination::store_call::StoreQuery;
use sedgeridge_coordination::store_call::StoreResult;
use sedgeridge_coordination::store_call::StoreRow;
use sedgeridge_protocol::table::READ_PATH;
use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_protocol::table::RowWrite;
use sedgeridge_protocol::table::TRANSACT_PATH;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use sedgeridge_protocol::table::VersionCheck;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::address_agent::address_agent;
use crate::address_agent::address_config;
use crate::endpoint_call::proves_unsent;

/// Threads for calls in most uses; each makes one call at a time.
pub const CALL_THREADS: usize = 6;
/// Calls that may wait for a thread; a call beyond them is refused.
const CALL_CHANNEL_LEN: usize = 64;

/// Longest answer that is read; equals the limit of the client library. A full configuration of the design size
/// takes 1 MB as a message. The first sweep of claims reads their whole index, whose size is not known.
const MAX_ANSWER_BYTES: u64 = 10 << 20;

/// Channel to the threads that call the table service.
#[derive(Debug)]
pub struct TableCalls {
    sender: SyncSender<StoreAction>,
}

impl TableCalls {
    /// Starts the threads. They convert the result of each call with `wrap` and send it to `inputs`.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start<I: Send + 'static>(
        client: &TableClient,
        threads: usize,
        inputs: &SyncSender<I>,
        wrap: fn(StoreEvent) -> I,
    ) -> io::Result<Self> {
        let (sender, calls) = sync_channel(CALL_CHANNEL_LEN);
        let calls = Arc::new(Mutex::new(calls));
        for index in 0..threads {
            let calls = Arc::clone(&calls);
            let client = client.clone();
            let inputs = inputs.clone();
            thread::Builder::new()
                .name(format!("table-calls-{index}"))
                .spawn(move || run_calls(&client, &calls, &inputs, wrap))?;
        }
        Ok(Self { sender })
    }

    /// Starts a call. If the channel is full, the call is not made and its result is returned.
    pub fn call(&self, action: StoreAction) -> Option<StoreEvent> {
        let call = call_id(&action);
        let refused = self.sender.try_send(action).is_err();
        refused.then(|| {
            counter!("sedgeridge_table_calls_total", "result" => "no_room").increment(1);
            StoreEvent {
                call,
                result: StoreResult::Unavailable,
            }
        })
    }
}

fn call_id(action: &StoreAction) -> CallId {
    match action {
        StoreAction::Transact { call, .. } | StoreAction::Read { call, .. } => *call,
    }
}

fn run_calls<I>(
    client: &TableClient,
    calls: &Mutex<Receiver<StoreAction>>,
    inputs: &SyncSender<I>,
    wrap: fn(StoreEvent) -> I,
) {
    loop {
        let next = calls.lock().expect("no call thread panics").recv();
        let Ok(action) = next else {
            return;
        };
        let event = StoreEvent {
            call: call_id(&action),
            result: client.run(&action),
        };
        if inputs.send(wrap(event)).is_err() {
            return;
        }
    }
}

/// Client of the table service.
#[derive(Debug, Clone)]
pub struct TableClient {
    address: Option<SocketAddr>,
    agent: Agent,
}

impl TableClient {
    /// Creates a client; without an address, the result of every call is [`StoreResult::Unavailable`].
    pub fn new(address: Option<SocketAddr>, call_timeout: Duration) -> Self {
        let agent = address_agent(
            address_config()
                .timeout_global(Some(call_timeout))
                .http_status_as_error(false)
                .build(),
        );
        Self { address, agent }
    }

    /// Makes a call and returns its result.
    ///
    /// Only a failure that proves that nothing was written counts as unavailable. Every other failure
    /// counts as unknown, since the write may have taken effect before its answer was lost.
    pub fn run(&self, action: &StoreAction) -> StoreResult {
        let result = match action {
            StoreAction::Transact { checks, writes, .. } => {
                let transact = TransactRequest {
                    checks: checks
                        .iter()
                        .map(|check| VersionCheck {
                            key: check.key.to_string(),
                            version: check.version,
                        })
                        .collect(),
                    writes: writes
                        .iter()
                        .map(|write| RowWrite {
                            key: write.key.to_string(),
                            value: write.value.as_deref().map(str::to_owned),
                        })
                        .collect(),
                };
                self.post(TRANSACT_PATH, &transact, |answer| match answer {
                    TransactAnswer::Committed { version } => StoreResult::Committed { version },
                    TransactAnswer::Conflict { rows } => StoreResult::Conflict {
                        rows: rows.into_iter().map(store_row).collect(),
                    },
                })
            }
            StoreAction::Read { query, .. } => {
                let read = match query {
                    StoreQuery::Keys(keys) => ReadRequest {
                        keys: keys.iter().map(ToString::to_string).collect(),
                        ..ReadRequest::default()
                    },
                    StoreQuery::Prefix {
                        prefix,
                        after_version,
                    } => ReadRequest {
                        prefix: Some(prefix.to_string()),
                        after_version: *after_version,
                        ..ReadRequest::default()
                    },
                };
                self.post(READ_PATH, &read, |answer: ReadAnswer| {
                    StoreResult::Rows(answer.rows.into_iter().map(store_row).collect())
                })
            }
        };
        counter!("sedgeridge_table_calls_total", "result" => result_label(&result)).increment(1);
        result
    }

    fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        call: &impl Serialize,
        read: impl Fn(A) -> StoreResult,
    ) -> StoreResult {
        let Some(address) = self.address else {
            return StoreResult::Unavailable;
        };
        let body = serde_json::to_vec(call).expect("a table call serialises to JSON");
        let sent = self
            .agent
            .post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .send(&body[..]);
        let mut response = match sent {
            Ok(response) => response,
            Err(error) if proves_unsent(&error) => return StoreResult::Unavailable,
            Err(_) => return StoreResult::Unknown,
        };
        match response.status().as_u16() {
            200 => {}
            // The service returns these for calls beyond its rate limit and in an outage, before it
            // writes anything.
            429 | 503 => return StoreResult::Unavailable,
            _ => return StoreResult::Unknown,
        }
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let body = body.read_to_vec();
        let answer = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        answer.map_or(StoreResult::Unknown, read)
    }
}

fn store_row(row: Row) -> StoreRow {
    StoreRow {
        key: row.key.into(),
        version: row.version,
        value: row.value.map(Into::into),
    }
}

fn result_label(result: &StoreResult) -> &'static str {
    match result {
        StoreResult::Committed { .. } => "committed",
        StoreResult::Conflict { .. } => "conflict",
        StoreResult::Rows(_) => "rows",
        StoreResult::Unavailable => "unavailable",
        StoreResult::Unknown => "unknown",
    }
}
