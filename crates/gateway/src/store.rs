//! The platform's store, as the product uses it.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;

/// A table that the product reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// What the operator wants: the configuration, and which data centres are evacuated.
    Config,
    /// The endpoints.
    Endpoints,
}

impl Table {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
        }
    }
}

/// A host of the fleet, as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Its name.
    pub host: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where it hears other hosts.
    pub peers_address: SocketAddr,
}

/// Calls to the store. A call that got no answer may have been done.
pub trait Store: 'static {
    /// Reads a table or waits for its changes.
    fn read(&self, table: Table, call: StoreCall) -> impl Future<Output = StoreAnswer>;

    /// Writes this host's entry. Returns whether the store acknowledged it.
    fn register(&self, entry: &HostEntry) -> impl Future<Output = bool>;

    /// Removes this host's entry. Returns whether the store acknowledged it.
    fn unregister(&self, entry: &HostEntry) -> impl Future<Output = bool>;

    /// Lists the hosts that are registered; `None` when the store gave no answer.
    fn hosts(&self) -> impl Future<Output = Option<Vec<HostEntry>>>;
}
