//! What an endpoint really did, as its stand-in recorded it.

use serde::Deserialize;
use serde::Serialize;

/// Path that answers the ledger as JSON lines.
pub const LEDGER_PATH: &str = "/ledger";
/// Path that empties the ledger.
pub const LEDGER_RESET_PATH: &str = "/ledger/reset";

/// One line of a ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum LedgerRecord {
    /// A request that was started.
    Run(RunRecord),
    /// An order that was received.
    Order(OrderRecord),
}

/// One run of a request; a request that never left the waiting line has none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Number of the run in this ledger; a later line of the same number replaces an earlier one.
    pub run_id: u64,
    /// Caller request.
    pub request_id: Option<String>,
    /// Attempt of the router.
    pub attempt_id: Option<String>,
    /// Client account.
    pub account: Option<String>,
    /// Model of an engine, path of a plain service.
    pub service: String,
    /// The endpoint that ran it.
    pub endpoint: String,
    /// Arrival at the endpoint, in Unix time.
    pub arrived_at_ms: f64,
    /// Start on a slot, in Unix time.
    pub started_at_ms: f64,
    /// End on the slot, in Unix time; absent while it runs.
    pub ended_at_ms: Option<f64>,
    /// Input tokens.
    pub input_tokens: u64,
    /// Input tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Position of the first output token of this run.
    pub first_token: u64,
    /// Output tokens of this run; tokens charged on a plain service.
    pub output_tokens: u64,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Key of the request's content.
    pub request_key: u64,
    /// Caller's key for a request that may not be repeated.
    pub idempotency_key: Option<String>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It still runs.
    Running,
    /// It ran to its end.
    Finished,
    /// Its connection was closed before the end.
    Cancelled,
    /// The endpoint stopped abruptly.
    Crashed,
}

/// One order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The engine.
    pub endpoint: String,
    /// Receipt, in Unix time.
    pub received_at_ms: f64,
    /// The order.
    pub order: crate::engine::EngineOrder,
    /// Whether it took effect.
    pub accepted: bool,
    /// Highest fencing number seen before it.
    pub highest_fencing: u64,
}
