//! Parts that engines and plain services share: ledger, load reports and run records.

use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;

use sedgeridge_protocol::headers;
use sedgeridge_protocol::ledger::LEDGER_PATH;
use sedgeridge_protocol::ledger::LEDGER_RESET_PATH;
use sedgeridge_protocol::ledger::RunOutcome;
use sedgeridge_protocol::ledger::RunRecord;

use crate::faults::Fault;
use crate::ledger::Ledger;
use crate::ledger::unix_ms;
use crate::load_history::LoadHistory;
use crate::reply;
use crate::reply::Reply;
use crate::server::Call;
use crate::server::SharedState;

/// Settings that engines and plain services share.
#[derive(Debug, Clone)]
pub struct EndpointConfig {
    /// Name of the endpoint.
    pub name: String,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Age of load reports.
    pub report_lag_ms: u64,
    /// File that preserves the ledger across a crash.
    pub ledger_file: Option<PathBuf>,
}

/// Ledger and load reports of one endpoint.
#[derive(Debug)]
pub struct EndpointCore {
    config: EndpointConfig,
    shared: Rc<SharedState>,
    /// Runs and orders of the endpoint.
    pub ledger: RefCell<Ledger>,
    load_history: RefCell<LoadHistory>,
}

impl EndpointCore {
    /// Creates the core and opens its ledger.
    pub fn new(config: &EndpointConfig, shared: Rc<SharedState>) -> io::Result<Self> {
        Ok(Self {
            ledger: RefCell::new(Ledger::open(config.ledger_file.as_deref())?),
            load_history: RefCell::default(),
            config: config.clone(),
            shared,
        })
    }

    /// Name of the endpoint.
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.shared.now()
    }

    /// The instant at a time since the start, for timers.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        self.shared.instant(at)
    }

    /// Whether orders with an outdated fencing number are refused now. `configured` applies unless
    /// a fault order overrides it.
    pub fn checks_fencing(&self, configured: bool) -> bool {
        let mut faults = self.shared.faults.borrow_mut();
        faults.checks_fencing(self.now(), configured)
    }

    /// Records the current load.
    pub fn record_load(&self, running: usize, waiting: usize) {
        let now = self.now();
        self.load_history.borrow_mut().record(now, running, waiting);
    }

    /// Answers a request for the load report.
    pub fn load(&self) -> Reply {
        let now = self.now();
        let mut faults = self.shared.faults.borrow_mut();
        let leaving = faults.newest_order(now, Fault::Leaving).is_some();
        let frozen = faults.newest_order(now, Fault::FreezeLoad).is_some();
        let lag_ms = faults
            .newest_order(now, Fault::LagLoad)
            .and_then(|order| order.delay_ms)
            .unwrap_or(self.config.report_lag_ms);
        let lag = Duration::from_millis(lag_ms);
        let mut load_history = self.load_history.borrow_mut();
        let mut report = load_history.report(now, lag, frozen, self.config.slots);
        report.leaving = leaving;
        reply::json(StatusCode::OK, &report)
    }

    /// Answers a call to a ledger path; `None` for other paths.
    pub fn ledger_call(&self, call: &Call) -> Option<Reply> {
        let answer = match (&call.method, call.path.as_str()) {
            (&Method::GET, LEDGER_PATH) => {
                let lines = self.ledger.borrow().to_json_lines();
                reply::whole(StatusCode::OK, "application/jsonl", lines)
            }
            (&Method::POST, LEDGER_RESET_PATH) => match self.ledger.borrow_mut().reset() {
                Ok(()) => reply::text(StatusCode::OK, "reset"),
                Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
            },
            _ => return None,
        };
        Some(answer)
    }
}

/// Creates the record of a run that starts now, with the identifiers in the headers of the call.
pub fn run_record(endpoint: &str, call: &Call) -> RunRecord {
    let owned = |name| call.header(name).map(str::to_owned);
    let now_ms = unix_ms();
    RunRecord {
        run_id: 0,
        request_id: owned(headers::REQUEST_ID),
        attempt_id: owned(headers::ATTEMPT_ID),
        account: owned(headers::ACCOUNT),
        service: call.path.clone(),
        endpoint: endpoint.to_owned(),
        arrived_at_ms: now_ms,
        started_at_ms: now_ms,
        ended_at_ms: None,
        input_tokens: 0,
        cached_tokens: 0,
        first_token: 0,
        output_tokens: 0,
        outcome: RunOutcome::Running,
        request_key: 0,
        idempotency_key: owned(headers::IDEMPOTENCY_KEY),
    }
}

/// Copies the attempt id of the call into the answer.
pub fn echo_attempt(call: &Call, answer: &mut Reply) {
    if let Some(id) = call.header(headers::ATTEMPT_ID) {
        let name = HeaderName::from_static(headers::ATTEMPT_ID);
        reply::set(answer, name, id);
    }
}

/// Answers a call to an unknown path.
pub fn unknown_path() -> Reply {
    reply::text(StatusCode::NOT_FOUND, "no such path")
}
