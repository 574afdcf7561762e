//! Executes the actions of a fault at their scheduled times.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_protocol::coordinator::CoordinatorStatus;
use sedgeridge_protocol::operator::STATUS_PATH;
use sedgeridge_standins::control::CONTROL_PATH;
use sedgeridge_standins::faults::Fault;
use sedgeridge_standins::faults::FaultOrder;
use sedgeridge_standins::relay_state::RelayOrder;
use serde::Serialize;
use thiserror::Error;
use ureq::Agent;

use crate::client::now_us;
use crate::fault_log::FaultLog;
use crate::faults::Action;
use crate::faults::ConfigChange;
use crate::faults::Step;
use crate::faults::Target;
use crate::operators::Operators;
use crate::plan::CoordinatorPlan;
use crate::plan::EndpointPlan;
use crate::plan::LinkPlan;
use crate::plan::LoadPlan;
use crate::plan::PoolKind;
use crate::processes::Processes;
use crate::processes::Signal;
use crate::processes::listens;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between checks for crashed endpoints.
const REVIVE_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before a crashed endpoint is restarted, as the platform would take.
const REVIVE_DELAY: Duration = Duration::from_millis(500);
/// Maximum wait for restarted endpoints to listen.
const REVIVE_TIMEOUT: Duration = Duration::from_secs(3);
const REVIVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An action failed.
#[derive(Debug, Error)]
enum ActionError {
    #[error("{0}")]
    Process(#[from] io::Error),
    #[error("{0}")]
    Order(#[from] ureq::Error),
}

/// Executes the steps of a fault.
#[derive(Debug)]
pub struct FaultInjector<'a> {
    /// Plan of the run.
    pub plan: &'a LoadPlan,
    /// Its processes.
    pub processes: Processes,
    /// HTTP client for orders to stand-ins.
    pub agent: Agent,
    /// Start of sending.
    pub start: Instant,
    /// Length of sending.
    pub sending_time: Duration,
    /// Operators that use the command-line tool.
    pub operators: Operators,
    /// Log of injected faults.
    pub log: &'a FaultLog,
}

impl FaultInjector<'_> {
    /// Executes every step at its time within the sending time. A failed action is printed and the
    /// remaining steps still run.
    pub fn run_steps(&self, steps: &[Step]) {
        for step in steps {
            let at = self.start + self.sending_time.mul_f64(step.at_fraction);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            println!("fault: {:?}", step.action);
            if let Err(error) = self.execute(&step.action) {
                println!("fault: action failed: {error}");
            }
        }
    }

    fn execute(&self, action: &Action) -> Result<(), ActionError> {
        match action {
            Action::Signal(name, signal) => self.processes.signal(name, *signal)?,
            Action::Start(name) => self.start_again(name)?,
            Action::Misbehave(target, order) => self.inject(target, order)?,
            Action::Links(site, order) => self.order_links(site, order)?,
            Action::ReviveEngines(order) => self.revive_engines(order)?,
            Action::Leave(name) => self.announce_leaving(name)?,
            Action::Changes(changes) => self.apply_changes(changes)?,
            Action::Order(endpoint, number) => {
                let accepted = self.operators.submit_order(endpoint, *number)?;
                self.log.lock().orders.push(accepted);
            }
            Action::SignalHolder(signal) => self.signal_holder(*signal)?,
        }
        Ok(())
    }

    /// Restarts a process unless it is an endpoint that listens already: another fault of the same
    /// run may have restarted it, and a second process would write into the first one's ledger
    /// before it finds the address in use.
    fn start_again(&self, name: &str) -> io::Result<()> {
        let endpoint = self.plan.endpoints.iter().find(|e| e.name == name);
        if endpoint.is_some_and(|e| listens(e.address)) {
            return Ok(());
        }
        self.processes.start(name)
    }

    fn announce_leaving(&self, name: &str) -> Result<(), ureq::Error> {
        let order = FaultOrder::new(Fault::Leaving);
        self.inject(&Target::Endpoint(name.to_owned()), &order)?;
        let left_at_us = &mut self.log.lock().left_at_us;
        left_at_us.insert(name.to_owned(), now_us());
        Ok(())
    }

    fn apply_changes(&self, changes: &[ConfigChange]) -> io::Result<()> {
        let outcomes = self.operators.apply_changes(changes)?;
        for outcome in &outcomes {
            println!("fault: {outcome:?}");
        }
        self.log.lock().changes.extend(outcomes);
        Ok(())
    }

    fn signal_holder(&self, signal: Signal) -> io::Result<()> {
        let frozen = self.log.lock().frozen_holder.clone();
        let holder = frozen.or_else(|| self.lease_holder());
        let holder = holder.ok_or_else(|| io::Error::other("no coordinator holds the lease"))?;
        self.processes.signal(&holder, signal)?;
        self.log.lock().frozen_holder = Some(holder);
        Ok(())
    }

    fn lease_holder(&self) -> Option<String> {
        let holds = |coordinator: &&CoordinatorPlan| {
            let url = format!("http://{}{STATUS_PATH}", coordinator.address);
            let request = self.agent.get(url).config();
            let request = request.timeout_global(Some(CONTROL_TIMEOUT)).build();
            let page = request
                .call()
                .and_then(|mut r| r.body_mut().read_to_string());
            let status = page.ok().and_then(|text| serde_json::from_str(&text).ok());
            status.is_some_and(|status: CoordinatorStatus| status.holding)
        };
        let holder = self.plan.coordinators.iter().find(holds);
        holder.map(|coordinator| coordinator.name.clone())
    }

    /// Sends an order to every target, also after one of them did not answer.
    fn inject(&self, target: &Target, order: &FaultOrder) -> Result<(), ureq::Error> {
        let addresses: Vec<_> = match target {
            Target::Table => vec![self.plan.table_address],
            Target::Endpoints => self.plan.endpoints.iter().map(|e| e.address).collect(),
            Target::Engines => self.engines().map(|e| e.address).collect(),
            Target::Endpoint(name) => {
                let named = self.plan.endpoints.iter().filter(|e| e.name == *name);
                named.map(|e| e.address).collect()
            }
        };
        let orders = addresses.into_iter().map(|a| self.send_order(a, order));
        orders.fold(Ok(()), Result::and)
    }

    fn order_links(&self, site: &str, order: &RelayOrder) -> Result<(), ureq::Error> {
        let touches = |link: &&LinkPlan| link.from_site == site || link.to_site == site;
        for link in self.plan.links.iter().filter(touches) {
            self.send_order(link.control_address, order)?;
        }
        if *order == RelayOrder::Heal {
            self.log.lock().healed_at_us = Some(now_us());
        }
        Ok(())
    }

    fn send_order(&self, address: SocketAddr, order: &impl Serialize) -> Result<(), ureq::Error> {
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
        let end = self.start + self.sending_time;
        while Instant::now() < end {
            for address in self.revive_endpoints()? {
                // An engine that crashes before it receives the order is restarted in a later
                // round.
                let _ = self.send_order(address, order);
            }
            thread::sleep(REVIVE_INTERVAL);
        }
        Ok(())
    }

    /// Restarts endpoints that no longer listen, as the platform would. Returns their addresses.
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
        let deadline = Instant::now() + REVIVE_TIMEOUT;
        let addresses: Vec<_> = crashed.iter().map(|e| e.address).collect();
        while !addresses.iter().all(|a| listens(*a)) && Instant::now() < deadline {
            thread::sleep(REVIVE_POLL_INTERVAL);
        }
        Ok(addresses)
    }
}
