//! HTTP client for one address that keeps its connections open between calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use thiserror::Error;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::endpoint_pool::EndpointPool;
use crate::endpoint_pool::open_connection;

/// Limit on idle connections.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Longest body of a response. The store's are a megabyte at most. Three at once, each read and
/// decoded, must fit beside callers' requests on the smallest host.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call got no response. The server may have processed it.
#[derive(Debug, Error)]
pub enum CallError {
    /// No response arrived in time.
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    /// The address cannot be reached.
    #[error("cannot connect: {0}")]
    NotConnected(#[from] std::io::Error),
    /// The connection was lost, or the response was malformed or too long.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
}

/// A whole response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// HTTP client for one address.
#[derive(Debug)]
pub struct HttpClient<C> {
    address: SocketAddr,
    clock: C,
    pool: RefCell<EndpointPool>,
}

impl<C: Clock> HttpClient<C> {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, clock: C) -> Self {
        Self {
            address,
            clock,
            pool: RefCell::new(EndpointPool::new(MAX_IDLE_CONNECTIONS)),
        }
    }

    /// Sends a request and waits at most `limit` for the response.
    ///
    /// # Errors
    ///
    /// No response arrived. The server may have processed the request nevertheless.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let answered = timeout(limit, self.send(request)).await;
        answered.unwrap_or(Err(CallError::TimedOut(limit)))
    }

    async fn send(&self, mut request: Request<Full<Bytes>>) -> Result<Reply, CallError> {
        let host = HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        let now = self.clock.now();
        let pooled = self.pool.borrow_mut().take(now, self.address);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => open_connection(self.address).await?,
        };
        let sent = connection.send(request).await;
        let response =
            sent.map_err(|error| CallError::ConnectionLost(error.error().to_string()))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|error| CallError::ConnectionLost(error.to_string()))?;
        if connection.wait_until_ready().await {
            let now = self.clock.now();
            let mut pool = self.pool.borrow_mut();
            pool.put(now, self.address, connection, None, MAX_IDLE_CONNECTIONS);
        }
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
