//! Bounds the copies of tables that a host gives at once.

/// Bytes of copies that are on their way at once. Several copies of a usual table fit, and of the longest one
/// as many as a small host sends within the time that a fetch may take.
const MOST_BYTES: u64 = 4 * 1_024 * 1_024;

/// Copies of tables that this host is giving.
///
/// After a loss of power all hosts of a fleet start together and ask the few that know the tables. A host that gives
/// them all at once gives none of them in time: each fetch runs out of time and is begun anew, and
/// nobody learns of the endpoints.
///
/// ```
/// use sedgeridge_fleet::table_copy_budget::TableCopyBudget;
///
/// let mut load = TableCopyBudget::default();
/// assert!(load.try_start(4_000_000));
/// assert!(!load.try_start(1_000_000));
/// load.finish(4_000_000);
/// assert!(load.try_start(1_000_000));
/// ```
#[derive(Debug, Default)]
pub struct TableCopyBudget {
    bytes: u64,
}

impl TableCopyBudget {
    /// Takes a copy of that length, or tells that whoever asks for it should come again.
    pub fn try_start(&mut self, bytes: u64) -> bool {
        if self.bytes > 0 && self.bytes + bytes > MOST_BYTES {
            return false;
        }
        self.bytes += bytes;
        true
    }

    /// Notes that a copy has been given, or was given up.
    pub fn finish(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}
