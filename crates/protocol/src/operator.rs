//! JSON messages of a router's operator API.
//!
//! Fields added later have defaults, because during an upgrade the command-line tool of one
//! release reads the answers of routers of another.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Path of [`RouterStatus`].
pub const STATUS_PATH: &str = "/operator/status";
/// Path of [`EndpointsPage`].
pub const ENDPOINTS_PATH: &str = "/operator/endpoints";
/// Path of [`AccountsPage`].
pub const ACCOUNTS_PATH: &str = "/operator/accounts";

/// Status of one router and its view of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Name of the host.
    pub host: String,
    /// Site of the host.
    #[serde(default)]
    pub site: String,
    /// Incarnation of the host: it grows with each restart.
    pub incarnation: u64,
    /// Whether the router accepts new requests.
    pub ready: bool,
    /// Whether the router is stopping.
    pub stopping: bool,
    /// Requests waiting in this router.
    pub waiting: u64,
    /// Requests run by this router.
    pub running: u64,
    /// Generation of the active configuration; 0 if it comes from files.
    #[serde(default)]
    pub config_generation: u64,
    /// Number of pools whose home is this router.
    #[serde(default)]
    pub homes: u64,
    /// Number of live members of the fleet.
    #[serde(default)]
    pub members: u64,
    /// The other routers and their states as seen by this one.
    #[serde(default)]
    pub member_list: Vec<MemberRow>,
}

/// One other router as seen by the router asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Membership state.
    pub state: MemberState,
}

/// Membership state of a router as seen by another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers probes.
    Live,
    /// It did not answer a probe, and has time to refute the suspicion.
    Suspected,
    /// It finishes its requests and accepts no new ones.
    Leaving,
    /// It is considered dead.
    Dead,
}

/// One router's view of the endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsPage {
    /// Endpoints in the order of the settings.
    pub endpoints: Vec<EndpointRow>,
}

/// One endpoint as seen by the router asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Site of the endpoint.
    pub site: String,
    /// Address it listens on.
    pub address: SocketAddr,
    /// State as seen by the router asked.
    pub state: EndpointState,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Running requests, according to its last load report.
    #[serde(default)]
    pub running: u32,
    /// Requests admitted but not yet in the batch, according to its last load report.
    #[serde(default)]
    pub waiting: u32,
    /// Age of that report; absent if there is none.
    #[serde(default)]
    pub report_age_ms: Option<u64>,
    /// Number of slots that the fleet may use now.
    #[serde(default)]
    pub usable_slots: u32,
    /// Number of slots that the fleet uses.
    #[serde(default)]
    pub occupied_slots: u32,
    /// Host that is the home of its pool; empty if there is none.
    #[serde(default)]
    pub home: String,
}

/// State of an endpoint as seen by a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It accepts work.
    Serving,
    /// It failed too often and temporarily gets no work.
    Ejected,
    /// It finishes its work and accepts no more.
    Leaving,
    /// Unknown here: only the home of its pool knows, and that is another router.
    HomedElsewhere,
}

/// One router's view of the active client accounts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountsPage {
    /// Accounts in order of pool and name.
    pub accounts: Vec<AccountRow>,
}

/// One client account's requests for one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Name of the client account.
    pub account: String,
    /// Weight of the account's share relative to other accounts.
    pub weight: u32,
    /// Name of the pool.
    #[serde(default)]
    pub pool: String,
    /// Its requests waiting in this router.
    pub waiting: u64,
    /// Its requests run by this router.
    pub running: u64,
    /// Service that it has received through this router since the router started.
    pub service_tokens: u64,
}
