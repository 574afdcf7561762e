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
