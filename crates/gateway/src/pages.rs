//! The pages for the balancer and for operators.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::core::Core;
use crate::meters;
use crate::meters::Moment;
use crate::resident_memory::resident_bytes;
use crate::wire::Wire;

const METRICS_PATH: &str = "/metrics";

/// Answers the balancer for as long as the process runs.
pub async fn serve_ready<W: Wire, C: Clock>(core: Rc<Core<W, C>>, listener: TcpListener) {
    loop {
        let stream = core.accept(&listener).await;
        let core = core.clone();
        let service = service_fn(move |request| {
            let page = ready_page(&core, &request);
            async move { Ok::<_, Infallible>(page) }
        });
        spawn_local(async move {
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The balancer asks again in a second; there is nothing to do about one lost question.
            drop(serving.await);
        });
    }
}

/// Serves the metrics page for as long as the process runs.
pub async fn serve_metrics<W: Wire, C: Clock>(
    core: Rc<Core<W, C>>,
    recorder: PrometheusHandle,
    listener: TcpListener,
) {
    loop {
        let stream = core.accept(&listener).await;
        let (core, recorder) = (core.clone(), recorder.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let page = match request.uri().path() {
                METRICS_PATH => {
                    set_gauges(&core);
                    Response::new(Full::from(recorder.render()))
                }
                _ => not_found(),
            };
            async move { Ok::<_, Infallible>(page) }
        });
        spawn_local(async move {
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Whoever reads metrics asks again.
            drop(serving.await);
        });
    }
}

fn set_gauges<W: Wire, C: Clock>(core: &Core<W, C>) {
    let now = core.now();
    let (moment, counts) = core.with_dispatcher(|dispatcher| {
        let moment = Moment {
            config_version: core.routes.borrow().version().unwrap_or(0),
            endpoints: dispatcher.endpoints().len(),
            queued: dispatcher.queued(),
            unfinished: dispatcher.unfinished(),
            hosts: dispatcher.hosts(now),
            connections_opened: core.pool.borrow().opened(),
            connections_idle: core.pool.borrow().idle(),
            callers: core.callers.get(),
            resident_bytes: resident_bytes(std::process::id()),
            log_lines_dropped: core.log.dropped(),
        };
        (moment, dispatcher.counts().clone())
    });
    meters::set_gauges(moment, &counts);
}

fn not_found() -> Response<Full<Bytes>> {
    let mut page = Response::new(Full::default());
    *page.status_mut() = StatusCode::NOT_FOUND;
    page
}

fn ready_page<W: Wire, C: Clock>(
    core: &Core<W, C>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let status = match request.uri().path() {
        path if path != core.wire.ready_path() => StatusCode::NOT_FOUND,
        _ if core.is_ready() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut page = Response::new(Full::default());
    *page.status_mut() = status;
    page
}
