//! What the answers of the table mean for the orders.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::lease_record::EPOCH_KEY;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::millis;

use crate::order_events::OrderAction;
use crate::orders::Orders;
use crate::orders::Purpose;
use crate::orders::job::Job;
use crate::orders::job::Stage;
use crate::store_call::StoreEvent;
use crate::store_call::StoreResult;
use crate::store_call::StoreRow;
use crate::store_call::find_row;

impl Orders {
    pub(super) fn take_store_answer(
        &mut self,
        now: Duration,
        event: StoreEvent,
        actions: &mut Vec<OrderAction>,
    ) {
        match (self.pending.remove(&event.call), event.result) {
            (Some(Purpose::Recover | Purpose::Poll), StoreResult::Rows(rows)) => {
                self.take_orders(now, &rows);
            }
            (Some(Purpose::Poll), _) => {}
            (Some(Purpose::Recover), _) => {
                self.recover_at = now + millis(self.settings.store_retry_ms);
            }
            (Some(Purpose::Write(endpoint)), StoreResult::Committed { version }) => {
                self.written(&endpoint, version, actions);
            }
            (Some(Purpose::Write(endpoint)), StoreResult::Conflict { rows }) => {
                self.conflicted(now, &endpoint, &rows, actions);
            }
            (Some(Purpose::Write(endpoint)), StoreResult::Unknown) => {
                self.read_row(&endpoint, actions);
            }
            (Some(Purpose::ReadBack(endpoint)), StoreResult::Rows(rows)) => {
                if !self.take_own_row(&endpoint, &rows, actions) {
                    self.write_again(now, &endpoint);
                }
            }
            (Some(Purpose::Write(endpoint) | Purpose::ReadBack(endpoint)), _) => {
                self.write_again(now, &endpoint);
            }
            (None, _) => {}
        }
    }

    /// Takes up the orders that earlier holders left open, or that operators wrote.
    fn take_orders(&mut self, now: Duration, rows: &[StoreRow]) {
        let is_first_read = self.known.is_none();
        let known = self.known.get_or_insert_default();
        for row in rows {
            self.read_version = self.read_version.max(row.version);
            let Some(record) = row.value.as_deref().and_then(OrderRecord::decode) else {
                continue;
            };
            let endpoint = record.endpoint.clone();
            // The holder before may have announced this drain a moment ago.
            if is_first_read && record.order.requires_idle_engine() {
                self.pools.assume_heeded(&endpoint);
            }
            let is_old = known.get(&endpoint).is_some_and(|(_, v)| row.version <= *v);
            if is_old || self.jobs.contains_key(&endpoint) {
                continue;
            }
            if record.state == OrderState::Intended {
                let job = Job {
                    record: record.clone(),
                    version: row.version,
                    stage: Stage::AwaitingFloor,
                    write_at: Some(now),
                    sends: 0,
                };
                self.jobs.insert(endpoint.clone(), job);
            }
            known.insert(endpoint, (record, row.version));
        }
    }

    fn written(&mut self, endpoint: &EndpointId, version: u64, actions: &mut Vec<OrderAction>) {
        let Some(job) = self.jobs.get_mut(endpoint) else {
            return;
        };
        job.version = version;
        let record = job.record.clone();
        if let Some(known) = &mut self.known {
            known.insert(endpoint.clone(), (record.clone(), version));
        }
        if record.state == OrderState::Intended {
            job.stage = Stage::AwaitingFloor;
            return;
        }
        self.jobs.remove(endpoint);
        self.pools.undrain(endpoint);
        if record.order.requires_idle_engine() {
            actions.push(OrderAction::Undrain(endpoint.clone()));
        }
        actions.push(OrderAction::Ended {
            endpoint: endpoint.clone(),
            number: record.number,
            state: record.state,
        });
    }

    fn conflicted(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        rows: &[StoreRow],
        actions: &mut Vec<OrderAction>,
    ) {
        let epoch_is_over = find_row(rows, EPOCH_KEY).is_some();
        if !epoch_is_over && self.take_own_row(endpoint, rows, actions) {
            return;
        }
        if epoch_is_over {
            self.take_lease(now, None);
        } else {
            // The orders were read stale.
            self.forget_orders(now + millis(self.settings.store_retry_ms));
        }
    }

    /// Settles a write whose answer was lost, if its row stands in the table.
    fn take_own_row(
        &mut self,
        endpoint: &EndpointId,
        rows: &[StoreRow],
        actions: &mut Vec<OrderAction>,
    ) -> bool {
        let Some(row) = find_row(rows, &order_key(endpoint)) else {
            return false;
        };
        let record = row.value.as_deref().and_then(OrderRecord::decode);
        let job = self.jobs.get(endpoint);
        if record.is_none() || record.as_ref() != job.map(|j| &j.record) {
            return false;
        }
        self.written(endpoint, row.version, actions);
        true
    }

    fn write_again(&mut self, now: Duration, endpoint: &EndpointId) {
        let at = now + millis(self.settings.store_retry_ms);
        if let Some(job) = self.jobs.get_mut(endpoint) {
            job.write_at = Some(at);
        }
    }
}
