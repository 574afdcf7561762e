//! Commits a new configuration: one conditional transaction, settled also when its answer is lost.

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

use crate::config_store::Accepted;
use crate::config_store::read_change;
use crate::context::Context;
use crate::context::TableError;

/// Most sends of one transaction.
pub const MAX_ATTEMPTS: u32 = 6;
/// Pause after the first attempt; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// A new configuration, not yet accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// The whole new configuration.
    pub document: ConfigDocument,
    /// Who asks for it.
    pub author: String,
    /// What it changes, in a line.
    pub summary: String,
}

/// Why a proposal is not known to be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommitError {
    /// Another change took the generation.
    #[error("conflict: generation {generation} is change {change_id} by {author} ({summary})")]
    Conflict {
        /// Generation that both wanted.
        generation: u64,
        /// The winner's change.
        change_id: String,
        /// The winner.
        author: String,
        /// What the winner changed.
        summary: String,
    },
    /// Another change took the generation, and which one could not be read.
    #[error("conflict: generation {generation} was taken by another change ({cause})")]
    UnnamedConflict {
        /// Generation that both wanted.
        generation: u64,
        /// Why the winner could not be read.
        cause: String,
    },
    /// Nothing was written.
    #[error("not accepted, nothing was written: {0}")]
    NotWritten(TableError),
    /// The write may have taken effect.
    #[error("unknown whether change {change_id} was accepted as generation {generation}: {cause}")]
    Unknown {
        /// Generation that the change wanted.
        generation: u64,
        /// The change.
        change_id: String,
        /// What reading back gave.
        cause: String,
    },
}

/// Commits a proposal as the generation after the one that was read.
///
/// The transaction is conditional on the head's version, so sending it again is safe: it takes
/// effect at most once. A conflict after a lost answer may be our own earlier send; the change id
/// found at the generation tells. Without that check an operator would be told of a conflict with
/// a change that is in force, and would apply it twice.
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
    accepted: &Accepted,
    proposal: &Proposal,
) -> Result<ConfigChange, CommitError> {
    let change = change_of(context.new_change_id(), accepted, proposal);
    let transact = transaction(accepted, &change);
    let mut in_doubt = false;
    let mut pause = FIRST_PAUSE;
    let mut attempt = 1;
    let last_error = loop {
        let error = match context.transact(table, &transact) {
            Ok(TransactAnswer::Committed { .. }) => return Ok(change),
            Ok(TransactAnswer::Conflict { .. }) => {
                return settle(context, table, change, in_doubt);
            }
            Err(error) => error,
        };
        in_doubt |= matches!(error, TableError::Unknown(_));
        if attempt == MAX_ATTEMPTS {
            break error;
        }
        attempt += 1;
        context.pause(pause);
        pause *= 2;
    };
    if !in_doubt {
        return Err(CommitError::NotWritten(last_error));
    }
    settle(context, table, change, in_doubt)
}

/// Settles by reading who holds the generation.
fn settle(
    context: &impl Context,
    table: SocketAddr,
    change: ConfigChange,
    in_doubt: bool,
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
    if !in_doubt {
        return Err(CommitError::UnnamedConflict { generation, cause });
    }
    Err(CommitError::Unknown {
        generation,
        change_id: change.change_id,
        cause,
    })
}

fn change_of(change_id: String, accepted: &Accepted, proposal: &Proposal) -> ConfigChange {
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

fn transaction(accepted: &Accepted, change: &ConfigChange) -> TransactRequest {
    let head = ConfigHead {
        generation: change.generation,
        change_id: change.change_id.clone(),
        snapshot_generation: snapshot_generation(change.generation),
    };
    let change_key = config_change_key(change.generation);
    let mut writes = vec![
        put(CONFIG_HEAD_KEY.to_owned(), &head),
        put(change_key.clone(), change),
    ];
    writes.extend(outdated_keys(change.generation).map(|key| RowWrite { key, value: None }));
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

fn put(key: String, record: &impl Serialize) -> RowWrite {
    let value = serde_json::to_string(record).expect("a record is plain data with text keys");
    RowWrite {
        key,
        value: Some(value),
    }
}

/// Names the rows that a snapshot makes outdated: those older than the snapshot before it. The
/// rows between stay, so a reader that holds an older head can still follow it.
fn outdated_keys(generation: u64) -> impl Iterator<Item = String> {
    let is_snapshot = snapshot_generation(generation) == generation;
    let end = generation.saturating_sub(GENERATIONS_PER_SNAPSHOT);
    let start = if is_snapshot {
        end.saturating_sub(GENERATIONS_PER_SNAPSHOT)
    } else {
        end
    };
    (start.max(1)..end).map(config_change_key)
}
