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

use crate::answer::AnswerBody;
use crate::answer::StreamCut;
use crate::call;
use crate::call::Answered;
use crate::caller_stream::BusyGuard;
use crate::caller_stream::CallerStream;
use crate::clock::Clock;
use crate::core::Core;
use crate::early_refusal::Early;
use crate::early_refusal::refuse_next;
use crate::held_memory::HeldMemory;
use crate::wire::WireFormat;

/// Bytes that a connection reads ahead or keeps back at most: a usual prompt in one read. The library's
/// own bound is so high that some hundred callers with long bodies would fill a small host's memory.
const MOST_BUFFERED_BYTES: usize = 32 * 1024;

/// Serves one connection until either end closes it.
///
/// Between requests only the socket is kept. The HTTP state of a connection has buffers as large as the
/// largest body that it ever carried; kept with each open connection they fill the memory
/// of a small host, and the process is killed with requests in progress.
pub(crate) async fn serve<W: WireFormat, C: Clock>(core: Rc<Core<W, C>>, stream: TcpStream) {
    let stream = CallerStream::new(stream);
    let served = Served::default();
    // What is refused early is better waited for without a state of its own.
    if core.refuses_many() && !wait_for_request(&core, &stream, &served).await {
        return;
    }
    loop {
        match refuse_next(&core, &stream) {
            Early::Passed => {}
            Early::Close => return,
            Early::Refused => {
                served.any.set(true);
                if !stream.has_unread() && !wait_for_request(&core, &stream, &served).await {
                    return;
                }
                continue;
            }
        }
        let exchange = serve_requests(&core, &stream, &served);
        // Not part of this task, which stays as long as the connection.
        if Box::pin(exchange).await == Next::Close {
            return;
        }
        // The server's library rests after some pipelined requests, with others read already.
        if !stream.has_unread() && !wait_for_request(&core, &stream, &served).await {
            return;
        }
    }
}

/// What has happened on a connection.
#[derive(Debug, Default)]
struct Served {
    /// Whether a request was answered.
    any: Cell<bool>,
    /// Memory of answers that the caller has not taken whole.
    held: RefCell<Vec<HeldMemory>>,
}

/// What becomes of a connection on which no request is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Close,
    Wait,
}

/// Waits for the next request; tells whether one may be coming.
///
/// When the process is told to stop, a connection on which requests were answered is closed: a caller
/// that went on with it would be cut off at the end of the grace time, and the balancer can only lead
/// new connections elsewhere. A new connection stays for the request that its caller is sending.
async fn wait_for_request<W: WireFormat, C: Clock>(
    core: &Core<W, C>,
    stream: &CallerStream,
    served: &Served,
) -> bool {
    let mut stopping = core.stopping.subscribe();
    let closes_on_stop = served.any.get();
    if closes_on_stop && stopping.borrow_and_update().is_some() {
        return false;
    }
    tokio::select! {
        // What has arrived is read, also where a frozen host finds the other ends of the wait due too.
        biased;
        read = stream.readable() => read.is_ok(),
        _ = stopping.changed(), if closes_on_stop => false,
        () = tokio::time::sleep(core.idle_timeout.get()) => false,
    }
}

/// Serves requests until none is under way, or the connection ends.
async fn serve_requests<W: WireFormat, C: Clock>(
    core: &Rc<Core<W, C>>,
    stream: &CallerStream,
    served: &Served,
) -> Next {
    let mut stopping = core.stopping.subscribe();
    let is_kept_open = stopping.borrow_and_update().is_none();
    let service = service_fn(|request: Request<Incoming>| {
        let busy = stream.begin_request(!request.body().is_end_stream());
        served.any.set(true);
        let (core, caller) = (core.clone(), stream.clone());
        async move {
            let Answered { mut answer, memory } = call::answer(core.clone(), caller, request).await;
            served.held.borrow_mut().extend(memory);
            if core.closes_connections() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer.map(|body| WatchedBody { body, _busy: busy }))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(is_kept_open)
        .header_read_timeout(core.header_timeout.get())
        .max_buf_size(MOST_BUFFERED_BYTES.max(core.max_header_bytes.get()))
        .serve_connection(TokioIo::new(stream.clone()), service);
    let mut half_head = None;
    let mut next = None;
    while next.is_none() {
        let polled = poll_fn(|context| {
            // A caller that leaves, or an answer that was cut, ends the connection with an error that says
            // nothing new: the request's own end has been counted.
            match Pin::new(&mut connection).poll(context).is_ready() {
                true => Poll::Ready(Next::Close),
                false => look(core, stream, &mut half_head),
            }
        });
        next = tokio::select! {
            next = polled => Some(next),
            _ = stopping.changed() => None,
        };
        if next.is_none() {
            Pin::new(&mut connection).graceful_shutdown();
        }
    }
    served.held.borrow_mut().clear();
    stream.put_back(&connection.into_parts().read_buf);
    next.unwrap_or(Next::Close)
}

/// Looks whether a connection that has nothing more to do at the moment needs its HTTP state.
fn look<W: WireFormat, C: Clock>(
    core: &Rc<Core<W, C>>,
    stream: &CallerStream,
    half_head: &mut Option<HalfHead<W, C>>,
) -> Poll<Next> {
    if stream.is_between_requests() {
        return Poll::Ready(Next::Wait);
    }
    if !stream.is_in_head() {
        *half_head = None;
        return Poll::Pending;
    }
    half_head.get_or_insert_with(|| HalfHead::begin(core));
    match core.has_too_many_half_heads() {
        true => Poll::Ready(Next::Close),
        false => Poll::Pending,
    }
}

/// A request's head that has not come whole.
///
/// Nearly all heads come in one piece. Each that does not holds its connection's buffers, and no request is
/// counted for it: heads that never end would fill a small host. Above a part of the memory such connections
/// are closed, unread.
struct HalfHead<W: WireFormat, C: Clock> {
    core: Rc<Core<W, C>>,
}

impl<W: WireFormat, C: Clock> HalfHead<W, C> {
    fn begin(core: &Rc<Core<W, C>>) -> Self {
        core.half_heads.set(core.half_heads.get() + 1);
        Self { core: core.clone() }
    }
}

impl<W: WireFormat, C: Clock> Drop for HalfHead<W, C> {
    fn drop(&mut self) {
        let half_heads = &self.core.half_heads;
        half_heads.set(half_heads.get() - 1);
    }
}

/// The body of an answer, which keeps its connection busy until it has been handed over.
struct WatchedBody {
    body: AnswerBody,
    _busy: BusyGuard,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
