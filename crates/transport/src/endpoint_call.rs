//! Runs one attempt of a request on an endpoint.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::entry_events::AttemptEnd;
use sedgeridge_coordination::entry_events::AttemptFailure;
use sedgeridge_coordination::entry_events::AttemptKey;
use sedgeridge_protocol::headers;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::settings::HealthSettings;
use sedgeridge_state::settings::millis;
use ureq::Agent;
use ureq::Body;

use crate::address_agent::address_agent;
use crate::address_agent::address_config;
use crate::answer::AnswerSender;
use crate::answer_forwarding::forward_stream;
use crate::answer_forwarding::forward_whole;
use crate::answer_memory::MAX_HELD_ANSWER_BYTES;
use crate::answer_memory::WholeAnswerMemory;
use crate::byte_budget::ByteBudget;
use crate::call::AnswerForm;
use crate::call::Call;
use crate::core::CoreInput;
use crate::recorded::Recorder;

/// Idle time after which a connection is not reused: a device between the two ends may have dropped its state
/// of the connection, and a request sent on it would wait for an answer that never comes.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(4);
/// Most idle connections that are kept to all endpoints together; they take 15 MB at 30 KB of resident memory each.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// Most idle connections that are kept to one endpoint.
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT: usize = 64;

/// Parameters of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The request to send.
    pub call: Call,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Id of the attempt as sent to the endpoint.
    pub attempt_id: String,
    /// Output tokens that the caller already has.
    pub resume_after_tokens: u64,
    /// Whether the caller already has the head of the answer.
    pub head_sent: bool,
    /// Whether a server error is forwarded to the caller, as no further attempt follows.
    pub last_attempt: bool,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Cost of one output token relative to one uncached input token.
    pub output_token_factor: u64,
    /// Channel to the caller.
    pub answer: AnswerSender,
}

/// Result of an attempt, with the answer to record for repeats of the request.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub end: AttemptEnd,
    /// The complete answer of a non-repeatable request.
    pub recorded: Option<RecordedAnswer>,
}

/// HTTP clients shared by all workers.
#[derive(Debug, Clone)]
pub struct EndpointClients {
    pooled: Agent,
    unpooled: Agent,
    connect_timeout: Duration,
    held_answers: ByteBudget,
}

impl EndpointClients {
    /// Creates the clients with the timeouts of the health settings.
    pub fn new(health: &HealthSettings) -> Self {
        let config = || {
            address_config()
                .http_status_as_error(false)
                .max_redirects(0)
                .max_redirects_will_error(false)
                .timeout_connect(Some(millis(health.connect_timeout_ms)))
                .timeout_per_read(Some(millis(health.stream_idle_timeout_ms)))
                .max_idle_age(MAX_CONNECTION_IDLE)
                .max_idle_connections(MAX_IDLE_CONNECTIONS)
                .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_ENDPOINT)
        };
        Self {
            pooled: address_agent(config().build()),
            unpooled: address_agent(config().max_idle_connections(0).build()),
            connect_timeout: millis(health.connect_timeout_ms),
            held_answers: ByteBudget::new(MAX_HELD_ANSWER_BYTES),
        }
    }

    /// Runs one attempt, reports its progress to `core` and returns its result.
    pub fn run(&self, spec: &AttemptSpec, core: &SyncSender<CoreInput>) -> AttemptResult {
        let mut recorder = Recorder::new(spec.call.repeatable);
        let mut end = self.run_recorded(spec, core, &mut recorder);
        if let AttemptEnd::Failed { failure, .. } = &mut end
            && *failure == AttemptFailure::ConnectionLost
            && self.refuses_connections(spec.address)
        {
            *failure = AttemptFailure::Crashed;
        }
        AttemptResult {
            end,
            recorded: recorder.finish(),
        }
    }

    /// Returns whether an endpoint that lost a connection refuses new ones, which means that it crashed.
    ///
    /// Only this check detects requests that crash every endpoint which runs them: the home ejects a
    /// crashed endpoint at once, so no later attempt would find it down.
    fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connected = TcpStream::connect_timeout(&address, self.connect_timeout);
        connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    }

    fn run_recorded(
        &self,
        spec: &AttemptSpec,
        core: &SyncSender<CoreInput>,
        recorder: &mut Recorder,
    ) -> AttemptEnd {
        let started = Instant::now();
        let response = match self.send(spec) {
            Ok(response) => response,
            Err(error) => return failed(spec, send_failure(&error)),
        };
        if response.headers().contains_key(headers::NOT_STARTED) {
            return failed(spec, AttemptFailure::NotStarted);
        }
        if !belongs_to(&response, &spec.attempt_id) {
            return failed(spec, AttemptFailure::AnswerCrossed);
        }
        let status = response.status();
        // A caller that has the head of a stream cannot get another status.
        let unusable = spec.head_sent && !status.is_success();
        if unusable || status.is_server_error() && !spec.last_attempt {
            return failed(spec, AttemptFailure::ServerError);
        }
        let first_byte = started.elapsed();
        match spec.call.form {
            AnswerForm::ChatStream if response.status().is_success() => {
                forward_stream(spec, response, first_byte, core, recorder)
            }
            _ => {
                let memory = WholeAnswerMemory {
                    budget: &self.held_answers,
                    deadline: started + spec.time_left,
                };
                forward_whole(spec, response, first_byte, &memory, recorder)
            }
        }
    }

    fn send(&self, spec: &AttemptSpec) -> Result<http::Response<Body>, ureq::Error> {
        let call = &spec.call;
        // A non-repeatable request gets a new connection. On a reused connection that the endpoint has
        // just closed, a failed write cannot be told from a lost answer, and the caller would get the
        // outcome "unknown" for a request that was never sent.
        let agent = if call.repeatable {
            &self.pooled
        } else {
            &self.unpooled
        };
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", spec.address, call.path))
            .header(http::header::CONTENT_TYPE, &*call.content_type)
            .header(headers::REQUEST_ID, call.request_id.as_str())
            .header(headers::ATTEMPT_ID, &spec.attempt_id)
            .header(headers::ACCOUNT, call.account.as_str());
        if let Some(key) = &call.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, &**key);
        }
        if spec.resume_after_tokens > 0 {
            request = request.header(headers::RESUME_AFTER_TOKENS, spec.resume_after_tokens);
        }
        let request = request.body(&call.body[..]).map_err(ureq::Error::Http)?;
        let configured = agent
            .configure_request(request)
            .timeout_global(Some(spec.time_left))
            .allow_non_standard_methods(true)
            .build();
        agent.run(configured)
    }
}

/// Classifies the failure of a request that got no answer. Only errors that prove that no byte of the
/// request was sent count as a failed connection.
fn send_failure(error: &ureq::Error) -> AttemptFailure {
    if proves_unsent(error) {
        AttemptFailure::ConnectFailed
    } else {
        read_failure(error)
    }
}

/// Returns whether an error proves that no byte of the request was sent.
pub(crate) fn proves_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => is_connect_error(error),
        ureq::Error::Timeout(ureq::Timeout::Connect)
        | ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Http(_) => true,
        _ => false,
    }
}

/// Classifies a failure while an answer is read.
pub(crate) fn read_failure(error: &ureq::Error) -> AttemptFailure {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Global) => AttemptFailure::DeadlinePassed,
        ureq::Error::Timeout(_) => AttemptFailure::Silent,
        _ => AttemptFailure::ConnectionLost,
    }
}

/// Classifies a failure while a body is read.
pub(crate) fn body_failure(error: io::Error) -> AttemptFailure {
    read_failure(&ureq::Error::from(error))
}

fn is_connect_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::AddrNotAvailable
    )
}

/// Returns whether an answer is for this attempt. Otherwise an endpoint that mixes up two answers would
/// expose one account's answer to another. Endpoints need not echo the id: without it, the answer counts
/// as that of its connection, which carries one attempt at a time.
fn belongs_to(response: &http::Response<Body>, attempt_id: &str) -> bool {
    let echoed = response.headers().get(headers::ATTEMPT_ID);
    echoed.is_none_or(|echoed| echoed.as_bytes() == attempt_id.as_bytes())
}

fn failed(spec: &AttemptSpec, failure: AttemptFailure) -> AttemptEnd {
    AttemptEnd::Failed {
        failure,
        sent_tokens: spec.resume_after_tokens,
        charged_tokens: 0,
        head_sent: spec.head_sent,
    }
}
