//! Keeps the answer of a request that may not be repeated, and gives it again to a repeat.

use std::sync::Arc;

use bytes::Bytes;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::claim_record::RecordedBody;

use crate::answer::AnswerPart;
use crate::call::AnswerForm;

/// Largest body that is gathered; a larger one is recorded without it.
const MAX_RECORDED_BYTES: usize = 64 << 10;
/// Attempt named by a replayed answer.
const REPLAY: &str = "recorded";

/// Gathers the parts of an answer as they pass.
#[derive(Debug)]
pub(crate) struct Recorder {
    wanted: bool,
    status: u16,
    body: Vec<u8>,
    too_large: bool,
    whole: bool,
}

impl Recorder {
    /// Creates a recorder; answers to requests that may be repeated are not kept.
    pub(crate) fn new(repeatable: bool) -> Self {
        Self {
            wanted: !repeatable,
            status: 0,
            body: Vec::new(),
            too_large: false,
            whole: false,
        }
    }

    /// Takes the next part.
    pub(crate) fn take(&mut self, part: &AnswerPart) {
        if !self.wanted {
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
            AnswerPart::End => self.whole = true,
            AnswerPart::Refusal(_) => {}
        }
    }

    /// Returns the answer if all of it passed.
    pub(crate) fn finish(self) -> Option<RecordedAnswer> {
        if !self.whole {
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
pub(crate) fn replayed(recorded: &RecordedAnswer, form: AnswerForm) -> Vec<AnswerPart> {
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
            attempt: REPLAY.to_owned(),
        },
        AnswerPart::Chunk(body),
        AnswerPart::End,
    ]
}
