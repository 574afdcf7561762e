//! Simulated callers, which keep connections open, check each answer, and pick another router when
//! a connection ends.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_gateway::endpoint_pool::EndpointConnection;
use sedgeridge_gateway::endpoint_pool::open_connection;
use sedgeridge_platform_standins::caller::CallerAttempt;
use sedgeridge_platform_standins::caller::ResumedStream;
use sedgeridge_platform_standins::caller::build_request;
use sedgeridge_platform_standins::caller::has_endpoint_stamp;
use sedgeridge_platform_standins::crashing_parts::CrashCause;
use sedgeridge_platform_standins::crashing_parts::CrashingParts;
use sedgeridge_platform_standins::documents::RouteKind;
use sedgeridge_platform_standins::endpoint::STREAM_EVENTS;
use sedgeridge_platform_standins::endpoint::event_data;
use sedgeridge_platform_standins::endpoint::whole_answer;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::records::Outcome;
use crate::records::RequestRecord;
use crate::records::Resume;
use crate::site::HOST;
use crate::site::TIMEOUT;
use crate::site::key;
use crate::site::path;

/// Time after which a request without a final answer counts as hung: the request timeout and a
/// margin for a busy machine.
const HANG_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Pause of a caller after a failed connection attempt or a request that was not served.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Bounds of the pause between two requests of a caller.
const REQUEST_PAUSE_MS: (u64, u64) = (10, 70);
/// Percentage of requests that present a revoked key.
const REVOKED_PERCENT: u64 = 4;
/// One in this many requests of a caller has a long body, as long as the longest usual prompt,
/// because the memory of a router depends on the longest bodies rather than on average ones.
const LONG_BODY_INTERVAL: u64 = 8;
const LONG_BODY_BYTES: usize = 64 * 1024;
/// First part of all prompts.
const SYSTEM_PART: u64 = 0x5_0000;
/// Number of parts of which each prompt has one.
const SHARED_PARTS: u64 = 16;
/// Part of prompts that crashes endpoints.
pub const CRASHING_PART: u64 = 0xbad_0000;
/// Path of the request that crashes endpoints.
pub const CRASHING_PATH: &str = "/read/again";
/// Bounds of the pause between two requests that crash endpoints.
const CRASHING_REQUEST_PAUSE_MS: (u64, u64) = (200, 900);
/// Makes these requests independent of the other callers of a seed.
const CRASHING_REQUEST_SALT: u64 = 0x5e_7a13;
/// Number of routers that know the origin of a stream: the one that began it and two others.
const ORIGIN_HOLDERS: usize = 3;
/// Time from a key change until callers use the new key.
const KEY_ADOPTION_DELAY: Duration = Duration::from_secs(2);

/// State that callers share with the task that controls the run.
#[derive(Debug)]
pub struct SharedState<C> {
    /// Clock that starts with the run.
    pub clock: C,
    /// Address that callers connect to, by router.
    pub addresses: Vec<SocketAddr>,
    /// Process id of each router; 0 while it does not run.
    pub process_ids: RefCell<Vec<u32>>,
    /// Whether the load balancer considers each router ready.
    pub ready: RefCell<Vec<bool>>,
    /// Number of endpoints that take new streams and that a router knows, by software version.
    pub stream_versions: RefCell<HashMap<String, usize>>,
    /// Parts of prompts that crash endpoints.
    pub crashing: CrashingParts,
    /// Newest key generation and the time of the change to it.
    pub newest_key: Cell<(u64, Duration)>,
    /// Whether callers continue to send requests.
    pub keep_sending: Cell<bool>,
    /// Finished requests of all callers.
    pub records: RefCell<Vec<RequestRecord>>,
}

impl<C: Clock> SharedState<C> {
    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns how many endpoints serve streams at a software version. Each of those that have just crashed may be one.
    fn serving_endpoints(&self, version: &str) -> usize {
        let listed = self.stream_versions.borrow().get(version).copied();
        listed
            .unwrap_or(0)
            .saturating_sub(self.crashing.untaken_crashes())
    }

    /// Returns the process ids of the routers that the load balancer considers ready.
    fn ready_processes(&self) -> Vec<u32> {
        let (ready, process_ids) = (self.ready.borrow(), self.process_ids.borrow());
        let processes = ready.iter().zip(process_ids.iter());
        let ready = processes.filter(|(is_ready, _)| **is_ready);
        ready.map(|(_, process_id)| *process_id).collect()
    }

    /// Returns whether all routers that knew the origin of a stream may have ended, of which these were ready when it began.
    fn is_origin_lost(&self, ready_processes: &[u32]) -> bool {
        let present = self.process_ids.borrow();
        let ended = ready_processes.iter().filter(|it| !present.contains(it));
        ended.count() >= ready_processes.len().min(ORIGIN_HOLDERS)
    }

    fn pick_router(&self, random: &mut SeededRandom) -> usize {
        let ready = self.ready.borrow();
        let ready: Vec<_> = (0..ready.len()).filter(|router| ready[*router]).collect();
        match ready.is_empty() {
            true => random.below(self.addresses.len() as u64) as usize,
            false => ready[random.below(ready.len() as u64) as usize],
        }
    }
}

/// An open connection to a router.
struct Connection {
    sender: EndpointConnection,
    router: usize,
    process_id: u32,
    opened_at: Duration,
}

/// A stream of which the caller has some events.
#[derive(Debug, Clone)]
struct StreamProgress {
    first_attempt: String,
    next_event: u64,
    /// Software version that wrote the events so far.
    software_version: Option<String>,
    /// Time at which the caller gives up.
    deadline: Duration,
    /// Process ids of the routers that were ready when the stream began.
    ready_processes: Vec<u32>,
}

impl StreamProgress {
    fn new(first_attempt: &str, deadline: Duration, ready_processes: Vec<u32>) -> Self {
        Self {
            first_attempt: first_attempt.to_owned(),
            next_event: 0,
            software_version: None,
            deadline,
            ready_processes,
        }
    }

    /// Returns what an attempt that resumes the stream says of it; `None` if there are no events.
    fn as_resumed(&self) -> Option<ResumedStream> {
        let last_event = self.next_event.checked_sub(1)?;
        Some(ResumedStream {
            first_attempt: self.first_attempt.clone(),
            last_event,
        })
    }

    fn may_be_resumed(&self, now: Duration) -> bool {
        (1..STREAM_EVENTS).contains(&self.next_event) && now < self.deadline
    }
}

/// Runs one caller until `keep_sending` becomes false.
pub async fn run<C: Clock>(shared: Rc<SharedState<C>>, number: u64, seed: u64) {
    let mut random = SeededRandom::new(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut connection = None;
    let mut requests = 0;
    let mut broken: Option<StreamProgress> = None;
    while shared.keep_sending.get() {
        let Some(open) = ensure_open(&shared, &mut random, &mut connection).await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        requests += 1;
        let id = format!("{number}-{requests}");
        broken = broken.filter(|stream| stream.may_be_resumed(shared.now()));
        let planned = plan_request(&shared, &mut random, &id, broken.take());
        let (record, stream) = send_request(&shared, open, id, planned, body(requests)).await;
        if !matches!(record.outcome, Outcome::Answered { .. }) {
            connection = None;
        }
        if !record.is_served() {
            broken = stream;
            sleep(RETRY_PAUSE).await;
        }
        shared.records.borrow_mut().push(record);
        let (low, high) = REQUEST_PAUSE_MS;
        sleep(Duration::from_millis(low + random.below(high - low))).await;
    }
}

/// Returns the open connection while it is usable, since callers keep theirs until the router
/// process ends; otherwise opens a new one.
async fn ensure_open<'a, C: Clock>(
    shared: &SharedState<C>,
    random: &mut SeededRandom,
    connection: &'a mut Option<Connection>,
) -> Option<&'a mut Connection> {
    if let Some(open) = connection
        && !open.sender.wait_until_ready().await
    {
        *connection = None;
    }
    if connection.is_none() {
        let router = shared.pick_router(random);
        let process_id = shared.process_ids.borrow()[router];
        let opened_at = shared.now();
        let sender = open_connection(shared.addresses[router]).await.ok()?;
        *connection = Some(Connection {
            sender,
            router,
            process_id,
            opened_at,
        });
    }
    connection.as_mut()
}

fn body(request: u64) -> Bytes {
    match request % LONG_BODY_INTERVAL {
        0 => Bytes::from(vec![b'x'; LONG_BODY_BYTES]),
        _ => Bytes::from_static(b"body"),
    }
}

/// A request that a caller is about to send.
struct PlannedRequest {
    kind: RouteKind,
    key_generation: u64,
    is_revoked: bool,
    /// The stream that it begins or resumes.
    stream: StreamProgress,
}

/// Plans the resume of a broken stream, or a random request.
fn plan_request<C: Clock>(
    shared: &SharedState<C>,
    random: &mut SeededRandom,
    id: &str,
    broken: Option<StreamProgress>,
) -> PlannedRequest {
    let kinds = [
        RouteKind::Idempotent,
        RouteKind::AtMostOnce,
        RouteKind::Stream,
    ];
    let kind = kinds[random.below(3) as usize];
    let (newest, changed_at) = shared.newest_key.get();
    let is_revoked = newest >= 3 && random.below(100) < REVOKED_PERCENT && broken.is_none();
    let is_adopted = shared.now().saturating_sub(changed_at) >= KEY_ADOPTION_DELAY;
    PlannedRequest {
        kind: match broken {
            Some(_) => RouteKind::Stream,
            None => kind,
        },
        key_generation: match (is_revoked, is_adopted) {
            (true, _) => newest - 2,
            (false, true) => newest,
            (false, false) => newest - 1,
        },
        is_revoked,
        stream: broken.unwrap_or_else(|| {
            StreamProgress::new(id, shared.now() + TIMEOUT, shared.ready_processes())
        }),
    }
}

/// Sends a request. Returns its record and how far its stream has come.
async fn send_request<C: Clock>(
    shared: &SharedState<C>,
    connection: &mut Connection,
    id: String,
    planned: PlannedRequest,
    body: Bytes,
) -> (RequestRecord, Option<StreamProgress>) {
    let PlannedRequest {
        kind,
        key_generation,
        is_revoked,
        mut stream,
    } = planned;
    let sent_at = shared.now();
    let resumed = stream.as_resumed();
    let version = stream.software_version.clone().unwrap_or_default();
    let mut resume = resumed.as_ref().map(|resumed| Resume {
        first_request: resumed.first_attempt.clone(),
        endpoints: shared.serving_endpoints(&version),
        is_origin_lost: false,
    });
    let head = CallerAttempt {
        id: id.clone(),
        host: HOST.to_owned(),
        path: path(kind).to_owned(),
        key: key(key_generation),
        timeout_ms: stream.deadline.saturating_sub(sent_at).as_millis() as u64,
        resumed,
        parts: match kind {
            RouteKind::Stream => prompt_parts(&stream.first_attempt, &[]),
            RouteKind::Idempotent | RouteKind::AtMostOnce => Vec::new(),
        },
    };
    let outcome = match build_request(&head, Full::from(body)) {
        Ok(request) => {
            let pending_answer = exchange(&mut connection.sender, request, &id, kind, &mut stream);
            timeout(HANG_TIMEOUT, pending_answer)
                .await
                .unwrap_or(Outcome::Hung)
        }
        Err(_) => Outcome::Failed {
            was_sent: false,
            wrong: None,
        },
    };
    if let Some(resume) = &mut resume {
        resume.endpoints = resume.endpoints.min(shared.serving_endpoints(&version));
        resume.is_origin_lost = shared.is_origin_lost(&stream.ready_processes);
    }
    let record = RequestRecord {
        id,
        kind,
        router: connection.router,
        process_id: connection.process_id,
        connected_at: connection.opened_at,
        sent_at,
        ended_at: shared.now(),
        key_generation,
        is_revoked,
        resume,
        outcome,
    };
    (record, (kind == RouteKind::Stream).then_some(stream))
}

/// Returns the parts of a prompt: one that all prompts have, `further` ones, one that some have, and its own.
fn prompt_parts(id: &str, further: &[u64]) -> Vec<u64> {
    let own = stable_hash(id);
    let mut parts = vec![SYSTEM_PART];
    parts.extend(further);
    parts.extend([own % SHARED_PARTS, own]);
    parts
}

/// Sends requests that crash endpoints, until `keep_sending` becomes false: those whose prompts have a part that does so, no
/// two alike, or the same request again and again. What becomes of them does not count.
pub async fn run_crashing_caller<C: Clock>(
    shared: Rc<SharedState<C>>,
    cause: CrashCause,
    seed: u64,
) {
    let salt = match cause {
        CrashCause::Part => CRASHING_REQUEST_SALT,
        CrashCause::Request => !CRASHING_REQUEST_SALT,
    };
    let mut random = SeededRandom::new(seed ^ salt);
    let mut requests = 0;
    while shared.keep_sending.get() {
        requests += 1;
        let (low, high) = CRASHING_REQUEST_PAUSE_MS;
        sleep(Duration::from_millis(low + random.below(high - low))).await;
        let router = shared.pick_router(&mut random);
        let Ok(mut sender) = open_connection(shared.addresses[router]).await else {
            continue;
        };
        let id = format!("crashing-{cause:?}-{requests}");
        let (newest, _) = shared.newest_key.get();
        let (parts, path) = match cause {
            CrashCause::Part => (prompt_parts(&id, &[CRASHING_PART]), path(RouteKind::Stream)),
            CrashCause::Request => (Vec::new(), CRASHING_PATH),
        };
        let attempt = CallerAttempt {
            parts,
            id,
            host: HOST.to_owned(),
            path: path.to_owned(),
            key: key(newest),
            timeout_ms: TIMEOUT.as_millis() as u64,
            resumed: None,
        };
        let Ok(request) = build_request(&attempt, Full::from(Bytes::from_static(b"body"))) else {
            continue;
        };
        // Its stream breaks off with the endpoint, or it is refused.
        let _ = timeout(TIMEOUT, async {
            let answer = sender.send(request).await.ok()?;
            answer.into_body().collect().await.ok()
        })
        .await;
    }
}

async fn exchange(
    sender: &mut EndpointConnection,
    request: hyper::Request<Full<Bytes>>,
    id: &str,
    kind: RouteKind,
    stream: &mut StreamProgress,
) -> Outcome {
    let answer = match sender.send(request).await {
        Ok(answer) => answer,
        Err(error) => {
            return Outcome::Failed {
                was_sent: !error.error().is_canceled(),
                wrong: None,
            };
        }
    };
    let status = answer.status().as_u16();
    let is_vouched = has_endpoint_stamp(answer.headers());
    let (is_whole, wrong) = match (status, kind) {
        (200, RouteKind::Stream) => read_stream(answer, stream).await,
        (200, RouteKind::Idempotent | RouteKind::AtMostOnce) => read_whole(answer, id).await,
        _ => (answer.into_body().collect().await.is_ok(), None),
    };
    match is_whole {
        true => Outcome::Answered {
            status,
            is_vouched,
            wrong,
        },
        false => Outcome::Failed {
            was_sent: true,
            wrong,
        },
    }
}

async fn read_whole(answer: Response<Incoming>, id: &str) -> (bool, Option<String>) {
    let Ok(body) = answer.into_body().collect().await else {
        return (false, None);
    };
    let body = body.to_bytes();
    let is_correct = body == whole_answer(id).as_bytes();
    let wrong =
        (!is_correct).then(|| format!("{} bytes that differ from the expected answer", body.len()));
    (true, wrong)
}

/// Reads and checks events as they arrive. The received part of an interrupted stream must be
/// correct.
async fn read_stream(
    answer: Response<Incoming>,
    stream: &mut StreamProgress,
) -> (bool, Option<String>) {
    let mut body = answer.into_body();
    let mut text = String::new();
    loop {
        let frame = match body.frame().await {
            None => break,
            Some(Err(_)) => return (false, check_events(&mut text, stream)),
            Some(Ok(frame)) => frame,
        };
        if let Ok(bytes) = frame.into_data() {
            text.push_str(&String::from_utf8_lossy(&bytes));
        }
        if let Some(wrong) = check_events(&mut text, stream) {
            return (true, Some(wrong));
        }
    }
    let is_complete = stream.next_event == STREAM_EVENTS && text.is_empty();
    (
        true,
        (!is_complete).then(|| {
            let events = stream.next_event;
            format!("ended without an error after {events} events")
        }),
    )
}

/// Removes complete events from the text and returns a description of the first wrong one. All events of a stream, over
/// all attempts, must be written by one software version.
fn check_events(text: &mut String, stream: &mut StreamProgress) -> Option<String> {
    while let Some(end) = text.find("\n\n") {
        let event: String = text.drain(..end + 2).collect();
        let fields: HashMap<_, _> = event
            .lines()
            .filter_map(|line| line.split_once(": "))
            .collect();
        let number = fields
            .get("id")
            .and_then(|number| number.parse::<u64>().ok());
        let data = fields.get("data").copied().unwrap_or_default();
        let version = stream.software_version.get_or_insert_with(|| {
            let (_, version) = data.rsplit_once(' ').unwrap_or_default();
            version.to_owned()
        });
        let expected = event_data(&stream.first_attempt, stream.next_event, version);
        if number != Some(stream.next_event) || data != expected {
            return Some(format!("{event:?} instead of {expected:?}"));
        }
        stream.next_event += 1;
    }
    None
}
