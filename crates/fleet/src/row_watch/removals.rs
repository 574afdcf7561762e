//! Remembers which rows were removed, for copies that hold only changes.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use super::Row;
use crate::store_version::StoreVersion;

/// Number of removed rows that are remembered.
const MAX_REMOVED_ROWS: usize = 512;
/// Number of remembered gaps. A host reads the whole table when it starts, when the store has dropped
/// its history, and when the store comes back from an older copy, which happens a few times a day.
const MAX_GAPS: usize = 16;

/// Removed rows, and the versions between which some removals are unknown.
#[derive(Debug, Default)]
pub(super) struct Removals {
    rows: VecDeque<Row>,
    complete_after: StoreVersion,
    gaps: VecDeque<VersionGap>,
}

/// Range of versions that was skipped when the whole table was read. Rows that were written and
/// removed again within it are unknown.
#[derive(Debug, Clone, Copy)]
struct VersionGap {
    from: StoreVersion,
    to: StoreVersion,
}

impl Removals {
    /// Records a removed row.
    pub(super) fn note(&mut self, key: Arc<str>, version: StoreVersion) -> Row {
        let removed = Row {
            key,
            version,
            value: None,
        };
        self.rows.push_back(removed.clone());
        if self.rows.len() > MAX_REMOVED_ROWS {
            let forgotten = self.rows.pop_front();
            let before = forgotten.map_or(StoreVersion::default(), |row| row.version);
            self.complete_after = self.complete_after.max(before);
        }
        removed
    }

    /// Records that the whole table was read, with the changes between two versions unknown.
    pub(super) fn note_gap(&mut self, from: StoreVersion, to: StoreVersion) {
        self.gaps.push_back(VersionGap { from, to });
        if self.gaps.len() > MAX_GAPS {
            let forgotten = self.gaps.pop_front();
            let to = forgotten.map_or(StoreVersion::default(), |gap| gap.to);
            self.complete_after = self.complete_after.max(to);
        }
    }

    /// Returns whether rows that this host does not know of may have been removed after a version.
    /// A host that has just started knows no removals from before its first list. If it sent only
    /// changes, the receiver would keep endpoints that have left in use for good. The keys of all
    /// rows show which rows are gone and take a fraction of the memory of whole rows.
    pub(super) fn are_incomplete_after(&self, after: StoreVersion) -> bool {
        let is_within = |gap: &VersionGap| gap.from < after && after < gap.to;
        after > StoreVersion::default()
            && (after < self.complete_after || self.gaps.iter().any(is_within))
    }

    /// Iterates over the remembered rows, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter()
    }

    /// Returns the keys of the remembered rows. Some of them may have been written again.
    pub(super) fn keys(&self) -> BTreeSet<Arc<str>> {
        self.rows.iter().map(|row| row.key.clone()).collect()
    }
}
