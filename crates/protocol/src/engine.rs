//! JSON messages of endpoints: load reports, and orders to model engines.

use serde::Deserialize;
use serde::Serialize;

/// Path of an endpoint's load report.
pub const LOAD_PATH: &str = "/load";

/// Load of an endpoint as it measured it some time ago.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted but not yet in the batch.
    pub waiting: u32,
    /// Maximum size of the batch.
    pub slots: u32,
    /// Age of the report.
    pub age_ms: u64,
    /// Whether the endpoint is leaving and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Path of the order API of an engine.
pub const ORDERS_PATH: &str = "/orders";

/// An order to an engine. Answered with HTTP status 200 when applied, and 409 when its fencing
/// number is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which the order is issued.
    pub fencing: u64,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Model, adapter or role that the order applies to.
    pub target: String,
    /// Version of the model or adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
}

/// Kind of an engine order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version of a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
    /// Change role.
    Role,
}

/// State of an engine that results from its orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing number seen.
    pub highest_fencing: u64,
    /// Loaded models and adapters with their versions.
    pub loaded: Vec<LoadedModel>,
    /// Unloaded models; requests for them are refused before they start.
    pub unloaded: Vec<String>,
    /// Role, if an order set one.
    pub role: Option<String>,
}

/// A loaded model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model or adapter.
    pub name: String,
    /// Its version, if the order named one.
    pub version: Option<String>,
}
