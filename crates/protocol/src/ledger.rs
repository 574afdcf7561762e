//! Ledger of a stand-in endpoint: the requests and orders it received, and their results.

use serde::Deserialize;
use serde::Serialize;

/// Path that returns the ledger as JSON lines.
pub const LEDGER_PATH: &str = "/ledger";
/// Path that clears the ledger.
pub const LEDGER_RESET_PATH: &str = "/ledger/reset";

/// One line of the ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LedgerRecord {
    /// A request that was started.
    Run(RunRecord),
    /// An order that was received.
    Order(OrderRecord),
}

/// One run of a request; a request that never left the queue has none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Number of the run in this ledger; a later line with the same number replaces an earlier one.
    pub run_id: u64,
    /// Id of the caller's request.
    pub request_id: Option<String>,
    /// Id of the router's attempt.
    pub attempt_id: Option<String>,
    /// Name of the client account.
    pub account: Option<String>,
    /// Model of an engine, or path of a plain service.
    pub service: String,
    /// Endpoint that ran the request.
    pub endpoint: String,
    /// Unix time of arrival at the endpoint.
    pub arrived_at_ms: f64,
    /// Unix time of the start on a slot.
    pub started_at_ms: f64,
    /// Unix time of the end on the slot; absent while the request runs.
    pub ended_at_ms: Option<f64>,
    /// Input tokens.
    pub input_tokens: u64,
    /// Input tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Position of the first output token of this run.
    pub first_token: u64,
    /// Output tokens of this run, or tokens charged by a plain service.
    pub output_tokens: u64,
    /// Outcome of the run.
    pub outcome: RunOutcome,
    /// Key derived from the request's content.
    pub request_key: u64,
    /// Caller's key for a request that must run at most once.
    pub idempotency_key: Option<String>,
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request is still running.
    Running,
    /// The request completed.
    Finished,
    /// The connection was closed before the request completed.
    Cancelled,
    /// The endpoint crashed.
    Crashed,
}

/// One order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Name of the engine.
    pub endpoint: String,
    /// Unix time of receipt.
    pub received_at_ms: f64,
    /// The order as received.
    pub order: crate::engine::EngineOrder,
    /// Whether the engine applied it.
    pub accepted: bool,
    /// Highest fencing number that the engine had seen before this order.
    pub highest_fencing: u64,
}
