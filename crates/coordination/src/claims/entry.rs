//! What one router knows of one idempotency key, and what a row of the table means for it.

use std::collections::BTreeSet;

use sedgeridge_state::claim_record::ClaimRecord;
use sedgeridge_state::claim_record::ClaimState;
use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::ids::AttemptId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::RequestId;

use crate::claim_events::ClaimRefusal;
use crate::store_call::ABSENT_VERSION;
use crate::store_call::StoreRow;

/// Abandoned attempts remembered for one key; one that is forgotten counts as "may have run".
const MAX_ABANDONED: usize = 16;

/// Where the request of an entry stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim is on its way to the table; nothing was dispatched.
    Claiming,
    /// The request was handed out for dispatch.
    Dispatched,
    /// The outcome is on its way to the table.
    Recording,
}

/// One idempotency key that this router holds or settles.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The row to write.
    pub(crate) record: ClaimRecord,
    pub(crate) request: Option<RequestId>,
    pub(crate) stage: Stage,
    /// Version the row must have for the next write.
    pub(crate) version: u64,
    /// Counts the writes asked for; an answer to an earlier one is dropped.
    pub(crate) step: u64,
    pub(crate) in_flight: bool,
    /// Whether a write without answer may have taken effect, or may yet.
    pub(crate) unsettled: bool,
    /// Attempts of this router that never dispatched and never will, but may stand in the table.
    pub(crate) abandoned: Vec<AttemptId>,
    pub(crate) failures: u32,
}

/// What a row means for an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The entry's own write stands, at this version.
    Own(u64),
    /// The entry may write over this version.
    Free(u64),
    /// An earlier run with the key left this answer.
    Answered(RecordedAnswer),
    /// The key is refused.
    Refused(ClaimRefusal),
}

impl Entry {
    pub(crate) fn may_stand_in_table(&self) -> bool {
        self.in_flight || self.unsettled || !self.abandoned.is_empty()
    }

    /// Keeps the attempt of an earlier entry that never dispatched.
    pub(crate) fn abandon_all(&mut self, attempts: Vec<AttemptId>) {
        self.abandoned.extend(attempts);
        let excess = self.abandoned.len().saturating_sub(MAX_ABANDONED);
        self.abandoned.drain(..excess);
    }

    /// Judges the current row of the entry's key.
    pub(crate) fn judge(&self, row: Option<&StoreRow>, alive: &BTreeSet<Member>) -> Verdict {
        let found = row.and_then(|r| r.value.as_deref().map(|v| (r.version, v)));
        let Some((version, value)) = found else {
            return Verdict::Free(ABSENT_VERSION);
        };
        let Some(other) = ClaimRecord::decode(value) else {
            return Verdict::Refused(ClaimRefusal::EarlierOutcomeUnknown);
        };
        if other.attempt == self.record.attempt {
            return self.judge_own(version, &other.state);
        }
        if self.abandoned.contains(&other.attempt) && other.state == ClaimState::Open {
            return Verdict::Free(version);
        }
        self.judge_other(version, other, alive)
    }

    // Without a write that lost its answer, a claim under this attempt was made by an earlier run
    // that used the same incarnation, and may have been dispatched: taken for our own, the request
    // would run a second time.
    fn judge_own(&self, version: u64, state: &ClaimState) -> Verdict {
        match (self.stage, state) {
            (Stage::Claiming, ClaimState::Open) if self.unsettled => Verdict::Own(version),
            (Stage::Claiming, _) => Verdict::Refused(ClaimRefusal::EarlierOutcomeUnknown),
            (Stage::Dispatched | Stage::Recording, ClaimState::Open) => Verdict::Free(version),
            (Stage::Dispatched | Stage::Recording, _) => Verdict::Own(version),
        }
    }

    fn judge_other(&self, version: u64, other: ClaimRecord, alive: &BTreeSet<Member>) -> Verdict {
        if other.state == ClaimState::Released {
            return Verdict::Free(version);
        }
        if other.body_hash != self.record.body_hash {
            return Verdict::Refused(ClaimRefusal::KeyReused);
        }
        match other.state {
            ClaimState::Ran(answer) => Verdict::Answered(answer),
            ClaimState::Open if self.is_at_work(&other.attempt, alive) => {
                Verdict::Refused(ClaimRefusal::InProgress)
            }
            _ => Verdict::Refused(ClaimRefusal::EarlierOutcomeUnknown),
        }
    }

    // An open claim of this very run that no entry knows any more ended without a record.
    fn is_at_work(&self, attempt: &AttemptId, alive: &BTreeSet<Member>) -> bool {
        attempt.member != self.record.attempt.member && alive.contains(&attempt.member)
    }
}
