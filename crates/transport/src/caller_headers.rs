//! Reads the headers of a caller's request, each with its own error.

use std::time::Duration;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use http::header::CONTENT_ENCODING;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_protocol::headers;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::settings::FrontSettings;

use crate::directory::Directory;
use crate::front_request::BadRequest;
use crate::front_request::bad_request;

/// Longest name of a request or key that is accepted.
const MAX_ID_BYTES: usize = 128;
/// Longest part of a wrong value that an error repeats.
const MAX_SHOWN_CHARS: usize = 64;
/// Scheme of the header that carries an account's key.
const KEY_SCHEME: &str = "Bearer";

/// Returns the text of a header that may come once.
pub(crate) fn text_header<'a>(
    map: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, BadRequest> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // Two parts of a path that each take another one of two values would disagree on who asks, or
    // on which key is claimed.
    if values.next().is_some() {
        let count = map.get_all(name).iter().count();
        return Err(malformed(format!(
            "{name}: found {count} times, expected once"
        )));
    }
    let text = value.to_str().map_err(|_| {
        let found = String::from_utf8_lossy(value.as_bytes());
        let found = shown(&found);
        malformed(format!(
            "{name}: found {found}, expected visible ASCII text"
        ))
    })?;
    Ok(Some(text))
}

/// Returns the whole number in a header.
pub(crate) fn number_header(map: &HeaderMap, name: &str) -> Result<Option<u64>, BadRequest> {
    let Some(text) = text_header(map, name)? else {
        return Ok(None);
    };
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| is_digits).ok_or_else(|| {
        let found = shown(text);
        malformed(format!("{name}: found {found}, expected a whole number"))
    })?;
    Ok(Some(number))
}

/// Returns the name in a header: of a request, or of a key.
pub(crate) fn id_header<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadRequest> {
    let Some(id) = text_header(map, name)? else {
        return Ok(None);
    };
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        let length = id.len();
        let expected = format!("expected 1 to {MAX_ID_BYTES}");
        return Err(malformed(format!(
            "{name}: found {length} characters, {expected}"
        )));
    }
    if !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        let found = shown(id);
        let expected = "expected visible ASCII without spaces";
        return Err(malformed(format!("{name}: found {found}, {expected}")));
    }
    Ok(Some(id))
}

/// Finds the account whose key a request carries; no error repeats the key.
pub(crate) fn account_of(map: &HeaderMap, directory: &Directory) -> Result<AccountId, BadRequest> {
    let name = AUTHORIZATION.as_str();
    let Some(value) = text_header(map, name)? else {
        return Err(unauthorized("found no such header"));
    };
    let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
    if !scheme.eq_ignore_ascii_case(KEY_SCHEME) {
        return Err(unauthorized("found another scheme"));
    }
    let key = key.trim();
    if key.is_empty() {
        return Err(unauthorized("found no key"));
    }
    let account = directory.account_of_key(key).cloned();
    account.ok_or_else(|| unauthorized("found a key of no account"))
}

/// Returns how long a request may take.
pub(crate) fn deadline(map: &HeaderMap, front: &FrontSettings) -> Result<Duration, BadRequest> {
    let asked = number_header(map, headers::DEADLINE_MS)?;
    let deadline_ms = asked.unwrap_or(front.default_deadline_ms);
    if deadline_ms == 0 || deadline_ms > front.max_deadline_ms {
        let name = headers::DEADLINE_MS;
        let max = front.max_deadline_ms;
        return Err(malformed(format!(
            "{name}: found {deadline_ms}, expected 1 to {max}"
        )));
    }
    Ok(Duration::from_millis(deadline_ms))
}

/// Refuses an encoded body: the encoding is not passed on, so an endpoint would take the encoded
/// bytes for the request itself.
pub(crate) fn check_encoding(map: &HeaderMap) -> Result<(), BadRequest> {
    let name = CONTENT_ENCODING.as_str();
    match text_header(map, name)? {
        Some(encoding) if !encoding.eq_ignore_ascii_case("identity") => {
            let found = shown(encoding);
            Err(malformed(format!(
                "{name}: found {found}, expected none or identity"
            )))
        }
        _ => Ok(()),
    }
}

/// Quotes a wrong value for an error, shortened: callers choose how long it is.
pub(crate) fn shown(value: &str) -> String {
    match value.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{:?}...", &value[..end]),
        None => format!("{value:?}"),
    }
}

fn malformed(detail: String) -> BadRequest {
    bad_request(RefusalReason::BadRequest, detail)
}

fn unauthorized(found: &str) -> BadRequest {
    let name = AUTHORIZATION.as_str();
    let detail = format!("{name}: {found}, expected {KEY_SCHEME} KEY with the key of an account");
    bad_request(RefusalReason::Unauthorized, detail)
}
