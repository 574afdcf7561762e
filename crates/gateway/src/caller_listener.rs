//! Accepts callers' connections and serves the requests on them.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::call;
use crate::clock::Clock;
use crate::connection;
use crate::core::Core;
use crate::wire::Wire;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections for as long as the process runs.
pub async fn accept_forever<W: Wire, C: Clock>(core: Rc<Core<W, C>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(core.clone(), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve<W: Wire, C: Clock>(core: Rc<Core<W, C>>, stream: TcpStream) {
    if connection::watch(&stream).is_err() {
        return;
    }
    let idle_timeout = core.idle_timeout.get();
    let service = service_fn(|request| {
        let core = core.clone();
        async move {
            let mut answer = call::answer(core.clone(), request).await;
            if core.is_stopping.get() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    // A caller that leaves, or an answer that was cut, ends the connection with an error that says
    // nothing new; the request's own end has been counted.
    drop(served);
}
