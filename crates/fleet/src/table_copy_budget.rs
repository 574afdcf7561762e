//! Limits the copies of tables that a host sends to other hosts at the same time.

/// Maximum number of bytes of copies in transfer. Several copies of a usual table fit, and as many copies of the longest
/// table as a small host can send within the timeout of a fetch.
const MAX_BYTES: u64 = 4 * 1_024 * 1_024;

/// Copies of tables that this host is sending.
///
/// After a power failure all hosts of a fleet start together and fetch the tables from the few hosts that know them. If a
/// host sends all copies at once, none arrives in time: each fetch times out and is started again, and no host learns of
/// the endpoints.
///
/// ```
/// use sedgeridge_fleet::table_copy_budget::TableCopyBudget;
///
/// let mut budget = TableCopyBudget::default();
/// assert!(budget.try_start(4_000_000));
/// assert!(!budget.try_start(1_000_000));
/// budget.finish(4_000_000);
/// assert!(budget.try_start(1_000_000));
/// ```
#[derive(Debug, Default)]
pub struct TableCopyBudget {
    in_transfer_bytes: u64,
}

impl TableCopyBudget {
    /// Starts a copy of `bytes` if it fits. If it returns false, the other host should ask again later.
    pub fn try_start(&mut self, bytes: u64) -> bool {
        if self.in_transfer_bytes > 0 && self.in_transfer_bytes + bytes > MAX_BYTES {
            return false;
        }
        self.in_transfer_bytes += bytes;
        true
    }

    /// Ends a copy that was sent completely or was aborted.
    pub fn finish(&mut self, bytes: u64) {
        self.in_transfer_bytes = self.in_transfer_bytes.saturating_sub(bytes);
    }
}
