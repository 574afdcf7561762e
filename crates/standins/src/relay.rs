//! `relay`: a relay that stands for a network link and can delay, cut, block or silence it.
//!
//! It uses threads and not the runtime of the other stand-ins, because link delays of half a
//! millisecond are below the resolution of that runtime's timers.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;

use crate::configs::relay::RelayConfig;
use crate::refusal::Refusal;
use crate::relay_datagrams;
use crate::relay_state::RelayOrder;
use crate::relay_state::RelayState;
use crate::reply;
use crate::reply::Reply;
use crate::server;
use crate::server::Call;
use crate::server::RunningServer;
use crate::server::Service;
use crate::shared_port;

/// Pieces on their way in one direction of a connection; more is left to the sender's TCP.
const PIECES_ON_THE_WAY: usize = 256;
/// Largest piece that is passed on at once.
const PIECE_BYTES: usize = 16 * 1024;
/// Pause after a failed accept, so that a lack of descriptors does not turn into a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A relay that runs; it stops when this value is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    control: RunningServer,
    state: Arc<RelayState>,
}

/// Bytes and the time when they leave the relay.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

/// Starts the stand-in. The settings must name the target.
///
/// ```
/// use sedgeridge_standins::configs::relay::RelayConfig;
///
/// let config = RelayConfig { to: Some(([127, 0, 0, 1], 9).into()), ..RelayConfig::default() };
/// let relay = sedgeridge_standins::relay::spawn(&config)?;
/// assert_ne!(relay.address(), relay.control().address());
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn spawn(config: &RelayConfig) -> io::Result<Relay> {
    let Some(to) = config.to else {
        return Err(io::Error::other("the relay has no target"));
    };
    let (listener, datagrams) = shared_port::bind(config.listen)?;
    let address = listener.local_addr()?;
    let state = Arc::new(RelayState::new(config.delay_ms));
    relay_datagrams::spawn(datagrams, to, &state)?;
    let control = spawn_control(config.control, Arc::clone(&state))?;
    let accepting = Arc::clone(&state);
    thread::Builder::new()
        .name("relay-accept".into())
        .spawn(move || accept(&listener, to, &accepting))?;
    Ok(Relay {
        address,
        control,
        state,
    })
}

impl Relay {
    /// The address whose connections are relayed.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The server that takes orders.
    pub fn control(&self) -> &RunningServer {
        &self.control
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stop();
        // Wakes the thread that accepts; when it fails, that thread ends with the process.
        let _ = TcpStream::connect(self.address);
    }
}

#[derive(Debug)]
struct Control {
    state: Arc<RelayState>,
}

fn spawn_control(listen: SocketAddr, state: Arc<RelayState>) -> io::Result<RunningServer> {
    server::spawn(listen, move |_| Ok(Control { state }))
}

impl Service for Control {
    async fn call(&self, _call: &Call) -> Reply {
        Refusal::NotFound.into()
    }

    fn control(&self, body: &[u8]) -> Option<Reply> {
        let answer = match serde_json::from_slice::<RelayOrder>(body) {
            Ok(order) => {
                self.state.obey(&order);
                reply::text(StatusCode::OK, "done")
            }
            Err(error) => Refusal::Malformed(error).into(),
        };
        Some(answer)
    }
}

fn accept(listener: &TcpListener, to: SocketAddr, state: &Arc<RelayState>) {
    loop {
        let accepted = listener.accept();
        if state.is_stopping() {
            return;
        }
        match accepted {
            Ok((near, _)) if !state.refuses() => {
                let state = Arc::clone(state);
                thread::spawn(move || relay(near, to, &state));
            }
            // Dropping the stream closes it.
            Ok(_) => {}
            Err(_) => thread::sleep(ACCEPT_PAUSE),
        }
    }
}

fn relay(near: TcpStream, to: SocketAddr, state: &Arc<RelayState>) {
    let Ok(far) = TcpStream::connect(to) else {
        return;
    };
    if let Err(error) = start_pumps(near, far, state) {
        eprintln!("relay: {error}");
    }
}

fn start_pumps(near: TcpStream, far: TcpStream, state: &Arc<RelayState>) -> io::Result<()> {
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let id = state.register(near.try_clone()?, far.try_clone()?);
    let forth = start_pump(near.try_clone()?, far.try_clone()?, id, state)?;
    let back = start_pump(far, near, id, state)?;
    for writer in [forth, back] {
        if writer.join().is_err() {
            eprintln!("relay: a connection ended by a panic");
        }
    }
    state.forget(id);
    Ok(())
}

fn start_pump(
    from: TcpStream,
    to: TcpStream,
    id: u64,
    state: &Arc<RelayState>,
) -> io::Result<thread::JoinHandle<()>> {
    let (sender, receiver) = sync_channel(PIECES_ON_THE_WAY);
    let reading = Arc::clone(state);
    let writing = Arc::clone(state);
    thread::Builder::new().spawn(move || read(from, &sender, &reading))?;
    thread::Builder::new().spawn(move || write(&receiver, to, id, &writing))
}

fn read(mut from: TcpStream, pieces: &SyncSender<Chunk>, state: &RelayState) {
    let mut buffer = [0; PIECE_BYTES];
    loop {
        // An error ends the connection like an orderly close does.
        let size = from.read(&mut buffer).unwrap_or(0);
        if size == 0 {
            return;
        }
        let piece = Chunk {
            due: Instant::now() + state.delay(),
            bytes: buffer[..size].to_vec(),
        };
        if pieces.send(piece).is_err() {
            return;
        }
    }
}

fn write(pieces: &Receiver<Chunk>, mut to: TcpStream, id: u64, state: &RelayState) {
    while let Ok(piece) = pieces.recv() {
        thread::sleep(piece.due.saturating_duration_since(Instant::now()));
        state.wait_while_blocked();
        if state.is_silent(id) {
            continue;
        }
        if to.write_all(&piece.bytes).is_err() {
            break;
        }
    }
    state.wait_while_blocked();
    if state.is_silent(id) {
        state.wait_for_stop();
    }
    // Fails only when the connection is gone already.
    let _ = to.shutdown(Shutdown::Both);
}
