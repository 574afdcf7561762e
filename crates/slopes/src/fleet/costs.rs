//! Costs of one router's decisions by component.

use std::collections::BTreeMap;
use std::time::Duration;

/// Components of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    /// Callers' requests, grants and the ends of attempts.
    Entry,
    /// Reports of entry routers to the home of a pool.
    Home,
    /// Load reports of endpoints.
    LoadReports,
    /// Heartbeats between routers.
    Membership,
    /// The accepted configuration.
    Configuration,
    /// Timers of all components.
    Timers,
}

impl Component {
    /// Returns the component that sends the messages this component receives.
    pub fn sending_component(self) -> Self {
        match self {
            Self::Home => Self::Entry,
            Self::Entry => Self::Home,
            other => other,
        }
    }
}

/// Messages of one component in one direction.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Bytes of payload.
    pub payload_bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.payload_bytes += bytes as u64;
    }

    /// Returns the bytes on the wire, given the overhead of each message.
    pub fn wire_bytes(self, overhead_bytes: u64) -> u64 {
        self.payload_bytes + self.messages * overhead_bytes
    }
}

/// Costs of one router.
#[derive(Debug, Clone, Default)]
pub struct Costs {
    /// Processor time by component, codecs included.
    pub time: BTreeMap<Component, Duration>,
    /// Traffic sent by component.
    pub sent: BTreeMap<Component, Traffic>,
    /// Traffic received by component.
    pub received: BTreeMap<Component, Traffic>,
    /// Load reports read.
    pub load_reads: u64,
}

impl Costs {
    /// Adds the time to handle one event.
    pub fn add_time(&mut self, component: Component, time: Duration) {
        *self.time.entry(component).or_default() += time;
    }

    /// Adds a sent message and the time to encode it.
    pub fn add_sent(&mut self, component: Component, bytes: usize, time: Duration) {
        self.add_time(component, time);
        self.sent.entry(component).or_default().add(bytes);
    }

    /// Adds a received message and the time to decode it.
    pub fn add_received(&mut self, component: Component, bytes: usize, time: Duration) {
        self.add_time(component, time);
        self.received.entry(component).or_default().add(bytes);
    }

    /// Returns the processor time of a component.
    pub fn time_of(&self, component: Component) -> Duration {
        self.time.get(&component).copied().unwrap_or_default()
    }

    /// Returns the traffic that a component sent.
    pub fn sent_of(&self, component: Component) -> Traffic {
        self.sent.get(&component).copied().unwrap_or_default()
    }

    /// Returns the traffic that a component received.
    pub fn received_of(&self, component: Component) -> Traffic {
        self.received.get(&component).copied().unwrap_or_default()
    }
}
