//! Starts, signals and monitors the router processes under test.

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

/// File name of the router executable.
const PROGRAM: &str = "sedgeridge-edge";
/// Number of data centres over which routers and endpoints are distributed.
pub const DATA_CENTRES: usize = 2;

/// A router process with its settings and links.
#[derive(Debug)]
pub struct Router {
    /// Link from callers to the router.
    pub callers_link: Link,
    /// Link from the router to the store.
    pub store_link: Link,
    index: usize,
    ip: IpAddr,
    dir: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
    start_count: u32,
}

impl Router {
    /// Creates the links and the settings file of a router without starting it.
    ///
    /// # Errors
    ///
    /// A file cannot be written, or no port is free.
    pub fn new(index: usize, dir: &Path, binary: &Path, store: SocketAddr) -> io::Result<Self> {
        let ip = loopback(index);
        let callers_link = Link::to(SocketAddr::new(ip, CALLERS_PORT))?;
        let store_link = Link::to(store)?;
        let spec = SettingsSpec {
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
            start_count: 0,
        };
        fs::write(router.settings_path(), settings(&spec))?;
        Ok(router)
    }

    /// Starts the process if it does not run.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        self.start_count += 1;
        let log = format!("router-{}-run-{}.log", self.index, self.start_count);
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

    /// Sends a signal if the process runs.
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

    /// Returns how the process exited, once; `None` while it runs or when it was not started.
    ///
    /// # Errors
    ///
    /// The status of the process cannot be read.
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
            status: status.to_string(),
        }))
    }

    /// Returns the process id, 0 while none runs.
    pub fn process(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns the address on which the router accepts callers, bypassing the link.
    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Returns the address of the readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Returns the resident memory of the process in kilobytes, 0 if it does not run.
    pub fn memory_kb(&self) -> u64 {
        match self.has_begun() {
            true => resident_bytes(self.process()).unwrap_or(0) / 1_024,
            false => 0,
        }
    }

    /// Returns whether the process runs the router. Right after the start it is still a copy of this process, with the
    /// memory of this process.
    fn has_begun(&self) -> bool {
        let running = fs::read_link(format!("/proc/{}/exe", self.process()));
        running.is_ok_and(|running| running.file_name() == self.binary.file_name())
    }

    fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("router-{}.settings", self.index))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// How a process exited.
#[derive(Debug, Clone)]
pub struct Exit {
    /// Whether the exit status is success.
    pub is_clean: bool,
    /// Text of the exit status.
    pub status: String,
}

/// Returns the path of the router executable, which is in the directory of this one or its parent.
///
/// # Errors
///
/// The executable has not been built.
pub fn find_program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let directories = own.ancestors().skip(1).take(2);
    let mut candidates = directories
        .map(|dir| dir.join(PROGRAM))
        .filter(|it| it.is_file());
    candidates
        .next()
        .ok_or_else(|| io::Error::other(format!("{PROGRAM} is not built")))
}

/// Returns the loopback address of a router. It depends on the process id, because the ports of a
/// router are fixed and soak runs may take place at the same time.
fn loopback(index: usize) -> IpAddr {
    let own = std::process::id();
    let [_, _, high, low] = own.to_be_bytes();
    Ipv4Addr::new(127, 100 + high % 100, low, 10 + index as u8).into()
}
