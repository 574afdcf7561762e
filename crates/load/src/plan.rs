//! Plan of a running deployment for callers and reports, stored in `load.json`.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::fault_name::FaultNames;

/// File of the [`LoadPlan`] within a run's directory.
pub const LOAD_PLAN_FILE: &str = "load.json";

/// A running deployment as callers and reports need it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadPlan {
    /// Name of the deployment.
    pub deployment: String,
    /// Weight of one output token relative to one uncached input token.
    pub output_token_factor: u64,
    /// Routers in order.
    pub routers: Vec<RouterPlan>,
    /// Endpoints of all pools.
    pub endpoints: Vec<EndpointPlan>,
    /// Services that callers use.
    pub services: Vec<ServicePlan>,
    /// Client accounts with their keys.
    pub accounts: Vec<AccountPlan>,
    /// Links between sites.
    pub links: Vec<LinkPlan>,
    /// The table service.
    pub table_address: SocketAddr,
    /// Coordinators, started only for the faults that are about them.
    #[serde(default)]
    pub coordinators: Vec<CoordinatorPlan>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: FaultNames,
}

impl LoadPlan {
    /// Reads the plan of a run from its directory.
    pub fn read(dir: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(dir.join(LOAD_PLAN_FILE))?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Protocol of the endpoints of a pool.
    pub fn pool_kind(&self, pool: &str) -> PoolKind {
        let service = self.services.iter().find(|s| s.pool == pool);
        service.map_or(PoolKind::Model, |s| s.kind)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Slots of all endpoints of a pool.
    pub fn pool_slots(&self, pool: &str) -> u32 {
        let endpoints = self.endpoints.iter().filter(|e| e.pool == pool);
        endpoints.map(|e| e.slots).sum()
    }
}

/// One router process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouterPlan {
    /// Name of its host.
    pub name: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where metrics are read.
    pub operator_address: SocketAddr,
}

/// One coordinator process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CoordinatorPlan {
    /// Name of the process.
    pub name: String,
    /// Host that it runs on.
    pub host: String,
    /// Its site.
    pub site: String,
    /// Address of its HTTP pages.
    pub address: SocketAddr,
}

/// A relay that represents the network path from one site to one process at another site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkPlan {
    /// Name of the relay.
    pub name: String,
    /// Site that connects through the relay.
    pub from_site: String,
    /// Site of the target process.
    pub to_site: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it takes orders.
    pub control_address: SocketAddr,
    /// Address of the target process.
    pub target: SocketAddr,
}

/// Protocol of the endpoints of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Chat-completions API.
    Model,
    /// Plain HTTP.
    Plain,
}

/// One endpoint process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointPlan {
    /// Name of the endpoint.
    pub name: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Where it listens itself, not through a relay with the delay between sites.
    pub address: SocketAddr,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Pool that runs it.
    pub pool: String,
    /// Protocol of its endpoints.
    pub kind: PoolKind,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountPlan {
    /// Name of the account.
    pub name: String,
    /// Key that its callers present.
    pub key: String,
    /// Share relative to other accounts.
    pub weight: u32,
    /// Routers that its callers use.
    pub spread: Spread,
    /// Requests that its callers send.
    pub demands: Vec<Demand>,
}

/// Routers that an account's callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Each request goes to the next router.
    All,
    /// Every request goes to one router, counted modulo the number of routers.
    One(usize),
}

impl Spread {
    /// Router for an account's request with this round-robin index.
    ///
    /// ```
    /// use sedgeridge_load::plan::Spread;
    /// assert_eq!(Spread::One(4).router(9, 3), 1);
    /// assert_eq!(Spread::All.router(5, 3), 2);
    /// ```
    pub fn router(self, round_robin_index: usize, routers: usize) -> usize {
        match self {
            Self::All => round_robin_index % routers,
            Self::One(index) => index % routers,
        }
    }
}

/// Requests that an account's callers send for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The service.
    pub service: String,
    /// How often requests are sent.
    pub pace: Pace,
}

/// How often requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Pace {
    /// Closed loop with so many callers that some request always waits.
    Backlogged,
    /// Open loop with random arrivals at this mean rate.
    PerSecond(f64),
}

impl Demand {
    /// Demand with a request always waiting.
    pub fn backlogged(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            pace: Pace::Backlogged,
        }
    }

    /// Demand with random arrivals at a mean rate.
    pub fn paced(service: &str, per_s: f64) -> Self {
        Self {
            service: service.to_owned(),
            pace: Pace::PerSecond(per_s),
        }
    }
}
