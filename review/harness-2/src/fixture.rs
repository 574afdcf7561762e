//! Routers as the deploy file starts them, with settings as the platform writes them.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// Command of the deploy file, in the repository's root.
const ROUTER: &str = "target/release/sedgeridge-edge";
pub const FRONTEND_PORT: u16 = 8783;
const READY_PORT: u16 = 8780;

/// Bounds and limits of the settings file that differ between sites.
#[derive(Debug, Clone, Copy)]
pub struct SiteSettings {
    pub memory_mb: u64,
    pub config_apply_ms: u64,
    pub drain_ms: u64,
    pub stable_ms: u64,
    pub grace_s: u64,
    pub retry_min_extra: u64,
}

/// `sites/taxitillstand-mlr.toml`.
pub const TAXITILLSTAND: SiteSettings = SiteSettings {
    memory_mb: 110,
    config_apply_ms: 2_000,
    drain_ms: 2_000,
    stable_ms: 3_000,
    grace_s: 8,
    retry_min_extra: 58,
};

/// `sites/luce-etna.toml`.
pub const LUCE_ETNA: SiteSettings = SiteSettings {
    memory_mb: 260,
    retry_min_extra: 52,
    ..TAXITILLSTAND
};

/// `demands/atlas-ci-grown.toml`, its smallest machines.
pub const ATLAS: SiteSettings = SiteSettings {
    memory_mb: 120,
    config_apply_ms: 3_000,
    drain_ms: 3_000,
    stable_ms: 4_000,
    grace_s: 8,
    retry_min_extra: 178,
};

/// A router of the play.
pub struct Router {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// All processes of a play, and its temporary folder. Both go when it is dropped.
pub struct Fixture {
    pub record: Arc<Record>,
    pub routers: Vec<Router>,
    pub net: [u8; 3],
    folder: PathBuf,
    keeps_folder: bool,
}

impl Fixture {
    /// Finds a free loopback network. `case` tells cases apart that are played side by side.
    pub fn new(case: u8, record: Arc<Record>) -> std::io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{case}-{pid}"));
        std::fs::create_dir_all(&folder)?;
        for attempt in 0..200u32 {
            let third = ((pid + attempt * 7) % 200 + 20) as u8;
            let net = [127, 60 + case, third];
            let is_free = |port| {
                let ip = Ipv4Addr::new(net[0], net[1], net[2], 1);
                TcpListener::bind(SocketAddr::from((ip, port))).is_ok()
            };
            if is_free(FRONTEND_PORT) && is_free(READY_PORT) {
                return Ok(Self {
                    record,
                    routers: Vec::new(),
                    net,
                    folder,
                    keeps_folder: std::env::var_os("KEEP").is_some(),
                });
            }
        }
        Err(std::io::Error::other("no free loopback addresses"))
    }

    /// Returns an address of the play's network.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], host)
    }

    /// Starts a router. Returns its number.
    pub fn add_router(
        &mut self,
        zones: &[&str],
        zone: &str,
        name: &str,
        store: SocketAddr,
        site: &SiteSettings,
    ) -> std::io::Result<usize> {
        let number = self.routers.len();
        let ip = self.ip(number as u8 + 1);
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, settings_text(zones, zone, name, ip, store, site))?;
        self.routers.push(Router {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            child: None,
            settings,
            log: self.folder.join(format!("{name}.log")),
        });
        self.start_router(number)?;
        Ok(number)
    }

    /// Writes a router's settings file anew, with other settings.
    pub fn change_settings(
        &self,
        number: usize,
        zones: &[&str],
        store: SocketAddr,
        site: &SiteSettings,
    ) {
        let router = &self.routers[number];
        let text = settings_text(zones, &router.zone, &router.name, router.ip, store, site);
        let _ = std::fs::write(&router.settings, text);
        self.record
            .note(&format!("settings of {} changed", router.name));
    }

    /// Starts a router's process, as at the beginning or after a kill.
    pub fn start_router(&mut self, number: usize) -> std::io::Result<()> {
        let router = &mut self.routers[number];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&router.log)?;
        let mut command = Command::new(ROUTER);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("SEDGERIDGE_BOOT", &router.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(&format!("start {} process {}", router.name, child.id()));
        router.child = Some(child);
        Ok(())
    }

    /// Waits until all routers say that they are ready. Returns whether they did in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends_at = Instant::now() + limit;
        self.routers.iter().all(|router| {
            while Instant::now() < ends_at {
                if is_ready(router.ip) {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// Returns the address at which a router accepts callers.
    pub fn frontend(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.routers[number].ip, FRONTEND_PORT))
    }

    /// Sends a signal to a router, by its id.
    pub fn signal(&self, number: usize, signal: &str) {
        let router = &self.routers[number];
        if let Some(child) = &router.child {
            self.record
                .say(&format!("signal {signal} to {}", router.name));
            let _ = Command::new("kill")
                .args(["-s", signal, &child.id().to_string()])
                .status();
        }
    }

    /// Kills a router and waits for its end.
    pub fn kill(&mut self, number: usize) {
        let router = &mut self.routers[number];
        if let Some(mut child) = router.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("killed {}", router.name));
        }
    }

    /// Returns the number of routers whose processes run.
    pub fn running(&mut self) -> usize {
        let children = self.routers.iter_mut().filter_map(|it| it.child.as_mut());
        children
            .filter_map(|child| child.try_wait().ok())
            .filter(Option::is_none)
            .count()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        for number in 0..self.routers.len() {
            self.kill(number);
        }
        if !self.keeps_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        self.record.flush();
    }
}

fn is_ready(ip: Ipv4Addr) -> bool {
    let request = b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let answer = http::fetch((ip, READY_PORT).into(), request, Duration::from_secs(1));
    answer.is_some_and(|answer| answer.status == 200)
}

fn settings_text(
    zones: &[&str],
    zone: &str,
    name: &str,
    ip: Ipv4Addr,
    store: SocketAddr,
    site: &SiteSettings,
) -> String {
    let zones: String = zones
        .iter()
        .map(|zone| format!("zones.{zone}=region\n"))
        .collect();
    let SiteSettings {
        memory_mb,
        config_apply_ms,
        drain_ms,
        stable_ms,
        grace_s,
        retry_min_extra,
    } = site;
    format!(
        "node_name={name}\nrole=router\nmachine_class=edge\nserves=edge\nip={ip}\nzone={zone}\nregion=region\n\
         {zones}listen.frontend={ip}:{FRONTEND_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
         listen.control_plane={ip}:8785\ninternal_ports=7400,7415\nseeds=\nbootstrap=true\nfault_counted=false\n\
         limits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds=4100\n\
         limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
         fault_tolerance.machines=9\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_ms={stable_ms}\nbounds.ack_ms=4000\n\
         bounds.catch_up_s=4\nbounds.drain_ms={drain_ms}\nbounds.grace_s={grace_s}\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms={config_apply_ms}\nbounds.rollback_slack_ms=250\nbounds.outer_bound_ms=5000\n\
         bounds.revoke_fail_closed=false\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\n\
         bounds.retry_window_s=10\nbounds.retry_min_extra={retry_min_extra}\nbounds.recover_s=12\n\
         bounds.max_delay_ms=120\nbounds.retry_after_s=9\nbounds.quota_window_s=4\n\
         platform.address={store}\nplatform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
         platform.tx_ms=5.0\nplatform.part_writes_per_s=200\nplatform.row_bytes=65536\n\
         platform.cross_partition=false\nplatform.history_s=20\nplatform.blob_bytes=8388608\n\
         platform.blob_ms=25.0\nplatform.blob_mb_per_s=80.0\n"
    )
}
