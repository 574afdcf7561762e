//! A caller's connection, which can be asked whether its caller has left.

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

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A connection that the server reads and writes while others look at it.
///
/// It follows whether a request is under way, so that what is needed for one is given up between two.
#[derive(Debug, Clone)]
pub struct CallerStream {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    stream: RefCell<TcpStream>,
    /// Bytes that were read before and belong to the next request.
    put_back_bytes: RefCell<Bytes>,
    /// Whether a request's head is read in part, or its answer is not complete.
    is_busy: Cell<bool>,
    /// Whether a request's head has been read and its answer is not complete.
    is_in_request: Cell<bool>,
    /// Whether bytes of a request's body may still come.
    may_receive_body: Cell<bool>,
    /// Whether the caller takes no more bytes at the moment.
    is_write_blocked: Cell<bool>,
}

/// A request on a connection, until its answer has been handed over whole.
#[derive(Debug)]
pub struct BusyGuard {
    stream: CallerStream,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.stream.inner.is_busy.set(false);
        self.stream.inner.is_in_request.set(false);
    }
}

impl CallerStream {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        let inner = Inner {
            stream: RefCell::new(stream),
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

    /// Notes that a request's head has been read, until the guard is dropped.
    pub fn begin_request(&self, has_body: bool) -> BusyGuard {
        self.inner.is_busy.set(true);
        self.inner.is_in_request.set(true);
        self.inner.may_receive_body.set(has_body);
        BusyGuard {
            stream: self.clone(),
        }
    }

    /// Notes that a request's body has been read to its end.
    pub fn mark_body_read(&self) {
        self.inner.may_receive_body.set(false);
    }

    /// Tells whether no request is under way: all that was read has been answered, and all of the
    /// answer was written.
    ///
    /// A request may be answered before its body has been read. Whatever comes then belongs to that body,
    /// and only the server knows how much of it: taken for the next request, a part of one caller's
    /// text would run as a request.
    pub fn is_between_requests(&self) -> bool {
        let is_under_way = self.inner.is_busy.get() || self.inner.may_receive_body.get();
        !is_under_way && !self.inner.is_write_blocked.get()
    }

    /// Tells whether a request's head has been read in part.
    pub fn is_reading_head(&self) -> bool {
        self.inner.is_busy.get() && !self.inner.is_in_request.get()
    }

    /// Tells whether bytes were put back that nobody has read again.
    pub fn has_put_back_bytes(&self) -> bool {
        !self.inner.put_back_bytes.borrow().is_empty()
    }

    /// Takes back bytes that were read and not used; they are read again.
    pub fn put_back(&self, bytes: &[u8]) {
        *self.inner.put_back_bytes.borrow_mut() = Bytes::copy_from_slice(bytes);
    }

    /// Reads what has come, without waiting; `None` if nothing has, or the connection is broken or closed.
    pub fn read_now(&self, buffer: &mut [u8]) -> Option<usize> {
        let mut context = Context::from_waker(Waker::noop());
        let mut buffer = ReadBuf::new(buffer);
        let mut stream = self.inner.stream.borrow_mut();
        // Unlike a plain try this notes that nothing more is there, which spares the next reader a call.
        match Pin::new(&mut *stream).poll_read(&mut context, &mut buffer) {
            Poll::Ready(Ok(())) if !buffer.filled().is_empty() => Some(buffer.filled().len()),
            _ => None,
        }
    }

    /// Writes a short answer, without waiting; tells whether all of it went out.
    pub fn write_now(&self, bytes: &[u8]) -> bool {
        let written = self.inner.stream.borrow().try_write(bytes);
        written.is_ok_and(|written| written == bytes.len())
    }

    /// Waits until the caller sends something or closes.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub async fn readable(&self) -> io::Result<()> {
        poll_fn(|context| self.inner.stream.borrow().poll_read_ready(context)).await
    }

    /// Tells whether the caller has closed the connection.
    ///
    /// The server learns of this from the event loop, which is behind on a host that has too much to
    /// do: connections are accepted after their callers gave up, and their requests would go to
    /// endpoints that work for nobody. This asks the system, with one call.
    pub fn is_closed_by_caller(&self) -> bool {
        let stream = self.inner.stream.borrow();
        let mut next = [MaybeUninit::uninit()];
        match SockRef::from(&*stream).peek(&mut next) {
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
    /// Notes whether a write found no room.
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

    /// The connection is closed right afterwards, which tells the caller the same with one system call less.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
