//! Reads the accepted configuration from the table service.

use std::net::SocketAddr;

use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_records::CONFIG_HEAD_KEY;
use sedgeridge_state::config_records::ConfigChange;
use sedgeridge_state::config_records::ConfigHead;
use sedgeridge_state::config_records::config_change_key;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::context::TableClient;
use crate::context::TableError;

/// The accepted configuration as read from the table service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AcceptedConfig {
    /// Head record; `None` if no configuration was ever accepted.
    pub head: Option<ConfigHead>,
    /// Version of the head's row; 0 if there is none.
    pub head_version: u64,
    /// The whole configuration.
    pub document: ConfigDocument,
}

impl AcceptedConfig {
    /// Accepted generation; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.head.as_ref().map_or(0, |head| head.generation)
    }
}

/// Error of reading the accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The call of the table service failed.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A row is missing or can't be parsed.
    #[error("row {key} of the table service: {problem}")]
    Row {
        /// Key of the row.
        key: String,
        /// Description of the problem.
        problem: String,
    },
}

/// Reads the accepted configuration: the last snapshot and the changes after it.
///
/// ```no_run
/// use sedgeridge_cli::config_store::read_accepted;
/// use sedgeridge_cli::system::SystemContext;
/// let table = "127.0.0.2:7000".parse().unwrap();
/// let accepted = read_accepted(&SystemContext::default(), table).unwrap();
/// ```
pub fn read_accepted(
    client: &impl TableClient,
    table: SocketAddr,
) -> Result<AcceptedConfig, StoreError> {
    let rows = read_keys(client, table, vec![CONFIG_HEAD_KEY.to_owned()])?;
    let Some(row) = rows.iter().find(|row| row.value.is_some()) else {
        return Ok(AcceptedConfig::default());
    };
    let head: ConfigHead = parse_row(row)?;
    let generations = head.snapshot_generation..=head.generation;
    let keys = generations.clone().map(config_change_key).collect();
    let changes = read_keys(client, table, keys)?;
    let mut document = ConfigDocument::default();
    for generation in generations {
        let key = config_change_key(generation);
        let change: ConfigChange = match changes.iter().find(|row| row.key == key) {
            Some(row) => parse_row(row)?,
            None => return Err(missing_row(key)),
        };
        document = change.content.apply_to(document);
    }
    Ok(AcceptedConfig {
        head_version: row.version,
        head: Some(head),
        document,
    })
}

/// Reads the change that created a generation; `None` if its row does not exist.
///
/// ```no_run
/// use sedgeridge_cli::config_store::read_change;
/// use sedgeridge_cli::system::SystemContext;
/// let table = "127.0.0.2:7000".parse().unwrap();
/// let change = read_change(&SystemContext::default(), table, 7).unwrap();
/// ```
pub fn read_change(
    client: &impl TableClient,
    table: SocketAddr,
    generation: u64,
) -> Result<Option<ConfigChange>, StoreError> {
    let rows = read_keys(client, table, vec![config_change_key(generation)])?;
    let present = rows.iter().find(|row| row.value.is_some());
    present.map(parse_row).transpose()
}

fn read_keys(
    client: &impl TableClient,
    table: SocketAddr,
    keys: Vec<String>,
) -> Result<Vec<Row>, TableError> {
    let read = ReadRequest {
        keys,
        ..ReadRequest::default()
    };
    client.read(table, &read).map(|answer| answer.rows)
}

fn parse_row<T: DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    let Some(value) = &row.value else {
        return Err(missing_row(row.key.clone()));
    };
    serde_json::from_str(value).map_err(|error| StoreError::Row {
        key: row.key.clone(),
        problem: error.to_string(),
    })
}

fn missing_row(key: String) -> StoreError {
    StoreError::Row {
        key,
        problem: "missing; read again, a newer snapshot may have replaced it".to_owned(),
    }
}
