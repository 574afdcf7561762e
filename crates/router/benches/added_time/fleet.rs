//! Starts router processes.

use std::fmt::Write;
use std::fs;
use std::io::Read;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

const READY_POLLS: usize = 500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const KEY_SHA256: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// A running router.
#[derive(Debug)]
pub struct Router {
    /// Address to which callers connect.
    pub callers: SocketAddr,
    operators: SocketAddr,
    child: Child,
}

/// Starts routers with one engine, and waits until all are ready and know each other. Each override
/// is a `section.key=value`.
pub fn start(routers: usize, engine: SocketAddr, slots: u32, overrides: &[String]) -> Vec<Router> {
    let mut settings = format!(
        "[fleet]\nname = bench\n[platform]\ntable_address = 127.0.0.1:9\n\
         [site.local]\nregion = local\n[pool.engines]\nkind = model\n\
         [service.desk]\npool = engines\nrepeatable = yes\n\
         [endpoint.engine-1]\npool = engines\nsite = local\naddress = {engine}\nslots = {slots}\n\
         [account.crew-07]\nweight = 1\nkey_sha256 = {KEY_SHA256}\n"
    );
    let addresses: Vec<[SocketAddr; 3]> = (0..routers)
        .map(|_| [free_address(), free_address(), free_address()])
        .collect();
    for (index, [callers, peers, operators]) in addresses.iter().enumerate() {
        write!(
            settings,
            "[host.router-{index}]\nsite = local\ncaller_address = {callers}\n\
             peer_address = {peers}\noperator_address = {operators}\n"
        )
        .expect("a string takes all text");
    }
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("added_time.ini");
    fs::write(&file, settings).expect("a settings file");
    let routers: Vec<Router> = addresses
        .iter()
        .enumerate()
        .map(|(index, [callers, _, operators])| Router {
            callers: *callers,
            operators: *operators,
            child: spawn(&file, index, overrides),
        })
        .collect();
    for router in &routers {
        router.wait_for_members(routers.len());
    }
    routers
}

fn spawn(settings: &PathBuf, index: usize, overrides: &[String]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_sedgeridge-router"))
        .args(["--host", &format!("router-{index}"), "--config"])
        .arg(settings)
        .args(overrides.iter().flat_map(|value| ["--set", value]))
        .stderr(Stdio::null())
        .spawn()
        .expect("the router starts")
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Router {
    /// Returns whether this router is the home of the pool.
    pub fn is_home(&self) -> bool {
        self.status().contains(r#""homes":1"#)
    }

    /// Resident memory in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let id = self.child.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let digits = line.and_then(|line| line.split_whitespace().next());
        digits.expect("a figure").parse().expect("a number")
    }

    fn wait_for_members(&self, members: usize) {
        let expected = format!(r#""members":{members}"#);
        for _ in 0..READY_POLLS {
            let status = self.status();
            if status.contains(&expected) && status.contains(r#""ready":true"#) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        panic!("router not ready: {}", self.status());
    }

    fn status(&self) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.operators) {
            let request = "GET /operator/status HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n";
            let _ = stream.write_all(request.as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
