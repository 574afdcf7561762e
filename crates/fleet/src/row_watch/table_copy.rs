//! Rows of a table, and the copies of it that hosts send each other.

use std::sync::Arc;
use std::time::Duration;

use crate::store_version::StoreVersion;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: Arc<str>,
    /// The transaction that wrote it.
    pub version: StoreVersion,
    /// Its content; `None` when the row was removed.
    pub value: Option<Arc<[u8]>>,
}

/// A copy of a table, or of its changes, that one host sends to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableCopy {
    /// Version of the newest change in the copy.
    pub version: StoreVersion,
    /// Whether the copy starts from an empty table; otherwise it holds changes.
    pub is_whole: bool,
    /// Whether the sender knows later changes that the copy does not hold.
    pub has_more: bool,
    /// The rows; removed rows have no value.
    pub rows: Vec<Row>,
    /// Rows that the sender still uses although they may have lapsed.
    pub lapsing: Vec<LapsingRow>,
    /// Keys of all existing rows, present if `rows` may lack removals.
    pub keys: Option<Vec<Arc<str>>>,
}

/// A row that was missing when the store came back from an outage. Its writer may still write it
/// again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LapsingRow {
    /// Its key.
    pub key: Arc<str>,
    /// Version of the store at which the row was missing.
    pub version: StoreVersion,
    /// Time left for its writer to write it again.
    pub remaining: Duration,
    /// Time since the start of the outage in which the row may have lapsed.
    pub outage_age: Duration,
    /// Whether the row is missing because the store came back from an older copy.
    pub is_restored: bool,
}
