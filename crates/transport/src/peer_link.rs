//! The outgoing link to one other router.

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
use crate::peers::count_bytes;
use crate::peers::websocket_config;

/// Longest time to set a link up.
const SETUP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a link failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Time between two looks at a link.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Looks between two pings on a link that carries nothing.
const IDLE_CHECKS: u32 = 5;
/// Pings without a sign of life after which the link is set up anew.
///
/// A connection can go silent for good while new ones work. Its sender sees no error: writes go
/// into the socket's buffer, and every pool whose home is at the other end stands still. The
/// missing pong shows it, and a new connection mends it. Pings are counted and not time, as a
/// process that was paused has heard nothing for long from a link that works.
const MAX_UNANSWERED_PINGS: u32 = 2;

/// Longest frame that is sent; longer messages are cut. The library keeps, at both ends and as long as
/// the connection, the room that the longest frame took, and a router has hundreds of links. An idle link
/// that had carried 4 MiB in one frame held 8.4 MB of resident memory, both ends together; it holds 26 KB
/// with frames of 16 KiB, 122 KB with 64 KiB.
const MAX_FRAME_BYTES: usize = 16 << 10;

type Socket = WebSocketStream<TcpStream>;

/// Sends messages to one router over one connection at a time.
#[derive(Debug)]
pub struct PeerLink {
    /// This router run.
    pub member: Member,
    /// The other router.
    pub host: HostId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Ring to the core.
    pub core: SyncSender<CoreInput>,
}

impl PeerLink {
    /// Runs until `outbox` is closed.
    pub async fn run(self, mut outbox: mpsc::Receiver<Bytes>) {
        let mut lost = false;
        while let Some(first) = outbox.recv().await {
            let Some(mut socket) = self.connect().await else {
                counter!("sedgeridge_peer_drops_total", "reason" => "link_down").increment(1);
                lost = true;
                tokio::time::sleep(RECONNECT_PAUSE).await;
                // The messages behind it are older than the state that follows the reset.
                while outbox.try_recv().is_ok() {}
                self.report_reset();
                continue;
            };
            if std::mem::take(&mut lost) {
                self.report_reset();
            }
            if self.pass_on(&mut socket, first, &mut outbox).await.is_err() {
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
        timeout(SETUP_TIMEOUT, async {
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

    async fn pass_on(
        &self,
        socket: &mut Socket,
        first: Bytes,
        outbox: &mut mpsc::Receiver<Bytes>,
    ) -> Result<(), LinkBroken> {
        send(socket, first).await?;
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pulse = Pulse::default();
        loop {
            tokio::select! {
                message = outbox.recv() => match message {
                    Some(message) => {
                        send(socket, message).await?;
                        pulse.in_use = true;
                    }
                    None => return Ok(()),
                },
                heard = socket.next() => match heard {
                    Some(Ok(_)) => pulse.unanswered_pings = 0,
                    Some(Err(_)) | None => return Err(LinkBroken),
                },
                _ = checks.tick() => if pulse.wants_ping()? {
                    socket.send(Message::Ping(Bytes::new())).await.map_err(|_| LinkBroken)?;
                    count_bytes("out", 0, STREAM_OVERHEAD_BYTES);
                }
            }
        }
    }
}

/// Signs of life of one connection.
#[derive(Debug, Default)]
struct Pulse {
    in_use: bool,
    idle_checks: u32,
    unanswered_pings: u32,
}

impl Pulse {
    /// Tells at each check whether to send a ping.
    ///
    /// A link that carries nothing loses nothing by its silence, so it is pinged less often.
    fn wants_ping(&mut self) -> Result<bool, LinkBroken> {
        if self.unanswered_pings >= MAX_UNANSWERED_PINGS {
            return Err(LinkBroken);
        }
        self.idle_checks += 1;
        let in_use = std::mem::take(&mut self.in_use) || self.unanswered_pings > 0;
        let wanted = in_use || self.idle_checks >= IDLE_CHECKS;
        if wanted {
            self.idle_checks = 0;
            self.unanswered_pings += 1;
        }
        Ok(wanted)
    }
}

/// The connection of a link ended or went silent.
#[derive(Debug)]
struct LinkBroken;

async fn send(socket: &mut Socket, message: Bytes) -> Result<(), LinkBroken> {
    count_bytes("out", message.len() as u64, STREAM_OVERHEAD_BYTES);
    let sent = timeout(SETUP_TIMEOUT, send_fragments(socket, message)).await;
    match sent {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(LinkBroken),
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
