//! State that one router holds for an idempotency key, and how a row of the table changes it.

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

/// Number of abandoned attempts kept for a key; a dropped one counts as "may have run".
const MAX_ABANDONED_ATTEMPTS: usize = 16;

/// Progress of the request of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The claim is being written to the table; nothing was dispatched.
    Claiming,
    /// The request was handed out for dispatch.
    Dispatched,
    /// The outcome is being written to the table.
    Recording,
}

/// An idempotency key for which this router holds a claim or has a write to complete.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The row to write.
    pub(crate) record: ClaimRecord,
    pub(crate) request: Option<RequestId>,
    pub(crate) stage: Stage,
    /// Version the row must have for the next write.
    pub(crate) version: u64,
    /// Number of the newest write; an answer to an earlier one is dropped.
    pub(crate) write_number: u64,
    pub(crate) in_flight: bool,
    /// Whether a write without answer may have taken effect, or may still do so.
    pub(crate) write_unconfirmed: bool,
    /// Attempts of this router that were not and will not be dispatched, but may be in the table.
    pub(crate) abandoned_attempts: Vec<AttemptId>,
    pub(crate) failures: u32,
}

/// Status of an idempotency key, as a row or an entry shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum KeyStatus {
    /// The entry's write is in the table, at this version.
    OwnWrite(u64),
    /// The entry may overwrite this version.
    Writable(u64),
    /// An earlier run with the key has this answer.
    Answered(RecordedAnswer),
    /// The key is refused.
    Refused(ClaimRefusal),
}

impl Entry {
    pub(crate) fn may_have_row(&self) -> bool {
        self.in_flight || self.write_unconfirmed || !self.abandoned_attempts.is_empty()
    }

    /// Keeps attempts of an earlier entry that were never dispatched.
    pub(crate) fn abandon_all(&mut self, attempts: Vec<AttemptId>) {
        self.abandoned_attempts.extend(attempts);
        let excess = self
            .abandoned_attempts
            .len()
            .saturating_sub(MAX_ABANDONED_ATTEMPTS);
        self.abandoned_attempts.drain(..excess);
    }

    /// Returns what the current row of the entry's key means for the entry.
    pub(crate) fn status_from_row(
        &self,
        row: Option<&StoreRow>,
        live_members: &BTreeSet<Member>,
    ) -> KeyStatus {
        let found = row.and_then(|r| r.value.as_deref().map(|v| (r.version, v)));
        let Some((version, value)) = found else {
            return KeyStatus::Writable(ABSENT_VERSION);
        };
        let Some(other) = ClaimRecord::decode(value) else {
            return KeyStatus::Refused(ClaimRefusal::EarlierOutcomeUnknown);
        };
        if other.attempt == self.record.attempt {
            return self.status_from_own_row(version, &other.state);
        }
        if self.abandoned_attempts.contains(&other.attempt) && other.state == ClaimState::Open {
            return KeyStatus::Writable(version);
        }
        self.status_from_other_row(version, other, live_members)
    }

    // If no write lost its answer, a claim under this attempt was made by an earlier process that
    // used the same incarnation, and may have been dispatched. If it counted as this entry's claim,
    // the request would run a second time.
    fn status_from_own_row(&self, version: u64, state: &ClaimState) -> KeyStatus {
        match (self.stage, state) {
            (Stage::Claiming, ClaimState::Open) if self.write_unconfirmed => {
                KeyStatus::OwnWrite(version)
            }
            (Stage::Claiming, _) => KeyStatus::Refused(ClaimRefusal::EarlierOutcomeUnknown),
            (Stage::Dispatched | Stage::Recording, ClaimState::Open) => {
                KeyStatus::Writable(version)
            }
            (Stage::Dispatched | Stage::Recording, _) => KeyStatus::OwnWrite(version),
        }
    }

    fn status_from_other_row(
        &self,
        version: u64,
        other: ClaimRecord,
        live_members: &BTreeSet<Member>,
    ) -> KeyStatus {
        if other.state == ClaimState::Released {
            return KeyStatus::Writable(version);
        }
        if other.body_hash != self.record.body_hash {
            return KeyStatus::Refused(ClaimRefusal::KeyReused);
        }
        match other.state {
            ClaimState::Ran(answer) => KeyStatus::Answered(answer),
            ClaimState::Open if self.is_running_elsewhere(&other.attempt, live_members) => {
                KeyStatus::Refused(ClaimRefusal::InProgress)
            }
            _ => KeyStatus::Refused(ClaimRefusal::EarlierOutcomeUnknown),
        }
    }

    // An open claim of this process for which there is no entry ended without a recorded outcome.
    fn is_running_elsewhere(&self, attempt: &AttemptId, live_members: &BTreeSet<Member>) -> bool {
        attempt.member != self.record.attempt.member && live_members.contains(&attempt.member)
    }
}
