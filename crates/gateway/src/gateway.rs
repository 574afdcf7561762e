//! State shared by all tasks of the event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::cold_start::ColdStartBounds;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::Dispatcher;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::load_shedding::LoadShedding;
use sedgeridge_fleet::memory_budget::MemoryBudget;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_fleet::route_table::RouteTable;
use sedgeridge_fleet::stop_times::StopTimes;
use sedgeridge_fleet::verdict::Basis;
use sedgeridge_fleet::verdict::Decision;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_fleet::verdict::Verdict;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::crash_watch::CrashWatch;
use crate::endpoint_pool::EndpointPool;
use crate::event_log::EventLog;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::held_memory::HeldMemory;
use crate::held_memory::SharedMemoryBudget;
use crate::loop_lag::LoopLag;
use crate::meters;
use crate::settings::GatewaySettings;
use crate::stream_origins::StreamOrigins;
use crate::wire::WireFormat;

/// Pause after a failed accept. File descriptors become free within some milliseconds.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Receives the dispatcher's next verdict on a request.
pub type VerdictReceiver = oneshot::Receiver<Verdict>;

/// Settings that can be reloaded while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReloadableSettings {
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time window over which client accounts share the engines.
    pub share_window: Duration,
    /// Time in which a restarted fleet serves again.
    pub recovery_time: Duration,
    /// Limits on sending a request to a second endpoint.
    pub resend_limits: ResendLimits,
    /// Limits on requests to endpoints that have just started.
    pub cold_start_bounds: ColdStartBounds,
}

impl ReloadableSettings {
    fn of(settings: &GatewaySettings) -> Self {
        Self {
            grace_period: settings.grace_period,
            share_window: settings.share_window,
            recovery_time: settings.recovery_time,
            resend_limits: settings.resend_limits,
            cold_start_bounds: settings.cold_start_bounds,
        }
    }
}

/// Shared state of one router. Tasks run on one thread and never hold a borrow across an `await`.
#[derive(Debug)]
pub struct Gateway<W, C> {
    /// Translates the platform's headers and documents.
    pub wire: W,
    /// The process's clock.
    pub clock: C,
    /// The process's log.
    pub log: EventLog,
    /// Settings as read at the start.
    pub settings: GatewaySettings,
    /// Settings that can be reloaded.
    pub reloadable: RefCell<ReloadableSettings>,
    /// Idle connections to endpoints.
    pub pool: RefCell<EndpointPool>,
    /// Routes and account keys in force.
    pub routes: RefCell<Rc<RouteTable>>,
    /// Limit on the head of a request.
    pub max_header_bytes: Cell<usize>,
    /// Limit on the body of a request.
    pub max_body_bytes: Cell<usize>,
    /// Longest idle time of a caller's connection.
    pub idle_timeout: Cell<Duration>,
    /// Longest time to receive the head of a request.
    pub header_timeout: Cell<Duration>,
    /// Memory budget of requests in progress.
    pub memory: SharedMemoryBudget,
    /// Time at which the process was told to stop; `None` before that.
    pub stop_requested_at: watch::Sender<Option<Duration>>,
    /// Notified when [`Gateway::last_answers_due`].
    pub last_answers: Notify,
    /// Origins of streams that this host knows.
    pub origins: StreamOrigins,
    /// Lateness of the event loop's timers.
    pub loop_lag: RefCell<LoopLag>,
    /// Decides which requests are shed while the host lacks processor time.
    pub shedding: RefCell<LoadShedding>,
    /// Open connections of callers.
    pub caller_connections: Cell<usize>,
    /// Endpoints to be checked after lost connections, and quarantines to be kept.
    pub crash_watch: CrashWatch,
    /// Connections of callers on which only part of a request's head has arrived.
    pub partial_heads: Cell<usize>,
    /// Requests that have been read and not yet answered completely.
    pub requests_in_progress: Cell<usize>,
    max_partial_heads: usize,
    dispatcher: RefCell<Dispatcher>,
    pending_verdicts: RefCell<HashMap<RequestId, oneshot::Sender<Verdict>>>,
    next_request_id: Cell<u64>,
    ticker_sleeps_until: Cell<Duration>,
    wake_ticker: Notify,
    first_config_adopted: Notify,
}

impl<W: WireFormat, C: Clock> Gateway<W, C> {
    /// Creates the state of a router without a configuration. `run` is the number of this run of
    /// the host; a later run has a higher number.
    pub fn new(wire: W, clock: C, log: EventLog, settings: GatewaySettings, run: u64) -> Self {
        let mut dispatcher = Dispatcher::new(DispatcherSettings {
            host: stable_hash(&settings.host),
            run,
            data_centre: settings.data_centre.clone(),
            share_window: settings.share_window,
            recovery: settings.recovery_time,
            resends: settings.resend_limits,
            cold_starts: settings.cold_start_bounds,
            admission: settings.admission.clone(),
        });
        if settings.is_first_start {
            dispatcher.mark_first_start();
        }
        let limits = sedgeridge_fleet::config::CallerLimits::default();
        let budget = MemoryBudget::new(settings.memory_bytes);
        Self {
            origins: StreamOrigins::new(stable_hash(&settings.host)),
            wire,
            clock,
            log,
            reloadable: RefCell::new(ReloadableSettings::of(&settings)),
            settings,
            pool: RefCell::new(EndpointPool::new(budget.max_idle_connections())),
            routes: RefCell::new(Rc::new(RouteTable::default())),
            max_header_bytes: Cell::new(limits.max_header_bytes),
            max_body_bytes: Cell::new(limits.max_body_bytes),
            idle_timeout: Cell::new(limits.idle_timeout),
            header_timeout: Cell::new(limits.header_timeout),
            max_partial_heads: budget.max_partial_heads(),
            memory: SharedMemoryBudget::new(budget),
            stop_requested_at: watch::Sender::new(None),
            last_answers: Notify::new(),
            loop_lag: RefCell::new(LoopLag::default()),
            shedding: RefCell::default(),
            caller_connections: Cell::new(0),
            crash_watch: CrashWatch::default(),
            partial_heads: Cell::new(0),
            requests_in_progress: Cell::new(0),
            dispatcher: RefCell::new(dispatcher),
            pending_verdicts: RefCell::new(HashMap::new()),
            next_request_id: Cell::new(0),
            ticker_sleeps_until: Cell::new(Duration::ZERO),
            wake_ticker: Notify::new(),
            first_config_adopted: Notify::new(),
        }
    }

    /// Returns the time of the process's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Logs an event.
    pub fn log(&self, event: LogEvent, fields: &[(&'static str, Value)]) {
        self.log.write(self.now(), event, fields);
    }

    /// Applies the reloadable part of `settings`. Returns whether anything changed.
    pub fn apply_reloaded_settings(&self, settings: &GatewaySettings) -> bool {
        let reloadable = ReloadableSettings::of(settings);
        if self.reloadable.replace(reloadable) == reloadable {
            return false;
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_bounds(
            reloadable.share_window,
            reloadable.recovery_time,
            reloadable.resend_limits,
            reloadable.cold_start_bounds,
        );
        true
    }

    /// Puts the routes and account keys of a configuration in force, and lets requests proceed that wait for the first one.
    pub fn adopt_routes(&self, routes: RouteTable) {
        *self.routes.borrow_mut() = Rc::new(routes);
        self.first_config_adopted.notify_waiters();
    }

    /// Waits until a configuration is in force.
    pub async fn first_config(&self) {
        let adopted = self.first_config_adopted.notified();
        if self.routes.borrow().version().is_none() {
            adopted.await;
        }
    }

    /// Returns the id of a new request.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request_id.get();
        self.next_request_id.set(number + 1);
        RequestId(number)
    }

    /// Calls `action` with the dispatcher.
    pub fn with_dispatcher<T>(&self, action: impl FnOnce(&mut Dispatcher) -> T) -> T {
        action(&mut self.dispatcher.borrow_mut())
    }

    /// Passes an event to the dispatcher and sends its verdicts to the requests concerned.
    pub fn handle(&self, event: DispatchEvent) {
        let mut decisions = Vec::new();
        let now = self.now();
        self.dispatcher
            .borrow_mut()
            .handle(now, event, &mut decisions);
        if self.dispatcher.borrow().next_tick() < self.ticker_sleeps_until.get() {
            self.wake_ticker.notify_one();
        }
        for Decision { request, verdict } in decisions {
            let waiter = self.pending_verdicts.borrow_mut().remove(&request);
            // The receiver is gone if the caller has left; the request's guard tells the
            // dispatcher.
            let _ = waiter.map(|sender| sender.send(verdict));
        }
        self.note_crashes();
    }

    /// Submits a request to the dispatcher. Returns the receiver of its first verdict.
    pub fn submit(&self, arrival: Arrival) -> VerdictReceiver {
        let receiver = self.register_waiter(arrival.id);
        self.handle(DispatchEvent::Arrived(Box::new(arrival)));
        receiver
    }

    /// Reports a failed attempt. Returns the receiver of the next verdict.
    pub fn attempt_failed(&self, id: RequestId, failure: Failure) -> VerdictReceiver {
        let receiver = self.register_waiter(id);
        self.handle(DispatchEvent::AttemptFailed(id, failure));
        receiver
    }

    /// Decides whether a prompt of `account` is shed to another host because this one lacks
    /// processor time.
    pub fn should_shed(&self, account: u64) -> bool {
        let standing = self.with_dispatcher(|dispatcher| dispatcher.account_share_used(account));
        self.shedding.borrow_mut().try_shed(account, standing)
    }

    /// Counts a prompt of `account` that was not shed.
    pub fn record_admitted(&self, account: u64) {
        let standing = self.with_dispatcher(|dispatcher| dispatcher.account_share_used(account));
        self.shedding.borrow_mut().count_kept(account, standing);
    }

    /// Counts a prompt of `account` that was shed.
    pub fn record_shed(&self, account: u64, prompt: &Prompt) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.on_shed(now, account, prompt.charged_tokens());
    }

    /// Waits for the verdict of a receiver.
    pub async fn wait_for_verdict(&self, receiver: VerdictReceiver) -> Verdict {
        let lost = Verdict::Refuse {
            reason: RefusalReason::OutOfTime,
            retry_after: Duration::ZERO,
            basis: Basis::default(),
        };
        receiver.await.unwrap_or(lost)
    }

    /// Ticks the dispatcher for as long as the process runs.
    pub async fn tick_forever(&self) {
        loop {
            let next = self.dispatcher.borrow().next_tick();
            let pause = next.saturating_sub(self.now());
            self.ticker_sleeps_until.set(next);
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.wake_ticker.notified() => continue,
            }
            self.record_lag(next);
            self.handle(DispatchEvent::Tick);
            let now = self.now();
            self.pool.borrow_mut().close_expired(now);
        }
    }

    /// Accepts the next connection. A failure, for example for lack of file descriptors, is logged
    /// and retried after a pause. If the listener were given up, it would never answer anybody
    /// again.
    pub async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(error) => {
                    let fields = [("reason", error.to_string().into())];
                    self.log(LogEvent::AcceptFailed, &fields);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Returns whether a caller's connection should be closed after the current response.
    pub fn should_close_connections(&self) -> bool {
        let is_crowded = self.caller_connections.get() > self.settings.max_callers;
        self.is_stopping() || is_crowded
    }

    /// Returns whether partially received heads hold more memory than they may.
    pub fn has_too_many_partial_heads(&self) -> bool {
        self.partial_heads.get() > self.max_partial_heads
    }

    /// Returns whether many requests are being refused, so that checking each for an early refusal
    /// pays off.
    pub fn is_refusing_many(&self) -> bool {
        self.shedding.borrow().is_active() || self.dispatcher.borrow().has_no_room(self.now())
    }

    /// Returns whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested_at.borrow().is_some()
    }

    /// Returns the times of the stop in progress; `None` if the process was not told to stop.
    pub fn stop_times(&self) -> Option<StopTimes> {
        let requested_at = *self.stop_requested_at.borrow();
        requested_at.map(|at| StopTimes::new(at, self.reloadable.borrow().grace_period))
    }

    /// Returns whether too little of a stop's grace period is left for a response that usually takes `usual_time`.
    pub fn stops_within(&self, usual_time: Duration) -> bool {
        let times = self.stop_times();
        times.is_some_and(|times| !times.leaves_time_for(self.now(), usual_time))
    }

    /// Waits until a stop's grace period is nearly over, and all requests without a response are to be answered.
    pub async fn last_answers_due(&self) {
        let due = self.last_answers.notified();
        if !self.stops_within(Duration::ZERO) {
            due.await;
        }
    }

    /// Returns whether the router can serve callers.
    pub fn is_ready(&self) -> bool {
        let has_endpoints = !self.dispatcher.borrow().endpoints().is_empty();
        let has_room = !self.loop_lag.borrow().is_overloaded() && !self.memory.is_short();
        let can_serve = !self.is_stopping() && has_room;
        can_serve && self.routes.borrow().version().is_some() && has_endpoints
    }

    fn record_lag(&self, planned_at: Duration) {
        let late = self.now().saturating_sub(planned_at);
        let was_overloaded = self.loop_lag.borrow().is_overloaded();
        self.loop_lag.borrow_mut().record(late);
        let now = self.now();
        let is_flooded = LoadShedding::is_late(late)
            && self.with_dispatcher(|dispatcher| dispatcher.has_excess_demand(now));
        let late_for_callers = match is_flooded {
            true => late,
            false => Duration::ZERO,
        };
        self.shedding.borrow_mut().on_timer(now, late_for_callers);
        let is_overloaded = self.loop_lag.borrow().is_overloaded();
        if is_overloaded != was_overloaded {
            let fields = [
                ("is_overloaded", is_overloaded.into()),
                ("late_ms", millis(late)),
            ];
            self.log(LogEvent::LoadChanged, &fields);
        }
    }

    fn register_waiter(&self, id: RequestId) -> VerdictReceiver {
        let (sender, receiver) = oneshot::channel();
        self.pending_verdicts.borrow_mut().insert(id, sender);
        receiver
    }
}

/// Reports a request as abandoned to the dispatcher when it ends without a result, for example
/// because its caller left and its task was dropped.
#[derive(Debug)]
pub struct RequestGuard<W: WireFormat, C: Clock> {
    gateway: Rc<Gateway<W, C>>,
    id: RequestId,
    wire_id: Arc<str>,
    state: RequestState,
    memory: HeldMemory,
}

/// State of a guarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    /// The dispatcher knows that the request has ended.
    Settled,
    /// No result yet. If the guard is dropped in this state, the caller has left.
    Pending,
    /// The request's deadline has passed.
    TimedOut,
    /// The stream broke off and could not be resumed.
    StreamInterrupted,
    /// The grace period of a stop was over first.
    Stopped,
}

impl<W: WireFormat, C: Clock> RequestGuard<W, C> {
    /// Guards a submitted request that holds `memory`. `wire_id` is the request's id on the wire.
    pub fn new(
        gateway: Rc<Gateway<W, C>>,
        id: RequestId,
        wire_id: Arc<str>,
        memory: HeldMemory,
    ) -> Self {
        gateway
            .requests_in_progress
            .set(gateway.requests_in_progress.get() + 1);
        Self {
            gateway,
            id,
            wire_id,
            state: RequestState::Pending,
            memory,
        }
    }

    /// Adds memory that is held for the response.
    pub fn add_response_memory(&self, bytes: u64) {
        self.memory.add(bytes);
    }

    /// Returns a handle of the request's memory, which is to be held until the response is delivered.
    pub fn share_memory(&self) -> HeldMemory {
        self.memory.share()
    }

    /// Marks the response as complete.
    pub fn complete(&mut self) {
        self.state = RequestState::Settled;
        self.gateway.handle(DispatchEvent::Completed(self.id));
    }

    /// Marks the request as ended by the dispatcher itself.
    pub fn mark_settled(&mut self) {
        self.state = RequestState::Settled;
    }

    /// Marks the request as timed out.
    pub fn mark_timed_out(&mut self) {
        self.state = RequestState::TimedOut;
    }

    /// Marks the request as ended because the router stops.
    pub fn mark_stopped(&mut self) {
        self.state = RequestState::Stopped;
    }

    /// Marks the stream as broken off. The dispatcher decided that it is not resumed.
    pub fn mark_stream_interrupted(&mut self) {
        self.state = RequestState::StreamInterrupted;
    }
}

impl<W: WireFormat, C: Clock> Drop for RequestGuard<W, C> {
    fn drop(&mut self) {
        self.gateway
            .requests_in_progress
            .set(self.gateway.requests_in_progress.get() - 1);
        let (reason, event) = match self.state {
            RequestState::Settled => return,
            RequestState::Pending => ("caller_left", LogEvent::CallerLeft),
            RequestState::TimedOut => ("timed_out", LogEvent::RequestTimedOut),
            RequestState::StreamInterrupted => ("cut", LogEvent::RequestFailed),
            RequestState::Stopped => ("stopping", LogEvent::RequestTimedOut),
        };
        meters::count_ended_early(reason);
        let fields = [
            ("request", (*self.wire_id).into()),
            ("reason", reason.into()),
        ];
        self.gateway.log(event, &fields);
        self.gateway.pending_verdicts.borrow_mut().remove(&self.id);
        self.gateway.handle(DispatchEvent::Abandoned(self.id));
    }
}
