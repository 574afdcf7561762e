//! The outgoing link of a router: replacement of a silent connection, and long messages.

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

/// Much longer than a silent connection is kept, and shorter than the silence timeout of its other end.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(8);
const CHANNEL_LEN: usize = 16;

type Socket = WebSocketStream<TcpStream>;

async fn accept(listener: &TcpListener) -> Socket {
    let (stream, _) = listener.accept().await.expect("a link connects");
    accept_async(stream).await.expect("a link shakes hands")
}

async fn receive(socket: &mut Socket) -> Vec<u8> {
    let message = socket.next().await.expect("the link is open");
    message.expect("the link works").into_data().to_vec()
}

// A device between two routers loses its state of their open connection: written bytes are lost without an error.
// Reports to a pool's home are lost too, so the home grants nothing and callers wait, although the home and the
// network work. Unanswered pings must reveal this, and messages must arrive on a new connection.
#[test]
fn a_silent_connection_is_replaced() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port is there");
        let (core, _inputs) = sync_channel(CHANNEL_LEN);
        let (outbox, messages) = mpsc::channel(CHANNEL_LEN);
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
        receive(&mut first).await;
        assert_eq!(receive(&mut first).await, b"before");
        // From here on, the first connection stays open but is not read, so no pong is sent.
        outbox
            .send(Bytes::from_static(b"lost"))
            .await
            .expect("room");
        let reconnected = timeout(RECONNECT_TIMEOUT, async {
            let sender = outbox.clone();
            let reports = tokio::spawn(async move {
                while sender.send(Bytes::from_static(b"after")).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            });
            let mut second = accept(&listener).await;
            receive(&mut second).await;
            let message = receive(&mut second).await;
            reports.abort();
            message
        });
        let message = reconnected.await.expect("a new connection is made in time");
        assert_eq!(message, b"after");
        drop(first);
        running.abort();
    });
}

// A full configuration is longer than a frame, so the link splits it. The other end must receive it as one
// message, as it would refuse each part of it, again at every attempt.
#[test]
fn a_long_message_arrives_whole() {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port is there");
        let (core, _inputs) = sync_channel(CHANNEL_LEN);
        let (outbox, messages) = mpsc::channel(CHANNEL_LEN);
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
        receive(&mut socket).await;
        assert!(
            receive(&mut socket).await == long,
            "the received message differs"
        );
        assert_eq!(receive(&mut socket).await, b"after");
        running.abort();
    });
}
