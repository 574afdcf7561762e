//! Bodies of answers to callers.

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

/// The body of an answer: whole already, or still coming from an endpoint.
#[derive(Debug)]
pub enum FrontBody {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// Parts come as the endpoint sends them.
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
                let (bytes, last) = frame_of(part);
                if last {
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

/// Returns the bytes of a part and whether it is the last.
fn frame_of(part: Option<AnswerPart>) -> (Option<Bytes>, bool) {
    match part {
        Some(AnswerPart::Chunk(bytes)) => (Some(bytes), false),
        Some(AnswerPart::End) => (None, true),
        Some(AnswerPart::Refusal(given_up)) => (Some(partial_mark(&given_up)), true),
        // A sender that went away, or a part that cannot follow: the answer is not whole.
        Some(AnswerPart::Head { .. }) | None => (Some(partial_mark(&cut_off())), true),
    }
}

fn cut_off() -> Refusal {
    Refusal {
        reason: RefusalReason::EndpointFailed,
        outcome: Outcome::Unknown,
        retry_after: None,
        detail: String::new(),
    }
}

/// Makes the event that ends a stream which broke off after part of the answer went out.
///
/// Without it, a caller whose stream just stops could take half an answer for a whole one: this
/// event comes in place of `[DONE]`, and no whole answer holds one of its kind.
fn partial_mark(given_up: &Refusal) -> Bytes {
    let error = serde_json::json!({
        "error": {
            "type": "partial_answer",
            "reason": given_up.reason.as_str(),
            "outcome": given_up.outcome.as_str(),
        }
    });
    Bytes::from(format!("event: error\ndata: {error}\n\n"))
}
