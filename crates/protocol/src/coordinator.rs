//! JSON messages of the operator API of coordinators, and of the drain call of routers.

use serde::Deserialize;
use serde::Serialize;

/// Path on a router that accepts a [`DrainRequest`] by `POST`.
pub const DRAIN_PATH: &str = "/operator/endpoints/drain";

/// Asks a router to send an endpoint no new work for some time, and to tell the other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Name of the endpoint.
    pub endpoint: String,
}

/// Status of one coordinator process and of the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host: it grows with each restart.
    pub incarnation: u64,
    /// Whether the lease has been read and the process is not stopping.
    pub ready: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Whether this process holds the lease.
    pub holding: bool,
    /// The lease as last read, whoever holds it; absent before the first read.
    pub lease: Option<LeaseRow>,
    /// Orders in progress; empty on a process that does not hold the lease.
    pub orders: Vec<OrderRow>,
}

/// The lease as last read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Host that holds the lease, or held it last.
    pub holder: String,
    /// Incarnation of that host.
    pub incarnation: u64,
    /// Fencing number of the lease.
    pub fencing: u64,
    /// Whether the holder released it.
    pub released: bool,
}

/// An order in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Endpoint that the order is for.
    pub endpoint: String,
    /// Sequence number among the orders for the endpoint.
    pub number: u64,
    /// Kind of the order.
    pub kind: String,
    /// Model, adapter, version, pool or object that it applies to.
    pub subject: String,
    /// Current stage: what the order waits for.
    pub stage: String,
}
