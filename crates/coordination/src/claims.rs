//! At most one run of each request that may not be repeated.
//!
//! Before dispatch the router writes a claim for (client account, idempotency key) into the table,
//! conditional on the key being free. Only the router run named in the claim may dispatch, once.
//! Claims and outcomes of many requests share one transaction.

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
use crate::claims::entry::Stage;
use crate::claims::entry::Verdict;
use crate::claims::queue::BatchItem;
use crate::claims::queue::ClaimQueue;
use crate::claims::send::Flight;
use crate::store_breaker::StoreBreaker;
use crate::store_call::ABSENT_VERSION;
use crate::store_call::CallCounter;
use crate::store_call::CallId;

/// Claims of one router.
#[derive(Debug)]
pub struct Claims {
    settings: ClaimSettings,
    started_unix_ms: u64,
    alive: BTreeSet<Member>,
    entries: BTreeMap<Arc<str>, Entry>,
    requests: BTreeMap<RequestId, Arc<str>>,
    deadlines: VecDeque<(Duration, RequestId)>,
    queue: ClaimQueue,
    flights: BTreeMap<CallId, Flight>,
    calls: CallCounter,
    last_step: u64,
    breaker: StoreBreaker,
    retry: Backoff,
}

impl Claims {
    /// Creates the claims of a router run that started at this Unix time.
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
            alive: BTreeSet::new(),
            entries: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: VecDeque::new(),
            flights: BTreeMap::new(),
            calls: CallCounter::default(),
            last_step: 0,
            breaker: StoreBreaker::new(Backoff::new(base, cap, seed)),
            retry: Backoff::new(base, cap, seed.wrapping_add(1)),
        }
    }

    /// Takes one event and appends what is to be done.
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
                self.alive = members.into_iter().collect();
                return;
            }
            ClaimEvent::Store(event) => self.take_answer(now, event, actions),
            ClaimEvent::Tick => {}
        }
        self.refuse_overdue(now, actions);
        self.send_batches(now, actions);
    }

    /// Tells whether no claim is under way and every outcome is on record.
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
        let flush = self.queue.next_flush(self.flights.len());
        [deadline, flush].into_iter().flatten().min()
    }

    fn claim(&mut self, now: Duration, claim: ClaimRequest, actions: &mut Vec<ClaimAction>) {
        let key = claim_key(&claim.account, &claim.idempotency_key);
        if let Some(verdict) = self
            .entries
            .get(&key)
            .and_then(|e| local_verdict(e, &claim))
        {
            self.answer(now, claim.request, verdict, actions);
        } else if self.breaker.is_open(now) {
            let verdict = Verdict::Refused(ClaimRefusal::StoreUnavailable);
            self.answer(now, claim.request, verdict, actions);
        } else if self.entries.len() >= self.settings.max_entries {
            let verdict = Verdict::Refused(ClaimRefusal::Overloaded);
            self.answer(now, claim.request, verdict, actions);
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
            step: 0,
            in_flight: false,
            unsettled: false,
            abandoned: Vec::new(),
            failures: 0,
        };
        if let Some(earlier) = self.entries.remove(key) {
            entry.version = earlier.version;
            entry.abandon_all(earlier.abandoned);
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
    /// Its claim may stand in the table, or may yet arrive there, and would turn every repeat away
    /// although nothing ran. So "released" is written on the same condition as the claim: either
    /// the claim's write finds the row changed and fails, or this one does and is repeated on the
    /// claim's version. "Not run" is true meanwhile, as nobody but this entry may dispatch.
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
        if entry.may_stand_in_table() {
            entry.unsettled = true;
            entry.in_flight = false;
            entry.request = None;
            entry.stage = Stage::Recording;
            entry.record.state = ClaimState::Released;
            let due = now + self.retry.delay(entry.failures);
            self.enqueue_later(&key, due);
        } else {
            self.entries.remove(&key);
        }
        self.answer(now, request.clone(), Verdict::Refused(reason), actions);
    }

    fn answer(
        &mut self,
        now: Duration,
        request: RequestId,
        verdict: Verdict,
        actions: &mut Vec<ClaimAction>,
    ) {
        let reason = match verdict {
            Verdict::Answered(answer) => {
                actions.push(ClaimAction::Replay { request, answer });
                return;
            }
            Verdict::Refused(reason) => reason,
            Verdict::Own(_) | Verdict::Free(_) => return,
        };
        let retry_after = self.retry_after(now, reason);
        actions.push(ClaimAction::Refuse {
            request,
            reason,
            retry_after,
        });
    }

    fn retry_after(&mut self, now: Duration, reason: ClaimRefusal) -> Option<Duration> {
        let least = millis(self.settings.in_progress_retry_ms);
        match reason {
            ClaimRefusal::StoreUnavailable => {
                let pause = self.breaker.remaining_pause(now).max(least);
                Some(pause + self.retry.jitter(least))
            }
            ClaimRefusal::StoreTimeout | ClaimRefusal::Overloaded | ClaimRefusal::InProgress => {
                Some(least + self.retry.jitter(least))
            }
            ClaimRefusal::GivenUp
            | ClaimRefusal::KeyReused
            | ClaimRefusal::EarlierOutcomeUnknown => None,
        }
    }

    fn enqueue(&mut self, key: &Arc<str>, due: Duration) {
        if let Some(item) = self.next_item(key) {
            self.queue.push(item, due);
        }
    }

    fn enqueue_later(&mut self, key: &Arc<str>, due: Duration) {
        if let Some(item) = self.next_item(key) {
            self.queue.push_later(item, due);
        }
    }

    fn next_item(&mut self, key: &Arc<str>) -> Option<BatchItem> {
        let entry = self.entries.get_mut(key)?;
        self.last_step += 1;
        entry.step = self.last_step;
        Some(BatchItem {
            key: Arc::clone(key),
            step: entry.step,
        })
    }

    fn is_current(&self, item: &BatchItem) -> bool {
        let entry = self.entries.get(&item.key);
        entry.is_some_and(|e| e.step == item.step)
    }
}

/// Answers a repeat from what this router itself knows of the key.
fn local_verdict(entry: &Entry, claim: &ClaimRequest) -> Option<Verdict> {
    if entry.record.state == ClaimState::Released {
        return None;
    }
    if entry.record.body_hash != claim.body_hash {
        return Some(Verdict::Refused(ClaimRefusal::KeyReused));
    }
    let verdict = match &entry.record.state {
        ClaimState::Ran(answer) => Verdict::Answered(answer.clone()),
        ClaimState::Unknown => Verdict::Refused(ClaimRefusal::EarlierOutcomeUnknown),
        ClaimState::Open | ClaimState::Released => Verdict::Refused(ClaimRefusal::InProgress),
    };
    Some(verdict)
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
