//! One attempt to run a request on an endpoint.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use sedgeridge_coordination::entry::AttemptEnd;
use sedgeridge_protocol::chat::ChatAnswer;
use sedgeridge_protocol::chat::ChatChunk;
use sedgeridge_protocol::chat::STREAM_END;
use sedgeridge_protocol::chat::Usage;
use sedgeridge_protocol::headers;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::millis;
use ureq::Agent;
use ureq::Body;

use crate::answer::AnswerPart;
use crate::answer::AnswerSender;
use crate::call::AnswerForm;
use crate::call::Call;

/// Largest answer that is held until it is whole.
const MAX_WHOLE_ANSWER_BYTES: u64 = 16 << 20;
/// Time after which an unused connection is not used again: what stands between the two ends may
/// have forgotten it, and a request sent on it would wait for an answer that never comes.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(4);

/// What one attempt is to do.
#[derive(Debug, Clone)]
pub struct AttemptOrder {
    /// What to send.
    pub call: Call,
    /// Where to send it.
    pub address: SocketAddr,
    /// Identifies the attempt towards the endpoint.
    pub attempt_id: String,
    /// Output tokens that the caller already holds.
    pub resume_after_tokens: u64,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Weight of one output token against one uncached input token.
    pub output_token_factor: u64,
    /// Where the answer goes.
    pub answer: AnswerSender,
}

/// HTTP clients shared by all workers.
#[derive(Debug, Clone)]
pub struct EndpointClients {
    pooled: Agent,
    unpooled: Agent,
}

impl EndpointClients {
    /// Creates the clients under the health settings.
    pub fn new(health: &HealthSettings) -> Self {
        let config = || {
            Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .max_redirects_will_error(false)
                .timeout_connect(Some(millis(health.connect_timeout_ms)))
                .timeout_per_read(Some(millis(health.stream_idle_timeout_ms)))
                .max_idle_age(MAX_CONNECTION_IDLE)
                .max_idle_connections(1_024)
                .max_idle_connections_per_host(64)
        };
        Self {
            pooled: config().build().new_agent(),
            unpooled: config().max_idle_connections(0).build().new_agent(),
        }
    }

    /// Runs one attempt and tells how it ended.
    pub fn run(&self, order: &AttemptOrder) -> AttemptEnd {
        let sent = self.send(order);
        let response = match sent {
            Ok(response) => response,
            Err(error) if never_connected(&error) => return AttemptEnd::NotStarted,
            Err(_) => return broken(order.resume_after_tokens, 0),
        };
        if response.headers().contains_key(headers::NOT_STARTED) {
            return AttemptEnd::NotStarted;
        }
        if !belongs_to(&response, &order.attempt_id) {
            return broken(order.resume_after_tokens, 0);
        }
        match order.call.form {
            AnswerForm::ChatStream if response.status().is_success() => {
                pass_stream(order, response)
            }
            _ => pass_whole(order, response),
        }
    }

    fn send(&self, order: &AttemptOrder) -> Result<http::Response<Body>, ureq::Error> {
        let call = &order.call;
        // A request that may not be repeated gets a connection of its own. On a reused one that
        // the endpoint just closed, a failed write cannot be told from a lost answer, and the
        // caller would be told "unknown" for a request that never left.
        let agent = if call.repeatable {
            &self.pooled
        } else {
            &self.unpooled
        };
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", order.address, call.path))
            .header(http::header::CONTENT_TYPE, &*call.content_type)
            .header(headers::REQUEST_ID, call.request_id.as_str())
            .header(headers::ATTEMPT_ID, &order.attempt_id)
            .header(headers::ACCOUNT, call.account.as_str());
        if let Some(key) = &call.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, &**key);
        }
        if order.resume_after_tokens > 0 {
            request = request.header(headers::RESUME_AFTER_TOKENS, order.resume_after_tokens);
        }
        let request = request.body(&call.body[..]).map_err(ureq::Error::Http)?;
        let configured = agent
            .configure_request(request)
            .timeout_global(Some(order.time_left))
            .allow_non_standard_methods(true)
            .build();
        agent.run(configured)
    }
}

/// Tells whether an error proves that no byte of the request left.
fn never_connected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

/// Tells whether an answer is for this attempt. An endpoint that crossed two answers would else
/// show one account's answer to another; endpoints that do not echo the id are trusted to their
/// connection, which carries one attempt at a time.
fn belongs_to(response: &http::Response<Body>, attempt_id: &str) -> bool {
    let echoed = response.headers().get(headers::ATTEMPT_ID);
    echoed.is_none_or(|echoed| echoed.as_bytes() == attempt_id.as_bytes())
}

fn broken(sent_tokens: u64, charged_tokens: u64) -> AttemptEnd {
    AttemptEnd::Broken {
        sent_tokens,
        charged_tokens,
    }
}

fn head_of(order: &AttemptOrder, response: &http::Response<Body>) -> AnswerPart {
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    AnswerPart::Head {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        attempt: order.attempt_id.clone(),
    }
}

fn charge(order: &AttemptOrder, usage: &Usage, output_tokens: u64) -> u64 {
    let uncached_tokens = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
    uncached_tokens + order.output_token_factor * output_tokens
}

fn pass_whole(order: &AttemptOrder, response: http::Response<Body>) -> AttemptEnd {
    let head = head_of(order, &response);
    let plain_charge = header_u64(&response, headers::CHARGED_TOKENS);
    let mut body = Vec::new();
    let mut reader = response
        .into_body()
        .into_reader()
        .take(MAX_WHOLE_ANSWER_BYTES + 1);
    if reader.read_to_end(&mut body).is_err() || body.len() as u64 > MAX_WHOLE_ANSWER_BYTES {
        return broken(0, 0);
    }
    let charged_tokens = match order.call.form {
        AnswerForm::Plain => plain_charge.unwrap_or(order.call.hint_tokens),
        AnswerForm::ChatStream | AnswerForm::ChatWhole => {
            let answer: Option<ChatAnswer> = serde_json::from_slice(&body).ok();
            answer.map_or(0, |a| charge(order, &a.usage, a.usage.completion_tokens))
        }
    };
    for part in [head, AnswerPart::Chunk(Bytes::from(body)), AnswerPart::End] {
        if order.answer.blocking_send(part).is_err() {
            return AttemptEnd::CallerGone { charged_tokens };
        }
    }
    AttemptEnd::Finished { charged_tokens }
}

fn header_u64(response: &http::Response<Body>, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Passes a stream on event by event, counting output tokens so that it can be resumed.
fn pass_stream(order: &AttemptOrder, response: http::Response<Body>) -> AttemptEnd {
    let first_token = header_u64(&response, headers::FIRST_TOKEN).unwrap_or(0);
    if first_token != order.resume_after_tokens {
        // The endpoint cannot resume where the caller stands: passing its tokens on would repeat
        // or skip some of them.
        return broken(order.resume_after_tokens, 0);
    }
    let resumed = order.resume_after_tokens > 0;
    if !resumed
        && order
            .answer
            .blocking_send(head_of(order, &response))
            .is_err()
    {
        return AttemptEnd::CallerGone { charged_tokens: 0 };
    }
    let mut stream = EventStream::new(order);
    let mut reader = BufReader::new(response.into_body().into_reader());
    loop {
        match stream.pass_event(&mut reader) {
            EventResult::Passed => {}
            EventResult::Ended => {
                return AttemptEnd::Finished {
                    charged_tokens: stream.charged_tokens(),
                };
            }
            EventResult::BrokeOff => return broken(stream.sent_tokens(), stream.charged_tokens()),
            EventResult::CallerGone => {
                return AttemptEnd::CallerGone {
                    charged_tokens: stream.charged_tokens(),
                };
            }
        }
    }
}

enum EventResult {
    Passed,
    Ended,
    BrokeOff,
    CallerGone,
}

struct EventStream<'a> {
    order: &'a AttemptOrder,
    output_tokens: u64,
    usage: Option<Usage>,
}

impl<'a> EventStream<'a> {
    fn new(order: &'a AttemptOrder) -> Self {
        Self {
            order,
            output_tokens: 0,
            usage: None,
        }
    }

    fn sent_tokens(&self) -> u64 {
        self.order.resume_after_tokens + self.output_tokens
    }

    fn charged_tokens(&self) -> u64 {
        let unknown = Usage {
            prompt_tokens: if self.output_tokens > 0 { 1 } else { 0 },
            ..Usage::default()
        };
        let usage = self.usage.unwrap_or(unknown);
        charge(self.order, &usage, self.output_tokens)
    }

    /// Reads lines up to the blank one that ends an event, and passes them on together.
    fn pass_event(&mut self, reader: &mut impl BufRead) -> EventResult {
        let mut event = Vec::new();
        loop {
            let start = event.len();
            match reader.read_until(b'\n', &mut event) {
                Ok(0) | Err(_) => return EventResult::BrokeOff,
                Ok(_) => {}
            }
            if event.last() != Some(&b'\n') {
                return EventResult::BrokeOff;
            }
            if event[start..].trim_ascii().is_empty() {
                break;
            }
        }
        let ended = self.count(&event);
        let mut parts = vec![AnswerPart::Chunk(Bytes::from(event))];
        if ended {
            parts.push(AnswerPart::End);
        }
        for part in parts {
            if self.order.answer.blocking_send(part).is_err() {
                return EventResult::CallerGone;
            }
        }
        if ended {
            // Reads the end of the body, so that the connection can be used again.
            let _ = reader.read(&mut [0; 1]);
            return EventResult::Ended;
        }
        EventResult::Passed
    }

    /// Counts the tokens of an event; true when it is the last.
    fn count(&mut self, event: &[u8]) -> bool {
        let Some(data) = event.strip_prefix(b"data:") else {
            return false;
        };
        let data = data.trim_ascii();
        if data == STREAM_END.as_bytes() {
            return true;
        }
        if let Ok(chunk) = serde_json::from_slice::<ChatChunk>(data) {
            let contents = chunk
                .choices
                .iter()
                .filter_map(|c| c.delta.content.as_ref());
            let tokens: usize = contents.map(|content| content.matches(' ').count()).sum();
            self.output_tokens += tokens as u64;
            self.usage = chunk.usage.or(self.usage);
        }
        false
    }
}
