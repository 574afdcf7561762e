//! Calls of the table service as the decision parts see them.
//!
//! A part appends a [`StoreAction`] and later gets exactly one [`StoreEvent`] for it. The edge
//! answers [`StoreResult::Unknown`] when its timeout passes, and drops an answer that comes later.

use std::sync::Arc;

/// Numbers the calls of one part of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Version of an absent row.
pub const ABSENT_VERSION: u64 = 0;

/// A call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAction {
    /// Make all writes if all checks hold, else none.
    Transact {
        /// Names the call.
        call: CallId,
        /// Conditions on current versions.
        checks: Vec<StoreCheck>,
        /// Writes, in order.
        writes: Vec<StoreWrite>,
    },
    /// Read rows.
    Read {
        /// Names the call.
        call: CallId,
        /// What to read.
        query: StoreQuery,
    },
}

/// Which rows to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreQuery {
    /// These keys.
    Keys(Vec<Arc<str>>),
    /// All keys with the prefix whose version is above `after_version`.
    Prefix {
        /// First part of the keys.
        prefix: Arc<str>,
        /// Rows at this version or a lower one are left out.
        after_version: u64,
    },
}

/// Condition: the key stands at this version; [`ABSENT_VERSION`] means that there is no row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreCheck {
    /// The key.
    pub key: Arc<str>,
    /// The version it must have.
    pub version: u64,
}

/// A write; no value deletes the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: Arc<str>,
    /// The new value.
    pub value: Option<Arc<str>>,
}

/// A row; an absent one has version [`ABSENT_VERSION`] and no value.
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
    /// How it ended.
    pub result: StoreResult,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// Every write was made; the written rows now have this version.
    Committed {
        /// Store-wide version, higher than any before.
        version: u64,
    },
    /// Nothing was written; these rows did not match.
    Conflict {
        /// Current rows of the failed checks.
        rows: Vec<StoreRow>,
    },
    /// The rows that exist.
    Rows(Vec<StoreRow>),
    /// Refused or not sent: certainly not done.
    Unavailable,
    /// No answer: the writes may have been made, or may yet be.
    Unknown,
}

/// Hands out the call numbers of one part.
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
