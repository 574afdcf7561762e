//! One run: start everything, let faults come, wait, watch the quiet end, stop, check.

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
use sedgeridge_platform_standins::documents::READY_PATH;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::callers;
use crate::callers::Shared;
use crate::links::misbehave;
use crate::promises::GRACE;
use crate::promises::Violation;
use crate::promises::check;
use crate::records::Disturbance;
use crate::records::Evidence;
use crate::records::PlannedStop;
use crate::routers::Router;
use crate::routers::find_program;
use crate::schedule::Fault;
use crate::schedule::Planned;
use crate::schedule::Targets;
use crate::schedule::draw;
use crate::site::Site;

/// Time in which all routers have to be ready after their start.
const START_TIME: Duration = Duration::from_secs(10);
/// Time from the end of the last fault to the quiet end: a silent connection to the store is found
/// dead after 3.2 s, and entries settle.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Length of the quiet end.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Time between looks at processes and readiness.
const WATCH_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a disturbance of a router has no more effect on requests.
const AFTER_EFFECT: Duration = Duration::from_millis(1_500);
/// Longest wait for an answer about readiness.
const READY_TIMEOUT: Duration = Duration::from_millis(150);

/// Size, length and seed of a run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Time in which faults come.
    pub faults_for: Duration,
    /// Routers.
    pub routers: usize,
    /// Endpoints, half of them for streams.
    pub endpoints: usize,
    /// Callers.
    pub callers: u64,
    /// Directory for settings and logs.
    pub dir: PathBuf,
}

impl Default for RunConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            faults_for: Duration::from_secs(12),
            routers: 4,
            endpoints: 6,
            callers: 24,
            dir: std::env::temp_dir().join("sedgeridge-soak"),
        }
    }
}

/// What a run showed.
#[derive(Debug)]
pub struct RunResult {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Faults that came.
    pub faults: Vec<Planned>,
    /// What the violations were found in.
    pub evidence: Evidence,
}

/// Runs the soak once. The clock starts with the run.
///
/// # Errors
///
/// Something around the routers failed; this says nothing about them.
pub fn run<C: Clock + 'static>(config: &RunConfig, clock: C) -> io::Result<RunResult> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut result = LocalSet::new().block_on(&runtime, run_all(config, clock))?;
    result.violations = check(&result.evidence);
    Ok(result)
}

/// The running parts, steered by one task.
struct Steering<C> {
    site: Site,
    routers: Vec<Router>,
    shared: Rc<Shared<C>>,
    evidence: Evidence,
    /// Whether each router is meant to run; an exit of another one is its own.
    is_meant_to_run: Vec<bool>,
}

async fn run_all<C: Clock + 'static>(config: &RunConfig, clock: C) -> io::Result<RunResult> {
    fs::create_dir_all(&config.dir)?;
    let mut steering = Steering::start(config, clock)?;
    steering.wait_until_ready().await?;
    for number in 0..config.callers {
        spawn_local(callers::run(steering.shared.clone(), number, config.seed));
    }
    let targets = Targets {
        routers: config.routers as u64,
        endpoints: config.endpoints as u64,
    };
    let faults = draw(config.seed, targets, config.faults_for);
    steering.play(&faults).await?;
    steering.watch_for(SETTLE_TIME).await?;
    let calm_from = steering.shared.now();
    steering.watch_for(CALM_TIME).await?;
    steering.evidence.calm = (calm_from, steering.shared.now());
    steering.stop_all().await?;
    Ok(RunResult {
        violations: Vec::new(),
        faults,
        evidence: steering.into_evidence(),
    })
}

impl<C: Clock + 'static> Steering<C> {
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
        let shared = Shared {
            clock,
            addresses: addresses.collect(),
            processes: RefCell::new(routers.iter().map(Router::process).collect()),
            ready: RefCell::new(vec![false; routers.len()]),
            key: Cell::new((site.generation(), Duration::ZERO)),
            goes_on: Cell::new(true),
            records: RefCell::default(),
        };
        Ok(Self {
            is_meant_to_run: vec![true; routers.len()],
            site,
            routers,
            shared: Rc::new(shared),
            evidence: Evidence::default(),
        })
    }

    async fn wait_until_ready(&mut self) -> io::Result<()> {
        let ends_at = self.shared.now() + START_TIME;
        while self.shared.now() < ends_at {
            self.watch().await?;
            if self.shared.ready.borrow().iter().all(|ready| *ready) {
                return Ok(());
            }
            sleep(WATCH_INTERVAL).await;
        }
        Err(io::Error::other("the routers did not become ready"))
    }

    /// Lets faults begin and end at their times.
    async fn play(&mut self, faults: &[Planned]) -> io::Result<()> {
        let begins = faults.iter().map(|fault| (fault.at, true, *fault));
        let ends = faults
            .iter()
            .map(|fault| (fault.at + fault.length, false, *fault));
        let mut moments: Vec<_> = begins.chain(ends).collect();
        moments.sort_by_key(|(at, _, _)| *at);
        let start = self.shared.now();
        for (at, is_beginning, planned) in moments {
            let left = (start + at).saturating_sub(self.shared.now());
            self.watch_for(left).await?;
            match is_beginning {
                true => self.begin(&planned)?,
                false => self.end(&planned)?,
            }
        }
        Ok(())
    }

    fn begin(&mut self, planned: &Planned) -> io::Result<()> {
        match planned.fault {
            Fault::Kill(router) => {
                self.is_meant_to_run[router as usize] = false;
                self.disturb(router, planned);
                self.routers[router as usize].signal(Signal::Kill)?;
            }
            Fault::Stop(router) => {
                self.is_meant_to_run[router as usize] = false;
                self.routers[router as usize].signal(Signal::Terminate)?;
            }
            Fault::Pause(router) => {
                self.disturb(router, planned);
                self.routers[router as usize].signal(Signal::Stop)?;
            }
            Fault::Reload(router) => self.routers[router as usize].signal(Signal::Reload)?,
            Fault::CallersLink(router, fault) => {
                self.disturb(router, planned);
                self.routers[router as usize].callers_link.begin(fault)?;
            }
            Fault::StoreLink(router, fault) => {
                self.routers[router as usize].store_link.begin(fault)?;
            }
            Fault::EndpointLink(endpoint, fault) => {
                self.site.endpoints[endpoint as usize].link.begin(fault)?;
            }
            Fault::Store(fault) => misbehave(&self.site.store, fault, planned.length)?,
            Fault::StoreForgets => self.site.rows.forget_history(),
            Fault::Endpoint(endpoint, fault) => {
                let endpoint = &self.site.endpoints[endpoint as usize];
                misbehave(&endpoint.server, fault, planned.length)?;
            }
            Fault::Leave(endpoint) => {
                self.site.endpoints[endpoint as usize].list(&self.site.rows, true);
            }
            Fault::ChangeKeys => {
                self.site.change_keys();
                let now = self.shared.now();
                self.shared.key.set((self.site.generation(), now));
            }
        }
        Ok(())
    }

    fn end(&mut self, planned: &Planned) -> io::Result<()> {
        match planned.fault {
            Fault::Kill(router) | Fault::Stop(router) => {
                self.is_meant_to_run[router as usize] = true;
            }
            Fault::Pause(router) => self.routers[router as usize].signal(Signal::Continue)?,
            Fault::CallersLink(router, fault) => {
                self.routers[router as usize].callers_link.end(fault)?;
            }
            Fault::StoreLink(router, fault) => {
                self.routers[router as usize].store_link.end(fault)?;
            }
            Fault::EndpointLink(endpoint, fault) => {
                self.site.endpoints[endpoint as usize].link.end(fault)?;
            }
            Fault::Leave(endpoint) => {
                self.site.endpoints[endpoint as usize].come_back(&self.site.rows);
            }
            Fault::Reload(_)
            | Fault::Store(_)
            | Fault::StoreForgets
            | Fault::Endpoint(..)
            | Fault::ChangeKeys => {}
        }
        Ok(())
    }

    fn disturb(&mut self, router: u64, planned: &Planned) {
        let from = self.shared.now();
        self.evidence.disturbances.push(Disturbance {
            router: router as usize,
            from,
            to: from + planned.length + AFTER_EFFECT,
        });
    }

    async fn watch_for(&mut self, time: Duration) -> io::Result<()> {
        let ends_at = self.shared.now() + time;
        loop {
            self.watch().await?;
            let left = ends_at.saturating_sub(self.shared.now());
            if left.is_zero() {
                return Ok(());
            }
            sleep(left.min(WATCH_INTERVAL)).await;
        }
    }

    /// Starts routers that are meant to run, notes exits, and asks who is ready.
    async fn watch(&mut self) -> io::Result<()> {
        for (index, router) in self.routers.iter_mut().enumerate() {
            if let Some(exit) = router.take_exit()?
                && !exit.is_clean
                && self.is_meant_to_run[index]
                && !was_killed(&self.evidence, index, self.shared.now())
            {
                self.evidence.own_exits.push((index, exit.seen));
            }
            // Before the start: for a moment after it the system tells this process's own memory for that
            // of its child, 46 to 56 MB where a router has 8.
            self.evidence.memory_kb = self.evidence.memory_kb.max(router.memory_kb());
            if self.is_meant_to_run[index] {
                router.start()?;
            }
            self.shared.processes.borrow_mut()[index] = router.process();
        }
        for index in 0..self.routers.len() {
            let is_ready = is_ready(self.routers[index].ready_address()).await;
            self.shared.ready.borrow_mut()[index] = is_ready;
        }
        Ok(())
    }

    /// Stops the routers one after the other while callers go on.
    async fn stop_all(&mut self) -> io::Result<()> {
        for index in 0..self.routers.len() {
            if index + 1 == self.routers.len() {
                self.shared.goes_on.set(false);
            }
            self.is_meant_to_run[index] = false;
            let asked_at = self.shared.now();
            self.routers[index].signal(Signal::Terminate)?;
            let mut stop = PlannedStop {
                router: index,
                asked_at,
                ended_at: None,
                is_clean: false,
            };
            while self.shared.now() < asked_at + GRACE + AFTER_EFFECT {
                self.shared.ready.borrow_mut()[index] = false;
                if let Some(exit) = self.routers[index].take_exit()? {
                    stop.ended_at = Some(self.shared.now());
                    stop.is_clean = exit.is_clean;
                    break;
                }
                sleep(WATCH_INTERVAL).await;
            }
            self.evidence.stops.push(stop);
        }
        Ok(())
    }

    fn into_evidence(self) -> Evidence {
        Evidence {
            records: self.shared.records.take(),
            runs: self.site.runs.ids(),
            length: self.shared.now(),
            ..self.evidence
        }
    }
}

/// A process that was killed may be seen to end only after its fault.
fn was_killed(evidence: &Evidence, router: usize, now: Duration) -> bool {
    let mut of_router = evidence
        .disturbances
        .iter()
        .filter(|it| it.router == router);
    of_router.any(|it| it.from <= now && it.to >= now)
}

async fn is_ready(address: SocketAddr) -> bool {
    let asked = tokio::task::spawn_blocking(move || ask_ready(address));
    asked.await.is_ok_and(|answer| answer.unwrap_or(false))
}

fn ask_ready(address: SocketAddr) -> io::Result<bool> {
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
