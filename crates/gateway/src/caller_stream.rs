//! A caller's connection, which tells whether a request is in progress and whether the caller has
//! closed it.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::peer_socket::Peer;
use crate::peer_socket::PeerSocket;

/// A connection that hyper reads and writes while other code inspects it.
///
/// It tracks whether a request is in progress, so that the state for requests can be dropped
/// between two of them.
#[derive(Debug, Clone)]
pub struct CallerStream {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    stream: RefCell<PeerSocket>,
    /// Bytes that were put back, to be read again first.
    put_back_bytes: RefCell<Bytes>,
    /// Whether only part of a head has been read, or a response is not complete.
    is_busy: Cell<bool>,
    /// Whether a head has been read and its response is not complete.
    is_in_request: Cell<bool>,
    /// Whether bytes of a request's body may still arrive.
    may_receive_body: Cell<bool>,
    /// Whether the last write is pending because the caller takes no more bytes.
    is_write_blocked: Cell<bool>,
}

/// Marks a request as in progress until its response has been handed over completely.
#[derive(Debug)]
pub struct BusyGuard {
    stream: CallerStream,
}

impl BusyGuard {
    /// Makes the end of the connection a reset.
    pub fn reset_on_close(&self) {
        let stream = self.stream.inner.stream.borrow();
        // Fails only if the connection is gone already.
        let _ = stream.socket().set_linger(Some(Duration::ZERO));
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.stream.inner.is_busy.set(false);
        self.stream.inner.is_in_request.set(false);
    }
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        let inner = Inner {
            stream: RefCell::new(PeerSocket::new(stream, Peer::Client)),
            put_back_bytes: RefCell::new(Bytes::new()),
            is_busy: Cell::new(false),
            is_in_request: Cell::new(false),
            may_receive_body: Cell::new(false),
            is_write_blocked: Cell::new(false),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Marks a request, whose head has been read, as in progress until the guard is dropped.
    pub fn begin_request(&self, has_body: bool) -> BusyGuard {
        self.inner.is_busy.set(true);
        self.inner.is_in_request.set(true);
        self.inner.may_receive_body.set(has_body);
        BusyGuard {
            stream: self.clone(),
        }
    }

    /// Marks the body of a request as read to its end.
    pub fn mark_body_read(&self) {
        self.inner.may_receive_body.set(false);
    }

    /// Returns whether no request is in progress: everything that was read has been answered, and
    /// the whole response was written.
    ///
    /// A request may be answered before its body has been read. The bytes that arrive next belong
    /// to that body, and only hyper knows how many. If they were taken for the next request, part
    /// of a caller's body would run as a request.
    pub fn is_between_requests(&self) -> bool {
        let is_in_progress = self.inner.is_busy.get() || self.inner.may_receive_body.get();
        !is_in_progress && !self.inner.is_write_blocked.get()
    }

    /// Returns whether only part of a request's head has been read.
    pub fn is_reading_head(&self) -> bool {
        self.inner.is_busy.get() && !self.inner.is_in_request.get()
    }

    /// Returns whether bytes that were put back have not been read again.
    pub fn has_put_back_bytes(&self) -> bool {
        !self.inner.put_back_bytes.borrow().is_empty()
    }

    /// Puts back bytes that were read last and not used. They are read again first, before those that were put back
    /// earlier and have not been read again.
    pub fn put_back(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut put_back_bytes = self.inner.put_back_bytes.borrow_mut();
        let unread = [bytes, &put_back_bytes[..]].concat();
        *put_back_bytes = Bytes::from(unread);
    }

    /// Reads the bytes that have arrived, without waiting; `None` if there are none, or the
    /// connection is broken or closed.
    pub fn read_now(&self, buffer: &mut [u8]) -> Option<usize> {
        let mut context = Context::from_waker(Waker::noop());
        let mut buffer = ReadBuf::new(buffer);
        let mut stream = self.inner.stream.borrow_mut();
        // Unlike `try_read`, this records that nothing more has arrived, which saves the next
        // reader a system call.
        match Pin::new(&mut *stream).poll_read(&mut context, &mut buffer) {
            Poll::Ready(Ok(())) if !buffer.filled().is_empty() => Some(buffer.filled().len()),
            _ => None,
        }
    }

    /// Writes a short response without waiting. Returns whether all of it was written.
    pub fn write_now(&self, bytes: &[u8]) -> bool {
        let written = self.inner.stream.borrow().try_write(bytes);
        written.is_ok_and(|written| written == bytes.len())
    }

    /// Waits until the caller sends something or closes the connection.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn readable(&self) -> io::Result<()> {
        poll_fn(|context| self.inner.stream.borrow_mut().poll_read_ready(context)).await
    }

    /// Sets the longest time for which the caller may read nothing of a response.
    pub fn set_write_limit(&self, limit: Duration) {
        self.inner.stream.borrow_mut().set_write_limit(limit);
    }

    /// Checks the caller if it is time to. Ready once the caller has stopped answering.
    pub fn poll_silence(&self, context: &mut Context<'_>) -> Poll<io::Error> {
        self.inner.stream.borrow_mut().poll_silence(context)
    }

    /// Returns whether the caller has closed the connection.
    ///
    /// hyper learns of this from the event loop, which is late on an overloaded host. Connections
    /// are then accepted after their callers gave up, and their requests would go to endpoints that
    /// work for nobody. This method asks the operating system, with one call.
    pub fn has_closed(&self) -> bool {
        let stream = self.inner.stream.borrow();
        let mut next = [MaybeUninit::uninit()];
        match stream.socket().peek(&mut next) {
            Ok(peeked) => peeked == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let mut put_back_bytes = self.inner.put_back_bytes.borrow_mut();
        if put_back_bytes.is_empty() {
            let mut stream = self.inner.stream.borrow_mut();
            ready!(Pin::new(&mut *stream).poll_read(context, buffer))?;
        } else {
            let length = put_back_bytes.len().min(buffer.remaining());
            buffer.put_slice(&put_back_bytes.split_to(length));
        }
        if buffer.filled().len() > filled_before {
            self.inner.is_busy.set(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl CallerStream {
    /// Records whether a write is pending.
    fn record_write<T>(&self, written: Poll<T>) -> Poll<T> {
        self.inner.is_write_blocked.set(written.is_pending());
        written
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.inner.stream.borrow_mut()).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut stream = self.inner.stream.borrow_mut();
        let written = Pin::new(&mut *stream).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.inner.stream.borrow_mut()).poll_flush(context)
    }

    /// Does nothing. The connection is closed right afterwards, which tells the caller the same
    /// with one system call less.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
