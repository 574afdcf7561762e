//! Records the answers of non-repeatable requests and replays them to repeats of the same request.

use std::sync::Arc;

use bytes::Bytes;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::claim_record::RecordedBody;

use crate::answer::AnswerPart;
use crate::call::AnswerForm;

/// Largest body that is recorded; of a larger answer only the status is recorded.
const MAX_RECORDED_BYTES: usize = 64 << 10;
/// Attempt id in the head of a replayed answer.
const REPLAY_ATTEMPT_ID: &str = "recorded";

/// Collects the parts of an answer while they are forwarded.
#[derive(Debug)]
pub(crate) struct Recorder {
    enabled: bool,
    status: u16,
    body: Vec<u8>,
    too_large: bool,
    complete: bool,
}

impl Recorder {
    /// Creates a recorder; answers to repeatable requests are not recorded.
    pub(crate) fn new(repeatable: bool) -> Self {
        Self {
            enabled: !repeatable,
            status: 0,
            body: Vec::new(),
            too_large: false,
            complete: false,
        }
    }

    /// Records the next part.
    pub(crate) fn record(&mut self, part: &AnswerPart) {
        if !self.enabled {
            return;
        }
        match part {
            AnswerPart::Head { status, .. } => self.status = *status,
            AnswerPart::Chunk(bytes) => {
                self.too_large |= self.body.len() + bytes.len() > MAX_RECORDED_BYTES;
                if !self.too_large {
                    self.body.extend_from_slice(bytes);
                }
            }
            AnswerPart::End => self.complete = true,
            AnswerPart::Refusal(_) => {}
        }
    }

    /// Returns the answer if it is complete.
    pub(crate) fn finish(self) -> Option<RecordedAnswer> {
        if !self.complete {
            return None;
        }
        let body = match String::from_utf8(self.body) {
            Ok(text) if !self.too_large => RecordedBody::Inline(Arc::from(text)),
            _ => RecordedBody::Omitted,
        };
        Some(RecordedAnswer {
            status: self.status,
            body,
        })
    }
}

/// Returns the parts of a recorded answer.
pub(crate) fn replay_parts(recorded: &RecordedAnswer, form: AnswerForm) -> Vec<AnswerPart> {
    let content_type = match form {
        AnswerForm::ChatStream => "text/event-stream",
        AnswerForm::ChatWhole | AnswerForm::Plain => "application/json",
    };
    let body = match &recorded.body {
        RecordedBody::Inline(text) => Bytes::copy_from_slice(text.as_bytes()),
        RecordedBody::Object(_) | RecordedBody::Omitted => Bytes::new(),
    };
    vec![
        AnswerPart::Head {
            status: recorded.status,
            content_type: content_type.to_owned(),
            attempt: REPLAY_ATTEMPT_ID.to_owned(),
        },
        AnswerPart::Chunk(body),
        AnswerPart::End,
    ]
}
