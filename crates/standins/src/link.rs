//! One open connection, which can be told to go silent or to close.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What may be done to an open connection from outside.
#[derive(Debug, Default)]
pub struct Link {
    silent: Cell<bool>,
    closing: Notify,
}

impl Link {
    /// Stops all traffic for good; the connection stays open.
    pub fn silence(&self) {
        self.silent.set(true);
    }

    /// Closes the connection without a further byte.
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Waits for [`Link::close`].
    pub async fn closed(&self) {
        self.closing.notified().await;
    }
}

/// The byte stream of a [`Link`].
#[derive(Debug)]
pub struct LinkStream {
    tcp: TcpStream,
    link: Rc<Link>,
}

impl LinkStream {
    /// Puts a connection under the control of a link.
    pub fn new(tcp: TcpStream, link: Rc<Link>) -> Self {
        Self { tcp, link }
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.link.silent.get() {
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(context, buffer);
        if self.link.silent.get() {
            buffer.set_filled(filled);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.link.silent.get() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.silent.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}
