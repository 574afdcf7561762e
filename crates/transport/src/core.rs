//! The core thread: feeds events to the router's decisions and carries out their actions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use metrics::counter;

use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::entry::Arrival;
use sedgeridge_coordination::entry::AttemptEnd;
use sedgeridge_coordination::entry::AttemptKey;
use sedgeridge_coordination::entry::EntryAction;
use sedgeridge_coordination::entry::EntryEvent;
use sedgeridge_coordination::entry::RequestKey;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeAction;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_protocol::peer::encode;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;

use crate::answer::AnswerPart;
use crate::answer::AnswerSender;
use crate::answer::GivenUp;
use crate::call::Call;
use crate::directory::Directory;
use crate::endpoint_call::AttemptOrder;
use crate::endpoint_call::EndpointClients;
use crate::endpoint_workers::EndpointWorkers;
use crate::endpoint_workers::WorkerId;
use crate::event_log::LogEvent;
use crate::event_log::log_info;
use crate::peers::PeerOut;
use crate::peers::PeerPayload;
use crate::peers::PeerSender;
use crate::status::RouterStatus;
use crate::status::StatusBoard;

/// Events that may wait for the core; a full ring refuses new requests.
pub const CORE_RING_LEN: usize = 8_192;
/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// A request that the front accepted.
#[derive(Debug)]
pub struct NewRequest {
    /// For the decisions.
    pub arrival: Arrival,
    /// For the endpoint.
    pub call: Call,
    /// Where the answer goes.
    pub answer: AnswerSender,
}

/// What the core thread is told.
#[derive(Debug)]
pub enum CoreInput {
    /// A caller sent a request.
    Arrived(Box<NewRequest>),
    /// The caller of a request went away before its answer began.
    CallerGone {
        /// The request.
        key: RequestKey,
    },
    /// A worker finished an attempt.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
        /// The worker, idle now.
        worker: WorkerId,
    },
    /// Another router sent a message.
    Peer {
        /// The sender.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Messages to another router were lost.
    PeerReset {
        /// The other router.
        host: HostId,
    },
    /// Another router sent a datagram.
    Datagram {
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The process was told to stop.
    Stop,
}

/// A request that the core has in hand.
#[derive(Debug)]
struct Pending {
    call: Call,
    answer: AnswerSender,
    deadline: Duration,
}

/// State of the core thread.
#[derive(Debug)]
pub struct Core<C> {
    clock: C,
    member: Member,
    node: Node,
    directory: Arc<Directory>,
    workers: EndpointWorkers,
    pending: BTreeMap<RequestKey, Pending>,
    running: BTreeMap<AttemptKey, RequestKey>,
    peers: PeerSender,
    status: StatusBoard,
    stopping: bool,
}

impl<C: Clock> Core<C> {
    /// Creates the core of one router run.
    pub fn new(
        clock: C,
        member: Member,
        directory: Arc<Directory>,
        inputs: SyncSender<CoreInput>,
        peers: PeerSender,
        status: StatusBoard,
    ) -> Self {
        let clients = EndpointClients::new(&directory.settings.health);
        Self {
            clock,
            node: Node::new(member.clone(), directory.settings.clone()),
            member,
            directory,
            workers: EndpointWorkers::new(clients, inputs),
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            peers,
            status,
            stopping: false,
        }
    }

    /// Runs until it was told to stop and every request has its answer.
    pub fn run(mut self, inputs: &Receiver<CoreInput>) {
        let mut next_tick = self.clock.now() + TICK;
        loop {
            let wait = next_tick.saturating_sub(self.clock.now());
            match inputs.recv_timeout(wait) {
                Ok(input) => self.input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.clock.now() >= next_tick {
                next_tick = self.clock.now() + TICK;
                self.event(NodeEvent::Tick);
                self.publish();
            }
            if self.stopping && self.pending.is_empty() {
                self.publish();
                return;
            }
        }
    }

    fn input(&mut self, input: CoreInput) {
        match input {
            CoreInput::Arrived(new) => {
                let NewRequest {
                    arrival,
                    call,
                    answer,
                } = *new;
                let pending = Pending {
                    call,
                    answer,
                    deadline: arrival.deadline,
                };
                self.pending.insert(arrival.key, pending);
                self.event(NodeEvent::Entry(EntryEvent::Arrived(arrival)));
            }
            CoreInput::CallerGone { key } => {
                if !self.running.values().any(|running| *running == key) {
                    self.pending.remove(&key);
                    self.event(NodeEvent::Entry(EntryEvent::CallerGone { key }));
                }
            }
            CoreInput::AttemptEnded {
                attempt,
                end,
                worker,
            } => {
                self.workers.idle(worker);
                self.attempt_ended(attempt, end);
            }
            CoreInput::Peer { from, message } => self.event(NodeEvent::Peer { from, message }),
            CoreInput::PeerReset { host } => self.event(NodeEvent::PeerReset { host }),
            CoreInput::Datagram { bytes: _ } => {}
            CoreInput::Stop => {
                self.stopping = true;
                log_info(
                    LogEvent::StopRequested,
                    format_args!("in_hand={}", self.pending.len()),
                );
                self.event(NodeEvent::Entry(EntryEvent::StopRequested));
                self.publish();
            }
        }
    }

    fn attempt_ended(&mut self, attempt: AttemptKey, end: AttemptEnd) {
        let key = self.running.remove(&attempt);
        if let (Some(key), AttemptEnd::Finished { .. } | AttemptEnd::CallerGone { .. }) = (key, end)
        {
            self.pending.remove(&key);
        }
        self.event(NodeEvent::Entry(EntryEvent::AttemptEnded { attempt, end }));
    }

    fn event(&mut self, event: NodeEvent) {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: NodeAction) {
        match action {
            NodeAction::Entry(EntryAction::Start {
                key,
                attempt,
                endpoint,
                resume_after_tokens,
            }) => self.start(key, attempt, &endpoint, resume_after_tokens),
            NodeAction::Entry(EntryAction::GiveUp {
                key,
                reason,
                outcome,
                retry_after,
            }) => {
                let given_up = GivenUp {
                    reason,
                    outcome,
                    retry_after,
                    detail: String::new(),
                };
                self.give_up(key, given_up);
            }
            NodeAction::Entry(EntryAction::Retried { key, reason }) => {
                counter!("sedgeridge_retries_total", "reason" => reason.as_str()).increment(1);
                let fields = format_args!("request={} reason={}", key.0, reason.as_str());
                log_info(LogEvent::RequestRetried, fields);
            }
            NodeAction::Entry(EntryAction::Report { .. }) => {}
            NodeAction::Send { to, message } => self.send(to, &message),
        }
    }

    fn start(
        &mut self,
        key: RequestKey,
        attempt: AttemptKey,
        endpoint: &EndpointId,
        resume_after_tokens: u64,
    ) {
        self.running.insert(attempt, key);
        let order = self.order(key, attempt, endpoint, resume_after_tokens);
        let started = order.is_some_and(|order| self.workers.start(attempt, order).is_ok());
        if !started {
            self.attempt_ended(attempt, AttemptEnd::NotStarted);
        }
    }

    fn order(
        &self,
        key: RequestKey,
        attempt: AttemptKey,
        endpoint: &EndpointId,
        resume_after_tokens: u64,
    ) -> Option<AttemptOrder> {
        let pending = self.pending.get(&key)?;
        let endpoint = self.directory.endpoint(endpoint)?;
        let attempt_id = AttemptId {
            member: self.member.clone(),
            sequence: attempt.0,
        };
        Some(AttemptOrder {
            call: pending.call.clone(),
            address: endpoint.address,
            attempt_id: attempt_id.to_string(),
            resume_after_tokens,
            time_left: pending.deadline.saturating_sub(self.clock.now()),
            output_token_factor: self.directory.settings.fair.output_token_factor.into(),
            answer: pending.answer.clone(),
        })
    }

    fn give_up(&mut self, key: RequestKey, given_up: GivenUp) {
        let reason = given_up.reason.as_str();
        counter!("sedgeridge_refusals_total", "reason" => reason).increment(1);
        log_info(
            LogEvent::RequestGivenUp,
            format_args!(
                "request={} reason={reason} outcome={}",
                key.0,
                given_up.outcome.as_str()
            ),
        );
        if let Some(pending) = self.pending.remove(&key) {
            // A ring that is full belongs to a caller who stopped reading in the middle of a
            // stream; dropping the sender ends the stream without its end mark.
            let _ = pending.answer.try_send(AnswerPart::GivenUp(given_up));
        }
    }

    fn send(&mut self, to: Member, message: &PeerMessage) {
        let out = PeerOut {
            to: to.host.clone(),
            payload: PeerPayload::Stream(encode(message)),
        };
        if self.peers.try_send(out).is_err() {
            counter!("sedgeridge_peer_drops_total", "reason" => "ring_full").increment(1);
            self.event(NodeEvent::PeerReset { host: to.host });
        }
    }

    fn publish(&self) {
        let load = self.node.load();
        self.status.publish(RouterStatus {
            host: self.member.host.as_str().to_owned(),
            incarnation: self.member.incarnation.0,
            ready: !self.stopping,
            stopping: self.stopping,
            waiting: load.waiting,
            running: load.running as u64,
        });
    }
}
