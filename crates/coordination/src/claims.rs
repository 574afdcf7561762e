//! Ensures that each request that must not be repeated runs at most once.
//!
//! Before dispatch the router writes a claim for (client account, idempotency key) to the table, on
//! condition that the key is free. Only the router process named in the claim may dispatch the
//! request, and only once. Claims and outcomes of many requests share one transaction.

mod entry;
mod queue;
mod send;
mod settle;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::claim_record::ClaimRecord;
use sedgeridge_state::claim_record::ClaimState;
use sedgeridge_state::claim_record::RecordedBody;
use sedgeridge_state::claim_record::claim_key;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::RequestId;
use sedgeridge_state::settings::millis;

use crate::backoff::Backoff;
use crate::claim_events::ClaimAction;
use crate::claim_events::ClaimEvent;
use crate::claim_events::ClaimOutcome;
use crate::claim_events::ClaimRefusal;
use crate::claim_events::ClaimRequest;
use crate::claim_events::ClaimSettings;
use crate::claims::entry::Entry;
use crate::claims::entry::KeyStatus;
use crate::claims::entry::Stage;
use crate::claims::queue::BatchItem;
use crate::claims::queue::ClaimQueue;
use crate::claims::send::CallInFlight;
use crate::store_breaker::StoreBreaker;
use crate::store_call::ABSENT_VERSION;
use crate::store_call::CallCounter;
use crate::store_call::CallId;

/// Claims of one router.
#[derive(Debug)]
pub struct Claims {
    settings: ClaimSettings,
    started_unix_ms: u64,
    live_members: BTreeSet<Member>,
    entries: BTreeMap<Arc<str>, Entry>,
    requests: BTreeMap<RequestId, Arc<str>>,
    deadlines: VecDeque<(Duration, RequestId)>,
    queue: ClaimQueue,
    calls_in_flight: BTreeMap<CallId, CallInFlight>,
    calls: CallCounter,
    last_write_number: u64,
    breaker: StoreBreaker,
    retry_backoff: Backoff,
}

impl Claims {
    /// Creates the claims of a router process that started at this Unix time.
    ///
    /// ```
    /// use sedgeridge_coordination::claim_events::ClaimSettings;
    /// use sedgeridge_coordination::claims::Claims;
    ///
    /// let claims = Claims::new(ClaimSettings::default(), 1_700_000_000_000, 7);
    /// assert_eq!(claims.next_wake(), None);
    /// ```
    pub fn new(settings: ClaimSettings, started_unix_ms: u64, seed: u64) -> Self {
        let base = millis(settings.base_backoff_ms);
        let cap = millis(settings.max_backoff_ms);
        Self {
            queue: ClaimQueue::new(&settings),
            settings,
            started_unix_ms,
            live_members: BTreeSet::new(),
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: VecDeque::new(),
            calls_in_flight: BTreeMap::new(),
            calls: CallCounter::default(),
            last_write_number: 0,
            breaker: StoreBreaker::new(Backoff::new(base, cap, seed)),
            retry_backoff: Backoff::new(base, cap, seed.wrapping_add(1)),
        }
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::claim_events::ClaimEvent;
    /// use sedgeridge_coordination::claim_events::ClaimSettings;
    /// use sedgeridge_coordination::claims::Claims;
    ///
    /// let mut claims = Claims::new(ClaimSettings::default(), 1_700_000_000_000, 7);
    /// let mut actions = Vec::new();
    /// claims.handle(Duration::ZERO, ClaimEvent::Tick, &mut actions);
    /// assert!(actions.is_empty());
    /// ```
    pub fn handle(&mut self, now: Duration, event: ClaimEvent, actions: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Claim(request) => self.claim(now, request, actions),
            ClaimEvent::GiveUp(request) => {
                self.give_up(now, &request, ClaimRefusal::GivenUp, actions);
            }
            ClaimEvent::Finished { request, outcome } => self.finish(now, &request, outcome),
            ClaimEvent::Members(members) => {
                self.live_members = members.into_iter().collect();
                return;
            }
            ClaimEvent::Store(event) => self.handle_store_event(now, event, actions),
            ClaimEvent::Tick => {}
        }
        self.refuse_overdue(now, actions);
        self.send_batches(now, actions);
    }

    /// Returns whether no claim is in progress and every outcome is recorded in the table.
    ///
    /// ```
    /// use sedgeridge_coordination::claim_events::ClaimSettings;
    /// use sedgeridge_coordination::claims::Claims;
    ///
    /// assert!(Claims::new(ClaimSettings::default(), 1_700_000_000_000, 7).is_settled());
    /// ```
    pub fn is_settled(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns when the next [`ClaimEvent::Tick`] is due.
    ///
    /// ```
    /// use sedgeridge_coordination::claim_events::ClaimSettings;
    /// use sedgeridge_coordination::claims::Claims;
    ///
    /// assert_eq!(Claims::new(ClaimSettings::default(), 0, 7).next_wake(), None);
    /// ```
    pub fn next_wake(&self) -> Option<Duration> {
        let deadline = self.deadlines.front().map(|(at, _)| *at);
        let flush = self.queue.next_flush(self.calls_in_flight.len());
        [deadline, flush].into_iter().flatten().min()
    }

    fn claim(&mut self, now: Duration, claim: ClaimRequest, actions: &mut Vec<ClaimAction>) {
        let key = claim_key(&claim.account, &claim.idempotency_key);
        if let Some(status) = self.entries.get(&key).and_then(|e| local_status(e, &claim)) {
            self.answer(now, claim.request, status, actions);
        } else if self.breaker.is_open(now) {
            let status = KeyStatus::Refused(ClaimRefusal::StoreUnavailable);
            self.answer(now, claim.request, status, actions);
        } else if self.entries.len() >= self.settings.max_entries {
            let status = KeyStatus::Refused(ClaimRefusal::Overloaded);
            self.answer(now, claim.request, status, actions);
        } else {
            self.start_claim(now, &key, claim);
        }
    }

    fn start_claim(&mut self, now: Duration, key: &Arc<str>, claim: ClaimRequest) {
        let unix_ms = self.started_unix_ms + now.as_millis() as u64;
        let record = ClaimRecord {
            attempt: claim.attempt,
            body_hash: claim.body_hash,
            expires_at_ms: unix_ms + self.settings.retention_ms,
            state: ClaimState::Open,
        };
        let mut entry = Entry {
            record,
            request: Some(claim.request.clone()),
            stage: Stage::Claiming,
            version: ABSENT_VERSION,
            write_number: 0,
            in_flight: false,
            write_unconfirmed: false,
            abandoned_attempts: Vec::new(),
            failures: 0,
        };
        if let Some(earlier) = self.entries.remove(key) {
            entry.version = earlier.version;
            entry.abandon_all(earlier.abandoned_attempts);
            entry.abandon_all(vec![earlier.record.attempt]);
        }
        let deadline = now + millis(self.settings.claim_timeout_ms);
        self.deadlines.push_back((deadline, claim.request.clone()));
        self.requests.insert(claim.request, Arc::clone(key));
        self.entries.insert(Arc::clone(key), entry);
        self.enqueue(key, now + millis(self.settings.claim_linger_ms));
    }

    fn finish(&mut self, now: Duration, request: &RequestId, outcome: ClaimOutcome) {
        let Some(key) = self.requests.get(request).cloned() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.stage != Stage::Dispatched {
            return;
        }
        entry.stage = Stage::Recording;
        entry.request = None;
        entry.record.state = outcome_state(outcome, self.settings.max_answer_bytes);
        self.requests.remove(request);
        self.enqueue(&key, now + millis(self.settings.outcome_linger_ms));
    }

    fn refuse_overdue(&mut self, now: Duration, actions: &mut Vec<ClaimAction>) {
        while let Some((at, _)) = self.deadlines.front() {
            if *at > now {
                return;
            }
            if let Some((_, request)) = self.deadlines.pop_front() {
                self.give_up(now, &request, ClaimRefusal::StoreTimeout, actions);
            }
        }
    }

    /// Refuses a request that was not dispatched.
    ///
    /// Its claim may be in the table, or may still arrive there, and would refuse every repeat
    /// although nothing ran. So "released" is written on the same condition as the claim. Either
    /// the claim's write finds the row changed and fails, or the release does and is repeated on
    /// the claim's version. The answer "not run" is true meanwhile, as only this entry may
    /// dispatch.
    fn give_up(
        &mut self,
        now: Duration,
        request: &RequestId,
        reason: ClaimRefusal,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(key) = self.requests.get(request).cloned() else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.stage != Stage::Claiming {
            return;
        }
        self.requests.remove(request);
        if entry.may_have_row() {
            entry.write_unconfirmed = true;
            entry.in_flight = false;
            entry.request = None;
            entry.stage = Stage::Recording;
            entry.record.state = ClaimState::Released;
            let due = now + self.retry_backoff.delay(entry.failures);
            self.enqueue_delayed(&key, due);
        } else {
            self.entries.remove(&key);
        }
        self.answer(now, request.clone(), KeyStatus::Refused(reason), actions);
    }

    fn answer(
        &mut self,
        now: Duration,
        request: RequestId,
        status: KeyStatus,
        actions: &mut Vec<ClaimAction>,
    ) {
        let reason = match status {
            KeyStatus::Answered(answer) => {
                actions.push(ClaimAction::Replay { request, answer });
                return;
            }
            KeyStatus::Refused(reason) => reason,
            KeyStatus::OwnWrite(_) | KeyStatus::Writable(_) => return,
        };
        let retry_after = self.retry_after(now, reason);
        actions.push(ClaimAction::Refuse {
            request,
            reason,
            retry_after,
        });
    }

    fn retry_after(&mut self, now: Duration, reason: ClaimRefusal) -> Option<Duration> {
        let min_wait = millis(self.settings.min_retry_after_ms);
        match reason {
            ClaimRefusal::StoreUnavailable => {
                let pause = self.breaker.remaining_pause(now).max(min_wait);
                Some(pause + self.retry_backoff.jitter(min_wait))
            }
            ClaimRefusal::StoreTimeout | ClaimRefusal::Overloaded | ClaimRefusal::InProgress => {
                Some(min_wait + self.retry_backoff.jitter(min_wait))
            }
            ClaimRefusal::GivenUp
            | ClaimRefusal::KeyReused
            | ClaimRefusal::EarlierOutcomeUnknown => None,
        }
    }

    fn enqueue(&mut self, key: &Arc<str>, due: Duration) {
        if let Some(item) = self.next_batch_item(key) {
            self.queue.push(item, due);
        }
    }

    fn enqueue_delayed(&mut self, key: &Arc<str>, due: Duration) {
        if let Some(item) = self.next_batch_item(key) {
            self.queue.push_delayed(item, due);
        }
    }

    fn next_batch_item(&mut self, key: &Arc<str>) -> Option<BatchItem> {
        let entry = self.entries.get_mut(key)?;
        self.last_write_number += 1;
        entry.write_number = self.last_write_number;
        Some(BatchItem {
            key: Arc::clone(key),
            write_number: entry.write_number,
        })
    }

    fn is_latest_write(&self, item: &BatchItem) -> bool {
        let entry = self.entries.get(&item.key);
        entry.is_some_and(|e| e.write_number == item.write_number)
    }
}

/// Answers a repeat from the entry that this router holds for the key.
fn local_status(entry: &Entry, claim: &ClaimRequest) -> Option<KeyStatus> {
    if entry.record.state == ClaimState::Released {
        return None;
    }
    if entry.record.body_hash != claim.body_hash {
        return Some(KeyStatus::Refused(ClaimRefusal::KeyReused));
    }
    let status = match &entry.record.state {
        ClaimState::Ran(answer) => KeyStatus::Answered(answer.clone()),
        ClaimState::Unknown => KeyStatus::Refused(ClaimRefusal::EarlierOutcomeUnknown),
        ClaimState::Open | ClaimState::Released => KeyStatus::Refused(ClaimRefusal::InProgress),
    };
    Some(status)
}

fn outcome_state(outcome: ClaimOutcome, max_answer_bytes: usize) -> ClaimState {
    match outcome {
        ClaimOutcome::NotRun => ClaimState::Released,
        ClaimOutcome::Unknown => ClaimState::Unknown,
        ClaimOutcome::Ran(mut answer) => {
            if matches!(&answer.body, RecordedBody::Inline(b) if b.len() > max_answer_bytes) {
                answer.body = RecordedBody::Omitted;
            }
            ClaimState::Ran(answer)
        }
    }
}
