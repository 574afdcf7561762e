//! Links between routers whose connection goes silent.

use std::net::Ipv4Addr;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_transport::peer_link::PeerLink;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async;

/// Far longer than a silent link is kept, and shorter than the idle time of its other end.
const PATIENCE: Duration = Duration::from_secs(8);
const RING_LEN: usize = 16;

type Socket = WebSocketStream<TcpStream>;

async fn accept(listener: &TcpListener) -> Socket {
    let (stream, _) = listener.accept().await.expect("a link connects");
    accept_async(stream).await.expect("a link shakes hands")
}

async fn heard(socket: &mut Socket) -> Vec<u8> {
    let message = socket.next().await.expect("the link is open");
    message.expect("the link works").into_data().to_vec()
}

// Callers at every router wait for the pools of one home, though the home and the network are well.
// Something between two routers loses track of their open connection: bytes written to it go
// nowhere and no error comes back. Reports to the home vanish in it, so the home grants nothing.
// Pings without an answer show it, and what is sent on a new connection arrives.
#[test]
fn a_silent_connection_is_replaced() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port is there");
        let (core, _inputs) = sync_channel(RING_LEN);
        let (outbox, messages) = mpsc::channel(RING_LEN);
        let link = PeerLink {
            member: Member {
                host: "router-1".into(),
                incarnation: Incarnation(1),
            },
            host: "router-2".into(),
            address: listener.local_addr().expect("a bound address"),
            core,
        };
        let running = tokio::spawn(link.run(messages));
        outbox
            .send(Bytes::from_static(b"before"))
            .await
            .expect("room");
        let mut first = accept(&listener).await;
        heard(&mut first).await;
        assert_eq!(heard(&mut first).await, b"before");
        // From here on nobody reads the first connection, so no pong is sent, and it stays open.
        outbox
            .send(Bytes::from_static(b"lost"))
            .await
            .expect("room");
        let again = timeout(PATIENCE, async {
            let sender = outbox.clone();
            let reports = tokio::spawn(async move {
                while sender.send(Bytes::from_static(b"after")).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            });
            let mut second = accept(&listener).await;
            heard(&mut second).await;
            let message = heard(&mut second).await;
            reports.abort();
            message
        });
        let message = again.await.expect("a new connection is made in time");
        assert_eq!(message, b"after");
        drop(first);
        running.abort();
    });
}

// A whole configuration is longer than a frame. The link cuts it, and the other end must get it as one
// message: half of it would be refused, again and again.
#[test]
fn a_long_message_arrives_whole() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port is there");
        let (core, _inputs) = sync_channel(RING_LEN);
        let (outbox, messages) = mpsc::channel(RING_LEN);
        let link = PeerLink {
            member: Member {
                host: "router-1".into(),
                incarnation: Incarnation(1),
            },
            host: "router-2".into(),
            address: listener.local_addr().expect("a bound address"),
            core,
        };
        let running = tokio::spawn(link.run(messages));
        let long: Bytes = (0..1_000_003_u32).map(|n| (n % 251) as u8).collect();
        outbox.send(long.clone()).await.expect("room");
        outbox
            .send(Bytes::from_static(b"after"))
            .await
            .expect("room");
        let mut socket = accept(&listener).await;
        heard(&mut socket).await;
        assert!(heard(&mut socket).await == long, "another message came");
        assert_eq!(heard(&mut socket).await, b"after");
        running.abort();
    });
}
