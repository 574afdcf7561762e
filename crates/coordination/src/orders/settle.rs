//! Applies the results of store calls to the orders.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::lease_record::EPOCH_KEY;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::millis;

use crate::order_events::OrderAction;
use crate::orders::CallPurpose;
use crate::orders::Orders;
use crate::orders::job::Job;
use crate::orders::job::Stage;
use crate::store_call::StoreEvent;
use crate::store_call::StoreResult;
use crate::store_call::StoreRow;
use crate::store_call::find_row;

impl Orders {
    pub(super) fn handle_store_event(
        &mut self,
        now: Duration,
        event: StoreEvent,
        actions: &mut Vec<OrderAction>,
    ) {
        match (self.pending.remove(&event.call), event.result) {
            (Some(CallPurpose::FullRead | CallPurpose::Poll), StoreResult::Rows(rows)) => {
                self.apply_rows(now, &rows);
            }
            (Some(CallPurpose::Poll), _) => {}
            (Some(CallPurpose::FullRead), _) => {
                self.next_full_read_at = now + millis(self.settings.store_retry_ms);
            }
            (Some(CallPurpose::Write(endpoint)), StoreResult::Committed { version }) => {
                self.handle_written(&endpoint, version, actions);
            }
            (Some(CallPurpose::Write(endpoint)), StoreResult::Conflict { rows }) => {
                self.handle_conflict(now, &endpoint, &rows, actions);
            }
            (Some(CallPurpose::Write(endpoint)), StoreResult::Unknown) => {
                self.read_row(&endpoint, actions);
            }
            (Some(CallPurpose::ReadBack(endpoint)), StoreResult::Rows(rows)) => {
                if !self.confirm_written(&endpoint, &rows, actions) {
                    self.retry_write(now, &endpoint);
                }
            }
            (Some(CallPurpose::Write(endpoint) | CallPurpose::ReadBack(endpoint)), _) => {
                self.retry_write(now, &endpoint);
            }
            (None, _) => {}
        }
    }

    /// Starts jobs for the open orders that earlier holders left or operators wrote.
    fn apply_rows(&mut self, now: Duration, rows: &[StoreRow]) {
        let is_first_read = self.latest.is_none();
        let latest = self.latest.get_or_insert_default();
        for row in rows {
            self.read_version = self.read_version.max(row.version);
            let Some(record) = row.value.as_deref().and_then(OrderRecord::decode) else {
                continue;
            };
            let endpoint = record.endpoint.clone();
            // The previous holder may have announced this drain a moment ago.
            if is_first_read && record.order.requires_idle_engine() {
                self.pools.assume_honoured(&endpoint);
            }
            let is_old = latest
                .get(&endpoint)
                .is_some_and(|(_, v)| row.version <= *v);
            if is_old || self.jobs.contains_key(&endpoint) {
                continue;
            }
            if record.state == OrderState::Intended {
                let job = Job {
                    record: record.clone(),
                    version: row.version,
                    stage: Stage::AwaitingFloor,
                    write_at: Some(now),
                    send_count: 0,
                };
                self.jobs.insert(endpoint.clone(), job);
            }
            latest.insert(endpoint, (record, row.version));
        }
    }

    fn handle_written(
        &mut self,
        endpoint: &EndpointId,
        version: u64,
        actions: &mut Vec<OrderAction>,
    ) {
        let Some(job) = self.jobs.get_mut(endpoint) else {
            return;
        };
        job.version = version;
        let record = job.record.clone();
        if let Some(latest) = &mut self.latest {
            latest.insert(endpoint.clone(), (record.clone(), version));
        }
        if record.state == OrderState::Intended {
            job.stage = Stage::AwaitingFloor;
            return;
        }
        self.jobs.remove(endpoint);
        self.pools.end_drain(endpoint);
        if record.order.requires_idle_engine() {
            actions.push(OrderAction::Undrain(endpoint.clone()));
        }
        actions.push(OrderAction::Ended {
            endpoint: endpoint.clone(),
            number: record.number,
            state: record.state,
        });
    }

    fn handle_conflict(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        rows: &[StoreRow],
        actions: &mut Vec<OrderAction>,
    ) {
        let epoch_is_over = find_row(rows, EPOCH_KEY).is_some();
        if !epoch_is_over && self.confirm_written(endpoint, rows, actions) {
            return;
        }
        if epoch_is_over {
            self.set_lease(now, None);
        } else {
            // The read of the orders was stale.
            self.reset_orders(now + millis(self.settings.store_retry_ms));
        }
    }

    /// Completes a write whose answer was lost if its row is in the table; returns whether it is.
    fn confirm_written(
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
        self.handle_written(endpoint, row.version, actions);
        true
    }

    fn retry_write(&mut self, now: Duration, endpoint: &EndpointId) {
        let at = now + millis(self.settings.store_retry_ms);
        if let Some(job) = self.jobs.get_mut(endpoint) {
            job.write_at = Some(at);
        }
    }
}
