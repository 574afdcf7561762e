//! Reads a caller's request and finds its route and client account.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::first_config_wait::FIRST_CONFIG_RETRY_DELAY;
use sedgeridge_fleet::first_config_wait::first_config_wait;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::memory_budget::REQUEST_OVERHEAD_BYTES;
use sedgeridge_fleet::memory_budget::Requester;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::route_table::LookupError;
use sedgeridge_state::ids::AccountId;
use tokio::time::timeout;

use crate::attempt::OutgoingRequest;
use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::gateway::Gateway;
use crate::held_memory::HeldMemory;
use crate::meters;
use crate::request_body;
use crate::request_body::BodyError;
use crate::response;
use crate::response::CallerResponse;
use crate::response::remove_hop_by_hop_headers;
use crate::stream_request::StreamRequest;
use crate::wire::RequestMetadata;
use crate::wire::WireError;
use crate::wire::WireFormat;

/// `Retry-After` when the router is about to stop: short, since the caller reaches another one.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// `Retry-After` when the host has no memory left. The caller reaches another host, and requests
/// that end here free memory within some tens of milliseconds.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Number of copies of a head's bytes in memory: as read, decoded, forwarded, and in buffers that
/// have grown for them.
const HEAD_COPIES: u64 = 7;

/// A completely read request and its route.
#[derive(Debug)]
pub struct RoutedRequest {
    /// Route of the request.
    pub route: Arc<Route>,
    /// The request to forward to endpoints.
    pub outgoing: OutgoingRequest,
    /// Prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// Stream that the request begins or resumes.
    pub stream: StreamRequest,
    /// Id of the caller's attempt that began the stream; of this attempt, if it resumes none.
    pub first_attempt: Arc<str>,
    /// Time at which its head had been read.
    pub received_at: Duration,
    /// Memory that the request holds.
    pub memory: HeldMemory,
}

/// Reads a request.
///
/// # Errors
///
/// Returns the response to a request that goes to no endpoint.
pub async fn read<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    request: Request<Incoming>,
) -> Result<RoutedRequest, CallerResponse> {
    let received_at = gateway.now();
    let (head, body) = request.into_parts();
    let stop_times = gateway.stop_times();
    if stop_times.is_some_and(|times| received_at > times.accepts_until) {
        // The request would be cut off by the end of the grace period.
        request_body::discard(body).await;
        return Err(stopping_response());
    }
    let metadata = gateway.wire.parse_request(&head);
    let metadata = metadata.map_err(|error| reject_malformed(gateway, &error))?;
    wait_for_first_config(gateway, &head, &metadata).await;
    let found = find_route(gateway, &head, &metadata);
    let (route, account) =
        found.map_err(|error| reject_unroutable(gateway, &head, &metadata, error))?;
    let allowed = metadata.time_left.unwrap_or(route.timeout);
    let deadline = received_at + allowed.min(route.timeout);
    let bytes = unread_request_bytes(&head);
    let Some(memory) = gateway.memory.hold(bytes, asker(gateway, account.as_ref())) else {
        request_body::discard(body).await;
        return Err(reject_no_memory(gateway, &metadata));
    };
    let time_left = deadline.saturating_sub(gateway.now());
    let body = read_body_before_stop(gateway, body, time_left, &memory).await?;
    let body = body.map_err(|error| reject_unread_body(gateway, &metadata, &error))?;
    let stream = StreamRequest::new(&route, &metadata, received_at);
    let first_attempt = metadata.resumed_attempt.as_ref().unwrap_or(&metadata.id);
    let first_attempt = first_attempt.clone();
    let mut headers = head.headers;
    remove_hop_by_hop_headers(&mut headers);
    let outgoing = OutgoingRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        id: metadata.id,
        account,
        deadline,
        last_event_id: metadata.last_event_id,
        may_run_again: route.repeat.allows_second_run(),
    };
    Ok(RoutedRequest {
        route,
        outgoing,
        prompt: metadata.prompt,
        stream,
        first_attempt,
        received_at,
        memory,
    })
}

/// Reads a body, unless the router stops before.
async fn read_body_before_stop<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    body: Incoming,
    time_left: Duration,
    memory: &HeldMemory,
) -> Result<Result<Bytes, BodyError>, CallerResponse> {
    let max_bytes = gateway.max_body_bytes.get();
    let body = pin!(request_body::read(body, max_bytes, time_left, memory));
    let stopping = pin!(gateway.last_answers_due());
    tokio::select! {
        biased;
        body = body => Ok(body),
        () = stopping => Err(stopping_response()),
    }
}

/// Builds the response to a request that is not sent because the router stops.
pub(crate) fn stopping_response() -> CallerResponse {
    const REASON: &str = "stopping";
    meters::count_refused(REASON);
    response::not_run_response(REASON, STOPPING_RETRY_AFTER)
}

/// Waits for the first configuration, if none is known and the host has just started. A request for which there is no
/// memory does not wait.
async fn wait_for_first_config<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    head: &Parts,
    metadata: &RequestMetadata,
) {
    if gateway.routes.borrow().version().is_some() {
        return;
    }
    let limit = first_config_wait(gateway.now(), metadata.time_left);
    let memory = gateway
        .memory
        .hold(unread_request_bytes(head), Requester::WithinShare);
    if limit.is_zero() || memory.is_none() {
        return;
    }
    let is_known = timeout(limit, gateway.first_config()).await.is_ok();
    meters::count_first_config_wait(is_known);
}

/// Returns the route of a request, and the client account that pays for it.
pub(crate) fn find_route<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    head: &Parts,
    metadata: &RequestMetadata,
) -> Result<(Arc<Route>, Option<AccountId>), LookupError> {
    let routes = gateway.routes.borrow().clone();
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = routes.route(host, head.uri.path())?.clone();
    let account = routes.account(&route, metadata.key.as_deref())?;
    Ok((route, account))
}

fn reject_malformed<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    error: &WireError,
) -> CallerResponse {
    let reason = error.to_string();
    let fields = [("reason", reason.as_str().into())];
    gateway.log(LogEvent::RequestTurnedAway, &fields);
    response::text_response(StatusCode::BAD_REQUEST, &reason)
}

fn reject_unroutable<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    head: &Parts,
    metadata: &RequestMetadata,
    error: LookupError,
) -> CallerResponse {
    let fields = [
        ("request", (*metadata.id).into()),
        ("path", head.uri.path().into()),
        ("reason", error.as_str().into()),
        ("config_version", gateway.routes.borrow().version().into()),
    ];
    gateway.log(LogEvent::RequestTurnedAway, &fields);
    match error {
        LookupError::NoConfig => {
            response::not_run_response("no configuration yet", FIRST_CONFIG_RETRY_DELAY)
        }
        LookupError::NoRoute => response::text_response(StatusCode::NOT_FOUND, "no route"),
        LookupError::UnknownKey => response::text_response(StatusCode::UNAUTHORIZED, "unknown key"),
    }
}

/// Returns the memory that a request takes without its body.
fn unread_request_bytes(head: &Parts) -> u64 {
    REQUEST_OVERHEAD_BYTES + HEAD_COPIES * head_bytes(head)
}

fn head_bytes(head: &Parts) -> u64 {
    let fields = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    fields.sum::<usize>() as u64
}

fn asker<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    account: Option<&AccountId>,
) -> Requester {
    let account = account.map(|account| stable_hash(account.as_str()));
    let is_over = account.is_some_and(|account| {
        gateway.with_dispatcher(|dispatcher| dispatcher.is_over_share(account))
    });
    match is_over {
        true => Requester::OverShare,
        false => Requester::WithinShare,
    }
}

fn reject_unread_body<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    metadata: &RequestMetadata,
    error: &BodyError,
) -> CallerResponse {
    let status = match error {
        BodyError::NoMemory => return reject_no_memory(gateway, metadata),
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::CutOff => StatusCode::BAD_REQUEST,
    };
    response::text_response(status, &error.to_string())
}

fn reject_no_memory<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    metadata: &RequestMetadata,
) -> CallerResponse {
    const REASON: &str = "no_memory";
    meters::count_refused(REASON);
    if gateway
        .log
        .is_within_budget(gateway.now(), LogEvent::RequestRefused)
    {
        let fields = [
            ("request", (*metadata.id).into()),
            ("reason", REASON.into()),
            ("retry_after_ms", millis(NO_MEMORY_RETRY_AFTER)),
            ("held_bytes", gateway.memory.held_bytes().into()),
            ("in_progress", gateway.requests_in_progress.get().into()),
        ];
        gateway.log(LogEvent::RequestRefused, &fields);
    }
    response::not_run_response(REASON, NO_MEMORY_RETRY_AFTER)
}
