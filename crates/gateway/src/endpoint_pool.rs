//! Pool of connections to endpoints, kept open between requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;

use crate::connection;
use crate::peer_socket::ReadAllowance;

/// Timeout for connecting. The slowest handshake of an endpoint takes a few milliseconds. If one
/// takes longer than this, the endpoint's queue of new connections is full, and the operating
/// system's own retry takes seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which an idle connection is reused. Endpoints that name no idle timeout get
/// this one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Limit on a connection's buffers, and on the head of a response. hyper's own limit is many times
/// higher, and each stream with a slow caller would use it.
pub(crate) const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// Bytes that may arrive up to the end of a response's head. The head itself fits in [`MAX_BUFFERED_BYTES`]; any number of
/// interim responses may come before it.
const MAX_HEAD_BYTES: usize = 4 * MAX_BUFFERED_BYTES;

/// A connection on which one request at a time can be sent.
///
/// It closes when it is dropped, also if the endpoint has not read all of a request.
#[derive(Debug)]
pub struct EndpointConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    allowance: ReadAllowance,
}

impl EndpointConnection {
    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// The connection is lost, or what arrives is no response. The error has the request if nothing of it was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.set(Some(MAX_HEAD_BYTES));
        let sent = self.sender.try_send_request(request).await;
        self.allowance.set(None);
        sent
    }

    /// Waits until the next request can be sent. Returns false if the connection is closed.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for EndpointConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by address.
///
/// The pool's user limits the connections to each address, and `max_idle` limits those to all
/// addresses. A fleet has hundreds of endpoints, and each idle connection holds its buffers:
/// without the second limit they alone would fill the memory of a small host.
#[derive(Debug)]
pub struct EndpointPool {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    max_idle: usize,
    opened: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    usable_until: Duration,
}

impl EndpointPool {
    /// Creates a pool that keeps at most `max_idle` connections.
    pub fn new(max_idle: usize) -> Self {
        Self {
            idle: HashMap::new(),
            max_idle,
            opened: 0,
        }
    }

    /// Takes the most recently used connection to an address, if one is open.
    pub fn take(&mut self, now: Duration, address: SocketAddr) -> Option<EndpointConnection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(last) = idle.pop() {
            if now < last.usable_until && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, unless there are `max_to_address` already.
    /// `keep_alive_timeout` is the endpoint's own idle timeout.
    pub fn put(
        &mut self,
        now: Duration,
        address: SocketAddr,
        connection: EndpointConnection,
        keep_alive_timeout: Option<Duration>,
        max_to_address: usize,
    ) {
        // Half of the endpoint's timeout. With more, the endpoint could close the connection while
        // a request is on its way.
        let usable_for = keep_alive_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout / 2);
        if connection.is_closed() {
            return;
        }
        if self.idle_count() >= self.max_idle {
            self.close_oldest();
        }
        let idle = self.idle.entry(address).or_default();
        if idle.len() >= max_to_address {
            return;
        }
        let usable_until = now + usable_for.min(DEFAULT_IDLE_TIMEOUT);
        idle.push(IdleConnection {
            connection,
            usable_until,
        });
    }

    /// Closes the connection that would expire next.
    fn close_oldest(&mut self) {
        let of_each = self.idle.iter();
        let oldest =
            of_each.filter_map(|(address, idle)| Some((idle.first()?.usable_until, *address)));
        if let Some((_, address)) = oldest.min()
            && let Some(idle) = self.idle.get_mut(&address)
        {
            idle.remove(0);
        }
    }

    /// Closes expired connections.
    pub fn close_expired(&mut self, now: Duration) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.usable_until && !idle.connection.is_closed());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Returns the number of connections that wait for their next request.
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Counts an opened connection.
    pub fn record_opened(&mut self) {
        self.opened += 1;
    }

    /// Returns the number of connections that were opened.
    pub fn opened_count(&self) -> u64 {
        self.opened
    }
}

/// Opens a connection to an endpoint.
///
/// # Errors
///
/// The endpoint cannot be reached, or does not speak the protocol.
pub async fn open_connection(address: SocketAddr) -> std::io::Result<EndpointConnection> {
    let mut socket = connection::open(address, CONNECT_TIMEOUT).await?;
    let allowance = ReadAllowance::default();
    socket.set_read_allowance(allowance.clone());
    let (sender, driver) = Builder::new()
        .max_buf_size(MAX_BUFFERED_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(std::io::Error::other)?;
    // The driver's error is also the sender's.
    let driver = spawn_local(driver).abort_handle();
    Ok(EndpointConnection {
        sender,
        driver,
        allowance,
    })
}
