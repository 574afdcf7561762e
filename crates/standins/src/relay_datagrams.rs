//! Relays datagrams that arrive on the port of a relay to the same target as connections.
//!
//! Datagrams are forwarded in one direction only. A receiver sends its answers to the address that
//! it knows for its peer, which belongs to another relay.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::relay_state::RelayState;

/// Maximum number of datagrams in flight; further ones are dropped, as a congested link does.
const MAX_DATAGRAMS_IN_FLIGHT: usize = 1024;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Interval at which a waiting reader checks whether the relay stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A datagram and the time at which the relay forwards it.
struct Datagram {
    due: Instant,
    bytes: Vec<u8>,
}

/// Starts the threads that forward datagrams.
pub fn spawn(socket: UdpSocket, to: SocketAddr, state: &Arc<RelayState>) -> io::Result<()> {
    socket.set_read_timeout(Some(STOP_POLL_INTERVAL))?;
    let sending = socket.try_clone()?;
    let (sender, receiver) = sync_channel(MAX_DATAGRAMS_IN_FLIGHT);
    let reading = Arc::clone(state);
    thread::Builder::new()
        .name("relay-datagrams".into())
        .spawn(move || read(&socket, &sender, &reading))?;
    thread::Builder::new()
        .name("relay-datagrams-out".into())
        .spawn(move || write(&receiver, &sending, to))?;
    Ok(())
}

fn read(socket: &UdpSocket, datagrams: &SyncSender<Datagram>, state: &RelayState) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !state.is_stopping() {
        let Ok((size, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if state.drops_datagrams() {
            continue;
        }
        let datagram = Datagram {
            due: Instant::now() + state.delay(),
            bytes: buffer[..size].to_vec(),
        };
        // A full queue drops the datagram.
        let _ = datagrams.try_send(datagram);
    }
}

fn write(datagrams: &Receiver<Datagram>, socket: &UdpSocket, to: SocketAddr) {
    while let Ok(datagram) = datagrams.recv() {
        thread::sleep(datagram.due.saturating_duration_since(Instant::now()));
        // The datagram is lost if the target is down.
        let _ = socket.send_to(&datagram.bytes, to);
    }
}
