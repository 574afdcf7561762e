//! The front: the HTTP server that accepts callers' requests and returns their answers.
//!
//! It runs in one thread on a current-thread runtime, so that a caller who sends an incomplete head or
//! reads slowly costs a socket and a little memory, not a thread.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::request::Parts;
use hyper::body::Incoming;
use metrics::counter;
use metrics::gauge;
use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::entry_events::RequestKey;
use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_protocol::headers;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::millis;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::answer::ANSWER_CHANNEL_LEN;
use crate::answer::AnswerPart;
use crate::answer::AnswerReceiver;
use crate::answer::Refusal;
use crate::caller_connection::Admission;
use crate::caller_connection::READ_TIME_AFTER_STOP;
use crate::caller_connection::serve_connection;
use crate::caller_connection::wait_until;
use crate::core::CoreInput;
use crate::core::NewRequest;
use crate::directory::Directory;
use crate::directory::SharedDirectory;
use crate::event_log::LogEvent;
use crate::event_log::log_warn;
use crate::front_body::FrontBody;
use crate::front_request::BadRequest;
use crate::front_request::Caller;
use crate::front_request::identify_caller;
use crate::front_request::parse_request;
use crate::held_bodies::HeldBodies;
use crate::request_body::discard_body;
use crate::request_body::read_body;

/// Pause after a failed accept, for instance when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections beyond the limit that get a refusal; further ones are closed without an answer.
const MAX_REFUSING_CONNECTIONS: usize = 64;
/// Longest time for open connections to send their last bytes after the core has answered every request.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_secs(5);

/// State of the front, and its connections to the rest of the router.
#[derive(Debug)]
pub struct Front<C> {
    /// The process clock.
    pub clock: C,
    /// This router run.
    pub member: Member,
    /// The configuration in force.
    pub directory: SharedDirectory,
    /// Channel to the core thread.
    pub core: SyncSender<CoreInput>,
    /// Key of the next request; counts the requests so far.
    pub next_request: AtomicU64,
    /// Memory for the bodies of waiting and running requests.
    pub held_bodies: HeldBodies,
}

/// Binds the address on which callers connect.
///
/// # Errors
///
/// Fails if the address cannot be bound, so that the process ends before it has started anything.
pub fn bind(address: SocketAddr) -> io::Result<StdListener> {
    let listener = StdListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl<C: Clock + Send + Sync + 'static> Front<C> {
    /// Serves callers until `stop` turns true, then lets open connections finish.
    ///
    /// # Errors
    ///
    /// Fails if the runtime cannot be set up.
    pub fn run(self, listener: StdListener, stop: watch::Receiver<bool>) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(serve(Arc::new(self), listener, stop))
    }
}

async fn serve<C: Clock + Send + Sync + 'static>(
    front: Arc<Front<C>>,
    listener: StdListener,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let max_connections = front.directory.current().settings.front.max_connections;
    let permits = Arc::new(Semaphore::new(max_connections as usize));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSING_CONNECTIONS));
    let mut close_at = None;
    loop {
        // Connections that were made before the stop are still accepted. Closing the listener resets them.
        let may_accept = close_at.is_none_or(|at| Instant::now() < at);
        let accepted = tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop), if close_at.is_none() => {
                close_at = Some(Instant::now() + READ_TIME_AFTER_STOP);
                continue;
            }
            accepted = listener.accept(), if may_accept => accepted,
            () = wait_until(close_at) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log_warn(LogEvent::AcceptFailed, format_args!("error={error:?}"));
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let admitted = Arc::clone(&permits).try_acquire_owned();
        let admission = match admitted {
            Ok(_) => Admission::Served,
            Err(_) => Admission::OverLimit,
        };
        let Ok(permit) = admitted.or_else(|_| Arc::clone(&refusals).try_acquire_owned()) else {
            count_refusal(RefusalReason::TooManyConnections);
            continue;
        };
        let front = Arc::clone(&front);
        let stop = stop.clone();
        tokio::spawn(async move {
            gauge!("sedgeridge_connections_open").increment(1.0);
            serve_connection(front, stream, admission, stop).await;
            gauge!("sedgeridge_connections_open").decrement(1.0);
            drop(permit);
        });
    }
    drop(listener);
    // Every request has its final answer queued, or gets it from the core, which still runs. Connections
    // close after their last byte is sent.
    let all = permits.acquire_many(max_connections);
    let _ = tokio::time::timeout(front.shutdown_timeout(), all).await;
    Ok(())
}

impl<C: Clock> Front<C> {
    fn shutdown_timeout(&self) -> Duration {
        millis(self.directory.current().settings.front.max_deadline_ms) + LAST_BYTES_TIMEOUT
    }

    /// Handles a request and returns its response, whose body may still be streaming.
    pub(crate) async fn handle_request(
        &self,
        request: Request<Incoming>,
        admission: Admission,
    ) -> Response<FrontBody> {
        let key = RequestKey(self.next_request.fetch_add(1, Ordering::Relaxed));
        let Member { host, incarnation } = &self.member;
        let fallback_id = format!("{host}-{}-{}", incarnation.0, key.0);
        let (parts, body) = request.into_parts();
        let directory = self.directory.current();
        if admission == Admission::OverLimit {
            return self.refuse_connection(&fallback_id, body, &directory).await;
        }
        let caller = match identify_caller(&parts, &directory, &fallback_id) {
            Ok(caller) => caller,
            Err(bad) => return self.refuse_bad(&fallback_id, bad),
        };
        let request_id = caller.request_id.as_str().to_owned();
        match self.submit(key, &parts, body, caller, &directory).await {
            Ok(answer) => self.answer(key, &request_id, answer).await,
            Err(bad) => self.refuse_bad(&request_id, bad),
        }
    }

    /// Refuses a request on a connection beyond the limit. Its body is read first: closing a socket with unread
    /// bytes resets the connection, and the caller could lose the answer.
    async fn refuse_connection(
        &self,
        request_id: &str,
        body: Incoming,
        directory: &Directory,
    ) -> Response<FrontBody> {
        discard_body(body, &directory.settings.front).await;
        let max = directory.settings.front.max_connections;
        let bad = BadRequest {
            reason: RefusalReason::TooManyConnections,
            detail: format!("connections: found more than {max}, expected at most {max}"),
        };
        let mut response = self.refuse_bad(request_id, bad);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        response
    }

    async fn submit(
        &self,
        key: RequestKey,
        parts: &Parts,
        body: Incoming,
        caller: Caller,
        directory: &Directory,
    ) -> Result<AnswerReceiver, BadRequest> {
        let budget = self.held_bodies.account_budget(&caller.account);
        let body = read_body(body, &budget, &directory.settings.front).await?;
        let now = self.clock.now();
        let parsed = parse_request(parts, body, caller, directory, key, now)?;
        let (sender, receiver) = mpsc::channel(ANSWER_CHANNEL_LEN);
        let arrived = CoreInput::RequestArrived(Box::new(NewRequest {
            arrival: parsed.arrival,
            call: parsed.call,
            claim: parsed.claim,
            answer: sender,
        }));
        match self.core.try_send(arrived) {
            Ok(()) => Ok(receiver),
            Err(TrySendError::Full(_)) => Err(BadRequest {
                reason: RefusalReason::QueueFull,
                detail: "the router's queue of new requests is full".to_owned(),
            }),
            Err(TrySendError::Disconnected(_)) => Err(BadRequest {
                reason: RefusalReason::Draining,
                detail: "the router is stopping".to_owned(),
            }),
        }
    }

    async fn answer(
        &self,
        key: RequestKey,
        request_id: &str,
        mut answer: AnswerReceiver,
    ) -> Response<FrontBody> {
        let mut guard = CallerGuard {
            key,
            core: &self.core,
            waiting: true,
        };
        let first = answer.recv().await;
        guard.waiting = false;
        match first {
            Some(AnswerPart::Head {
                status,
                content_type,
                attempt,
            }) => {
                counter!("sedgeridge_answers_total").increment(1);
                let response = Response::builder()
                    .status(status)
                    .header(http::header::CONTENT_TYPE, content_type)
                    .header(headers::REQUEST_ID, request_id)
                    .header(headers::ATTEMPT_ID, attempt)
                    .header(headers::OUTCOME, Outcome::Ran.as_str())
                    .body(FrontBody::Parts(Some(answer)));
                response.expect("status and headers came from a valid answer")
            }
            Some(AnswerPart::Refusal(refusal)) => refusal_response(request_id, &refusal),
            Some(AnswerPart::Chunk(_) | AnswerPart::End) | None => refusal_response(
                request_id,
                &Refusal {
                    reason: RefusalReason::EndpointFailed,
                    outcome: Outcome::Unknown,
                    retry_after: None,
                    detail: "the router lost track of this request".to_owned(),
                },
            ),
        }
    }

    fn refuse_bad(&self, request_id: &str, bad: BadRequest) -> Response<FrontBody> {
        count_refusal(bad.reason);
        let refusal = Refusal {
            reason: bad.reason,
            outcome: Outcome::NotRun,
            retry_after: bad
                .reason
                .offers_retry_after()
                .then_some(Duration::from_secs(1)),
            detail: bad.detail,
        };
        refusal_response(request_id, &refusal)
    }
}

/// Notifies the core if a caller disconnects before its answer begins. Without the notification, requests
/// without a caller would fill the queue and run on endpoints.
struct CallerGuard<'a> {
    key: RequestKey,
    core: &'a SyncSender<CoreInput>,
    waiting: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.waiting {
            // If the channel is full, the request stays until its deadline, which bounds the loss.
            let _ = self.core.try_send(CoreInput::CallerGone { key: self.key });
        }
    }
}

fn count_refusal(reason: RefusalReason) {
    counter!("sedgeridge_refusals_total", "reason" => reason.as_str()).increment(1);
}

fn refusal_response(request_id: &str, refusal: &Refusal) -> Response<FrontBody> {
    let reason = refusal.reason.as_str();
    let outcome = refusal.outcome.as_str();
    let error = serde_json::json!({
        "error": { "type": reason, "message": refusal.detail, "outcome": outcome }
    });
    let mut response = Response::builder()
        .status(refusal.reason.status())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(headers::REQUEST_ID, request_id)
        .header(headers::OUTCOME, outcome)
        .header(headers::REASON, reason);
    if refusal.reason == RefusalReason::Draining {
        // A caller that keeps its connection would send its next request to this stopping host.
        response = response.header(CONNECTION, "close");
    }
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
        response = response.header(http::header::RETRY_AFTER, seconds);
    }
    let body = FrontBody::Whole(Some(Bytes::from(error.to_string())));
    response.body(body).expect("refusal headers are valid")
}
