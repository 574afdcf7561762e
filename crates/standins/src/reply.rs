//! Builds the HTTP answers of a stand-in, whole and streamed.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

use sedgeridge_protocol::headers;

use crate::link::Link;

/// An answer to a call.
pub type Reply = Response<ReplyBody>;

/// A part of a streamed body.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes to send at once.
    Data(Bytes),
    /// The end of the body.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// A whole body.
    Whole(Option<Bytes>),
    /// A body that is generated while it is sent.
    Stream(ChunkStream),
}

/// A body that is generated while it is sent. The sender of its chunks can detect that the caller
/// has disconnected.
#[derive(Debug)]
pub struct ChunkStream {
    chunks: UnboundedReceiver<BodyChunk>,
    break_after: Option<(u64, Rc<Link>)>,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll_chunk(context),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(bytes) => {
                hyper::body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }
}

impl ChunkStream {
    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some((0, link)) = &self.break_after {
            link.close();
            return Poll::Pending;
        }
        match self.chunks.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyChunk::Data(bytes))) => {
                if let Some((remaining, _)) = &mut self.break_after {
                    *remaining -= 1;
                }
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(BodyChunk::End) | None) => Poll::Ready(None),
        }
    }
}

/// Builds a streamed answer; `break_after` closes the connection after a number of chunks.
pub fn stream(chunks: UnboundedReceiver<BodyChunk>, break_after: Option<(u64, Rc<Link>)>) -> Reply {
    let mut reply = Response::new(ReplyBody::Stream(ChunkStream {
        chunks,
        break_after,
    }));
    set(&mut reply, CONTENT_TYPE, "text/event-stream");
    reply
}

/// Builds a whole answer.
pub fn whole(status: StatusCode, content_type: &str, bytes: impl Into<Bytes>) -> Reply {
    let bytes = bytes.into();
    let body = (!bytes.is_empty()).then_some(bytes);
    let mut reply = Response::new(ReplyBody::Whole(body));
    *reply.status_mut() = status;
    set(&mut reply, CONTENT_TYPE, content_type);
    reply
}

/// Builds a JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(bytes) => whole(status, "application/json", bytes),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Builds a plain text answer.
pub fn text(status: StatusCode, text: &str) -> Reply {
    whole(status, "text/plain", format!("{text}\n"))
}

/// Refuses a request that has not started.
pub fn not_started(reason: &str) -> Reply {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    set(
        &mut reply,
        HeaderName::from_static(headers::NOT_STARTED),
        "1",
    );
    reply
}

/// Refuses a request because the rate limit is reached.
pub fn rate_limited(retry_after_s: u64) -> Reply {
    let mut reply = text(StatusCode::TOO_MANY_REQUESTS, "rate limit reached");
    set(&mut reply, RETRY_AFTER, &retry_after_s.to_string());
    reply
}

/// Sets a header; a value that is not valid in a header is skipped.
pub fn set(reply: &mut Reply, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}
