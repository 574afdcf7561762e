//! Reads the body of a chat request and names the field that is wrong with it.

use http::HeaderMap;
use http::header::CONTENT_TYPE;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_protocol::chat::ChatRequest;
use serde_json::Map;
use serde_json::Value;

use crate::caller_headers::shown;
use crate::caller_headers::text_header;
use crate::front_request::BadRequest;
use crate::front_request::bad_request;

/// Media type of a chat request.
const JSON: &str = "application/json";
/// Part of a body that is not JSON which an error may repeat.
const MAX_START_BYTES: usize = 256;
/// Who may speak in a conversation.
const ROLES: [&str; 3] = ["system", "user", "assistant"];

/// Reads and checks a chat request.
pub(crate) fn read_chat_body(headers: &HeaderMap, body: &[u8]) -> Result<ChatRequest, BadRequest> {
    check_type(headers)?;
    // The parser would take a list of the fields in order as well.
    if !body.trim_ascii_start().starts_with(b"{") {
        let start = String::from_utf8_lossy(&body[..body.len().min(MAX_START_BYTES)]);
        let not_json = || format!("body: found {}, expected a JSON object", shown(&start));
        return Err(malformed(explain(body).unwrap_or_else(not_json)));
    }
    let request: ChatRequest = serde_json::from_slice(body)
        .map_err(|error| malformed(explain(body).unwrap_or_else(|| format!("body: {error}"))))?;
    match wrong_value(&request) {
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
    let found = shown(found);
    Err(malformed(format!("{name}: found {found}, expected {JSON}")))
}

fn wrong_value(request: &ChatRequest) -> Option<String> {
    if request.messages.is_empty() {
        return Some("messages: found none, expected at least one message".to_owned());
    }
    if request.max_tokens == Some(0) {
        return Some("max_tokens: found 0, expected a number above 0".to_owned());
    }
    let wrong = |role: &str| !ROLES.contains(&role);
    let index = request.messages.iter().position(|m| wrong(&m.role))?;
    let found = shown(&request.messages[index].role);
    Some(format!(
        "messages[{index}].role: found {found}, expected system, user or assistant"
    ))
}

/// Tells which field has a wrong type; the parser's own error gives only a position. `None` when
/// the types are right, so that the body is malformed in another way.
fn explain(body: &[u8]) -> Option<String> {
    if body.trim_ascii().is_empty() {
        return Some("body: found nothing, expected a JSON object".to_owned());
    }
    let value: Value = serde_json::from_slice(body).ok()?;
    let Value::Object(fields) = value else {
        return Some(wrong("body", Some(&value), "a JSON object"));
    };
    wrong_text(&fields, "", "model")
        .or_else(|| wrong_messages(fields.get("messages")))
        .or_else(|| {
            let stream = fields.get("stream")?;
            (!stream.is_boolean()).then(|| wrong("stream", Some(stream), "true or false"))
        })
        .or_else(|| {
            let limit = fields.get("max_tokens").filter(|limit| !limit.is_null())?;
            let is_count = limit.as_u64().is_some_and(|n| u32::try_from(n).is_ok());
            let expected = format!("a whole number from 1 to {}", u32::MAX);
            (!is_count).then(|| wrong("max_tokens", Some(limit), &expected))
        })
}

fn wrong_messages(messages: Option<&Value>) -> Option<String> {
    let Some(Value::Array(messages)) = messages else {
        return Some(wrong("messages", messages, "a list of messages"));
    };
    messages.iter().enumerate().find_map(|(index, message)| {
        let place = format!("messages[{index}]");
        let Value::Object(fields) = message else {
            return Some(wrong(&place, Some(message), "an object"));
        };
        let place = format!("{place}.");
        wrong_text(fields, &place, "role").or_else(|| wrong_text(fields, &place, "content"))
    })
}

fn wrong_text(fields: &Map<String, Value>, place: &str, name: &str) -> Option<String> {
    let value = fields.get(name);
    let is_text = value.is_some_and(Value::is_string);
    (!is_text).then(|| wrong(&format!("{place}{name}"), value, "text"))
}

fn wrong(field: &str, found: Option<&Value>, expected: &str) -> String {
    let found = match found {
        None => "no such field".to_owned(),
        Some(Value::Null) => "null".to_owned(),
        Some(Value::Array(_)) => "a list".to_owned(),
        Some(Value::Object(_)) => "an object".to_owned(),
        Some(Value::String(text)) => shown(text),
        Some(Value::Bool(_) | Value::Number(_)) => found.map(Value::to_string).unwrap_or_default(),
    };
    format!("{field}: found {found}, expected {expected}")
}

fn malformed(detail: String) -> BadRequest {
    bad_request(RefusalReason::BadRequest, detail)
}
