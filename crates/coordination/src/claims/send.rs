//! The table calls of the claims.

use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::claim_record::ClaimIndex;

use crate::claim_events::ClaimAction;
use crate::claims::Claims;
use crate::claims::entry::Stage;
use crate::claims::queue::BatchItem;
use crate::store_call::StoreAction;
use crate::store_call::StoreCheck;
use crate::store_call::StoreQuery;
use crate::store_call::StoreWrite;

/// A call under way and the writes it is about.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) is_read_back: bool,
    pub(super) items: Vec<BatchItem>,
}

impl Claims {
    pub(super) fn send_batches(&mut self, now: Duration, actions: &mut Vec<ClaimAction>) {
        if self.breaker.is_open(now) {
            return;
        }
        let probing = self.breaker.is_probing();
        while self.queue.may_send(now, self.flights.len(), probing) {
            let mut items = self.queue.take_batch(now);
            items.retain(|item| self.is_current(item));
            if !items.is_empty() {
                self.send_transaction(items, actions);
            }
        }
    }

    fn send_transaction(&mut self, items: Vec<BatchItem>, actions: &mut Vec<ClaimAction>) {
        let mut checks = Vec::with_capacity(items.len());
        let mut writes = Vec::with_capacity(items.len());
        for item in &items {
            let Some(entry) = self.entries.get_mut(&item.key) else {
                continue;
            };
            entry.in_flight = true;
            checks.push(StoreCheck {
                key: Arc::clone(&item.key),
                version: entry.version,
            });
            writes.push(StoreWrite {
                key: Arc::clone(&item.key),
                value: Some(Arc::from(entry.record.encode())),
            });
        }
        writes.extend(self.index_write(&items));
        let call = self.calls.next();
        actions.push(ClaimAction::Store(StoreAction::Transact {
            call,
            checks,
            writes,
        }));
        let is_read_back = false;
        self.flights.insert(
            call,
            Flight {
                is_read_back,
                items,
            },
        );
    }

    /// Lists the new claims of a transaction under their expiry, for the sweep.
    ///
    /// Expired claims could not be found without reading every claim of the retention time.
    fn index_write(&self, items: &[BatchItem]) -> Option<StoreWrite> {
        let entries = items.iter().map(|item| (item, self.entries.get(&item.key)));
        let mut claims = entries
            .filter_map(|(item, entry)| Some((item, entry?)))
            .filter(|(_, entry)| entry.stage == Stage::Claiming)
            .peekable();
        let (_, last) = claims.clone().last()?;
        let (_, first) = claims.peek()?;
        let key = ClaimIndex::key(last.record.expires_at_ms, &first.record.attempt);
        let keys = claims.map(|(item, _)| Arc::clone(&item.key)).collect();
        let value = Some(Arc::from(ClaimIndex { keys }.encode()));
        Some(StoreWrite { key, value })
    }

    /// Asks what became of a transaction without answer.
    pub(super) fn send_read_back(&mut self, flight: Flight, actions: &mut Vec<ClaimAction>) {
        for item in &flight.items {
            if let Some(entry) = self.entries.get_mut(&item.key) {
                entry.unsettled = true;
            }
        }
        if flight.items.is_empty() {
            return;
        }
        let keys = flight.items.iter().map(|i| Arc::clone(&i.key)).collect();
        let call = self.calls.next();
        let query = StoreQuery::Keys(keys);
        actions.push(ClaimAction::Store(StoreAction::Read { call, query }));
        let items = flight.items;
        let is_read_back = true;
        self.flights.insert(
            call,
            Flight {
                is_read_back,
                items,
            },
        );
    }
}
