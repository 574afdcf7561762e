//! A small deployment: the store, engines, and the project's routers, each a process of its own. All of them end with it.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::put_row;
use crate::engine::STREAMS_PREFIX;
use crate::http;

pub const KEY: &str = "eevyxq2yyazax6pwawxd";
pub const HOST_NAME: &str = "ficu95.example";
/// Streams of this route may not run twice.
pub const STREAM_PATH: &str = "/pufi791/2f";
/// Prefix of an idempotent route of lookups.
pub const LOOKUP_PREFIX: &str = "/cufi504/";
/// Prefix of an idempotent route of updates.
pub const UPDATE_PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";
/// Service of the lookups and updates.
const APP_SERVICE: &str = "wuno96b";
/// Number of its engines.
const APP_ENGINES: usize = 3;
const ZONES: [&str; 3] = ["bento", "garibaldi", "farroupilha"];
const FRONTEND_PORT: u16 = 8162;
const READY_PORT: u16 = 8163;
const STORE_PORT: u16 = 8169;
const ENGINE_PORT: u16 = 8080;
const HEARTBEAT_MS: u64 = 1_200;
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// `stable_ms` of the settings.
const STABLE_TIME: Duration = Duration::from_secs(4);
pub const GRACE: Duration = Duration::from_secs(8);

/// Length and pace of the engines' streams.
#[derive(Debug, Clone, Copy)]
pub struct StreamShape {
    pub events: u64,
    pub event_bytes: usize,
    pub interval_ms: u64,
    /// Events that an engine writes one by one.
    pub single_events: u64,
    /// Number of the later events that it writes together.
    pub batch: u64,
}

#[derive(Debug, Clone, Copy)]
pub struct FleetSpec {
    pub routers: usize,
    pub engines: usize,
    pub shape: StreamShape,
    /// Memory limit of a router.
    pub memory_mb: u64,
}

/// What differs between the operator's configurations.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Timeout of the route of streams.
    pub stream_timeout_ms: u64,
    /// Whether there is a route of lookups.
    pub has_lookups: bool,
}

/// The configuration that every deployment starts with.
pub const FIRST_CONFIG: Config = Config {
    stream_timeout_ms: 10_000,
    has_lookups: true,
};

pub struct Fleet {
    spec: FleetSpec,
    folder: PathBuf,
    router_command: String,
    store: SocketAddr,
    processes: Vec<Child>,
    engines: Vec<(String, Option<Child>)>,
    routers: Vec<Option<Child>>,
    engine_starts: usize,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let engines = self.engines.drain(..).filter_map(|(_, engine)| engine);
        let routers = self.routers.drain(..).flatten();
        for mut process in routers.chain(engines).chain(self.processes.drain(..)) {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sends a signal to a process that this program started.
pub fn signal(process: &Child, name: &str) -> bool {
    let sent = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(process.id().to_string())
        .status();
    sent.is_ok_and(|status| status.success())
}

fn address_of(kind: u8, number: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, kind + number as u8, high, low.max(1))
}

fn end_with_parent(command: &mut Command) {
    extern "C" {
        fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call takes plain numbers and is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
            Ok(())
        });
    }
}

impl Fleet {
    /// Starts everything and waits until all routers are ready.
    pub fn start(spec: FleetSpec) -> Result<Self, String> {
        let deploy = fs::read_to_string("deploy/system.toml")
            .map_err(|error| format!("deploy file: {error}"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run.ok_or("the deploy file has no run line")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = SocketAddr::from((address_of(50, 0), STORE_PORT));
        let mut fleet = Self {
            spec,
            folder,
            router_command: run.trim().trim_matches('"').to_owned(),
            store,
            processes: Vec::new(),
            engines: Vec::new(),
            routers: Vec::new(),
            engine_starts: 0,
        };
        TcpListener::bind(store).map_err(|error| format!("{store}: {error}"))?;
        fleet.start_store()?;
        for number in 0..spec.engines + APP_ENGINES {
            fleet.engines.push((String::new(), None));
            fleet.start_engine(number)?;
        }
        fleet.write_config(1, FIRST_CONFIG);
        for number in 0..spec.routers {
            fleet.routers.push(None);
            fleet.start_router(number)?;
        }
        for number in 0..spec.routers {
            fleet.wait_until_ready(number)?;
        }
        // All machines are in touch from here on.
        thread::sleep(STABLE_TIME);
        Ok(fleet)
    }

    fn start_store(&mut self) -> Result<(), String> {
        let mut command = Command::new(std::env::current_exe().map_err(|error| error.to_string())?);
        command.args(["store", &self.store.to_string()]);
        end_with_parent(&mut command);
        self.processes
            .push(command.spawn().map_err(|error| error.to_string())?);
        let ends_at = Instant::now() + START_TIMEOUT;
        while http::call(self.store, "GET", "/v1/rows-get?table=op", "").is_none() {
            if Instant::now() > ends_at {
                return Err("the store does not answer".to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Starts an engine, under a new id each time.
    pub fn start_engine(&mut self, number: usize) -> Result<(), String> {
        self.engine_starts += 1;
        let id = format!("i-{:04x}", self.engine_starts);
        let address = SocketAddr::from((address_of(60, number), ENGINE_PORT));
        let shape = self.spec.shape;
        let service = match number < self.spec.engines {
            true => SERVICE,
            false => APP_SERVICE,
        };
        let mut command = Command::new(std::env::current_exe().map_err(|error| error.to_string())?);
        command.arg("engine").args([
            format!("id={id}"),
            format!("address={address}"),
            format!("store={}", self.store),
            format!("service={service}"),
            format!("zone={}", ZONES[number % ZONES.len()]),
            format!("events={}", shape.events),
            format!("event_bytes={}", shape.event_bytes),
            format!("interval_ms={}", shape.interval_ms),
            format!("single_events={}", shape.single_events),
            format!("batch={}", shape.batch),
            format!("heartbeat_ms={HEARTBEAT_MS}"),
            format!("record={}", self.record_path().display()),
        ]);
        end_with_parent(&mut command);
        let process = command.spawn().map_err(|error| error.to_string())?;
        self.engines[number] = (id, Some(process));
        Ok(())
    }

    /// Kills an engine as in a crash.
    pub fn kill_engine(&mut self, number: usize) {
        if let Some(mut process) = self.engines[number].1.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn engine_id(&self, number: usize) -> &str {
        &self.engines[number].0
    }

    /// Writes the operator's configuration. Returns whether the store acknowledged it.
    pub fn write_config(&self, version: u64, config: Config) -> bool {
        let stream_timeout_ms = config.stream_timeout_ms;
        let idempotent_route = |name: &str, prefix: &str| {
            format!(
                ",{{\"name\":\"{name}\",\"host\":\"{HOST_NAME}\",\"path_prefix\":\"{prefix}\",\"type\":\"idempotent\",\
                 \"timeout_ms\":5000,\"target_latency_ms\":500,\"priority\":2,\"service\":\"{APP_SERVICE}\",\
                 \"max_attempts\":2,\"public\":true}}"
            )
        };
        let lookups = match config.has_lookups {
            true => idempotent_route("r-v2bfkz4", LOOKUP_PREFIX),
            false => String::new(),
        };
        let updates = idempotent_route("r-k81dmw0", UPDATE_PREFIX);
        let document = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-bp7tcw9\",\"host\":\"{HOST_NAME}\",\
             \"path_prefix\":\"{STREAMS_PREFIX}\",\"type\":\"streaming\",\"timeout_ms\":{stream_timeout_ms},\
             \"target_latency_ms\":250,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":1,\"public\":false,\
             \"sticky\":true,\"resumable\":false,\"gap_target_ms\":300}}{lookups}{updates}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":590,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
             \"engine\":{{\"slots\":64,\"kv_capacity\":511219,\"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"{APP_SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":530,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":3000000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
        );
        put_row(self.store, "op", "config", &document)
    }

    /// Starts a router with the command of the deploy file.
    pub fn start_router(&mut self, number: usize) -> Result<(), String> {
        let ip = address_of(100, number);
        let path = self.folder.join(format!("settings-{number}.conf"));
        fs::write(&path, self.settings(number, ip)).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("router-{number}.log")));
        let mut words = self.router_command.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words).env("SEDGERIDGE_BOOT", &path);
        command
            .stdout(log.map_err(|error| error.to_string())?)
            .stderr(Stdio::inherit());
        end_with_parent(&mut command);
        let process = command
            .spawn()
            .map_err(|error| format!("{}: {error}", self.router_command))?;
        self.routers[number] = Some(process);
        Ok(())
    }

    fn settings(&self, number: usize, ip: Ipv4Addr) -> String {
        let zone = ZONES[number % ZONES.len()];
        let store = self.store;
        let zones = ZONES
            .map(|zone| format!("zones.{zone}=serra-gaucha\n"))
            .concat();
        let grace_s = GRACE.as_secs();
        let memory_mb = self.spec.memory_mb;
        format!(
            "node_name=edge-{zone}-{number}\nrole=router\nmachine_class=edge\nserves=edge\nip={ip}\nzone={zone}\n\
             region=serra-gaucha\n{zones}listen.frontend={ip}:{FRONTEND_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
             internal_ports=7240,7255\nseeds=\nbootstrap=true\nfault_counted=false\nlimits.cpu_share=0.5\n\
             limits.cpu_cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds=8192\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=vip\nheartbeat_ms={HEARTBEAT_MS}\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
             bounds.stable_ms=4000\nbounds.ack_ms=6000\nbounds.catch_up_s=6\nbounds.drain_ms=3000\n\
             bounds.grace_s={grace_s}\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n\
             bounds.rollback_slack_ms=250\nbounds.outer_bound_ms=6000\nbounds.retry_budget_ratio=0.2\n\
             bounds.retry_window_s=10\nbounds.retry_min_extra=198\nbounds.recover_s=15\nbounds.max_delay_ms=200\n\
             bounds.retry_after_s=10\nbounds.quota_window_s=4\nplatform.address={store}\nplatform.form=table\n\
             platform.writes_per_s=1200\nplatform.reads_per_s=6000\nplatform.tx_ms=5.0\n\
             platform.part_writes_per_s=200\nplatform.row_bytes=65536\nplatform.history_s=20\n"
        )
    }

    pub fn wait_until_ready(&self, number: usize) -> Result<(), String> {
        let address = SocketAddr::from((address_of(100, number), READY_PORT));
        let ends_at = Instant::now() + START_TIMEOUT;
        while http::call(address, "GET", "/v1/readyz", "").is_none_or(|(status, _)| status != 200) {
            if Instant::now() > ends_at {
                return Err(format!("router {number} is not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the address at which a router accepts clients.
    pub fn frontend(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(address_of(100, number), FRONTEND_PORT)
    }

    /// Sends SIGTERM to a router.
    pub fn terminate_router(&self, number: usize) -> bool {
        self.routers[number]
            .as_ref()
            .is_some_and(|router| signal(router, "TERM"))
    }

    /// Waits until a router has ended, and kills it after the grace time. Returns how long that took and how it ended.
    pub fn wait_for_end(&mut self, number: usize) -> (Duration, String) {
        let asked_at = Instant::now();
        let Some(mut router) = self.routers[number].take() else {
            return (Duration::ZERO, "not started".to_owned());
        };
        loop {
            if let Ok(Some(status)) = router.try_wait() {
                return (asked_at.elapsed(), status.to_string());
            }
            if asked_at.elapsed() >= GRACE {
                let _ = router.kill();
                let _ = router.wait();
                return (
                    asked_at.elapsed(),
                    "SIGKILL after the grace time".to_owned(),
                );
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the resident memory of a router in bytes.
    pub fn router_memory(&self, number: usize) -> u64 {
        const PAGE_BYTES: u64 = 4_096;
        let id = self.routers[number].as_ref().map_or(0, Child::id);
        let pages = fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
        let resident = pages
            .split(' ')
            .nth(1)
            .and_then(|pages| pages.parse::<u64>().ok());
        resident.unwrap_or(0) * PAGE_BYTES
    }

    /// Kills a router, as the platform does with a process over its memory limit.
    pub fn kill_router(&mut self, number: usize) {
        if let Some(mut router) = self.routers[number].take() {
            let _ = router.kill();
            let _ = router.wait();
        }
    }

    fn record_path(&self) -> PathBuf {
        self.folder.join("engines.txt")
    }

    /// Returns what the engines have recorded so far.
    pub fn engine_record(&self) -> String {
        fs::read_to_string(self.record_path()).unwrap_or_default()
    }

    /// Returns the lines of a router's log that name an attempt.
    pub fn router_lines(&self, number: usize, attempt: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("router-{number}.log")))
            .unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(attempt))
            .map(str::to_owned)
            .collect()
    }
}

/// The record of a case: lines with the time since its start.
pub struct Record {
    file: File,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: File::create(folder.join("record.txt"))?,
            started_at: Instant::now(),
        })
    }

    pub fn note(&mut self, line: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file, "{at:8.3} {line}");
        println!("{at:8.3} {line}");
    }
}
