//! Sends a request to one endpoint and judges the head of its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::Version;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::AccountId;

use crate::answer::remove_connection_headers;
use crate::clock::Clock;
use crate::core::Core;
use crate::endpoint_pool::EndpointConnection;
use crate::endpoint_pool::open_connection;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::meters;
use crate::wire::ExecutionStatus;
use crate::wire::ForwardMetadata;
use crate::wire::ResponseMetadata;
use crate::wire::WireFormat;

/// Longest answer that is taken whole before its caller gets any of it.
const MAX_WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// A caller's request as it goes to endpoints, each time anew.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Method as received.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// End-to-end headers as received.
    pub headers: HeaderMap,
    /// Body as received.
    pub body: Bytes,
    /// Identifies the attempt of the caller.
    pub id: Arc<str>,
    /// The account that pays.
    pub account: Option<AccountId>,
    /// When the caller stops waiting, or the route's timeout if that is earlier.
    pub deadline: Duration,
    /// Events up to this one are not wanted again.
    pub last_event_id: Option<u64>,
    /// Whether the request may run a second time.
    pub may_run_again: bool,
}

/// An endpoint's answer whose head was found good.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The body, not read yet.
    pub body: Incoming,
    /// The connection, for the next request.
    pub connection: EndpointConnection,
    /// The endpoint's idle timeout, if it named one.
    pub keep_alive: Option<Duration>,
    /// Whether the connection stays open after this answer.
    pub is_kept_open: bool,
}

/// A whole answer of an endpoint.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
}

/// Sends the request and returns the answer's head.
///
/// # Errors
///
/// The attempt failed; the failure says whether the endpoint may have run the request.
pub async fn send<W: WireFormat, C: Clock>(
    core: &Rc<Core<W, C>>,
    outgoing: &Outgoing,
    endpoint: &Arc<Endpoint>,
) -> Result<EndpointAnswer, Failure> {
    let pooled = match outgoing.may_run_again {
        // An endpoint may close an idle connection while the request is on its way, which looks
        // like a loss after the start. Where no second run is allowed that would end in a failure.
        false => None,
        true => core.pool.borrow_mut().take(core.now(), endpoint.address),
    };
    let mut request = outgoing.request(core, endpoint);
    let (mut connection, mut is_pooled) = match pooled {
        Some(connection) => (connection, true),
        None => (open(core, endpoint).await?, false),
    };
    let response = loop {
        let sent = connection.try_send_request(request).await;
        let mut error = match sent {
            Ok(response) => break response,
            Err(error) => error,
        };
        let Some(unsent) = error.take_message() else {
            return Err(failure_of(error.error()));
        };
        if !is_pooled {
            return Err(Failure::NotConnected);
        }
        // The idle connection was closed before anything was written.
        request = unsent;
        connection = open(core, endpoint).await?;
        is_pooled = false;
    };
    let (head, body) = response.into_parts();
    let answer = EndpointAnswer {
        keep_alive: keep_alive_of(&head.headers),
        is_kept_open: is_kept_open(&head),
        head,
        body,
        connection,
    };
    judge(core, outgoing, endpoint, answer).await
}

/// Reads the rest of a short answer and keeps the connection.
///
/// # Errors
///
/// The answer ends early, or is longer than what is kept in memory.
pub async fn read_whole<W: WireFormat, C: Clock>(
    core: &Rc<Core<W, C>>,
    endpoint: &Endpoint,
    answer: EndpointAnswer,
) -> Result<WholeAnswer, Failure> {
    let EndpointAnswer {
        head,
        body,
        connection,
        keep_alive,
        is_kept_open,
    } = answer;
    let body = http_body_util::Limited::new(body, MAX_WHOLE_ANSWER_BYTES);
    let body = body.collect().await.map_err(|_| Failure::ConnectionLost)?;
    if is_kept_open {
        keep(core, endpoint, connection, keep_alive);
    }
    let body = body.to_bytes();
    Ok(WholeAnswer { head, body })
}

/// Puts a connection back once its answer has been read.
pub fn keep<W: WireFormat, C: Clock>(
    core: &Rc<Core<W, C>>,
    endpoint: &Endpoint,
    mut connection: EndpointConnection,
    keep_alive: Option<Duration>,
) {
    let core = Rc::clone(core);
    let address = endpoint.address;
    let service = endpoint.service.clone();
    tokio::task::spawn_local(async move {
        if connection.ready().await.is_ok() {
            let now = core.now();
            let most = core.with_dispatcher(|it| it.idle_connections(now, &service));
            core.pool
                .borrow_mut()
                .put(now, address, connection, keep_alive, most);
        }
    });
}

async fn open<W: WireFormat, C: Clock>(
    core: &Rc<Core<W, C>>,
    endpoint: &Endpoint,
) -> Result<EndpointConnection, Failure> {
    core.pool.borrow_mut().note_opened();
    let opened = open_connection(endpoint.address).await;
    opened.map_err(|_| Failure::NotConnected)
}

async fn judge<W: WireFormat, C: Clock>(
    core: &Rc<Core<W, C>>,
    outgoing: &Outgoing,
    endpoint: &Arc<Endpoint>,
    answer: EndpointAnswer,
) -> Result<EndpointAnswer, Failure> {
    let facts = core.wire.parse_response(&answer.head);
    if facts.execution != ExecutionStatus::Misdirected {
        take_notices(core, outgoing, endpoint, &facts);
    }
    // An endpoint may send a second answer to an earlier request, which then stands where the
    // next one is expected.
    if facts.id.as_ref().is_some_and(|id| *id != outgoing.id) {
        return Err(Failure::SpoiledAnswer);
    }
    match facts.execution {
        ExecutionStatus::Misdirected => return Err(Failure::Misdirected),
        ExecutionStatus::NotRun => return Err(Failure::TurnedAway),
        ExecutionStatus::MayHaveRun => {}
    }
    let is_encoded = answer.head.headers.contains_key(header::CONTENT_ENCODING);
    let is_own = facts.has_proof && !is_encoded;
    if answer.head.status.is_success() && !is_own {
        return Err(Failure::SpoiledAnswer);
    }
    Ok(answer)
}

/// Passes on what an answer says of its endpoint.
fn take_notices<W: WireFormat, C: Clock>(
    core: &Core<W, C>,
    outgoing: &Outgoing,
    endpoint: &Arc<Endpoint>,
    facts: &ResponseMetadata,
) {
    let request = ("request", (*outgoing.id).into());
    let name = ("endpoint", endpoint.id.as_str().into());
    if facts.is_leaving {
        meters::endpoint_notice("leaving");
        if core.with_dispatcher(|it| it.endpoints().is_usable(endpoint)) {
            core.log(LogEvent::EndpointLeaving, &[request, name]);
        }
        core.handle(DispatchEvent::EndpointLeaving(endpoint.clone()));
    } else if let Some(pause) = facts.pause {
        meters::endpoint_notice("pause");
        let fields = [request, name, ("pause_ms", millis(pause))];
        core.log(LogEvent::EndpointPaused, &fields);
        core.handle(DispatchEvent::EndpointPaused(endpoint.clone(), pause));
    }
}

impl Outgoing {
    /// Works out what the request asks for, equal when the same request comes again.
    pub fn fingerprint(&self) -> Fingerprint {
        let payer = self.account.clone();
        let payer = payer.unwrap_or_else(|| AccountId::from(""));
        let uri = self.uri.to_string();
        let mut input = Vec::with_capacity(self.body.len() + uri.len() + 16);
        input.extend_from_slice(self.method.as_str().as_bytes());
        input.push(b' ');
        input.extend_from_slice(uri.as_bytes());
        input.push(b'\n');
        input.extend_from_slice(&self.body);
        Fingerprint::of(&payer, &input)
    }

    fn request<W: WireFormat, C: Clock>(
        &self,
        core: &Rc<Core<W, C>>,
        endpoint: &Endpoint,
    ) -> Request<Full<Bytes>> {
        let now = core.now();
        let mut headers = self.headers.clone();
        let facts = ForwardMetadata {
            endpoint,
            account: self.account.as_ref(),
            time_left: self.deadline.saturating_sub(now),
            last_event_id: self.last_event_id,
        };
        core.wire.write_forward_headers(&mut headers, &facts);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        request
    }
}

/// Copies an answer's head for the caller.
pub fn caller_headers(head: &Parts) -> (StatusCode, HeaderMap) {
    let mut headers = head.headers.clone();
    remove_connection_headers(&mut headers);
    (head.status, headers)
}

fn failure_of(error: &hyper::Error) -> Failure {
    match error.is_parse() {
        true => Failure::SpoiledAnswer,
        false => Failure::ConnectionLost,
    }
}

fn is_kept_open(head: &Parts) -> bool {
    let connection = head.headers.get(header::CONNECTION);
    let says_close = connection.is_some_and(|value| {
        let value = value.to_str().unwrap_or("close");
        value.to_ascii_lowercase().contains("close")
    });
    !says_close && head.version == Version::HTTP_11
}

fn keep_alive_of(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}
