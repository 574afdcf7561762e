//! Faults that can be brought about during a run: tables of timed actions.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_standins::control::CONTROL_PATH;
use sedgeridge_standins::faults::Fault;
use sedgeridge_standins::faults::FaultOrder;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use ureq::Agent;

use crate::plan::EndpointPlan;
use crate::plan::LoadPlan;
use crate::plan::PoolKind;
use crate::processes::Processes;
use crate::processes::Signal;
use crate::processes::listens;

/// Text in a request that crashes an endpoint once the endpoint is told so.
pub const POISON: &str = "poison-pill";

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between looks for endpoints that crashed.
const REVIVE_INTERVAL: Duration = Duration::from_millis(300);
/// Time that the platform takes to start a crashed endpoint again.
const REVIVE_DELAY: Duration = Duration::from_millis(500);
/// Time that a revived endpoint has to listen again.
const REVIVE_TIMEOUT: Duration = Duration::from_secs(3);
const REVIVE_POLL_INTERVAL: Duration = Duration::from_millis(20);
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
}

impl FaultName {
    /// Every fault.
    pub const ALL: [Self; 6] = [
        Self::RouterKill,
        Self::RouterFreeze,
        Self::EngineCrash,
        Self::Poison,
        Self::TableDown,
        Self::LostAnswers,
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

fn share_ms(sending: Duration, share: f64) -> u64 {
    sending.mul_f64(share).as_millis() as u64
}

/// Why an action had no effect.
#[derive(Debug, Error)]
enum ActionError {
    #[error("{0}")]
    Process(#[from] io::Error),
    #[error("{0}")]
    Order(#[from] ureq::Error),
}

/// Carries out the steps of a fault.
#[derive(Debug)]
pub struct Saboteur<'a> {
    /// The run.
    pub plan: &'a LoadPlan,
    /// Its processes.
    pub processes: Processes,
    /// For orders to misbehave.
    pub agent: Agent,
    /// Start of sending.
    pub start: Instant,
    /// Length of sending.
    pub sending: Duration,
}

impl Saboteur<'_> {
    /// Carries out every step at its time; ends with the sending time at the latest.
    pub fn carry_out(&self, steps: &[Step]) {
        for step in steps {
            let at = self.start + self.sending.mul_f64(step.at_fraction);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            println!("fault: {:?}", step.action);
            if let Err(error) = self.act(&step.action) {
                println!("fault: {error}");
            }
        }
    }

    fn act(&self, action: &Action) -> Result<(), ActionError> {
        match action {
            Action::Signal(name, signal) => self.processes.signal(name, *signal)?,
            Action::Start(name) => self.processes.start(name)?,
            Action::Misbehave(target, order) => self.misbehave(*target, order)?,
            Action::ReviveEngines(order) => self.revive_engines(order)?,
        }
        Ok(())
    }

    fn misbehave(&self, target: Target, order: &FaultOrder) -> Result<(), ureq::Error> {
        let addresses: Vec<_> = match target {
            Target::Table => vec![self.plan.table_address],
            Target::Endpoints => self.plan.endpoints.iter().map(|e| e.address).collect(),
            Target::Engines => self.engines().map(|e| e.address).collect(),
        };
        for address in addresses {
            self.order(address, order)?;
        }
        Ok(())
    }

    fn order(&self, address: SocketAddr, order: &FaultOrder) -> Result<(), ureq::Error> {
        let url = format!("http://{address}{CONTROL_PATH}");
        let body = serde_json::to_string(order).expect("an order is plain data");
        let request = self.agent.post(url).config();
        let request = request.timeout_global(Some(CONTROL_TIMEOUT)).build();
        request.send(body).map(drop)
    }

    fn engines(&self) -> impl Iterator<Item = &EndpointPlan> {
        let is_engine = |e: &&EndpointPlan| self.plan.pool_kind(&e.pool) == PoolKind::Model;
        self.plan.endpoints.iter().filter(is_engine)
    }

    fn revive_engines(&self, order: &FaultOrder) -> io::Result<()> {
        let end = self.start + self.sending;
        while Instant::now() < end {
            for address in self.revive_endpoints()? {
                // An engine that crashes again before it has the order is revived again.
                let _ = self.order(address, order);
            }
            thread::sleep(REVIVE_INTERVAL);
        }
        Ok(())
    }

    /// Starts endpoints that do not listen any more, as the platform would; gives their addresses.
    pub fn revive_endpoints(&self) -> io::Result<Vec<SocketAddr>> {
        let endpoints = self.plan.endpoints.iter();
        let crashed: Vec<_> = endpoints.filter(|e| !listens(e.address)).collect();
        if crashed.is_empty() {
            return Ok(Vec::new());
        }
        thread::sleep(REVIVE_DELAY);
        for endpoint in &crashed {
            self.processes.start(&endpoint.name)?;
        }
        let give_up = Instant::now() + REVIVE_TIMEOUT;
        let addresses: Vec<_> = crashed.iter().map(|e| e.address).collect();
        while !addresses.iter().all(|a| listens(*a)) && Instant::now() < give_up {
            thread::sleep(REVIVE_POLL_INTERVAL);
        }
        Ok(addresses)
    }
}
