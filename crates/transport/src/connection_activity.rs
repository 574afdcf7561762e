//! Monitors the activity of a caller's connection, and finds connections that exceed a time limit.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_state::settings::millis;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time limits of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ActivityLimits {
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl ActivityLimits {
    /// Takes the limits from the settings of the front.
    pub(crate) fn new(front: &FrontSettings) -> Self {
        Self {
            header_timeout: millis(front.header_timeout_ms),
            idle_timeout: millis(front.idle_timeout_ms),
        }
    }

    /// Returns the time between two checks of a connection.
    pub(crate) fn check_interval(&self) -> Duration {
        let shortest = self.header_timeout.min(self.idle_timeout);
        (shortest / 4).clamp(Duration::from_millis(5), Duration::from_secs(1))
    }
}

/// Reason to close a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// A request head did not end in time.
    HeaderTimeout,
    /// The caller has sent nothing since the connection was opened.
    NeverUsed,
    /// No further request arrived after the last one.
    Idle,
    /// The caller has stopped reading its answer.
    NotReading,
}

impl CloseReason {
    /// Returns the metric label.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::HeaderTimeout => "header_timeout",
            Self::NeverUsed => "never_used",
            Self::Idle => "idle",
            Self::NotReading => "not_reading",
        }
    }
}

#[derive(Debug)]
struct State {
    opened_at: Instant,
    has_received: bool,
    requests_in_progress: usize,
    head_started_at: Option<Instant>,
    last_active_at: Instant,
    write_blocked_at: Option<Instant>,
}

/// Activity of one connection; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Activity {
    state: Arc<Mutex<State>>,
}

impl Activity {
    /// Starts monitoring a connection that was just accepted.
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        let state = State {
            opened_at: now,
            has_received: false,
            requests_in_progress: 0,
            head_started_at: None,
            last_active_at: now,
            write_blocked_at: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records that a whole request head was read; the request lasts until the guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        let mut state = self.lock();
        state.requests_in_progress += 1;
        state.head_started_at = None;
        drop(state);
        RequestGuard {
            activity: self.clone(),
        }
    }

    /// Returns the reason to close the connection, if there is one.
    ///
    /// A connection that waits for its answer is not closed. A connection that blocks writes is closed
    /// even in the middle of an answer: otherwise its endpoint would keep a slot for a caller that is
    /// gone without having closed the connection.
    pub(crate) fn close_reason(&self, limits: &ActivityLimits) -> Option<CloseReason> {
        let now = Instant::now();
        let state = self.lock();
        let has_lasted = |since: Instant, limit| now.duration_since(since) >= limit;
        if let Some(since) = state.write_blocked_at {
            return has_lasted(since, limits.idle_timeout).then_some(CloseReason::NotReading);
        }
        if state.requests_in_progress > 0 {
            return None;
        }
        if let Some(since) = state.head_started_at {
            let is_overdue = has_lasted(since, limits.header_timeout);
            return is_overdue.then_some(CloseReason::HeaderTimeout);
        }
        if !state.has_received {
            let is_overdue = has_lasted(state.opened_at, limits.header_timeout);
            return is_overdue.then_some(CloseReason::NeverUsed);
        }
        has_lasted(state.last_active_at, limits.idle_timeout).then_some(CloseReason::Idle)
    }

    fn record_read(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        state.has_received = true;
        state.last_active_at = now;
        if state.requests_in_progress == 0 {
            state.head_started_at.get_or_insert(now);
        }
    }

    fn record_write(&self, blocked: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        if blocked {
            state.write_blocked_at.get_or_insert(now);
        } else {
            state.write_blocked_at = None;
            state.last_active_at = now;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Marks a request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    activity: Activity,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.activity.lock();
        state.requests_in_progress -= 1;
        state.last_active_at = Instant::now();
    }
}

/// The body of a response; its request is in progress until the body is dropped.
#[derive(Debug)]
pub(crate) struct GuardedBody<B> {
    body: B,
    _request: RequestGuard,
}

impl<B> GuardedBody<B> {
    /// Binds a request to the body of its answer.
    pub(crate) fn new(body: B, request: RequestGuard) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's socket that records its reads and writes.
#[derive(Debug)]
pub(crate) struct MonitoredStream {
    stream: TokioIo<TcpStream>,
    activity: Activity,
}

impl MonitoredStream {
    /// Wraps a socket.
    pub(crate) fn new(stream: TcpStream, activity: Activity) -> Self {
        Self {
            stream: TokioIo::new(stream),
            activity,
        }
    }

    /// Returns the socket.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream.into_inner()
    }

    fn record_write<T>(&self, written: &Poll<io::Result<T>>) {
        self.activity.record_write(written.is_pending());
    }
}

impl Read for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        // The end of the stream also counts as a read; the connection ends at once then.
        if read.is_ready() {
            self.activity.record_read();
        }
        read
    }
}

impl Write for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
