//! Refuses requests directly from their bytes, without hyper, while the engines have no capacity
//! left for accounts that have used up their share.
//!
//! One account's callers can send a small host a thousand requests a second, nearly all of which
//! are refused. hyper's buffers, timers and tasks are most of the cost of a refusal. Without them
//! the host keeps up, and callers of other accounts don't wait for its processor.

use std::rc::Rc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http::request::Parts;
use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::route_table::choose_service;
use sedgeridge_fleet::verdict::Basis;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_fleet::verdict::Verdict;

use crate::caller_request::find_route;
use crate::caller_stream::CallerStream;
use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::request_log::RefusedRequest;
use crate::request_log::log_refusal;
use crate::wire::WireFormat;

/// Longest request that is refused early. Longer ones are left to hyper.
const MAX_REQUEST_BYTES: usize = 16 * 1024;
/// `Retry-After` when the host is busy: short, since the caller reaches another one.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Limit on the header fields of a request that is refused early.
const MAX_HEADER_FIELDS: usize = 48;

/// Outcome of the early check of the next request on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EarlyOutcome {
    /// The request was refused, and the connection stays open.
    Refused,
    /// The connection is to be closed.
    Close,
    /// hyper handles the request. The bytes that were read have been put back.
    NotRefused,
}

/// A complete request at the start of a buffer.
struct CompleteRequest {
    head: Parts,
    /// Length of head and body in bytes.
    length: usize,
}

/// Refuses the next request on a connection if its first bytes are enough to decide that.
pub(crate) fn refuse_next<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    stream: &CallerStream,
) -> EarlyOutcome {
    if !gateway.is_refusing_many() || gateway.is_stopping() || stream.has_put_back_bytes() {
        return EarlyOutcome::NotRefused;
    }
    let mut buffer = [0; MAX_REQUEST_BYTES];
    let Some(read) = stream.read_now(&mut buffer) else {
        return EarlyOutcome::NotRefused;
    };
    let bytes = &buffer[..read];
    let refusal = parse_request(bytes, gateway.max_header_bytes.get())
        .and_then(|request| Some((refuse_request(gateway, &request.head)?, request.length)));
    let Some((response, length)) = refusal else {
        stream.put_back(bytes);
        return EarlyOutcome::NotRefused;
    };
    stream.put_back(&bytes[length..]);
    match stream.write_now(&response) && !gateway.should_close_connections() {
        true => EarlyOutcome::Refused,
        false => EarlyOutcome::Close,
    }
}

/// Parses a request that has arrived completely and needs no further feature of hyper.
fn parse_request(bytes: &[u8], max_head_bytes: usize) -> Option<CompleteRequest> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let head_bytes = match parsed.parse(bytes).ok()? {
        httparse::Status::Complete(head_bytes) if head_bytes <= max_head_bytes => head_bytes,
        _ => return None,
    };
    if parsed.version != Some(1) {
        return None;
    }
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    head.uri = parsed.path?.parse::<Uri>().ok()?;
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        head.headers.append(name, value);
    }
    let length = head_bytes.checked_add(stated_body_bytes(&head)?)?;
    let is_complete = length <= bytes.len();
    is_complete.then_some(CompleteRequest { head, length })
}

/// Returns the stated length of a request's body, or 0; `None` if the length is unusable or the
/// head has other fields about the body or the connection.
fn stated_body_bytes(head: &Parts) -> Option<usize> {
    let unsupported = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::EXPECT,
        header::UPGRADE,
    ];
    if unsupported
        .iter()
        .any(|name| head.headers.contains_key(name))
    {
        return None;
    }
    let mut stated = head.headers.get_all(header::CONTENT_LENGTH).iter();
    match (stated.next(), stated.next()) {
        (None, _) => Some(0),
        (Some(length), None) => parse_length(length),
        (Some(_), Some(_)) => None,
    }
}

/// Parses a length that consists of digits only, as hyper does.
fn parse_length(stated: &HeaderValue) -> Option<usize> {
    let digits = stated.to_str().ok()?;
    let is_plain = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_plain)
}

/// Returns the response to a request that is refused at once; `None` if it is not.
fn refuse_request<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    head: &Parts,
) -> Option<Vec<u8>> {
    let received_at = gateway.now();
    let metadata = gateway.wire.parse_request(head).ok()?;
    if metadata.last_event_id.is_some() || metadata.resumed_attempt.is_some() {
        // The caller waits for the rest of a stream, for which engines have done work.
        return None;
    }
    let (route, account) = find_route(gateway, head, &metadata).ok()?;
    let account = account?;
    let prompt = metadata.prompt.as_ref()?;
    let refused = RefusedRequest {
        id: &metadata.id,
        account: account.as_str(),
        route: &route.name,
        received_at,
    };
    let account_hash = stable_hash(account.as_str());
    if gateway.should_shed(account_hash) {
        gateway.record_shed(account_hash, prompt);
        return Some(refuse_busy(gateway, &refused));
    }
    if !gateway.with_dispatcher(|dispatcher| dispatcher.refuses_at_once(received_at, account_hash))
    {
        return None;
    }
    let time_left = metadata.time_left.unwrap_or(route.timeout);
    let id = gateway.new_request_id();
    let arrival = Arrival {
        id,
        account: Some(account_hash),
        service: choose_service(&route.targets, &metadata.id)?,
        received_at,
        deadline: received_at + time_left.min(route.timeout),
        prompt: metadata.prompt.clone(),
        origin: None,
        fingerprint: None,
        route: route.clone(),
    };
    let Ok(Verdict::Refuse {
        reason,
        retry_after,
        basis,
    }) = gateway.submit(arrival).try_recv()
    else {
        gateway.handle(DispatchEvent::Abandoned(id));
        return None;
    };
    log_refusal(gateway, &refused, reason, retry_after, &basis);
    Some(refusal_response(
        gateway.should_close_connections(),
        reason.as_str(),
        retry_after,
    ))
}

/// Refuses a request because this host is busy and another one has the time for it.
fn refuse_busy<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    refused: &RefusedRequest<'_>,
) -> Vec<u8> {
    let reason = RefusalReason::HostBusy;
    log_refusal(
        gateway,
        refused,
        reason,
        BUSY_RETRY_AFTER,
        &Basis::default(),
    );
    refusal_response(
        gateway.should_close_connections(),
        reason.as_str(),
        BUSY_RETRY_AFTER,
    )
}

fn refusal_response(should_close: bool, reason: &str, retry_after: Duration) -> Vec<u8> {
    let connection = match should_close {
        true => "connection: close\r\n",
        false => "",
    };
    let seconds = retry_after.as_secs_f64();
    let length = reason.len();
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\nretry-after: {seconds:.3}\r\n\
         {connection}content-length: {length}\r\n\r\n{reason}"
    );
    response.into_bytes()
}
