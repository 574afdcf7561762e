//! Rows of the table service, with all-or-nothing conditional transactions.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use sedgeridge_protocol::table::VersionCheck;

/// Retention of earlier rows for stale reads.
const HISTORY_RETENTION: Duration = Duration::from_secs(60);

/// The current rows, and the rows replaced within the retention.
#[derive(Debug, Default)]
pub struct TableStore {
    rows: BTreeMap<String, Row>,
    version: u64,
    history: VecDeque<ReplacedRow>,
}

/// A row as it was before a write, and the time of the write.
#[derive(Debug)]
struct ReplacedRow {
    at: Duration,
    before: Row,
}

impl TableStore {
    /// Runs a transaction: makes all writes if every version check passes, else none.
    pub fn transact(&mut self, now: Duration, transact: TransactRequest) -> TransactAnswer {
        let rows: Vec<Row> = transact
            .checks
            .iter()
            .filter_map(|check| self.conflicting_row(check))
            .collect();
        if !rows.is_empty() {
            return TransactAnswer::Conflict { rows };
        }
        self.version += 1;
        for write in transact.writes {
            self.write(now, write.key, write.value);
        }
        self.prune_history(now);
        TransactAnswer::Committed {
            version: self.version,
        }
    }

    /// Reads the current rows.
    pub fn read(&self, read: &ReadRequest) -> ReadAnswer {
        select(&self.rows, read)
    }

    /// Reads the rows as they were at an earlier time.
    pub fn read_as_of(&self, at: Duration, read: &ReadRequest) -> ReadAnswer {
        let mut rows = self.rows.clone();
        for replaced in self.history.iter().rev() {
            if replaced.at <= at {
                break;
            }
            let before = replaced.before.clone();
            if before.value.is_some() {
                rows.insert(before.key.clone(), before);
            } else {
                rows.remove(&before.key);
            }
        }
        select(&rows, read)
    }

    fn conflicting_row(&self, check: &VersionCheck) -> Option<Row> {
        let row = self.row(&check.key);
        (row.version != check.version).then_some(row)
    }

    fn row(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_else(|| Row {
            key: key.to_owned(),
            version: 0,
            value: None,
        })
    }

    fn write(&mut self, now: Duration, key: String, value: Option<String>) {
        let before = self.row(&key);
        self.history.push_back(ReplacedRow { at: now, before });
        match value {
            None => {
                self.rows.remove(&key);
            }
            Some(value) => {
                let row = Row {
                    key: key.clone(),
                    version: self.version,
                    value: Some(value),
                };
                self.rows.insert(key, row);
            }
        }
    }

    fn prune_history(&mut self, now: Duration) {
        let is_old = |replaced: &ReplacedRow| replaced.at + HISTORY_RETENTION < now;
        while self.history.front().is_some_and(is_old) {
            self.history.pop_front();
        }
    }
}

fn select(rows: &BTreeMap<String, Row>, read: &ReadRequest) -> ReadAnswer {
    let mut found: BTreeMap<&str, &Row> = BTreeMap::new();
    for key in &read.keys {
        if let Some(row) = rows.get(key) {
            found.insert(&row.key, row);
        }
    }
    if let Some(prefix) = &read.prefix {
        let in_range = rows
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(prefix.as_str()));
        for (key, row) in in_range {
            found.insert(key, row);
        }
    }
    ReadAnswer {
        rows: found
            .into_values()
            .filter(|row| row.version > read.after_version)
            .cloned()
            .collect(),
    }
}
