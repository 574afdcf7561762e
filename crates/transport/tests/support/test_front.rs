//! A front on a loopback port; the test acts as its core.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusHandle;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_state::settings::Settings;
use sedgeridge_transport::answer::AnswerPart;
use sedgeridge_transport::clock::ProcessClock;
use sedgeridge_transport::core::CoreInput;
use sedgeridge_transport::core::NewRequest;
use sedgeridge_transport::directory::SharedDirectory;
use sedgeridge_transport::front::Front;
use sedgeridge_transport::front::bind;
use sedgeridge_transport::held_bodies::HeldBodies;
use sedgeridge_transport::operator::start_metrics;
use tokio::sync::watch;

use super::HOST;
use super::KEY;
use super::settings;

/// Longest time that a test waits for an expected event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Body of a valid chat request.
pub const CHAT: &str = r#"{"model":"desk","messages":[{"role":"user","content":"lens"}]}"#;

/// The metrics of this test process.
pub fn metrics() -> &'static PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE.get_or_init(|| start_metrics().expect("one recorder"))
}

/// Reads a counter; 0 if it was never incremented.
pub fn counter_value(name_and_labels: &str) -> u64 {
    let text = metrics().render();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name_and_labels));
    line.map_or(0, |value| value.trim().parse().expect("a count"))
}

/// Waits until a condition holds.
#[track_caller]
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "{what}: not within {TEST_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

pub struct TestFront {
    pub address: SocketAddr,
    pub core: Receiver<CoreInput>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<std::io::Result<()>>>,
}

impl TestFront {
    pub fn start(limits: FrontSettings) -> Self {
        metrics();
        let held_bodies = HeldBodies::new(&limits);
        let directory = SharedDirectory::new(Settings {
            front: limits,
            ..settings()
        });
        let (core, inbox) = sync_channel(64);
        let (stop, stopped) = watch::channel(false);
        let front = Front {
            clock: ProcessClock::start(),
            member: Member {
                host: HOST.into(),
                incarnation: Incarnation(1),
            },
            directory,
            core,
            next_request: AtomicU64::new(0),
            held_bodies,
        };
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let thread = thread::spawn(move || front.run(listener, stopped));
        Self {
            address,
            core: inbox,
            stop,
            thread: Some(thread),
        }
    }

    pub fn connect(&self) -> Connection {
        let stream = TcpStream::connect(self.address).expect("the front listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        Connection { stream }
    }

    /// Waits for the next request.
    #[track_caller]
    pub fn next_request(&self) -> NewRequest {
        match self.core.recv_timeout(TEST_TIMEOUT) {
            Ok(CoreInput::RequestArrived(new)) => *new,
            other => panic!("expected a request, found {other:?}"),
        }
    }

    /// Waits until the front reports that a caller disconnected.
    #[track_caller]
    pub fn next_disconnect(&self) -> RequestKey {
        match self.core.recv_timeout(TEST_TIMEOUT) {
            Ok(CoreInput::CallerGone { key }) => key,
            other => panic!("expected a disconnected caller, found {other:?}"),
        }
    }

    /// Tells the front to stop.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until the front has ended.
    pub fn wait_for_end(&mut self) {
        let thread = self.thread.take().expect("called once");
        wait_until("end of the front", || thread.is_finished());
        thread.join().expect("no panic").expect("no error");
    }
}

/// A caller's connection.
pub struct Connection {
    pub stream: TcpStream,
}

impl Connection {
    pub fn send(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("a connection");
    }

    pub fn send_chat(&mut self) {
        self.send(&chat_request(CHAT));
    }

    /// Reads until the front closes the connection.
    pub fn read_to_end(&mut self) -> String {
        let mut text = Vec::new();
        self.stream.read_to_end(&mut text).expect("an end");
        String::from_utf8(text).expect("text")
    }

    /// Reads until `end` was received.
    pub fn read_until(&mut self, end: &str) -> String {
        let mut text = Vec::new();
        while !String::from_utf8_lossy(&text).contains(end) {
            let mut byte = [0];
            let read = self.stream.read(&mut byte).expect("an answer");
            let so_far = String::from_utf8_lossy(&text);
            assert!(read > 0, "expected {end:?}, found the end after {so_far:?}");
            text.push(byte[0]);
        }
        String::from_utf8(text).expect("text")
    }
}

pub fn chat_request(body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: desk\r\nauthorization: {KEY}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Returns the head of an endpoint's answer.
pub fn head() -> AnswerPart {
    AnswerPart::Head {
        status: 200,
        content_type: "text/event-stream".into(),
        attempt: "router-1.1.1".into(),
    }
}

#[track_caller]
pub fn assert_refused(answer: &str, status: u16, reason: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    let expected = format!("x-sedgeridge-reason: {reason}\r\n");
    assert!(answer.contains(&expected), "{answer}");
    assert!(
        answer.contains("x-sedgeridge-outcome: not-run\r\n"),
        "{answer}"
    );
}
