//! Serves the requests on one connection of a caller.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use crate::call;
use crate::call::HeldResponse;
use crate::caller_stream::BusyGuard;
use crate::caller_stream::CallerStream;
use crate::clock::Clock;
use crate::early_refusal::EarlyOutcome;
use crate::early_refusal::refuse_next;
use crate::gateway::Gateway;
use crate::held_memory::HeldMemory;
use crate::response::ResponseBody;
use crate::stream_queue::StreamInterrupted;
use crate::wire::WireFormat;

/// Limit on hyper's read and write buffers for a connection, unless `max_header_bytes` is larger. A
/// typical prompt fits in one read. hyper's default limit is so high that a few hundred callers
/// with long bodies would fill a small host's memory.
pub(crate) const MAX_BUFFERED_BYTES: usize = 32 * 1024;

/// Shortest time for which a caller may read nothing of its response.
const MIN_WRITE_LIMIT: Duration = Duration::from_secs(2);

/// Serves one connection until either end closes it.
///
/// Between requests only the socket is kept, without hyper's state for the connection. The buffers
/// in that state grow with the bodies that the connection carries and do not shrink again. If every
/// open connection kept them, they would fill a small host's memory, and the process would be
/// killed with requests in progress.
pub(crate) async fn serve<W: WireFormat, C: Clock>(gateway: Rc<Gateway<W, C>>, stream: TcpStream) {
    let stream = CallerStream::new(stream);
    let history = ConnectionHistory::default();
    // A request that is refused early needs no hyper state, so none is created before a request
    // arrives.
    if gateway.is_refusing_many() && !wait_for_request(&gateway, &stream, &history).await {
        return;
    }
    loop {
        match refuse_next(&gateway, &stream) {
            EarlyOutcome::NotRefused => {}
            EarlyOutcome::Close => return,
            EarlyOutcome::Refused => {
                history.has_served.set(true);
                if !stream.has_put_back_bytes()
                    && !wait_for_request(&gateway, &stream, &history).await
                {
                    return;
                }
                continue;
            }
        }
        let serving = serve_requests(&gateway, &stream, &history);
        // Boxed, so that this future, which lives as long as the connection, reserves no memory for
        // hyper's state between requests.
        if Box::pin(serving).await == NextStep::Close {
            return;
        }
        // hyper yields after some pipelined requests although it has read more. Those were put back
        // and are served without waiting for further bytes.
        if !stream.has_put_back_bytes() && !wait_for_request(&gateway, &stream, &history).await {
            return;
        }
    }
}

/// What has happened on a connection so far.
#[derive(Debug, Default)]
struct ConnectionHistory {
    /// Whether a request was served.
    has_served: Cell<bool>,
    /// Memory of responses that the caller has not received completely.
    undelivered: RefCell<Vec<HeldMemory>>,
}

/// Next step for a connection on which no request is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    /// The connection is closed.
    Close,
    /// hyper's state is dropped until the next request.
    Wait,
}

/// Waits for the next request. Returns false if the connection is to be closed.
///
/// When the process is told to stop, a connection on which requests were served is closed. A caller
/// that went on using it would be cut off at the end of the grace period, and the balancer can only
/// redirect new connections. A new connection stays open for the request that its caller is
/// sending.
async fn wait_for_request<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    stream: &CallerStream,
    history: &ConnectionHistory,
) -> bool {
    let mut stop_requested = gateway.stop_requested_at.subscribe();
    let closes_on_stop = history.has_served.get();
    if closes_on_stop && stop_requested.borrow_and_update().is_some() {
        return false;
    }
    tokio::select! {
        // Bytes that have arrived are read first, also if the stop and the timeout are due at the
        // same time after the host was frozen.
        biased;
        read = stream.readable() => read.is_ok(),
        _ = stop_requested.changed(), if closes_on_stop => false,
        () = tokio::time::sleep(gateway.idle_timeout.get()) => false,
    }
}

/// Serves requests until none is in progress, or the connection ends.
async fn serve_requests<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    stream: &CallerStream,
    history: &ConnectionHistory,
) -> NextStep {
    let mut stop_requested = gateway.stop_requested_at.subscribe();
    let keep_alive = stop_requested.borrow_and_update().is_none();
    let service = service_fn(|request: Request<Incoming>| {
        let busy = stream.begin_request(!request.body().is_end_stream());
        let ends_with_connection = request.version() == Version::HTTP_10;
        history.has_served.set(true);
        let (gateway, caller) = (gateway.clone(), stream.clone());
        async move {
            let HeldResponse {
                mut response,
                memory,
                deadline,
            } = call::handle(gateway.clone(), caller.clone(), request).await;
            history.undelivered.borrow_mut().extend(memory);
            caller.set_write_limit(write_limit(&gateway, deadline));
            if gateway.should_close_connections() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody {
                body,
                busy,
                ends_with_connection,
            }))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(keep_alive)
        .header_read_timeout(gateway.header_timeout.get())
        .max_buf_size(MAX_BUFFERED_BYTES.max(gateway.max_header_bytes.get()))
        .serve_connection(TokioIo::new(stream.clone()), service);
    let mut partial_head = None;
    let mut next = None;
    while next.is_none() {
        let polled = poll_fn(|context| {
            // The error is ignored: a caller that leaves or an interrupted response ends the
            // connection with one, and the end of the request has already been counted.
            // hyper reads nothing while it holds the caller's next request, so the caller is checked here too.
            let is_over = Pin::new(&mut connection).poll(context).is_ready()
                || stream.poll_silence(context).is_ready();
            match is_over {
                true => Poll::Ready(NextStep::Close),
                false => poll_next_step(gateway, stream, &mut partial_head),
            }
        });
        next = tokio::select! {
            next = polled => Some(next),
            _ = stop_requested.changed() => None,
        };
        if next.is_none() {
            Pin::new(&mut connection).graceful_shutdown();
        }
    }
    history.undelivered.borrow_mut().clear();
    stream.put_back(&connection.into_parts().read_buf);
    next.unwrap_or(NextStep::Close)
}

/// Returns the longest time for which a caller may read nothing of its response: the rest of its time, or the idle timeout
/// if it names none. A caller whose response is late gets a moment to read it.
fn write_limit<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    deadline: Option<Duration>,
) -> Duration {
    let time_left = deadline.map(|deadline| deadline.saturating_sub(gateway.now()));
    time_left
        .unwrap_or(gateway.idle_timeout.get())
        .max(MIN_WRITE_LIMIT)
}

/// Decides what happens to an open connection after hyper has done what it can for now. It keeps
/// hyper's state (`Pending`) while a request is being received or answered.
fn poll_next_step<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    stream: &CallerStream,
    partial_head: &mut Option<PartialHead<W, C>>,
) -> Poll<NextStep> {
    if stream.is_between_requests() {
        return Poll::Ready(NextStep::Wait);
    }
    if !stream.is_reading_head() {
        *partial_head = None;
        return Poll::Pending;
    }
    partial_head.get_or_insert_with(|| PartialHead::count(gateway));
    match gateway.has_too_many_partial_heads() {
        true => Poll::Ready(NextStep::Close),
        false => Poll::Pending,
    }
}

/// Counts a connection on which only part of a request's head has arrived, until this value is
/// dropped.
///
/// Nearly all heads arrive in one piece. A connection with a partial head holds hyper's buffers,
/// but no request is counted for it, so callers that never complete a head would fill a small
/// host's memory. While partial heads take more than their part of the memory, connections with a
/// partial head are closed without a response.
struct PartialHead<W: WireFormat, C: Clock> {
    gateway: Rc<Gateway<W, C>>,
}

impl<W: WireFormat, C: Clock> PartialHead<W, C> {
    fn count(gateway: &Rc<Gateway<W, C>>) -> Self {
        gateway.partial_heads.set(gateway.partial_heads.get() + 1);
        Self {
            gateway: gateway.clone(),
        }
    }
}

impl<W: WireFormat, C: Clock> Drop for PartialHead<W, C> {
    fn drop(&mut self) {
        let partial_heads = &self.gateway.partial_heads;
        partial_heads.set(partial_heads.get() - 1);
    }
}

/// Body of a response. Its connection counts as busy until hyper drops the body: after it has taken
/// all of it, or when the connection ends.
struct TrackedBody {
    body: ResponseBody,
    busy: BusyGuard,
    /// Whether a response without a length ends with its connection, so that only a reset shows that it is not complete.
    ends_with_connection: bool,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if self.ends_with_connection && matches!(frame, Poll::Ready(Some(Err(_)))) {
            self.busy.reset_on_close();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
