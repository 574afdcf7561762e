//! Parses the body of a chat request; an error names the invalid field.

use http::HeaderMap;
use http::header::CONTENT_TYPE;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_protocol::chat::ChatRequest;
use serde_json::Map;
use serde_json::Value;

use crate::caller_headers::quoted;
use crate::caller_headers::text_header;
use crate::front_request::BadRequest;
use crate::front_request::bad_request;

/// Media type of a chat request.
const JSON: &str = "application/json";
/// Bytes at the start of a body that are read to quote it in an error if it is not JSON.
const MAX_START_BYTES: usize = 256;
/// Roles that a message may have.
const ROLES: [&str; 3] = ["system", "user", "assistant"];

/// Parses and checks a chat request.
pub(crate) fn parse_chat_body(headers: &HeaderMap, body: &[u8]) -> Result<ChatRequest, BadRequest> {
    check_type(headers)?;
    // The parser would also accept a list of the fields' values in order.
    if !body.trim_ascii_start().starts_with(b"{") {
        let start = String::from_utf8_lossy(&body[..body.len().min(MAX_START_BYTES)]);
        let not_json = || format!("body: found {}, expected a JSON object", quoted(&start));
        return Err(malformed(find_type_error(body).unwrap_or_else(not_json)));
    }
    let request: ChatRequest = serde_json::from_slice(body).map_err(|error| {
        malformed(find_type_error(body).unwrap_or_else(|| format!("body: {error}")))
    })?;
    match invalid_value(&request) {
        Some(detail) => Err(malformed(detail)),
        None => Ok(request),
    }
}

fn check_type(headers: &HeaderMap) -> Result<(), BadRequest> {
    let name = CONTENT_TYPE.as_str();
    let Some(found) = text_header(headers, name)? else {
        return Ok(());
    };
    let media_type = found.split(';').next().unwrap_or_default().trim();
    if media_type.eq_ignore_ascii_case(JSON) {
        return Ok(());
    }
    let found = quoted(found);
    Err(malformed(format!("{name}: found {found}, expected {JSON}")))
}

fn invalid_value(request: &ChatRequest) -> Option<String> {
    if request.messages.is_empty() {
        return Some("messages: found none, expected at least one message".to_owned());
    }
    if request.max_tokens == Some(0) {
        return Some("max_tokens: found 0, expected a number above 0".to_owned());
    }
    let is_unknown = |role: &str| !ROLES.contains(&role);
    let index = request.messages.iter().position(|m| is_unknown(&m.role))?;
    let found = quoted(&request.messages[index].role);
    Some(format!(
        "messages[{index}].role: found {found}, expected system, user or assistant"
    ))
}

/// Describes the first field with a wrong type, as the parser's own error gives only a position. Returns `None`
/// if all types are right, which means that the body is malformed in another way.
fn find_type_error(body: &[u8]) -> Option<String> {
    if body.trim_ascii().is_empty() {
        return Some("body: found nothing, expected a JSON object".to_owned());
    }
    let value: Value = serde_json::from_slice(body).ok()?;
    let Value::Object(fields) = value else {
        return Some(type_error("body", Some(&value), "a JSON object"));
    };
    text_type_error(&fields, "", "model")
        .or_else(|| messages_type_error(fields.get("messages")))
        .or_else(|| {
            let stream = fields.get("stream")?;
            (!stream.is_boolean()).then(|| type_error("stream", Some(stream), "true or false"))
        })
        .or_else(|| {
            let limit = fields.get("max_tokens").filter(|limit| !limit.is_null())?;
            let is_count = limit.as_u64().is_some_and(|n| u32::try_from(n).is_ok());
            let expected = format!("a whole number from 1 to {}", u32::MAX);
            (!is_count).then(|| type_error("max_tokens", Some(limit), &expected))
        })
}

fn messages_type_error(messages: Option<&Value>) -> Option<String> {
    let Some(Value::Array(messages)) = messages else {
        return Some(type_error("messages", messages, "a list of messages"));
    };
    messages.iter().enumerate().find_map(|(index, message)| {
        let place = format!("messages[{index}]");
        let Value::Object(fields) = message else {
            return Some(type_error(&place, Some(message), "an object"));
        };
        let place = format!("{place}.");
        text_type_error(fields, &place, "role")
            .or_else(|| text_type_error(fields, &place, "content"))
    })
}

fn text_type_error(fields: &Map<String, Value>, place: &str, name: &str) -> Option<String> {
    let value = fields.get(name);
    let is_text = value.is_some_and(Value::is_string);
    (!is_text).then(|| type_error(&format!("{place}{name}"), value, "text"))
}

fn type_error(field: &str, found: Option<&Value>, expected: &str) -> String {
    let found = match found {
        None => "no such field".to_owned(),
        Some(Value::Null) => "null".to_owned(),
        Some(Value::Array(_)) => "a list".to_owned(),
        Some(Value::Object(_)) => "an object".to_owned(),
        Some(Value::String(text)) => quoted(text),
        Some(Value::Bool(_) | Value::Number(_)) => found.map(Value::to_string).unwrap_or_default(),
    };
    format!("{field}: found {found}, expected {expected}")
}

fn malformed(detail: String) -> BadRequest {
    bad_request(RefusalReason::BadRequest, detail)
}
