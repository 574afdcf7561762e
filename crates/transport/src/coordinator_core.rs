//! The core thread of a coordinator: feeds events to its [`Coordinator`] and executes the actions that it returns.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use metrics::counter;
use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::coordinator::Coordinator;
use sedgeridge_coordination::coordinator_events::CoordinatorAction;
use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_coordination::coordinator_events::CoordinatorPart;
use sedgeridge_coordination::coordinator_events::CoordinatorSettings;
use sedgeridge_coordination::store_call::StoreEvent;
use sedgeridge_protocol::coordinator::CoordinatorStatus;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::settings::millis;

use crate::clock::unix_ms;
use crate::config_reads::ConfigReads;
use crate::coordinator_calls::CoordinatorCall;
use crate::coordinator_calls::CoordinatorCalls;
use crate::coordinator_status::publish;
use crate::directory::Directory;
use crate::event_log::LogEvent;
use crate::event_log::log_info;
use crate::event_log::log_warn;
use crate::load_reads::LoadReads;
use crate::status::SharedStatus;
use crate::table_calls::CALL_THREADS;
use crate::table_calls::TableCalls;
use crate::table_calls::TableClient;

/// Capacity of the channel to the core thread.
pub const COORDINATOR_CHANNEL_LEN: usize = 1_024;
/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that a stopping coordinator tries to release its lease. If it fails, the next holder waits for
/// the end of the term.
const MAX_STOP_WAIT: Duration = Duration::from_secs(5);
/// Threads for calls of the lease. They are separate, so that no other call delays a renewal.
const LEASE_CALL_THREADS: usize = 1;
/// Threads for calls of the sweep, which makes one call at a time.
const SWEEP_CALL_THREADS: usize = 1;

/// State of the core thread.
#[derive(Debug)]
pub struct CoordinatorCore<C> {
    clock: C,
    member: Member,
    coordinator: Coordinator,
    directory: Arc<Directory>,
    lease_table: TableCalls,
    order_table: TableCalls,
    sweep_table: TableCalls,
    config_reads: ConfigReads,
    load_reads: LoadReads,
    calls: CoordinatorCalls,
    status: SharedStatus<CoordinatorStatus>,
    stopping_since: Option<Duration>,
    drains_announced: usize,
}

impl<C: Clock + Clone + Send + 'static> CoordinatorCore<C> {
    /// Creates the core of one coordinator run and starts its threads for calls.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn new(
        clock: C,
        member: Member,
        settings: CoordinatorSettings,
        directory: Arc<Directory>,
        inputs: &SyncSender<CoordinatorEvent>,
        status: SharedStatus<CoordinatorStatus>,
    ) -> io::Result<Self> {
        let platform = &directory.settings.platform;
        let call_timeout = millis(platform.call_timeout_ms);
        let client = TableClient::new(platform.table_address, call_timeout);
        let answer_timeout = millis(settings.orders.answer_timeout_ms);
        let seed = member.incarnation.0;
        let configuration = &directory.settings;
        Ok(Self {
            lease_table: TableCalls::start(&client, LEASE_CALL_THREADS, inputs, |event| {
                store_ended(CoordinatorPart::Lease, event)
            })?,
            order_table: TableCalls::start(&client, CALL_THREADS, inputs, |event| {
                store_ended(CoordinatorPart::Orders, event)
            })?,
            sweep_table: TableCalls::start(&client, SWEEP_CALL_THREADS, inputs, |event| {
                store_ended(CoordinatorPart::Sweep, event)
            })?,
            config_reads: ConfigReads::start(&client, inputs, CoordinatorEvent::ConfigRead)?,
            load_reads: LoadReads::start(inputs, |endpoint, load| CoordinatorEvent::LoadRead {
                endpoint,
                load,
            })?,
            calls: CoordinatorCalls::start(clock.clone(), answer_timeout, inputs.clone())?,
            coordinator: Coordinator::new(member.clone(), settings, configuration, unix_ms(), seed),
            clock,
            member,
            directory,
            status,
            stopping_since: None,
            drains_announced: 0,
        })
    }

    /// Runs until a stop was requested and the lease is released, or [`MAX_STOP_WAIT`] has passed.
    pub fn run(mut self, inputs: &Receiver<CoordinatorEvent>) {
        loop {
            let event = match inputs.recv_timeout(TICK_INTERVAL) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => CoordinatorEvent::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.handle_event(event);
            self.publish();
            if self.has_stopped() {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: CoordinatorEvent) {
        match &event {
            CoordinatorEvent::LoadRead { endpoint, .. } => self.load_reads.read_ended(endpoint),
            CoordinatorEvent::StopRequested => {
                let open = self.coordinator.open_orders().count();
                log_info(
                    LogEvent::CoordinatorStopRequested,
                    format_args!("open_orders={open}"),
                );
                self.stopping_since.get_or_insert(self.clock.now());
            }
            _ => {}
        }
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.coordinator.handle(now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn has_stopped(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        self.coordinator.is_stopped() || since + MAX_STOP_WAIT <= self.clock.now()
    }

    fn execute(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Store { part, action } => {
                let table = match part {
                    CoordinatorPart::Lease => &self.lease_table,
                    CoordinatorPart::Orders => &self.order_table,
                    CoordinatorPart::Sweep => &self.sweep_table,
                };
                if let Some(event) = table.call(action) {
                    self.handle_event(store_ended(part, event));
                }
            }
            CoordinatorAction::Send(order) => {
                if let Some(address) = self.endpoint_address(&order.endpoint) {
                    self.calls.call(CoordinatorCall::Order { order, address });
                }
            }
            CoordinatorAction::ReadBack {
                endpoint,
                number,
                order,
            } => {
                if let Some(address) = self.endpoint_address(&endpoint) {
                    self.calls.call(CoordinatorCall::ReadBack {
                        endpoint,
                        number,
                        order,
                        address,
                    });
                }
            }
            CoordinatorAction::ReadLoad { endpoint } => {
                if let Some(address) = self.endpoint_address(&endpoint) {
                    self.load_reads.start_read(&endpoint, address);
                }
            }
            CoordinatorAction::AnnounceDrain { endpoint } => {
                let routers = self.next_routers();
                self.calls
                    .call(CoordinatorCall::Drain { endpoint, routers });
            }
            CoordinatorAction::ReadConfig(read) => self.config_reads.read(read),
            CoordinatorAction::Configured {
                generation,
                settings,
            } => {
                self.directory = Arc::new(Directory::new(*settings));
                log_info(
                    LogEvent::ConfigAdopted,
                    format_args!("generation={}", generation.0),
                );
            }
            CoordinatorAction::ConfigUnusable {
                generation,
                findings,
            } => log_warn(
                LogEvent::ConfigUnusable,
                format_args!("generation={} findings={findings:?}", generation.0),
            ),
            CoordinatorAction::Held(held) => log_info(
                LogEvent::LeaseTaken,
                format_args!("fencing={}", held.fencing.0),
            ),
            CoordinatorAction::Lost => log_warn(LogEvent::LeaseEnded, ""),
            CoordinatorAction::Ended {
                endpoint,
                number,
                state,
            } => log_order_end(&endpoint, number, state),
        }
    }

    fn endpoint_address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        Some(self.directory.endpoint(endpoint)?.address)
    }

    /// Returns the routers' addresses, starting with another router each time, so that an unreachable router
    /// does not cost time at every announcement and no router gets all of them.
    fn next_routers(&mut self) -> Vec<SocketAddr> {
        let hosts = &self.directory.settings.hosts;
        let mut routers: Vec<_> = hosts.iter().map(|h| h.operator_address).collect();
        routers.rotate_left(self.drains_announced % hosts.len().max(1));
        self.drains_announced = self.drains_announced.wrapping_add(1);
        routers
    }

    fn publish(&self) {
        let now = self.clock.now();
        let stopping = self.stopping_since.is_some();
        publish(&self.status, &self.member, &self.coordinator, now, stopping);
    }
}

fn store_ended(part: CoordinatorPart, event: StoreEvent) -> CoordinatorEvent {
    CoordinatorEvent::StoreEnded { part, event }
}

fn log_order_end(endpoint: &EndpointId, number: u64, state: OrderState) {
    let result = state.as_str();
    counter!("sedgeridge_orders_ended_total", "state" => result).increment(1);
    log_info(
        LogEvent::OrderEnded,
        format_args!("endpoint={endpoint} number={number} state={result}"),
    );
}
