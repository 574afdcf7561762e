//! A connection whose failures are counted by their cause.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::meters;

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

/// A connection over TCP.
#[derive(Debug)]
pub struct PeerSocket {
    stream: TcpStream,
    peer: Peer,
    has_failed: Cell<bool>,
}

impl PeerSocket {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, peer: Peer) -> Self {
        Self {
            stream,
            peer,
            has_failed: Cell::new(false),
        }
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
        let ready = self.stream.poll_read_ready(context);
        self.record(ready)
    }

    /// Counts the first failure.
    fn record<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(error)) = &result
            && !self.has_failed.replace(true)
        {
            meters::count_broken_connection(self.peer.as_str(), cause(error.kind()));
        }
        result
    }
}

fn cause(error: io::ErrorKind) -> &'static str {
    match error {
        io::ErrorKind::TimedOut => "timed_out",
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => "reset",
        _ => "other",
    }
}

impl AsyncRead for PeerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.record(read)
    }
}

impl AsyncWrite for PeerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(written)
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
