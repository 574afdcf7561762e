//! Faults that can be brought about during a run: tables of timed actions.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use sedgeridge_standins::faults::Fault;
use sedgeridge_standins::faults::FaultOrder;
use sedgeridge_standins::relay_state::RelayOrder;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::plan::EndpointPlan;
use crate::plan::LoadPlan;
use crate::processes::Signal;

/// Text in a request that crashes an endpoint once the endpoint is told so.
pub const POISON: &str = "poison-pill";

/// Share of answers that get lost.
const LOST_ANSWER_PROBABILITY: f64 = 0.05;
/// Share of the table service's answers that get lost.
const LOST_TABLE_ANSWER_PROBABILITY: f64 = 0.2;

/// A fault by its name on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultName {
    /// One router is killed and comes back with no memory.
    RouterKill,
    /// One router is frozen for longer than a stream may be idle, then runs on.
    RouterFreeze,
    /// One endpoint of each pool is killed and comes back.
    EngineCrash,
    /// One request crashes every engine that runs it, and its caller sends it again.
    Poison,
    /// The table service answers nothing but 503.
    TableDown,
    /// Endpoints and the table service do the work, but some answers are lost.
    LostAnswers,
    /// One site is cut off from the others, then the cut heals.
    SiteCut,
}

impl FaultName {
    /// Every fault.
    pub const ALL: [Self; 7] = [
        Self::RouterKill,
        Self::RouterFreeze,
        Self::EngineCrash,
        Self::Poison,
        Self::TableDown,
        Self::LostAnswers,
        Self::SiteCut,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RouterKill => "router-kill",
            Self::RouterFreeze => "router-freeze",
            Self::EngineCrash => "engine-crash",
            Self::Poison => "poison",
            Self::TableDown => "table-down",
            Self::LostAnswers => "lost-answers",
            Self::SiteCut => "site-cut",
        }
    }
}

impl fmt::Display for FaultName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A fault that does not exist.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("--fault {0}: expected one of {known}", known = known_names())]
pub struct UnknownFault(pub String);

fn known_names() -> String {
    FaultName::ALL.map(FaultName::as_str).join(", ")
}

impl FromStr for FaultName {
    type Err = UnknownFault;

    /// ```
    /// use sedgeridge_load::faults::FaultName;
    /// assert_eq!("poison".parse(), Ok(FaultName::Poison));
    /// assert!("sabotage".parse::<FaultName>().is_err());
    /// ```
    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        let known = Self::ALL.into_iter().find(|fault| fault.as_str() == name);
        known.ok_or_else(|| UnknownFault(name.to_owned()))
    }
}

/// One action of a fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Signal a process.
    Signal(String, Signal),
    /// Start a process again.
    Start(String),
    /// Tell a stand-in to misbehave until the end of the run, or for a time.
    Misbehave(Target, FaultOrder),
    /// Tell every link from or to a site.
    Links(String, RelayOrder),
    /// Start crashed engines again, and give them the same order, until the end of the run.
    ReviveEngines(FaultOrder),
}

/// Stand-ins that are told to misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The table service.
    Table,
    /// Every endpoint.
    Endpoints,
    /// Every model engine.
    Engines,
}

/// An action at a part of the sending time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// From 0 at the start to 1 at the end.
    pub at_fraction: f64,
    /// What is done.
    pub action: Action,
}

fn step(at_fraction: f64, action: Action) -> Step {
    Step {
        at_fraction,
        action,
    }
}

/// The actions of a fault, in order of time.
pub fn steps(fault: FaultName, plan: &LoadPlan, sending: Duration) -> Vec<Step> {
    match fault {
        FaultName::RouterKill => router_kill(plan),
        FaultName::RouterFreeze => router_freeze(plan),
        FaultName::EngineCrash => engine_crash(plan),
        FaultName::Poison => poison(),
        FaultName::TableDown => table_down(sending),
        FaultName::LostAnswers => lost_answers(sending),
        FaultName::SiteCut => site_cut(plan),
    }
}

fn router_kill(plan: &LoadPlan) -> Vec<Step> {
    let router = plan.routers[0].name.clone();
    vec![
        step(0.4, Action::Signal(router.clone(), Signal::Kill)),
        step(0.55, Action::Start(router)),
    ]
}

fn router_freeze(plan: &LoadPlan) -> Vec<Step> {
    let router = plan.routers[plan.routers.len() - 1].name.clone();
    vec![
        step(0.3, Action::Signal(router.clone(), Signal::Stop)),
        step(0.75, Action::Signal(router, Signal::Continue)),
    ]
}

fn engine_crash(plan: &LoadPlan) -> Vec<Step> {
    let mut crashed: Vec<&EndpointPlan> = Vec::new();
    for endpoint in &plan.endpoints {
        if crashed.iter().all(|known| known.pool != endpoint.pool) {
            crashed.push(endpoint);
        }
    }
    let kill = |e: &&EndpointPlan| step(0.35, Action::Signal(e.name.clone(), Signal::Kill));
    let start = |e: &&EndpointPlan| step(0.6, Action::Start(e.name.clone()));
    let kills = crashed.iter().map(kill);
    kills.chain(crashed.iter().map(start)).collect()
}

fn poison() -> Vec<Step> {
    let order = FaultOrder {
        poison: Some(POISON.to_owned()),
        ..FaultOrder::new(Fault::Crash)
    };
    vec![
        step(0.0, Action::Misbehave(Target::Engines, order.clone())),
        step(0.0, Action::ReviveEngines(order)),
    ]
}

fn table_down(sending: Duration) -> Vec<Step> {
    let order = FaultOrder {
        duration_ms: Some(share_ms(sending, 0.3)),
        ..FaultOrder::new(Fault::Outage)
    };
    vec![step(0.3, Action::Misbehave(Target::Table, order))]
}

fn lost_answers(sending: Duration) -> Vec<Step> {
    let order = |probability| FaultOrder {
        probability: Some(probability),
        duration_ms: Some(share_ms(sending, 0.6)),
        ..FaultOrder::new(Fault::DropAnswer)
    };
    let endpoints = order(LOST_ANSWER_PROBABILITY);
    let table = order(LOST_TABLE_ANSWER_PROBABILITY);
    vec![
        step(0.2, Action::Misbehave(Target::Endpoints, endpoints)),
        step(0.2, Action::Misbehave(Target::Table, table)),
    ]
}

fn site_cut(plan: &LoadPlan) -> Vec<Step> {
    let Some(link) = plan.links.last() else {
        return Vec::new();
    };
    let site = link.from_site.clone();
    vec![
        step(0.3, Action::Links(site.clone(), RelayOrder::Cut)),
        step(0.6, Action::Links(site, RelayOrder::Heal)),
    ]
}

fn share_ms(sending: Duration, share: f64) -> u64 {
    sending.mul_f64(share).as_millis() as u64
}
