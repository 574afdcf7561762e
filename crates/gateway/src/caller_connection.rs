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

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
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

use crate::active_request;
use crate::active_request::HeldResponse;
use crate::caller_stream::BusyGuard;
use crate::caller_stream::CallerStream;
use crate::clock::Clock;
use crate::early_refusal::EarlyOutcome;
use crate::early_refusal::refuse_next;
use crate::gateway::Gateway;
use crate::held_memory::HeldMemory;
use crate::response::ResponseBody;
use crate::response::StreamInterrupted;
use crate::wire::WireFormat;

/// Bytes that a connection reads ahead or keeps back at most: a usual prompt in one read. The library's
/// own bound is so high that some hundred callers with long bodies would fill a small host's memory.
const MAX_BUFFERED_BYTES: usize = 32 * 1024;

/// Serves one connection until either end closes it.
///
/// Between requests only the socket is kept. The HTTP state of a connection has buffers as large as the
/// largest body that it ever carried; kept with each open connection they fill the memory
/// of a small host, and the process is killed with requests in progress.
pub(crate) async fn serve<W: WireFormat, C: Clock>(gateway: Rc<Gateway<W, C>>, stream: TcpStream) {
    let stream = CallerStream::new(stream);
    let history = ConnectionHistory::default();
    // What is refused early is better waited for without a state of its own.
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
        let exchange = serve_requests(&gateway, &stream, &history);
        // Not part of this task, which stays as long as the connection.
        if Box::pin(exchange).await == NextStep::Close {
            return;
        }
        // The server's library rests after some pipelined requests, with others read already.
        if !stream.has_put_back_bytes() && !wait_for_request(&gateway, &stream, &history).await {
            return;
        }
    }
}

/// What has happened on a connection.
#[derive(Debug, Default)]
struct ConnectionHistory {
    /// Whether a request was answered.
    has_served: Cell<bool>,
    /// Memory of answers that the caller has not taken whole.
    undelivered: RefCell<Vec<HeldMemory>>,
}

/// What becomes of a connection on which no request is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Close,
    Wait,
}

/// Waits for the next request; tells whether one may be coming.
///
/// When the process is told to stop, a connection on which requests were answered is closed: a caller
/// that went on with it would be cut off at the end of the grace time, and the balancer can only lead
/// new connections elsewhere. A new connection stays for the request that its caller is sending.
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
        // What has arrived is read, also where a frozen host finds the other ends of the wait due too.
        biased;
        read = stream.readable() => read.is_ok(),
        _ = stop_requested.changed(), if closes_on_stop => false,
        () = tokio::time::sleep(gateway.idle_timeout.get()) => false,
    }
}

/// Serves requests until none is under way, or the connection ends.
async fn serve_requests<W: WireFormat, C: Clock>(
    gateway: &Rc<Gateway<W, C>>,
    stream: &CallerStream,
    history: &ConnectionHistory,
) -> NextStep {
    let mut stop_requested = gateway.stop_requested_at.subscribe();
    let keep_alive = stop_requested.borrow_and_update().is_none();
    let service = service_fn(|request: Request<Incoming>| {
        let busy = stream.begin_request(!request.body().is_end_stream());
        history.has_served.set(true);
        let (gateway, caller) = (gateway.clone(), stream.clone());
        async move {
            let HeldResponse {
                mut response,
                memory,
            } = active_request::handle(gateway.clone(), caller, request).await;
            history.undelivered.borrow_mut().extend(memory);
            if gateway.should_close_connections() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody { body, _busy: busy }))
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
            // A caller that leaves, or an answer that was cut, ends the connection with an error that says
            // nothing new: the request's own end has been counted.
            match Pin::new(&mut connection).poll(context).is_ready() {
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

/// Looks whether a connection that has nothing more to do at the moment needs its HTTP state.
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

/// A request's head that has not come whole.
///
/// Nearly all heads come in one piece. Each that does not holds its connection's buffers, and no request is
/// counted for it: heads that never end would fill a small host. Above a part of the memory such connections
/// are closed, unread.
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

/// The body of an answer, which keeps its connection busy until it has been handed over.
struct TrackedBody {
    body: ResponseBody,
    _busy: BusyGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
