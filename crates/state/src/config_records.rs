//! Records of the accepted configuration in the platform's table service.
//!
//! A change is accepted by one conditional transaction, which replaces [`ConfigHead`] if it still
//! has the version that was read, and adds the [`ConfigChange`] of the new generation. Generations
//! have no gaps, and a change is never rewritten. The change stored for a generation therefore
//! shows reliably which of several concurrent operators succeeded.

use serde::Deserialize;
use serde::Serialize;

use crate::config_document::ConfigDocument;
use crate::config_document::SectionEdit;

/// Key of the [`ConfigHead`].
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Prefix of the keys of all [`ConfigChange`]s.
pub const CONFIG_CHANGE_PREFIX: &str = "config/gen/";
/// Number of generations from one snapshot to the next; a reader applies fewer deltas than this.
pub const GENERATIONS_PER_SNAPSHOT: u64 = 64;

/// Pointer to the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Generation of the active configuration.
    pub generation: u64,
    /// Id of the change that created this generation.
    pub change_id: String,
    /// Newest generation that is stored as a snapshot; later ones are deltas.
    pub snapshot_generation: u64,
}

/// The change that created one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Generation created by this change.
    pub generation: u64,
    /// Random id of the change. If the answer to the commit is lost, this id in the table shows
    /// that the change was accepted.
    pub change_id: String,
    /// Author of the change.
    pub author: String,
    /// One-line description of the change.
    pub summary: String,
    /// New content.
    pub content: ConfigContent,
}

/// Content of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigContent {
    /// The complete configuration.
    Snapshot(ConfigDocument),
    /// Differences from the previous generation.
    Delta(Vec<SectionEdit>),
}

/// Returns the table key of a generation. Keys sort in the order of the generations.
///
/// ```
/// use sedgeridge_state::config_records::config_change_key;
/// assert_eq!(config_change_key(7), "config/gen/00000000000000000007");
/// ```
pub fn config_change_key(generation: u64) -> String {
    format!("{CONFIG_CHANGE_PREFIX}{generation:020}")
}

/// Returns the newest generation, up to this one, that is stored as a snapshot.
///
/// ```
/// use sedgeridge_state::config_records::snapshot_generation;
/// assert_eq!(snapshot_generation(1), 1);
/// assert_eq!(snapshot_generation(64), 1);
/// assert_eq!(snapshot_generation(65), 65);
/// ```
pub fn snapshot_generation(generation: u64) -> u64 {
    generation - generation.saturating_sub(1) % GENERATIONS_PER_SNAPSHOT
}

impl ConfigContent {
    /// Returns the document of this generation, given that of the previous one.
    ///
    /// ```
    /// use sedgeridge_state::config_document::ConfigDocument;
    /// use sedgeridge_state::config_records::ConfigContent;
    /// let document = ConfigDocument::default();
    /// let content = ConfigContent::Snapshot(document.clone());
    /// assert_eq!(content.apply_to(ConfigDocument::default()), document);
    /// ```
    pub fn apply_to(&self, mut before: ConfigDocument) -> ConfigDocument {
        match self {
            Self::Snapshot(document) => document.clone(),
            Self::Delta(edits) => {
                before.apply(edits);
                before
            }
        }
    }
}
