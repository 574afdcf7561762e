//! What a coordinator and the routers tell operators and each other over their operator pages.

use serde::Deserialize;
use serde::Serialize;

/// Path on a router that takes a [`DrainRequest`] by `POST`.
pub const DRAIN_PATH: &str = "/operator/endpoints/drain";

/// Asks a router to give an endpoint no new work for some time, and to tell the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The endpoint.
    pub endpoint: String,
}

/// One coordinator's view of itself and of the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// The host.
    pub host: String,
    /// Which run of the host this is.
    pub incarnation: u64,
    /// Whether the lease has been read and the process is not stopping.
    pub ready: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Whether this process holds the lease now.
    pub holding: bool,
    /// The lease as last read, whoever holds it; absent before the first read.
    pub lease: Option<LeaseRow>,
    /// Orders under way; empty on a process that does not hold the lease.
    pub orders: Vec<OrderRow>,
}

/// The lease as last read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Host that holds it, or held it last.
    pub holder: String,
    /// Run of that host.
    pub incarnation: u64,
    /// Its fencing number.
    pub fencing: u64,
    /// Whether it was given back.
    pub released: bool,
}

/// An order under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// The endpoint.
    pub endpoint: String,
    /// Position among the orders to the endpoint.
    pub number: u64,
    /// What it asks for.
    pub kind: String,
    /// Model, adapter, version, pool or object that it is about.
    pub subject: String,
    /// What it waits for.
    pub stage: String,
}
