//! The coordinator's lease: one holder at a time, told apart by a fencing number.
//!
//! No wall clock is compared between hosts. A candidate notes the lease's version, and takes the
//! lease over when its own clock has counted a whole term without a renewal. The holder counts its
//! term from the moment it sent the renewal, so it always stops first.

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

/// A call under way and the record it writes, if any.
#[derive(Debug)]
struct Pending {
    call: CallId,
    record: Option<LeaseRecord>,
    sent_at: Duration,
}

/// A write whose answer was lost. Sent again it is the same record, so whichever of the two took
/// effect, the term counted from the first is not too long.
#[derive(Debug)]
struct Unsettled {
    record: LeaseRecord,
    first_sent_at: Duration,
    looked: bool,
}

/// What was last read of a lease that another holds.
#[derive(Debug, Clone)]
struct Seen {
    version: u64,
    record: Option<LeaseRecord>,
    since: Duration,
}

/// One host's view of the lease.
#[derive(Debug)]
pub struct Lease {
    member: Member,
    settings: LeaseSettings,
    seen: Option<Seen>,
    held: Option<HeldLease>,
    /// Own record in the table, and its version.
    own: Option<(LeaseRecord, u64)>,
    unsettled: Option<Unsettled>,
    pending: Option<Pending>,
    next_call_at: Duration,
    failures: u32,
    stopping: bool,
    calls: CallCounter,
    backoff: Backoff,
}

impl Lease {
    /// Creates the lease of a process that does not hold it.
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
            seen: None,
            held: None,
            own: None,
            unsettled: None,
            pending: None,
            next_call_at: Duration::ZERO,
            failures: 0,
            stopping: false,
            calls: CallCounter::default(),
        }
    }

    /// Returns the lease if an order may be sent at this time.
    ///
    /// To be asked with a fresh `now` right before each order. A holder that was paused past its
    /// term would otherwise go on with orders while another holds the lease, and two sets of
    /// orders would reach the engines. The term is counted from before the renewal was sent, so no
    /// candidate can have taken over earlier.
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

    /// Takes one event and appends what is to be done.
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
            LeaseEvent::Store(event) => self.take_answer(now, event, actions),
            LeaseEvent::Stop => self.stop(now, actions),
            LeaseEvent::Tick => {}
        }
        self.end_overdue(now, actions);
        if self.pending.is_none() && self.next_call_at <= now {
            actions.extend(self.next_call(now).map(LeaseAction::Store));
        }
    }

    fn end_overdue(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) {
        if self.held.is_some_and(|held| held.deadline <= now) {
            self.lose(now, actions);
        }
    }

    // What is left of the own record is waited out like anybody else's.
    fn lose(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) {
        self.own = None;
        self.seen = None;
        self.unsettled = None;
        self.pending = None;
        self.next_call_at = now;
        if self.held.take().is_some() {
            actions.push(LeaseAction::Lost);
        }
    }

    fn stop(&mut self, now: Duration, actions: &mut Vec<LeaseAction>) {
        self.stopping = true;
        self.next_call_at = now;
        if self.held.take().is_some() {
            actions.push(LeaseAction::Lost);
        }
    }

    fn next_call(&mut self, now: Duration) -> Option<StoreAction> {
        if self.unsettled.as_ref().is_some_and(|u| !u.looked) {
            return Some(self.look(now));
        }
        match &self.own {
            Some((own, version)) if self.stopping => {
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
            None if self.stopping => None,
            None => Some(self.look_or_acquire(now)),
        }
    }

    fn look_or_acquire(&mut self, now: Duration) -> StoreAction {
        let wait = millis(self.settings.term_ms + self.settings.clock_drift_margin_ms);
        let Some(seen) = self.seen.clone() else {
            return self.look(now);
        };
        let free = match &seen.record {
            None => seen.version == ABSENT_VERSION,
            Some(record) => record.released || seen.since + wait <= now,
        };
        if !free {
            return self.look(now);
        }
        let record = LeaseRecord {
            holder: self.member.clone(),
            fencing: FencingNumber(seen.record.map_or(0, |r| r.fencing.0) + 1),
            renewal: 0,
            released: false,
        };
        self.write(now, record, seen.version)
    }

    fn look(&mut self, now: Duration) -> StoreAction {
        let call = self.begin(now, None);
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
        let call = self.begin(now, Some(record));
        StoreAction::Transact {
            call,
            checks,
            writes,
        }
    }

    fn begin(&mut self, now: Duration, record: Option<LeaseRecord>) -> CallId {
        let call = self.calls.next();
        self.pending = Some(Pending {
            call,
            record,
            sent_at: now,
        });
        call
    }

    fn take_answer(&mut self, now: Duration, event: StoreEvent, actions: &mut Vec<LeaseAction>) {
        let Some(pending) = self.pending.take_if(|p| p.call == event.call) else {
            return;
        };
        match (event.result, pending.record) {
            (StoreResult::Committed { version }, Some(record)) => {
                self.keep(now, record, version, pending.sent_at, actions);
            }
            (StoreResult::Conflict { rows } | StoreResult::Rows(rows), _) => {
                self.take_row(now, find_row(&rows, LEASE_KEY), actions);
            }
            (StoreResult::Unknown, Some(record)) => self.doubt(now, record, pending.sent_at),
            _ => self.pause(now),
        }
    }

    fn pause(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.next_call_at = now + self.backoff.delay(self.failures);
    }

    fn doubt(&mut self, now: Duration, record: LeaseRecord, sent_at: Duration) {
        let earlier = self.unsettled.take().filter(|u| u.record == record);
        self.unsettled = Some(Unsettled {
            record,
            first_sent_at: earlier.map_or(sent_at, |u| u.first_sent_at),
            looked: false,
        });
        self.next_call_at = now;
    }

    /// Notes that the own record stands in the table since a write that was sent at `sent_at`.
    fn keep(
        &mut self,
        now: Duration,
        record: LeaseRecord,
        version: u64,
        sent_at: Duration,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.failures = 0;
        self.unsettled = None;
        if record.released {
            self.own = None;
            return;
        }
        let fencing = record.fencing;
        let first = (version, now + millis(self.settings.max_order_delay_ms));
        let epoch = self.held.map(|h| (h.epoch_version, h.unfenced_orders_from));
        let (epoch_version, unfenced_orders_from) = epoch.unwrap_or(first);
        self.own = Some((record, version));
        if self.stopping {
            self.next_call_at = now;
            return;
        }
        let deadline = sent_at + millis(self.settings.term_ms);
        if deadline <= now {
            self.lose(now, actions);
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

    /// Takes the current row, or an older one if the read was stale.
    fn take_row(&mut self, now: Duration, row: Option<&StoreRow>, actions: &mut Vec<LeaseAction>) {
        self.failures = 0;
        let version = row.map_or(ABSENT_VERSION, |r| r.version);
        let record = row.and_then(|r| LeaseRecord::decode(r.value.as_deref()?));
        if let Some(unsettled) = &mut self.unsettled {
            unsettled.looked = true;
            if record.as_ref() == Some(&unsettled.record) {
                let (sent, sent_at) = (unsettled.record.clone(), unsettled.first_sent_at);
                self.keep(now, sent, version, sent_at, actions);
                return;
            }
        }
        self.next_call_at = now;
        let own_version = self.own.as_ref().map(|(_, version)| *version);
        if own_version.is_some_and(|own| version <= own) {
            return;
        }
        if own_version.is_some() {
            self.lose(now, actions);
        }
        if self.seen.as_ref().is_none_or(|seen| seen.version < version) {
            self.unsettled = None;
            self.seen = Some(Seen {
                version,
                record,
                since: now,
            });
        }
        self.wait_as_candidate(now);
    }

    fn wait_as_candidate(&mut self, now: Duration) {
        let wait = millis(self.settings.term_ms + self.settings.clock_drift_margin_ms);
        let due = self.seen.as_ref().map(|seen| match &seen.record {
            None if seen.version == ABSENT_VERSION => now,
            Some(record) if record.released => now,
            _ => seen.since + wait,
        });
        let poll = now + millis(self.settings.poll_interval_ms);
        self.next_call_at = due.map_or(now, |due| due.clamp(now, poll));
    }
}
