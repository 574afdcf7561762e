//! The state that all tasks of the event loop share.

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

use crate::attempt::Outgoing;
use crate::clock::Clock;
use crate::endpoint_pool::EndpointPool;
use crate::event_log::EventLog;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::held_memory::HeldMemory;
use crate::held_memory::SharedMemory;
use crate::loop_lag::LoopLag;
use crate::meters;
use crate::settings::GatewaySettings;
use crate::wire::Wire;

/// Pause after a connection could not be accepted: descriptors come free within some milliseconds.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request's wait for what is decided about it.
pub type VerdictReceiver = oneshot::Receiver<Verdict>;

/// Settings that may change while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Window over which accounts share the engines.
    pub share_window: Duration,
    /// Time in which a fleet that was restarted serves again.
    pub recovery: Duration,
    /// Bounds of sending a request to a second endpoint.
    pub resends: ResendLimits,
    /// Bounds of requests to endpoints that have just started.
    pub cold_starts: ColdStartBounds,
}

impl Bounds {
    fn of(settings: &GatewaySettings) -> Self {
        Self {
            grace: settings.grace,
            share_window: settings.share_window,
            recovery: settings.recovery,
            resends: settings.resends,
            cold_starts: settings.cold_starts,
        }
    }
}

/// Shared state of one router. Tasks run on one thread and never hold a borrow while they wait.
#[derive(Debug)]
pub struct Core<W, C> {
    /// Translates the platform's forms.
    pub wire: W,
    /// The process's clock.
    pub clock: C,
    /// The process's log.
    pub log: EventLog,
    /// What was set at the start.
    pub settings: GatewaySettings,
    /// Bounds that may change while the process runs.
    pub bounds: RefCell<Bounds>,
    /// Connections to endpoints.
    pub pool: RefCell<EndpointPool>,
    /// Routes and keys in force.
    pub routes: RefCell<Rc<RouteTable>>,
    /// Longest head of a request.
    pub max_header_bytes: Cell<usize>,
    /// Longest body that is read from a caller.
    pub max_body_bytes: Cell<usize>,
    /// Longest idle time of a caller's connection.
    pub idle_timeout: Cell<Duration>,
    /// Longest time for the head of a request.
    pub header_timeout: Cell<Duration>,
    /// Memory of requests in progress.
    pub memory: SharedMemory,
    /// When the process was told to stop, if it was.
    pub stopping: watch::Sender<Option<Duration>>,
    /// How far the event loop is behind.
    pub lag: RefCell<LoopLag>,
    /// Which requests are shed for want of processor time.
    pub shedding: RefCell<LoadShedding>,
    /// Connections of callers that are open.
    pub callers: Cell<usize>,
    /// Connections of callers on which a part of a request's head has come.
    pub half_heads: Cell<usize>,
    /// Requests that have been read and not yet answered in full.
    pub in_progress: Cell<usize>,
    most_half_heads: usize,
    dispatcher: RefCell<Dispatcher>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Verdict>>>,
    next_request: Cell<u64>,
    sleeps_until: Cell<Duration>,
    wake: Notify,
}

impl<W: Wire, C: Clock> Core<W, C> {
    /// Creates the state of a router that knows no configuration. `run` numbers this run of the
    /// host; a later run has a higher number.
    pub fn new(wire: W, clock: C, log: EventLog, settings: GatewaySettings, run: u64) -> Self {
        let dispatcher = Dispatcher::new(DispatcherSettings {
            host: stable_hash(&settings.host),
            run,
            data_centre: settings.data_centre.clone(),
            share_window: settings.share_window,
            recovery: settings.recovery,
            resends: settings.resends,
            cold_starts: settings.cold_starts,
            admission: settings.admission.clone(),
        });
        let limits = sedgeridge_fleet::config::CallerLimits::default();
        let budget = MemoryBudget::new(settings.memory_bytes);
        Self {
            wire,
            clock,
            log,
            bounds: RefCell::new(Bounds::of(&settings)),
            settings,
            pool: RefCell::new(EndpointPool::new(budget.max_idle_connections())),
            routes: RefCell::new(Rc::new(RouteTable::default())),
            max_header_bytes: Cell::new(limits.max_header_bytes),
            max_body_bytes: Cell::new(limits.max_body_bytes),
            idle_timeout: Cell::new(limits.idle_timeout),
            header_timeout: Cell::new(limits.header_timeout),
            most_half_heads: budget.max_partial_heads(),
            memory: SharedMemory::new(budget),
            stopping: watch::Sender::new(None),
            lag: RefCell::new(LoopLag::default()),
            shedding: RefCell::default(),
            callers: Cell::new(0),
            half_heads: Cell::new(0),
            in_progress: Cell::new(0),
            dispatcher: RefCell::new(dispatcher),
            waiting: RefCell::new(HashMap::new()),
            next_request: Cell::new(0),
            sleeps_until: Cell::new(Duration::ZERO),
            wake: Notify::new(),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Logs an event.
    pub fn log(&self, event: LogEvent, fields: &[(&'static str, Value)]) {
        self.log.write(self.now(), event, fields);
    }

    /// Takes in the bounds of changed settings; tells whether any differ.
    pub fn adopt_bounds(&self, settings: &GatewaySettings) -> bool {
        let bounds = Bounds::of(settings);
        if self.bounds.replace(bounds) == bounds {
            return false;
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_bounds(
            bounds.share_window,
            bounds.recovery,
            bounds.resends,
            bounds.cold_starts,
        );
        true
    }

    /// Numbers a new request.
    pub fn next_request(&self) -> RequestId {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        RequestId(number)
    }

    /// Runs `read` on the dispatcher.
    pub fn with_dispatcher<T>(&self, read: impl FnOnce(&mut Dispatcher) -> T) -> T {
        read(&mut self.dispatcher.borrow_mut())
    }

    /// Passes an event to the dispatcher, and what it decides to the requests concerned.
    pub fn handle(&self, event: DispatchEvent) {
        let mut decisions = Vec::new();
        let now = self.now();
        self.dispatcher
            .borrow_mut()
            .handle(now, event, &mut decisions);
        if self.dispatcher.borrow().next_tick() < self.sleeps_until.get() {
            self.wake.notify_one();
        }
        for Decision { request, verdict } in decisions {
            let waiting = self.waiting.borrow_mut().remove(&request);
            // A caller that has left waits no more; its guard tells the dispatcher.
            let _ = waiting.map(|sender| sender.send(verdict));
        }
    }

    /// Hands a request in, and returns the wait for its first verdict.
    pub fn arrive(&self, arrival: Arrival) -> VerdictReceiver {
        let receiver = self.await_verdict(arrival.id);
        self.handle(DispatchEvent::Arrived(Box::new(arrival)));
        receiver
    }

    /// Reports a failed attempt, and returns the wait for what follows.
    pub fn attempt_failed(
        &self,
        id: RequestId,
        outgoing: &Outgoing,
        failure: Failure,
    ) -> VerdictReceiver {
        let receiver = self.await_verdict(id);
        if failure == Failure::ConnectionLost {
            // It may have crashed the endpoint; from here on it is told from others.
            self.handle(DispatchEvent::FingerprintComputed(
                id,
                outgoing.fingerprint(),
            ));
        }
        self.handle(DispatchEvent::AttemptFailed(id, failure));
        receiver
    }

    /// Tells whether a prompt of an account is left to another host for want of processor time.
    pub fn sheds(&self, account: u64) -> bool {
        let standing = self.with_dispatcher(|it| it.account_share_used(account));
        self.shedding.borrow_mut().try_shed(account, standing)
    }

    /// Counts a prompt of an account that is not left to another host.
    pub fn note_kept(&self, account: u64) {
        let standing = self.with_dispatcher(|it| it.account_share_used(account));
        self.shedding.borrow_mut().count_kept(account, standing);
    }

    /// Counts a prompt of an account that was left to another host.
    pub fn note_shed(&self, account: u64, prompt: &Prompt) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.on_shed(now, account, prompt.charged_tokens());
    }

    /// Waits for a verdict.
    pub async fn verdict(&self, receiver: VerdictReceiver) -> Verdict {
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
            self.sleeps_until.set(next);
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.wake.notified() => continue,
            }
            self.note_lag(next);
            self.handle(DispatchEvent::Tick);
            let now = self.now();
            self.pool.borrow_mut().close_old(now);
        }
    }

    /// Accepts the next connection. A failure, for example for want of descriptors, is logged and
    /// tried again after a pause: a listener that is given up would never answer anybody again.
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

    /// Tells whether a caller's connection should end with the answer that is in progress.
    pub fn closes_connections(&self) -> bool {
        let is_crowded = self.callers.get() > self.settings.max_callers;
        self.is_stopping() || is_crowded
    }

    /// Tells whether heads that have come in part hold more memory than they may.
    pub fn has_too_many_half_heads(&self) -> bool {
        self.half_heads.get() > self.most_half_heads
    }

    /// Tells whether many requests are refused, so that it pays to look for those that can be refused early.
    pub fn refuses_many(&self) -> bool {
        self.shedding.borrow().is_active() || self.dispatcher.borrow().has_no_room(self.now())
    }

    /// Tells whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Returns the time since the process was told to stop.
    pub fn stopping_for(&self) -> Option<Duration> {
        let since = *self.stopping.borrow();
        since.map(|since| self.now().saturating_sub(since))
    }

    /// Tells whether the router can serve callers.
    pub fn is_ready(&self) -> bool {
        let has_endpoints = !self.dispatcher.borrow().endpoints().is_empty();
        let has_room = !self.lag.borrow().is_overloaded() && !self.memory.is_short();
        let can_serve = !self.is_stopping() && has_room;
        can_serve && self.routes.borrow().version().is_some() && has_endpoints
    }

    fn note_lag(&self, planned: Duration) {
        let late = self.now().saturating_sub(planned);
        let was_overloaded = self.lag.borrow().is_overloaded();
        self.lag.borrow_mut().note(late);
        let now = self.now();
        let is_flooded =
            LoadShedding::is_late(late) && self.with_dispatcher(|it| it.has_excess_demand(now));
        let late_for_callers = match is_flooded {
            true => late,
            false => Duration::ZERO,
        };
        self.shedding.borrow_mut().on_timer(now, late_for_callers);
        let is_overloaded = self.lag.borrow().is_overloaded();
        if is_overloaded != was_overloaded {
            let fields = [
                ("is_overloaded", is_overloaded.into()),
                ("late_ms", millis(late)),
            ];
            self.log(LogEvent::LoadChanged, &fields);
        }
    }

    fn await_verdict(&self, id: RequestId) -> VerdictReceiver {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        receiver
    }
}

/// Tells the dispatcher when a request ends without another word, for example because its caller
/// left and its task was dropped.
#[derive(Debug)]
pub struct RequestGuard<W: Wire, C: Clock> {
    core: Rc<Core<W, C>>,
    id: RequestId,
    name: Arc<str>,
    end: GuardedEnd,
    memory: Option<HeldMemory>,
}

/// What is known of a guarded request's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GuardedEnd {
    /// The dispatcher knows.
    Settled,
    /// Nothing: if the guard is dropped now, the caller has left.
    Open,
    /// The time is over.
    TimedOut,
    /// A stream could not go on.
    Cut,
}

impl<W: Wire, C: Clock> RequestGuard<W, C> {
    /// Watches over a request that was handed in and holds `memory`; `name` is its id on the wire.
    pub fn new(core: Rc<Core<W, C>>, id: RequestId, name: Arc<str>, memory: HeldMemory) -> Self {
        core.in_progress.set(core.in_progress.get() + 1);
        Self {
            core,
            id,
            name,
            end: GuardedEnd::Open,
            memory: Some(memory),
        }
    }

    /// Counts the memory of an answer that is read whole.
    pub fn hold_answer(&mut self, bytes: u64) {
        if let Some(memory) = &mut self.memory {
            memory.add(bytes);
        }
    }

    /// Hands over the request's memory to whoever delivers its answer.
    pub fn take_memory(&mut self) -> Option<HeldMemory> {
        self.memory.take()
    }

    /// Notes that the answer came whole.
    pub fn complete(&mut self) {
        self.end = GuardedEnd::Settled;
        self.core.handle(DispatchEvent::Completed(self.id));
    }

    /// Notes that the dispatcher itself ended the request.
    pub fn settle(&mut self) {
        self.end = GuardedEnd::Settled;
    }

    /// Notes that the request's time is over.
    pub fn time_out(&mut self) {
        self.end = GuardedEnd::TimedOut;
    }

    /// Notes that a stream could not go on; the dispatcher knows.
    pub fn cut(&mut self) {
        self.end = GuardedEnd::Cut;
    }
}

impl<W: Wire, C: Clock> Drop for RequestGuard<W, C> {
    fn drop(&mut self) {
        self.core.in_progress.set(self.core.in_progress.get() - 1);
        let (reason, event) = match self.end {
            GuardedEnd::Settled => return,
            GuardedEnd::Open => ("caller_left", LogEvent::CallerLeft),
            GuardedEnd::TimedOut => ("timed_out", LogEvent::RequestTimedOut),
            GuardedEnd::Cut => ("cut", LogEvent::RequestFailed),
        };
        meters::ended_early(reason);
        let fields = [("request", (*self.name).into()), ("reason", reason.into())];
        self.core.log(event, &fields);
        self.core.waiting.borrow_mut().remove(&self.id);
        self.core.handle(DispatchEvent::Abandoned(self.id));
    }
}
