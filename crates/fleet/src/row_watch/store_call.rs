//! Calls to the store about a table, and their results.

use std::sync::Arc;
use std::time::Duration;

use super::Row;
use crate::store_version::StoreVersion;

/// The next call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// List rows, starting at a key.
    List {
        /// First key to return; `None` for the whole table.
        from: Option<Arc<str>>,
    },
    /// Wait for changes after this version.
    Feed {
        /// Version up to which all changes are known.
        after: StoreVersion,
        /// Whether the store holds the call open until there is a change. Right after an outage it
        /// must not: the answer could come long after the store is back, and a row removed in
        /// between would look as if it had lapsed in the outage.
        is_long_poll: bool,
    },
}

impl StoreCall {
    /// Returns the result of this call for rows that the store sent as of a version.
    ///
    /// Changes of a later era are no continuation of those asked for, also if the store has passed the
    /// number again: the changes before that number would never be seen.
    ///
    /// ```
    /// use sedgeridge_fleet::row_watch::{StoreAnswer, StoreCall};
    /// use sedgeridge_fleet::store_version::StoreVersion;
    ///
    /// let after = StoreVersion { era: 1, number: 90 };
    /// let call = StoreCall::Feed { after, is_long_poll: true };
    /// let answer = call.answered_with(Vec::new(), StoreVersion { era: 2, number: 95 }, false);
    /// assert_eq!(answer, StoreAnswer::HistoryGone);
    /// ```
    pub fn answered_with(
        &self,
        rows: Vec<Row>,
        version: StoreVersion,
        has_more: bool,
    ) -> StoreAnswer {
        match self {
            Self::Feed { after, .. } if after.era < version.era => StoreAnswer::HistoryGone,
            Self::Feed { .. } | Self::List { .. } => StoreAnswer::Rows {
                rows,
                version,
                has_more,
            },
        }
    }
}

/// Result of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Rows as of `version`.
    Rows {
        /// Listed rows, or changed rows.
        rows: Vec<Row>,
        /// Version of the store when it answered.
        version: StoreVersion,
        /// Whether the list continues after the last row.
        has_more: bool,
    },
    /// The store does not have the requested changes: it dropped them, or came back from an older copy.
    HistoryGone,
    /// No usable answer.
    Failed,
}

/// Next step of the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchStep {
    /// Make a call.
    Call(StoreCall),
    /// Wait until this time.
    WaitUntil(Duration),
}
