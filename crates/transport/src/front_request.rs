//! Parses a caller's request: identifies the caller and the service, and prepares the call to the endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::request::Parts;
use sedgeridge_coordination::entry_events::Arrival;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::node_claims::ClaimKey;
use sedgeridge_coordination::pool_messages::PrefixHash;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_protocol::chat::ChatRequest;
use sedgeridge_protocol::headers;
use sedgeridge_state::claim_record::BodyHash;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::RequestId;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::ServiceSettings;

use crate::call::AnswerForm;
use crate::call::Call;
use crate::caller_headers::authenticate;
use crate::caller_headers::check_encoding;
use crate::caller_headers::id_header;
use crate::caller_headers::number_header;
use crate::caller_headers::quoted;
use crate::caller_headers::request_timeout;
use crate::caller_headers::text_header;
use crate::chat_body::parse_chat_body;
use crate::directory::Directory;
use crate::directory::DirectoryService;

/// Path under which plain services are called, followed by the service's name.
pub const PLAIN_PREFIX: &str = "/services/";
/// Cost of a plain request whose caller gives no hint.
const DEFAULT_PLAIN_HINT_TOKENS: u64 = 100;
/// Output tokens assumed for a chat request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u64 = 128;
/// Largest cost hint that is used; larger ones count as this.
const MAX_HINT_TOKENS: u64 = 10_000_000;
/// Assumed length of one input token.
const BYTES_PER_TOKEN: usize = 6;
/// Bytes at the start of a conversation that are hashed to find requests with the same cached prefix.
const PREFIX_BYTES: usize = 256;

/// Why a request is refused before it is queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// The reason.
    pub reason: RefusalReason,
    /// What was found and what was expected.
    pub detail: String,
}

/// The client account of a request and the request's id.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The client account.
    pub account: AccountId,
    /// Id of the request.
    pub request_id: RequestId,
}

/// A valid request, ready to be queued.
#[derive(Debug)]
pub struct ParsedRequest {
    /// Input of the scheduling decisions.
    pub arrival: Arrival,
    /// Request to send to the endpoint.
    pub call: Call,
    /// Idempotency claim of a non-repeatable request.
    pub claim: Option<ClaimKey>,
}

/// Identifies the caller of a request by its key.
///
/// # Errors
///
/// Refuses a request without a known key, or with a malformed request id.
pub fn identify_caller(
    parts: &Parts,
    directory: &Directory,
    fallback_id: &str,
) -> Result<Caller, BadRequest> {
    let account = authenticate(&parts.headers, directory)?;
    let request_id = id_header(&parts.headers, headers::REQUEST_ID)?;
    Ok(Caller {
        account,
        request_id: RequestId::from(request_id.unwrap_or(fallback_id)),
    })
}

/// Parses a request of an identified caller.
///
/// # Errors
///
/// Refuses an unknown path or service, and a malformed body or header.
pub fn parse_request(
    parts: &Parts,
    body: Bytes,
    caller: Caller,
    directory: &Directory,
    key: RequestKey,
    now: Duration,
) -> Result<ParsedRequest, BadRequest> {
    check_target(parts)?;
    check_encoding(&parts.headers)?;
    let path = parts.uri.path();
    let service_call = if path == CHAT_PATH {
        parse_chat(parts, &body, directory)?
    } else if let Some(rest) = path.strip_prefix(PLAIN_PREFIX) {
        parse_plain(parts, rest, directory)?
    } else {
        let found = quoted(path);
        let detail = format!("path: found {found}, expected {CHAT_PATH} or {PLAIN_PREFIX}NAME/");
        return Err(bad_request(RefusalReason::UnknownService, detail));
    };
    let idempotency_key = id_header(&parts.headers, headers::IDEMPOTENCY_KEY)?;
    let idempotency_key: Option<Arc<str>> = idempotency_key.map(Arc::from);
    let service = &service_call.service.service;
    if !service.repeatable && idempotency_key.is_none() {
        let name = headers::IDEMPOTENCY_KEY;
        let service = &service.id;
        let detail = format!("{name}: found none, expected a key: {service} may not be repeated");
        return Err(bad_request(RefusalReason::KeyMissing, detail));
    }
    let content_type = text_header(&parts.headers, http::header::CONTENT_TYPE.as_str())?;
    let claim = claim_key(
        &caller.account,
        service,
        idempotency_key.as_ref(),
        &service_call.path,
        &body,
    );
    let arrival = Arrival {
        key,
        account: caller.account.clone(),
        pool: service.pool.clone(),
        class: service.class,
        repeatable: service.repeatable,
        hint_tokens: service_call.hint_tokens.clamp(1, MAX_HINT_TOKENS),
        prefix: service_call.prefix,
        fingerprint: Fingerprint::of(&caller.account, &body),
        deadline: now + request_timeout(&parts.headers, &directory.settings.front)?,
    };
    let call = Call {
        account: caller.account,
        request_id: caller.request_id,
        method: parts.method.clone(),
        path: service_call.path,
        content_type: Arc::from(content_type.unwrap_or("application/json")),
        idempotency_key,
        body,
        form: service_call.form,
        repeatable: service.repeatable,
        hint_tokens: arrival.hint_tokens,
    };
    Ok(ParsedRequest {
        arrival,
        call,
        claim,
    })
}

/// Refuses a request whose target names a server, as requests to a forward proxy do: its sender means
/// another server and must not get an answer of this fleet.
fn check_target(parts: &Parts) -> Result<(), BadRequest> {
    if parts.uri.authority().is_none() {
        return Ok(());
    }
    let found = quoted(&parts.uri.to_string());
    let detail = format!("request target: found {found}, expected a path without a server");
    Err(bad_request(RefusalReason::BadRequest, detail))
}

/// Refuses a path with `.` or `..` segments, which an endpoint may resolve to a path outside the service. The
/// claim of a non-repeatable request covers the path as written, so two spellings of one path would count as
/// two requests.
fn check_path(path: &str) -> Result<(), BadRequest> {
    let decoded = path.to_ascii_lowercase().replace("%2e", ".");
    let decoded = decoded.replace("%2f", "/").replace("%5c", "/");
    let mut segments = decoded.split(['/', '\\']);
    if !segments.any(|segment| [".", ".."].contains(&segment)) {
        return Ok(());
    }
    let found = quoted(path);
    let detail = format!("path: found {found}, expected no `.` or `..` segment");
    Err(bad_request(RefusalReason::BadRequest, detail))
}

/// Returns the idempotency claim of a non-repeatable request. The claim covers the path and the body: the same
/// key with another path is another request.
fn claim_key(
    account: &AccountId,
    service: &ServiceSettings,
    idempotency_key: Option<&Arc<str>>,
    path: &str,
    body: &[u8],
) -> Option<ClaimKey> {
    if service.repeatable {
        return None;
    }
    let claimed = [service.id.as_str().as_bytes(), path.as_bytes(), body].join(&0);
    let Fingerprint(hash) = Fingerprint::of(account, &claimed);
    Some(ClaimKey {
        idempotency_key: Arc::clone(idempotency_key?),
        body_hash: BodyHash((hash >> 64) as u64),
    })
}

struct ServiceCall<'a> {
    service: &'a DirectoryService,
    path: Arc<str>,
    form: AnswerForm,
    hint_tokens: u64,
    prefix: Option<PrefixHash>,
}

fn parse_chat<'a>(
    parts: &Parts,
    body: &[u8],
    directory: &'a Directory,
) -> Result<ServiceCall<'a>, BadRequest> {
    if parts.method != Method::POST {
        let found = quoted(parts.method.as_str());
        let detail = format!("method: found {found}, expected POST on {CHAT_PATH}");
        return Err(bad_request(RefusalReason::MethodNotAllowed, detail));
    }
    let request = parse_chat_body(&parts.headers, body)?;
    let service = find_service(directory, &request.model, PoolKind::Model)?;
    let input_tokens = body.len() / BYTES_PER_TOKEN;
    let output_tokens = request.max_tokens.map_or(DEFAULT_OUTPUT_TOKENS, u64::from);
    let factor = u64::from(directory.settings.fair.output_token_factor);
    Ok(ServiceCall {
        service,
        path: Arc::from(CHAT_PATH),
        form: if request.stream {
            AnswerForm::ChatStream
        } else {
            AnswerForm::ChatWhole
        },
        hint_tokens: input_tokens as u64 + factor * output_tokens,
        prefix: Some(prefix_hash(&request)),
    })
}

fn parse_plain<'a>(
    parts: &Parts,
    rest: &str,
    directory: &'a Directory,
) -> Result<ServiceCall<'a>, BadRequest> {
    if [Method::CONNECT, Method::TRACE].contains(&parts.method) {
        let found = &parts.method;
        let detail = format!("method: found {found}, expected one that services take");
        return Err(bad_request(RefusalReason::MethodNotAllowed, detail));
    }
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = find_service(directory, name, PoolKind::Plain)?;
    check_path(path)?;
    let query = parts.uri.query().map_or(String::new(), |q| format!("?{q}"));
    let hint = number_header(&parts.headers, headers::COST_HINT_TOKENS)?;
    Ok(ServiceCall {
        service,
        path: Arc::from(format!("/{path}{query}")),
        form: AnswerForm::Plain,
        hint_tokens: hint.unwrap_or(DEFAULT_PLAIN_HINT_TOKENS),
        prefix: None,
    })
}

fn find_service<'a>(
    directory: &'a Directory,
    name: &str,
    kind: PoolKind,
) -> Result<&'a DirectoryService, BadRequest> {
    directory
        .service(name)
        .filter(|service| service.kind == kind)
        .ok_or_else(|| {
            let (field, kind) = match kind {
                PoolKind::Model => ("model", "model"),
                PoolKind::Plain => ("path", "plain"),
            };
            let found = quoted(name);
            let detail = format!("{field}: found {found}, expected the name of a {kind} service");
            bad_request(RefusalReason::UnknownService, detail)
        })
}

/// Hashes the model and the first [`PREFIX_BYTES`] of the conversation with 64-bit FNV-1a.
fn prefix_hash(request: &ChatRequest) -> PrefixHash {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let first = request.messages.iter().flat_map(|m| m.content.bytes());
    let bytes = request.model.bytes().chain(first.take(PREFIX_BYTES));
    PrefixHash(bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    }))
}

pub(crate) fn bad_request(reason: RefusalReason, detail: String) -> BadRequest {
    BadRequest { reason, detail }
}
