//! A caller's connection, which can be asked whether its caller has left.

use std::cell::RefCell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A connection that the server reads and writes while others look at it.
#[derive(Debug, Clone)]
pub struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
}

impl CallerStream {
    /// Takes over a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Rc::new(RefCell::new(stream)),
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
