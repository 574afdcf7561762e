//! Carries out the actions of a fault at their times.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_standins::control::CONTROL_PATH;
use sedgeridge_standins::faults::FaultOrder;
use sedgeridge_standins::relay_state::RelayOrder;
use serde::Serialize;
use thiserror::Error;
use ureq::Agent;

use crate::faults::Action;
use crate::faults::Step;
use crate::faults::Target;
use crate::plan::EndpointPlan;
use crate::plan::LinkPlan;
use crate::plan::LoadPlan;
use crate::plan::PoolKind;
use crate::processes::Processes;
use crate::processes::listens;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between looks for endpoints that crashed.
const REVIVE_INTERVAL: Duration = Duration::from_millis(300);
/// Time that the platform takes to start a crashed endpoint again.
const REVIVE_DELAY: Duration = Duration::from_millis(500);
/// Time that a revived endpoint has to listen again.
const REVIVE_TIMEOUT: Duration = Duration::from_secs(3);
const REVIVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
            Action::Links(site, order) => self.order_links(site, order)?,
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

    fn order_links(&self, site: &str, order: &RelayOrder) -> Result<(), ureq::Error> {
        let touches = |link: &&LinkPlan| link.from_site == site || link.to_site == site;
        for link in self.plan.links.iter().filter(touches) {
            self.order(link.control_address, order)?;
        }
        Ok(())
    }

    fn order(&self, address: SocketAddr, order: &impl Serialize) -> Result<(), ureq::Error> {
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
