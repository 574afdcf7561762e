//! An in-memory table service that always answers and counts its calls.

use std::collections::BTreeMap;
use std::sync::Arc;

use sedgeridge_coordination::store_call::ABSENT_VERSION;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_coordination::store_call::StoreCheck;
use sedgeridge_coordination::store_call::StoreEvent;
use sedgeridge_coordination::store_call::StoreQuery;
use sedgeridge_coordination::store_call::StoreResult;
use sedgeridge_coordination::store_call::StoreRow;
use sedgeridge_coordination::store_call::StoreWrite;
use sedgeridge_protocol::table;

/// Rows of the table and counts of its calls.
#[derive(Debug, Default)]
pub struct MemoryTable {
    /// Transactions executed, conflicts included.
    pub transactions: u64,
    /// Reads executed.
    pub reads: u64,
    /// Rows written.
    pub rows_written: u64,
    /// Bytes of all request bodies.
    pub call_bytes: u64,
    version: u64,
    rows: BTreeMap<Arc<str>, StoreRow>,
}

impl MemoryTable {
    /// Executes a call and returns its result.
    pub fn execute(&mut self, action: &StoreAction) -> StoreEvent {
        self.call_bytes += request_body_bytes(action);
        match action {
            StoreAction::Transact {
                call,
                checks,
                writes,
            } => StoreEvent {
                call: *call,
                result: self.transact(checks, writes),
            },
            StoreAction::Read { call, query } => StoreEvent {
                call: *call,
                result: self.read(query),
            },
        }
    }

    /// Writes a row unconditionally and returns its version.
    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        self.version += 1;
        let row = StoreRow {
            key: Arc::from(key),
            version: self.version,
            value: Some(Arc::from(value)),
        };
        self.rows.insert(Arc::clone(&row.key), row);
        self.version
    }

    /// Returns the number of rows.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the total size of all keys and values.
    pub fn row_bytes(&self) -> u64 {
        let rows = self.rows.values();
        let bytes = rows.map(|row| row.key.len() + row.value.as_ref().map_or(0, |v| v.len()));
        bytes.sum::<usize>() as u64
    }

    fn transact(&mut self, checks: &[StoreCheck], writes: &[StoreWrite]) -> StoreResult {
        self.transactions += 1;
        let failed = checks.iter().filter(|check| {
            let row = self.rows.get(&check.key);
            row.map_or(ABSENT_VERSION, |row| row.version) != check.version
        });
        let failed: Vec<StoreRow> = failed.map(|check| self.row_or_absent(&check.key)).collect();
        if !failed.is_empty() {
            return StoreResult::Conflict { rows: failed };
        }
        self.version += 1;
        self.rows_written += writes.len() as u64;
        for write in writes {
            let row = StoreRow {
                key: Arc::clone(&write.key),
                version: self.version,
                value: write.value.clone(),
            };
            self.rows.insert(Arc::clone(&write.key), row);
        }
        StoreResult::Committed {
            version: self.version,
        }
    }

    fn row_or_absent(&self, key: &Arc<str>) -> StoreRow {
        self.rows.get(key).cloned().unwrap_or_else(|| StoreRow {
            key: Arc::clone(key),
            version: ABSENT_VERSION,
            value: None,
        })
    }

    fn read(&mut self, query: &StoreQuery) -> StoreResult {
        self.reads += 1;
        let rows = match query {
            StoreQuery::Keys(keys) => keys.iter().filter_map(|key| self.rows.get(key)).collect(),
            StoreQuery::Prefix {
                prefix,
                after_version,
            } => self
                .rows
                .values()
                .filter(|row| row.key.starts_with(&**prefix) && row.version > *after_version)
                .collect::<Vec<_>>(),
        };
        StoreResult::Rows(rows.into_iter().cloned().collect())
    }
}

/// Returns the size of a call's body as the real codec writes it.
fn request_body_bytes(action: &StoreAction) -> u64 {
    let body = match action {
        StoreAction::Transact { checks, writes, .. } => {
            let checks = checks.iter().map(|check| table::VersionCheck {
                key: check.key.to_string(),
                version: check.version,
            });
            let writes = writes.iter().map(|write| table::RowWrite {
                key: write.key.to_string(),
                value: write.value.as_deref().map(str::to_owned),
            });
            serde_json::to_vec(&table::TransactRequest {
                checks: checks.collect(),
                writes: writes.collect(),
            })
        }
        StoreAction::Read { query, .. } => serde_json::to_vec(&match query {
            StoreQuery::Keys(keys) => table::ReadRequest {
                keys: keys.iter().map(ToString::to_string).collect(),
                ..table::ReadRequest::default()
            },
            StoreQuery::Prefix {
                prefix,
                after_version,
            } => table::ReadRequest {
                prefix: Some(prefix.to_string()),
                after_version: *after_version,
                ..table::ReadRequest::default()
            },
        }),
    };
    body.map_or(0, |body| body.len() as u64)
}
