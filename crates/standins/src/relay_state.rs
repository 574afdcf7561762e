//! Orders in force and open connections of a relay.

use std::collections::HashMap;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// An order to a relay, the body of `POST /control`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "link", rename_all = "snake_case", deny_unknown_fields)]
pub enum RelayOrder {
    /// Delay each byte that arrives from now on, in each direction.
    Delay {
        /// The one-way delay.
        delay_ms: f64,
    },
    /// Close all open connections, close new ones at once, and drop datagrams, until healed.
    Cut,
    /// Hold back all bytes and drop datagrams, until healed.
    Block,
    /// Discard all bytes of the open connections without closing them; new ones work.
    Silence,
    /// End a cut or a block. Silent connections stay silent.
    Heal,
}

/// State that the threads of a relay share.
#[derive(Debug)]
pub struct RelayState {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    delay: Duration,
    is_cut: bool,
    is_blocked: bool,
    is_stopping: bool,
    next_connection_id: u64,
    connections: HashMap<u64, Connection>,
}

#[derive(Debug)]
struct Connection {
    client: TcpStream,
    upstream: TcpStream,
    is_silent: bool,
}

impl RelayState {
    /// Creates the state with a delay and no other order in force.
    pub fn new(delay_ms: f64) -> Self {
        Self {
            inner: Mutex::new(Inner {
                delay: delay_from_ms(delay_ms),
                ..Inner::default()
            }),
            changed: Condvar::new(),
        }
    }

    /// Applies an order.
    pub fn apply(&self, order: &RelayOrder) {
        let mut inner = self.lock();
        match order {
            RelayOrder::Delay { delay_ms } => inner.delay = delay_from_ms(*delay_ms),
            RelayOrder::Cut => {
                inner.is_cut = true;
                inner.close_all();
            }
            RelayOrder::Block => inner.is_blocked = true,
            RelayOrder::Silence => {
                for connection in inner.connections.values_mut() {
                    connection.is_silent = true;
                }
            }
            RelayOrder::Heal => {
                inner.is_cut = false;
                inner.is_blocked = false;
            }
        }
        self.changed.notify_all();
    }

    /// Stops the relay: closes all connections and wakes all waiting threads.
    pub fn stop(&self) {
        let mut inner = self.lock();
        inner.is_stopping = true;
        inner.close_all();
        self.changed.notify_all();
    }

    /// Whether the relay is stopping.
    pub fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Whether a cut is in force, in which new connections are closed at once.
    pub fn is_cut(&self) -> bool {
        self.lock().is_cut
    }

    /// Whether datagrams that arrive now are dropped.
    pub fn drops_datagrams(&self) -> bool {
        let inner = self.lock();
        inner.is_cut || inner.is_blocked
    }

    /// The delay of bytes that arrive now.
    pub fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// Registers a connection and returns its id.
    pub fn register(&self, client: TcpStream, upstream: TcpStream) -> u64 {
        let mut inner = self.lock();
        let id = inner.next_connection_id;
        inner.next_connection_id += 1;
        let connection = Connection {
            client,
            upstream,
            is_silent: false,
        };
        inner.connections.insert(id, connection);
        id
    }

    /// Removes a connection that has ended.
    pub fn forget(&self, id: u64) {
        self.lock().connections.remove(&id);
    }

    /// Whether an order silenced the connection.
    pub fn is_silent(&self, id: u64) -> bool {
        let inner = self.lock();
        inner
            .connections
            .get(&id)
            .is_some_and(|open| open.is_silent)
    }

    /// Waits until no block is in force.
    pub fn wait_while_blocked(&self) {
        self.wait_while(|inner| inner.is_blocked && !inner.is_stopping);
    }

    /// Waits until the relay stops.
    pub fn wait_for_stop(&self) {
        self.wait_while(|inner| !inner.is_stopping);
    }

    fn wait_while(&self, condition: impl Fn(&Inner) -> bool) {
        let mut inner = self.lock();
        while condition(&inner) {
            inner = self
                .changed
                .wait(inner)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every change is a single step, so a panic while the lock is held leaves a consistent
        // state.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn close_all(&self) {
        for connection in self.connections.values() {
            // Fails only if the connection is already closed.
            let _ = connection.client.shutdown(Shutdown::Both);
            let _ = connection.upstream.shutdown(Shutdown::Both);
        }
    }
}

fn delay_from_ms(delay_ms: f64) -> Duration {
    Duration::try_from_secs_f64(delay_ms / 1e3).unwrap_or(Duration::ZERO)
}
