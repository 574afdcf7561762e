//! Holds back rows that an older copy of the store brought back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Row;
use crate::store_version::StoreVersion;

/// Rows whose removal was lost with the store's later versions. Their writers or the platform remove
/// them again within seconds; until then an endpoint that left must not come back into use. A row that
/// is still there afterwards is in use again.
#[derive(Debug, Default)]
pub(super) struct ReturnedRows {
    rows: BTreeMap<Arc<str>, Row>,
    held_until: Duration,
}

impl ReturnedRows {
    /// Holds back rows, and all that are held already, until a time.
    pub(super) fn hold(&mut self, rows: Vec<Row>, until: Duration) {
        let rows = rows.into_iter().map(|row| (row.key.clone(), row));
        self.rows.extend(rows);
        self.held_until = until;
    }

    /// Returns whether a row is held back in this version or a later one.
    pub(super) fn holds(&self, row: &Row) -> bool {
        let held = self.rows.get(&row.key);
        held.is_some_and(|held| held.version >= row.version)
    }

    /// Returns the keys of the rows.
    pub(super) fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.rows.keys()
    }

    /// Drops a row that was written or removed again at a version. Returns whether it was held.
    pub(super) fn drop_row(&mut self, key: &str, version: StoreVersion) -> bool {
        let is_older = self.rows.get(key).is_some_and(|row| row.version <= version);
        if is_older {
            self.rows.remove(key);
        }
        is_older
    }

    /// Drops rows that are missing from the keys as of a version.
    pub(super) fn retain_listed(&mut self, keys: &BTreeSet<Arc<str>>, version: StoreVersion) {
        self.rows
            .retain(|key, row| row.version > version || keys.contains(key));
    }

    /// Takes all rows if the time is over.
    pub(super) fn take_expired(&mut self, now: Duration) -> Vec<Row> {
        if now < self.held_until {
            return Vec::new();
        }
        std::mem::take(&mut self.rows).into_values().collect()
    }

    /// Returns the time at which the rows are in use again, if there are any.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        (!self.rows.is_empty()).then_some(self.held_until)
    }

    /// Iterates over the held rows.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }
}
