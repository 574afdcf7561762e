//! Applies the results of store calls to the claims that made them.

use std::sync::Arc;
use std::time::Duration;

use crate::claim_events::ClaimAction;
use crate::claim_events::ClaimRefusal;
use crate::claims::Claims;
use crate::claims::entry::KeyStatus;
use crate::claims::entry::Stage;
use crate::claims::queue::BatchItem;
use crate::store_call::StoreEvent;
use crate::store_call::StoreResult;
use crate::store_call::StoreRow;
use crate::store_call::find_row;

impl Claims {
    pub(super) fn handle_store_event(
        &mut self,
        now: Duration,
        event: StoreEvent,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(mut call) = self.calls_in_flight.remove(&event.call) else {
            return;
        };
        call.items.retain(|item| self.is_latest_write(item));
        match event.result {
            StoreResult::Committed { version } => {
                self.breaker.record_success();
                for item in &call.items {
                    self.settle(now, &item.key, KeyStatus::OwnWrite(version), actions);
                }
            }
            StoreResult::Conflict { rows } => {
                self.breaker.record_success();
                self.settle_conflict(now, &call.items, &rows, actions);
            }
            StoreResult::Rows(rows) if call.is_read_back => {
                self.breaker.record_success();
                for item in &call.items {
                    self.settle_read_back(now, &item.key, find_row(&rows, &item.key), actions);
                }
            }
            StoreResult::Unknown if !call.is_read_back => self.send_read_back(call, actions),
            StoreResult::Rows(_) | StoreResult::Unavailable | StoreResult::Unknown => {
                self.breaker.record_failure(now);
                self.settle_failure(now, &call.items, actions);
            }
        }
    }

    /// Settles the claims that made a shared transaction fail, and queues the others again.
    fn settle_conflict(
        &mut self,
        now: Duration,
        items: &[BatchItem],
        rows: &[StoreRow],
        actions: &mut Vec<ClaimAction>,
    ) {
        for item in items {
            let Some(row) = find_row(rows, &item.key) else {
                self.enqueue(&item.key, now);
                continue;
            };
            if let Some(entry) = self.entries.get(&item.key) {
                let status = entry.status_from_row(Some(row), &self.live_members);
                self.settle(now, &item.key, status, actions);
            }
        }
    }

    /// Settles a write whose answer was lost.
    ///
    /// Only the entry's own record is proof. A missing row may be a stale read or a write that is
    /// still in transit. If it counted as "not done", another request could get the claim and both
    /// would run. So in every other case the same conditional write is repeated, as its answer is
    /// exact.
    fn settle_read_back(
        &mut self,
        now: Duration,
        key: &Arc<str>,
        row: Option<&StoreRow>,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let status @ KeyStatus::OwnWrite(_) = entry.status_from_row(row, &self.live_members) {
            self.settle(now, key, status, actions);
            return;
        }
        entry.failures += 1;
        let due = now + self.retry_backoff.delay(entry.failures);
        match entry.stage {
            Stage::Claiming => self.enqueue(key, now),
            Stage::Dispatched | Stage::Recording => self.enqueue_delayed(key, due),
        }
    }

    fn settle(
        &mut self,
        now: Duration,
        key: &Arc<str>,
        status: KeyStatus,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight = false;
        match (status, entry.stage) {
            (KeyStatus::OwnWrite(version), Stage::Claiming) => {
                entry.version = version;
                entry.write_unconfirmed = false;
                entry.abandoned_attempts.clear();
                entry.stage = Stage::Dispatched;
                actions.extend(entry.request.clone().map(ClaimAction::Dispatch));
            }
            (KeyStatus::Writable(version), _) => {
                entry.version = version;
                self.enqueue(key, now);
            }
            (status, Stage::Claiming) => {
                let request = entry.request.clone();
                self.entries.remove(key);
                if let Some(request) = request {
                    self.requests.remove(&request);
                    self.answer(now, request, status, actions);
                }
            }
            (_, Stage::Dispatched | Stage::Recording) => {
                self.entries.remove(key);
            }
        }
    }

    /// Ends writes that failed in the store, and every claim that waits for a transaction.
    fn settle_failure(
        &mut self,
        now: Duration,
        items: &[BatchItem],
        actions: &mut Vec<ClaimAction>,
    ) {
        for item in items {
            if let Some(entry) = self.entries.get_mut(&item.key) {
                entry.in_flight = false;
            }
        }
        let mut waiting = items.to_vec();
        waiting.extend(self.queue.take_ready());
        for item in waiting {
            if !self.is_latest_write(&item) {
                continue;
            }
            let Some(entry) = self.entries.get_mut(&item.key) else {
                continue;
            };
            entry.failures += 1;
            let due = now + self.retry_backoff.delay(entry.failures);
            match entry.request.clone() {
                Some(request) => {
                    self.give_up(now, &request, ClaimRefusal::StoreUnavailable, actions);
                }
                None => self.enqueue_delayed(&item.key, due),
            }
        }
    }
}
