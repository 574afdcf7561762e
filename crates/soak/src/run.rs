//! One soak run: starts everything, injects faults, waits, observes a quiet period, stops the
//! routers and checks the guarantees.

use std::cell::Cell;
use std::cell::RefCell;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use sedgeridge_coordination::clock::Clock;
use sedgeridge_load::processes::Signal;
use sedgeridge_platform_standins::crashing_parts::CrashCause;
use sedgeridge_platform_standins::documents::READY_PATH;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers;
use crate::callers::SharedState;
use crate::links::inject_fault;
use crate::promises::GRACE;
use crate::promises::Violation;
use crate::promises::check;
use crate::records::CrashCounts;
use crate::records::Disturbance;
use crate::records::Observations;
use crate::records::PlannedStop;
use crate::routers::Router;
use crate::routers::find_program;
use crate::schedule::Fault;
use crate::schedule::PlannedFault;
use crate::schedule::Targets;
use crate::schedule::plan_faults;
use crate::site::Site;

/// Time within which all routers must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the end of the last fault to the quiet period. A silent connection to the store is
/// detected as dead after 3.2 s, and entries need time to settle.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Duration of the quiet period.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Interval between checks of processes and readiness.
const WATCH_INTERVAL: Duration = Duration::from_millis(40);
/// Time after the end of a disturbance in which it may still affect requests.
const AFTEREFFECT_TIME: Duration = Duration::from_millis(1_500);
/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(150);

/// Size, duration and seed of a run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// Seed of the faults and callers.
    pub seed: u64,
    /// Time during which faults are injected.
    pub fault_period: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Number of endpoints, half of them for streams.
    pub endpoints: usize,
    /// Number of callers.
    pub callers: u64,
    /// Directory for settings and logs.
    pub dir: PathBuf,
}

impl Default for RunConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            fault_period: Duration::from_secs(12),
            routers: 4,
            endpoints: 6,
            callers: 24,
            dir: std::env::temp_dir().join("sedgeridge-soak"),
        }
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Broken guarantees.
    pub violations: Vec<Violation>,
    /// Injected faults.
    pub faults: Vec<PlannedFault>,
    /// Observations in which the violations were found.
    pub observations: Observations,
}

/// Runs the soak once. The clock starts with the run.
///
/// # Errors
///
/// Something other than the routers failed, so the run says nothing about them.
pub fn run<C: Clock + 'static>(config: &RunConfig, clock: C) -> io::Result<RunResult> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut result = LocalSet::new().block_on(&runtime, run_all(config, clock))?;
    result.violations = check(&result.observations);
    Ok(result)
}

/// All parts of a run, which one task controls.
struct SoakRun<C> {
    site: Site,
    routers: Vec<Router>,
    shared: Rc<SharedState<C>>,
    observations: Observations,
    /// Whether each router should run; an unclean exit of one that should is unexpected.
    should_run: Vec<bool>,
}

async fn run_all<C: Clock + 'static>(config: &RunConfig, clock: C) -> io::Result<RunResult> {
    fs::create_dir_all(&config.dir)?;
    let mut soak = SoakRun::start(config, clock)?;
    soak.wait_until_ready().await?;
    for number in 0..config.callers {
        spawn_local(callers::run(soak.shared.clone(), number, config.seed));
    }
    for cause in [CrashCause::Part, CrashCause::Request] {
        let shared = soak.shared.clone();
        spawn_local(callers::run_crashing_caller(shared, cause, config.seed));
    }
    let targets = Targets {
        routers: config.routers as u64,
        endpoints: config.endpoints as u64,
    };
    let faults = plan_faults(config.seed, targets, config.fault_period);
    soak.inject_faults(&faults).await?;
    soak.watch_for(SETTLE_TIME).await?;
    let quiet_from = soak.shared.now();
    let parts_before = soak.arrivals(CrashCause::Part);
    let requests_before = soak.arrivals(CrashCause::Request);
    soak.watch_for(QUIET_TIME).await?;
    soak.observations.part_crashes = soak.crash_counts(CrashCause::Part, parts_before);
    soak.observations.request_crashes = soak.crash_counts(CrashCause::Request, requests_before);
    soak.observations.quiet_period = (quiet_from, soak.shared.now());
    soak.stop_all().await?;
    Ok(RunResult {
        violations: Vec::new(),
        faults,
        observations: soak.into_observations(),
    })
}

impl<C: Clock + 'static> SoakRun<C> {
    fn start(config: &RunConfig, clock: C) -> io::Result<Self> {
        let program = find_program()?;
        let site = Site::start(config.endpoints)?;
        let routers = (0..config.routers)
            .map(|index| Router::new(index, &config.dir, &program, site.store_address()));
        let mut routers = routers.collect::<io::Result<Vec<_>>>()?;
        for router in &mut routers {
            router.start()?;
        }
        let addresses = routers.iter().map(|router| router.callers_link.address());
        let shared = SharedState {
            clock,
            addresses: addresses.collect(),
            process_ids: RefCell::new(routers.iter().map(Router::process).collect()),
            ready: RefCell::new(vec![false; routers.len()]),
            newest_key: Cell::new((site.generation(), Duration::ZERO)),
            stream_versions: RefCell::new(site.stream_versions()),
            crashing: site.crashing.clone(),
            keep_sending: Cell::new(true),
            records: RefCell::default(),
        };
        Ok(Self {
            should_run: vec![true; routers.len()],
            site,
            routers,
            shared: Rc::new(shared),
            observations: Observations::default(),
        })
    }

    /// Returns the number of requests that crash endpoints and have reached one.
    fn arrivals(&self, cause: CrashCause) -> usize {
        self.site.crashing.arrivals(cause).len()
    }

    fn crash_counts(&self, cause: CrashCause, arrivals_before: usize) -> CrashCounts {
        CrashCounts {
            crashes: self.site.crashing.crashes(cause).len(),
            late_requests: self.arrivals(cause) - arrivals_before,
        }
    }

    async fn wait_until_ready(&mut self) -> io::Result<()> {
        let ends_at = self.shared.now() + START_TIMEOUT;
        while self.shared.now() < ends_at {
            self.watch().await?;
            if self.shared.ready.borrow().iter().all(|ready| *ready) {
                return Ok(());
            }
            sleep(WATCH_INTERVAL).await;
        }
        Err(io::Error::other("the routers did not become ready"))
    }

    /// Starts and ends faults at their times.
    async fn inject_faults(&mut self, faults: &[PlannedFault]) -> io::Result<()> {
        let starts = faults.iter().map(|fault| (fault.at, true, *fault));
        let ends = faults
            .iter()
            .map(|fault| (fault.at + fault.length, false, *fault));
        let mut transitions: Vec<_> = starts.chain(ends).collect();
        transitions.sort_by_key(|(at, _, _)| *at);
        let start = self.shared.now();
        for (at, is_start, planned) in transitions {
            let remaining = (start + at).saturating_sub(self.shared.now());
            self.watch_for(remaining).await?;
            match is_start {
                true => self.start_fault(&planned)?,
                false => self.end_fault(&planned)?,
            }
        }
        Ok(())
    }

    fn start_fault(&mut self, planned: &PlannedFault) -> io::Result<()> {
        match planned.fault {
            Fault::Kill(router) => {
                self.should_run[router as usize] = false;
                self.record_disturbance(router, planned);
                self.routers[router as usize].signal(Signal::Kill)?;
            }
            Fault::Stop(router) => {
                self.should_run[router as usize] = false;
                self.routers[router as usize].signal(Signal::Terminate)?;
            }
            Fault::Pause(router) => {
                self.record_disturbance(router, planned);
                self.routers[router as usize].signal(Signal::Stop)?;
            }
            Fault::Reload(router) => self.routers[router as usize].signal(Signal::Reload)?,
            Fault::CallersLink(router, fault) => {
                self.record_disturbance(router, planned);
                self.routers[router as usize]
                    .callers_link
                    .start_fault(fault)?;
            }
            Fault::StoreLink(router, fault) => {
                self.routers[router as usize]
                    .store_link
                    .start_fault(fault)?;
            }
            Fault::EndpointLink(endpoint, fault) => {
                self.site.endpoints[endpoint as usize]
                    .link
                    .start_fault(fault)?;
            }
            Fault::Store(fault) => inject_fault(&self.site.store, fault, planned.length)?,
            Fault::StoreForgets => self.site.rows.forget_history(),
            Fault::CopyStore => self.site.copy_store(),
            Fault::RestoreStore => self.site.lose_later_rows(),
            Fault::WriteAgain => self.site.write_again(),
            Fault::Endpoint(endpoint, fault) => {
                let endpoint = &self.site.endpoints[endpoint as usize];
                let injected = inject_fault(&endpoint.server, fault, planned.length);
                if !endpoint.may_be_down(&self.site.crashing) {
                    injected?;
                }
            }
            Fault::Leave(endpoint) | Fault::Upgrade(endpoint, _) => {
                self.site.endpoints[endpoint as usize].put_entry(&self.site.rows, true);
                self.note_stream_versions();
            }
            Fault::ChangeKeys => {
                self.site.change_keys();
                let now = self.shared.now();
                self.shared.newest_key.set((self.site.generation(), now));
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, planned: &PlannedFault) -> io::Result<()> {
        match planned.fault {
            Fault::Kill(router) => {
                self.should_run[router as usize] = true;
                self.extend_disturbance(router);
            }
            Fault::Stop(router) => self.should_run[router as usize] = true,
            Fault::Pause(router) => {
                self.routers[router as usize].signal(Signal::Continue)?;
                self.extend_disturbance(router);
            }
            Fault::CallersLink(router, fault) => {
                self.routers[router as usize]
                    .callers_link
                    .end_fault(fault)?;
                self.extend_disturbance(router);
            }
            Fault::StoreLink(router, fault) => {
                self.routers[router as usize].store_link.end_fault(fault)?;
            }
            Fault::EndpointLink(endpoint, fault) => {
                self.site.endpoints[endpoint as usize]
                    .link
                    .end_fault(fault)?;
            }
            Fault::Leave(endpoint) => {
                self.site.endpoints[endpoint as usize].relist(&self.site.rows);
                self.note_stream_versions();
            }
            Fault::Upgrade(endpoint, release) => {
                self.site.endpoints[endpoint as usize].upgrade(&self.site.rows, release);
                self.note_stream_versions();
            }
            Fault::RestoreStore => self.site.rows.set_away(false),
            Fault::Reload(_)
            | Fault::Store(_)
            | Fault::StoreForgets
            | Fault::CopyStore
            | Fault::WriteAgain
            | Fault::Endpoint(..)
            | Fault::ChangeKeys => {}
        }
        Ok(())
    }

    /// Tells callers how many endpoints serve streams at each software version.
    fn note_stream_versions(&self) {
        *self.shared.stream_versions.borrow_mut() = self.site.stream_versions();
    }

    fn record_disturbance(&mut self, router: u64, planned: &PlannedFault) {
        let from = self.shared.now();
        self.observations.disturbances.push(Disturbance {
            router: router as usize,
            from,
            to: from + planned.length + AFTEREFFECT_TIME,
        });
    }

    /// Extends the last disturbance of a router whose fault ends now. On a busy machine faults end late.
    fn extend_disturbance(&mut self, router: u64) {
        let to = self.shared.now() + AFTEREFFECT_TIME;
        let disturbances = self.observations.disturbances.iter_mut().rev();
        let mut of_router = disturbances.filter(|it| it.router == router as usize);
        if let Some(last) = of_router.next() {
            last.to = last.to.max(to);
        }
    }

    async fn watch_for(&mut self, time: Duration) -> io::Result<()> {
        let ends_at = self.shared.now() + time;
        loop {
            self.watch().await?;
            let remaining = ends_at.saturating_sub(self.shared.now());
            if remaining.is_zero() {
                return Ok(());
            }
            sleep(remaining.min(WATCH_INTERVAL)).await;
        }
    }

    /// Records exits and memory, starts routers that should run, and checks readiness.
    async fn watch(&mut self) -> io::Result<()> {
        for (index, router) in self.routers.iter_mut().enumerate() {
            if let Some(exit) = router.take_exit()?
                && !exit.is_clean
                && self.should_run[index]
                && !is_disturbed(&self.observations, index, self.shared.now())
            {
                self.observations
                    .unexpected_exits
                    .push((index, exit.status));
            }
            self.observations.peak_memory_kb =
                self.observations.peak_memory_kb.max(router.memory_kb());
            if self.should_run[index] {
                router.start()?;
            }
            self.shared.process_ids.borrow_mut()[index] = router.process();
        }
        for index in 0..self.routers.len() {
            self.site.carry_out_crashes(self.shared.now())?;
            self.note_stream_versions();
            let is_ready = is_ready(self.routers[index].ready_address()).await;
            self.shared.ready.borrow_mut()[index] = is_ready;
        }
        Ok(())
    }

    /// Stops the routers one after another. Callers keep sending until the last one.
    async fn stop_all(&mut self) -> io::Result<()> {
        for index in 0..self.routers.len() {
            if index + 1 == self.routers.len() {
                self.shared.keep_sending.set(false);
            }
            self.should_run[index] = false;
            let requested_at = self.shared.now();
            self.routers[index].signal(Signal::Terminate)?;
            let mut stop = PlannedStop {
                router: index,
                requested_at,
                ended_at: None,
                is_clean: false,
            };
            while self.shared.now() < requested_at + GRACE + AFTEREFFECT_TIME {
                self.shared.ready.borrow_mut()[index] = false;
                if let Some(exit) = self.routers[index].take_exit()? {
                    stop.ended_at = Some(self.shared.now());
                    stop.is_clean = exit.is_clean;
                    break;
                }
                sleep(WATCH_INTERVAL).await;
            }
            self.observations.stops.push(stop);
        }
        Ok(())
    }

    fn into_observations(self) -> Observations {
        Observations {
            records: self.shared.records.take(),
            run_ids: self.site.runs.ids(),
            duration: self.shared.now(),
            ..self.observations
        }
    }
}

/// Whether the router is in a period of disturbance. The exit of a killed process may be noticed
/// only after the fault has ended.
fn is_disturbed(observations: &Observations, router: usize, now: Duration) -> bool {
    let mut of_router = observations
        .disturbances
        .iter()
        .filter(|it| it.router == router);
    of_router.any(|it| it.from <= now && it.to >= now)
}

async fn is_ready(address: SocketAddr) -> bool {
    let check = tokio::task::spawn_blocking(move || check_ready(address));
    check.await.is_ok_and(|answer| answer.unwrap_or(false))
}

fn check_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, READY_TIMEOUT)?;
    stream.set_read_timeout(Some(READY_TIMEOUT))?;
    write!(
        stream,
        "GET {READY_PATH} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n"
    )?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    Ok(head.ends_with(b" 200"))
}
