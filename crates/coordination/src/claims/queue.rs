//! Gathers the table writes of many claims into few transactions.

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
    pub(crate) step: u64,
}

/// Writes that wait for a transaction.
#[derive(Debug)]
pub(crate) struct ClaimQueue {
    ready: VecDeque<BatchItem>,
    flush_at: Option<Duration>,
    later: BTreeMap<(Duration, u64), BatchItem>,
    max_batch_entries: usize,
    max_transactions_in_flight: usize,
    stall: Duration,
}

impl ClaimQueue {
    pub(crate) fn new(settings: &ClaimSettings) -> Self {
        Self {
            ready: VecDeque::new(),
            flush_at: None,
            later: BTreeMap::new(),
            max_batch_entries: settings.max_batch_entries,
            max_transactions_in_flight: settings.max_transactions_in_flight,
            stall: millis(settings.overlap_delay_ms),
        }
    }

    /// Adds a write that may ride in any transaction and wants one of its own at `due`.
    pub(crate) fn push(&mut self, item: BatchItem, due: Duration) {
        self.flush_at = Some(self.flush_at.map_or(due, |at| at.min(due)));
        self.ready.push_back(item);
    }

    /// Adds a write that waits until `due`.
    pub(crate) fn push_later(&mut self, item: BatchItem, due: Duration) {
        self.later.insert((due, item.step), item);
    }

    pub(crate) fn take_ready(&mut self) -> Vec<BatchItem> {
        self.flush_at = None;
        self.ready.drain(..).collect()
    }

    /// Tells whether a transaction is to be sent now.
    ///
    /// While one is under way the others gather behind it, so batches grow with the load. One that
    /// got no answer would hold all claims up for a whole timeout; so a second may start after a
    /// stall.
    pub(crate) fn may_send(&mut self, now: Duration, in_flight: usize, probing: bool) -> bool {
        self.wake(now);
        let Some(due) = self.flush_at else {
            return false;
        };
        if in_flight == 0 {
            return due <= now || self.ready.len() >= self.max_batch_entries;
        }
        !probing && in_flight < self.max_transactions_in_flight && due + self.stall <= now
    }

    pub(crate) fn take_batch(&mut self, now: Duration) -> Vec<BatchItem> {
        let count = self.ready.len().min(self.max_batch_entries);
        let batch = self.ready.drain(..count).collect();
        self.flush_at = (!self.ready.is_empty()).then_some(now);
        batch
    }

    pub(crate) fn next_flush(&self, in_flight: usize) -> Option<Duration> {
        let stall = if in_flight == 0 {
            Duration::ZERO
        } else {
            self.stall
        };
        let ready = self.flush_at.map(|at| at + stall);
        let ready = ready.filter(|_| in_flight < self.max_transactions_in_flight);
        let later = self.later.keys().next().map(|(due, _)| *due);
        [ready, later].into_iter().flatten().min()
    }

    fn wake(&mut self, now: Duration) {
        while let Some(first) = self.later.first_entry() {
            if first.key().0 > now {
                return;
            }
            let item = first.remove();
            self.push(item, now);
        }
    }
}
