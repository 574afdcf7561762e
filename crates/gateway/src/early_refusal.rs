//! Refuses requests by their bytes alone while engines have nothing left for accounts that have had their share.
//!
//! One account's callers can bring a small host a thousand requests a second, nearly all of which are refused. Buffers,
//! timers and tasks of the server's library are most of what a refusal costs; without them the host keeps up, and
//! callers of other accounts don't wait for its processor.

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

use crate::call_log::Refused;
use crate::call_log::log_refusal;
use crate::caller_request::look_up;
use crate::caller_stream::CallerStream;
use crate::clock::Clock;
use crate::core::Core;
use crate::wire::Wire;

/// Longest request that is refused early. Longer ones take the usual way.
const MOST_BYTES: usize = 16 * 1024;
/// When a caller should come back after a busy host refused it: at once, since it reaches another one.
const BUSY_RETRY: Duration = Duration::from_millis(20);
/// Most header fields of such a request.
const MOST_FIELDS: usize = 48;

/// What became of the next request on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Early {
    /// It was refused, and the connection stays open.
    Refused,
    /// The connection is to be closed.
    Close,
    /// It takes the usual way; what was read of it has been put back.
    Passed,
}

/// A whole request at the beginning of some bytes.
struct WholeRequest {
    head: Parts,
    /// Bytes of its head and body.
    length: usize,
}

/// Refuses the next request on a connection if that can be told from its first bytes.
pub(crate) fn refuse_next<W: Wire, C: Clock>(
    core: &Rc<Core<W, C>>,
    stream: &CallerStream,
) -> Early {
    if !core.refuses_many() || core.is_stopping() || stream.has_unread() {
        return Early::Passed;
    }
    let mut buffer = [0; MOST_BYTES];
    let Some(read) = stream.read_now(&mut buffer) else {
        return Early::Passed;
    };
    let bytes = &buffer[..read];
    let refusal = read_request(bytes, core.max_header_bytes.get())
        .and_then(|request| Some((refuse(core, &request.head)?, request.length)));
    let Some((answer, length)) = refusal else {
        stream.put_back(bytes);
        return Early::Passed;
    };
    stream.put_back(&bytes[length..]);
    match stream.write_now(&answer) && !core.closes_connections() {
        true => Early::Refused,
        false => Early::Close,
    }
}

/// Reads a request that has come whole, with nothing about it that needs the server's library.
fn read_request(bytes: &[u8], most_head_bytes: usize) -> Option<WholeRequest> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let head_bytes = match parsed.parse(bytes).ok()? {
        httparse::Status::Complete(head_bytes) if head_bytes <= most_head_bytes => head_bytes,
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
    let length = head_bytes.checked_add(body_bytes(&head)?)?;
    let is_whole = length <= bytes.len();
    is_whole.then_some(WholeRequest { head, length })
}

/// Returns the stated length of a request's body; `None` where its head says anything else of it, or of the connection.
fn body_bytes(head: &Parts) -> Option<usize> {
    let others = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::EXPECT,
        header::UPGRADE,
    ];
    if others.iter().any(|name| head.headers.contains_key(name)) {
        return None;
    }
    let mut stated = head.headers.get_all(header::CONTENT_LENGTH).iter();
    match (stated.next(), stated.next()) {
        (None, _) => Some(0),
        (Some(length), None) => read_length(length),
        (Some(_), Some(_)) => None,
    }
}

/// Reads a length of digits alone, as the server's library does.
fn read_length(stated: &HeaderValue) -> Option<usize> {
    let digits = stated.to_str().ok()?;
    let is_plain = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_plain)
}

/// Returns the answer to a request that is refused at once.
fn refuse<W: Wire, C: Clock>(core: &Rc<Core<W, C>>, head: &Parts) -> Option<Vec<u8>> {
    let received_at = core.now();
    let facts = core.wire.request(head).ok()?;
    let (route, account) = look_up(core, head, &facts).ok()?;
    let account = account?;
    let prompt = facts.prompt.as_ref()?;
    let refused = Refused {
        id: &facts.id,
        account: account.as_str(),
        route: &route.name,
        received_at,
    };
    let payer = stable_hash(account.as_str());
    if core.sheds(payer) {
        core.note_shed(payer, prompt);
        return Some(shed(core, &refused));
    }
    if !core.with_dispatcher(|it| it.refuses_at_once(received_at, payer)) {
        return None;
    }
    let time_left = facts.time_left.unwrap_or(route.timeout);
    let id = core.next_request();
    let arrival = Arrival {
        id,
        account: Some(payer),
        service: choose_service(&route.targets, &facts.id)?,
        received_at,
        deadline: received_at + time_left.min(route.timeout),
        prompt: facts.prompt.clone(),
        fingerprint: None,
        route: route.clone(),
    };
    let Ok(Verdict::Refuse {
        reason,
        retry_after,
        basis,
    }) = core.arrive(arrival).try_recv()
    else {
        core.handle(DispatchEvent::Abandoned(id));
        return None;
    };
    log_refusal(core, &refused, reason, retry_after, &basis);
    Some(answer(
        core.closes_connections(),
        reason.as_str(),
        retry_after,
    ))
}

/// Refuses a request that another host has the time for.
fn shed<W: Wire, C: Clock>(core: &Rc<Core<W, C>>, refused: &Refused<'_>) -> Vec<u8> {
    let reason = RefusalReason::HostBusy;
    log_refusal(core, refused, reason, BUSY_RETRY, &Basis::default());
    answer(core.closes_connections(), reason.as_str(), BUSY_RETRY)
}

fn answer(closes: bool, reason: &str, retry_after: Duration) -> Vec<u8> {
    let connection = match closes {
        true => "connection: close\r\n",
        false => "",
    };
    let seconds = retry_after.as_secs_f64();
    let length = reason.len();
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\nretry-after: {seconds:.3}\r\n\
         {connection}content-length: {length}\r\n\r\n{reason}"
    );
    answer.into_bytes()
}
