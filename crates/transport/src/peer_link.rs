//! The outgoing link to one other router, which replaces a connection that is broken or silent.

use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use metrics::counter;
use sedgeridge_protocol::peer::encode_hello;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::Data;
use tokio_tungstenite::tungstenite::protocol::frame::coding::OpCode;

use crate::core::CoreInput;
use crate::peers::STREAM_OVERHEAD_BYTES;
use crate::peers::count_message;
use crate::peers::websocket_config;

/// Longest time to set a connection up, or to send a message.
const LINK_IO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time between two checks of a link.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Checks between two pings on an idle link.
const CHECKS_PER_IDLE_PING: u32 = 5;
/// Unanswered pings after which a connection is replaced.
///
/// A connection can stop carrying data permanently while new ones work. The sender sees no error: writes
/// go to the socket's buffer, and requests of every pool whose home is the other router are stuck. Missing
/// pongs reveal this, and a new connection fixes it. Pings are counted instead of time, because a process
/// that was paused has received nothing for a long time even on a working connection.
const MAX_UNANSWERED_PINGS: u32 = 2;

/// Longest frame that is sent; longer messages are split. For the life of a connection, the library keeps
/// buffers of the size of the longest frame at both ends, and a router has hundreds of links. An idle link
/// that had carried 4 MiB in one frame used 8.4 MB of resident memory at both ends together; it uses 26 KB
/// with frames of 16 KiB, and 122 KB with 64 KiB.
const MAX_FRAME_BYTES: usize = 16 << 10;

type Socket = WebSocketStream<TcpStream>;

/// Sends messages to one router, on one connection at a time.
#[derive(Debug)]
pub struct PeerLink {
    /// This router run.
    pub member: Member,
    /// The other router.
    pub host: HostId,
    /// The address at which the other router listens.
    pub address: SocketAddr,
    /// Channel to the core thread.
    pub core: SyncSender<CoreInput>,
}

impl PeerLink {
    /// Runs until `outbox` is closed.
    pub async fn run(self, mut outbox: mpsc::Receiver<Bytes>) {
        let mut has_lost_messages = false;
        while let Some(first) = outbox.recv().await {
            let Some(mut socket) = self.connect().await else {
                counter!("sedgeridge_peer_drops_total", "reason" => "link_down").increment(1);
                has_lost_messages = true;
                tokio::time::sleep(RECONNECT_PAUSE).await;
                // Messages queued meanwhile are dropped too: they are older than the state that the core
                // sends after the reset.
                while outbox.try_recv().is_ok() {}
                self.report_reset();
                continue;
            };
            if std::mem::take(&mut has_lost_messages) {
                self.report_reset();
            }
            if self
                .run_connection(&mut socket, first, &mut outbox)
                .await
                .is_err()
            {
                counter!("sedgeridge_peer_drops_total", "reason" => "link_broken").increment(1);
                self.report_reset();
            }
        }
    }

    fn report_reset(&self) {
        let host = self.host.clone();
        let _ = self.core.send(CoreInput::PeerReset { host });
    }

    async fn connect(&self) -> Option<Socket> {
        timeout(LINK_IO_TIMEOUT, async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let url = format!("ws://{}/", self.address);
            let config = Some(websocket_config());
            let (mut socket, _) = client_async_with_config(url, stream, config).await.ok()?;
            let hello = encode_hello(&self.member);
            socket.send(Message::binary(hello)).await.ok()?;
            Some(socket)
        })
        .await
        .ok()
        .flatten()
    }

    async fn run_connection(
        &self,
        socket: &mut Socket,
        first: Bytes,
        outbox: &mut mpsc::Receiver<Bytes>,
    ) -> Result<(), LinkLost> {
        send(socket, first).await?;
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pings = PingState::default();
        loop {
            tokio::select! {
                message = outbox.recv() => match message {
                    Some(message) => {
                        send(socket, message).await?;
                        pings.in_use = true;
                    }
                    None => return Ok(()),
                },
                received = socket.next() => match received {
                    Some(Ok(_)) => pings.unanswered_pings = 0,
                    Some(Err(_)) | None => return Err(LinkLost),
                },
                _ = checks.tick() => if pings.is_ping_due()? {
                    socket.send(Message::Ping(Bytes::new())).await.map_err(|_| LinkLost)?;
                    count_message("out", 0, STREAM_OVERHEAD_BYTES);
                }
            }
        }
    }
}

/// Pings of one connection, and the activity that decides when one is due.
#[derive(Debug, Default)]
struct PingState {
    in_use: bool,
    idle_checks: u32,
    unanswered_pings: u32,
}

impl PingState {
    /// Returns at a check whether to send a ping.
    ///
    /// An idle link is pinged less often, as it loses no messages if its connection is silent.
    fn is_ping_due(&mut self) -> Result<bool, LinkLost> {
        if self.unanswered_pings >= MAX_UNANSWERED_PINGS {
            return Err(LinkLost);
        }
        self.idle_checks += 1;
        let in_use = std::mem::take(&mut self.in_use) || self.unanswered_pings > 0;
        let is_due = in_use || self.idle_checks >= CHECKS_PER_IDLE_PING;
        if is_due {
            self.idle_checks = 0;
            self.unanswered_pings += 1;
        }
        Ok(is_due)
    }
}

/// The connection of a link has ended or is silent.
#[derive(Debug)]
struct LinkLost;

async fn send(socket: &mut Socket, message: Bytes) -> Result<(), LinkLost> {
    count_message("out", message.len() as u64, STREAM_OVERHEAD_BYTES);
    let sent = timeout(LINK_IO_TIMEOUT, send_fragments(socket, message)).await;
    match sent {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(LinkLost),
    }
}

/// Sends a message in frames of at most [`MAX_FRAME_BYTES`].
async fn send_fragments(socket: &mut Socket, mut rest: Bytes) -> Result<(), tungstenite::Error> {
    if rest.len() <= MAX_FRAME_BYTES {
        return socket.send(Message::binary(rest)).await;
    }
    let mut kind = Data::Binary;
    while !rest.is_empty() {
        let part = rest.split_to(rest.len().min(MAX_FRAME_BYTES));
        let frame = Frame::message(part, OpCode::Data(kind), rest.is_empty());
        socket.send(Message::Frame(frame)).await?;
        kind = Data::Continue;
    }
    Ok(())
}
