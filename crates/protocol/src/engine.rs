//! What an endpoint reports about itself.

use serde::Deserialize;
use serde::Serialize;

/// Path of an endpoint's load report.
pub const LOAD_PATH: &str = "/load";

/// An endpoint's view of its own load, as it was some time ago.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted but not yet in the batch.
    pub waiting: u32,
    /// Largest batch.
    pub slots: u32,
    /// Age of these figures.
    pub age_ms: u64,
    /// Whether the endpoint is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Path of orders to an engine.
pub const ORDERS_PATH: &str = "/orders";

/// An order to an engine. HTTP status 200 when obeyed, 409 when its fencing number is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which the order is given.
    pub fencing: u64,
    /// What to do.
    pub kind: OrderKind,
    /// Model, adapter or role that the order is about.
    pub target: String,
    /// Version to load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model or adapter in a version.
    Load,
    /// Unload a model or adapter.
    Unload,
    /// Change role.
    Role,
}

/// What an engine has taken from its orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Highest fencing number seen.
    pub highest_fencing: u64,
    /// Loaded models and adapters with their version.
    pub loaded: Vec<LoadedModel>,
    /// Models that were unloaded; requests for them are refused before start.
    pub unloaded: Vec<String>,
    /// Role, when one was ordered.
    pub role: Option<String>,
}

/// A loaded model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model or adapter.
    pub name: String,
    /// Its version, when the order named one.
    pub version: Option<String>,
}
