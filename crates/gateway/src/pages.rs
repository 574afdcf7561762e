//! The pages for the balancer and for operators.

use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::meters;
use crate::meters::GaugeValues;
use crate::page_server::Page;
use crate::page_server::serve_pages;
use crate::resident_memory::resident_bytes;
use crate::wire::WireFormat;

const METRICS_PATH: &str = "/metrics";
/// Time between two folds of samples, which take memory with each request.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Serves the readiness page to the balancer, for as long as the process runs.
pub async fn serve_ready<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    listener: TcpListener,
) {
    let shared = gateway.clone();
    serve_pages(gateway, listener, move |request| {
        ready_page(&shared, request)
    })
    .await;
}

/// Serves the metrics page for as long as the process runs.
pub async fn serve_metrics<W: WireFormat, C: Clock>(
    gateway: Rc<Gateway<W, C>>,
    recorder: PrometheusHandle,
    listener: TcpListener,
) {
    let shared = gateway.clone();
    let page = move |request: &Request<Incoming>| match request.uri().path() {
        METRICS_PATH => {
            set_gauges(&shared);
            Response::new(Full::from(recorder.render()))
        }
        _ => not_found(),
    };
    serve_pages(gateway, listener, page).await;
}

/// Folds the samples of histograms into their buckets, for as long as the process runs.
///
/// The recorder keeps every sample until the metrics page is read. Where nobody read it, the
/// process grew by 16 bytes a sample, two samples a request, until it was killed at its memory
/// limit.
pub async fn fold_samples_forever(recorder: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        recorder.run_upkeep();
    }
}

fn set_gauges<W: WireFormat, C: Clock>(gateway: &Gateway<W, C>) {
    let now = gateway.now();
    let (gauges, counts) = gateway.with_dispatcher(|dispatcher| {
        let gauges = GaugeValues {
            config_version: gateway.routes.borrow().version().unwrap_or(0),
            endpoints: dispatcher.endpoints().len(),
            endpoints_cold: dispatcher.cold_endpoints(now),
            data_centres_evacuated: dispatcher.evacuated_data_centres(),
            admitted_part: dispatcher.least_admitted_part(),
            queued: dispatcher.queued_requests(),
            unfinished: dispatcher.unfinished_requests(),
            known_streams: gateway.origins.known_streams(),
            suspects: dispatcher.suspect_counts(),
            hosts: dispatcher.hosts(now),
            connections_opened: gateway.pool.borrow().opened_count(),
            connections_idle: gateway.pool.borrow().idle_count(),
            callers: gateway.caller_connections.get(),
            held_bytes: gateway.memory.held_bytes(),
            resident_bytes: resident_bytes(std::process::id()),
            log_lines_dropped: gateway.log.dropped_lines(),
        };
        (gauges, dispatcher.counts().clone())
    });
    meters::set_gauges(gauges, &counts);
}

fn not_found() -> Page {
    let mut page = Response::new(Full::default());
    *page.status_mut() = StatusCode::NOT_FOUND;
    page
}

fn ready_page<W: WireFormat, C: Clock>(
    gateway: &Gateway<W, C>,
    request: &Request<Incoming>,
) -> Page {
    let status = match request.uri().path() {
        path if path != gateway.wire.ready_path() => StatusCode::NOT_FOUND,
        _ if gateway.is_ready() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut page = Response::new(Full::default());
    *page.status_mut() = status;
    page
}
