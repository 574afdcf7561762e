//! Starts a router process with a model pool, for tests that use it over the network.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub mod fake_engine;

/// Maximum time to wait for an expected event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// SHA-256 of the account's key, `secret`.
const KEY_SHA256: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// Waits until a condition holds.
#[track_caller]
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "{what}: not within the patience of the test"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns an address that nothing else uses, from the process id and a counter. A port that the
/// system chose and the test released could be taken by any connection before the router binds it.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 201, high, low], port))
}

/// A running router, killed at the end of the test.
pub struct Router {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Router {
    /// Starts a router with one engine; `front` holds additional lines of the section `[front]`.
    pub fn start(name: &str, engine: SocketAddr, front: &str) -> Self {
        Self::start_on_platform(name, engine, front, "")
    }

    /// Like [`Self::start`], with additional lines of the section `[platform]`.
    pub fn start_on_platform(name: &str, engine: SocketAddr, front: &str, platform: &str) -> Self {
        let callers = free_address();
        let operators = free_address();
        let peers = free_address();
        let text = format!(
            "[fleet]\nname = test\n[platform]\ntable_address = 127.0.0.1:9\n\
             {platform}\n[front]\n{front}\n[site.local]\nregion = local\n\
             [host.router-1]\nsite = local\ncaller_address = {callers}\npeer_address = {peers}\n\
             operator_address = {operators}\n[pool.engines]\nkind = model\n\
             [service.desk]\npool = engines\nrepeatable = yes\n\
             [endpoint.engine-1]\npool = engines\nsite = local\naddress = {engine}\nslots = 4\n\
             [account.crew-07]\nweight = 1\nkey_sha256 = {KEY_SHA256}\n"
        );
        // The name has the process id, as several runs of the tests share the directory.
        let file = format!("{name}-{}.ini", std::process::id());
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&settings, text).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_sedgeridge-router"))
            .args(["--host", "router-1", "--config"])
            .arg(&settings)
            .stderr(Stdio::null())
            .spawn()
            .expect("the router starts");
        let mut router = Self {
            callers,
            operators,
            child,
            settings,
        };
        wait_until("readiness", || {
            router.page("/readyz").starts_with("HTTP/1.1 200")
        });
        router
    }

    /// Reads an operator page; returns an empty text if it can't be read.
    pub fn page(&mut self, path: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.operators) {
            let request = format!("GET {path} HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n");
            let _ = stream.write_all(request.as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }

    /// Opens a connection as a caller.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.callers).expect("the router listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a timeout");
        stream
    }

    /// Sends a streaming chat request on a new connection.
    pub fn ask(&self, max_tokens: u32) -> TcpStream {
        let mut stream = self.connect();
        let body = format!(
            r#"{{"model":"desk","messages":[{{"role":"user","content":"lens"}}],"stream":true,"max_tokens":{max_tokens}}}"#
        );
        let length = body.len();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\nauthorization: Bearer secret\r\n\
             content-length: {length}\r\n\r\n"
        );
        stream.write_all((head + &body).as_bytes()).expect("room");
        stream
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns the exit code, or `None` if the process still runs.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.try_wait().expect("a child");
        status.map(|status| status.code().unwrap_or(-1))
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait_for_end(&mut self) -> i32 {
        wait_until("end of the router", || self.exit_code().is_some());
        self.exit_code().expect("ended")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Reads until the received text ends with `end`, and returns it.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end.as_bytes()) {
        let read = stream.read(&mut byte).expect("an answer");
        let so_far = String::from_utf8_lossy(&text);
        assert!(read > 0, "expected {end:?}, found the end after {so_far:?}");
        text.push(byte[0]);
    }
    String::from_utf8(text).expect("text")
}
