//! One attempt to run a request on an endpoint.

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
use crate::answer_forwarding::pass_stream;
use crate::answer_forwarding::pass_whole;
use crate::answer_memory::MAX_HELD_ANSWER_BYTES;
use crate::answer_memory::WholeRoom;
use crate::byte_budget::ByteBudget;
use crate::call::AnswerForm;
use crate::call::Call;
use crate::core::CoreInput;
use crate::recorded::Recorder;

/// Time after which an unused connection is not used again: what stands between the two ends may
/// have forgotten it, and a request sent on it would wait for an answer that never comes.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(4);
/// Unused connections kept in all; at the 30 KB of resident memory that one was measured to take, 15 MB.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// Unused connections kept to one endpoint.
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT: usize = 64;

/// What one attempt is to do.
#[derive(Debug, Clone)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: AttemptKey,
    /// What to send.
    pub call: Call,
    /// Where to send it.
    pub address: SocketAddr,
    /// Identifies the attempt towards the endpoint.
    pub attempt_id: String,
    /// Output tokens that the caller already holds.
    pub resume_after_tokens: u64,
    /// Whether the caller already holds the head of the answer.
    pub head_sent: bool,
    /// Whether a server error is passed on, since no attempt follows.
    pub last_attempt: bool,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Weight of one output token against one uncached input token.
    pub output_token_factor: u64,
    /// Where the answer goes.
    pub answer: AnswerSender,
}

/// How an attempt ended, with the answer to keep for repeats.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub end: AttemptEnd,
    /// The whole answer, if the request may not be repeated.
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
    /// Creates the clients under the health settings.
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

    /// Runs one attempt, tells `core` of its progress and returns how it ended.
    pub fn run(&self, order: &AttemptSpec, core: &SyncSender<CoreInput>) -> AttemptResult {
        let mut recorder = Recorder::new(order.call.repeatable);
        let mut end = self.run_recorded(order, core, &mut recorder);
        if let AttemptEnd::Failed { failure, .. } = &mut end
            && *failure == AttemptFailure::ConnectionLost
            && self.refuses_connections(order.address)
        {
            *failure = AttemptFailure::Crashed;
        }
        AttemptResult {
            end,
            recorded: recorder.finish(),
        }
    }

    /// Tells whether an endpoint that lost a connection refuses new ones.
    ///
    /// A request that crashes each endpoint which runs it is known by this only: the home ejects the
    /// endpoint at once, so that no later attempt would find it down.
    fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connected = TcpStream::connect_timeout(&address, self.connect_timeout);
        connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    }

    fn run_recorded(
        &self,
        order: &AttemptSpec,
        core: &SyncSender<CoreInput>,
        recorder: &mut Recorder,
    ) -> AttemptEnd {
        let started = Instant::now();
        let response = match self.send(order) {
            Ok(response) => response,
            Err(error) => return failed(order, send_failure(&error)),
        };
        if response.headers().contains_key(headers::NOT_STARTED) {
            return failed(order, AttemptFailure::NotStarted);
        }
        if !belongs_to(&response, &order.attempt_id) {
            return failed(order, AttemptFailure::AnswerCrossed);
        }
        let status = response.status();
        // A caller that holds the head of a stream cannot be given another status.
        let unusable = order.head_sent && !status.is_success();
        if unusable || status.is_server_error() && !order.last_attempt {
            return failed(order, AttemptFailure::ServerError);
        }
        let first_byte = started.elapsed();
        match order.call.form {
            AnswerForm::ChatStream if response.status().is_success() => {
                pass_stream(order, response, first_byte, core, recorder)
            }
            _ => {
                let room = WholeRoom {
                    budget: &self.held_answers,
                    deadline: started + order.time_left,
                };
                pass_whole(order, response, first_byte, &room, recorder)
            }
        }
    }

    fn send(&self, order: &AttemptSpec) -> Result<http::Response<Body>, ureq::Error> {
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

/// Tells what a request that got no answer died of. Only errors that prove that no byte of it left
/// count as a failed connection.
fn send_failure(error: &ureq::Error) -> AttemptFailure {
    if never_sent(error) {
        AttemptFailure::ConnectFailed
    } else {
        read_failure(error)
    }
}

/// Tells whether an error proves that no byte of the request left.
pub(crate) fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => is_connect_error(error),
        ureq::Error::Timeout(ureq::Timeout::Connect)
        | ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Http(_) => true,
        _ => false,
    }
}

/// Tells what an answer under way died of.
pub(crate) fn read_failure(error: &ureq::Error) -> AttemptFailure {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Global) => AttemptFailure::DeadlinePassed,
        ureq::Error::Timeout(_) => AttemptFailure::Silent,
        _ => AttemptFailure::ConnectionLost,
    }
}

/// Tells what a body under way died of.
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

/// Tells whether an answer is for this attempt. An endpoint that crossed two answers would else
/// show one account's answer to another; endpoints that do not echo the id are trusted to their
/// connection, which carries one attempt at a time.
fn belongs_to(response: &http::Response<Body>, attempt_id: &str) -> bool {
    let echoed = response.headers().get(headers::ATTEMPT_ID);
    echoed.is_none_or(|echoed| echoed.as_bytes() == attempt_id.as_bytes())
}

fn failed(order: &AttemptSpec, failure: AttemptFailure) -> AttemptEnd {
    AttemptEnd::Failed {
        failure,
        sent_tokens: order.resume_after_tokens,
        charged_tokens: 0,
        head_sent: order.head_sent,
    }
}
