//! Overrides from the command line: the third layer, above the base file and the overlay.

use std::sync::Arc;

use thiserror::Error;

/// File name reported for findings in overrides.
pub const OVERRIDE_FILE_NAME: &str = "--set";

/// One `--set section.key=value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Section header, such as `front` or `account.crew-07`.
    pub section: Arc<str>,
    pub key: Arc<str>,
    /// Value as written in a file.
    pub value: Arc<str>,
}

/// An override that is not of the form `section.key=value`.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("--set: expected `section.key=value`, found `{found}`")]
pub struct OverrideError {
    /// The invalid argument.
    pub found: String,
}

impl Override {
    /// Parses the argument of `--set`. The last dot before `=` separates the section from the key.
    ///
    /// ```
    /// use sedgeridge_state::settings::Override;
    /// let parsed = Override::parse("account.crew-07.weight=3").unwrap();
    /// assert_eq!(&*parsed.section, "account.crew-07");
    /// assert_eq!(&*parsed.key, "weight");
    /// ```
    pub fn parse(argument: &str) -> Result<Self, OverrideError> {
        let parts = argument
            .split_once('=')
            .and_then(|(path, value)| Some((path.trim().rsplit_once('.')?, value.trim())));
        match parts {
            Some(((section, key), value)) if !section.is_empty() && !key.is_empty() => Ok(Self {
                section: section.into(),
                key: key.into(),
                value: value.into(),
            }),
            _ => Err(OverrideError {
                found: argument.to_owned(),
            }),
        }
    }
}
