//! JSON pages that a router serves to operators.
//!
//! Fields added later have defaults, so that a command line of one release reads the pages of
//! another while hosts are replaced.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Path of [`RouterStatus`].
pub const STATUS_PATH: &str = "/operator/status";
/// Path of [`EndpointsPage`].
pub const ENDPOINTS_PATH: &str = "/operator/endpoints";
/// Path of [`AccountsPage`].
pub const ACCOUNTS_PATH: &str = "/operator/accounts";

/// One router's view of itself and of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The host.
    pub host: String,
    /// Site it stands in.
    #[serde(default)]
    pub site: String,
    /// Which run of the host this is.
    pub incarnation: u64,
    /// Whether new requests are welcome.
    pub ready: bool,
    /// Whether the router is stopping.
    pub stopping: bool,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that run.
    pub running: u64,
    /// Generation of the configuration in force; 0 when it comes from files.
    #[serde(default)]
    pub config_generation: u64,
    /// Pools whose home this router is.
    #[serde(default)]
    pub homes: u64,
    /// Live members of the fleet.
    #[serde(default)]
    pub members: u64,
    /// The other routers, as this one believes them to be.
    #[serde(default)]
    pub member_list: Vec<MemberRow>,
}

/// One other router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The host.
    pub host: String,
    /// Its run.
    pub incarnation: u64,
    /// What is believed of it.
    pub state: MemberState,
}

/// What a router believes of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Live,
    /// It left a probe unanswered and has time to refute.
    Suspected,
    /// It finishes its requests and takes no new ones.
    Leaving,
    /// It is gone.
    Dead,
}

/// One router's view of the endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsPage {
    /// In the order of the settings.
    pub endpoints: Vec<EndpointRow>,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The endpoint.
    pub endpoint: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Site it stands in.
    pub site: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is believed of it.
    pub state: EndpointState,
    /// Requests it may run at once.
    pub slots: u32,
    /// Requests that run, by its last load report.
    #[serde(default)]
    pub running: u32,
    /// Requests admitted but not yet in the batch, by its last load report.
    #[serde(default)]
    pub waiting: u32,
    /// Age of that report; absent when there is none.
    #[serde(default)]
    pub report_age_ms: Option<u64>,
    /// Requests that the fleet may hold on it now.
    #[serde(default)]
    pub usable_slots: u32,
    /// Requests that the fleet holds on it.
    #[serde(default)]
    pub occupied_slots: u32,
    /// Host that is the home of its pool; empty when there is none.
    #[serde(default)]
    pub home: String,
}

/// What a router believes of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It takes work.
    Serving,
    /// It failed too often and gets no work for a time.
    Ejected,
    /// It finishes its work and takes no more.
    Leaving,
    /// Only the home of its pool knows; the router asked is not.
    HomedElsewhere,
}

/// One router's view of the client accounts that are active.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountsPage {
    /// In order of pool and name.
    pub accounts: Vec<AccountRow>,
}

/// One client account's requests for one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// The account.
    pub account: String,
    /// Share relative to other accounts.
    pub weight: u32,
    /// The pool.
    #[serde(default)]
    pub pool: String,
    /// Its requests that wait in this router.
    pub waiting: u64,
    /// Its requests that this router runs.
    pub running: u64,
    /// Service that it received through this router since that started.
    pub service_tokens: u64,
}
