//! Findings of the loader: where, which setting, what was expected, and a hint.

use std::fmt;
use std::sync::Arc;

use thiserror::Error;

/// One finding in the settings. A load reports all of them together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// File, or `--set` for an override.
    pub file: Arc<str>,
    /// Line in the file, or position of the override; counted from 1.
    pub line: usize,
    /// Section as written, empty before the first section header.
    pub section: Arc<str>,
    /// Key as written, empty when the finding concerns the whole section.
    pub key: Arc<str>,
    /// What was expected and what was found.
    pub problem: Problem,
    /// How it may be put right.
    pub hint: Option<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: error: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.problem)?;
        match &self.hint {
            Some(hint) => write!(f, "\n  hint: {hint}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Why a value or a name is refused, without the place where it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// What was expected and what was found.
    pub problem: Problem,
    /// How it may be put right.
    pub hint: Option<String>,
}

impl Rejection {
    /// Makes a rejection; the hint may be absent.
    pub(super) fn new(problem: Problem, hint: impl Into<Option<String>>) -> Self {
        Self {
            problem,
            hint: hint.into(),
        }
    }
}

/// What is wrong with a setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The line is no section header, pair, comment or blank.
    #[error("expected `[section]` or `key = value`, found `{found}`")]
    Syntax {
        /// The line.
        found: String,
    },
    /// A pair stands before the first section header.
    #[error("expected a section header before the first key")]
    OutsideSection,
    /// The schema has no such section.
    #[error("expected a known section, found `{found}`")]
    UnknownSection {
        /// The section.
        found: String,
    },
    /// The section has no such key.
    #[error("expected a key of this section, found `{found}`")]
    UnknownKey {
        /// The key.
        found: String,
    },
    /// The section or key was already given in this file.
    #[error("expected once, found again after line {first_line}")]
    Repeated {
        /// Line of the first one.
        first_line: usize,
    },
    /// The value has another type.
    #[error("expected {expected}, found `{found}`")]
    WrongType {
        /// The type.
        expected: String,
        /// The value.
        found: String,
    },
    /// The value carries a unit; the unit is part of the key.
    #[error("expected {expected} without a unit, found `{found}`")]
    WrongUnit {
        /// The type.
        expected: String,
        /// The value.
        found: String,
    },
    /// The value lies outside the accepted range.
    #[error("expected {expected}, found `{found}`")]
    OutOfRange {
        /// The range.
        expected: String,
        /// The value.
        found: String,
    },
    /// A mandatory key or section is absent.
    #[error("expected {expected}, found nothing")]
    Missing {
        /// What should be there.
        expected: String,
    },
    /// Two settings share a value that must be unique.
    #[error("expected a unique {what}, found that of [{owner}]")]
    Duplicate {
        /// Kind of value.
        what: &'static str,
        /// Section that holds it already.
        owner: String,
    },
    /// The value names a section that does not exist.
    #[error("expected the name of a [{section}.NAME] section, found `{found}`")]
    UnknownName {
        /// Kind of section.
        section: &'static str,
        /// The value.
        found: String,
    },
    /// A name is empty, too long or holds other characters.
    #[error("expected {expected}, found `{found}`")]
    BadName {
        /// The accepted form.
        expected: String,
        /// The name.
        found: String,
    },
    /// A pool that no endpoint belongs to.
    #[error("expected at least one endpoint in the pool, found none")]
    EmptyPool,
    /// An overlay sets what holds everywhere.
    #[error("expected in the base file only, found in an overlay")]
    BaseOnly,
}
