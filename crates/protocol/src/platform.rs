//! Calls of the platform's object store, host list and weight store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Path of the object store: PUT, GET and DELETE on `/v1/objects/KEY`, GET on the path itself
/// lists keys, with the query `prefix=` only those that start with it.
pub const OBJECTS_PATH: &str = "/v1/objects";
/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";
/// Path of the weight store; GET on `/v1/weights/NAME`.
pub const WEIGHTS_PATH: &str = "/v1/weights";

/// Keys in the object store, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The keys.
    pub keys: Vec<String>,
}

/// The host list as it was some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// Age of the list.
    pub age_ms: u64,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its site.
    pub site: String,
    /// Whether it stays.
    pub state: HostState,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It takes work.
    Live,
    /// It is about to go.
    Leaving,
}
