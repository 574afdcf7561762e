//! Simulates a fleet in one thread on simulated time: the routers' real decision code and codecs
//! with simulated links, endpoints and callers.

pub mod config;
pub mod costs;
pub mod faults;
pub mod load;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptFailure;
use sedgeridge_coordination::entry_events::AttemptKey;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::entry_events::StartAttempt;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeAction;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_protocol::membership;
use sedgeridge_protocol::peer;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::Settings;

use crate::design;
use crate::design::FleetSize;
use crate::fleet::config::ConfigTable;
use crate::fleet::costs::Component;
use crate::fleet::costs::Costs;
use crate::fleet::load::Callers;
use crate::fleet::load::Service;

/// Microseconds since the epoch at which every host starts.
const START_UNIX_US: u64 = 1_800_000_000_000_000;
/// Shortest time between two ticks of a router, as in its core.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Longest time between two ticks of a router, as in its core.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// One-way delay of a message.
const LINK_DELAY: Duration = Duration::from_micros(500);
/// Time after which a link to an unreachable host is reported lost.
const LINK_LOSS_DELAY: Duration = Duration::from_millis(500);
/// Timeout of a connection to an unreachable endpoint, the default of
/// `health.connect_timeout_ms`.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time to read a load report.
const LOAD_READ_DELAY: Duration = Duration::from_millis(2);

/// An event scheduled for a router.
#[derive(Debug)]
enum PendingEvent {
    Wake,
    Stream { from: usize, bytes: Vec<u8> },
    Datagram(Vec<u8>),
    LinkLost(HostId),
    Arrival,
    Progress(AttemptKey, u64),
    AttemptEnded(RequestKey, AttemptKey, Option<EndpointId>, AttemptEnd),
    LoadRead(EndpointId),
    ConfigRead(Box<ConfigEvent<ConfigContent>>),
}

/// One simulated router and its costs.
#[derive(Debug)]
pub struct SimulatedNode {
    /// Decision code of the router.
    pub node: Node,
    /// Costs since the last [`Fleet::reset_costs`].
    pub costs: Costs,
    member: Member,
    is_running: bool,
    partition: u8,
    last_tick: Duration,
    wake_at: Duration,
}

/// Routers, the links between them, their endpoints and their callers.
#[derive(Debug)]
pub struct Fleet {
    /// The routers.
    pub nodes: Vec<SimulatedNode>,
    /// The accepted configuration, for hosts that read it from the table.
    pub config: ConfigTable,
    /// Callers, with counts of requests since the last [`Self::reset_costs`].
    pub callers: Callers,
    now: Duration,
    index: BTreeMap<HostId, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: BTreeMap<u64, (usize, PendingEvent)>,
    sequence: u64,
    running_requests: BTreeMap<EndpointId, u32>,
    lost_links: BTreeSet<(usize, usize)>,
    size: FleetSize,
    seed: u64,
}

impl Fleet {
    /// Creates a fleet in which every host starts now.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        Self::with_settings(size, &design::settings(size), seed)
    }

    /// Creates a fleet with the given settings.
    pub fn with_settings(size: FleetSize, settings: &Settings, seed: u64) -> Self {
        let nodes = (0..size.nodes).map(|index| {
            let member = Member {
                host: design::host_id(index),
                incarnation: Incarnation(START_UNIX_US + index as u64),
            };
            SimulatedNode {
                node: Node::new(member.clone(), settings.clone(), seed + index as u64),
                costs: Costs::default(),
                member,
                is_running: true,
                partition: 0,
                last_tick: Duration::ZERO,
                wake_at: Duration::ZERO,
            }
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            callers: Callers::new(size, seed),
            config: ConfigTable::default(),
            now: Duration::ZERO,
            index: (0..size.nodes).map(|n| (design::host_id(n), n)).collect(),
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            running_requests: BTreeMap::new(),
            lost_links: BTreeSet::new(),
            size,
            seed,
        };
        for index in 0..size.nodes {
            fleet.schedule(Duration::ZERO, index, PendingEvent::Wake);
        }
        fleet
    }

    /// Starts the callers' requests.
    pub fn start_callers(&mut self) {
        self.schedule(self.now, 0, PendingEvent::Arrival);
    }

    /// Resets all costs and request counts.
    pub fn reset_costs(&mut self) {
        for node in &mut self.nodes {
            node.costs = Costs::default();
        }
        self.callers.counts = load::RequestCounts::default();
    }

    /// Advances the simulation by `time`.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, id))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            if let Some((node, pending)) = self.pending.remove(&id) {
                self.process(node, pending);
            }
        }
        self.now = end;
    }

    fn process(&mut self, node: usize, pending: PendingEvent) {
        if let PendingEvent::AttemptEnded(_, _, Some(endpoint), _) = &pending {
            *self.running_requests.entry(endpoint.clone()).or_default() -= 1;
        }
        if !self.nodes[node].is_running && !matches!(pending, PendingEvent::Arrival) {
            return;
        }
        match pending {
            PendingEvent::Wake => self.tick_if_due(node),
            PendingEvent::Arrival => self.next_request(),
            PendingEvent::Stream { from, bytes } => {
                let sender = self.nodes[from].member.clone();
                let started_at = Instant::now();
                let message = peer::decode(&bytes, &sender).expect("an encoded message decodes");
                let component = receiving_component(&message);
                let decoding = started_at.elapsed();
                self.nodes[node]
                    .costs
                    .add_received(component, bytes.len(), decoding);
                let from = sender;
                self.handle_event(node, component, NodeEvent::PeerMessage { from, message });
            }
            PendingEvent::Datagram(bytes) => {
                let started_at = Instant::now();
                let message = membership::decode(&bytes).expect("an encoded message decodes");
                let costs = &mut self.nodes[node].costs;
                costs.add_received(Component::Membership, bytes.len(), started_at.elapsed());
                self.handle_event(
                    node,
                    Component::Membership,
                    NodeEvent::MembershipMessage(message),
                );
            }
            PendingEvent::LinkLost(host) => {
                self.lost_links.remove(&(node, self.index[&host]));
                self.handle_event(node, Component::Entry, NodeEvent::PeerMessagesLost { host });
            }
            PendingEvent::Progress(attempt, charged_tokens) => {
                let event = NodeEvent::Progress {
                    attempt,
                    charged_tokens,
                };
                self.handle_event(node, Component::Entry, event);
            }
            PendingEvent::AttemptEnded(key, attempt, _, end) => {
                self.callers.counts.ended += 1;
                let event = NodeEvent::AttemptEnded {
                    key,
                    attempt,
                    end,
                    recorded: None,
                };
                self.handle_event(node, Component::Entry, event);
            }
            PendingEvent::LoadRead(endpoint) => self.load_read(node, endpoint),
            PendingEvent::ConfigRead(event) => {
                self.handle_event(
                    node,
                    Component::Configuration,
                    NodeEvent::ConfigReadEnded(*event),
                );
            }
        }
    }

    fn next_request(&mut self) {
        let (node, arrival) = self.callers.next_arrival(self.now);
        let event = NodeEvent::RequestArrived {
            arrival,
            claim: None,
        };
        // The load balancer sends no requests to a host that is down.
        if self.nodes[node].is_running {
            self.handle_event(node, Component::Entry, event);
        }
        let next = self.now + self.callers.next_interarrival();
        self.schedule(next, 0, PendingEvent::Arrival);
    }

    fn load_read(&mut self, node: usize, endpoint: EndpointId) {
        let load = EndpointLoad {
            running: self.running_requests.get(&endpoint).copied().unwrap_or(0),
            waiting: 0,
            slots: design::SLOTS_PER_ENGINE,
            age: LOAD_READ_DELAY,
            leaving: false,
        };
        let load = self.can_reach_endpoint(node, &endpoint).then_some(load);
        let event = NodeEvent::LoadRead { endpoint, load };
        self.handle_event(node, Component::LoadReports, event);
    }

    /// Sends a router the tick that its core would, unless a later wake-up replaced this one.
    fn tick_if_due(&mut self, node: usize) {
        let simulated = &mut self.nodes[node];
        if simulated.wake_at > self.now {
            return;
        }
        simulated.last_tick = self.now;
        self.handle_event(node, Component::Timers, NodeEvent::Tick);
    }

    fn handle_event(&mut self, node: usize, component: Component, event: NodeEvent) {
        let simulated = &mut self.nodes[node];
        let mut actions = Vec::new();
        let started_at = Instant::now();
        simulated.node.handle(self.now, event, &mut actions);
        let next_wake = simulated.node.next_wake();
        simulated.costs.add_time(component, started_at.elapsed());
        let wake = next_wake.min(simulated.last_tick + MAX_TICK_INTERVAL);
        let wake = wake
            .max(simulated.last_tick + MIN_TICK_INTERVAL)
            .max(self.now);
        if wake != simulated.wake_at {
            simulated.wake_at = wake;
            self.schedule(wake, node, PendingEvent::Wake);
        }
        for action in actions {
            self.perform(node, action);
        }
    }

    fn perform(&mut self, node: usize, action: NodeAction) {
        match action {
            NodeAction::StartAttempt(start) => self.start_attempt(node, &start),
            NodeAction::GiveUp(_) => self.callers.counts.refused += 1,
            NodeAction::Send { to, message } => self.send(node, to.host, &message),
            NodeAction::SendMembership { to, message } => {
                let started_at = Instant::now();
                let bytes = membership::encode(&message);
                let costs = &mut self.nodes[node].costs;
                costs.add_sent(Component::Membership, bytes.len(), started_at.elapsed());
                let target = self.index[&to];
                if self.can_reach(node, target) {
                    self.schedule(self.now + LINK_DELAY, target, PendingEvent::Datagram(bytes));
                }
            }
            NodeAction::ReadLoad { endpoint } => {
                self.nodes[node].costs.load_reads += 1;
                self.schedule(
                    self.now + LOAD_READ_DELAY,
                    node,
                    PendingEvent::LoadRead(endpoint),
                );
            }
            NodeAction::ReadConfig(read) => self.read_config(node, &read),
            NodeAction::SettingsChanged { generation, .. } => self.set_in_force(node, generation),
            _ => {}
        }
    }

    fn send(&mut self, node: usize, to: HostId, message: &PeerMessage) {
        let target = self.index[&to];
        if !self.can_reach(node, target) {
            // As on a real link, one loss is reported however many messages were lost.
            if self.lost_links.insert((node, target)) {
                self.schedule(self.now + LINK_LOSS_DELAY, node, PendingEvent::LinkLost(to));
            }
            return;
        }
        let started_at = Instant::now();
        let bytes = peer::encode(message);
        let costs = &mut self.nodes[node].costs;
        costs.add_sent(
            receiving_component(message).sending_component(),
            bytes.len(),
            started_at.elapsed(),
        );
        let pending = PendingEvent::Stream { from: node, bytes };
        self.schedule(self.now + LINK_DELAY, target, pending);
    }

    fn start_attempt(&mut self, node: usize, start: &StartAttempt) {
        if !self.can_reach_endpoint(node, &start.endpoint) {
            let end = AttemptEnd::Failed {
                failure: AttemptFailure::ConnectFailed,
                sent_tokens: 0,
                charged_tokens: 0,
                head_sent: false,
            };
            let pending = PendingEvent::AttemptEnded(start.key, start.attempt, None, end);
            self.schedule(self.now + CONNECT_TIMEOUT, node, pending);
            return;
        }
        *self
            .running_requests
            .entry(start.endpoint.clone())
            .or_default() += 1;
        let service = self.callers.next_service();
        for (after, charged_tokens) in service.progress() {
            let pending = PendingEvent::Progress(start.attempt, charged_tokens);
            self.schedule(self.now + after, node, pending);
        }
        let Service {
            duration,
            charged_tokens,
            ..
        } = service;
        let end = AttemptEnd::Finished {
            charged_tokens,
            first_byte: load::FIRST_TOKEN_DELAY,
        };
        let endpoint = Some(start.endpoint.clone());
        let pending = PendingEvent::AttemptEnded(start.key, start.attempt, endpoint, end);
        self.schedule(self.now + duration, node, pending);
    }

    fn schedule(&mut self, at: Duration, node: usize, pending: PendingEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.pending.insert(self.sequence, (node, pending));
    }
}

/// Returns the component of the receiver that handles a message.
fn receiving_component(message: &PeerMessage) -> Component {
    match message {
        PeerMessage::Report(_) => Component::Home,
        PeerMessage::Config(_) => Component::Configuration,
        PeerMessage::Grant(_) | PeerMessage::FullReportWanted { .. } | PeerMessage::Poison(_) => {
            Component::Entry
        }
    }
}
