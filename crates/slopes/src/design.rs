//! Generated settings of a fleet, scaled from the size to design for.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::ids::SiteId;
use sedgeridge_state::settings::AccountSettings;
use sedgeridge_state::settings::EndpointSettings;
use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::PoolSettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::SiteSettings;

use crate::target;

/// Number of data centres.
pub const SITE_COUNT: usize = 7;
/// Number of regions.
pub const REGION_COUNT: usize = 2;
/// Requests that an engine runs at once: a tenth less than the peak needs, so that accounts wait.
pub const SLOTS_PER_ENGINE: u32 = 28;

/// Size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Routers.
    pub nodes: usize,
    /// Model engines.
    pub endpoints: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Requests a second.
    pub requests_per_s: usize,
}

impl FleetSize {
    /// Returns the size of a fleet with this many routers, with all else in proportion.
    ///
    /// ```
    /// use sedgeridge_slopes::design::FleetSize;
    ///
    /// assert_eq!(FleetSize::for_nodes(400).accounts, 6_900);
    /// assert_eq!(FleetSize::for_nodes(40).endpoints, 220);
    /// ```
    pub fn for_nodes(nodes: usize) -> Self {
        let scaled = |whole: f64| (whole * nodes as f64 / target::NODES).round() as usize;
        Self {
            nodes,
            endpoints: scaled(target::ENDPOINTS),
            accounts: scaled(target::ACCOUNTS),
            requests_per_s: scaled(target::REQUESTS_PER_S),
        }
    }
}

/// Returns the id of the host with an index.
pub fn host_id(index: usize) -> HostId {
    HostId::from(format!("router-{index:03}").as_str())
}

/// Returns the id of the pool with an index.
pub fn pool_id(index: usize) -> PoolId {
    PoolId::from(format!("model-{index}").as_str())
}

/// Returns the id of the endpoint with an index.
pub fn endpoint_id(index: usize) -> EndpointId {
    EndpointId::from(format!("engine-{index:04}").as_str())
}

/// Returns the id of the account with an index.
pub fn account_id(index: usize) -> AccountId {
    AccountId::from(format!("account-{index:05}").as_str())
}

/// Returns the site of the host or endpoint with an index; indexes are assigned round-robin.
pub fn site_id(index: usize) -> SiteId {
    SiteId::from(format!("site-{}", index % SITE_COUNT).as_str())
}

/// Generates the settings of a fleet; all addresses are placeholders on which nothing listens.
pub fn settings(size: FleetSize) -> Settings {
    let pools = target::POOLS as usize;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let sites = (0..SITE_COUNT).map(|index| SiteSettings {
        id: site_id(index),
        region: format!("region-{}", index % REGION_COUNT),
    });
    let hosts = (0..size.nodes).map(|index| HostSettings {
        id: host_id(index),
        site: site_id(index),
        caller_address: address,
        peer_address: address,
        operator_address: address,
        coordinator_address: None,
    });
    let pool_settings = (0..pools).map(|index| PoolSettings {
        id: pool_id(index),
        kind: PoolKind::Model,
        floor: 0,
    });
    let endpoints = (0..size.endpoints).map(|index| EndpointSettings {
        id: endpoint_id(index),
        pool: pool_id(index % pools),
        site: site_id(index),
        address,
        slots: SLOTS_PER_ENGINE,
        checks_fencing: true,
    });
    let accounts = (0..size.accounts).map(|index| AccountSettings {
        id: account_id(index),
        weight: 1,
        key_sha256: format!("{index:064x}"),
        max_in_progress: 0,
        max_requests_per_s: 0,
    });
    Settings {
        sites: sites.collect(),
        hosts: hosts.collect(),
        pools: pool_settings.collect(),
        endpoints: endpoints.collect(),
        accounts: accounts.collect(),
        ..Settings::default()
    }
}
