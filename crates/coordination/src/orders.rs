//! Orders to engines: intent in the table first, effect second, and the next holder completes.
//!
//! The intent's write is the commit point of the related paper: a holder that dies before it left
//! no effect, and one that dies after it has its order completed by the next holder, who reads all
//! open intents before it takes new orders. Instead of the paper's log there is one row for each
//! endpoint, replaced by the next order, so nothing has to be invalidated or compacted.

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
use crate::order_events::OrderRefusal;
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

/// What a call under way is for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Purpose {
    Recover,
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
    /// Newest orders by endpoint and their versions, once read; without it no order is taken.
    known: Option<BTreeMap<EndpointId, (OrderRecord, u64)>>,
    jobs: BTreeMap<EndpointId, Job>,
    next_load_at: Duration,
    next_load_drain_at: Duration,
    recover_at: Duration,
    poll_at: Duration,
    /// Highest version among the rows read; a poll leaves out what is not newer.
    read_version: u64,
    calls: CallCounter,
    pending: BTreeMap<CallId, Purpose>,
}

impl Orders {
    /// Creates the orders of a process that does not hold the lease.
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
            known: None,
            jobs: BTreeMap::new(),
            next_load_at: Duration::ZERO,
            next_load_drain_at: Duration::ZERO,
            recover_at: Duration::ZERO,
            poll_at: Duration::ZERO,
            read_version: 0,
            calls: CallCounter::default(),
            pending: BTreeMap::new(),
        }
    }

    /// Takes one event and appends what is to be done.
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
        let lapse = millis(self.settings.drain_lapse_ms);
        self.pools.set_now(now, lapse);
        match event {
            OrderEvent::Configured { endpoints, floors } => self.pools.configure(endpoints, floors),
            OrderEvent::Lease(lease) => self.take_lease(now, lease),
            OrderEvent::Want { endpoint, order } => self.want(now, endpoint, order, actions),
            OrderEvent::EndpointState {
                endpoint,
                serving,
                in_progress,
                as_of,
            } => self.pools.report(endpoint, serving, in_progress, as_of),
            OrderEvent::DrainAnnounced { endpoint } => self.note_announcement(now, &endpoint),
            OrderEvent::EndpointUnknown { endpoint } => self.pools.forget(&endpoint),
            OrderEvent::Answered {
                endpoint,
                number,
                answer,
            } => self.take_engine_answer(now, &endpoint, number, answer),
            OrderEvent::ReadBack {
                endpoint,
                number,
                in_effect,
            } => self.take_read_back(now, &endpoint, number, in_effect),
            OrderEvent::Store(event) => self.take_store_answer(now, event, actions),
            OrderEvent::Tick => {}
        }
        if self.lease.is_some_and(|lease| now < lease.deadline) {
            self.advance(now, actions);
        }
    }

    fn take_lease(&mut self, now: Duration, lease: Option<HeldLease>) {
        let fencing = |lease: Option<HeldLease>| lease.map(|l| l.fencing);
        if fencing(lease) != fencing(self.lease) {
            self.forget_orders(now);
            // The holder before may have spent the weight store's allowance just now.
            self.next_load_at = now + millis(self.settings.load_interval_ms);
            self.next_load_drain_at = now;
        }
        self.lease = lease;
    }

    /// Has all orders read again before any is given.
    fn forget_orders(&mut self, read_at: Duration) {
        self.known = None;
        self.jobs.clear();
        self.pending.clear();
        self.pools.forget_drains();
        self.read_version = 0;
        self.recover_at = read_at;
    }

    fn want(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        order: EngineOrder,
        actions: &mut Vec<OrderAction>,
    ) {
        let lease = self.lease.filter(|lease| now < lease.deadline);
        let (reason, fencing) = match (lease, &self.known) {
            (None, _) => (Some(OrderRefusal::NotHolder), None),
            (_, None) => (Some(OrderRefusal::Recovering), None),
            _ if self.jobs.contains_key(&endpoint) => (Some(OrderRefusal::Busy), None),
            _ if self.pools.get(&endpoint).is_none() => (Some(OrderRefusal::UnknownEndpoint), None),
            (Some(lease), Some(_)) => (None, Some(lease.fencing)),
        };
        if let Some(reason) = reason {
            actions.push(OrderAction::NotTaken { endpoint, reason });
            return;
        }
        let Some(fencing) = fencing else {
            return;
        };
        let last = self.known.as_ref().and_then(|known| known.get(&endpoint));
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
            sends: 0,
        };
        self.jobs.insert(endpoint, job);
    }

    fn take_engine_answer(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        number: u64,
        answer: EngineAnswer,
    ) {
        let Some(job) = self.job_at(endpoint, number) else {
            return;
        };
        if !matches!(job.stage, Stage::Sent { .. }) {
            return;
        }
        let is_only_copy = job.sends == 1;
        let checks_fencing = self.pools.get(endpoint).is_some_and(|e| e.checks_fencing);
        let at = now + millis(self.settings.max_order_delay_ms);
        match answer {
            EngineAnswer::Done if checks_fencing && is_only_copy => {
                self.end(now, endpoint, OrderState::Done);
            }
            // An older holder's order, or another copy of this one, may still be on its way to an
            // engine that would obey it, and undo the next order.
            EngineAnswer::Done => self.enter(endpoint, Stage::AwaitingReadBack { at }),
            EngineAnswer::Refused => self.end(now, endpoint, OrderState::Refused),
            EngineAnswer::OldFencing => self.take_lease(now, None),
            EngineAnswer::Unknown => {}
        }
    }

    fn take_read_back(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        number: u64,
        in_effect: Option<bool>,
    ) {
        let Some(job) = self.job_at(endpoint, number) else {
            return;
        };
        if !matches!(job.stage, Stage::AwaitingReadBack { .. }) {
            return;
        }
        match in_effect {
            Some(true) => self.end(now, endpoint, OrderState::Done),
            Some(false) => self.enter(endpoint, Stage::AwaitingSend),
            None => {}
        }
    }

    fn job_at(&self, endpoint: &EndpointId, number: u64) -> Option<&Job> {
        let job = self.jobs.get(endpoint)?;
        (job.record.number == number).then_some(job)
    }

    fn enter(&mut self, endpoint: &EndpointId, stage: Stage) {
        if let Some(job) = self.jobs.get_mut(endpoint) {
            job.stage = stage;
        }
    }

    fn end(&mut self, now: Duration, endpoint: &EndpointId, state: OrderState) {
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

    fn begin(&mut self, purpose: Purpose) -> CallId {
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
            Stage::WritingIntent | Stage::WritingEnd => self.write(now, endpoint, actions),
            Stage::AwaitingFloor if !job.record.order.requires_idle_engine() => {
                self.enter(endpoint, Stage::AwaitingSend);
                self.send(now, endpoint, actions);
            }
            Stage::AwaitingFloor => {
                self.begin_drain(now, endpoint, actions);
            }
            Stage::Draining { announced } => {
                if self.is_drained(now, endpoint, announced) {
                    self.enter(endpoint, Stage::AwaitingSend);
                    self.send(now, endpoint, actions);
                }
            }
            Stage::AwaitingSend => self.send(now, endpoint, actions),
            Stage::Sent { repeat_at } if repeat_at <= now => self.send(now, endpoint, actions),
            Stage::AwaitingReadBack { at } if at <= now => {
                self.ask_back(now, endpoint, actions);
            }
            Stage::Sent { .. } | Stage::AwaitingReadBack { .. } => {}
        }
    }

    fn send(&mut self, now: Duration, endpoint: &EndpointId, actions: &mut Vec<OrderAction>) {
        let (Some(lease), Some(job)) = (self.lease, self.jobs.get_mut(endpoint)) else {
            return;
        };
        let Some(known) = self.pools.get(endpoint) else {
            return;
        };
        if !known.checks_fencing && now < lease.unfenced_from {
            return;
        }
        if job.record.order.reads_weights() {
            if now < self.next_load_at {
                return;
            }
            self.next_load_at = now + millis(self.settings.load_interval_ms);
        }
        let repeat_at = now + millis(self.settings.answer_timeout_ms);
        // Half of the longest delay is for the process itself, half for the way.
        let stale_at = now + millis(self.settings.max_order_delay_ms / 2);
        job.stage = Stage::Sent { repeat_at };
        job.sends += 1;
        actions.push(OrderAction::Send(SendOrder {
            endpoint: endpoint.clone(),
            number: job.record.number,
            order: job.record.order.clone(),
            fencing: lease.fencing,
            not_after: lease.deadline.min(stale_at),
        }));
    }

    fn ask_back(&mut self, now: Duration, endpoint: &EndpointId, actions: &mut Vec<OrderAction>) {
        let at = now + millis(self.settings.answer_timeout_ms);
        if let Some(job) = self.jobs.get_mut(endpoint) {
            job.stage = Stage::AwaitingReadBack { at };
            actions.push(OrderAction::ReadBack {
                endpoint: endpoint.clone(),
                number: job.record.number,
                order: job.record.order.clone(),
            });
        }
    }

    /// Writes the job's row on condition that this epoch lasts and the row is as it was read.
    ///
    /// The deadline alone would not do: a write delayed in the network could overwrite the row of
    /// a later holder, and an order that was completed would be sent again.
    fn write(&mut self, now: Duration, endpoint: &EndpointId, actions: &mut Vec<OrderAction>) {
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
        let call = self.begin(Purpose::Write(endpoint.clone()));
        actions.push(OrderAction::Store(StoreAction::Transact {
            call,
            checks,
            writes,
        }));
    }
}
