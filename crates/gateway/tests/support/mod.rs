//! A router on loopback with scripted endpoints and a store that never fails.

#![allow(dead_code)]

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use metrics_exporter_prometheus::PrometheusHandle;
use sedgeridge_fleet::cold_start::ColdStartBounds;
use sedgeridge_fleet::config::Account;
use sedgeridge_fleet::config::CallerLimits;
use sedgeridge_fleet::config::EngineSpec;
use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::config::RouteTarget;
use sedgeridge_fleet::config::ServiceSpec;
use sedgeridge_fleet::dispatcher::AdmissionSettings;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::store_version::StoreVersion;
use sedgeridge_fleet::suspect::Suspect;
use sedgeridge_gateway::clock::MonotonicClock;
use sedgeridge_gateway::event_log::EventLog;
use sedgeridge_gateway::meters;
use sedgeridge_gateway::serve::Context;
use sedgeridge_gateway::serve::SettingsSource;
use sedgeridge_gateway::serve::serve;
use sedgeridge_gateway::settings::GatewaySettings;
use sedgeridge_gateway::store::HostEntry;
use sedgeridge_gateway::store::Store;
use sedgeridge_gateway::store::StoredQuarantine;
use sedgeridge_gateway::store::Table;
use sedgeridge_gateway::wire::ExecutionStatus;
use sedgeridge_gateway::wire::ForwardMetadata;
use sedgeridge_gateway::wire::RequestMetadata;
use sedgeridge_gateway::wire::ResponseMetadata;
use sedgeridge_gateway::wire::WireError;
use sedgeridge_gateway::wire::WireFormat;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

const SERVICE: &str = "desk";
/// Timeout of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Wire format with plain header names, and with a configuration made by the test.
#[derive(Debug, Clone)]
pub struct TestWire {
    pub config: Rc<FleetConfig>,
    pub endpoints: Rc<BTreeMap<String, Endpoint>>,
}

fn prompt(prompt_tokens: u32) -> Prompt {
    Prompt {
        prompt_tokens,
        max_output_tokens: 10,
        parts: Vec::new(),
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    headers.get(name)?.to_str().ok().map(Arc::from)
}

impl WireFormat for TestWire {
    fn parse_request(&self, head: &http::request::Parts) -> Result<RequestMetadata, WireError> {
        let headers = &head.headers;
        Ok(RequestMetadata {
            id: text(headers, "id").ok_or(WireError::Missing("id"))?,
            key: text(headers, "key"),
            time_left: text(headers, "time-left-ms")
                .and_then(|left| left.parse().ok())
                .map(Duration::from_millis),
            prompt: text(headers, "tokens")
                .and_then(|tokens| tokens.parse().ok())
                .map(prompt),
            last_event_id: text(headers, "last-event-id").and_then(|id| id.parse().ok()),
            resumed_attempt: text(headers, "resumes"),
        })
    }

    fn write_forward_headers(&self, headers: &mut HeaderMap, facts: &ForwardMetadata<'_>) {
        headers.remove("key");
        if let Some(account) = facts.account {
            let account = HeaderValue::from_str(account.as_str()).expect("ASCII");
            headers.insert("account", account);
        }
        if let Some(id) = facts.last_event_id {
            headers.insert("last-event-id", HeaderValue::from(id));
        }
    }

    fn parse_response(&self, head: &http::response::Parts) -> ResponseMetadata {
        ResponseMetadata {
            id: text(&head.headers, "id"),
            has_proof: head.headers.contains_key("proof"),
            execution: match head.headers.contains_key("not-run") {
                true => ExecutionStatus::NotRun,
                false => ExecutionStatus::MayHaveRun,
            },
            is_leaving: head.headers.contains_key("leaving"),
            pause: text(&head.headers, "pause-ms")
                .and_then(|pause| pause.parse().ok())
                .map(Duration::from_millis),
            load: None,
        }
    }

    fn parse_config(&self, _: &[u8]) -> Result<FleetConfig, WireError> {
        Ok(FleetConfig::clone(&self.config))
    }

    fn evacuated_data_centre(&self, _: &str) -> Option<Arc<str>> {
        None
    }

    fn parse_host(&self, host: &str, _: &[u8]) -> Result<HostEntry, WireError> {
        Ok(HostEntry {
            host: Arc::from(host),
            data_centre: Arc::from("here"),
            peers_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        })
    }

    fn parse_endpoint(&self, id: &str, document: &[u8]) -> Result<Endpoint, WireError> {
        if document == UNREADABLE_ENTRY {
            return Err(WireError::Missing("service"));
        }
        let known = self.endpoints.get(id).cloned();
        known.ok_or(WireError::Missing("endpoint"))
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

/// An entry that no endpoint wrote and that cannot be read.
const UNREADABLE_ENTRY: &[u8] = b"\xff{";

/// Lists all rows and then answers no further call, except for one change that a test may trigger.
#[derive(Debug)]
pub struct TestStore {
    endpoints: Vec<String>,
    overwritten: Rc<Notify>,
    config_delay: Duration,
}

impl Store for TestStore {
    async fn read(&self, table: Table, call: &StoreCall) -> StoreAnswer {
        if let StoreCall::Feed { .. } = call {
            return self.change(table).await;
        }
        if table == Table::Config {
            tokio::time::sleep(self.config_delay).await;
        }
        let row = |key: &str| Row {
            key: Arc::from(key),
            version: 1.into(),
            value: Some(Arc::from(&b"x"[..])),
        };
        let rows = match table {
            Table::Config => vec![row("config")],
            Table::Endpoints => self.endpoints.iter().map(|id| row(id)).collect(),
            Table::Hosts => Vec::new(),
        };
        StoreAnswer::Rows {
            rows,
            version: 1.into(),
            has_more: false,
        }
    }

    async fn register(&self, _: &HostEntry) -> Option<StoreVersion> {
        // No list is as new as this, so that the entry never counts as lost.
        Some(u64::MAX.into())
    }

    async fn unregister(&self, _: &HostEntry) -> bool {
        true
    }

    async fn read_quarantines(&self) -> Option<Vec<StoredQuarantine>> {
        Some(Vec::new())
    }

    async fn keep_quarantine(&self, _: &StoredQuarantine) -> bool {
        true
    }

    async fn drop_quarantine(&self, _: Suspect) -> bool {
        true
    }
}

impl TestStore {
    /// Waits until the first endpoint's entry is overwritten.
    async fn change(&self, table: Table) -> StoreAnswer {
        if table != Table::Endpoints {
            return std::future::pending().await;
        }
        self.overwritten.notified().await;
        let row = Row {
            key: Arc::from(self.endpoints[0].as_str()),
            version: 2.into(),
            value: Some(Arc::from(UNREADABLE_ENTRY)),
        };
        StoreAnswer::Rows {
            rows: vec![row],
            version: 2.into(),
            has_more: false,
        }
    }
}

#[derive(Debug, Clone)]
pub struct FixedSettings(pub GatewaySettings);

impl SettingsSource for FixedSettings {
    fn read(&self) -> Result<GatewaySettings, String> {
        Ok(self.0.clone())
    }
}

/// Steps for each connection, in the order in which any endpoint accepts them. The last entry
/// repeats.
pub type Script = Vec<Vec<Step>>;

/// A step of an endpoint on a connection.
#[derive(Debug, Clone)]
pub enum Step {
    /// Reads a request and records its head and body.
    Read,
    /// Sends bytes. `{id}` stands for the id of the last request that was read.
    Send(String),
    /// Waits for a while.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Keeps the connection open and does nothing.
    Hang,
}

/// What an endpoint has seen.
#[derive(Debug, Default)]
pub struct EndpointRecord {
    pub requests: Vec<String>,
    /// Connections whose other end closed while the endpoint did nothing.
    pub closed_while_idle: usize,
}

/// A running router and its endpoints.
pub struct Fleet {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub records: Vec<Rc<RefCell<EndpointRecord>>>,
    /// Makes another writer overwrite the first endpoint's entry.
    pub overwrite: Rc<Notify>,
    pub stop: Rc<Notify>,
    pub is_stopped: Rc<RefCell<bool>>,
}

/// Runs a test in a router's event loop.
pub fn run<F: Future<Output = ()>>(
    repeat: Repeat,
    endpoints: usize,
    script: Script,
    test: impl FnOnce(Fleet) -> F,
) {
    let config = config(repeat, ServiceId::from(SERVICE));
    run_config(TEST_TIMEOUT, config, endpoints, script, test);
}

/// Runs a test on a router with one endpoint that gets its configuration from the store after a delay.
pub fn run_with_late_config<F: Future<Output = ()>>(
    config_delay: Duration,
    script: Script,
    test: impl FnOnce(Fleet) -> F,
) {
    let config = config(Repeat::AtMostOnce, ServiceId::from(SERVICE));
    run_delayed(TEST_TIMEOUT, config, config_delay, 1, script, test);
}

/// Runs a test on a router without endpoints that get requests, within a time of its own.
pub fn run_within<F: Future<Output = ()>>(limit: Duration, test: impl FnOnce(Fleet) -> F) {
    let config = config(Repeat::Idempotent, ServiceId::from(SERVICE));
    run_config(limit, config, 1, vec![vec![]], test);
}

/// Runs a test on a router with engines that process `tokens_per_s` in total.
pub fn run_engines<F: Future<Output = ()>>(
    tokens_per_s: f64,
    script: Script,
    test: impl FnOnce(Fleet) -> F,
) {
    let repeat = Repeat::Stream { resumable: true };
    let mut config = config(repeat, ServiceId::from(SERVICE));
    config.limits.tokens_per_s = Some(tokens_per_s);
    let engine = EngineSpec {
        slots: 4,
        memory_tokens: 100_000,
    };
    let spec = ServiceSpec {
        engine: Some(engine),
        ..ServiceSpec::default()
    };
    config.services.insert(ServiceId::from(SERVICE), spec);
    run_config(TEST_TIMEOUT, config, 1, script, test);
}

fn run_config<F: Future<Output = ()>>(
    limit: Duration,
    config: FleetConfig,
    endpoints: usize,
    script: Script,
    test: impl FnOnce(Fleet) -> F,
) {
    run_delayed(limit, config, Duration::ZERO, endpoints, script, test);
}

fn run_delayed<F: Future<Output = ()>>(
    limit: Duration,
    config: FleetConfig,
    config_delay: Duration,
    endpoints: usize,
    script: Script,
    test: impl FnOnce(Fleet) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let fleet = start(config, config_delay, endpoints, script).await;
        let done = timeout(limit, test(fleet)).await;
        done.expect("the test ends in time");
    });
}

/// Returns an address that nothing else uses. A port that was drawn and released can be taken by
/// any connection on the machine before the router binds it.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 200, high, low], port))
}

async fn start(config: FleetConfig, config_delay: Duration, count: usize, script: Script) -> Fleet {
    let service = ServiceId::from(SERVICE);
    let mut endpoints = BTreeMap::new();
    let mut records = Vec::new();
    let next = Rc::new(Cell::new(0));
    for index in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let record = Rc::new(RefCell::new(EndpointRecord::default()));
        records.push(record.clone());
        spawn_local(serve_script(listener, script.clone(), next.clone(), record));
        let id = EndpointId::from(format!("desk-{index}").as_str());
        let endpoint = Endpoint {
            key: Endpoint::key_of(&id, None),
            started_at_ms: None,
            id: id.clone(),
            service: service.clone(),
            software_version: Arc::from("v1"),
            address,
            data_centre: Arc::from("here"),
            slots: 4,
            is_leaving: false,
            cold_for: Duration::ZERO,
        };
        endpoints.insert(id.to_string(), endpoint);
    }
    let settings = settings();
    let overwrite = Rc::new(Notify::new());
    let store = TestStore {
        endpoints: endpoints.keys().cloned().collect(),
        overwritten: overwrite.clone(),
        config_delay,
    };
    let stop = Rc::new(Notify::new());
    let context = Context {
        wire: TestWire {
            config: Rc::new(config),
            endpoints: Rc::new(endpoints),
        },
        clock: MonotonicClock::start(),
        store,
        settings_source: FixedSettings(settings.clone()),
        log: EventLog::silent(Arc::from("test")),
        metrics: recorder(),
        stop_signal: stop.clone(),
        reload_signal: Rc::new(Notify::new()),
        run_number: 1,
    };
    let is_stopped = Rc::new(RefCell::new(false));
    let fleet = Fleet {
        callers: settings.callers_address,
        ready: settings.ready_address,
        records,
        overwrite,
        stop,
        is_stopped: is_stopped.clone(),
    };
    spawn_local(async move {
        serve(context, settings).await.expect("the router serves");
        *is_stopped.borrow_mut() = true;
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet
}

/// Returns the metrics recorder of the test's process, which all its routers share.
fn recorder() -> Option<PrometheusHandle> {
    static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    RECORDER
        .get_or_init(|| meters::install_recorder().ok())
        .clone()
}

fn settings() -> GatewaySettings {
    GatewaySettings {
        is_first_start: true,
        host: Arc::from("test"),
        data_centre: Arc::from("here"),
        callers_address: free_address(),
        ready_address: free_address(),
        metrics_address: free_address(),
        peers_address: free_address(),
        max_callers: 3,
        memory_bytes: 64 << 20,
        grace_period: Duration::from_secs(4),
        share_window: Duration::from_secs(4),
        recovery_time: Duration::from_secs(5),
        resend_limits: ResendLimits::default(),
        cold_start_bounds: ColdStartBounds::default(),
        admission: AdmissionSettings::default(),
    }
}

fn config(repeat: Repeat, service: ServiceId) -> FleetConfig {
    let route = Route {
        name: Arc::from("desk"),
        host: Arc::from("desk.example"),
        path_prefix: Arc::from("/"),
        repeat,
        timeout: Duration::from_millis(1_500),
        latency_target: Duration::from_millis(300),
        priority: 1,
        targets: vec![RouteTarget {
            service: service.clone(),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    };
    FleetConfig {
        version: 1,
        routes: vec![route],
        services: BTreeMap::from([(service, ServiceSpec::default())]),
        accounts: Some(vec![
            account("crew-7", "secret"),
            account("crew-8", "other"),
        ]),
        limits: CallerLimits::default(),
    }
}

fn account(id: &str, key: &str) -> Account {
    Account {
        id: AccountId::from(id),
        keys: vec![Arc::from(key)],
    }
}

async fn serve_script(
    listener: TcpListener,
    script: Script,
    next: Rc<Cell<usize>>,
    record: Rc<RefCell<EndpointRecord>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let steps = script[next.get().min(script.len() - 1)].clone();
        next.set(next.get() + 1);
        spawn_local(run_steps(stream, steps, record.clone()));
    }
}

async fn run_steps(mut stream: TcpStream, steps: Vec<Step>, record: Rc<RefCell<EndpointRecord>>) {
    let mut id = String::new();
    for step in steps {
        match step {
            Step::Read => {
                let Some(request) = read_message(&mut stream).await else {
                    return;
                };
                id = header(&request, "id").unwrap_or_default();
                record.borrow_mut().requests.push(request);
            }
            Step::Send(bytes) => {
                let bytes = bytes.replace("{id}", &id);
                if stream.write_all(bytes.as_bytes()).await.is_err() {
                    return;
                }
            }
            Step::Wait(time) => tokio::time::sleep(time).await,
            Step::Close => return,
            Step::Hang => {
                let mut rest = [0; 64];
                let read = stream.read(&mut rest).await;
                if matches!(read, Ok(0) | Err(_)) {
                    record.borrow_mut().closed_while_idle += 1;
                }
                return;
            }
        }
    }
    std::future::pending::<()>().await;
}

/// Reads a head and, if it names a length, the body.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).ok()?;
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8(body).ok()?)
}

/// Returns a header of a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}

/// Returns a request with a short body.
pub fn request(id: &str) -> String {
    format!(
        "POST /plan HTTP/1.1\r\nHost: desk.example\r\nid: {id}\r\nkey: secret\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Returns a successful response with `body` and its length.
pub fn response_with_body(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nid: {{id}}\r\nproof: p\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Sends a request on a new connection and reads the response, up to the end of the connection if
/// `to_end`.
pub async fn send_request(address: SocketAddr, request: &str, to_end: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("sent");
    if !to_end {
        return read_message(&mut stream).await.unwrap_or_default();
    }
    let mut response = Vec::new();
    // A reset ends the data like a close.
    let _ = timeout(Duration::from_secs(3), stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}
