//! Operator pages: health, readiness, metrics and status.

use std::io;
use std::net::SocketAddr;
use std::thread;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::status::StatusBoard;

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

/// Serves operator pages in a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn serve_operator_pages(
    address: SocketAddr,
    metrics: PrometheusHandle,
    status: StatusBoard,
) -> io::Result<()> {
    let server = Server::http(address).map_err(io::Error::other)?;
    thread::Builder::new()
        .name("operator".into())
        .spawn(move || {
            for request in server.incoming_requests() {
                let page = page(request.url(), &metrics, &status);
                respond(request, page);
            }
        })?;
    Ok(())
}

struct Page {
    status: u16,
    content_type: &'static str,
    body: String,
}

fn page(url: &str, metrics: &PrometheusHandle, status: &StatusBoard) -> Page {
    match url {
        "/healthz" => text(200, "ok\n"),
        "/readyz" if status.read().ready => text(200, "ready\n"),
        "/readyz" => text(503, "not ready\n"),
        "/metrics" => text(200, &metrics.render()),
        "/operator/status" => Page {
            status: 200,
            content_type: "application/json",
            body: serde_json::to_string(&status.read()).expect("a status is plain data"),
        },
        _ => text(404, "no such page\n"),
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
