//! Executes one run: sends load, collects the records of callers and endpoints, and reports.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::Scope;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::clock::Clock;
use sedgeridge_transport::clock::ProcessClock;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use ureq::Agent;

use crate::callers::Callers;
use crate::client;
use crate::client::now_us;
use crate::config_watch::ConfigRecord;
use crate::config_watch::ConfigWatch;
use crate::control_bytes::PeerBytes;
use crate::control_bytes::PeerRate;
use crate::fault_figures::FaultFigures;
use crate::fault_figures::runs_after_leaving;
use crate::fault_injector::FaultInjector;
use crate::fault_log::FaultEvents;
use crate::fault_log::FaultLog;
use crate::fault_name::FaultName;
use crate::faults;
use crate::history::CallRecord;
use crate::history::History;
use crate::history::RunRecord;
use crate::history::Span;
use crate::history::read_lines;
use crate::history::write_lines;
use crate::ledgers;
use crate::ledgers::LedgerError;
use crate::operators::ChangeOutcome;
use crate::operators::Operators;
use crate::order_check;
use crate::plan::LoadPlan;
use crate::processes::Processes;
use crate::recorder::Recorder;
use crate::report::Report;
use crate::report::RunInfo;

/// File of the callers' records within a run's directory.
const CALLS_FILE: &str = "calls.jsonl";
/// File of the endpoints' run records.
const RUNS_FILE: &str = "runs.jsonl";
/// File of the run's parameters and other measurements.
const WINDOW_FILE: &str = "window.json";
/// Share of the sending time that steady-state figures leave out, because queues are still filling.
const WARM_UP_SHARE: f64 = 0.2;
/// Maximum wait after the load for a change to come into force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait before ledgers are read, so that cancelled runs can end.
const CANCELLATION_DELAY: Duration = Duration::from_millis(500);

/// Options of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunOptions {
    /// Directory with the load plan; records are written there too.
    pub dir: PathBuf,
    /// Time in which load is offered.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Offered load as a multiple of the capacity.
    pub overload: f64,
}

/// A run failed before its report.
#[derive(Debug, Error)]
pub enum RunError {
    /// A file of the run cannot be read or written.
    #[error("{0}")]
    File(#[from] io::Error),
    /// A file of the run is malformed.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// An endpoint's records cannot be read.
    #[error("{0}")]
    Ledger(#[from] LedgerError),
}

/// Parameters and measurements of a run that are not in the call and run records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Window {
    seconds: u64,
    seed: u64,
    sending: Span,
    payload_per_node_s: Option<f64>,
    wire_per_node_s: Option<f64>,
    #[serde(default)]
    faults: FaultFigures,
}

/// Sends load to the fleet, writes the records of callers and endpoints, and reports.
pub fn run(options: &RunOptions) -> Result<Report, RunError> {
    let plan = LoadPlan::read(&options.dir)?;
    let agent = client::agent();
    let before = PeerBytes::read(&agent, &plan.routers);
    let start_us = now_us();
    let log = FaultLog::default();
    let watch = ConfigWatch::default();
    let calls = load(options, &plan, &log, &watch)?;
    let sending = Span::new(start_us, start_us + options.seconds * 1_000_000);
    let after = PeerBytes::read(&agent, &plan.routers);
    let rate = before.rate_until(&after);
    write_lines(&options.dir.join(CALLS_FILE), &calls)?;
    thread::sleep(CANCELLATION_DELAY);
    let runs = ledgers::read_runs(&agent, &plan)?;
    write_lines(&options.dir.join(RUNS_FILE), &runs)?;
    let events = log.lock().clone();
    let faults = fault_figures(&agent, &plan, &events, &runs, watch)?;
    let window = Window {
        seconds: options.seconds,
        seed: options.seed,
        sending,
        payload_per_node_s: rate.payload_per_node_s,
        wire_per_node_s: rate.wire_per_node_s,
        faults,
    };
    let text = serde_json::to_string_pretty(&window)?;
    fs::write(options.dir.join(WINDOW_FILE), text)?;
    report(&options.dir)
}

/// Creates the report of a run from its records.
pub fn report(dir: &Path) -> Result<Report, RunError> {
    let plan = LoadPlan::read(dir)?;
    let window: Window = serde_json::from_str(&fs::read_to_string(dir.join(WINDOW_FILE))?)?;
    let history = History {
        calls: read_lines(&dir.join(CALLS_FILE))?,
        runs: read_lines(&dir.join(RUNS_FILE))?,
        sending: window.sending,
        steady: steady(window.sending),
    };
    let peers = PeerRate {
        payload_per_node_s: window.payload_per_node_s,
        wire_per_node_s: window.wire_per_node_s,
    };
    let info = RunInfo {
        seconds: window.seconds,
        seed: window.seed,
        fault: (!plan.faults.is_empty()).then(|| plan.faults.to_string()),
        faults: window.faults,
    };
    Ok(Report::new(&plan, &history, info, peers))
}

fn steady(sending: Span) -> Span {
    let warm_up_us = (sending.length_us() as f64 * WARM_UP_SHARE) as u64;
    Span::new(sending.start_us + warm_up_us, sending.end_us)
}

fn fault_figures(
    agent: &Agent,
    plan: &LoadPlan,
    events: &FaultEvents,
    runs: &[RunRecord],
    watch: ConfigWatch,
) -> Result<FaultFigures, LedgerError> {
    if plan.faults.is_empty() {
        return Ok(FaultFigures::default());
    }
    let samples = watch.into_samples();
    let record = ConfigRecord {
        outcomes: &events.changes,
        samples: &samples,
        routers: &plan.routers,
        healed_at_us: events.healed_at_us,
    };
    let mut figures = record.figures();
    figures.runs_after_leaving = runs_after_leaving(runs, &events.left_at_us);
    if !events.orders.is_empty() {
        let orders = order_check::count(&ledgers::read_orders(agent, plan)?);
        let accepted = events.orders.iter().filter(|accepted| **accepted).count();
        figures.orders_accepted = Some(accepted as u64);
        figures.orders_failed = Some((events.orders.len() - accepted) as u64);
        figures.orders_in_effect = Some(orders.in_effect);
        figures.orders_wrong = Some(orders.stale);
    }
    Ok(figures)
}

fn load(
    options: &RunOptions,
    plan: &LoadPlan,
    log: &FaultLog,
    watch: &ConfigWatch,
) -> io::Result<Vec<CallRecord>> {
    let recorder = Recorder::default();
    let (clock, start) = (ProcessClock::start(), Instant::now());
    let sending_time = Duration::from_secs(options.seconds);
    let callers = Callers {
        plan,
        agent: client::agent(),
        recorder: &recorder,
        seed: options.seed,
        overload: options.overload,
        clock,
        stop_at: clock.now() + sending_time,
        sending_time,
    };
    let injector = FaultInjector {
        plan,
        processes: Processes::new(&options.dir),
        agent: client::agent(),
        start,
        sending_time,
        operators: Operators::new(&options.dir, plan.table_address),
        log,
    };
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| print_progress(&recorder, &done));
        if !plan.faults.is_empty() {
            let (agent, done) = (&injector.agent, &done);
            for router in &plan.routers {
                scope.spawn(move || watch.watch(agent, router, done));
            }
        }
        thread::scope(|load_scope| {
            callers.start(load_scope);
            start_faults(load_scope, plan, &injector, &callers);
        });
        wait_for_configuration(plan, &log.lock().changes, watch);
        done.store(true, Ordering::Relaxed);
    });
    if !plan.faults.is_empty() {
        injector.revive_endpoints()?;
    }
    Ok(recorder.into_calls())
}

/// Starts the faults of one run; they act at the same time, so each has its own thread.
fn start_faults<'scope>(
    scope: &'scope Scope<'scope, '_>,
    plan: &LoadPlan,
    injector: &'scope FaultInjector<'scope>,
    callers: &'scope Callers<'scope, ProcessClock>,
) {
    for fault in &plan.faults.0 {
        let steps = faults::steps(*fault, plan, injector.sending_time);
        scope.spawn(move || injector.run_steps(&steps));
        match fault {
            FaultName::Poison => {
                scope.spawn(|| callers.send_poison());
            }
            FaultName::Flood => callers.start_flood(scope),
            _ => {}
        }
    }
}

/// Waits until all routers have the last accepted change in force, up to a timeout.
fn wait_for_configuration(plan: &LoadPlan, changes: &[ChangeOutcome], watch: &ConfigWatch) {
    let generations = changes.iter().filter_map(|change| match change {
        ChangeOutcome::Accepted { generation, .. } => Some(*generation),
        ChangeOutcome::Conflict | ChangeOutcome::Failed(_) => None,
    });
    let Some(last) = generations.max() else {
        return;
    };
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while !watch.in_force_everywhere(&plan.routers, last) && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(50));
    }
}

/// Prints one line per second until the load is done.
fn print_progress(recorder: &Recorder, done: &AtomicBool) {
    let start = Instant::now();
    for second in 1.. {
        let next = start + Duration::from_secs(second);
        while Instant::now() < next {
            if done.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        let now = recorder.progress();
        println!(
            "{second:>4} s  sent {}  answered {}  refused {}  other {}  open {}",
            now.sent,
            now.whole,
            now.refused,
            now.other,
            now.open()
        );
    }
}
