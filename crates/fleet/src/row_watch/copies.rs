//! Copies of the known rows for other hosts.

use std::sync::Arc;
use std::time::Duration;

use super::Lapsing;
use super::LapsingRow;
use super::Row;
use super::RowWatch;
use super::TableCopy;
use crate::store_version::StoreVersion;

/// Rows of one copy, unless more were written by one transaction. A host that lacks more of them
/// asks again, so that the memory and the time of a copy do not depend on the length of the table.
const MAX_COPIED_ROWS: usize = 2_000;

impl RowWatch {
    /// Returns a copy for a host that knows all changes up to `after`: the oldest of the changes that
    /// it lacks.
    pub fn copy_after(&self, now: Duration, after: StoreVersion) -> TableCopy {
        let is_whole = after == StoreVersion::default();
        let lacks_removals = self.removals.are_incomplete_after(after);
        let removed = self
            .removals
            .iter()
            .filter(|_| !is_whole && !lacks_removals);
        let existing = self.rows.values().chain(self.returned.iter());
        let changed = existing.chain(removed);
        let mut changed: Vec<_> = changed.filter(|row| row.version > after).collect();
        let rest = take_oldest(&mut changed, MAX_COPIED_ROWS);
        let has_more = !rest.is_empty();
        let last_version = changed.last().map(|row| row.version);
        TableCopy {
            version: last_version
                .filter(|_| has_more)
                .unwrap_or(self.changed_version),
            is_whole,
            has_more,
            rows: changed.into_iter().cloned().collect(),
            lapsing: match has_more {
                true => Vec::new(),
                false => self.lapsing_after(now, after),
            },
            keys: lacks_removals.then(|| self.existing_keys()),
        }
    }

    /// Returns the keys of all rows in the store, as far as this host knows.
    fn existing_keys(&self) -> Vec<Arc<str>> {
        let keys = self.rows.keys().chain(self.returned.keys());
        keys.cloned().collect()
    }

    /// Returns the lapsing rows that went missing after a version. Without them a host that relies
    /// on copies would take their version as known and never learn of the removals.
    fn lapsing_after(&self, now: Duration, after: StoreVersion) -> Vec<LapsingRow> {
        let lapsing = self.lapsing.iter();
        let lapsing = lapsing.filter(|(_, lapsing)| lapsing.version > after);
        let to_row = |(key, lapsing): (&Arc<str>, &Lapsing)| LapsingRow {
            key: key.clone(),
            version: lapsing.version,
            remaining: lapsing.outage.rewrite_until.saturating_sub(now),
            outage_age: now.saturating_sub(lapsing.outage.lost_at),
            is_restored: lapsing.outage.is_restored,
        };
        lapsing.map(to_row).collect()
    }
}

/// Keeps the `count` rows with the lowest versions, in order, and returns the others. Rows that one
/// transaction wrote stay together: a host that knew only some of them would take all for known.
fn take_oldest<'a>(rows: &mut Vec<&'a Row>, count: usize) -> Vec<&'a Row> {
    if rows.len() <= count {
        return Vec::new();
    }
    rows.sort_unstable_by_key(|row| row.version);
    let last_version = rows[count - 1].version;
    let kept = rows.partition_point(|row| row.version <= last_version);
    rows.split_off(kept)
}
