//! Paths and JSON messages of the platform's object store, host list and weight store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Path of the object store: PUT, GET and DELETE on `/v1/objects/KEY`. GET on the path itself lists
/// keys; the query `prefix=` limits the list to keys with that prefix.
pub const OBJECTS_PATH: &str = "/v1/objects";
/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";
/// Path of the weight store: GET on `/v1/weights/NAME`.
pub const WEIGHTS_PATH: &str = "/v1/weights";

/// Sorted list of keys in the object store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    pub keys: Vec<String>,
}

/// The host list as of `age_ms` ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    pub hosts: Vec<Host>,
    /// Age of the list.
    pub age_ms: u64,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Site of the host.
    pub site: String,
    /// Whether the host stays or is leaving.
    pub state: HostState,
}

/// State of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It accepts work.
    Live,
    /// It is about to be removed.
    Leaving,
}
