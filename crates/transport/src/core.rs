//! The core thread: feeds events to the router's decisions and carries out their actions.

mod actions;

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use metrics::counter;

use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::entry_events::Arrival;
use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptKey;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::membership::ListedHost;
use sedgeridge_coordination::membership::Message;
use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_coordination::node::PeerMessage;
use sedgeridge_coordination::node_claims::ClaimKey;
use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_coordination::slot_budget::EndpointLoad;
use sedgeridge_coordination::store_call::StoreEvent;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::ConfigurationSource;
use sedgeridge_state::settings::millis;

use crate::answer::AnswerPart;
use crate::answer::AnswerSender;
use crate::answer::GivenUp;
use crate::call::Call;
use crate::clock::unix_ms;
use crate::config_reads::ConfigReads;
use crate::directory::Directory;
use crate::directory::SharedDirectory;
use crate::endpoint_call::EndedCall;
use crate::endpoint_call::EndpointClients;
use crate::endpoint_workers::EndpointWorkers;
use crate::endpoint_workers::WorkerId;
use crate::event_log::LogEvent;
use crate::event_log::log_info;
use crate::host_list_reads::start_host_list_reads;
use crate::load_reads::LoadReads;
use crate::peers::PeerSender;
use crate::router_pages::Phase;
use crate::router_pages::RouterPublisher;
use crate::status::StatusBoard;
use crate::table_calls::CALLERS;
use crate::table_calls::TableCalls;
use crate::table_calls::TableClient;

/// Events that may wait for the core; a full ring refuses new requests.
pub const CORE_RING_LEN: usize = 8_192;
/// Longest time between two ticks.
const MAX_TICK: Duration = Duration::from_millis(20);
/// Shortest time between two ticks, so that a late timer cannot keep the thread busy.
const MIN_TICK: Duration = Duration::from_millis(1);
/// When to come back to a router that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a stopping router waits for the records of what ran.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(5);
/// Time between two updates of the operator pages.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// A request that the front accepted.
#[derive(Debug)]
pub struct NewRequest {
    /// For the decisions.
    pub arrival: Arrival,
    /// For the endpoint.
    pub call: Call,
    /// Its key, if it may not be repeated.
    pub claim: Option<ClaimKey>,
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
    /// The platform's list of hosts was read.
    HostList(Vec<ListedHost>),
    /// A worker finished an attempt.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        ended: EndedCall,
        /// The worker, idle now.
        worker: WorkerId,
    },
    /// A call of the table service ended.
    StoreEnded(StoreEvent),
    /// A read of the configuration ended.
    ConfigRead(ConfigEvent<ConfigContent>),
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
    /// Another router sent a membership message.
    Membership(Box<Message>),
    /// An attempt has received this much service so far.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// Service received.
        charged_tokens: u64,
    },
    /// An endpoint's load report was read, or could not be.
    LoadRead {
        /// The endpoint.
        endpoint: EndpointId,
        /// The report.
        load: Option<EndpointLoad>,
    },
    /// An operator drains an endpoint.
    DrainEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
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
    shared_directory: SharedDirectory,
    workers: EndpointWorkers,
    pending: BTreeMap<RequestKey, Pending>,
    running: BTreeMap<AttemptKey, RequestKey>,
    peers: PeerSender,
    load_reads: LoadReads,
    table: TableCalls,
    config_reads: ConfigReads,
    publisher: RouterPublisher,
    ready: bool,
    stopping: bool,
    answered_at: Option<Duration>,
}

impl<C: Clock> Core<C> {
    /// Creates the core of one router run.
    pub fn new(
        clock: C,
        member: Member,
        shared_directory: SharedDirectory,
        inputs: SyncSender<CoreInput>,
        peers: PeerSender,
        status: StatusBoard,
    ) -> io::Result<Self> {
        let directory = shared_directory.current();
        let clients = EndpointClients::new(&directory.settings.health);
        let load_reads = LoadReads::start(&inputs, |endpoint, load| CoreInput::LoadRead {
            endpoint,
            load,
        })?;
        let platform = &directory.settings.platform;
        let call_timeout = millis(platform.call_timeout_ms);
        let client = TableClient::new(platform.table_address, call_timeout);
        let table = TableCalls::start(&client, CALLERS, &inputs, CoreInput::StoreEnded)?;
        let config_reads = ConfigReads::start(&client, &inputs, CoreInput::ConfigRead)?;
        if let Some(address) = platform.host_list_address {
            start_host_list_reads(address, call_timeout, &inputs, CoreInput::HostList)?;
        }
        let publisher = RouterPublisher::new(member.clone(), status);
        let seed = member.incarnation.0;
        Ok(Self {
            clock,
            node: Node::new(member.clone(), directory.settings.clone(), seed),
            member,
            ready: platform.configuration == ConfigurationSource::Files,
            directory: Arc::clone(&directory),
            shared_directory,
            workers: EndpointWorkers::new(clients, inputs),
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            peers,
            load_reads,
            table,
            config_reads,
            publisher,
            stopping: false,
            answered_at: None,
        })
    }

    /// Runs until it was told to stop and every request has its answer.
    pub fn run(mut self, inputs: &Receiver<CoreInput>) {
        let mut next_publish = Duration::ZERO;
        let mut last_tick = Duration::ZERO;
        loop {
            let wake = self.node.next_wake().min(last_tick + MAX_TICK);
            let wake = wake.max(last_tick + MIN_TICK);
            match inputs.recv_timeout(wake.saturating_sub(self.clock.now())) {
                Ok(input) => self.input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if now >= wake {
                last_tick = now;
                self.event(NodeEvent::Tick);
            }
            if now >= next_publish {
                next_publish = now + PUBLISH_INTERVAL;
                self.publish();
            }
            if self.has_finished(now) {
                self.publish();
                return;
            }
        }
    }

    /// Tells whether a stopping router may end: every caller has its answer, and every outcome that
    /// a repeat would ask for is on record. A table that is down does not hold the stop up for
    /// ever; a repeat of a request without a record is answered as unknown.
    fn has_finished(&mut self, now: Duration) -> bool {
        if !self.stopping || !self.pending.is_empty() {
            return false;
        }
        let answered_at = *self.answered_at.get_or_insert(now);
        self.node.has_recorded_outcomes() || now >= answered_at + MAX_RECORD_WAIT
    }

    fn input(&mut self, input: CoreInput) {
        match input {
            CoreInput::Arrived(new) => {
                let NewRequest {
                    arrival,
                    call,
                    claim,
                    answer,
                } = *new;
                if !self.ready {
                    let not_ready = GivenUp {
                        reason: RefusalReason::NotReady,
                        outcome: Outcome::NotRun,
                        retry_after: Some(NOT_READY_RETRY_AFTER),
                        detail: "no configuration is in force here yet".to_owned(),
                    };
                    count_refusal(arrival.key, &not_ready);
                    let _ = answer.try_send(AnswerPart::GivenUp(not_ready));
                    return;
                }
                let pending = Pending {
                    call,
                    answer,
                    deadline: arrival.deadline,
                };
                self.pending.insert(arrival.key, pending);
                self.event(NodeEvent::RequestArrived { arrival, claim });
            }
            CoreInput::CallerGone { key } => {
                if !self.running.values().any(|running| *running == key) {
                    self.pending.remove(&key);
                    self.event(NodeEvent::CallerGone { key });
                }
            }
            CoreInput::AttemptEnded {
                attempt,
                ended,
                worker,
            } => {
                self.workers.idle(worker);
                self.attempt_ended(attempt, ended);
            }
            CoreInput::StoreEnded(event) => self.event(NodeEvent::StoreCallEnded(event)),
            CoreInput::ConfigRead(event) => self.event(NodeEvent::ConfigReadEnded(event)),
            CoreInput::Peer { from, message } => {
                self.event(NodeEvent::PeerMessage { from, message })
            }
            CoreInput::PeerReset { host } => self.event(NodeEvent::PeerMessagesLost { host }),
            CoreInput::Membership(message) => self.event(NodeEvent::MembershipMessage(*message)),
            CoreInput::Progress {
                attempt,
                charged_tokens,
            } => self.event(NodeEvent::Progress {
                attempt,
                charged_tokens,
            }),
            CoreInput::LoadRead { endpoint, load } => {
                self.load_reads.ended(&endpoint);
                self.event(NodeEvent::LoadRead { endpoint, load });
            }
            CoreInput::HostList(hosts) => self.event(NodeEvent::HostList(hosts)),
            CoreInput::DrainEndpoint { endpoint } => self.event(NodeEvent::DrainEndpoint {
                endpoint,
                since_unix_ms: unix_ms(),
            }),
            CoreInput::Stop => {
                self.stopping = true;
                log_info(
                    LogEvent::StopRequested,
                    format_args!("in_hand={}", self.pending.len()),
                );
                self.event(NodeEvent::StopRequested);
                self.publish();
            }
        }
    }

    fn attempt_ended(&mut self, attempt: AttemptKey, ended: EndedCall) {
        let Some(key) = self.running.remove(&attempt) else {
            return;
        };
        let EndedCall { end, recorded } = ended;
        if matches!(
            end,
            AttemptEnd::Finished { .. } | AttemptEnd::CallerGone { .. }
        ) {
            self.pending.remove(&key);
        }
        self.event(NodeEvent::AttemptEnded {
            key,
            attempt,
            end,
            recorded,
        });
    }

    fn event(&mut self, event: NodeEvent) {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn publish(&mut self) {
        let phase = Phase {
            ready: self.ready,
            stopping: self.stopping,
        };
        let settings = &self.directory.settings;
        let now = self.clock.now();
        self.publisher.publish(now, &self.node, settings, phase);
    }
}

fn count_refusal(key: RequestKey, given_up: &GivenUp) {
    let reason = given_up.reason.as_str();
    counter!("sedgeridge_refusals_total", "reason" => reason).increment(1);
    let outcome = given_up.outcome.as_str();
    log_info(
        LogEvent::RequestGivenUp,
        format_args!("request={} reason={reason} outcome={outcome}", key.0),
    );
}
