//! Handling of a store that comes back from an older copy.

use std::time::Duration;

use super::PastOutage;
use super::Row;
use super::RowWatch;
use crate::store_version::StoreVersion;

/// Time for which rows whose removal is known are held back. The platform removes the entry of an
/// endpoint that is gone after three missed heartbeats, 3.6 s.
const RETURNED_HOLD: Duration = Duration::from_secs(4);

impl RowWatch {
    /// Records that the store came back from an older copy if a list or copy of a later era is to be
    /// applied. What the older copy lacks is written again by its writers within the rewrite window.
    pub(super) fn note_restoration(&mut self, now: Duration, version: StoreVersion) {
        if self.is_known() && version.era > self.changed_version.era {
            self.restoration = Some(PastOutage {
                lost_at: now,
                rewrite_until: now + self.restoration_window,
                is_restored: true,
            });
        }
    }

    /// Returns the return of the store from an older copy that explains why a row is missing.
    pub(super) fn restoration_of(&self, key: &str) -> Option<PastOutage> {
        let lapsing = self.lapsing.get(key).map(|lapsing| lapsing.outage);
        self.restoration
            .or(lapsing.filter(|outage| outage.is_restored))
    }

    /// Holds back rows of an older copy whose removal is known. Returns the other rows.
    pub(super) fn hold_back_returned(&mut self, rows: Vec<Row>) -> Vec<Row> {
        let Some(restoration) = self.restoration else {
            return rows;
        };
        let mut removed = self.removals.keys();
        removed.extend(self.returned.keys().cloned());
        let is_returned = |row: &Row| {
            let is_removed = removed.contains(&row.key) && !self.rows.contains_key(&row.key);
            is_removed && row.value.is_some()
        };
        let (returned, others) = rows.into_iter().partition(is_returned);
        let until = restoration.lost_at + RETURNED_HOLD;
        self.returned
            .hold(returned, until.max(restoration.rewrite_until));
        others
    }
}
