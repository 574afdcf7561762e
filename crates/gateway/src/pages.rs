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
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::core::Core;
use crate::wire::Wire;

/// Answers the balancer for as long as the process runs.
pub async fn serve_ready<W: Wire, C: Clock>(core: Rc<Core<W, C>>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
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
