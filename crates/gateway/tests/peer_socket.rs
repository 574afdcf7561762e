//! Connections whose peers reset them.

use std::net::TcpListener;
use std::time::Duration;

use sedgeridge_gateway::peer_socket::Peer;
use sedgeridge_gateway::peer_socket::PeerSocket;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time after which a reset on loopback has arrived.
const RESET_TIME: Duration = Duration::from_millis(100);

/// Guards against a reset that looks like the end of an answer, because a write was told of it first.
#[tokio::test]
async fn a_reset_that_a_write_was_told_of_is_no_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (peer, _) = listener.accept().expect("a connection");
    SockRef::from(&peer)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
    drop(peer);
    sleep(RESET_TIME).await;
    let mut socket = PeerSocket::new(stream, Peer::Server);
    assert!(socket.write_all(b"more").await.is_err());
    let mut rest = Vec::new();
    assert!(socket.read_to_end(&mut rest).await.is_err());
}
