//! A whole fleet in one thread on simulated time: the routers' real decisions and codecs, with
//! links, endpoints and callers that are made up.

pub mod costs;
pub mod load;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptKey;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::entry_events::StartAttempt;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeAction;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::slot_budget::Load;
use sedgeridge_protocol::membership;
use sedgeridge_protocol::peer;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

use crate::design;
use crate::design::FleetSize;
use crate::fleet::costs::Costs;
use crate::fleet::costs::Work;
use crate::fleet::load::Callers;
use crate::fleet::load::Service;

/// Microseconds since the epoch at which every host starts.
const START_UNIX_US: u64 = 1_800_000_000_000_000;
/// Least time between two ticks of a router, as in its core.
const MIN_TICK: Duration = Duration::from_millis(1);
/// Most time between two ticks of a router, as in its core.
const MAX_TICK: Duration = Duration::from_millis(20);
/// Time a message is under way.
const LINK_DELAY: Duration = Duration::from_micros(500);
/// Time a load report is under way.
const LOAD_READ_DELAY: Duration = Duration::from_millis(2);

/// What happens to a router next.
#[derive(Debug)]
enum Due {
    Wake,
    Stream { from: usize, bytes: Vec<u8> },
    Datagram(Vec<u8>),
    Arrival,
    Progress(AttemptKey, u64),
    Ended(RequestKey, AttemptKey, EndpointId, AttemptEnd),
    LoadRead(EndpointId),
}

/// One router and what it cost.
#[derive(Debug)]
pub struct SimulatedNode {
    /// Its decisions.
    pub node: Node,
    /// What they cost since the last [`Fleet::reset_costs`].
    pub costs: Costs,
    member: Member,
    last_tick: Duration,
    wake_at: Duration,
}

/// Routers, the links between them, their endpoints and their callers.
#[derive(Debug)]
pub struct Fleet {
    /// The routers.
    pub nodes: Vec<SimulatedNode>,
    /// Requests that came and ended since the last [`Self::reset_costs`].
    pub callers: Callers,
    now: Duration,
    index: BTreeMap<HostId, usize>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    due: BTreeMap<u64, (usize, Due)>,
    sequence: u64,
    running: BTreeMap<EndpointId, u32>,
}

impl Fleet {
    /// Creates a fleet in which every host starts now.
    pub fn new(size: FleetSize, seed: u64) -> Self {
        let settings = design::settings(size);
        let nodes = (0..size.nodes).map(|index| {
            let member = Member {
                host: design::host_id(index),
                incarnation: Incarnation(START_UNIX_US + index as u64),
            };
            SimulatedNode {
                node: Node::new(member.clone(), settings.clone(), seed + index as u64),
                costs: Costs::default(),
                member,
                last_tick: Duration::ZERO,
                wake_at: Duration::ZERO,
            }
        });
        let mut fleet = Self {
            nodes: nodes.collect(),
            callers: Callers::new(size, seed),
            now: Duration::ZERO,
            index: (0..size.nodes).map(|n| (design::host_id(n), n)).collect(),
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            running: BTreeMap::new(),
        };
        for index in 0..size.nodes {
            fleet.schedule(Duration::ZERO, index, Due::Wake);
        }
        fleet
    }

    /// Lets callers send from now on.
    pub fn open(&mut self) {
        self.schedule(self.now, 0, Due::Arrival);
    }

    /// Forgets what was counted so far.
    pub fn reset_costs(&mut self) {
        for node in &mut self.nodes {
            node.costs = Costs::default();
        }
        self.callers.counts = load::Counts::default();
    }

    /// Runs for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, id))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            if let Some((node, due)) = self.due.remove(&id) {
                self.step(node, due);
            }
        }
        self.now = end;
    }

    fn step(&mut self, node: usize, due: Due) {
        match due {
            Due::Wake => self.wake(node),
            Due::Arrival => self.arrival(),
            Due::Stream { from, bytes } => {
                let sender = self.nodes[from].member.clone();
                let begin = Instant::now();
                let message = peer::decode(&bytes, &sender).expect("routers send what they read");
                let work = work_of(&message);
                let decoding = begin.elapsed();
                self.nodes[node].costs.received(work, bytes.len(), decoding);
                let from = sender;
                self.event(node, work, NodeEvent::Peer { from, message });
            }
            Due::Datagram(bytes) => {
                let begin = Instant::now();
                let message = membership::decode(&bytes).expect("routers send what they read");
                let costs = &mut self.nodes[node].costs;
                costs.received(Work::Membership, bytes.len(), begin.elapsed());
                self.event(node, Work::Membership, NodeEvent::Membership(message));
            }
            Due::Progress(attempt, charged_tokens) => {
                let event = NodeEvent::Progress {
                    attempt,
                    charged_tokens,
                };
                self.event(node, Work::Entry, event);
            }
            Due::Ended(key, attempt, endpoint, end) => {
                *self.running.entry(endpoint).or_default() -= 1;
                self.callers.counts.ended += 1;
                let event = NodeEvent::AttemptEnded {
                    key,
                    attempt,
                    end,
                    recorded: None,
                };
                self.event(node, Work::Entry, event);
            }
            Due::LoadRead(endpoint) => self.load_read(node, endpoint),
        }
    }

    fn arrival(&mut self) {
        let (node, arrival) = self.callers.next(self.now);
        let event = NodeEvent::Arrived {
            arrival,
            claim: None,
        };
        self.event(node, Work::Entry, event);
        let next = self.now + self.callers.pause();
        self.schedule(next, 0, Due::Arrival);
    }

    fn load_read(&mut self, node: usize, endpoint: EndpointId) {
        let load = Load {
            running: self.running.get(&endpoint).copied().unwrap_or(0),
            waiting: 0,
            slots: design::SLOTS,
            age: LOAD_READ_DELAY,
            leaving: false,
        };
        let event = NodeEvent::LoadRead {
            endpoint,
            load: Some(load),
        };
        self.event(node, Work::LoadReports, event);
    }

    /// Lets a router look at its timers as its core does.
    fn wake(&mut self, node: usize) {
        let simulated = &mut self.nodes[node];
        if simulated.wake_at > self.now {
            return;
        }
        simulated.last_tick = self.now;
        self.event(node, Work::Timers, NodeEvent::Tick);
    }

    fn event(&mut self, node: usize, work: Work, event: NodeEvent) {
        let simulated = &mut self.nodes[node];
        let mut actions = Vec::new();
        let begin = Instant::now();
        simulated.node.handle(self.now, event, &mut actions);
        let next_wake = simulated.node.next_wake();
        simulated.costs.handled(work, begin.elapsed());
        let wake = next_wake.min(simulated.last_tick + MAX_TICK);
        let wake = wake.max(simulated.last_tick + MIN_TICK).max(self.now);
        if wake != simulated.wake_at {
            simulated.wake_at = wake;
            self.schedule(wake, node, Due::Wake);
        }
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: NodeAction) {
        match action {
            NodeAction::Start(start) => self.start(node, &start),
            NodeAction::GiveUp(_) => self.callers.counts.refused += 1,
            NodeAction::Send { to, message } => {
                let begin = Instant::now();
                let bytes = peer::encode(&message);
                let costs = &mut self.nodes[node].costs;
                costs.sent(work_of(&message).sender(), bytes.len(), begin.elapsed());
                let target = self.index[&to.host];
                let due = Due::Stream { from: node, bytes };
                self.schedule(self.now + LINK_DELAY, target, due);
            }
            NodeAction::SendMembership { to, message } => {
                let begin = Instant::now();
                let bytes = membership::encode(&message);
                let costs = &mut self.nodes[node].costs;
                costs.sent(Work::Membership, bytes.len(), begin.elapsed());
                let target = self.index[&to];
                self.schedule(self.now + LINK_DELAY, target, Due::Datagram(bytes));
            }
            NodeAction::ReadLoad { endpoint } => {
                self.nodes[node].costs.load_reads += 1;
                self.schedule(self.now + LOAD_READ_DELAY, node, Due::LoadRead(endpoint));
            }
            _ => {}
        }
    }

    fn start(&mut self, node: usize, start: &StartAttempt) {
        *self.running.entry(start.endpoint.clone()).or_default() += 1;
        let service = self.callers.service();
        for (after, charged_tokens) in service.progress() {
            let due = Due::Progress(start.attempt, charged_tokens);
            self.schedule(self.now + after, node, due);
        }
        let Service {
            duration,
            charged_tokens,
            ..
        } = service;
        let end = AttemptEnd::Finished {
            charged_tokens,
            first_byte: load::FIRST_TOKEN,
        };
        let due = Due::Ended(start.key, start.attempt, start.endpoint.clone(), end);
        self.schedule(self.now + duration, node, due);
    }

    fn schedule(&mut self, at: Duration, node: usize, due: Due) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.due.insert(self.sequence, (node, due));
    }
}

/// Returns which part of the receiver a message is for.
fn work_of(message: &PeerMessage) -> Work {
    match message {
        PeerMessage::Report(_) => Work::Home,
        PeerMessage::Config(_) => Work::Configuration,
        PeerMessage::Grant(_) | PeerMessage::FullReportWanted { .. } | PeerMessage::Poison(_) => {
            Work::Entry
        }
    }
}
