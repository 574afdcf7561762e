//! The datagram side of a relay: datagrams to the same port go the same way as connections.
//!
//! Datagrams travel one way. A receiver that answers sends to the address that it knows of its
//! peer, which is another relay's.

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

/// Datagrams on their way; more are dropped, as a full link drops them.
const DATAGRAMS_ON_THE_WAY: usize = 1024;
/// Largest datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;
/// How often a waiting reader looks whether the relay stops.
const STOP_POLL: Duration = Duration::from_millis(200);

/// A datagram and the time when it leaves the relay.
struct Datagram {
    due: Instant,
    bytes: Vec<u8>,
}

/// Starts the threads that pass datagrams on.
pub fn spawn(socket: UdpSocket, to: SocketAddr, state: &Arc<RelayState>) -> io::Result<()> {
    socket.set_read_timeout(Some(STOP_POLL))?;
    let sending = socket.try_clone()?;
    let (sender, receiver) = sync_channel(DATAGRAMS_ON_THE_WAY);
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
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while !state.is_stopping() {
        let Ok((size, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if state.loses_datagrams() {
            continue;
        }
        let datagram = Datagram {
            due: Instant::now() + state.delay(),
            bytes: buffer[..size].to_vec(),
        };
        // A full ring loses the datagram.
        let _ = datagrams.try_send(datagram);
    }
}

fn write(datagrams: &Receiver<Datagram>, socket: &UdpSocket, to: SocketAddr) {
    while let Ok(datagram) = datagrams.recv() {
        thread::sleep(datagram.due.saturating_duration_since(Instant::now()));
        // A target that is down loses the datagram.
        let _ = socket.send_to(&datagram.bytes, to);
    }
}
