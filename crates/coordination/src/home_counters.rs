//! Counters of the home of a pool, for export.

use std::collections::BTreeMap;

/// Why a report, or an item of it, was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The report is for another pool.
    WrongPool,
    /// The sender is not among the live members.
    NotAMember,
    /// The sender has restarted since.
    OlderIncarnation,
    /// A report with this or a higher sequence was accepted before.
    RepeatedSequence,
    /// A partial report after a gap in the sequence.
    SequenceGap,
    /// A partial report from a run whose full report has not arrived.
    UnknownRun,
    /// A counter is higher than any working router can reach.
    AbsurdCounter,
    /// Settled service decreased within one run.
    ServedWentDown,
    /// An item names an account that is not configured here.
    UnknownAccount,
    /// An item names an endpoint that is not configured here.
    UnknownEndpoint,
}

impl RejectionReason {
    /// Returns the label that metrics use.
    ///
    /// ```
    /// use sedgeridge_coordination::home_counters::RejectionReason;
    ///
    /// assert_eq!(RejectionReason::SequenceGap.label(), "sequence_gap");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::WrongPool => "wrong_pool",
            Self::NotAMember => "not_a_member",
            Self::OlderIncarnation => "older_incarnation",
            Self::RepeatedSequence => "repeated_sequence",
            Self::SequenceGap => "sequence_gap",
            Self::UnknownRun => "unknown_run",
            Self::AbsurdCounter => "absurd_counter",
            Self::ServedWentDown => "served_went_down",
            Self::UnknownAccount => "unknown_account",
            Self::UnknownEndpoint => "unknown_endpoint",
        }
    }
}

/// Counters of a home since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HomeCounters {
    /// Rejected reports and items, by reason.
    pub rejections: BTreeMap<RejectionReason, u64>,
    /// Grants sent.
    pub grants: u64,
    /// Grants not acknowledged in time, whose slots were returned.
    pub timed_out_grants: u64,
    /// Grants found to be in use after their slot was returned.
    pub late_grants: u64,
}

impl HomeCounters {
    pub(crate) fn reject(&mut self, reason: RejectionReason) {
        *self.rejections.entry(reason).or_default() += 1;
    }
}
