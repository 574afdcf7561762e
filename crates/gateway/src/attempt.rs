//! Sends a request to one endpoint and checks the head of its response.

use std::error::Error;
use std::io;
use std::ops::RangeInclusive;
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
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::reported_load::ReportedLoad;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::AccountId;

use crate::clock::Clock;
use crate::endpoint_pool::EndpointConnection;
use crate::endpoint_pool::open_connection;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::gateway::Gateway;
use crate::meters;
use crate::response::remove_hop_by_hop_headers;
use crate::wire::ExecutionStatus;
use crate::wire::ForwardMetadata;
use crate::wire::ResponseMetadata;
use crate::wire::WireError;
use crate::wire::WireFormat;

/// Longest response that is buffered completely before its caller gets any of it.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Statuses of a final response. The HTTP library also accepts higher ones, and 101.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A caller's request, from which each attempt builds its own.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Method as received.
    pub method: Method,
    /// Path and query as received.
    pub uri: Uri,
    /// End-to-end headers as received.
    pub headers: HeaderMap,
    /// Body as received.
    pub body: Bytes,
    /// Id of the caller's attempt.
    pub id: Arc<str>,
    /// Client account that pays for the request.
    pub account: Option<AccountId>,
    /// Time at which the caller stops waiting, or the route's timeout ends if that is earlier.
    pub deadline: Duration,
    /// Id of the last event that the caller has. Events up to this one are not sent again.
    pub last_event_id: Option<u64>,
    /// Whether the request may run a second time.
    pub may_run_again: bool,
}

/// An endpoint's response whose head was checked.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Status and headers.
    pub head: Parts,
    /// The body, not read yet.
    pub body: Incoming,
    /// The connection, for the next request.
    pub connection: EndpointConnection,
    /// Idle timeout of the endpoint, if it named one.
    pub keep_alive_timeout: Option<Duration>,
    /// Whether the connection stays open after this response.
    pub is_reusable: bool,
    /// Whether only the end of the connection ends the body, which has neither a length nor chunks.
    pub is_unframed: bool,
}

/// An endpoint's response with its body in memory.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
}

/// Sends the request and returns the response once its head has arrived.
///
/// # Errors
///
/// The attempt failed; the failure says whether the endpoint may have run the request.
pub async fn send<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    outgoing: &OutgoingRequest,
    endpoint: &Arc<Endpoint>,
) -> Result<EndpointResponse, Failure> {
    let pooled = match outgoing.may_run_again {
        // An endpoint may close an idle connection while the request is on its way. That looks like
        // a connection lost after the start, which is a failure where the request must not run
        // twice.
        false => None,
        true => gateway
            .pool
            .borrow_mut()
            .take(gateway.now(), endpoint.address),
    };
    let mut request = outgoing.build_request(gateway, endpoint);
    let (mut connection, mut is_pooled) = match pooled {
        Some(connection) => (connection, true),
        None => (connect(gateway, endpoint).await?, false),
    };
    let received = loop {
        let sent = connection.send(request).await;
        let mut error = match sent {
            Ok(response) => break response,
            Err(error) => error,
        };
        let Some(unsent) = error.take_message() else {
            return Err(failure_from_error(error.error()));
        };
        if !is_pooled {
            return Err(Failure::NotConnected);
        }
        // The idle connection was closed before anything was written.
        request = unsent;
        connection = connect(gateway, endpoint).await?;
        is_pooled = false;
    };
    let (head, body) = received.into_parts();
    let response = EndpointResponse {
        keep_alive_timeout: parse_keep_alive_timeout(&head.headers),
        is_reusable: is_reusable(&head),
        is_unframed: is_unframed(&head),
        head,
        body,
        connection,
    };
    check_head(gateway, outgoing, endpoint, response).await
}

/// Reads the body of a short response and returns the connection to the pool.
///
/// # Errors
///
/// The response ends early, or is longer than what is kept in memory.
pub async fn read_buffered<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    endpoint: &Endpoint,
    response: EndpointResponse,
) -> Result<BufferedResponse, Failure> {
    let EndpointResponse {
        head,
        body,
        connection,
        keep_alive_timeout,
        is_reusable,
        ..
    } = response;
    let body = http_body_util::Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|_| Failure::ConnectionLost)?;
    if is_reusable {
        return_to_pool(gateway, endpoint, connection, keep_alive_timeout);
    }
    let body = body.to_bytes();
    Ok(BufferedResponse { head, body })
}

/// Returns a connection to the pool once its response has been read.
pub fn return_to_pool<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    endpoint: &Endpoint,
    mut connection: EndpointConnection,
    keep_alive_timeout: Option<Duration>,
) {
    let gateway = Rc::clone(gateway);
    let address = endpoint.address;
    let service = endpoint.service.clone();
    tokio::task::spawn_local(async move {
        if connection.wait_until_ready().await {
            let now = gateway.now();
            let max_idle =
                gateway.with_dispatcher(|dispatcher| dispatcher.idle_connections(now, &service));
            gateway
                .pool
                .borrow_mut()
                .put(now, address, connection, keep_alive_timeout, max_idle);
        }
    });
}

async fn connect<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    endpoint: &Endpoint,
) -> Result<EndpointConnection, Failure> {
    gateway.pool.borrow_mut().record_opened();
    let opened = open_connection(endpoint.address).await;
    opened.map_err(|_| Failure::NotConnected)
}

async fn check_head<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    outgoing: &OutgoingRequest,
    endpoint: &Arc<Endpoint>,
    response: EndpointResponse,
) -> Result<EndpointResponse, Failure> {
    if !FINAL_STATUSES.contains(&response.head.status.as_u16()) {
        return Err(Failure::SpoiledAnswer);
    }
    let metadata = gateway.wire.parse_response(&response.head);
    if metadata.execution != ExecutionStatus::Misdirected {
        report_notices(gateway, outgoing, endpoint, &metadata);
    }
    // An endpoint may send a second response to an earlier request, which then arrives in place of
    // the expected one.
    if metadata.id.as_ref().is_some_and(|id| *id != outgoing.id) {
        return Err(Failure::SpoiledAnswer);
    }
    if let Some(load) = metadata
        .load
        .filter(|_| metadata.execution != ExecutionStatus::Misdirected)
    {
        report_load(gateway, outgoing, endpoint, load);
    }
    match metadata.execution {
        ExecutionStatus::Misdirected => return Err(Failure::Misdirected),
        ExecutionStatus::NotRun => return Err(Failure::TurnedAway),
        ExecutionStatus::MayHaveRun => {}
    }
    let is_encoded = response.head.headers.contains_key(header::CONTENT_ENCODING);
    let is_own = metadata.has_proof && !is_encoded;
    if response.head.status.is_success() && !is_own {
        return Err(Failure::SpoiledAnswer);
    }
    Ok(response)
}

/// Reports what a response says about its endpoint: that it leaves, or wants no requests for a
/// while.
fn report_notices<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    outgoing: &OutgoingRequest,
    endpoint: &Arc<Endpoint>,
    metadata: &ResponseMetadata,
) {
    let request = ("request", (*outgoing.id).into());
    let name = ("endpoint", endpoint.id.as_str().into());
    if metadata.is_leaving {
        meters::count_endpoint_notice("leaving");
        if gateway.with_dispatcher(|dispatcher| dispatcher.endpoints().is_usable(endpoint)) {
            gateway.log(LogEvent::EndpointLeaving, &[request, name]);
        }
        gateway.handle(DispatchEvent::EndpointLeaving(endpoint.clone()));
    } else if let Some(pause) = metadata.pause {
        meters::count_endpoint_notice("pause");
        let fields = [request, name, ("pause_ms", millis(pause))];
        gateway.log(LogEvent::EndpointPaused, &fields);
        gateway.handle(DispatchEvent::EndpointPaused(endpoint.clone(), pause));
    }
}

/// Reports the load that an endpoint states in an answer to this request.
fn report_load<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    outgoing: &OutgoingRequest,
    endpoint: &Arc<Endpoint>,
    load: Result<ReportedLoad, WireError>,
) {
    match load {
        Ok(load) => gateway.handle(DispatchEvent::LoadReported(endpoint.clone(), load)),
        Err(error) => {
            meters::count_endpoint_notice("unusable_load");
            let fields = [
                ("request", (*outgoing.id).into()),
                ("endpoint", endpoint.id.as_str().into()),
                ("reason", error.to_string().into()),
            ];
            gateway.log(LogEvent::EndpointLoadUnusable, &fields);
        }
    }
}

impl OutgoingRequest {
    /// Returns a fingerprint of the account, method, host name, URI, shared parts of the prompt and
    /// body. It is equal when the same request comes again.
    pub fn fingerprint(&self, prompt: Option<&Prompt>) -> Fingerprint {
        let payer = self.account.clone();
        let payer = payer.unwrap_or_else(|| AccountId::from(""));
        let uri = self.uri.to_string();
        let host_name = self.headers.get(header::HOST);
        let host_name = host_name.map_or(&[][..], |name| name.as_bytes());
        let mut input = Vec::with_capacity(host_name.len() + uri.len() + 16);
        input.extend_from_slice(self.method.as_str().as_bytes());
        input.push(b' ');
        input.extend_from_slice(&host_name.to_ascii_lowercase());
        input.push(b' ');
        input.extend_from_slice(uri.as_bytes());
        for part in prompt.into_iter().flat_map(Prompt::shared_parts) {
            input.push(b' ');
            input.extend_from_slice(&part.id.to_be_bytes());
        }
        input.push(b'\n');
        // The body is not copied, since the memory for it is counted once.
        Fingerprint::of_pieces(&payer, [&input[..], &self.body[..]])
    }

    fn build_request<W: WireFormat, C: Clock>(
        &self,
        gateway: &Rc<Gateway<W, C>>,
        endpoint: &Endpoint,
    ) -> Request<Full<Bytes>> {
        let now = gateway.now();
        let mut headers = self.headers.clone();
        let metadata = ForwardMetadata {
            endpoint,
            account: self.account.as_ref(),
            time_left: self.deadline.saturating_sub(now),
            last_event_id: self.last_event_id,
        };
        gateway.wire.write_forward_headers(&mut headers, &metadata);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        request
    }
}

/// Returns the status and the end-to-end headers of a response for the caller.
pub fn head_for_caller(head: &Parts) -> (StatusCode, HeaderMap) {
    let mut headers = head.headers.clone();
    remove_hop_by_hop_headers(&mut headers);
    (head.status, headers)
}

fn failure_from_error(error: &hyper::Error) -> Failure {
    let io_error = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    let is_too_long = io_error.is_some_and(|error| error.kind() == io::ErrorKind::InvalidData);
    match error.is_parse() || is_too_long {
        true => Failure::SpoiledAnswer,
        false => Failure::ConnectionLost,
    }
}

fn is_reusable(head: &Parts) -> bool {
    let connection = head.headers.get(header::CONNECTION);
    let says_close = connection.is_some_and(|value| {
        let value = value.to_str().unwrap_or("close");
        value.to_ascii_lowercase().contains("close")
    });
    !says_close && head.version == Version::HTTP_11
}

fn is_unframed(head: &Parts) -> bool {
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    !framing.iter().any(|name| head.headers.contains_key(name))
}

fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok().map(Duration::from_secs)
}
