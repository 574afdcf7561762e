//! A connection that ends with an error once its peer has stopped answering.
//!
//! Keepalive probes find a silent peer only while nothing is outstanding. The system's own limit on unacknowledged bytes
//! (`TCP_USER_TIMEOUT`) also ends the connection of a peer that reads slowly and answers. So the bytes that were sent are
//! checked here.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use sedgeridge_fleet::peer_silence::CHECK_INTERVAL;
use sedgeridge_fleet::peer_silence::PeerSilence;
use sedgeridge_fleet::peer_silence::PeerStatus;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::meters;
use crate::sent_state;

/// Peer of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// Connected to this host: a caller, the balancer, an operator or another host.
    Client,
    /// This host connected to it: an endpoint, the store or another host.
    Server,
}

impl Peer {
    /// Returns the name on the metrics page.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Server => "server",
        }
    }
}

/// Why a connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakCause {
    /// The peer answers nothing.
    Silent,
    /// The peer answers and does not read.
    NotRead,
    /// The peer sends more than it may.
    TooMuchRead,
    /// The system's own limit.
    TimedOut,
    Reset,
    Other,
}

impl BreakCause {
    fn of(error: io::ErrorKind) -> Self {
        match error {
            io::ErrorKind::TimedOut => Self::TimedOut,
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => Self::Reset,
            _ => Self::Other,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::NotRead => "not_read",
            Self::TooMuchRead => "too_much_read",
            Self::TimedOut => "timed_out",
            Self::Reset => "reset",
            Self::Other => "other",
        }
    }
}

/// A connection over TCP.
#[derive(Debug)]
pub struct PeerSocket {
    stream: TcpStream,
    peer: Peer,
    /// Longest time for which a write may make no progress; `None` if the connection's user limits it.
    write_limit: Option<Duration>,
    /// Set since a write has been pending.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Set while sent bytes may be outstanding.
    check: Option<SilenceCheck>,
    failure: Option<io::ErrorKind>,
    read_allowance: Option<ReadAllowance>,
}

/// Number of bytes that may still be read from a connection, shared with its user.
#[derive(Debug, Clone, Default)]
pub struct ReadAllowance {
    bytes: Rc<Cell<Option<usize>>>,
}

impl ReadAllowance {
    /// Sets the number; `None` for no limit.
    pub fn set(&self, bytes: Option<usize>) {
        self.bytes.set(bytes);
    }

    /// Returns whether `read` bytes were within the limit, and subtracts them from it.
    fn take(&self, read: usize) -> bool {
        let left = self.bytes.get().map(|bytes| bytes.checked_sub(read));
        self.bytes.set(left.map(Option::unwrap_or_default));
        left != Some(None)
    }
}

#[derive(Debug)]
struct SilenceCheck {
    timer: Pin<Box<Sleep>>,
    silence: PeerSilence,
}

impl SilenceCheck {
    fn new() -> Self {
        Self {
            timer: Box::pin(sleep(CHECK_INTERVAL)),
            silence: PeerSilence::default(),
        }
    }
}

impl PeerSocket {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, peer: Peer) -> Self {
        Self {
            stream,
            peer,
            write_limit: None,
            write_timer: None,
            check: None,
            failure: None,
            read_allowance: None,
        }
    }

    /// Sets the longest time for which the peer may read nothing while it is written to.
    pub fn set_write_limit(&mut self, limit: Duration) {
        self.write_limit = Some(limit);
    }

    /// Limits what is read. A read beyond the limit fails with [`io::ErrorKind::InvalidData`].
    pub fn set_read_allowance(&mut self, allowance: ReadAllowance) {
        self.read_allowance = Some(allowance);
    }

    /// Returns the socket, for its options.
    pub fn socket(&self) -> SockRef<'_> {
        SockRef::from(&self.stream)
    }

    /// Writes without waiting.
    ///
    /// # Errors
    ///
    /// The connection is broken, or the peer takes no bytes for now.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_write(bytes)
    }

    /// Waits until there is something to read: bytes, or the end of the connection.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub fn poll_read_ready(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.stream.poll_read_ready(context) {
            Poll::Ready(ready) => Poll::Ready(self.record(ready)),
            Poll::Pending => self.poll_silence(context).map(Err),
        }
    }

    /// Checks the peer if it is time to. Ready once the peer is silent.
    pub fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        while let Some(check) = &mut self.check {
            ready!(check.timer.as_mut().poll(context));
            let status = match sent_state::read(&self.stream) {
                Some(sent) => check.silence.check(sent),
                None => PeerStatus::Acknowledged,
            };
            match status {
                PeerStatus::Acknowledged => self.check = None,
                PeerStatus::Pending => check.timer.set(sleep(CHECK_INTERVAL)),
                PeerStatus::Silent => return Poll::Ready(self.break_off(BreakCause::Silent)),
            }
        }
        Poll::Pending
    }

    /// Waits until a pending write makes progress. Ready if the peer is silent or has not read for too long.
    fn poll_blocked(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if let Poll::Ready(error) = self.poll_silence(context) {
            return Poll::Ready(error);
        }
        let Some(limit) = self.write_limit else {
            return Poll::Pending;
        };
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(self.break_off(BreakCause::NotRead))
    }

    /// Makes the end of the connection a reset, so that the system drops what the peer has not read.
    fn break_off(&mut self, cause: BreakCause) -> io::Error {
        // Fails only if the connection is gone already.
        let _ = self.socket().set_linger(Some(Duration::ZERO));
        let error = match cause {
            BreakCause::TooMuchRead => io::ErrorKind::InvalidData,
            _ => io::ErrorKind::TimedOut,
        };
        self.record_failure(error, cause);
        error.into()
    }

    fn record<T>(&mut self, result: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &result {
            self.record_failure(error.kind(), BreakCause::of(error.kind()));
        }
        result
    }

    fn record_failure(&mut self, error: io::ErrorKind, cause: BreakCause) {
        if self.failure.is_none() {
            self.failure = Some(error);
            meters::count_broken_connection(self.peer.as_str(), cause.as_str());
        }
    }

    fn after_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(written) => {
                self.write_timer = None;
                self.check.get_or_insert_with(SilenceCheck::new);
                Poll::Ready(self.record(written))
            }
            Poll::Pending => self.poll_blocked(context).map(Err),
        }
    }
}

impl AsyncRead for PeerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let read = match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(read) => self.record(read),
            Poll::Pending => return self.poll_silence(context).map(Err),
        };
        let read_bytes = buffer.filled().len() - filled_before;
        let allowance = self.read_allowance.as_ref();
        if allowance.is_some_and(|allowance| !allowance.take(read_bytes)) {
            return Poll::Ready(Err(self.break_off(BreakCause::TooMuchRead)));
        }
        let has_ended = read.is_ok() && read_bytes == 0;
        match self.failure {
            // The system reports a reset to one call only, which may have been a write.
            Some(failure) if has_ended => Poll::Ready(Err(failure.into())),
            _ => Poll::Ready(read),
        }
    }
}

impl AsyncWrite for PeerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.after_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.after_write(written, context)
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
