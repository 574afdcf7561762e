//! Signals and restarts the processes of a run by their recorded ids.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::process_plan::PROCESS_PLAN_FILE;

/// File of process ids, one per line: name, id. The last line of a name is the current one.
pub const PIDS_FILE: &str = "pids";
/// Directory of the processes' output.
pub const LOGS_DIR: &str = "logs";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Signals that faults use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Ends a process without a chance to clean up.
    Kill,
    /// Freezes a process.
    Stop,
    /// Resumes a frozen process.
    Continue,
    /// Asks a process to stop.
    Terminate,
    /// Tells a process that its settings changed.
    Reload,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
            Self::Terminate => "TERM",
            Self::Reload => "HUP",
        }
    }
}

/// The processes listed in a run's directory.
#[derive(Debug, Clone)]
pub struct Processes {
    dir: PathBuf,
}

impl Processes {
    /// Processes of the run in a directory.
    pub fn new(dir: &Path) -> Self {
        Self {
            dir: dir.to_owned(),
        }
    }

    /// Sends a signal to the process of this name, by its recorded id.
    pub fn signal(&self, name: &str, signal: Signal) -> io::Result<()> {
        signal_process(self.pid(name)?, signal)
    }

    /// Restarts a process as the plan says, and records its new id.
    pub fn start(&self, name: &str) -> io::Result<()> {
        let plan = fs::read_to_string(self.dir.join(PROCESS_PLAN_FILE))?;
        let mut words = line_of(&plan, name)?.split_whitespace().skip(1);
        let program = words.next().unwrap_or_default();
        let binaries = std::env::current_exe()?;
        let log = self.log(name)?;
        let child = Command::new(binaries.with_file_name(program))
            .args(words)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pids = self.dir.join(PIDS_FILE);
        let mut pids = OpenOptions::new().append(true).open(pids)?;
        writeln!(pids, "{name} {}", child.id())
    }

    fn log(&self, name: &str) -> io::Result<File> {
        let path = self.dir.join(LOGS_DIR).join(format!("{name}.log"));
        OpenOptions::new().append(true).create(true).open(path)
    }

    fn pid(&self, name: &str) -> io::Result<u32> {
        let pids = fs::read_to_string(self.dir.join(PIDS_FILE))?;
        let pid = line_of(&pids, name)?.split_whitespace().nth(1);
        let pid = pid.and_then(|pid| pid.parse().ok());
        pid.ok_or_else(|| io::Error::other(format!("no process id recorded for {name}")))
    }
}

/// Sends a signal to a process that this program started.
///
/// # Errors
///
/// The process no longer exists.
pub fn signal_process(pid: u32, signal: Signal) -> io::Result<()> {
    let status = Command::new("sh")
        .args(["-c", "kill -s \"$1\" \"$2\"", "sh"])
        .args([signal.name(), &pid.to_string()])
        .stderr(Stdio::null())
        .status()?;
    if status.success() {
        return Ok(());
    }
    let signal = signal.name();
    Err(io::Error::other(format!(
        "cannot send signal {signal} to process {pid}"
    )))
}

fn line_of<'a>(text: &'a str, name: &str) -> io::Result<&'a str> {
    let mut lines = text.lines().rev();
    let line = lines.find(|line| line.split_whitespace().next() == Some(name));
    line.ok_or_else(|| io::Error::other(format!("no process named {name}")))
}

/// Whether something accepts connections at an address.
pub fn listens(address: SocketAddr) -> bool {
    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_ok()
}
