//! Records of the accepted configuration in the platform's table service.
//!
//! A change is accepted by one conditional transaction: [`ConfigHead`] is replaced, on condition
//! that it stands at the version that was read, and the [`ConfigChange`] of the new generation is
//! added. Generations have no gaps, and a change is never rewritten. So whoever finds a change at
//! a generation knows for good which operator won it.

use serde::Deserialize;
use serde::Serialize;

use crate::config_document::ConfigDocument;
use crate::config_document::SectionEdit;

/// Key of the [`ConfigHead`].
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Prefix of the keys of all [`ConfigChange`]s.
pub const CONFIG_CHANGE_PREFIX: &str = "config/gen/";
/// Generations from one snapshot to the next; a reader applies fewer deltas than this.
pub const GENERATIONS_PER_SNAPSHOT: u64 = 64;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Generation in force.
    pub generation: u64,
    /// Change that made it.
    pub change_id: String,
    /// Newest generation that is stored whole; the later ones are deltas.
    pub snapshot_generation: u64,
}

/// The change that made one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Generation made by this change.
    pub generation: u64,
    /// Random name of the change. It settles a lost answer: who finds it in the table won.
    pub change_id: String,
    /// Who asked for it.
    pub author: String,
    /// What it does, in a line.
    pub summary: String,
    /// Content.
    pub content: ConfigContent,
}

/// Content of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigContent {
    /// The whole configuration.
    Snapshot(ConfigDocument),
    /// What differs from the generation before.
    Delta(Vec<SectionEdit>),
}

/// Names the key of a generation; keys sort as the generations do.
///
/// ```
/// use sedgeridge_state::config_records::config_change_key;
/// assert_eq!(config_change_key(7), "config/gen/00000000000000000007");
/// ```
pub fn config_change_key(generation: u64) -> String {
    format!("{CONFIG_CHANGE_PREFIX}{generation:020}")
}

/// Finds the newest generation, up to this one, that is stored whole.
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
    /// Makes the document of this generation from that of the one before.
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
