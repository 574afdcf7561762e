//! The core thread of a router: feeds events to its [`Node`] and executes the actions that the node returns.

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
use crate::answer::Refusal;
use crate::call::Call;
use crate::clock::unix_ms;
use crate::config_reads::ConfigReads;
use crate::directory::Directory;
use crate::directory::SharedDirectory;
use crate::endpoint_call::AttemptResult;
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
use crate::status::SharedStatus;
use crate::table_calls::CALL_THREADS;
use crate::table_calls::TableCalls;
use crate::table_calls::TableClient;

/// Capacity of the channel to the core thread; when it is full, new requests are refused.
pub const CORE_CHANNEL_LEN: usize = 8_192;
/// Longest time between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time between two ticks, so that an overdue timer cannot keep the thread busy.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// `Retry-After` of a router that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a stopping router waits until the outcomes of requests are stored.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(5);
/// Time between two updates of the operator pages.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// A request that the front accepted.
#[derive(Debug)]
pub struct NewRequest {
    /// Input of the scheduling decisions.
    pub arrival: Arrival,
    /// Request to send to the endpoint.
    pub call: Call,
    /// Idempotency claim of a non-repeatable request.
    pub claim: Option<ClaimKey>,
    /// Channel to the caller.
    pub answer: AnswerSender,
}

/// Input of the core thread.
#[derive(Debug)]
pub enum CoreInput {
    /// A caller sent a request.
    RequestArrived(Box<NewRequest>),
    /// The caller of a request disconnected before its answer began.
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
        /// Its result.
        result: AttemptResult,
        /// The worker, which is idle now.
        worker: WorkerId,
    },
    /// A call to the table service ended.
    StoreCallEnded(StoreEvent),
    /// A read of the configuration ended.
    ConfigReadEnded(ConfigEvent<ConfigContent>),
    /// Another router sent a message.
    PeerMessage {
        /// The sender.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Messages to another router were lost, so its state must be sent again in full.
    PeerReset {
        /// The other router.
        host: HostId,
    },
    /// Another router sent a membership message.
    Membership(Box<Message>),
    /// Progress report of a running attempt.
    Progress {
        /// The attempt.
        attempt: AttemptKey,
        /// Tokens charged so far.
        charged_tokens: u64,
    },
    /// A read of an endpoint's load report ended.
    LoadReadEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// The report; `None` if it could not be read.
        load: Option<EndpointLoad>,
    },
    /// An operator or the coordinator requests a drain of an endpoint.
    DrainEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The process was told to stop.
    Stop,
}

/// A request without a final answer.
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
    running_attempts: BTreeMap<AttemptKey, RequestKey>,
    peers: PeerSender,
    load_reads: LoadReads,
    table: TableCalls,
    config_reads: ConfigReads,
    publisher: RouterPublisher,
    ready: bool,
    stopping: bool,
    all_answered_at: Option<Duration>,
}

impl<C: Clock> Core<C> {
    /// Creates the core of one router run.
    pub fn new(
        clock: C,
        member: Member,
        shared_directory: SharedDirectory,
        inputs: SyncSender<CoreInput>,
        peers: PeerSender,
        status: SharedStatus,
    ) -> io::Result<Self> {
        let directory = shared_directory.current();
        let clients = EndpointClients::new(&directory.settings.health);
        let load_reads = LoadReads::start(&inputs, |endpoint, load| CoreInput::LoadReadEnded {
            endpoint,
            load,
        })?;
        let platform = &directory.settings.platform;
        let call_timeout = millis(platform.call_timeout_ms);
        let client = TableClient::new(platform.table_address, call_timeout);
        let table = TableCalls::start(&client, CALL_THREADS, &inputs, CoreInput::StoreCallEnded)?;
        let config_reads = ConfigReads::start(&client, &inputs, CoreInput::ConfigReadEnded)?;
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
            running_attempts: BTreeMap::new(),
            peers,
            load_reads,
            table,
            config_reads,
            publisher,
            stopping: false,
            all_answered_at: None,
        })
    }

    /// Runs until a stop was requested and every request has its final answer.
    pub fn run(mut self, inputs: &Receiver<CoreInput>) {
        let mut next_publish = Duration::ZERO;
        let mut last_tick = Duration::ZERO;
        loop {
            let wake = self.node.next_wake().min(last_tick + MAX_TICK_INTERVAL);
            let wake = wake.max(last_tick + MIN_TICK_INTERVAL);
            match inputs.recv_timeout(wake.saturating_sub(self.clock.now())) {
                Ok(input) => self.on_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if now >= wake {
                last_tick = now;
                self.on_event(NodeEvent::Tick);
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

    /// Returns whether a stopping router may exit: every caller has its answer, and every outcome that
    /// a repeat of a request would ask for is stored. An outage of the table service delays the exit
    /// by [`MAX_RECORD_WAIT`] at most; a repeat of a request without a record is answered as unknown.
    fn has_finished(&mut self, now: Duration) -> bool {
        if !self.stopping || !self.pending.is_empty() {
            return false;
        }
        let all_answered_at = *self.all_answered_at.get_or_insert(now);
        self.node.has_recorded_outcomes() || now >= all_answered_at + MAX_RECORD_WAIT
    }

    fn on_input(&mut self, input: CoreInput) {
        match input {
            CoreInput::RequestArrived(new) => {
                let NewRequest {
                    arrival,
                    call,
                    claim,
                    answer,
                } = *new;
                if !self.ready {
                    let not_ready = Refusal {
                        reason: RefusalReason::NotReady,
                        outcome: Outcome::NotRun,
                        retry_after: Some(NOT_READY_RETRY_AFTER),
                        detail: "this router has not loaded a configuration yet".to_owned(),
                    };
                    report_refusal(arrival.key, &not_ready);
                    let _ = answer.try_send(AnswerPart::Refusal(not_ready));
                    return;
                }
                let pending = Pending {
                    call,
                    answer,
                    deadline: arrival.deadline,
                };
                self.pending.insert(arrival.key, pending);
                self.on_event(NodeEvent::RequestArrived { arrival, claim });
            }
            CoreInput::CallerGone { key } => {
                if !self
                    .running_attempts
                    .values()
                    .any(|running| *running == key)
                {
                    self.pending.remove(&key);
                    self.on_event(NodeEvent::CallerGone { key });
                }
            }
            CoreInput::AttemptEnded {
                attempt,
                result,
                worker,
            } => {
                self.workers.release(worker);
                self.end_attempt(attempt, result);
            }
            CoreInput::StoreCallEnded(event) => self.on_event(NodeEvent::StoreCallEnded(event)),
            CoreInput::ConfigReadEnded(event) => self.on_event(NodeEvent::ConfigReadEnded(event)),
            CoreInput::PeerMessage { from, message } => {
                self.on_event(NodeEvent::PeerMessage { from, message });
            }
            CoreInput::PeerReset { host } => self.on_event(NodeEvent::PeerMessagesLost { host }),
            CoreInput::Membership(message) => self.on_event(NodeEvent::MembershipMessage(*message)),
            CoreInput::Progress {
                attempt,
                charged_tokens,
            } => self.on_event(NodeEvent::Progress {
                attempt,
                charged_tokens,
            }),
            CoreInput::LoadReadEnded { endpoint, load } => {
                self.load_reads.read_ended(&endpoint);
                self.on_event(NodeEvent::LoadRead { endpoint, load });
            }
            CoreInput::HostList(hosts) => self.on_event(NodeEvent::HostList(hosts)),
            CoreInput::DrainEndpoint { endpoint } => self.on_event(NodeEvent::DrainEndpoint {
                endpoint,
                since_unix_ms: unix_ms(),
            }),
            CoreInput::Stop => {
                self.stopping = true;
                log_info(
                    LogEvent::StopRequested,
                    format_args!("in_hand={}", self.pending.len()),
                );
                self.on_event(NodeEvent::StopRequested);
                self.publish();
            }
        }
    }

    fn end_attempt(&mut self, attempt: AttemptKey, result: AttemptResult) {
        let Some(key) = self.running_attempts.remove(&attempt) else {
            return;
        };
        let AttemptResult { end, recorded } = result;
        if matches!(
            end,
            AttemptEnd::Finished { .. } | AttemptEnd::CallerGone { .. }
        ) {
            self.pending.remove(&key);
        }
        self.on_event(NodeEvent::AttemptEnded {
            key,
            attempt,
            end,
            recorded,
        });
    }

    fn on_event(&mut self, event: NodeEvent) {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
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

fn report_refusal(key: RequestKey, refusal: &Refusal) {
    let reason = refusal.reason.as_str();
    counter!("sedgeridge_refusals_total", "reason" => reason).increment(1);
    let outcome = refusal.outcome.as_str();
    log_info(
        LogEvent::RequestGivenUp,
        format_args!("request={} reason={reason} outcome={outcome}", key.0),
    );
}
