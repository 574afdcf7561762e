//! Serves one caller's connection with hyper and closes it by the front's own limits.

use std::convert::Infallible;
use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use metrics::counter;
use sedgeridge_coordination::clock::Clock;
use sedgeridge_coordination::refusal::RefusalReason;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::connection_activity::Activity;
use crate::connection_activity::ActivityLimits;
use crate::connection_activity::CloseReason;
use crate::connection_activity::GuardedBody;
use crate::connection_activity::MonitoredStream;
use crate::front::Front;

/// Head of the answer to a request head that did not end in time. The HTTP library closes such a
/// connection without an answer, so this one is written to the socket directly.
const HEADER_TIMEOUT_HEAD: &str = "HTTP/1.1 408 Request Timeout\r\n\
    content-type: application/json\r\n\
    x-sedgeridge-outcome: not-run\r\n\
    x-sedgeridge-reason: header_timeout\r\n\
    connection: close\r\n";

/// Largest size of a connection's read buffer, and so the longest request head; 8 KiB is a usual limit and the
/// least that the HTTP library accepts. The library's default is 400 KiB. A buffer keeps the size that it grew
/// to while it carried a body, so that idle connections alone could exhaust the process's memory and end it
/// with every request in progress. With the default, an idle connection took 441 KB of resident memory after
/// a body of 700 KB; with this limit it takes 21 KB. Bodies pass through the buffer in parts and are counted
/// where they are stored.
const MAX_BUFFER_BYTES: usize = 8 << 10;

/// Time from the stop until the listener and unused connections are closed, in which connections and bytes that had
/// arrived before are still taken.
pub(crate) const READ_TIME_AFTER_STOP: Duration = Duration::from_millis(5);

/// Whether a connection is within the limit on connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The connection's requests are served.
    Served,
    /// The connection's first request is refused and the connection is closed.
    OverLimit,
}

/// Event of a connection's serving loop.
enum Event {
    Ended(hyper::Result<()>),
    Stopped,
    CloseUnused,
    CheckDue,
}

/// Serves a connection until its caller, a limit or the stop of the front ends it.
pub(crate) async fn serve_connection<C: Clock + Send + Sync + 'static>(
    front: Arc<Front<C>>,
    stream: TcpStream,
    admission: Admission,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = ActivityLimits::new(&front.directory.current().settings.front);
    let activity = Activity::new();
    let monitored = MonitoredStream::new(stream, activity.clone());
    let service_activity = activity.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let front = Arc::clone(&front);
        let guard = service_activity.begin_request();
        async move {
            let response = front.handle_request(request, admission).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(monitored, service);
    let mut stopping = false;
    let mut close_unused_at = None;
    let reason = loop {
        let event = tokio::select! {
            biased;
            ended = &mut connection => Event::Ended(ended),
            () = wait_until(close_unused_at) => Event::CloseUnused,
            _ = stop.wait_for(|stop| *stop), if !stopping => Event::Stopped,
            () = sleep(limits.check_interval()) => Event::CheckDue,
        };
        match event {
            Event::Ended(ended) => return count_parse_error(ended),
            Event::Stopped => {
                stopping = true;
                close_unused_at = Some(Instant::now() + READ_TIME_AFTER_STOP);
            }
            Event::CloseUnused => {
                close_unused_at = None;
                Pin::new(&mut connection).graceful_shutdown();
            }
            Event::CheckDue => {
                if let Some(reason) = activity.close_reason(&limits) {
                    break reason;
                }
            }
        }
    };
    counter!("sedgeridge_connections_closed_total", "reason" => reason.label()).increment(1);
    if reason == CloseReason::HeaderTimeout {
        answer_header_timeout(&connection.into_parts().io.into_inner());
    }
}

/// Waits until a time; for ever if there is none.
pub(crate) async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

/// Counts requests that are not valid HTTP; the HTTP library has answered them with a bare 400 or 431.
fn count_parse_error(ended: hyper::Result<()>) {
    if ended.is_err_and(|error| error.is_parse()) {
        count_refusal(RefusalReason::BadRequest);
    }
}

fn answer_header_timeout(stream: &TcpStream) {
    count_refusal(RefusalReason::HeaderTimeout);
    let body = serde_json::json!({
        "error": {
            "type": RefusalReason::HeaderTimeout.as_str(),
            "message": "the request head did not end in time",
            "outcome": "not-run",
        }
    });
    let body = body.to_string();
    let answer = format!(
        "{HEADER_TIMEOUT_HEAD}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    // Nothing was written since the head began, so the send buffer has room. A failed write needs no handling,
    // as the caller has disconnected then.
    let _ = stream.try_write(answer.as_bytes());
}

fn count_refusal(reason: RefusalReason) {
    counter!("sedgeridge_refusals_total", "reason" => reason.as_str()).increment(1);
}
