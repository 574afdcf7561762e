//! `plain`: a plain HTTP service whose work is a side effect, such as a deposit charge.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;
use tokio::sync::Semaphore;

use sedgeridge_protocol::engine::LOAD_PATH;
use sedgeridge_protocol::headers;
use sedgeridge_protocol::ledger::RunOutcome;
use sedgeridge_protocol::ledger::RunRecord;

use crate::answer;
use crate::configs::plain::PlainConfig;
use crate::endpoint;
use crate::endpoint::EndpointCore;
use crate::ledger::unix_ms;
use crate::reply;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::RunningServer;
use crate::server::Service;
use crate::server::SharedState;

/// Starts the stand-in.
///
/// ```
/// use sedgeridge_standins::configs::plain::PlainConfig;
///
/// let booking = sedgeridge_standins::plain::spawn(PlainConfig::default())?;
/// assert_ne!(booking.address().port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn(config: PlainConfig) -> io::Result<RunningServer> {
    server::spawn(config.listen, move |shared| Plain::new(&config, shared))
}

#[derive(Debug)]
struct Plain {
    core: EndpointCore,
    service_time: Duration,
    max_waiting: usize,
    slots: Semaphore,
    running: Cell<usize>,
    waiting: Cell<usize>,
}

/// Counts a request as running or waiting until this guard is dropped.
struct CountGuard<'a> {
    plain: &'a Plain,
    counter: &'a Cell<usize>,
}

/// A run in progress, recorded as cancelled if dropped, as when its caller disconnects.
struct OpenRun<'a> {
    core: &'a EndpointCore,
    run_id: u64,
}

impl Plain {
    fn new(config: &PlainConfig, shared: Rc<SharedState>) -> io::Result<Self> {
        Ok(Self {
            core: EndpointCore::new(&config.endpoint, shared)?,
            service_time: config.service_time(),
            max_waiting: config.max_waiting,
            slots: Semaphore::new(config.endpoint.slots as usize),
            running: Cell::new(0),
            waiting: Cell::new(0),
        })
    }

    async fn work(&self, call: &Call) -> Reply {
        if self.slots.available_permits() == 0 && self.waiting.get() >= self.max_waiting {
            return reply::not_started("the waiting line is full");
        }
        let arrived_at_ms = unix_ms();
        let waiting = self.count(&self.waiting);
        let permit = self.slots.acquire().await;
        drop(waiting);
        let _running = self.count(&self.running);
        // The side effect happens here; a caller that disconnects later does not undo it.
        let run = self.start(call, arrived_at_ms);
        tokio::time::sleep(self.service_time).await;
        let charged_tokens = answer::plain_charged_tokens(&call.path, &call.body);
        run.finish(charged_tokens);
        drop(permit);
        let body = answer::plain_answer(&call.path, &call.body);
        let mut answer = reply::whole(StatusCode::OK, "application/json", body);
        let name = HeaderName::from_static(headers::CHARGED_TOKENS);
        reply::set(&mut answer, name, &charged_tokens.to_string());
        answer
    }

    fn count<'a>(&'a self, counter: &'a Cell<usize>) -> CountGuard<'a> {
        counter.set(counter.get() + 1);
        self.record_load();
        CountGuard {
            plain: self,
            counter,
        }
    }

    fn record_load(&self) {
        self.core
            .record_load(self.running.get(), self.waiting.get());
    }

    fn start(&self, call: &Call, arrived_at_ms: f64) -> OpenRun<'_> {
        let run_id = self.core.ledger.borrow_mut().start(RunRecord {
            arrived_at_ms,
            request_key: answer::plain_key(&call.path, &call.body),
            ..endpoint::run_record(self.core.name(), call)
        });
        OpenRun {
            core: &self.core,
            run_id,
        }
    }
}

impl OpenRun<'_> {
    fn finish(self, charged_tokens: u64) {
        let mut ledger = self.core.ledger.borrow_mut();
        ledger.end(self.run_id, RunOutcome::Finished, charged_tokens);
    }
}

impl Drop for OpenRun<'_> {
    fn drop(&mut self) {
        // Does nothing after `finish`, because a run ends only once.
        let mut ledger = self.core.ledger.borrow_mut();
        ledger.end(self.run_id, RunOutcome::Cancelled, 0);
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.counter.set(self.counter.get() - 1);
        self.plain.record_load();
    }
}

impl Service for Plain {
    async fn call(&self, call: &Call) -> Reply {
        let mut answer = match self.core.ledger_call(call) {
            Some(answer) => answer,
            None if call.method == Method::GET && call.path == LOAD_PATH => self.core.load(),
            None => self.work(call).await,
        };
        endpoint::echo_attempt(call, &mut answer);
        answer
    }

    fn crash(&self, call: &Call) {
        // `forget` skips the drop, which would record the run as cancelled; `Ledger::crash` then
        // records it as crashed.
        std::mem::forget(self.start(call, unix_ms()));
        self.core.ledger.borrow_mut().crash();
    }
}
