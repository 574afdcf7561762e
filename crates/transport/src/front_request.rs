//! Reads a caller's request: who asks, for which service, and what goes to the endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
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
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_state::settings::PoolKind;
use sedgeridge_state::settings::ServiceSettings;

use crate::call::AnswerForm;
use crate::call::Call;
use crate::directory::Directory;
use crate::directory::DirectoryService;

/// Path under which plain services are called, followed by the service's name.
pub const PLAIN_PREFIX: &str = "/services/";
/// Cost of a plain request whose caller gives no hint.
const DEFAULT_PLAIN_HINT_TOKENS: u64 = 100;
/// Output tokens expected of a chat request that sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 128;
/// Largest cost hint that is believed.
const MAX_HINT_TOKENS: u64 = 10_000_000;
/// Longest name of a request or key that is accepted.
const MAX_ID_BYTES: usize = 128;
/// Rough length of one input token.
const BYTES_PER_TOKEN: usize = 6;
/// Part of the first messages that requests with the same cached prefix share.
const PREFIX_BYTES: usize = 256;

/// A request that cannot be accepted, and what exactly is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRequest {
    /// Why.
    pub reason: RefusalReason,
    /// What was found and what was expected.
    pub detail: String,
}

/// Who asks and under which name.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The client account.
    pub account: AccountId,
    /// The request.
    pub request_id: RequestId,
}

/// A request that can be queued.
#[derive(Debug)]
pub struct Accepted {
    /// For the decisions.
    pub arrival: Arrival,
    /// For the endpoint.
    pub call: Call,
    /// Its key, if it may not be repeated.
    pub claim: Option<ClaimKey>,
}

/// Tells who sends a request.
///
/// # Errors
///
/// Refuses a request without a known key or with a malformed request id.
pub fn identify(
    parts: &Parts,
    directory: &Directory,
    fallback_id: &str,
) -> Result<Caller, BadRequest> {
    let account = account_of(&parts.headers, directory)?;
    let request_id = match text_header(&parts.headers, headers::REQUEST_ID)? {
        Some(id) => checked_id(id, headers::REQUEST_ID)?,
        None => fallback_id,
    };
    Ok(Caller {
        account,
        request_id: RequestId::from(request_id),
    })
}

/// Reads a request of a known caller.
///
/// # Errors
///
/// Refuses an unknown path or service, a malformed body or header.
pub fn accept(
    parts: &Parts,
    body: Bytes,
    caller: Caller,
    directory: &Directory,
    key: RequestKey,
    now: Duration,
) -> Result<Accepted, BadRequest> {
    let path = parts.uri.path();
    let read = if path == CHAT_PATH {
        read_chat(parts, &body, directory)?
    } else if let Some(rest) = path.strip_prefix(PLAIN_PREFIX) {
        read_plain(parts, rest, directory)?
    } else {
        let detail = format!("no such path; services are at {CHAT_PATH} and {PLAIN_PREFIX}NAME/");
        return Err(bad(RefusalReason::UnknownService, detail));
    };
    let idempotency_key = match text_header(&parts.headers, headers::IDEMPOTENCY_KEY)? {
        Some(key) => Some(Arc::from(checked_id(key, headers::IDEMPOTENCY_KEY)?)),
        None => None,
    };
    let service = &read.service.service;
    if !service.repeatable && idempotency_key.is_none() {
        let detail = format!("service {} needs the header Idempotency-Key", service.id);
        return Err(bad(RefusalReason::KeyMissing, detail));
    }
    let content_type = text_header(&parts.headers, http::header::CONTENT_TYPE.as_str())?;
    let claim = claim_key(
        &caller.account,
        service,
        idempotency_key.as_ref(),
        &read.path,
        &body,
    );
    let arrival = Arrival {
        key,
        account: caller.account.clone(),
        pool: service.pool.clone(),
        class: service.class,
        repeatable: service.repeatable,
        hint_tokens: read.hint_tokens.clamp(1, MAX_HINT_TOKENS),
        prefix: read.prefix,
        fingerprint: Fingerprint::of(&caller.account, &body),
        deadline: now + deadline(&parts.headers, &directory.settings.front)?,
    };
    let call = Call {
        account: caller.account,
        request_id: caller.request_id,
        method: parts.method.clone(),
        path: read.path,
        content_type: Arc::from(content_type.unwrap_or("application/json")),
        idempotency_key,
        body,
        form: read.form,
        repeatable: service.repeatable,
        hint_tokens: arrival.hint_tokens,
    };
    Ok(Accepted {
        arrival,
        call,
        claim,
    })
}

/// Makes the claim of a request that may not be repeated. What is asked for is the path as well as
/// the body: the same key on another path is another request.
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
    let asked = [service.id.as_str().as_bytes(), path.as_bytes(), body].join(&0);
    let Fingerprint(hash) = Fingerprint::of(account, &asked);
    Some(ClaimKey {
        idempotency_key: Arc::clone(idempotency_key?),
        body_hash: BodyHash((hash >> 64) as u64),
    })
}

struct ReadCall<'a> {
    service: &'a DirectoryService,
    path: Arc<str>,
    form: AnswerForm,
    hint_tokens: u64,
    prefix: Option<PrefixHash>,
}

fn read_chat<'a>(
    parts: &Parts,
    body: &[u8],
    directory: &'a Directory,
) -> Result<ReadCall<'a>, BadRequest> {
    if parts.method != Method::POST {
        let detail = format!("{CHAT_PATH} takes POST, not {}", parts.method);
        return Err(bad(RefusalReason::MethodNotAllowed, detail));
    }
    let request: ChatRequest = serde_json::from_slice(body)
        .map_err(|error| bad(RefusalReason::BadRequest, format!("body: {error}")))?;
    check_chat(&request)?;
    let service = find(directory, &request.model, PoolKind::Model)?;
    let input_tokens = body.len() / BYTES_PER_TOKEN;
    let output_tokens = request.max_tokens.map_or(DEFAULT_OUTPUT_TOKENS, u64::from);
    let factor = u64::from(directory.settings.fair.output_token_factor);
    Ok(ReadCall {
        service,
        path: Arc::from(CHAT_PATH),
        form: if request.stream {
            AnswerForm::ChatStream
        } else {
            AnswerForm::ChatWhole
        },
        hint_tokens: input_tokens as u64 + factor * output_tokens,
        prefix: Some(prefix_of(&request)),
    })
}

fn check_chat(request: &ChatRequest) -> Result<(), BadRequest> {
    if request.messages.is_empty() {
        let detail = "messages: at least one message is expected".to_owned();
        return Err(bad(RefusalReason::BadRequest, detail));
    }
    if request.max_tokens == Some(0) {
        let detail = "max_tokens: a number above 0 is expected".to_owned();
        return Err(bad(RefusalReason::BadRequest, detail));
    }
    for (index, message) in request.messages.iter().enumerate() {
        if !["system", "user", "assistant"].contains(&message.role.as_str()) {
            let role = &message.role;
            let detail = format!(
                "messages[{index}].role: {role:?} found, system, user or assistant expected"
            );
            return Err(bad(RefusalReason::BadRequest, detail));
        }
    }
    Ok(())
}

fn read_plain<'a>(
    parts: &Parts,
    rest: &str,
    directory: &'a Directory,
) -> Result<ReadCall<'a>, BadRequest> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = find(directory, name, PoolKind::Plain)?;
    let query = parts.uri.query().map_or(String::new(), |q| format!("?{q}"));
    let hint = number_header(&parts.headers, headers::COST_HINT_TOKENS)?;
    Ok(ReadCall {
        service,
        path: Arc::from(format!("/{path}{query}")),
        form: AnswerForm::Plain,
        hint_tokens: hint.unwrap_or(DEFAULT_PLAIN_HINT_TOKENS),
        prefix: None,
    })
}

fn find<'a>(
    directory: &'a Directory,
    name: &str,
    kind: PoolKind,
) -> Result<&'a DirectoryService, BadRequest> {
    directory
        .service(name)
        .filter(|service| service.kind == kind)
        .ok_or_else(|| {
            let detail = format!("no service named {name:?} of this kind");
            bad(RefusalReason::UnknownService, detail)
        })
}

fn account_of(map: &HeaderMap, directory: &Directory) -> Result<AccountId, BadRequest> {
    let value = text_header(map, http::header::AUTHORIZATION.as_str())?;
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let account = key.and_then(|key| directory.account_of_key(key.trim()));
    account.cloned().ok_or_else(|| {
        let detail = "the header Authorization: Bearer KEY with a known key is expected";
        bad(RefusalReason::Unauthorized, detail.to_owned())
    })
}

fn deadline(map: &HeaderMap, front: &FrontSettings) -> Result<Duration, BadRequest> {
    let asked = number_header(map, headers::DEADLINE_MS)?;
    let deadline_ms = asked.unwrap_or(front.default_deadline_ms);
    if deadline_ms == 0 || deadline_ms > front.max_deadline_ms {
        let detail = format!(
            "{}: {deadline_ms} found, 1 to {} expected",
            headers::DEADLINE_MS,
            front.max_deadline_ms
        );
        return Err(bad(RefusalReason::BadRequest, detail));
    }
    Ok(Duration::from_millis(deadline_ms))
}

fn text_header<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = map.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    let text = text.map_err(|_| {
        let detail = format!("{name}: visible ASCII text is expected");
        bad(RefusalReason::BadRequest, detail)
    })?;
    Ok(Some(text))
}

fn number_header(map: &HeaderMap, name: &str) -> Result<Option<u64>, BadRequest> {
    let Some(text) = text_header(map, name)? else {
        return Ok(None);
    };
    let number = text.parse().map_err(|_| {
        let detail = format!("{name}: {text:?} found, a whole number expected");
        bad(RefusalReason::BadRequest, detail)
    })?;
    Ok(Some(number))
}

fn checked_id<'a>(id: &'a str, name: &str) -> Result<&'a str, BadRequest> {
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        let detail = format!("{name}: 1 to {MAX_ID_BYTES} characters are expected");
        return Err(bad(RefusalReason::BadRequest, detail));
    }
    Ok(id)
}

/// Hashes the first part of the conversation (64-bit FNV-1a).
fn prefix_of(request: &ChatRequest) -> PrefixHash {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let first = request.messages.iter().flat_map(|m| m.content.bytes());
    let bytes = request.model.bytes().chain(first.take(PREFIX_BYTES));
    PrefixHash(bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    }))
}

fn bad(reason: RefusalReason, detail: String) -> BadRequest {
    BadRequest { reason, detail }
}
