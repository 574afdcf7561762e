//! Sends the store calls of the claims.

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

/// A store call in flight and the writes that it makes or reads back.
#[derive(Debug)]
pub(super) struct CallInFlight {
    pub(super) is_read_back: bool,
    pub(super) items: Vec<BatchItem>,
}

impl Claims {
    pub(super) fn send_batches(&mut self, now: Duration, actions: &mut Vec<ClaimAction>) {
        if self.breaker.is_open(now) {
            return;
        }
        let is_probing = self.breaker.is_probing();
        while self
            .queue
            .should_send(now, self.calls_in_flight.len(), is_probing)
        {
            let mut items = self.queue.take_batch(now);
            items.retain(|item| self.is_latest_write(item));
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
        self.calls_in_flight.insert(
            call,
            CallInFlight {
                is_read_back,
                items,
            },
        );
    }

    /// Returns an index row that lists the new claims of a transaction under their expiry.
    ///
    /// Without it the sweep would have to read every claim of the retention time to find the
    /// expired ones.
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

    /// Reads the rows of a transaction without answer, to learn its result.
    pub(super) fn send_read_back(
        &mut self,
        sent_call: CallInFlight,
        actions: &mut Vec<ClaimAction>,
    ) {
        for item in &sent_call.items {
            if let Some(entry) = self.entries.get_mut(&item.key) {
                entry.write_unconfirmed = true;
            }
        }
        if sent_call.items.is_empty() {
            return;
        }
        let keys = sent_call.items.iter().map(|i| Arc::clone(&i.key)).collect();
        let call = self.calls.next();
        let query = StoreQuery::Keys(keys);
        actions.push(ClaimAction::Store(StoreAction::Read { call, query }));
        let items = sent_call.items;
        let is_read_back = true;
        self.calls_in_flight.insert(
            call,
            CallInFlight {
                is_read_back,
                items,
            },
        );
    }
}
