//! Serves small pages to the balancer, to operators and to other hosts.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::peer_socket::Peer;
use crate::peer_socket::PeerSocket;
use crate::wire::WireFormat;

/// Time after which a connection without a request is closed. The balancer asks each second.
///
/// The network may drop a connection without notice, and the client then opens another. Each stale
/// connection holds memory: at one a second they would fill a small host's memory within hours.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(6);

/// Longest time for which a client may read nothing of a page.
const PAGE_WRITE_LIMIT: Duration = Duration::from_secs(6);

/// A response with a page.
pub type Page = Response<Full<Bytes>>;

/// Answers each request with the result of `page`, for as long as the process runs.
pub async fn serve_pages<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    listener: TcpListener,
    page: impl Fn(&Request<Incoming>) -> Page + Clone + 'static,
) {
    loop {
        let stream = gateway.accept(&listener).await;
        let page = page.clone();
        let service = service_fn(move |request| {
            let page = page(&request);
            async move { Ok::<_, Infallible>(page) }
        });
        spawn_local(async move {
            let mut socket = PeerSocket::new(stream, Peer::Client);
            socket.set_write_limit(PAGE_WRITE_LIMIT);
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(REQUEST_HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(socket), service);
            // A client that got no response asks again.
            drop(serving.await);
        });
    }
}
