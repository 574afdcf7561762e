//! Content of the operator pages.

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use sedgeridge_protocol::coordinator::DRAIN_PATH;
use sedgeridge_protocol::coordinator::DrainRequest;
use sedgeridge_state::ids::EndpointId;

use crate::core::CoreInput;
use crate::operator::DrainSender;
use crate::status::HostStatus;
use crate::status::SharedStatus;

/// One page, or the response to a drain request.
#[derive(Debug)]
pub(super) struct Page {
    pub(super) status: StatusCode,
    pub(super) content_type: &'static str,
    pub(super) body: String,
}

/// Sources of the pages' content.
#[derive(Debug)]
pub(super) struct Pages<S> {
    pub(super) metrics: PrometheusHandle,
    pub(super) status: SharedStatus<S>,
    pub(super) drain: Option<DrainSender>,
}

impl<S: HostStatus> Pages<S> {
    /// Answers a request; `body` is `None` if it could not be read or was too large.
    pub(super) fn answer(&self, method: &Method, path: &str, body: Option<&Bytes>) -> Page {
        match *method {
            Method::POST => self.request_drain(path, body),
            _ => self.page(path),
        }
    }

    fn request_drain(&self, path: &str, body: Option<&Bytes>) -> Page {
        let Some(drain) = self.drain.as_ref().filter(|_| path == DRAIN_PATH) else {
            return text(StatusCode::NOT_FOUND, "no such page\n");
        };
        let request = body.and_then(|body| serde_json::from_slice(body).ok());
        let Some(DrainRequest { endpoint }) = request else {
            return text(StatusCode::BAD_REQUEST, "expected {\"endpoint\": NAME}\n");
        };
        if !self.status.read().knows_endpoint(&endpoint) {
            return text(StatusCode::NOT_FOUND, "no such endpoint\n");
        }
        let endpoint = EndpointId::from(endpoint.as_str());
        match drain.try_send(CoreInput::DrainEndpoint { endpoint }) {
            Ok(()) => text(StatusCode::ACCEPTED, "draining\n"),
            Err(_) => too_busy(),
        }
    }

    fn page(&self, path: &str) -> Page {
        match path {
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/readyz" if self.status.read().is_ready() => text(StatusCode::OK, "ready\n"),
            "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => text(StatusCode::OK, &self.metrics.render()),
            path => match self.status.read().page(path) {
                Some(body) => Page {
                    status: StatusCode::OK,
                    content_type: "application/json",
                    body,
                },
                None => text(StatusCode::NOT_FOUND, "no such page\n"),
            },
        }
    }
}

/// Returns the response to a request for which there is no capacity.
pub(super) fn too_busy() -> Page {
    text(StatusCode::SERVICE_UNAVAILABLE, "too busy\n")
}

fn text(status: StatusCode, body: &str) -> Page {
    Page {
        status,
        content_type: "text/plain; charset=utf-8",
        body: body.to_owned(),
    }
}
