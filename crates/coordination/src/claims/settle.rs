//! What the answers of the table mean for the claims that asked.

use std::sync::Arc;
use std::time::Duration;

use crate::claim_events::ClaimAction;
use crate::claim_events::ClaimRefusal;
use crate::claims::Claims;
use crate::claims::entry::Stage;
use crate::claims::entry::Verdict;
use crate::claims::queue::BatchItem;
use crate::store_call::StoreEvent;
use crate::store_call::StoreResult;
use crate::store_call::StoreRow;
use crate::store_call::find_row;

impl Claims {
    pub(super) fn take_answer(
        &mut self,
        now: Duration,
        event: StoreEvent,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(mut flight) = self.flights.remove(&event.call) else {
            return;
        };
        flight.items.retain(|item| self.is_current(item));
        match event.result {
            StoreResult::Committed { version } => {
                self.breaker.record_success();
                for item in &flight.items {
                    self.settle(now, &item.key, Verdict::Own(version), actions);
                }
            }
            StoreResult::Conflict { rows } => {
                self.breaker.record_success();
                self.split(now, &flight.items, &rows, actions);
            }
            StoreResult::Rows(rows) if flight.is_read_back => {
                self.breaker.record_success();
                for item in &flight.items {
                    self.read_back(now, &item.key, find_row(&rows, &item.key), actions);
                }
            }
            StoreResult::Unknown if !flight.is_read_back => self.send_read_back(flight, actions),
            StoreResult::Rows(_) | StoreResult::Unavailable | StoreResult::Unknown => {
                self.breaker.record_failure(now);
                self.fail(now, &flight.items, actions);
            }
        }
    }

    /// Settles the claims that made a shared transaction fail, and sends the others again.
    fn split(
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
                let verdict = entry.judge(Some(row), &self.alive);
                self.settle(now, &item.key, verdict, actions);
            }
        }
    }

    /// Settles a write whose answer was lost.
    ///
    /// Only the entry's own record proves anything here. A row that is missing may be a stale read
    /// or a write still on its way; taken for "not done", the claim would be given to another and
    /// both would run. So everything else is tried again by the same conditional write, whose
    /// answer is exact.
    fn read_back(
        &mut self,
        now: Duration,
        key: &Arc<str>,
        row: Option<&StoreRow>,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let verdict @ Verdict::Own(_) = entry.judge(row, &self.alive) {
            self.settle(now, key, verdict, actions);
            return;
        }
        entry.failures += 1;
        let due = now + self.retry.delay(entry.failures);
        match entry.stage {
            Stage::Claiming => self.enqueue(key, now),
            Stage::Dispatched | Stage::Recording => self.enqueue_later(key, due),
        }
    }

    fn settle(
        &mut self,
        now: Duration,
        key: &Arc<str>,
        verdict: Verdict,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight = false;
        match (verdict, entry.stage) {
            (Verdict::Own(version), Stage::Claiming) => {
                entry.version = version;
                entry.unsettled = false;
                entry.abandoned.clear();
                entry.stage = Stage::Dispatched;
                actions.extend(entry.request.clone().map(ClaimAction::Dispatch));
            }
            (Verdict::Free(version), _) => {
                entry.version = version;
                self.enqueue(key, now);
            }
            (verdict, Stage::Claiming) => {
                let request = entry.request.clone();
                self.entries.remove(key);
                if let Some(request) = request {
                    self.requests.remove(&request);
                    self.answer(now, request, verdict, actions);
                }
            }
            (_, Stage::Dispatched | Stage::Recording) => {
                self.entries.remove(key);
            }
        }
    }

    /// Ends writes that the store refused, and every claim that waits for it.
    fn fail(&mut self, now: Duration, items: &[BatchItem], actions: &mut Vec<ClaimAction>) {
        for item in items {
            if let Some(entry) = self.entries.get_mut(&item.key) {
                entry.in_flight = false;
            }
        }
        let mut waiting = items.to_vec();
        waiting.extend(self.queue.take_ready());
        for item in waiting {
            if !self.is_current(&item) {
                continue;
            }
            let Some(entry) = self.entries.get_mut(&item.key) else {
                continue;
            };
            entry.failures += 1;
            let due = now + self.retry.delay(entry.failures);
            match entry.request.clone() {
                Some(request) => {
                    self.give_up(now, &request, ClaimRefusal::StoreUnavailable, actions);
                }
                None => self.enqueue_later(&item.key, due),
            }
        }
    }
}
