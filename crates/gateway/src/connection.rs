//! Opens and accepts connections that detect a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::peer_socket::Peer;
use crate::peer_socket::PeerSocket;

/// Idle time before a connection is probed, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Connects within `limit`.
///
/// A connection may go silent for good without a reset. Its user would wait until its own deadline.
/// Probes end an idle connection within three seconds, and [`PeerSocket`] one with bytes on the way.
///
/// # Errors
///
/// The address cannot be reached in time.
pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<PeerSocket> {
    let connecting = timeout(limit, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&SockRef::from(&stream))?;
    Ok(PeerSocket::new(stream, Peer::Server))
}

/// Listens on an address. Accepted connections have the same options as those that [`open`] opens.
///
/// The options are set on the listener, whose connections inherit them. Set on each connection,
/// they would be most of the system calls of a refused request.
///
/// # Errors
///
/// The address cannot be bound, or the system refuses an option.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    set_socket_options(&SockRef::from(&listener))?;
    Ok(listener)
}

fn set_socket_options(socket: &SockRef<'_>) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
