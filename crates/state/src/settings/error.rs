//! Findings of the loader, with location, setting, expected value and a hint.

use std::fmt;
use std::sync::Arc;

use thiserror::Error;

/// One finding in the settings. The loader returns all findings together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// File name, or `--set` for an override.
    pub file: Arc<str>,
    /// Line in the file, or position of the override; counted from 1.
    pub line: usize,
    /// Section header as written; empty before the first header.
    pub section: Arc<str>,
    /// Key as written; empty if the finding concerns the whole section.
    pub key: Arc<str>,
    /// What was expected and what was found.
    pub problem: Problem,
    /// Suggested correction.
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

/// Reason why a value or a name is refused, without its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// What was expected and what was found.
    pub problem: Problem,
    /// Suggested correction.
    pub hint: Option<String>,
}

impl Rejection {
    /// Creates a rejection; the hint is optional.
    pub(super) fn new(problem: Problem, hint: impl Into<Option<String>>) -> Self {
        Self {
            problem,
            hint: hint.into(),
        }
    }
}

/// Problem with a setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The line is not a section header, pair, comment or blank line.
    #[error("expected `[section]` or `key = value`, found `{found}`")]
    Syntax {
        /// The line.
        found: String,
    },
    /// A pair comes before the first section header.
    #[error("expected a section header before the first key")]
    OutsideSection,
    /// The schema does not have this section.
    #[error("expected a known section, found `{found}`")]
    UnknownSection {
        /// The section.
        found: String,
    },
    /// The section does not have this key.
    #[error("expected a key of this section, found `{found}`")]
    UnknownKey {
        /// The key.
        found: String,
    },
    /// The section or key already occurs in this file.
    #[error("expected once, found again after line {first_line}")]
    Repeated {
        /// Line of the first occurrence.
        first_line: usize,
    },
    /// The value has the wrong type.
    #[error("expected {expected}, found `{found}`")]
    WrongType {
        /// The type.
        expected: String,
        /// The value.
        found: String,
    },
    /// The value has a unit, which belongs only in the key's name.
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
    /// A mandatory key is missing.
    #[error("expected {expected}, found nothing")]
    Missing {
        /// Description of the expected value.
        expected: String,
    },
    /// Two settings have the same value, which must be unique.
    #[error("expected a unique {what}, found that of [{owner}]")]
    Duplicate {
        /// Kind of value.
        what: &'static str,
        /// Section that already has the value.
        owner: String,
    },
    /// The value or header names a section that does not exist.
    #[error("expected the name of a [{section}.NAME] section, found `{found}`")]
    UnknownName {
        /// Kind of section.
        section: &'static str,
        /// The value.
        found: String,
    },
    /// A name is empty, too long or contains characters that are not allowed.
    #[error("expected {expected}, found `{found}`")]
    BadName {
        /// The accepted form.
        expected: String,
        /// The name.
        found: String,
    },
    /// No endpoint belongs to the pool.
    #[error("expected at least one endpoint in the pool, found none")]
    EmptyPool,
    /// An overlay sets a key that only the base file may set.
    #[error("expected in the base file only, found in an overlay")]
    BaseOnly,
}
