//! What goes back to a caller, part by part.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;

use sedgeridge_coordination::refusal::Outcome;
use sedgeridge_coordination::refusal::RefusalReason;

/// Parts of one answer that may wait for a slow caller; a full ring holds the endpoint back.
pub const ANSWER_CHANNEL_LEN: usize = 32;

/// One part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPart {
    /// The endpoint began to answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Attempt that answers.
        attempt: String,
    },
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is whole.
    End,
    /// The request is given up.
    Refusal(Refusal),
}

/// Final answer of a request that is refused or given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub outcome: Outcome,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// What exactly is wrong.
    pub detail: String,
}

/// Sending side of one answer.
pub type AnswerSender = mpsc::Sender<AnswerPart>;
/// Receiving side of one answer.
pub type AnswerReceiver = mpsc::Receiver<AnswerPart>;
