//! Parses the headers of a caller's request; each error names the header.

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

/// Longest accepted request id or idempotency key.
const MAX_ID_BYTES: usize = 128;
/// Most characters of an invalid value that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;
/// Scheme of the `Authorization` header that carries an account's key.
const KEY_SCHEME: &str = "Bearer";

/// Returns the text of a header that may occur at most once.
pub(crate) fn text_header<'a>(
    map: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, BadRequest> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // With two values, programs on the request's way could each use another one and disagree on the
    // account or on the claimed key.
    if values.next().is_some() {
        let count = map.get_all(name).iter().count();
        return Err(malformed(format!(
            "{name}: found {count} times, expected once"
        )));
    }
    let text = value.to_str().map_err(|_| {
        let found = String::from_utf8_lossy(value.as_bytes());
        let found = quoted(&found);
        malformed(format!(
            "{name}: found {found}, expected visible ASCII text"
        ))
    })?;
    Ok(Some(text))
}

/// Returns the value of a header that contains a whole number.
pub(crate) fn number_header(map: &HeaderMap, name: &str) -> Result<Option<u64>, BadRequest> {
    let Some(text) = text_header(map, name)? else {
        return Ok(None);
    };
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| is_digits).ok_or_else(|| {
        let found = quoted(text);
        malformed(format!("{name}: found {found}, expected a whole number"))
    })?;
    Ok(Some(number))
}

/// Returns the value of a header that contains a request id or an idempotency key.
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
        let found = quoted(id);
        let expected = "expected visible ASCII without spaces";
        return Err(malformed(format!("{name}: found {found}, {expected}")));
    }
    Ok(Some(id))
}

/// Finds the account whose key a request carries. Errors never quote the key.
pub(crate) fn authenticate(
    map: &HeaderMap,
    directory: &Directory,
) -> Result<AccountId, BadRequest> {
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

/// Returns the longest time that a request may take.
pub(crate) fn request_timeout(
    map: &HeaderMap,
    front: &FrontSettings,
) -> Result<Duration, BadRequest> {
    let requested = number_header(map, headers::DEADLINE_MS)?;
    let deadline_ms = requested.unwrap_or(front.default_deadline_ms);
    if deadline_ms == 0 || deadline_ms > front.max_deadline_ms {
        let name = headers::DEADLINE_MS;
        let max = front.max_deadline_ms;
        return Err(malformed(format!(
            "{name}: found {deadline_ms}, expected 1 to {max}"
        )));
    }
    Ok(Duration::from_millis(deadline_ms))
}

/// Refuses an encoded body: the header is not forwarded, so an endpoint would take the encoded bytes for
/// the request itself.
pub(crate) fn check_encoding(map: &HeaderMap) -> Result<(), BadRequest> {
    let name = CONTENT_ENCODING.as_str();
    match text_header(map, name)? {
        Some(encoding) if !encoding.eq_ignore_ascii_case("identity") => {
            let found = quoted(encoding);
            Err(malformed(format!(
                "{name}: found {found}, expected none or identity"
            )))
        }
        _ => Ok(()),
    }
}

/// Quotes an invalid value for an error message. The value is shortened because callers choose its length.
pub(crate) fn quoted(value: &str) -> String {
    match value.char_indices().nth(MAX_QUOTED_CHARS) {
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
