//! An in-memory table service whose calls fail as the tests choose.

use std::collections::BTreeMap;
use std::sync::Arc;

use sedgeridge_coordination::store_call::CallId;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_coordination::store_call::StoreCheck;
use sedgeridge_coordination::store_call::StoreEvent;
use sedgeridge_coordination::store_call::StoreQuery;
use sedgeridge_coordination::store_call::StoreResult;
use sedgeridge_coordination::store_call::StoreRow;
use sedgeridge_coordination::store_call::StoreWrite;

/// Number of earlier states kept for stale reads.
const MAX_HISTORY_LEN: usize = 8;

/// How the store treats one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Executes it and answers.
    Answered,
    /// Executes it; the answer is lost.
    AnswerLost,
    /// Never executes it; the caller gets no answer.
    CallLost,
    /// Gives no answer and executes a write when [`Store::run_delayed_write`] is called.
    Delayed,
    /// Refuses it.
    Refused,
    /// Answers a read with the rows of this many commits ago, and a write as usual.
    Stale(usize),
}

/// Rows, their history and the delayed writes.
#[derive(Debug, Default)]
pub struct Store {
    pub version: u64,
    pub transactions: u64,
    pub rows_written: u64,
    pub reads: u64,
    /// Keeps no earlier states, to keep long runs fast; stale reads then return current rows.
    pub keeps_no_history: bool,
    rows: BTreeMap<Arc<str>, StoreRow>,
    history: Vec<BTreeMap<Arc<str>, StoreRow>>,
    delayed_writes: Vec<(Vec<StoreCheck>, Vec<StoreWrite>)>,
}

impl Store {
    /// Executes a call with the given outcome.
    pub fn call(&mut self, action: &StoreAction, outcome: CallOutcome) -> StoreEvent {
        match action {
            StoreAction::Transact {
                call,
                checks,
                writes,
            } => event(*call, self.write(checks, writes, outcome)),
            StoreAction::Read { call, query } => event(*call, self.read(query, outcome)),
        }
    }

    /// Delays a write that was sent, as when its sender dies.
    pub fn delay_write(&mut self, action: &StoreAction) {
        if let StoreAction::Transact { checks, writes, .. } = action {
            self.delayed_writes.push((checks.clone(), writes.clone()));
        }
    }

    /// Executes the oldest delayed write.
    pub fn run_delayed_write(&mut self) {
        if !self.delayed_writes.is_empty() {
            let (checks, writes) = self.delayed_writes.remove(0);
            self.transact(&checks, &writes);
        }
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.rows.get(key)?.value.as_deref()
    }

    /// Returns the version of a key that exists.
    pub fn version_of(&self, key: &str) -> Option<u64> {
        self.rows.get(key).map(|r| r.version)
    }

    /// Counts the rows whose key has this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.rows.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Writes a row unconditionally.
    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        let write = StoreWrite {
            key: Arc::from(key),
            value: Some(Arc::from(value)),
        };
        self.transact(&[], &[write]);
        self.version
    }

    fn write(
        &mut self,
        checks: &[StoreCheck],
        writes: &[StoreWrite],
        outcome: CallOutcome,
    ) -> StoreResult {
        match outcome {
            CallOutcome::Answered | CallOutcome::Stale(_) => self.transact(checks, writes),
            CallOutcome::AnswerLost => {
                self.transact(checks, writes);
                StoreResult::Unknown
            }
            CallOutcome::CallLost => StoreResult::Unknown,
            CallOutcome::Delayed => {
                self.delayed_writes.push((checks.to_vec(), writes.to_vec()));
                StoreResult::Unknown
            }
            CallOutcome::Refused => StoreResult::Unavailable,
        }
    }

    fn transact(&mut self, checks: &[StoreCheck], writes: &[StoreWrite]) -> StoreResult {
        self.transactions += 1;
        let failed = checks.iter().map(|c| (c.version, self.row(&c.key)));
        let rows: Vec<_> = failed
            .filter(|(version, row)| *version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !rows.is_empty() {
            return StoreResult::Conflict { rows };
        }
        if !self.keeps_no_history {
            self.history.push(self.rows.clone());
        }
        let excess = self.history.len().saturating_sub(MAX_HISTORY_LEN);
        self.history.drain(..excess);
        self.version += 1;
        for write in writes {
            self.rows_written += 1;
            let row = StoreRow {
                key: Arc::clone(&write.key),
                version: self.version,
                value: write.value.clone(),
            };
            match row.value {
                Some(_) => self.rows.insert(Arc::clone(&write.key), row),
                None => self.rows.remove(&write.key),
            };
        }
        StoreResult::Committed {
            version: self.version,
        }
    }

    fn read(&mut self, query: &StoreQuery, outcome: CallOutcome) -> StoreResult {
        self.reads += 1;
        match outcome {
            CallOutcome::Refused => StoreResult::Unavailable,
            CallOutcome::AnswerLost | CallOutcome::CallLost | CallOutcome::Delayed => {
                StoreResult::Unknown
            }
            CallOutcome::Answered => StoreResult::Rows(select(&self.rows, query)),
            CallOutcome::Stale(commits_ago) => {
                let index = self.history.len().checked_sub(commits_ago.max(1));
                let rows = index.map_or(&self.rows, |i| &self.history[i]);
                StoreResult::Rows(select(rows, query))
            }
        }
    }

    fn row(&self, key: &Arc<str>) -> StoreRow {
        let absent = StoreRow {
            key: Arc::clone(key),
            version: 0,
            value: None,
        };
        self.rows.get(key).cloned().unwrap_or(absent)
    }
}

fn select(rows: &BTreeMap<Arc<str>, StoreRow>, query: &StoreQuery) -> Vec<StoreRow> {
    match query {
        StoreQuery::Keys(keys) => keys.iter().filter_map(|k| rows.get(k).cloned()).collect(),
        StoreQuery::Prefix {
            prefix,
            after_version,
        } => rows
            .values()
            .filter(|r| r.key.starts_with(&**prefix) && r.version > *after_version)
            .cloned()
            .collect(),
    }
}

fn event(call: CallId, result: StoreResult) -> StoreEvent {
    StoreEvent { call, result }
}
