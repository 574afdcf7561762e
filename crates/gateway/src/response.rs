//! Responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::stream_queue::StreamInterrupted;
use crate::stream_queue::StreamReceiver;

/// Body of a response: known completely, or forwarded as it arrives.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body; `None` once it was taken.
    Buffered(Option<Bytes>),
    /// Chunks of a stream. An error breaks the connection, so that the response does not look
    /// complete.
    Stream(StreamReceiver),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => {
                let chunk = Pin::new(chunks).poll_next(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A response to a caller.
pub type CallerResponse = Response<ResponseBody>;

/// Builds a plain-text response of the router itself.
pub fn text_response(status: StatusCode, text: &str) -> CallerResponse {
    let body = ResponseBody::Buffered(Some(Bytes::copy_from_slice(text.as_bytes())));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Builds the response to a request that has not run and never will.
pub fn not_run_response(reason: &str, retry_after: Duration) -> CallerResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Removes the headers that apply to one connection only, including those that `Connection` names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
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
