//! The peers thread: sends and receives messages of other routers.
//!
//! Reports and grants use one WebSocket connection for each direction between two routers. Membership
//! messages are small and may be lost, so each is sent as a datagram. One thread with a current-thread
//! runtime handles all connections.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

use bytes::Bytes;
use metrics::counter;
use sedgeridge_protocol::membership;
use sedgeridge_protocol::peer::MAX_PEER_MESSAGE_BYTES;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::byte_budget::ByteBudget;
use crate::core::CoreInput;
use crate::event_log::LogEvent;
use crate::event_log::log_warn;
use crate::peer_inbound;
use crate::peer_link;

/// Messages that may wait for the peers thread.
const PEER_CHANNEL_LEN: usize = 4_096;
/// Messages that may wait for one link.
const LINK_CHANNEL_LEN: usize = 256;
/// Most bytes of messages that wait for all links together: the largest message, or thousands of usual
/// ones. With channels bounded by the number of messages alone, each router that stops reading would cost
/// the memory of hundreds of full reports until its link is closed.
const MAX_PENDING_LINK_BYTES: u64 = MAX_PEER_MESSAGE_BYTES as u64;
/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Bytes that a UDP datagram takes on the wire in addition to its payload: the IPv4 and UDP headers.
pub const DATAGRAM_OVERHEAD_BYTES: u64 = 28;
/// Bytes that a WebSocket message, if sent alone, takes on the wire in addition to its payload: the IPv4 and TCP
/// headers with timestamps, the frame header and the segment that acknowledges it.
pub const STREAM_OVERHEAD_BYTES: u64 = 52 + 8 + 52;

/// A message for another router.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: HostId,
    /// The address at which the receiver listens.
    pub address: SocketAddr,
    /// The encoded message.
    pub payload: PeerPayload,
}

/// An encoded message and its transport.
#[derive(Debug)]
pub enum PeerPayload {
    /// Sent in order on the link to the receiver.
    Stream(Vec<u8>),
    /// Sent as a datagram, which may be lost.
    Datagram(Vec<u8>),
}

/// Channel to the peers thread.
pub type PeerSender = mpsc::Sender<OutgoingMessage>;

/// Creates the channel to the peers thread.
pub fn peer_channel() -> (PeerSender, mpsc::Receiver<OutgoingMessage>) {
    mpsc::channel(PEER_CHANNEL_LEN)
}

/// Sockets on which this router receives messages of other routers.
#[derive(Debug)]
pub struct PeerSockets {
    listener: std::net::TcpListener,
    datagrams: std::net::UdpSocket,
}

impl PeerSockets {
    /// Binds both sockets to the same address and port.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound, so that the process ends before it has started anything.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let datagrams = std::net::UdpSocket::bind(address)?;
        datagrams.set_nonblocking(true)?;
        Ok(Self {
            listener,
            datagrams,
        })
    }
}

/// State of the peers thread, and its connection to the rest of the router.
#[derive(Debug)]
pub struct Peers {
    /// This router run.
    pub member: Member,
    /// Channel to the core thread.
    pub core: SyncSender<CoreInput>,
}

impl Peers {
    /// Runs until the channel to this thread is closed.
    ///
    /// # Errors
    ///
    /// Fails if the runtime cannot be set up.
    pub fn run(
        self,
        sockets: PeerSockets,
        outbox: mpsc::Receiver<OutgoingMessage>,
    ) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(self.serve(sockets, outbox))
    }

    async fn serve(
        self,
        sockets: PeerSockets,
        mut outbox: mpsc::Receiver<OutgoingMessage>,
    ) -> io::Result<()> {
        let listener = TcpListener::from_std(sockets.listener)?;
        let socket = Arc::new(UdpSocket::from_std(sockets.datagrams)?);
        tokio::spawn(peer_inbound::accept_links(listener, self.core.clone()));
        tokio::spawn(receive_datagrams(Arc::clone(&socket), self.core.clone()));
        let mut links: BTreeMap<HostId, OpenLink> = BTreeMap::new();
        let pending_bytes = ByteBudget::new(MAX_PENDING_LINK_BYTES);
        while let Some(outgoing) = outbox.recv().await {
            let OutgoingMessage {
                to,
                address,
                payload,
            } = outgoing;
            match payload {
                PeerPayload::Datagram(bytes) => send_datagram(&socket, address, &bytes).await,
                PeerPayload::Stream(bytes) => {
                    // A host with a new address gets a new link; dropping the old one closes it.
                    links.retain(|host, link| *host != to || link.address == address);
                    let link = links
                        .entry(to.clone())
                        .or_insert_with(|| self.open_link(to.clone(), address));
                    let reservation = pending_bytes.reserve(bytes.len() as u64);
                    let sent = reservation.is_some_and(|reservation| {
                        link.sender.try_send(reservation.bind(bytes)).is_ok()
                    });
                    if !sent {
                        // The receiver is unreachable or slow. The dropped message contains absolute
                        // state, which the core sends again when it is notified of the loss.
                        counter!("sedgeridge_peer_drops_total", "reason" => "link_full")
                            .increment(1);
                        let _ = self.core.send(CoreInput::PeerReset { host: to });
                    }
                }
            }
        }
        Ok(())
    }

    fn open_link(&self, host: HostId, address: SocketAddr) -> OpenLink {
        let (sender, outbox) = mpsc::channel(LINK_CHANNEL_LEN);
        let link = peer_link::PeerLink {
            member: self.member.clone(),
            host,
            address,
            core: self.core.clone(),
        };
        tokio::spawn(link.run(outbox));
        OpenLink { address, sender }
    }
}

/// The channel to a link's task, and the address that it connects to.
#[derive(Debug)]
struct OpenLink {
    address: SocketAddr,
    sender: mpsc::Sender<Bytes>,
}

/// Configuration of a connection that limits its memory use.
pub fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_PEER_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_PEER_MESSAGE_BYTES))
        .read_buffer_size(4 << 10)
        .write_buffer_size(0)
}

async fn send_datagram(socket: &UdpSocket, address: SocketAddr, bytes: &[u8]) {
    if socket.send_to(bytes, address).await.is_ok() {
        count_message("out", bytes.len() as u64, DATAGRAM_OVERHEAD_BYTES);
    }
}

async fn receive_datagrams(socket: Arc<UdpSocket>, core: SyncSender<CoreInput>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((len, _)) => {
                count_message("in", len as u64, DATAGRAM_OVERHEAD_BYTES);
                handle_datagram(&buffer[..len], &core);
            }
            Err(error) => log_warn(LogEvent::DatagramFailed, format_args!("error={error:?}")),
        }
    }
}

fn handle_datagram(bytes: &[u8], core: &SyncSender<CoreInput>) {
    let message = match membership::decode(bytes) {
        Ok(message) => CoreInput::Membership(Box::new(message)),
        Err(error) => {
            counter!("sedgeridge_peer_drops_total", "reason" => "malformed").increment(1);
            let fields = format_args!("datagram error={:?}", error.to_string());
            return log_warn(LogEvent::PeerMessageRefused, fields);
        }
    };
    if core.try_send(message).is_err() {
        counter!("sedgeridge_peer_drops_total", "reason" => "core_full").increment(1);
    }
}

/// Counts a message between routers: its payload, and an estimate of its bytes on the wire.
pub fn count_message(direction: &'static str, payload_bytes: u64, overhead_bytes: u64) {
    counter!("sedgeridge_peer_messages_total", "direction" => direction).increment(1);
    counter!("sedgeridge_peer_bytes_total", "direction" => direction).increment(payload_bytes);
    counter!("sedgeridge_peer_wire_bytes_total", "direction" => direction)
        .increment(payload_bytes + overhead_bytes);
}
