//! Answers to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;
use tokio::sync::mpsc;

/// Events that wait for a slow caller before its endpoint is read on.
pub const STREAM_DEPTH: usize = 32;

/// The stream ends before its last event.
#[derive(Debug, Error)]
#[error("the answer ends early")]
pub struct StreamCut;

/// The body of an answer: known as a whole, or passed on as it comes.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it, or nothing after it was taken.
    Whole(Option<Bytes>),
    /// Pieces. An error breaks the connection, so that the answer does not look complete.
    Pieces(mpsc::Receiver<Result<Bytes, StreamCut>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => {
                let piece = pieces.poll_recv(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Makes an answer of the router's own.
pub fn own(status: StatusCode, text: &str) -> Answer {
    let body = AnswerBody::Whole(Some(Bytes::copy_from_slice(text.as_bytes())));
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, plain);
    answer
}

/// Answers that the request has not run and never will.
pub fn not_run(reason: &str, retry_after: Duration) -> Answer {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    answer
}

/// Removes the headers that concern one connection only, those that `Connection` names included.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ] {
        headers.remove(name);
    }
}
