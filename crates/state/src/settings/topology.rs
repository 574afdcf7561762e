//! Typed settings of the named sections: sites, hosts, pools, services, endpoints and accounts.

use std::net::SocketAddr;

use crate::ids::AccountId;
use crate::ids::EndpointId;
use crate::ids::HostId;
use crate::ids::PoolId;
use crate::ids::ServiceId;
use crate::ids::SiteId;

/// Section `[site.NAME]`: a data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteSettings {
    /// Name of the site.
    pub id: SiteId,
    /// Region of the site.
    pub region: String,
}

/// Section `[host.NAME]`: a host that runs one router.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub id: HostId,
    /// Site of the host.
    pub site: SiteId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// Address for operators and metric collectors.
    pub operator_address: SocketAddr,
    /// Address for operators of the coordinator; a host without it runs no coordinator.
    pub coordinator_address: Option<SocketAddr>,
}

/// Section `[pool.NAME]`: endpoints that share the same work.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Name of the pool.
    pub id: PoolId,
    /// Protocol of its endpoints.
    pub kind: PoolKind,
    /// Minimum number of endpoints that orders must leave serving.
    pub floor: u32,
}

/// Protocol of the endpoints of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PoolKind {
    /// The chat completions API of model engines.
    #[default]
    Model,
    /// Plain HTTP.
    Plain,
}

/// Priority of a service within one client account: interactive requests go before deferred ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// A person is waiting for the answer.
    #[default]
    Interactive,
    /// The request may wait.
    Deferred,
}

/// Section `[service.NAME]`: a service that callers request.
///
/// Callers name a model service in the request's `model` field, and a plain service by the path
/// `/services/NAME/...`.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Name of the service.
    pub id: ServiceId,
    /// Pool that runs it.
    pub pool: PoolId,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Priority within one client account.
    pub class: RequestClass,
}

/// Section `[endpoint.NAME]`: one model engine or plain service process.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSettings {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Site of the endpoint.
    pub site: SiteId,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// Section `[account.NAME]`: a client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountSettings {
    /// Name of the account.
    pub id: AccountId,
    /// Weight of the account's share relative to other accounts.
    pub weight: u32,
    /// SHA-256 of the account's key, in lower-case hexadecimal.
    pub key_sha256: String,
    /// Maximum number of requests in progress across the fleet; 0 means no limit.
    pub max_in_progress: u32,
    /// Maximum number of requests started per second across the fleet; 0 means no limit.
    pub max_requests_per_s: u32,
}
