//! Waits until the processes of a run accept requests.

use std::net::TcpListener;
use std::str::FromStr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

use crate::client;
use crate::plan::LoadPlan;
use crate::plan::RouterPlan;
use crate::processes::listens;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Which processes to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The table service, the relays and the endpoints.
    StandIns,
    /// The routers.
    Routers,
}

/// The name of the stage is unknown.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("--stage {0}: expected stand-ins or routers")]
pub struct UnknownStage(pub String);

impl FromStr for Stage {
    type Err = UnknownStage;

    fn from_str(name: &str) -> Result<Self, UnknownStage> {
        match name {
            "stand-ins" => Ok(Self::StandIns),
            "routers" => Ok(Self::Routers),
            _ => Err(UnknownStage(name.to_owned())),
        }
    }
}

/// Names and addresses of processes whose address is in use before they start. A process left over
/// from an earlier run would answer in their place, and the figures would mix both runs.
pub fn taken_addresses(plan: &LoadPlan) -> Vec<String> {
    let endpoints = plan.endpoints.iter().map(|e| (&*e.name, e.address));
    let callers = plan.routers.iter().map(|r| (&*r.name, r.caller_address));
    let operators = plan.routers.iter().map(|r| (&*r.name, r.operator_address));
    let coordinators = plan.coordinators.iter().map(|c| (&*c.name, c.address));
    let all = endpoints.chain(callers).chain(operators);
    let all = all.chain(coordinators);
    let all = all.chain([("table", plan.table_address)]);
    let taken = all.filter(|(_, address)| TcpListener::bind(address).is_err());
    taken
        .map(|(name, address)| format!("{name} {address}"))
        .collect()
}

/// Waits for a stage; returns the names of processes that are not ready in time.
pub fn wait_until_ready(plan: &LoadPlan, stage: Stage, timeout: Duration) -> Vec<String> {
    let deadline = Instant::now() + timeout;
    loop {
        let missing = not_ready(plan, stage);
        if missing.is_empty() || Instant::now() >= deadline {
            return missing;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn not_ready(plan: &LoadPlan, stage: Stage) -> Vec<String> {
    match stage {
        Stage::StandIns => {
            let endpoints = plan.endpoints.iter().map(|e| (e.name.clone(), e.address));
            let links = plan
                .links
                .iter()
                .map(|l| (l.name.clone(), l.control_address));
            let all = endpoints.chain(links);
            let all = all.chain([("table".to_owned(), plan.table_address)]);
            let silent = all.filter(|(_, address)| !listens(*address));
            silent.map(|(name, _)| name).collect()
        }
        Stage::Routers => {
            let waiting = plan.routers.iter().filter(|router| !is_ready(router));
            waiting.map(|router| router.name.clone()).collect()
        }
    }
}

fn is_ready(router: &RouterPlan) -> bool {
    let url = format!("http://{}/readyz", router.operator_address);
    let request = client::agent().get(url).config();
    let request = request.timeout_global(Some(READY_TIMEOUT)).build();
    request.call().is_ok_and(|answer| answer.status() == 200)
}
