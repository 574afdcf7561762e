//! What the load needs to know of a running deployment, kept in `load.json`.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use crate::fault_name::FaultNames;

/// File of the [`LoadPlan`] within a run's directory.
pub const LOAD_PLAN_FILE: &str = "load.json";

/// A running deployment as callers and judges see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadPlan {
    /// Name of the deployment.
    pub deployment: String,
    /// Weight of one output token against one uncached input token.
    pub output_token_factor: u64,
    /// Routers in order.
    pub routers: Vec<RouterPlan>,
    /// Endpoints of all pools.
    pub endpoints: Vec<EndpointPlan>,
    /// Services that callers name.
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
    /// Faults to bring about.
    #[serde(default)]
    pub faults: FaultNames,
}

impl LoadPlan {
    /// Reads the plan of a run from its directory.
    pub fn read(dir: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(dir.join(LOAD_PLAN_FILE))?;
        Ok(serde_json::from_str(&text)?)
    }

    /// What the endpoints of a pool speak.
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
    /// Where its pages are.
    pub address: SocketAddr,
}

/// A relay that stands for the way from one site to one process at another site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkPlan {
    /// Name of the relay.
    pub name: String,
    /// Site on the near side.
    pub from_site: String,
    /// Site of the process on the far side.
    pub to_site: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it takes orders.
    pub control_address: SocketAddr,
    /// The process that it leads to.
    pub target: SocketAddr,
}

/// What the endpoints of a pool speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// The chat-completions form.
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
    /// Requests it runs at once.
    pub slots: u32,
    /// Where it listens itself, without any delay between sites.
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
    /// What it speaks.
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
    /// Share relative to others.
    pub weight: u32,
    /// Routers that its callers use.
    pub spread: Spread,
    /// What its callers ask for.
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
    /// Router for an account's `turn`-th request.
    ///
    /// ```
    /// use sedgeridge_load::plan::Spread;
    /// assert_eq!(Spread::One(4).router(9, 3), 1);
    /// assert_eq!(Spread::All.router(5, 3), 2);
    /// ```
    pub fn router(self, turn: usize, routers: usize) -> usize {
        match self {
            Self::All => turn % routers,
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
    /// Closed loop with enough callers that some request always waits.
    Backlogged,
    /// Open loop with random arrivals at this mean rate.
    PerSecond(f64),
}

impl Demand {
    /// Always some request waiting.
    pub fn backlogged(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            pace: Pace::Backlogged,
        }
    }

    /// Random arrivals at a mean rate.
    pub fn paced(service: &str, per_s: f64) -> Self {
        Self {
            service: service.to_owned(),
            pace: Pace::PerSecond(per_s),
        }
    }
}
