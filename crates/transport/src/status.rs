//! What the core publishes for operator pages.

use std::sync::Arc;
use std::sync::RwLock;

use sedgeridge_protocol::coordinator::CoordinatorStatus;

/// A router's state as last published.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct RouterStatus {
    /// The host.
    pub host: String,
    /// Which run of the host this is.
    pub incarnation: u64,
    /// Whether new requests are welcome.
    pub ready: bool,
    /// Whether the router is stopping.
    pub stopping: bool,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u64,
    /// Pools whose home this router is.
    pub homes: u64,
    /// Live members of the fleet.
    pub members: u64,
    /// Generation of the configuration in force; 0 for the files given at the start.
    pub generation: u64,
}

/// What a process tells operators of itself.
pub trait HostStatus: Clone + serde::Serialize {
    /// Tells whether the process does its work.
    fn is_ready(&self) -> bool;
}

impl HostStatus for RouterStatus {
    fn is_ready(&self) -> bool {
        self.ready
    }
}

impl HostStatus for CoordinatorStatus {
    fn is_ready(&self) -> bool {
        self.ready
    }
}

/// Shared place of the last published status.
#[derive(Debug, Clone, Default)]
pub struct StatusBoard<S = RouterStatus> {
    status: Arc<RwLock<S>>,
}

impl<S: Clone> StatusBoard<S> {
    /// Replaces the status.
    pub fn publish(&self, status: S) {
        *self.status.write().expect("no writer panics") = status;
    }

    /// Copies the status.
    pub fn read(&self) -> S {
        self.status.read().expect("no writer panics").clone()
    }
}
