//! Counts rejected messages and entries by reason.

use std::collections::BTreeMap;

use thiserror::Error;

/// Reason for which a message, or one entry of a message, was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Rejection {
    /// The sender is in neither the settings, the host list nor the table.
    #[error("sender is unknown")]
    UnknownSender,
    /// An update names a host that is in neither the settings, the host list nor the table.
    #[error("update names an unknown host")]
    UnknownSubject,
    /// The sender's host is known under a higher incarnation.
    #[error("sender has an older incarnation")]
    StaleIncarnation,
    /// An incarnation lies further in the future than clocks may differ.
    #[error("incarnation lies too far in the future")]
    AbsurdIncarnation,
    /// A refutation count is far above the one known.
    #[error("refutation count is implausibly high")]
    AbsurdRefutations,
    /// The configuration generation is above any that a fleet can reach.
    #[error("configuration generation is implausibly high")]
    AbsurdGeneration,
    /// A notice lies in the future or lasts too long.
    #[error("notice lies in the future or lasts too long")]
    AbsurdNotice,
    /// The sender uses this host's own name.
    #[error("sender uses this host's name")]
    OwnName,
    /// The sender calls itself suspect or dead.
    #[error("sender declares itself suspect or dead")]
    SelfAccusation,
    /// The message or table has more entries than any member sends.
    #[error("message has too many entries")]
    Oversized,
    /// A table was requested too soon after the previous one.
    #[error("table was requested too soon after the previous one")]
    SyncTooOften,
}

/// Number of rejections by reason.
#[derive(Debug, Clone, Default)]
pub struct Rejections {
    counts: BTreeMap<Rejection, u64>,
}

impl Rejections {
    pub(crate) fn record(&mut self, reason: Rejection) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Returns the number of rejections for `reason`.
    ///
    /// ```
    /// use sedgeridge_coordination::membership::{Rejection, Rejections};
    ///
    /// assert_eq!(Rejections::default().count_of(Rejection::UnknownSender), 0);
    /// ```
    pub fn count_of(&self, reason: Rejection) -> u64 {
        self.counts.get(&reason).copied().unwrap_or(0)
    }

    /// Iterates over the reasons counted so far, in fixed order.
    ///
    /// ```
    /// use sedgeridge_coordination::membership::Rejections;
    ///
    /// assert_eq!(Rejections::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (Rejection, u64)> + '_ {
        self.counts.iter().map(|(reason, count)| (*reason, *count))
    }
}

impl Rejection {
    /// Returns the stable name, used in metric labels.
    ///
    /// ```
    /// use sedgeridge_coordination::membership::Rejection;
    ///
    /// assert_eq!(Rejection::OwnName.as_str(), "own_name");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownSender => "unknown_sender",
            Self::UnknownSubject => "unknown_subject",
            Self::StaleIncarnation => "stale_incarnation",
            Self::AbsurdIncarnation => "absurd_incarnation",
            Self::AbsurdRefutations => "absurd_refutations",
            Self::AbsurdGeneration => "absurd_generation",
            Self::AbsurdNotice => "absurd_notice",
            Self::OwnName => "own_name",
            Self::SelfAccusation => "self_accusation",
            Self::Oversized => "oversized",
            Self::SyncTooOften => "sync_too_often",
        }
    }
}
