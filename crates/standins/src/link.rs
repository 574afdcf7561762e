//! Control over an open connection: fault orders can silence or close it.

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

/// Handle that silences or closes an open connection.
#[derive(Debug, Default)]
pub struct Link {
    is_silent: Cell<bool>,
    close_requested: Notify,
}

impl Link {
    /// Stops all traffic permanently; the connection stays open.
    pub fn silence(&self) {
        self.is_silent.set(true);
    }

    /// Closes the connection without sending further bytes.
    pub fn close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits for [`Link::close`].
    pub async fn closed(&self) {
        self.close_requested.notified().await;
    }
}

/// The byte stream of a connection that a [`Link`] controls.
#[derive(Debug)]
pub struct LinkStream {
    tcp: TcpStream,
    link: Rc<Link>,
}

impl LinkStream {
    /// Wraps a connection so that `link` controls it.
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
        if self.link.is_silent.get() {
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(context, buffer);
        if self.link.is_silent.get() {
            buffer.set_filled(filled_before);
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
        if self.link.is_silent.get() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.link.is_silent.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}
