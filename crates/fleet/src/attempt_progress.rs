//! Progress of one attempt, for log lines about its failure.

use std::time::Duration;

use crate::prompt::PromptPart;

/// Time from the first piece of an answer in which its endpoint crashes, if the request is the cause.
pub const CRASH_TIME: Duration = Duration::from_millis(300);
/// Time for which an answer has to arrive until it counts as one that did not crash its endpoint.
pub const SOUND_ANSWER_TIME: Duration = Duration::from_millis(500);

/// How much of an answer had arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerStage {
    /// Nothing.
    NotBegun,
    /// Its first pieces, for less than [`SOUND_ANSWER_TIME`].
    Begun,
    /// More.
    Sound,
}

impl AnswerStage {
    /// Returns the name for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotBegun => "not_begun",
            Self::Begun => "begun",
            Self::Sound => "sound",
        }
    }
}

/// Progress of an attempt, and the parts of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptProgress {
    /// Time since the request was sent to the endpoint.
    pub sent_ago: Duration,
    /// Time since the first piece of the answer, if it has arrived.
    pub answered_for: Option<Duration>,
    /// Parts of the prompt in order; none without a prompt.
    pub parts: Vec<PromptPart>,
}

impl AttemptProgress {
    /// Returns how much of the answer had arrived.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::attempt_progress::{AnswerStage, AttemptProgress};
    ///
    /// let answered_for = Some(Duration::from_millis(80));
    /// let progress = AttemptProgress { answered_for, ..AttemptProgress::default() };
    /// assert_eq!(progress.stage(), AnswerStage::Begun);
    /// ```
    pub fn stage(&self) -> AnswerStage {
        match self.answered_for {
            None => AnswerStage::NotBegun,
            Some(time) if time < SOUND_ANSWER_TIME => AnswerStage::Begun,
            Some(_) => AnswerStage::Sound,
        }
    }

    /// Returns the ids of the prompt's parts in hexadecimal, separated by commas, as in requests.
    ///
    /// ```
    /// use sedgeridge_fleet::attempt_progress::AttemptProgress;
    /// use sedgeridge_fleet::prompt::PromptPart;
    ///
    /// let parts = vec![PromptPart { id: 0x5c1e, tokens: 800 }, PromptPart { id: 0x91, tokens: 50 }];
    /// let progress = AttemptProgress { parts, ..AttemptProgress::default() };
    /// assert_eq!(progress.part_ids(), "5c1e,91");
    /// ```
    pub fn part_ids(&self) -> String {
        let ids = self.parts.iter().map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }
}
