//! Injects faults into network links and servers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_standins::configs::relay::RelayConfig;
use sedgeridge_standins::faults::Fault;
use sedgeridge_standins::faults::FaultOrder;
use sedgeridge_standins::relay;
use sedgeridge_standins::relay::Relay;
use sedgeridge_standins::relay_state::RelayOrder;
use sedgeridge_standins::server::RunningServer;
use serde::Serialize;

use crate::schedule::LinkFault;
use crate::schedule::ServerFault;

/// Path on which relays and servers accept fault orders.
const CONTROL_PATH: &str = "/control";
/// Number of events that a stream delivers before its answer is lost.
const EVENTS_BEFORE_LOSS: u64 = 5;

/// A simulated network link between two programs.
#[derive(Debug)]
pub struct Link {
    relay: Relay,
}

impl Link {
    /// Opens a link to an address.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn to(address: SocketAddr) -> io::Result<Self> {
        let config = RelayConfig {
            to: Some(address),
            ..RelayConfig::default()
        };
        Ok(Self {
            relay: relay::spawn(&config)?,
        })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Starts a fault.
    ///
    /// # Errors
    ///
    /// The relay did not accept the order.
    pub fn start_fault(&self, fault: LinkFault) -> io::Result<()> {
        self.send_order(match fault {
            LinkFault::Delay(delay_ms) => RelayOrder::Delay {
                delay_ms: delay_ms as f64,
            },
            LinkFault::Reset => RelayOrder::Cut,
            LinkFault::Hold => RelayOrder::Block,
            LinkFault::Silence => RelayOrder::Silence,
        })
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// The relay did not accept the order.
    pub fn end_fault(&self, fault: LinkFault) -> io::Result<()> {
        self.send_order(match fault {
            LinkFault::Delay(_) => RelayOrder::Delay { delay_ms: 0.0 },
            LinkFault::Reset | LinkFault::Hold | LinkFault::Silence => RelayOrder::Heal,
        })
    }

    fn send_order(&self, order: RelayOrder) -> io::Result<()> {
        post(&self.relay.control().url(CONTROL_PATH), &order)
    }
}

/// Injects a fault into a server for a limited time.
///
/// # Errors
///
/// The server did not accept the order.
pub fn inject_fault(
    server: &RunningServer,
    fault: ServerFault,
    duration: Duration,
) -> io::Result<()> {
    let (fault, delay_ms) = match fault {
        ServerFault::Outage => (Fault::Outage, None),
        ServerFault::LostAnswers => (Fault::DropAnswer, None),
        ServerFault::Closes => (Fault::Close, None),
        ServerFault::Slow(delay_ms) => (Fault::Delay, Some(delay_ms)),
        ServerFault::Late(delay_ms) => (Fault::Late, Some(delay_ms)),
    };
    let order = FaultOrder {
        delay_ms,
        after_events: (fault == Fault::DropAnswer).then_some(EVENTS_BEFORE_LOSS),
        duration_ms: Some(duration.as_millis() as u64),
        ..FaultOrder::new(fault)
    };
    post(&server.url(CONTROL_PATH), &order)
}

fn post(url: &str, order: &impl Serialize) -> io::Result<()> {
    let body = serde_json::to_string(order)?;
    let response = ureq::post(url).send(body);
    response.map(drop).map_err(io::Error::other)
}
