//! Calls of the platform's transactional table service.
//!
//! `POST /v1/transact` runs all operations or none; `POST /v1/read` reads keys or a key range.

use serde::Deserialize;
use serde::Serialize;

/// Path of the transaction call.
pub const TRANSACT_PATH: &str = "/v1/transact";
/// Path of the read call.
pub const READ_PATH: &str = "/v1/read";

/// A transaction: every condition is checked, then every write is made, or none is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TransactRequest {
    /// Conditions on current versions.
    pub checks: Vec<VersionCheck>,
    /// Writes made when every condition holds.
    pub writes: Vec<RowWrite>,
}

/// Condition: the key stands at this version; version 0 means that the key is absent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionCheck {
    /// The key.
    pub key: String,
    /// The version it must have.
    pub version: u64,
}

/// A write; `value: None` deletes the key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Option<String>,
}

/// Answer to a transaction. HTTP status 200 either way; 429 and 503 carry no body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum TransactAnswer {
    /// Every write was made, at this version.
    Committed {
        /// Store-wide version, higher than any given before.
        version: u64,
    },
    /// Nothing was written; these rows did not match.
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
    /// Rows with this version or a lower one are left out.
    #[serde(default)]
    pub after_version: u64,
}

/// Answer to a read: the rows that exist, in key order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The rows.
    pub rows: Vec<Row>,
}

/// One row; an absent key has version 0 and no value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Version of the last write, 0 when absent.
    pub version: u64,
    /// The value.
    pub value: Option<String>,
}
