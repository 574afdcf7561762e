//! The coordinator's lease: at most one holder at a time, each identified by a fencing number.
//!
//! Wall clocks of different hosts are never compared. A candidate remembers the lease's version and
//! takes the lease over once its own clock has counted a whole term without a renewal. The holder
//! counts its term from the moment it sent the renewal, so it always stops before a candidate
//! starts.

mod view;

use std::time::Duration;

use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::EPOCH_KEY;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::lease_record::LEASE_KEY;
use sedgeridge_state::lease_record::LeaseRecord;
use sedgeridge_state::settings::millis;

use crate::backoff::Backoff;
use crate::lease_events::HeldLease;
use crate::lease_events::LeaseAction;
use crate::lease_events::LeaseEvent;
use crate::lease_events::LeaseSettings;
use crate::store_call::ABSENT_VERSION;
use crate::store_call::CallCounter;
use crate::store_call::CallId;
use crate::store_call::StoreAction;
use crate::store_call::StoreCheck;
use crate::store_call::StoreEvent;
use crate::store_call::StoreQuery;
use crate::store_call::StoreResult;
use crate::store_call::StoreRow;
use crate::store_call::StoreWrite;
use crate::store_call::find_row;

/// A store call in progress and the record it writes, if any.
#[derive(Debug)]
struct PendingCall {
    call: CallId,
    record: Option<LeaseRecord>,
    sent_at: Duration,
}

/// A write whose answer was lost. A retry writes the same record, so the term is counted from the
/// first attempt: whichever attempt took effect, the term is then not too long.
#[derive(Debug)]
struct UnconfirmedWrite {
    record: LeaseRecord,
    first_sent_at: Duration,
    was_read_back: bool,
}

/// Newest lease row read while this process does not hold the lease, and when it was first read.
#[derive(Debug, Clone)]
struct ObservedLease {
    version: u64,
    record: Option<LeaseRecord>,
    first_read_at: Duration,
}

/// One host's view of the lease.
#[derive(Debug)]
pub struct Lease {
    member: Member,
    settings: LeaseSettings,
    observed: Option<ObservedLease>,
    held: Option<HeldLease>,
    /// This process's record in the table, and its version.
    own_record: Option<(LeaseRecord, u64)>,
    unconfirmed: Option<UnconfirmedWrite>,
    pending: Option<PendingCall>,
    next_call_at: Duration,
    failures: u32,
    is_stopping: bool,
    calls: CallCounter,
    backoff: Backoff,
}

impl Lease {
    /// Creates the state of a process that does not hold the lease.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::lease::Lease;
    /// use sedgeridge_coordination::lease_events::*;
    /// use sedgeridge_state::ids::*;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let lease = Lease::new(member, LeaseSettings::default(), 7);
    /// assert_eq!(lease.held(Duration::ZERO), None);
    /// ```
    pub fn new(member: Member, settings: LeaseSettings, seed: u64) -> Self {
        let base = millis(settings.poll_interval_ms);
        Self {
            backoff: Backoff::new(base, millis(settings.renew_interval_ms), seed),
            member,
            settings,
            observed: None,
            held: None,
            own_record: None,
            unconfirmed: None,
            pending: None,
            next_call_at: Duration::ZERO,
            failures: 0,
            is_stopping: false,
            calls: CallCounter::default(),
        }
    }

    /// Returns the lease if this process may send an order at `now`.
    ///
    /// Call it with a fresh `now` right before each order. Otherwise a holder that was paused past
    /// its term would continue to send orders while another process holds the lease, and the
    /// engines would get orders from both. The term is counted from before the renewal was sent, so
    /// no candidate can have taken over earlier.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::lease::Lease;
    /// use sedgeridge_coordination::lease_events::*;
    /// use sedgeridge_state::ids::*;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// assert!(Lease::new(member, LeaseSettings::default(), 7).held(Duration::ZERO).is_none());
    /// ```
    pub fn held(&self, now: Duration) -> Option<HeldLease> {
        self.held.filter(|held| now < held.deadline)
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::lease::Lease;
    /// use sedgeridge_coordination::lease_events::*;
    /// use sedgeridge_state::ids::*;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let mut lease = Lease::new(member, LeaseSettings::default(), 7);
    /// let mut actions = Vec::new();
    /// lease.handle(Duration::ZERO, LeaseEvent::Tick, &mut actions);
    /// assert!(matches!(actions[0], LeaseAction::Store(_)));
    /// ```
    pub fn handle(&mut self, now: Duration, event: LeaseEvent, actions: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Store(event) => self.handle_store_event(now, event, actions),
            LeaseEvent::Stop => self.stop(now, actions),
            LeaseEvent::Tick => {}
        }
        self.end_expired_term(now, actions);
        if self.pending.is_none() && self.next_call_at <= now {
            actions.extend(self.next_call(now).map(LeaseAction::Store));
        }
    }

    fn end_expired_term(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) {
        if self.held.is_some_and(|held| held.deadline <= now) {
            self.lose_lease(now, actions);
        }
    }

    // A remaining record of this process is waited out like that of any other holder.
    fn lose_lease(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) {
        self.own_record = None;
        self.observed = None;
        self.unconfirmed = None;
        self.pending = None;
        self.next_call_at = now;
        if self.held.take().is_some() {
            actions.push(LeaseAction::Lost);
        }
    }

    fn stop(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) {
        self.is_stopping = true;
        self.next_call_at = now;
        if self.held.take().is_some() {
            actions.push(LeaseAction::Lost);
        }
    }

    fn next_call(&mut self, now: Duration) -> Option<StoreAction> {
        if self.unconfirmed.as_ref().is_some_and(|u| !u.was_read_back) {
            return Some(self.read_lease(now));
        }
        match &self.own_record {
            Some((own, version)) if self.is_stopping => {
                let record = LeaseRecord {
                    released: true,
                    ..own.clone()
                };
                Some(self.write(now, record, *version))
            }
            Some((own, version)) => {
                let record = LeaseRecord {
                    renewal: own.renewal + 1,
                    ..own.clone()
                };
                Some(self.write(now, record, *version))
            }
            None if self.is_stopping => None,
            None => Some(self.read_or_acquire(now)),
        }
    }

    fn read_or_acquire(&mut self, now: Duration) -> StoreAction {
        let takeover_wait = millis(self.settings.term_ms + self.settings.clock_drift_margin_ms);
        let Some(observed) = self.observed.clone() else {
            return self.read_lease(now);
        };
        let is_free = match &observed.record {
            None => observed.version == ABSENT_VERSION,
            Some(record) => record.released || observed.first_read_at + takeover_wait <= now,
        };
        if !is_free {
            return self.read_lease(now);
        }
        let record = LeaseRecord {
            holder: self.member.clone(),
            fencing: FencingNumber(observed.record.map_or(0, |r| r.fencing.0) + 1),
            renewal: 0,
            released: false,
        };
        self.write(now, record, observed.version)
    }

    fn read_lease(&mut self, now: Duration) -> StoreAction {
        let call = self.begin_call(now, None);
        let query = StoreQuery::Keys(vec![LEASE_KEY.into()]);
        StoreAction::Read { call, query }
    }

    fn write(&mut self, now: Duration, record: LeaseRecord, version: u64) -> StoreAction {
        let mut writes = vec![StoreWrite {
            key: LEASE_KEY.into(),
            value: Some(record.encode().into()),
        }];
        let is_new_epoch = record.renewal == 0 && !record.released;
        if is_new_epoch {
            writes.push(StoreWrite {
                key: EPOCH_KEY.into(),
                value: Some(record.fencing.0.to_string().into()),
            });
        }
        let checks = vec![StoreCheck {
            key: LEASE_KEY.into(),
            version,
        }];
        let call = self.begin_call(now, Some(record));
        StoreAction::Transact {
            call,
            checks,
            writes,
        }
    }

    fn begin_call(&mut self, now: Duration, record: Option<LeaseRecord>) -> CallId {
        let call = self.calls.next();
        self.pending = Some(PendingCall {
            call,
            record,
            sent_at: now,
        });
        call
    }

    fn handle_store_event(
        &mut self,
        now: Duration,
        event: StoreEvent,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(pending) = self.pending.take_if(|p| p.call == event.call) else {
            return;
        };
        match (event.result, pending.record) {
            (StoreResult::Committed { version }, Some(record)) => {
                self.confirm_record(now, record, version, pending.sent_at, actions);
            }
            (StoreResult::Conflict { rows } | StoreResult::Rows(rows), _) => {
                self.apply_row(now, find_row(&rows, LEASE_KEY), actions);
            }
            (StoreResult::Unknown, Some(record)) => self.note_unknown(now, record, pending.sent_at),
            _ => self.back_off(now),
        }
    }

    fn back_off(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.next_call_at = now + self.backoff.delay(self.failures);
    }

    fn note_unknown(&mut self, now: Duration, record: LeaseRecord, sent_at: Duration) {
        let earlier = self.unconfirmed.take().filter(|u| u.record == record);
        self.unconfirmed = Some(UnconfirmedWrite {
            record,
            first_sent_at: earlier.map_or(sent_at, |u| u.first_sent_at),
            was_read_back: false,
        });
        self.next_call_at = now;
    }

    /// Notes that the table holds `record` of this process, written by a call sent at `sent_at`.
    fn confirm_record(
        &mut self,
        now: Duration,
        record: LeaseRecord,
        version: u64,
        sent_at: Duration,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.failures = 0;
        self.unconfirmed = None;
        if record.released {
            self.own_record = None;
            return;
        }
        let fencing = record.fencing;
        let first = (version, now + millis(self.settings.max_order_delay_ms));
        let epoch = self.held.map(|h| (h.epoch_version, h.unfenced_orders_from));
        let (epoch_version, unfenced_orders_from) = epoch.unwrap_or(first);
        self.own_record = Some((record, version));
        if self.is_stopping {
            self.next_call_at = now;
            return;
        }
        let deadline = sent_at + millis(self.settings.term_ms);
        if deadline <= now {
            self.lose_lease(now, actions);
            return;
        }
        self.next_call_at = sent_at + millis(self.settings.renew_interval_ms);
        let held = HeldLease {
            fencing,
            epoch_version,
            deadline,
            unfenced_orders_from,
        };
        self.held = Some(held);
        actions.push(LeaseAction::Held(held));
    }

    /// Applies a row that was read: the current one, or an older one if the read was stale.
    fn apply_row(&mut self, now: Duration, row: Option<&StoreRow>, actions: &mut Vec<LeaseAction>) {
        self.failures = 0;
        let version = row.map_or(ABSENT_VERSION, |r| r.version);
        let record = row.and_then(|r| LeaseRecord::decode(r.value.as_deref()?));
        if let Some(unconfirmed) = &mut self.unconfirmed {
            unconfirmed.was_read_back = true;
            if record.as_ref() == Some(&unconfirmed.record) {
                let (sent, sent_at) = (unconfirmed.record.clone(), unconfirmed.first_sent_at);
                self.confirm_record(now, sent, version, sent_at, actions);
                return;
            }
        }
        self.next_call_at = now;
        let own_version = self.own_record.as_ref().map(|(_, version)| *version);
        if own_version.is_some_and(|own| version <= own) {
            return;
        }
        if own_version.is_some() {
            self.lose_lease(now, actions);
        }
        if self
            .observed
            .as_ref()
            .is_none_or(|observed| observed.version < version)
        {
            self.unconfirmed = None;
            self.observed = Some(ObservedLease {
                version,
                record,
                first_read_at: now,
            });
        }
        self.wait_as_candidate(now);
    }

    fn wait_as_candidate(&mut self, now: Duration) {
        let takeover_wait = millis(self.settings.term_ms + self.settings.clock_drift_margin_ms);
        let due_at = self
            .observed
            .as_ref()
            .map(|observed| match &observed.record {
                None if observed.version == ABSENT_VERSION => now,
                Some(record) if record.released => now,
                _ => observed.first_read_at + takeover_wait,
            });
        let next_poll_at = now + millis(self.settings.poll_interval_ms);
        self.next_call_at = due_at.map_or(now, |due_at| due_at.clamp(now, next_poll_at));
    }
}
