//! Deletes claims whose retention has passed, a bounded number at a time.
//!
//! The coordinator's lease holder runs it. Two sweeps at once do no harm, as a row is deleted only
//! at the version that was read as expired.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::claim_record::CLAIM_INDEX_PREFIX;
use sedgeridge_state::claim_record::ClaimIndex;
use sedgeridge_state::claim_record::ClaimRecord;
use sedgeridge_state::claim_record::claim_bucket;
use sedgeridge_state::claim_record::claim_bucket_prefix;
use sedgeridge_state::settings::millis;

use crate::backoff::Backoff;
use crate::store_call::CallCounter;
use crate::store_call::CallId;
use crate::store_call::StoreAction;
use crate::store_call::StoreCheck;
use crate::store_call::StoreEvent;
use crate::store_call::StoreQuery;
use crate::store_call::StoreResult;
use crate::store_call::StoreRow;
use crate::store_call::StoreWrite;

/// Key of the row that holds the number of the bucket to sweep next.
pub const SWEEP_CURSOR_KEY: &str = "claim-sweep/cursor";

const MAX_BACKOFF_MS: u64 = 60_000;

/// Settings of the sweep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSweepSettings {
    /// Time between two calls.
    pub interval_ms: u64,
    /// Largest number of claims deleted by one transaction.
    pub max_deletes: usize,
}

impl Default for ClaimSweepSettings {
    fn default() -> Self {
        Self {
            interval_ms: 200,
            max_deletes: 128,
        }
    }
}

/// Input of the sweep.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimSweepEvent {
    /// This process holds the coordinator's lease, or no longer does.
    LeaseHeld(bool),
    /// A call to the table service ended.
    Store(StoreEvent),
    /// Time passed.
    Tick,
}

/// Purpose of the next call.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    FindCursor,
    FindOldest,
    ReadBucket,
    ReadClaims,
    Delete {
        checks: Vec<StoreCheck>,
        writes: Vec<StoreWrite>,
    },
    MoveCursor,
}

/// Deletes expired claims, bucket by bucket of their expiry.
#[derive(Debug)]
pub struct ClaimSweep {
    settings: ClaimSweepSettings,
    started_unix_ms: u64,
    holds_lease: bool,
    step: Step,
    bucket: u64,
    /// Index rows of the bucket that are not processed yet.
    index_rows: VecDeque<StoreRow>,
    /// Claims of the first index row that are not checked yet.
    claim_keys: VecDeque<Arc<str>>,
    next_call_at: Duration,
    pending_call: Option<CallId>,
    failures: u32,
    calls: CallCounter,
    backoff: Backoff,
}

impl ClaimSweep {
    /// Creates the sweep of a process that started at this Unix time.
    ///
    /// ```
    /// use sedgeridge_coordination::claim_sweep::*;
    ///
    /// let sweep = ClaimSweep::new(ClaimSweepSettings::default(), 1_700_000_000_000, 7);
    /// ```
    pub fn new(settings: ClaimSweepSettings, started_unix_ms: u64, seed: u64) -> Self {
        let base = millis(settings.interval_ms);
        Self {
            backoff: Backoff::new(base, millis(MAX_BACKOFF_MS), seed),
            settings,
            started_unix_ms,
            holds_lease: false,
            step: Step::FindCursor,
            bucket: 0,
            index_rows: VecDeque::new(),
            claim_keys: VecDeque::new(),
            next_call_at: Duration::ZERO,
            pending_call: None,
            failures: 0,
            calls: CallCounter::default(),
        }
    }

    /// Handles one event and appends the calls to make.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::claim_sweep::*;
    ///
    /// let mut sweep = ClaimSweep::new(ClaimSweepSettings::default(), 1_700_000_000_000, 7);
    /// let mut actions = Vec::new();
    /// sweep.handle(Duration::ZERO, ClaimSweepEvent::LeaseHeld(true), &mut actions);
    /// assert_eq!(actions.len(), 1);
    /// ```
    pub fn handle(
        &mut self,
        now: Duration,
        event: ClaimSweepEvent,
        actions: &mut Vec<StoreAction>,
    ) {
        match event {
            ClaimSweepEvent::LeaseHeld(is_held) => self.holds_lease = is_held,
            ClaimSweepEvent::Store(event) => self.handle_store_event(now, event),
            ClaimSweepEvent::Tick => {}
        }
        if self.holds_lease && self.pending_call.is_none() && self.next_call_at <= now {
            actions.extend(self.next_call(now));
        }
    }

    fn next_call(&mut self, now: Duration) -> Option<StoreAction> {
        let query = match &self.step {
            Step::FindCursor => StoreQuery::Keys(vec![Arc::from(SWEEP_CURSOR_KEY)]),
            Step::FindOldest => prefix_query(Arc::from(CLAIM_INDEX_PREFIX)),
            Step::ReadBucket if self.bucket >= claim_bucket(self.unix_ms(now)) => return None,
            Step::ReadBucket => prefix_query(claim_bucket_prefix(self.bucket)),
            Step::ReadClaims => {
                let count = self.claim_keys.len().min(self.settings.max_deletes);
                StoreQuery::Keys(self.claim_keys.range(..count).cloned().collect())
            }
            Step::Delete { checks, writes } => {
                let (checks, writes) = (checks.clone(), writes.clone());
                return Some(self.transact(checks, writes));
            }
            Step::MoveCursor => {
                let write = StoreWrite {
                    key: Arc::from(SWEEP_CURSOR_KEY),
                    value: Some(Arc::from((self.bucket + 1).to_string())),
                };
                return Some(self.transact(Vec::new(), vec![write]));
            }
        };
        let call = self.begin_call();
        Some(StoreAction::Read { call, query })
    }

    fn transact(&mut self, checks: Vec<StoreCheck>, writes: Vec<StoreWrite>) -> StoreAction {
        let call = self.begin_call();
        StoreAction::Transact {
            call,
            checks,
            writes,
        }
    }

    fn begin_call(&mut self) -> CallId {
        let call = self.calls.next();
        self.pending_call = Some(call);
        call
    }

    fn handle_store_event(&mut self, now: Duration, event: StoreEvent) {
        if self.pending_call != Some(event.call) {
            return;
        }
        self.pending_call = None;
        self.next_call_at = now + millis(self.settings.interval_ms);
        match event.result {
            StoreResult::Rows(rows) => self.handle_rows(now, rows),
            StoreResult::Committed { .. } => self.handle_commit(),
            StoreResult::Conflict { .. } => self.step = Step::ReadBucket,
            StoreResult::Unavailable | StoreResult::Unknown => {
                self.failures = self.failures.saturating_add(1);
                self.next_call_at = now + self.backoff.delay(self.failures);
                self.prepare_retry();
                return;
            }
        }
        self.failures = 0;
    }

    // Claims removed by a delete without answer are not found when they are read again. If that
    // delete also removed the index row, the next delete conflicts and the bucket is read again.
    fn prepare_retry(&mut self) {
        if matches!(self.step, Step::Delete { .. }) {
            self.step = Step::ReadClaims;
        }
    }

    fn handle_rows(&mut self, now: Duration, rows: Vec<StoreRow>) {
        match self.step {
            Step::FindCursor => {
                let cursor = rows.first().and_then(|r| r.value.as_ref()?.parse().ok());
                self.bucket = cursor.unwrap_or(0);
                let has_cursor = cursor.is_some();
                self.step = if has_cursor {
                    Step::ReadBucket
                } else {
                    Step::FindOldest
                };
            }
            Step::FindOldest => {
                let oldest = rows.first().and_then(|r| bucket_of(&r.key));
                self.bucket = oldest.unwrap_or_else(|| claim_bucket(self.unix_ms(now)));
                self.step = Step::ReadBucket;
            }
            Step::ReadBucket => {
                self.index_rows = rows.into();
                self.next_index_row();
            }
            Step::ReadClaims => self.plan_deletes(now, &rows),
            Step::Delete { .. } | Step::MoveCursor => {}
        }
    }

    fn next_index_row(&mut self) {
        let Some(row) = self.index_rows.front() else {
            self.step = Step::MoveCursor;
            return;
        };
        let index = ClaimIndex::decode(row.value.as_deref().unwrap_or_default());
        self.claim_keys = index.keys.into();
        self.step = Step::ReadClaims;
    }

    /// Plans to delete the expired claims among `rows`, and their index row with the last of them.
    ///
    /// A key that was released and claimed again has a later expiry and a later index row. If its
    /// claim were deleted here, a repeat of the request would run a second time.
    fn plan_deletes(&mut self, now: Duration, rows: &[StoreRow]) {
        let unix_ms = self.unix_ms(now);
        let expired = rows.iter().filter(|row| is_expired(row, unix_ms));
        let mut to_delete: Vec<_> = expired.map(|r| (Arc::clone(&r.key), r.version)).collect();
        if self.claim_keys.len() <= self.settings.max_deletes {
            let index_row = self.index_rows.front();
            to_delete.extend(index_row.map(|r| (Arc::clone(&r.key), r.version)));
        }
        let check = |(key, version): &(Arc<str>, u64)| StoreCheck {
            key: Arc::clone(key),
            version: *version,
        };
        let delete = |(key, _): &(Arc<str>, u64)| StoreWrite {
            key: Arc::clone(key),
            value: None,
        };
        self.step = Step::Delete {
            checks: to_delete.iter().map(check).collect(),
            writes: to_delete.iter().map(delete).collect(),
        };
    }

    fn handle_commit(&mut self) {
        if self.step == Step::MoveCursor {
            self.bucket += 1;
            self.step = Step::ReadBucket;
            return;
        }
        let count = self.claim_keys.len().min(self.settings.max_deletes);
        self.claim_keys.drain(..count);
        if self.claim_keys.is_empty() {
            self.index_rows.pop_front();
            self.next_index_row();
        } else {
            self.step = Step::ReadClaims;
        }
    }

    fn unix_ms(&self, now: Duration) -> u64 {
        self.started_unix_ms + now.as_millis() as u64
    }
}

fn prefix_query(prefix: Arc<str>) -> StoreQuery {
    StoreQuery::Prefix {
        prefix,
        after_version: 0,
    }
}

fn bucket_of(index_key: &str) -> Option<u64> {
    let rest = index_key.strip_prefix(CLAIM_INDEX_PREFIX)?;
    rest.split('/').next()?.parse().ok()
}

fn is_expired(row: &StoreRow, unix_ms: u64) -> bool {
    let record = row.value.as_deref().and_then(ClaimRecord::decode);
    record.is_some_and(|r| r.expires_at_ms <= unix_ms)
}
