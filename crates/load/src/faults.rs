//! Faults that can be injected during a run, each as a list of timed actions.

use std::time::Duration;

use sedgeridge_standins::faults::Fault;
use sedgeridge_standins::faults::FaultOrder;
use sedgeridge_standins::relay_state::RelayOrder;

use crate::fault_name::FaultName;
use crate::plan::EndpointPlan;
use crate::plan::LoadPlan;
use crate::plan::PoolKind;
use crate::processes::Signal;

/// Request text that crashes an endpoint which was ordered to crash on it.
pub const POISON: &str = "poison-pill";

/// Number of operators that add an account at the same time.
const RACING_OPERATORS: usize = 4;
/// Times of the races as fractions of the sending time.
const RACE_FRACTIONS: [f64; 4] = [0.2, 0.35, 0.5, 0.65];
/// Times of orders to engines as fractions of the sending time; the third comes while the lease
/// holder is frozen.
const ORDER_FRACTIONS: [f64; 6] = [0.08, 0.14, 0.25, 0.45, 0.6, 0.7];

/// Probability that an endpoint's answer is lost.
const LOST_ANSWER_PROBABILITY: f64 = 0.05;
/// Probability that an answer of the table service is lost.
const LOST_TABLE_ANSWER_PROBABILITY: f64 = 0.2;

/// One action of a fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a signal to a process.
    Signal(String, Signal),
    /// Restart a process.
    Start(String),
    /// Order stand-ins to show a fault until the end of the run, or for a given time.
    Misbehave(Target, FaultOrder),
    /// Send an order to every link from or to a site.
    Links(String, RelayOrder),
    /// Restart crashed endpoints and repeat the order to them, until the end of the run.
    ReviveEngines(FaultOrder),
    /// Order an endpoint to report that it is leaving, and log the time.
    Leave(String),
    /// Make configuration changes at the same time, through the operators' command line.
    Changes(Vec<ConfigChange>),
    /// Send the order of this number to an engine through the operators' command line.
    Order(String, u64),
    /// Send a signal to the coordinator that was signalled before, or else to the lease holder.
    SignalHolder(Signal),
}

/// A change of the configuration by one operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigChange {
    /// `accounts add` of this name.
    AddAccount(String),
    /// `config apply` of the files with one more account of this name.
    ApplyFiles(String),
}

/// Stand-ins that a fault order goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// The table service.
    Table,
    /// Every endpoint.
    Endpoints,
    /// Every model engine.
    Engines,
    /// One endpoint.
    Endpoint(String),
}

/// An action at a given time of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time as a fraction of the sending time: 0 at the start, 1 at the end.
    pub at_fraction: f64,
    /// Action to take.
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
        FaultName::Flood => Vec::new(),
        FaultName::EndpointLeave => endpoint_leave(plan),
        FaultName::SilentConnection => silent_connection(plan),
        FaultName::OperatorRace => operator_race(),
        FaultName::ConfigUnderPartition => config_under_partition(plan),
        FaultName::LeaseFreeze => lease_freeze(plan),
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
    let crashed = one_of_each_pool(plan);
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
        duration_ms: Some(fraction_ms(sending, 0.3)),
        ..FaultOrder::new(Fault::Outage)
    };
    vec![step(0.3, Action::Misbehave(Target::Table, order))]
}

fn lost_answers(sending: Duration) -> Vec<Step> {
    let order = |probability| FaultOrder {
        probability: Some(probability),
        duration_ms: Some(fraction_ms(sending, 0.6)),
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

fn endpoint_leave(plan: &LoadPlan) -> Vec<Step> {
    let leaving = one_of_each_pool(plan).into_iter();
    leaving
        .map(|endpoint| step(0.3, Action::Leave(endpoint.name.clone())))
        .collect()
}

fn silent_connection(plan: &LoadPlan) -> Vec<Step> {
    let silence = |target| Action::Misbehave(target, FaultOrder::new(Fault::Silence));
    let endpoints = one_of_each_pool(plan).into_iter();
    let endpoints = endpoints.map(|e| step(0.3, silence(Target::Endpoint(e.name.clone()))));
    let site = plan.links.last().map(|link| link.from_site.clone());
    let links = site.map(|site| step(0.45, Action::Links(site, RelayOrder::Silence)));
    let table = step(0.6, silence(Target::Table));
    endpoints.chain(links).chain([table]).collect()
}

/// The first round has both kinds of change. Applying files is refused if that would remove
/// accounts added by command, so the later rounds only add accounts.
fn operator_race() -> Vec<Step> {
    let round = |index: usize, at_fraction| {
        let add = |operator| ConfigChange::AddAccount(format!("race-{index}-{operator}"));
        let mut changes: Vec<ConfigChange> = (1..=RACING_OPERATORS).map(add).collect();
        if index == 0 {
            changes.push(ConfigChange::ApplyFiles("race-files".to_owned()));
        }
        step(at_fraction, Action::Changes(changes))
    };
    let times = RACE_FRACTIONS.iter().enumerate();
    times.map(|(index, at)| round(index, *at)).collect()
}

fn config_under_partition(plan: &LoadPlan) -> Vec<Step> {
    let change = |name: &str| Action::Changes(vec![ConfigChange::AddAccount(name.to_owned())]);
    let mut steps = site_cut(plan);
    steps.push(step(0.4, change("during-cut-1")));
    steps.push(step(0.5, change("during-cut-2")));
    steps.push(step(0.7, change("after-cut")));
    steps.sort_by(|a, b| a.at_fraction.total_cmp(&b.at_fraction));
    steps
}

/// Orders unload adapters that no engine has: they do not affect the load, and the weight store's
/// minimum interval between loads does not apply to them.
fn lease_freeze(plan: &LoadPlan) -> Vec<Step> {
    let engines = plan.endpoints.iter();
    let engines = engines.filter(|e| plan.pool_kind(&e.pool) == PoolKind::Model);
    let engines: Vec<&EndpointPlan> = engines.collect();
    let order = |(index, at): (usize, &f64)| {
        let engine = &engines[index % engines.len()];
        step(*at, Action::Order(engine.name.clone(), index as u64 + 1))
    };
    let mut steps: Vec<Step> = ORDER_FRACTIONS.iter().enumerate().map(order).collect();
    steps.push(step(0.15, Action::SignalHolder(Signal::Stop)));
    steps.push(step(0.65, Action::SignalHolder(Signal::Continue)));
    steps.sort_by(|a, b| a.at_fraction.total_cmp(&b.at_fraction));
    steps
}

/// The first endpoint of each pool.
fn one_of_each_pool(plan: &LoadPlan) -> Vec<&EndpointPlan> {
    let mut chosen: Vec<&EndpointPlan> = Vec::new();
    for endpoint in &plan.endpoints {
        if chosen.iter().all(|known| known.pool != endpoint.pool) {
            chosen.push(endpoint);
        }
    }
    chosen
}

fn fraction_ms(sending: Duration, share: f64) -> u64 {
    sending.mul_f64(share).as_millis() as u64
}
