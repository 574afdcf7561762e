//! Commits a new configuration in one conditional transaction, and finds out its outcome if the
//! answer is lost.

use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_protocol::table::RowWrite;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use sedgeridge_protocol::table::VersionCheck;
use sedgeridge_state::config_document::ConfigDocument;
use sedgeridge_state::config_records::CONFIG_HEAD_KEY;
use sedgeridge_state::config_records::ConfigChange;
use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::config_records::ConfigHead;
use sedgeridge_state::config_records::GENERATIONS_PER_SNAPSHOT;
use sedgeridge_state::config_records::config_change_key;
use sedgeridge_state::config_records::snapshot_generation;
use serde::Serialize;
use thiserror::Error;

use crate::config_store::AcceptedConfig;
use crate::config_store::read_change;
use crate::context::Context;
use crate::context::TableError;

/// Maximum number of times one transaction is sent.
pub const MAX_ATTEMPTS: u32 = 6;
/// Pause after the first attempt; it doubles after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// A new configuration, not yet accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The whole new configuration.
    pub document: ConfigDocument,
    /// Name of the operator who proposes it.
    pub author: String,
    /// One-line summary of the change.
    pub summary: String,
}

/// Error of a commit that was not accepted, or whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommitError {
    /// Another change was accepted as this generation.
    #[error("conflict: generation {generation} is change {change_id} by {author} ({summary})")]
    Conflict {
        /// Generation that both changes were for.
        generation: u64,
        /// Id of the accepted change.
        change_id: String,
        /// Author of the accepted change.
        author: String,
        /// Summary of the accepted change.
        summary: String,
    },
    /// Another change was accepted as this generation, and it could not be read.
    #[error("conflict: generation {generation} was taken by another change ({cause})")]
    UnnamedConflict {
        /// Generation that both changes were for.
        generation: u64,
        /// Reason why the accepted change could not be read.
        cause: String,
    },
    /// Nothing was written.
    #[error("not accepted, nothing was written: {0}")]
    NotWritten(TableError),
    /// The write may have taken effect.
    #[error("unknown whether change {change_id} was accepted as generation {generation}: {cause}")]
    OutcomeUnknown {
        /// Generation that the change was for.
        generation: u64,
        /// Id of the change.
        change_id: String,
        /// Result of reading the generation back.
        cause: String,
    },
}

/// Commits a proposal as the generation after the one that was read.
///
/// The transaction is conditional on the head's version, so sending it again is safe: it takes
/// effect at most once. A conflict after a lost answer may come from an earlier attempt of the same
/// commit; the change id found at the generation shows whether it does. Without that check, an
/// operator would see a conflict with their own accepted change and would apply it twice.
///
/// ```no_run
/// use sedgeridge_cli::config_commit::Proposal;
/// use sedgeridge_cli::config_commit::commit;
/// use sedgeridge_cli::config_store::read_accepted;
/// use sedgeridge_cli::system::SystemContext;
/// let context = SystemContext::default();
/// let table = "127.0.0.2:7000".parse().unwrap();
/// let accepted = read_accepted(&context, table).unwrap();
/// let proposal = Proposal {
///     document: accepted.document.clone(),
///     author: "demo".to_owned(),
///     summary: "nothing".to_owned(),
/// };
/// let change = commit(&context, table, &accepted, &proposal).unwrap();
/// ```
pub fn commit(
    context: &impl Context,
    table: SocketAddr,
    accepted: &AcceptedConfig,
    proposal: &Proposal,
) -> Result<ConfigChange, CommitError> {
    let change = new_change(context.new_change_id(), accepted, proposal);
    let transact = commit_request(accepted, &change);
    let mut maybe_written = false;
    let mut pause = INITIAL_BACKOFF;
    let mut attempt = 1;
    let last_error = loop {
        let error = match context.transact(table, &transact) {
            Ok(TransactAnswer::Committed { .. }) => return Ok(change),
            Ok(TransactAnswer::Conflict { .. }) => {
                return resolve_outcome(context, table, change, maybe_written);
            }
            Err(error) => error,
        };
        maybe_written |= matches!(error, TableError::OutcomeUnknown(_));
        if attempt == MAX_ATTEMPTS {
            break error;
        }
        attempt += 1;
        context.pause(pause);
        pause *= 2;
    };
    if !maybe_written {
        return Err(CommitError::NotWritten(last_error));
    }
    resolve_outcome(context, table, change, maybe_written)
}

/// Determines the outcome by reading which change was accepted as the generation.
fn resolve_outcome(
    context: &impl Context,
    table: SocketAddr,
    change: ConfigChange,
    maybe_written: bool,
) -> Result<ConfigChange, CommitError> {
    let generation = change.generation;
    let found = read_change(context, table, generation);
    let cause = match found {
        Ok(Some(holder)) if holder.change_id == change.change_id => return Ok(change),
        Ok(Some(holder)) => {
            return Err(CommitError::Conflict {
                generation,
                change_id: holder.change_id,
                author: holder.author,
                summary: holder.summary,
            });
        }
        Ok(None) => format!("no change found at generation {generation}"),
        Err(error) => error.to_string(),
    };
    if !maybe_written {
        return Err(CommitError::UnnamedConflict { generation, cause });
    }
    Err(CommitError::OutcomeUnknown {
        generation,
        change_id: change.change_id,
        cause,
    })
}

fn new_change(change_id: String, accepted: &AcceptedConfig, proposal: &Proposal) -> ConfigChange {
    let generation = accepted.generation() + 1;
    let content = if snapshot_generation(generation) == generation {
        ConfigContent::Snapshot(proposal.document.clone())
    } else {
        ConfigContent::Delta(accepted.document.edits_to(&proposal.document))
    };
    ConfigChange {
        generation,
        change_id,
        author: proposal.author.clone(),
        summary: proposal.summary.clone(),
        content,
    }
}

fn commit_request(accepted: &AcceptedConfig, change: &ConfigChange) -> TransactRequest {
    let head = ConfigHead {
        generation: change.generation,
        change_id: change.change_id.clone(),
        snapshot_generation: snapshot_generation(change.generation),
    };
    let change_key = config_change_key(change.generation);
    let mut writes = vec![
        write_record(CONFIG_HEAD_KEY.to_owned(), &head),
        write_record(change_key.clone(), change),
    ];
    writes.extend(outdated_change_keys(change.generation).map(|key| RowWrite { key, value: None }));
    TransactRequest {
        checks: vec![
            VersionCheck {
                key: CONFIG_HEAD_KEY.to_owned(),
                version: accepted.head_version,
            },
            VersionCheck {
                key: change_key,
                version: 0,
            },
        ],
        writes,
    }
}

fn write_record(key: String, record: &impl Serialize) -> RowWrite {
    let value = serde_json::to_string(record).expect("a record is plain data with text keys");
    RowWrite {
        key,
        value: Some(value),
    }
}

/// Returns the keys of the rows that a snapshot makes obsolete: those older than the snapshot
/// before it. The rows between the two stay, so that a reader with an older head can still read its
/// changes.
fn outdated_change_keys(generation: u64) -> impl Iterator<Item = String> {
    let is_snapshot = snapshot_generation(generation) == generation;
    let end = generation.saturating_sub(GENERATIONS_PER_SNAPSHOT);
    let start = if is_snapshot {
        end.saturating_sub(GENERATIONS_PER_SNAPSHOT)
    } else {
        end
    };
    (start.max(1)..end).map(config_change_key)
}
