//! What a relay has been ordered to do with its connections.

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

/// An order to a relay, as its `POST /control` takes it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "link", rename_all = "snake_case", deny_unknown_fields)]
pub enum RelayOrder {
    /// Delay each byte from now on, one way.
    Delay {
        /// The delay.
        delay_ms: f64,
    },
    /// Close all connections and new ones at once, and lose datagrams, until healed.
    Cut,
    /// Hold all bytes back, and lose datagrams, until healed.
    Block,
    /// Swallow all bytes of the connections that are open now; new ones work.
    Silence,
    /// End a cut or a block. Silent connections stay silent.
    Heal,
}

/// Orders in force and open connections.
#[derive(Debug)]
pub struct RelayState {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    delay: Duration,
    cut: bool,
    blocked: bool,
    stopping: bool,
    next_id: u64,
    connections: HashMap<u64, Connection>,
}

#[derive(Debug)]
struct Connection {
    near: TcpStream,
    far: TcpStream,
    silent: bool,
}

impl RelayState {
    /// Starts with a delay and no other order.
    pub fn new(delay_ms: f64) -> Self {
        Self {
            inner: Mutex::new(Inner {
                delay: delay(delay_ms),
                ..Inner::default()
            }),
            changed: Condvar::new(),
        }
    }

    /// Obeys an order.
    pub fn obey(&self, order: &RelayOrder) {
        let mut inner = self.lock();
        match order {
            RelayOrder::Delay { delay_ms } => inner.delay = delay(*delay_ms),
            RelayOrder::Cut => {
                inner.cut = true;
                inner.close_all();
            }
            RelayOrder::Block => inner.blocked = true,
            RelayOrder::Silence => {
                for connection in inner.connections.values_mut() {
                    connection.silent = true;
                }
            }
            RelayOrder::Heal => {
                inner.cut = false;
                inner.blocked = false;
            }
        }
        self.changed.notify_all();
    }

    /// Ends all connections and waits.
    pub fn stop(&self) {
        let mut inner = self.lock();
        inner.stopping = true;
        inner.close_all();
        self.changed.notify_all();
    }

    /// Whether the relay stops.
    pub fn is_stopping(&self) -> bool {
        self.lock().stopping
    }

    /// Whether new connections are closed at once.
    pub fn refuses(&self) -> bool {
        self.lock().cut
    }

    /// Whether datagrams that arrive now are lost.
    pub fn loses_datagrams(&self) -> bool {
        let inner = self.lock();
        inner.cut || inner.blocked
    }

    /// The delay of bytes that arrive now.
    pub fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// Takes note of a connection and names it.
    pub fn register(&self, near: TcpStream, far: TcpStream) -> u64 {
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        let connection = Connection {
            near,
            far,
            silent: false,
        };
        inner.connections.insert(id, connection);
        id
    }

    /// Forgets a connection that has ended.
    pub fn forget(&self, id: u64) {
        self.lock().connections.remove(&id);
    }

    /// Whether the connection was told to go silent.
    pub fn is_silent(&self, id: u64) -> bool {
        let inner = self.lock();
        inner.connections.get(&id).is_some_and(|open| open.silent)
    }

    /// Waits until no block is in force.
    pub fn wait_while_blocked(&self) {
        self.wait_while(|inner| inner.blocked && !inner.stopping);
    }

    /// Waits until the relay stops.
    pub fn wait_for_stop(&self) {
        self.wait_while(|inner| !inner.stopping);
    }

    fn wait_while(&self, holds: impl Fn(&Inner) -> bool) {
        let mut inner = self.lock();
        while holds(&inner) {
            inner = self
                .changed
                .wait(inner)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every change is a single step, so that a panic elsewhere leaves nothing half done.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn close_all(&self) {
        for connection in self.connections.values() {
            // Fails only when the connection is gone already.
            let _ = connection.near.shutdown(Shutdown::Both);
            let _ = connection.far.shutdown(Shutdown::Both);
        }
    }
}

fn delay(delay_ms: f64) -> Duration {
    Duration::try_from_secs_f64(delay_ms / 1e3).unwrap_or(Duration::ZERO)
}
