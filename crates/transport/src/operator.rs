//! HTTP server of the operator pages: health, readiness, metrics and status.
//!
//! One thread serves them on a current-thread runtime. Each connection carries one request and is closed
//! after [`CONNECTION_TIMEOUT`], so that clients that stay silent, send without end or do not read take up a
//! bounded number of sockets and buffers, and do not block other clients.

mod pages;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::byte_budget::ByteBudget;
use crate::core::CoreInput;
use crate::event_log::LogEvent;
use crate::event_log::log_warn;
use crate::operator::pages::Pages;
use crate::operator::pages::too_busy;
use crate::status::HostStatus;
use crate::status::SharedStatus;

/// Channel to the core thread for requests to drain an endpoint.
pub type DrainSender = SyncSender<CoreInput>;

/// Largest body that is read; drain requests are short.
const MAX_BODY_BYTES: usize = 4_096;
/// Most open connections; further ones wait in the system's accept queue. The limit is enough for monitoring, the
/// health checks of a load balancer and a few operators at a time.
const MAX_CONNECTIONS: usize = 64;
/// Longest life of a connection; serving a page of the largest fleet takes less than a second.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest size of a connection's read buffer, and so the longest request head.
const MAX_BUFFER_BYTES: usize = 8 << 10;
/// Most bytes of rendered pages that wait for their clients. The largest page at the design size, the accounts
/// page with all accounts active, has 714 KB.
const MAX_PENDING_PAGE_BYTES: u64 = 4 << 20;
/// Time between two aggregations of histogram samples, which are kept one by one until then.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed accept, for instance when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Installs the metrics recorder of this process.
///
/// # Errors
///
/// Fails if another recorder is installed.
pub fn start_metrics() -> io::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(io::Error::other)
}

/// Serves operator pages in a separate thread. Requests to drain an endpoint are sent to `drain`; without it,
/// they are refused.
///
/// Returns the bound address, which contains the assigned port if port 0 was requested.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve_operator_pages<S: HostStatus + Send + Sync + 'static>(
    address: SocketAddr,
    metrics: PrometheusHandle,
    status: SharedStatus<S>,
    drain: Option<DrainSender>,
) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let upkeep = metrics.clone();
    let pages = Pages {
        metrics,
        status,
        drain,
    };
    thread::Builder::new()
        .name("operator".into())
        .spawn(move || {
            runtime.block_on(async {
                tokio::spawn(aggregate_samples(upkeep));
                accept_all(listener, Arc::new(pages)).await
            })
        })?;
    Ok(bound)
}

/// Aggregates histogram samples regularly, even if the metrics are not read. Otherwise each sample would be kept
/// until the next read, and memory use would grow until the process is killed.
async fn aggregate_samples(metrics: PrometheusHandle) {
    let mut upkeep = interval(METRICS_UPKEEP_INTERVAL);
    upkeep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        upkeep.tick().await;
        metrics.run_upkeep();
    }
}

async fn accept_all<S: HostStatus + Send + Sync + 'static>(
    listener: std::net::TcpListener,
    pages: Arc<Pages<S>>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let page_memory = ByteBudget::new(MAX_PENDING_PAGE_BYTES);
    loop {
        let permit = Arc::clone(&permits).acquire_owned().await;
        let permit = permit.expect("the semaphore is never closed");
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, Arc::clone(&pages), page_memory.clone());
                tokio::spawn(async move {
                    // A connection that takes longer is closed; the client needs no notice.
                    let _ = timeout(CONNECTION_TIMEOUT, connection).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log_warn(
                    LogEvent::AcceptFailed,
                    format_args!("operator error={error:?}"),
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<S: HostStatus + Send + Sync + 'static>(
    stream: TcpStream,
    pages: Arc<Pages<S>>,
    page_memory: ByteBudget,
) {
    let service = service_fn(|request| {
        let pages = Arc::clone(&pages);
        let page_memory = page_memory.clone();
        async move { Ok::<_, Infallible>(answer(request, &pages, &page_memory).await) }
    });
    // An error means that the client disconnected or sent invalid HTTP; no handling is needed.
    let _ = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer<S: HostStatus>(
    request: Request<Incoming>,
    pages: &Pages<S>,
    page_memory: &ByteBudget,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.ok().map(|body| body.to_bytes());
    let page = pages.answer(&parts.method, parts.uri.path(), body.as_ref());
    match page_memory.reserve(page.body.len() as u64) {
        Some(reservation) => response(
            page.status,
            page.content_type,
            reservation.bind(page.body.into_bytes()),
        ),
        None => {
            let page = too_busy();
            response(page.status, page.content_type, Bytes::from(page.body))
        }
    }
}

fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Full::new(body))
        .expect("status and content type are constants")
}
