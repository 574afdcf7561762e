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
use crate::core::Core;
use crate::meters;
use crate::meters::Moment;
use crate::page_server::Page;
use crate::page_server::serve_pages;
use crate::resident_memory::resident_bytes;
use crate::wire::Wire;

const METRICS_PATH: &str = "/metrics";
/// Time between two foldings of samples, which take memory with each request.
const FOLD_INTERVAL: Duration = Duration::from_secs(1);

/// Answers the balancer for as long as the process runs.
pub async fn serve_ready<W: Wire, C: Clock>(core: Rc<Core<W, C>>, listener: TcpListener) {
    let asked = core.clone();
    serve_pages(core, listener, move |request| ready_page(&asked, request)).await;
}

/// Serves the metrics page for as long as the process runs.
pub async fn serve_metrics<W: Wire, C: Clock>(
    core: Rc<Core<W, C>>,
    recorder: PrometheusHandle,
    listener: TcpListener,
) {
    let asked = core.clone();
    let page = move |request: &Request<Incoming>| match request.uri().path() {
        METRICS_PATH => {
            set_gauges(&asked);
            Response::new(Full::from(recorder.render()))
        }
        _ => not_found(),
    };
    serve_pages(core, listener, page).await;
}

/// Folds the samples of histograms into their buckets, for as long as the process runs.
///
/// The recorder keeps every sample until somebody reads the page. Where nobody does the process grew by
/// 16 bytes a sample, two samples a request, until it was killed at its memory limit.
pub async fn fold_samples_forever(recorder: PrometheusHandle) {
    loop {
        tokio::time::sleep(FOLD_INTERVAL).await;
        recorder.run_upkeep();
    }
}

fn set_gauges<W: Wire, C: Clock>(core: &Core<W, C>) {
    let now = core.now();
    let (moment, counts) = core.with_dispatcher(|dispatcher| {
        let moment = Moment {
            config_version: core.routes.borrow().version().unwrap_or(0),
            endpoints: dispatcher.endpoints().len(),
            endpoints_cold: dispatcher.cold_endpoints(now),
            data_centres_evacuated: dispatcher.evacuated_data_centres(),
            queued: dispatcher.queued_requests(),
            unfinished: dispatcher.unfinished_requests(),
            hosts: dispatcher.hosts(now),
            connections_opened: core.pool.borrow().opened(),
            connections_idle: core.pool.borrow().idle(),
            callers: core.callers.get(),
            held_bytes: core.memory.held_bytes(),
            resident_bytes: resident_bytes(std::process::id()),
            log_lines_dropped: core.log.dropped(),
        };
        (moment, dispatcher.counts().clone())
    });
    meters::set_gauges(moment, &counts);
}

fn not_found() -> Page {
    let mut page = Response::new(Full::default());
    *page.status_mut() = StatusCode::NOT_FOUND;
    page
}

fn ready_page<W: Wire, C: Clock>(core: &Core<W, C>, request: &Request<Incoming>) -> Page {
    let status = match request.uri().path() {
        path if path != core.wire.ready_path() => StatusCode::NOT_FOUND,
        _ if core.is_ready() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut page = Response::new(Full::default());
    *page.status_mut() = status;
    page
}
