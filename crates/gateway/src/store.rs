//! Interface to the platform's store.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::store_version::StoreVersion;
use sedgeridge_fleet::suspect::Suspect;

/// A table that routers read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// The operator's table: the configuration, and which data centres are evacuated.
    Config,
    /// The endpoints.
    Endpoints,
    /// The hosts that have registered.
    Hosts,
}

impl Table {
    /// The tables that routers follow.
    pub const FOLLOWED: [Self; 3] = [Self::Config, Self::Endpoints, Self::Hosts];

    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Endpoints => "endpoints",
            Self::Hosts => "hosts",
        }
    }
}

/// A host's entry in the host list, as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host.
    pub host: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Address on which it receives reports and requests of other hosts.
    pub peers_address: SocketAddr,
}

/// A quarantine that the store keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// The suspect that is refused.
    pub suspect: Suspect,
    /// Time for which it is still refused.
    pub left: Duration,
}

/// Calls to the store. A call without an answer may have taken effect.
pub trait Store: 'static {
    /// Reads a table or waits for its changes.
    fn read(&self, table: Table, call: &StoreCall) -> impl Future<Output = StoreAnswer>;

    /// Writes this host's entry. Returns the store's version with the entry, or `None` if the store did
    /// not acknowledge it.
    fn register(&self, entry: &HostEntry) -> impl Future<Output = Option<StoreVersion>>;

    /// Removes this host's entry. Returns whether the store acknowledged it.
    fn unregister(&self, entry: &HostEntry) -> impl Future<Output = bool>;

    /// Reads the quarantines that are not over. `None` if the store did not answer.
    fn read_quarantines(&self) -> impl Future<Output = Option<Vec<StoredQuarantine>>>;

    /// Keeps a quarantine, unless the store has it. Returns whether the store acknowledged it.
    fn keep_quarantine(&self, quarantine: &StoredQuarantine) -> impl Future<Output = bool>;

    /// Drops the quarantine of a suspect that was cleared. Returns whether the store acknowledged it.
    fn drop_quarantine(&self, suspect: Suspect) -> impl Future<Output = bool>;
}
