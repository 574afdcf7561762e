//! Operator pages: health, readiness, metrics and status.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::thread;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use sedgeridge_protocol::coordinator::DRAIN_PATH;
use sedgeridge_protocol::coordinator::DrainRequest;
use sedgeridge_state::ids::EndpointId;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::core::CoreInput;
use crate::status::HostStatus;
use crate::status::StatusBoard;

/// Where requests to drain an endpoint go.
pub type DrainSender = SyncSender<CoreInput>;

/// Installs the metrics recorder of this process.
///
/// # Errors
///
/// Fails when another recorder is installed.
pub fn start_metrics() -> io::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(io::Error::other)
}

/// Largest body that is read; requests to drain are short.
const MAX_BODY_BYTES: u64 = 4_096;

/// Serves operator pages in a thread of its own. Requests to give an endpoint
/// no new work go to `drain`; without it the process takes none.
///
/// Returns the address that was bound, where port 0 asked for a free one.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve_operator_pages<S: HostStatus + Send + Sync + 'static>(
    address: SocketAddr,
    metrics: PrometheusHandle,
    status: StatusBoard<S>,
    drain: Option<DrainSender>,
) -> io::Result<SocketAddr> {
    let server = Server::http(address).map_err(io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(address);
    thread::Builder::new()
        .name("operator".into())
        .spawn(move || {
            for mut request in server.incoming_requests() {
                let page = match request.method() {
                    Method::Post => take_drain(&mut request, drain.as_ref(), &status),
                    _ => page(request.url(), &metrics, &status),
                };
                respond(request, page);
            }
        })?;
    Ok(bound)
}

struct Page {
    status: u16,
    content_type: &'static str,
    body: String,
}

fn take_drain<S: HostStatus>(
    request: &mut Request,
    drain: Option<&DrainSender>,
    status: &StatusBoard<S>,
) -> Page {
    let Some(drain) = drain.filter(|_| request.url() == DRAIN_PATH) else {
        return text(404, "no such page\n");
    };
    let body = request.as_reader().take(MAX_BODY_BYTES);
    let Ok(DrainRequest { endpoint }) = serde_json::from_reader(body) else {
        return text(400, "expected {\"endpoint\": NAME}\n");
    };
    if !status.read().knows_endpoint(&endpoint) {
        return text(404, "no such endpoint\n");
    }
    let endpoint = EndpointId::from(endpoint.as_str());
    match drain.try_send(CoreInput::DrainEndpoint { endpoint }) {
        Ok(()) => text(202, "draining\n"),
        Err(_) => text(503, "too busy\n"),
    }
}

fn page<S: HostStatus>(url: &str, metrics: &PrometheusHandle, status: &StatusBoard<S>) -> Page {
    match url {
        "/healthz" => text(200, "ok\n"),
        "/readyz" if status.read().is_ready() => text(200, "ready\n"),
        "/readyz" => text(503, "not ready\n"),
        "/metrics" => text(200, &metrics.render()),
        path => match status.read().page(path) {
            Some(body) => Page {
                status: 200,
                content_type: "application/json",
                body,
            },
            None => text(404, "no such page\n"),
        },
    }
}

fn text(status: u16, body: &str) -> Page {
    Page {
        status,
        content_type: "text/plain; charset=utf-8",
        body: body.to_owned(),
    }
}

fn respond(request: Request, page: Page) {
    let header = Header::from_bytes("Content-Type", page.content_type);
    let header = header.expect("content types are constants");
    let response = Response::from_string(page.body)
        .with_status_code(page.status)
        .with_header(header);
    let _ = request.respond(response);
}
