//! The answer to a caller, sent from an attempt or the core to the front part by part.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;

use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_coordination::refusal::RefusalReason;

/// Parts of one answer that may wait for a slow caller; a full channel holds the endpoint back.
pub const ANSWER_CHANNEL_LEN: usize = 32;

/// One part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPart {
    /// Head of the endpoint's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Id of the attempt that answers.
        attempt: String,
    },
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// The request is refused or given up.
    Refusal(Refusal),
}

/// Final answer of a request that is refused or given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Description for the caller: what was found and what was expected.
    pub detail: String,
}

/// Sending side of one answer.
pub type AnswerSender = mpsc::Sender<AnswerPart>;
/// Receiving side of one answer.
pub type AnswerReceiver = mpsc::Receiver<AnswerPart>;
