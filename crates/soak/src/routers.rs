//! The routers under test: real processes, started, signalled and watched from outside.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use sedgeridge_gateway::resident_memory::resident_bytes;
use sedgeridge_load::processes::Signal;
use sedgeridge_load::processes::signal_process;
use sedgeridge_platform_standins::documents::CALLERS_PORT;
use sedgeridge_platform_standins::documents::READY_PORT;
use sedgeridge_platform_standins::documents::SettingsSpec;
use sedgeridge_platform_standins::documents::settings;

use crate::links::Link;
use crate::promises::GRACE;

/// Name of the program.
const PROGRAM: &str = "sedgeridge-edge";
/// Data centres over which routers and endpoints are spread.
pub const DATA_CENTRES: usize = 2;

/// One router.
#[derive(Debug)]
pub struct Router {
    /// Its link to callers.
    pub callers_link: Link,
    /// Its link to the store.
    pub store_link: Link,
    index: usize,
    ip: IpAddr,
    dir: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
    runs: u32,
}

impl Router {
    /// Prepares a router; it is not started yet.
    ///
    /// # Errors
    ///
    /// A file cannot be written, or no port is free.
    pub fn new(index: usize, dir: &Path, binary: &Path, store: SocketAddr) -> io::Result<Self> {
        let ip = loopback(index);
        let callers_link = Link::to(SocketAddr::new(ip, CALLERS_PORT))?;
        let store_link = Link::to(store)?;
        let form = SettingsSpec {
            host: format!("router-{index}"),
            data_centre: format!("dc-{}", index % DATA_CENTRES),
            ip,
            store_address: store_link.address(),
            grace_s: GRACE.as_secs_f64(),
        };
        let router = Self {
            callers_link,
            store_link,
            index,
            ip,
            dir: dir.to_owned(),
            binary: binary.to_owned(),
            child: None,
            runs: 0,
        };
        fs::write(router.settings_path(), settings(&form))?;
        Ok(router)
    }

    /// Starts the process, if it does not run.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        self.runs += 1;
        let log = format!("router-{}-run-{}.log", self.index, self.runs);
        let log = File::create(self.dir.join(log))?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, if the process runs.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => signal_process(child.id(), signal),
            None => Ok(()),
        }
    }

    /// Tells whether the process has ended, and if so whether by a clean exit.
    ///
    /// # Errors
    ///
    /// The process cannot be asked for.
    pub fn take_exit(&mut self) -> io::Result<Option<Exit>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let Some(status) = child.try_wait()? else {
            return Ok(None);
        };
        self.child = None;
        Ok(Some(Exit {
            is_clean: status.success(),
            seen: status.to_string(),
        }))
    }

    /// Returns the process's id, 0 while none runs.
    pub fn process(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns where it accepts callers, without its link to them.
    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns where it tells whether it is ready.
    pub fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Returns the memory of the process in kilobytes, 0 if it does not run.
    pub fn memory_kb(&self) -> u64 {
        resident_bytes(self.process()).unwrap_or(0) / 1_024
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("router-{}.settings", self.index))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended by itself; then there is nothing to end.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// How a process ended.
#[derive(Debug, Clone)]
pub struct Exit {
    /// Whether it said that all is well.
    pub is_clean: bool,
    /// What the system says of it.
    pub seen: String,
}

/// Returns the path of the routers' program, which lies beside this one or one directory above.
///
/// # Errors
///
/// It has not been built.
pub fn find_program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let beside = own.ancestors().skip(1).take(2);
    let mut found = beside
        .map(|dir| dir.join(PROGRAM))
        .filter(|it| it.is_file());
    found
        .next()
        .ok_or_else(|| io::Error::other(format!("{PROGRAM} is not built")))
}

/// Addresses differ between runs at the same time, since a router's ports are fixed.
fn loopback(index: usize) -> IpAddr {
    let own = std::process::id();
    let [_, _, high, low] = own.to_be_bytes();
    Ipv4Addr::new(127, 100 + high % 100, low, 10 + index as u8).into()
}
