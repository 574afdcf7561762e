//! Accepts callers' connections and serves the requests on them.

use std::convert::Infallible;
use std::pin::pin;
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
use crate::caller_stream::CallerStream;
use crate::clock::Clock;
use crate::core::Core;
use crate::wire::Wire;

/// Pause after each new connection while the host cannot keep up. Without it a flood of connections,
/// each read and refused, takes the processor from the requests that were admitted. Callers that
/// are not accepted come to another host, since this one is not ready meanwhile.
const OVERLOADED_ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts connections for as long as the process runs.
pub async fn accept_forever<W: Wire, C: Clock>(core: Rc<Core<W, C>>, listener: TcpListener) {
    loop {
        let stream = core.accept(&listener).await;
        spawn_local(serve_counted(core.clone(), stream));
        if core.lag.borrow().is_overloaded() {
            tokio::time::sleep(OVERLOADED_ACCEPT_PAUSE).await;
        }
    }
}

/// Serves one connection, and counts it while it is open.
///
/// A caller that was answered may keep its connection for the idle timeout. At some hundred new
/// connections a second these alone use up the process's descriptors, and callers find no
/// connection; above [`GatewaySettings::max_callers`] each answer therefore ends its connection.
///
/// [`GatewaySettings::max_callers`]: crate::settings::GatewaySettings::max_callers
async fn serve_counted<W: Wire, C: Clock>(core: Rc<Core<W, C>>, stream: TcpStream) {
    core.callers.set(core.callers.get() + 1);
    serve(core.clone(), stream).await;
    core.callers.set(core.callers.get() - 1);
}

/// Serves one connection. When the process is told to stop, the connection is closed as soon as no
/// request is in progress on it: a caller that goes on with it would be cut off at the end of the
/// grace time, and the balancer can only lead new connections elsewhere.
async fn serve<W: Wire, C: Clock>(core: Rc<Core<W, C>>, stream: TcpStream) {
    let mut stopping = core.stopping.subscribe();
    let is_kept_open = stopping.borrow_and_update().is_none();
    let stream = CallerStream::new(stream);
    let caller = stream.clone();
    let service = service_fn(|request| {
        let (core, caller) = (core.clone(), caller.clone());
        async move {
            let mut answer = call::answer(core.clone(), caller, request).await;
            if core.closes_connections() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut serving = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(is_kept_open)
            .header_read_timeout(core.idle_timeout.get())
            .serve_connection(TokioIo::new(stream), service)
    );
    // A caller that leaves, or an answer that was cut, ends the connection with an error that says
    // nothing new: the request's own end has been counted.
    tokio::select! {
        _ = serving.as_mut() => return,
        _ = stopping.changed() => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}
