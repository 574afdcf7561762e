//! Bodies of HTTP responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_coordination::refusal::RefusalReason;

use crate::answer::AnswerPart;
use crate::answer::AnswerReceiver;
use crate::answer::Refusal;

/// The body of a response: complete, or still arriving from an endpoint.
#[derive(Debug)]
pub enum FrontBody {
    /// The complete body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// The channel of the parts that the endpoint sends; `None` after the last one.
    Parts(Option<AnswerReceiver>),
}

impl Body for FrontBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(None) => Poll::Ready(None),
            Self::Parts(parts @ Some(_)) => {
                let receiver = parts.as_mut().expect("matched above");
                let part = ready!(receiver.poll_recv(context));
                let (bytes, is_last) = frame_bytes(part);
                if is_last {
                    *parts = None;
                }
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None) | Self::Parts(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}

/// Returns the bytes of a part and whether it is the last one.
fn frame_bytes(part: Option<AnswerPart>) -> (Option<Bytes>, bool) {
    match part {
        Some(AnswerPart::Chunk(bytes)) => (Some(bytes), false),
        Some(AnswerPart::End) => (None, true),
        Some(AnswerPart::Refusal(refusal)) => (Some(partial_answer_event(&refusal)), true),
        // The sender was dropped, or a second head followed: the answer is not complete.
        Some(AnswerPart::Head { .. }) | None => {
            (Some(partial_answer_event(&endpoint_failed())), true)
        }
    }
}

fn endpoint_failed() -> Refusal {
    Refusal {
        reason: RefusalReason::EndpointFailed,
        outcome: Outcome::Unknown,
        retry_after: None,
        detail: String::new(),
    }
}

/// Returns the event that ends a stream which failed after a part of the answer was sent.
///
/// Without it, a caller whose stream just stops could take an incomplete answer for a complete one. The
/// event is sent instead of `[DONE]`, and no complete answer contains an event of this kind.
fn partial_answer_event(refusal: &Refusal) -> Bytes {
    let error = serde_json::json!({
        "error": {
            "type": "partial_answer",
            "reason": refusal.reason.as_str(),
            "outcome": refusal.outcome.as_str(),
        }
    });
    Bytes::from(format!("event: error\ndata: {error}\n\n"))
}
