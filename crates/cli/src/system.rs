//! The context outside tests: HTTP by ureq, sleep by the operating system.

use std::collections::hash_map::RandomState;
use std::env;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use sedgeridge_protocol::table::READ_PATH;
use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::TRANSACT_PATH;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Timeout;

use crate::context::Context;
use crate::context::OperatorPages;
use crate::context::PageError;
use crate::context::TableClient;
use crate::context::TableError;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a table answer; a snapshot of the largest fleet takes a few megabytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Author of a change when the environment names no user.
const UNKNOWN_AUTHOR: &str = "operator";

/// Context that uses the network and the operating system.
#[derive(Debug)]
pub struct SystemContext {
    agent: Agent,
}

impl Default for SystemContext {
    fn default() -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
        }
    }
}

impl Context for SystemContext {
    /// The standard library seeds each `RandomState` from the system's random source. That gives an
    /// id of 128 bits without a further dependency.
    fn new_change_id(&self) -> String {
        let high = RandomState::new().hash_one(0_u8);
        let low = RandomState::new().hash_one(1_u8);
        format!("{high:016x}{low:016x}")
    }

    fn pause(&self, duration: Duration) {
        thread::sleep(duration);
    }

    fn author(&self) -> String {
        env::var("USER").unwrap_or_else(|_| UNKNOWN_AUTHOR.to_owned())
    }
}

impl TableClient for SystemContext {
    fn transact(
        &self,
        table: SocketAddr,
        transact: &TransactRequest,
    ) -> Result<TransactAnswer, TableError> {
        self.call_table(table, TRANSACT_PATH, transact)
    }

    fn read(&self, table: SocketAddr, read: &ReadRequest) -> Result<ReadAnswer, TableError> {
        self.call_table(table, READ_PATH, read)
    }
}

impl OperatorPages for SystemContext {
    fn fetch(&self, router: SocketAddr, path: &str) -> Result<String, PageError> {
        let failed = |error: ureq::Error| PageError(format!("http://{router}{path}: {error}"));
        let url = format!("http://{router}{path}");
        let mut answer = self.agent.get(&url).call().map_err(failed)?;
        let status = answer.status().as_u16();
        if status != 200 {
            return Err(PageError(format!("{url}: HTTP status {status}")));
        }
        answer.body_mut().read_to_string().map_err(failed)
    }

    fn post(&self, router: SocketAddr, path: &str, body: &str) -> Result<(), PageError> {
        let url = format!("http://{router}{path}");
        let sent = self.agent.post(&url).send(body);
        let mut answer = sent.map_err(|error| PageError(format!("{url}: {error}")))?;
        let status = answer.status();
        if status.is_success() {
            return Ok(());
        }
        let response_text = answer.body_mut().read_to_string().unwrap_or_default();
        let response_text = response_text.trim_end();
        Err(PageError(format!(
            "{url}: HTTP status {}: {response_text}",
            status.as_u16()
        )))
    }
}

impl SystemContext {
    fn call_table<T: DeserializeOwned>(
        &self,
        table: SocketAddr,
        path: &str,
        call: &impl Serialize,
    ) -> Result<T, TableError> {
        let body = serde_json::to_string(call).expect("a call is plain data");
        let request = self.agent.post(format!("http://{table}{path}"));
        let request = request.header("content-type", "application/json");
        let mut answer = request.send(&body).map_err(|error| table_error(&error))?;
        let status = answer.status().as_u16();
        match status {
            200 => {}
            // The service sends these before it runs anything.
            400 | 404 | 429 | 503 => {
                return Err(TableError::Refused(format!("HTTP status {status}")));
            }
            _ => return Err(TableError::OutcomeUnknown(format!("HTTP status {status}"))),
        }
        let unknown = |error: String| TableError::OutcomeUnknown(error);
        let body = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
        let text = body.read_to_string().map_err(|e| unknown(e.to_string()))?;
        serde_json::from_str(&text).map_err(|e| unknown(e.to_string()))
    }
}

/// Converts an error. A call whose connection never opened has not reached the service; any other
/// call may have.
fn table_error(error: &ureq::Error) -> TableError {
    let refused = match error {
        ureq::Error::Timeout(Timeout::Connect) | ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    match refused {
        true => TableError::Refused(error.to_string()),
        false => TableError::OutcomeUnknown(error.to_string()),
    }
}
