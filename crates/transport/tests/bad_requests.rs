//! Malformed requests: each is refused before it is queued, with an error that names the header or field, the
//! value found there and the expected value.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::request::Builder;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_protocol::chat::CHAT_PATH;
use sedgeridge_transport::directory::Directory;
use sedgeridge_transport::front_request::BadRequest;
use sedgeridge_transport::front_request::ParsedRequest;
use sedgeridge_transport::front_request::identify_caller;
use sedgeridge_transport::front_request::parse_request;
use support::KEY;
use support::settings;
use yare::parameterized;

const CHAT: &str = r#"{"model":"desk","messages":[{"role":"user","content":"lens"}]}"#;
const ID: &str = "x-sedgeridge-request-id";
const DEADLINE: &str = "x-sedgeridge-deadline-ms";
const HINT: &str = "x-sedgeridge-cost-hint-tokens";

fn parse(request: Request<Bytes>) -> Result<ParsedRequest, BadRequest> {
    let directory = Directory::new(settings());
    let (parts, body) = request.into_parts();
    let caller = identify_caller(&parts, &directory, "router-1-1-1")?;
    parse_request(
        &parts,
        body,
        caller,
        &directory,
        RequestKey(1),
        Duration::ZERO,
    )
}

fn parse_error(request: Request<Bytes>) -> BadRequest {
    parse(request).expect_err("the request is malformed")
}

fn with_key(method: &str, target: &str) -> Builder {
    let request = Request::builder().method(method).uri(target);
    request.header("authorization", KEY)
}

fn body(builder: Builder, text: impl Into<Bytes>) -> Request<Bytes> {
    builder.body(text.into()).expect("a request")
}

#[track_caller]
fn assert_refused(bad: &BadRequest, status: u16, reason: &str, detail: &str) {
    assert_eq!(
        (bad.reason.status(), bad.reason.as_str()),
        (status, reason),
        "{}",
        bad.detail
    );
    assert_eq!(bad.detail, detail);
    assert_eq!(bad.reason.outcome(), Outcome::NotRun);
}

#[test]
fn the_valid_requests_behind_the_malformed_ones_are_accepted() {
    parse(body(with_key("POST", CHAT_PATH), CHAT)).unwrap();
    parse(body(with_key("GET", "/services/stock/lenses?day=2"), "")).unwrap();
    parse(body(with_key("GET", "/services/stock"), "")).unwrap();
    let deposit = with_key("POST", "/services/deposit/charge").header("idempotency-key", "k-1");
    assert!(parse(body(deposit, "{}")).unwrap().claim.is_some());
}

#[parameterized(
    not_json = { "lens", "body: found \"lens\", expected a JSON object" },
    empty = { "", "body: found nothing, expected a JSON object" },
    blank = { " \r\n", "body: found nothing, expected a JSON object" },
    fields_as_a_list = { r#"["desk",[{"role":"user","content":"a"}]]"#, "body: found a list, expected a JSON object" },
    message_as_a_list = { r#"{"model":"desk","messages":[["user","a"]]}"#, "messages[0]: found a list, expected an object" },
    list = { "[]", "body: found a list, expected a JSON object" },
    null = { "null", "body: found null, expected a JSON object" },
    cut_short = { r#"{"model":"desk""#, "body: EOF while parsing an object at line 1 column 15" },
    two_values = { r#"{"model":"desk","messages":[]} {}"#, "body: trailing characters at line 1 column 32" },
    same_field_twice = { r#"{"model":"desk","model":"other","messages":[]}"#, "body: duplicate field `model` at line 1 column 23" },
    control_character = { "{\"model\":\"de\u{1}sk\"}", "body: control character (\\u0000-\\u001F) found while parsing a string at line 1 column 13" },
    lone_surrogate = { r#"{"model":"\ud800"}"#, "body: unexpected end of hex escape at line 1 column 17" },
    model_missing = { r#"{"messages":[]}"#, "model: found no such field, expected text" },
    model_number = { r#"{"model":7,"messages":[]}"#, "model: found 7, expected text" },
    model_list = { r#"{"model":["desk"],"messages":[]}"#, "model: found a list, expected text" },
    messages_missing = { r#"{"model":"desk"}"#, "messages: found no such field, expected a list of messages" },
    messages_text = { r#"{"model":"desk","messages":"lens"}"#, "messages: found \"lens\", expected a list of messages" },
    messages_object = { r#"{"model":"desk","messages":{}}"#, "messages: found an object, expected a list of messages" },
    messages_empty = { r#"{"model":"desk","messages":[]}"#, "messages: found none, expected at least one message" },
    message_text = { r#"{"model":"desk","messages":["lens"]}"#, "messages[0]: found \"lens\", expected an object" },
    role_missing = { r#"{"model":"desk","messages":[{"content":"a"}]}"#, "messages[0].role: found no such field, expected text" },
    role_null = { r#"{"model":"desk","messages":[{"role":null,"content":"a"}]}"#, "messages[0].role: found null, expected text" },
    role_unknown = { r#"{"model":"desk","messages":[{"role":"user","content":"a"},{"role":"tool","content":"a"}]}"#, "messages[1].role: found \"tool\", expected system, user or assistant" },
    content_missing = { r#"{"model":"desk","messages":[{"role":"user"}]}"#, "messages[0].content: found no such field, expected text" },
    content_list = { r#"{"model":"desk","messages":[{"role":"user","content":[]}]}"#, "messages[0].content: found a list, expected text" },
    stream_text = { r#"{"model":"desk","messages":[],"stream":"yes"}"#, "stream: found \"yes\", expected true or false" },
    stream_null = { r#"{"model":"desk","messages":[],"stream":null}"#, "stream: found null, expected true or false" },
    limit_text = { r#"{"model":"desk","messages":[],"max_tokens":"9"}"#, "max_tokens: found \"9\", expected a whole number from 1 to 4294967295" },
    limit_negative = { r#"{"model":"desk","messages":[],"max_tokens":-1}"#, "max_tokens: found -1, expected a whole number from 1 to 4294967295" },
    limit_fraction = { r#"{"model":"desk","messages":[],"max_tokens":1.5}"#, "max_tokens: found 1.5, expected a whole number from 1 to 4294967295" },
    limit_huge = { r#"{"model":"desk","messages":[],"max_tokens":4294967296}"#, "max_tokens: found 4294967296, expected a whole number from 1 to 4294967295" },
    limit_zero = { r#"{"model":"desk","messages":[{"role":"user","content":"a"}],"max_tokens":0}"#, "max_tokens: found 0, expected a number above 0" },
)]
fn a_malformed_chat_body_is_refused(text: &str, detail: &str) {
    let bad = parse_error(body(with_key("POST", CHAT_PATH), text.to_owned()));
    assert_refused(&bad, 400, "bad_request", detail);
}

#[test]
fn a_chat_body_that_is_not_utf8_or_too_deep_is_refused() {
    let bad = parse_error(body(
        with_key("POST", CHAT_PATH),
        &b"{\"model\":\"\xff\"}"[..],
    ));
    assert_eq!(
        (bad.reason.status(), bad.reason.as_str()),
        (400, "bad_request")
    );
    assert!(
        bad.detail.starts_with("body: invalid unicode code point"),
        "{}",
        bad.detail
    );
    let deep = format!(r#"{{"model":"desk","messages":{}"#, "[".repeat(10_000));
    let bad = parse_error(body(with_key("POST", CHAT_PATH), deep));
    let expected = "body: invalid type: sequence, expected an object";
    assert!(bad.detail.starts_with(expected), "{}", bad.detail);
}

#[parameterized(
    unknown = { "desks", "model: found \"desks\", expected the name of a model service" },
    empty = { "", "model: found \"\", expected the name of a model service" },
    plain_service = { "stock", "model: found \"stock\", expected the name of a model service" },
    other_case = { "Desk", "model: found \"Desk\", expected the name of a model service" },
)]
fn an_unknown_model_is_refused(model: &str, detail: &str) {
    let bad = parse_error(body(
        with_key("POST", CHAT_PATH),
        CHAT.replace("desk", model),
    ));
    assert_refused(&bad, 404, "unknown_service", detail);
}

#[test]
fn a_huge_invalid_value_is_shortened_in_the_error() {
    let model = "m".repeat(100_000);
    let bad = parse_error(body(
        with_key("POST", CHAT_PATH),
        CHAT.replace("desk", &model),
    ));
    assert_eq!(bad.reason, RefusalReason::UnknownService);
    assert!(bad.detail.len() < 200, "{} bytes", bad.detail.len());
}

#[parameterized(
    root = { "/", 404, "unknown_service", "path: found \"/\", expected /v1/chat/completions or /services/NAME/" },
    chat_with_slash = { "/v1/chat/completions/", 404, "unknown_service", "path: found \"/v1/chat/completions/\", expected /v1/chat/completions or /services/NAME/" },
    other_case = { "/V1/chat/completions", 404, "unknown_service", "path: found \"/V1/chat/completions\", expected /v1/chat/completions or /services/NAME/" },
    request_by_id = { "/v1/requests/r-1", 404, "unknown_service", "path: found \"/v1/requests/r-1\", expected /v1/chat/completions or /services/NAME/" },
    operator_page = { "/operator/status", 404, "unknown_service", "path: found \"/operator/status\", expected /v1/chat/completions or /services/NAME/" },
    no_service = { "/services/", 404, "unknown_service", "path: found \"\", expected the name of a plain service" },
    empty_service = { "/services//lenses", 404, "unknown_service", "path: found \"\", expected the name of a plain service" },
    unknown_service = { "/services/stocks/lenses", 404, "unknown_service", "path: found \"stocks\", expected the name of a plain service" },
    model_service = { "/services/desk/lenses", 404, "unknown_service", "path: found \"desk\", expected the name of a plain service" },
    encoded_service = { "/services/st%6fck/lenses", 404, "unknown_service", "path: found \"st%6fck\", expected the name of a plain service" },
    service_above = { "/services/../stock/lenses", 404, "unknown_service", "path: found \"..\", expected the name of a plain service" },
    up = { "/services/stock/../deposit", 400, "bad_request", "path: found \"../deposit\", expected no `.` or `..` segment" },
    up_encoded = { "/services/stock/a/%2E%2e/b", 400, "bad_request", "path: found \"a/%2E%2e/b\", expected no `.` or `..` segment" },
    up_by_encoded_separators = { "/services/stock/a%2f..%2Fb", 400, "bad_request", "path: found \"a%2f..%2Fb\", expected no `.` or `..` segment" },
    same_place = { "/services/stock/./lenses", 400, "bad_request", "path: found \"./lenses\", expected no `.` or `..` segment" },
    other_server = { "http://elsewhere.test/services/stock", 400, "bad_request", "request target: found \"http://elsewhere.test/services/stock\", expected a path without a server" },
    server_only = { "elsewhere.test:443", 400, "bad_request", "request target: found \"elsewhere.test:443\", expected a path without a server" },
    every_path = { "*", 404, "unknown_service", "path: found \"*\", expected /v1/chat/completions or /services/NAME/" },
)]
fn an_unknown_target_is_refused(target: &str, status: u16, reason: &str, detail: &str) {
    let bad = parse_error(body(with_key("GET", target), ""));
    assert_refused(&bad, status, reason, detail);
}

#[parameterized(
    chat_by_get = { "GET", CHAT_PATH, "method: found \"GET\", expected POST on /v1/chat/completions" },
    chat_by_own_method = { "DEAL", CHAT_PATH, "method: found \"DEAL\", expected POST on /v1/chat/completions" },
    chat_by_small_letters = { "post", CHAT_PATH, "method: found \"post\", expected POST on /v1/chat/completions" },
    trace = { "TRACE", "/services/stock/lenses", "method: found TRACE, expected one that services take" },
    connect = { "CONNECT", "/services/stock/lenses", "method: found CONNECT, expected one that services take" },
)]
fn an_unsupported_method_is_refused(method: &str, target: &str, detail: &str) {
    let bad = parse_error(body(with_key(method, target), CHAT));
    assert_refused(&bad, 405, "method_not_allowed", detail);
}

#[parameterized(
    none = { &[], "authorization: found no such header, expected Bearer KEY with the key of an account" },
    empty = { &[""], "authorization: found another scheme, expected Bearer KEY with the key of an account" },
    other_scheme = { &["Basic crew-key"], "authorization: found another scheme, expected Bearer KEY with the key of an account" },
    key_alone = { &["crew-key"], "authorization: found another scheme, expected Bearer KEY with the key of an account" },
    no_key = { &["Bearer"], "authorization: found no key, expected Bearer KEY with the key of an account" },
    blank_key = { &["Bearer  "], "authorization: found no key, expected Bearer KEY with the key of an account" },
    wrong_key = { &["Bearer crew-kex"], "authorization: found a key of no account, expected Bearer KEY with the key of an account" },
    two_keys = { &["Bearer crew-key crew-key"], "authorization: found a key of no account, expected Bearer KEY with the key of an account" },
)]
fn a_caller_without_a_known_key_is_refused(values: &[&str], detail: &str) {
    let mut builder = Request::builder().method("POST").uri(CHAT_PATH);
    for value in values {
        builder = builder.header("authorization", *value);
    }
    assert_refused(
        &parse_error(body(builder, CHAT)),
        401,
        "unauthorized",
        detail,
    );
}

#[parameterized(
    key_twice = { "authorization", &[KEY], "authorization: found 2 times, expected once" },
    id_empty = { ID, &[""], "x-sedgeridge-request-id: found 0 characters, expected 1 to 128" },
    id_with_space = { ID, &["r 1"], "x-sedgeridge-request-id: found \"r 1\", expected visible ASCII without spaces" },
    id_with_tab = { ID, &["r\t1"], "x-sedgeridge-request-id: found \"r\\t1\", expected visible ASCII without spaces" },
    id_not_ascii = { ID, &["r\u{e9}"], "x-sedgeridge-request-id: found \"r\u{e9}\", expected visible ASCII text" },
    id_twice = { ID, &["r-1", "r-2"], "x-sedgeridge-request-id: found 2 times, expected once" },
    same_id_three_times = { ID, &["r-1", "r-1", "r-1"], "x-sedgeridge-request-id: found 3 times, expected once" },
    deadline_text = { DEADLINE, &["soon"], "x-sedgeridge-deadline-ms: found \"soon\", expected a whole number" },
    deadline_with_unit = { DEADLINE, &["5s"], "x-sedgeridge-deadline-ms: found \"5s\", expected a whole number" },
    deadline_signed = { DEADLINE, &["+5"], "x-sedgeridge-deadline-ms: found \"+5\", expected a whole number" },
    deadline_negative = { DEADLINE, &["-5"], "x-sedgeridge-deadline-ms: found \"-5\", expected a whole number" },
    deadline_fraction = { DEADLINE, &["0.5"], "x-sedgeridge-deadline-ms: found \"0.5\", expected a whole number" },
    deadline_empty = { DEADLINE, &[""], "x-sedgeridge-deadline-ms: found \"\", expected a whole number" },
    deadline_zero = { DEADLINE, &["0"], "x-sedgeridge-deadline-ms: found 0, expected 1 to 600000" },
    deadline_late = { DEADLINE, &["600001"], "x-sedgeridge-deadline-ms: found 600001, expected 1 to 600000" },
    deadline_beyond_64_bits = { DEADLINE, &["18446744073709551616"], "x-sedgeridge-deadline-ms: found \"18446744073709551616\", expected a whole number" },
    deadline_twice = { DEADLINE, &["5000", "9000"], "x-sedgeridge-deadline-ms: found 2 times, expected once" },
    hint_text = { HINT, &["much"], "x-sedgeridge-cost-hint-tokens: found \"much\", expected a whole number" },
    hint_twice = { HINT, &["1", "2"], "x-sedgeridge-cost-hint-tokens: found 2 times, expected once" },
    type_twice = { "content-type", &["text/plain", "application/json"], "content-type: found 2 times, expected once" },
    encoded = { "content-encoding", &["gzip"], "content-encoding: found \"gzip\", expected none or identity" },
    key_of_request_empty = { "idempotency-key", &[""], "idempotency-key: found 0 characters, expected 1 to 128" },
    key_of_request_with_space = { "idempotency-key", &["k 1"], "idempotency-key: found \"k 1\", expected visible ASCII without spaces" },
    key_of_request_twice = { "idempotency-key", &["k-1", "k-2"], "idempotency-key: found 2 times, expected once" },
)]
fn a_malformed_header_is_refused(name: &str, values: &[&str], detail: &str) {
    let mut builder = with_key("GET", "/services/stock/lenses");
    for value in values {
        builder = builder.header(name, value.as_bytes());
    }
    assert_refused(&parse_error(body(builder, "")), 400, "bad_request", detail);
}

#[parameterized(id = { ID }, key = { "idempotency-key" })]
fn an_id_that_is_too_long_is_refused(name: &str) {
    let builder = with_key("GET", "/services/stock/lenses").header(name, "r".repeat(129));
    let detail = format!("{name}: found 129 characters, expected 1 to 128");
    assert_refused(&parse_error(body(builder, "")), 400, "bad_request", &detail);
}

#[parameterized(
    text = { "text/plain", "content-type: found \"text/plain\", expected application/json" },
    form = { "application/x-www-form-urlencoded", "content-type: found \"application/x-www-form-urlencoded\", expected application/json" },
    nearly = { "application/jsonp", "content-type: found \"application/jsonp\", expected application/json" },
)]
fn a_chat_request_of_another_media_type_is_refused(found: &str, detail: &str) {
    let builder = with_key("POST", CHAT_PATH).header("content-type", found);
    assert_refused(
        &parse_error(body(builder, CHAT)),
        400,
        "bad_request",
        detail,
    );
}

#[test]
fn a_non_repeatable_request_without_a_key_is_refused() {
    let bad = parse_error(body(with_key("POST", "/services/deposit/charge"), "{}"));
    let detail = "idempotency-key: found none, expected a key: deposit may not be repeated";
    assert_refused(&bad, 400, "key_missing", detail);
}
