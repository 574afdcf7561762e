//! Sections with a name: sites, hosts, pools, services, endpoints and accounts.

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
    /// Region the site lies in.
    pub region: String,
}

/// Section `[host.NAME]`: a host that runs one router.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub id: HostId,
    /// Site it stands in.
    pub site: SiteId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    /// Where operators and metric collectors connect.
    pub operator_address: SocketAddr,
    /// Where operators of its coordinator connect; a host without it runs none.
    pub coordinator_address: Option<SocketAddr>,
}

/// Section `[pool.NAME]`: endpoints that share the same work.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Name of the pool.
    pub id: PoolId,
    /// What its endpoints speak.
    pub kind: PoolKind,
    /// Fewest endpoints that orders must leave serving.
    pub floor: u32,
}

/// What the endpoints of a pool speak.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines: the chat-completions form.
    #[default]
    Model,
    /// Plain HTTP services.
    Plain,
}

/// Rank of a service within one client account: interactive work goes before deferred work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// Somebody waits for it.
    #[default]
    Interactive,
    /// It may wait.
    Deferred,
}

/// Section `[service.NAME]`: what callers address.
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
    /// Rank within one client account.
    pub class: RequestClass,
}

/// Section `[endpoint.NAME]`: one model engine or plain service process.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSettings {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Site it stands in.
    pub site: SiteId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it may run at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// Section `[account.NAME]`: a client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountSettings {
    /// Name of the account.
    pub id: AccountId,
    /// Share relative to other accounts.
    pub weight: u32,
    /// SHA-256 of the account's key, in lower-case hexadecimal.
    pub key_sha256: String,
    /// Most requests in progress at once across the fleet; 0 means no ceiling.
    pub max_in_progress: u32,
    /// Most requests started a second across the fleet; 0 means no ceiling.
    pub max_requests_per_s: u32,
}
