//! Calls to the table service, as actions and events of the parts of this crate.
//!
//! A part appends a [`StoreAction`] and later gets exactly one [`StoreEvent`] for it. The code that
//! makes the calls returns [`StoreResult::Unknown`] after its timeout, and drops a later answer.

use std::sync::Arc;

/// Number of a call, unique within one part of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Version of an absent row.
pub const ABSENT_VERSION: u64 = 0;

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// Make all writes if all checks hold, otherwise none.
    Transact {
        /// Number of the call.
        call: CallId,
        /// Conditions on current versions.
        checks: Vec<StoreCheck>,
        /// Writes, in order.
        writes: Vec<StoreWrite>,
    },
    /// Read rows.
    Read {
        /// Number of the call.
        call: CallId,
        /// What to read.
        query: StoreQuery,
    },
}

/// Selects the rows to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreQuery {
    /// These keys.
    Keys(Vec<Arc<str>>),
    /// All keys with the prefix whose version is above `after_version`.
    Prefix {
        /// Prefix of the keys.
        prefix: Arc<str>,
        /// Rows at this version or a lower one are left out.
        after_version: u64,
    },
}

/// Condition that a key has this version; [`ABSENT_VERSION`] means that there is no row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCheck {
    /// The key.
    pub key: Arc<str>,
    /// The version it must have.
    pub version: u64,
}

/// A write; without a value it deletes the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: Arc<str>,
    /// The new value.
    pub value: Option<Arc<str>>,
}

/// A row; an absent row has version [`ABSENT_VERSION`] and no value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// The key.
    pub key: Arc<str>,
    /// Version of its last write.
    pub version: u64,
    /// Its value.
    pub value: Option<Arc<str>>,
}

/// End of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreEvent {
    /// The call that ended.
    pub call: CallId,
    /// Its result.
    pub result: StoreResult,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// Every write was made; the written rows now have this version.
    Committed {
        /// Store-wide version, higher than all earlier ones.
        version: u64,
    },
    /// Nothing was written; these rows did not match.
    Conflict {
        /// Current rows of the failed checks.
        rows: Vec<StoreRow>,
    },
    /// The selected rows that exist.
    Rows(Vec<StoreRow>),
    /// The call was refused or not sent: certainly not executed.
    Unavailable,
    /// No answer: the writes may have been made, or may still be made.
    Unknown,
}

/// Assigns the call numbers of one part.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    last: u64,
}

impl CallCounter {
    pub(crate) fn next(&mut self) -> CallId {
        self.last += 1;
        CallId(self.last)
    }
}

/// Finds the row of a key among the rows of an answer.
pub(crate) fn find_row<'a>(rows: &'a [StoreRow], key: &str) -> Option<&'a StoreRow> {
    rows.iter().find(|row| &*row.key == key)
}
