//! Orders to engines. The holder first writes the intent to the table and then sends the order; the
//! next holder completes what is left open.
//!
//! The intent's write is the commit point. A holder that dies before it has had no effect. If a
//! holder dies after it, the next holder completes the order, as it reads all open intents before
//! it accepts new orders. Instead of a log there is one row for each endpoint, replaced by the next
//! order, so nothing has to be invalidated or compacted.

mod drain;
mod job;
mod pools;
mod reads;
mod settle;
mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::lease_record::EPOCH_KEY;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderRecord;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::order_record::order_key;
use sedgeridge_state::settings::millis;

use crate::lease_events::HeldLease;
use crate::order_events::EngineAnswer;
use crate::order_events::OrderAction;
use crate::order_events::OrderEvent;
use crate::order_events::OrderRejection;
use crate::order_events::OrderSettings;
use crate::order_events::SendOrder;
use crate::orders::job::Job;
use crate::orders::job::Stage;
use crate::orders::pools::Pools;
use crate::store_call::CallCounter;
use crate::store_call::CallId;
use crate::store_call::StoreAction;
use crate::store_call::StoreCheck;
use crate::store_call::StoreWrite;

pub use crate::orders::view::OpenOrder;

/// Purpose of a store call in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CallPurpose {
    FullRead,
    Poll,
    Write(EndpointId),
    ReadBack(EndpointId),
}

/// Orders of the lease holder.
#[derive(Debug)]
pub struct Orders {
    settings: OrderSettings,
    pools: Pools,
    lease: Option<HeldLease>,
    /// Newest order and its row version by endpoint; none until all were read, and no order is
    /// accepted before that.
    latest: Option<BTreeMap<EndpointId, (OrderRecord, u64)>>,
    jobs: BTreeMap<EndpointId, Job>,
    next_load_at: Duration,
    next_load_drain_at: Duration,
    next_full_read_at: Duration,
    next_poll_at: Duration,
    /// Highest version among the rows read; a poll reads only newer rows.
    read_version: u64,
    calls: CallCounter,
    pending: BTreeMap<CallId, CallPurpose>,
}

impl Orders {
    /// Creates the order state of a process that does not hold the lease.
    ///
    /// ```
    /// use sedgeridge_coordination::order_events::OrderSettings;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// let orders = Orders::new(OrderSettings::default());
    /// ```
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            pools: Pools::default(),
            lease: None,
            latest: None,
            jobs: BTreeMap::new(),
            next_load_at: Duration::ZERO,
            next_load_drain_at: Duration::ZERO,
            next_full_read_at: Duration::ZERO,
            next_poll_at: Duration::ZERO,
            read_version: 0,
            calls: CallCounter::default(),
            pending: BTreeMap::new(),
        }
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::order_events::*;
    /// use sedgeridge_coordination::orders::Orders;
    ///
    /// let mut orders = Orders::new(OrderSettings::default());
    /// let mut actions = Vec::new();
    /// orders.handle(Duration::ZERO, OrderEvent::Tick, &mut actions);
    /// assert!(actions.is_empty());
    /// ```
    pub fn handle(&mut self, now: Duration, event: OrderEvent, actions: &mut Vec<OrderAction>) {
        let drain_expiry = millis(self.settings.drain_expiry_ms);
        self.pools.set_now(now, drain_expiry);
        match event {
            OrderEvent::Configured { endpoints, floors } => self.pools.configure(endpoints, floors),
            OrderEvent::Lease(lease) => self.set_lease(now, lease),
            OrderEvent::Requested { endpoint, order } => self.admit(now, endpoint, order, actions),
            OrderEvent::EndpointState {
                endpoint,
                serving,
                in_progress,
                as_of,
            } => self.pools.set_report(endpoint, serving, in_progress, as_of),
            OrderEvent::DrainAnnounced { endpoint } => self.note_announcement(now, &endpoint),
            OrderEvent::EndpointUnknown { endpoint } => self.pools.forget_report(&endpoint),
            OrderEvent::Answered {
                endpoint,
                number,
                answer,
            } => self.handle_engine_answer(now, &endpoint, number, answer),
            OrderEvent::ReadBack {
                endpoint,
                number,
                in_effect,
            } => self.handle_read_back(now, &endpoint, number, in_effect),
            OrderEvent::Store(event) => self.handle_store_event(now, event, actions),
            OrderEvent::Tick => {}
        }
        if self.lease.is_some_and(|lease| now < lease.deadline) {
            self.advance(now, actions);
        }
    }

    fn set_lease(&mut self, now: Duration, lease: Option<HeldLease>) {
        let fencing = |lease: Option<HeldLease>| lease.map(|l| l.fencing);
        if fencing(lease) != fencing(self.lease) {
            self.reset_orders(now);
            // The previous holder may have used up the weight store's rate limit just now.
            self.next_load_at = now + millis(self.settings.load_interval_ms);
            self.next_load_drain_at = now;
        }
        self.lease = lease;
    }

    /// Forgets all orders, so that they are read again before any is given.
    fn reset_orders(&mut self, read_at: Duration) {
        self.latest = None;
        self.jobs.clear();
        self.pending.clear();
        self.pools.end_all_drains();
        self.read_version = 0;
        self.next_full_read_at = read_at;
    }

    fn admit(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        order: EngineOrder,
        actions: &mut Vec<OrderAction>,
    ) {
        let lease = self.lease.filter(|lease| now < lease.deadline);
        let (reason, fencing) = match (lease, &self.latest) {
            (None, _) => (Some(OrderRejection::NotLeaseHolder), None),
            (_, None) => (Some(OrderRejection::Recovering), None),
            _ if self.jobs.contains_key(&endpoint) => (Some(OrderRejection::OrderInProgress), None),
            _ if self.pools.get(&endpoint).is_none() => {
                (Some(OrderRejection::UnknownEndpoint), None)
            }
            (Some(lease), Some(_)) => (None, Some(lease.fencing)),
        };
        if let Some(reason) = reason {
            actions.push(OrderAction::Rejected { endpoint, reason });
            return;
        }
        let Some(fencing) = fencing else {
            return;
        };
        let last = self
            .latest
            .as_ref()
            .and_then(|latest| latest.get(&endpoint));
        let record = OrderRecord {
            endpoint: endpoint.clone(),
            number: last.map_or(0, |(record, _)| record.number) + 1,
            fencing,
            order,
            state: OrderState::Intended,
        };
        let job = Job {
            record,
            version: last.map_or(0, |(_, version)| *version),
            stage: Stage::WritingIntent,
            write_at: Some(now),
            send_count: 0,
        };
        self.jobs.insert(endpoint, job);
    }

    fn handle_engine_answer(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        number: u64,
        answer: EngineAnswer,
    ) {
        let Some(job) = self.job_with_number(endpoint, number) else {
            return;
        };
        if !matches!(job.stage, Stage::Sent { .. }) {
            return;
        }
        let is_only_copy = job.send_count == 1;
        let checks_fencing = self.pools.get(endpoint).is_some_and(|e| e.checks_fencing);
        let read_at = now + millis(self.settings.max_order_delay_ms);
        match answer {
            EngineAnswer::Done if checks_fencing && is_only_copy => {
                self.finish(now, endpoint, OrderState::Done);
            }
            // An older holder's order, or another copy of this one, may still be in transit. The
            // engine would obey it, which would undo the next order.
            EngineAnswer::Done => self.set_stage(endpoint, Stage::AwaitingReadBack { read_at }),
            EngineAnswer::Refused => self.finish(now, endpoint, OrderState::Refused),
            EngineAnswer::OldFencing => self.set_lease(now, None),
            EngineAnswer::Unknown => {}
        }
    }

    fn handle_read_back(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        number: u64,
        in_effect: Option<bool>,
    ) {
        let Some(job) = self.job_with_number(endpoint, number) else {
            return;
        };
        if !matches!(job.stage, Stage::AwaitingReadBack { .. }) {
            return;
        }
        match in_effect {
            Some(true) => self.finish(now, endpoint, OrderState::Done),
            Some(false) => self.set_stage(endpoint, Stage::AwaitingSend),
            None => {}
        }
    }

    fn job_with_number(&self, endpoint: &EndpointId, number: u64) -> Option<&Job> {
        let job = self.jobs.get(endpoint)?;
        (job.record.number == number).then_some(job)
    }

    fn set_stage(&mut self, endpoint: &EndpointId, stage: Stage) {
        if let Some(job) = self.jobs.get_mut(endpoint) {
            job.stage = stage;
        }
    }

    fn finish(&mut self, now: Duration, endpoint: &EndpointId, state: OrderState) {
        if let (Some(lease), Some(job)) = (self.lease, self.jobs.get_mut(endpoint)) {
            job.record.state = state;
            job.record.fencing = lease.fencing;
            job.stage = Stage::WritingEnd;
            job.write_at = Some(now);
        }
    }

    fn advance(&mut self, now: Duration, actions: &mut Vec<OrderAction>) {
        self.read_orders(now, actions);
        let endpoints: Vec<_> = self.jobs.keys().cloned().collect();
        for endpoint in &endpoints {
            self.advance_job(now, endpoint, actions);
        }
    }

    fn begin_call(&mut self, purpose: CallPurpose) -> CallId {
        let call = self.calls.next();
        self.pending.insert(call, purpose);
        call
    }

    fn advance_job(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        actions: &mut Vec<OrderAction>,
    ) {
        let Some(job) = self.jobs.get(endpoint) else {
            return;
        };
        match job.stage {
            Stage::WritingIntent | Stage::WritingEnd => self.write_row(now, endpoint, actions),
            Stage::AwaitingFloor if !job.record.order.requires_idle_engine() => {
                self.set_stage(endpoint, Stage::AwaitingSend);
                self.send(now, endpoint, actions);
            }
            Stage::AwaitingFloor => {
                self.begin_drain(now, endpoint, actions);
            }
            Stage::Draining { announced } => {
                if self.is_drained(now, endpoint, announced) {
                    self.set_stage(endpoint, Stage::AwaitingSend);
                    self.send(now, endpoint, actions);
                }
            }
            Stage::AwaitingSend => self.send(now, endpoint, actions),
            Stage::Sent { repeat_at } if repeat_at <= now => self.send(now, endpoint, actions),
            Stage::AwaitingReadBack { read_at } if read_at <= now => {
                self.request_read_back(now, endpoint, actions);
            }
            Stage::Sent { .. } | Stage::AwaitingReadBack { .. } => {}
        }
    }

    fn send(&mut self, now: Duration, endpoint: &EndpointId, actions: &mut Vec<OrderAction>) {
        let (Some(lease), Some(job)) = (self.lease, self.jobs.get_mut(endpoint)) else {
            return;
        };
        let Some(engine) = self.pools.get(endpoint) else {
            return;
        };
        if !engine.checks_fencing && now < lease.unfenced_orders_from {
            return;
        }
        if job.record.order.reads_weights() {
            if now < self.next_load_at {
                return;
            }
            self.next_load_at = now + millis(self.settings.load_interval_ms);
        }
        let repeat_at = now + millis(self.settings.answer_timeout_ms);
        // Half of the longest delay is for this process, half for the network.
        let latest_send_at = now + millis(self.settings.max_order_delay_ms / 2);
        job.stage = Stage::Sent { repeat_at };
        job.send_count += 1;
        actions.push(OrderAction::Send(SendOrder {
            endpoint: endpoint.clone(),
            number: job.record.number,
            order: job.record.order.clone(),
            fencing: lease.fencing,
            not_after: lease.deadline.min(latest_send_at),
        }));
    }

    fn request_read_back(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        actions: &mut Vec<OrderAction>,
    ) {
        let read_at = now + millis(self.settings.answer_timeout_ms);
        if let Some(job) = self.jobs.get_mut(endpoint) {
            job.stage = Stage::AwaitingReadBack { read_at };
            actions.push(OrderAction::ReadBack {
                endpoint: endpoint.clone(),
                number: job.record.number,
                order: job.record.order.clone(),
            });
        }
    }

    /// Writes the job's row, on condition that the epoch and the row's version are unchanged.
    ///
    /// The deadline alone is not enough: a write delayed in the network could overwrite the row of
    /// a later holder, and a completed order would be sent again.
    fn write_row(&mut self, now: Duration, endpoint: &EndpointId, actions: &mut Vec<OrderAction>) {
        let (Some(lease), Some(job)) = (self.lease, self.jobs.get_mut(endpoint)) else {
            return;
        };
        if job.write_at.is_none_or(|at| now < at) {
            return;
        }
        job.write_at = None;
        let key = order_key(endpoint);
        let checks = vec![
            StoreCheck {
                key: EPOCH_KEY.into(),
                version: lease.epoch_version,
            },
            StoreCheck {
                key: key.clone(),
                version: job.version,
            },
        ];
        let value = Some(job.record.encode().into());
        let writes = vec![StoreWrite { key, value }];
        let call = self.begin_call(CallPurpose::Write(endpoint.clone()));
        actions.push(OrderAction::Store(StoreAction::Transact {
            call,
            checks,
            writes,
        }));
    }
}
