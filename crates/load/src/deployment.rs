//! The deployments that can be started on one machine.

use std::str::FromStr;

use thiserror::Error;

use crate::plan::Demand;
use crate::plan::PoolKind;
use crate::plan::Spread;

/// Request slots of one model engine stand-in.
const ENGINE_SLOTS: u32 = 4;
/// Request slots of one plain service stand-in.
const PLAIN_SLOTS: u32 = 4;

/// Layout of a deployment, before addresses are assigned.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Routers started unless the command line says otherwise.
    pub routers: usize,
    /// Sites; routers and endpoints are distributed round-robin over them.
    pub sites: Vec<&'static str>,
    /// Delay of a message between two sites, one way.
    pub link_delay_us: u64,
    /// Pools with their endpoints.
    pub pools: Vec<PoolSpec>,
    /// Services on those pools.
    pub services: Vec<ServiceSpec>,
    /// Client accounts.
    pub accounts: Vec<AccountSpec>,
}

/// One pool of a [`Deployment`].
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: &'static str,
    /// Protocol of its endpoints.
    pub kind: PoolKind,
    /// Endpoint names consist of this prefix and a number.
    pub endpoint_prefix: &'static str,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Request slots of each endpoint.
    pub slots: u32,
}

/// One service of a [`Deployment`].
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Pool that runs it.
    pub pool: &'static str,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// Value of the `class` setting.
    pub class: &'static str,
}

/// One client account of a [`Deployment`].
#[derive(Debug, Clone, PartialEq)]
pub struct AccountSpec {
    /// Name of the account.
    pub name: String,
    /// Share relative to other accounts.
    pub weight: u32,
    /// Routers that its callers use.
    pub spread: Spread,
    /// Requests that its callers send.
    pub demands: Vec<Demand>,
}

/// The name of the deployment is unknown.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("--deployment {0}: expected one of small, luce, malardalen")]
pub struct UnknownDeployment(pub String);

impl FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(name: &str) -> Result<Self, UnknownDeployment> {
        match name {
            "small" => Ok(small()),
            "luce" => Ok(luce()),
            "malardalen" => Ok(malardalen()),
            _ => Err(UnknownDeployment(name.to_owned())),
        }
    }
}

fn model_pool(name: &'static str, endpoint_prefix: &'static str, endpoints: usize) -> PoolSpec {
    PoolSpec {
        name,
        kind: PoolKind::Model,
        endpoint_prefix,
        endpoints,
        slots: ENGINE_SLOTS,
    }
}

fn plain_pool(name: &'static str, endpoint_prefix: &'static str, endpoints: usize) -> PoolSpec {
    PoolSpec {
        name,
        kind: PoolKind::Plain,
        endpoint_prefix,
        endpoints,
        slots: PLAIN_SLOTS,
    }
}

fn service(
    name: &'static str,
    pool: &'static str,
    repeatable: bool,
    class: &'static str,
) -> ServiceSpec {
    ServiceSpec {
        name,
        pool,
        repeatable,
        class,
    }
}

fn account(name: &str, weight: u32, spread: Spread, demands: Vec<Demand>) -> AccountSpec {
    AccountSpec {
        name: name.to_owned(),
        weight,
        spread,
        demands,
    }
}

/// Three routers in front of four engines and one plain service.
fn small() -> Deployment {
    let assistant = "assistant";
    let orders = "orders";
    Deployment {
        name: "small",
        routers: 3,
        sites: vec!["local"],
        link_delay_us: 0,
        pools: vec![
            model_pool("engines", "engine", 4),
            plain_pool("orders", "orders", 2),
        ],
        services: vec![
            service(assistant, "engines", true, "interactive"),
            service(orders, "orders", false, "interactive"),
        ],
        accounts: vec![
            account(
                "large-1",
                1,
                Spread::One(0),
                vec![Demand::backlogged(assistant)],
            ),
            account(
                "large-2",
                2,
                Spread::All,
                vec![Demand::backlogged(assistant)],
            ),
            account(
                "large-3",
                1,
                Spread::One(1),
                vec![Demand::backlogged(assistant)],
            ),
            account(
                "small-1",
                1,
                Spread::One(0),
                vec![Demand::paced(assistant, 1.0), Demand::paced(orders, 2.0)],
            ),
            account(
                "small-2",
                1,
                Spread::One(2),
                vec![Demand::paced(assistant, 1.0), Demand::paced(orders, 2.0)],
            ),
            account(
                "small-3",
                1,
                Spread::All,
                vec![Demand::paced(assistant, 0.5), Demand::paced(orders, 4.0)],
            ),
        ],
    }
}

/// Cooperativa Luce dell'Etna: desk assistant and booking over three sites in Catania.
fn luce() -> Deployment {
    let desk = "desk-assistant";
    let lookups = "booking-lookups";
    let deposits = "booking-deposits";
    let mut accounts = vec![
        account(
            "crew-01",
            1,
            Spread::One(0),
            vec![Demand::backlogged(desk), Demand::paced(deposits, 1.0)],
        ),
        account(
            "crew-02",
            2,
            Spread::All,
            vec![Demand::backlogged(desk), Demand::paced(deposits, 1.0)],
        ),
        account("crew-03", 4, Spread::One(1), vec![Demand::backlogged(desk)]),
        account(
            "booking-desk",
            1,
            Spread::One(2),
            vec![Demand::backlogged(lookups), Demand::paced(deposits, 4.0)],
        ),
        account(
            "counter",
            1,
            Spread::All,
            vec![Demand::backlogged(lookups), Demand::paced(desk, 1.0)],
        ),
    ];
    accounts.extend((4..=14).map(|number| {
        let spread = small_spread(number);
        let demands = vec![Demand::paced(desk, 0.5), Demand::paced(deposits, 0.5)];
        account(&format!("crew-{number:02}"), 1, spread, demands)
    }));
    Deployment {
        name: "luce",
        routers: 6,
        sites: vec!["magazzino", "sportello", "officina"],
        link_delay_us: 1_000,
        pools: vec![
            model_pool("desk", "desk", 9),
            plain_pool("booking", "booking", 3),
        ],
        services: vec![
            service(desk, "desk", true, "interactive"),
            service(lookups, "booking", true, "interactive"),
            service(deposits, "booking", false, "interactive"),
        ],
        accounts,
    }
}

/// Länsstyrelsen Taxitillstånd Mälardalen: case assistant and portal over four sites.
fn malardalen() -> Deployment {
    let review = "case-review";
    let letters = "decision-letters";
    let portal = "portal";
    let mut accounts = vec![
        account(
            "review-a",
            1,
            Spread::One(0),
            vec![Demand::backlogged(review), Demand::paced(letters, 1.0)],
        ),
        account(
            "review-b",
            2,
            Spread::All,
            vec![Demand::backlogged(review), Demand::paced(letters, 1.0)],
        ),
        account(
            "review-c",
            4,
            Spread::One(3),
            vec![Demand::backlogged(review)],
        ),
        account("drivers", 1, Spread::All, vec![Demand::backlogged(portal)]),
        account(
            "taxi-firms",
            1,
            Spread::One(1),
            vec![Demand::backlogged(portal)],
        ),
    ];
    accounts.extend((1..=11).map(|number| {
        let spread = small_spread(number);
        let demands = vec![
            Demand::paced(review, 0.5),
            Demand::paced(letters, 0.5),
            Demand::paced(portal, 0.5),
        ];
        account(&format!("office-{number:02}"), 1, spread, demands)
    }));
    Deployment {
        name: "malardalen",
        routers: 6,
        sites: vec!["vasteras-a", "vasteras-b", "uppsala-c", "orebro-d"],
        link_delay_us: 500,
        pools: vec![
            model_pool("case", "case", 18),
            plain_pool("portal", "portal", 4),
        ],
        services: vec![
            service(review, "case", true, "deferred"),
            service(letters, "case", false, "interactive"),
            service(portal, "portal", true, "interactive"),
        ],
        accounts,
    }
}

/// Every third small account uses all routers, the others one each.
fn small_spread(number: usize) -> Spread {
    match number % 3 {
        0 => Spread::All,
        _ => Spread::One(number),
    }
}
