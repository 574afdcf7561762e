//! `relay`: a TCP and UDP relay that simulates a network link and can delay, cut, block or silence
//! it.
//!
//! It uses threads instead of the async runtime of the other stand-ins, because link delays of half
//! a millisecond are below the resolution of that runtime's timers.

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

/// Maximum number of chunks in flight in one direction of a connection. When it is reached, the
/// relay stops reading and TCP slows the sender down.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
/// Maximum size of a chunk.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A running relay, which stops when this value is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    control: RunningServer,
    state: Arc<RelayState>,
}

/// Bytes and the time at which the relay forwards them.
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

    /// The server that accepts orders.
    pub fn control(&self) -> &RunningServer {
        &self.control
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stop();
        // Wakes the accepting thread; if this fails, that thread ends with the process.
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
                self.state.apply(&order);
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
            Ok((client, _)) if !state.is_cut() => {
                let state = Arc::clone(state);
                thread::spawn(move || relay(client, to, &state));
            }
            // Dropping the stream closes it.
            Ok(_) => {}
            Err(_) => thread::sleep(ACCEPT_PAUSE),
        }
    }
}

fn relay(client: TcpStream, to: SocketAddr, state: &Arc<RelayState>) {
    let Ok(upstream) = TcpStream::connect(to) else {
        return;
    };
    if let Err(error) = start_pumps(client, upstream, state) {
        eprintln!("relay: {error}");
    }
}

fn start_pumps(client: TcpStream, upstream: TcpStream, state: &Arc<RelayState>) -> io::Result<()> {
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let id = state.register(client.try_clone()?, upstream.try_clone()?);
    let to_upstream = start_pump(client.try_clone()?, upstream.try_clone()?, id, state)?;
    let to_client = start_pump(upstream, client, id, state)?;
    for writer in [to_upstream, to_client] {
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
    let (sender, receiver) = sync_channel(MAX_CHUNKS_IN_FLIGHT);
    let reading = Arc::clone(state);
    let writing = Arc::clone(state);
    thread::Builder::new().spawn(move || read(from, &sender, &reading))?;
    thread::Builder::new().spawn(move || write(&receiver, to, id, &writing))
}

fn read(mut from: TcpStream, chunks: &SyncSender<Chunk>, state: &RelayState) {
    let mut buffer = [0; MAX_CHUNK_BYTES];
    loop {
        // A read error ends the connection like an orderly close.
        let size = from.read(&mut buffer).unwrap_or(0);
        if size == 0 {
            return;
        }
        let chunk = Chunk {
            due: Instant::now() + state.delay(),
            bytes: buffer[..size].to_vec(),
        };
        if chunks.send(chunk).is_err() {
            return;
        }
    }
}

fn write(chunks: &Receiver<Chunk>, mut to: TcpStream, id: u64, state: &RelayState) {
    while let Ok(chunk) = chunks.recv() {
        thread::sleep(chunk.due.saturating_duration_since(Instant::now()));
        state.wait_while_blocked();
        if state.is_silent(id) {
            continue;
        }
        if to.write_all(&chunk.bytes).is_err() {
            break;
        }
    }
    state.wait_while_blocked();
    if state.is_silent(id) {
        state.wait_for_stop();
    }
    // Fails only if the connection is already closed.
    let _ = to.shutdown(Shutdown::Both);
}
