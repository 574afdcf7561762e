//! Paths and JSON messages of the platform's transactional table service.
//!
//! `POST /v1/transact` applies all operations or none; `POST /v1/read` reads single keys or all
//! keys with a prefix.

use serde::Deserialize;
use serde::Serialize;

/// Path of the transaction call.
pub const TRANSACT_PATH: &str = "/v1/transact";
/// Path of the read call.
pub const READ_PATH: &str = "/v1/read";

/// A transaction: all writes are made if all conditions hold, otherwise none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TransactRequest {
    /// Conditions on the current versions of keys.
    pub checks: Vec<VersionCheck>,
    /// Writes made if all conditions hold.
    pub writes: Vec<RowWrite>,
}

/// Condition that a key has this version; version 0 means that the key is absent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionCheck {
    pub key: String,
    pub version: u64,
}

/// Write of one key; `value: None` deletes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    pub key: String,
    pub value: Option<String>,
}

/// Answer to a transaction, with HTTP status 200 for both results; 429 and 503 have no body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum TransactAnswer {
    /// All writes were made, at this version.
    Committed {
        /// Store-wide version, higher than all earlier ones.
        version: u64,
    },
    /// Nothing was written; at least one condition failed.
    Conflict {
        /// Current rows of the keys whose condition failed.
        rows: Vec<Row>,
    },
}

/// A read of single keys, or of all keys with a prefix.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys to read.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Prefix to scan.
    #[serde(default)]
    pub prefix: Option<String>,
    /// Only rows with a higher version are returned.
    #[serde(default)]
    pub after_version: u64,
}

/// Answer to a read: the rows that exist, in key order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadAnswer {
    pub rows: Vec<Row>,
}

/// One row; an absent key has version 0 and no value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    /// Version of the last write; 0 if the key is absent.
    pub version: u64,
    pub value: Option<String>,
}
