//! Batches the table writes of many claims into few transactions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::settings::millis;

use crate::claim_events::ClaimSettings;

/// One write of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BatchItem {
    pub(crate) key: Arc<str>,
    pub(crate) write_number: u64,
}

/// Writes that wait for a transaction.
#[derive(Debug)]
pub(crate) struct ClaimQueue {
    ready: VecDeque<BatchItem>,
    flush_at: Option<Duration>,
    delayed: BTreeMap<(Duration, u64), BatchItem>,
    max_batch_entries: usize,
    max_transactions_in_flight: usize,
    overlap_delay: Duration,
}

impl ClaimQueue {
    pub(crate) fn new(settings: &ClaimSettings) -> Self {
        Self {
            ready: VecDeque::new(),
            flush_at: None,
            delayed: BTreeMap::new(),
            max_batch_entries: settings.max_batch_entries,
            max_transactions_in_flight: settings.max_transactions_in_flight,
            overlap_delay: millis(settings.overlap_delay_ms),
        }
    }

    /// Adds a write that may join any transaction; at `due` a transaction is sent for it.
    pub(crate) fn push(&mut self, item: BatchItem, due: Duration) {
        self.flush_at = Some(self.flush_at.map_or(due, |at| at.min(due)));
        self.ready.push_back(item);
    }

    /// Adds a write that must not be sent before `due`.
    pub(crate) fn push_delayed(&mut self, item: BatchItem, due: Duration) {
        self.delayed.insert((due, item.write_number), item);
    }

    pub(crate) fn take_ready(&mut self) -> Vec<BatchItem> {
        self.flush_at = None;
        self.ready.drain(..).collect()
    }

    /// Returns whether a transaction is to be sent now.
    ///
    /// While one is in flight, further writes collect behind it, so batches grow with the load. A
    /// transaction without answer would hold up all claims for a whole timeout, so another may
    /// start after the overlap delay.
    pub(crate) fn should_send(
        &mut self,
        now: Duration,
        in_flight: usize,
        is_probing: bool,
    ) -> bool {
        self.move_due_writes(now);
        let Some(due) = self.flush_at else {
            return false;
        };
        if in_flight == 0 {
            return due <= now || self.ready.len() >= self.max_batch_entries;
        }
        !is_probing
            && in_flight < self.max_transactions_in_flight
            && due + self.overlap_delay <= now
    }

    pub(crate) fn take_batch(&mut self, now: Duration) -> Vec<BatchItem> {
        let count = self.ready.len().min(self.max_batch_entries);
        let batch = self.ready.drain(..count).collect();
        self.flush_at = (!self.ready.is_empty()).then_some(now);
        batch
    }

    pub(crate) fn next_flush(&self, in_flight: usize) -> Option<Duration> {
        let overlap_delay = if in_flight == 0 {
            Duration::ZERO
        } else {
            self.overlap_delay
        };
        let ready = self.flush_at.map(|at| at + overlap_delay);
        let ready = ready.filter(|_| in_flight < self.max_transactions_in_flight);
        let delayed = self.delayed.keys().next().map(|(due, _)| *due);
        [ready, delayed].into_iter().flatten().min()
    }

    fn move_due_writes(&mut self, now: Duration) {
        while let Some(first) = self.delayed.first_entry() {
            if first.key().0 > now {
                return;
            }
            let item = first.remove();
            self.push(item, now);
        }
    }
}
