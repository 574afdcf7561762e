//! A caller's connection, which can be asked whether its caller has left.

use std::cell::RefCell;
use std::io;
use std::io::Read;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Most bytes that are read of a connection before it is served: the head of a usual request.
const READ_AHEAD_BYTES: usize = 4 * 1024;

/// A connection that the server reads and writes while others look at it.
#[derive(Debug, Clone)]
pub struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    /// What was read before the connection was served.
    read_ahead: Rc<RefCell<BytesMut>>,
}

impl CallerStream {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Rc::new(RefCell::new(stream)),
            read_ahead: Rc::default(),
        }
    }

    /// Tells whether the caller of a connection that has just been accepted closed it meanwhile.
    ///
    /// On a host with too much to do connections wait longer than their callers. To serve each of
    /// them, only to find that nobody waits, takes the time of those whose callers do, and then these
    /// leave as well. A close can be seen only behind the request, which is read for it and kept.
    pub fn left_before_accepted(&self) -> bool {
        let mut bytes = BytesMut::zeroed(READ_AHEAD_BYTES);
        let waiting = (&*SockRef::from(&*self.stream.borrow())).read(&mut bytes);
        match waiting {
            Ok(0) => true,
            Ok(length) => {
                bytes.truncate(length);
                *self.read_ahead.borrow_mut() = bytes;
                self.has_left()
            }
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Tells whether the caller has closed the connection.
    ///
    /// The server learns of this from the event loop, which is behind on a host that has too much to
    /// do: connections are accepted after their callers gave up, and their requests would go to
    /// endpoints that work for nobody. This asks the system, with one call.
    pub fn has_left(&self) -> bool {
        let stream = self.stream.borrow();
        let mut next = [MaybeUninit::uninit()];
        match SockRef::from(&*stream).peek(&mut next) {
            Ok(waiting) => waiting == 0,
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
        let mut read_ahead = self.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let length = read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&read_ahead.split_to(length));
            return Poll::Ready(Ok(()));
        }
        drop(read_ahead);
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
