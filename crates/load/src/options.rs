//! Command line values shared by the subcommands.

use std::str::FromStr;

use thiserror::Error;

/// A command line that cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OptionError {
    /// `--set` without the form `section.key=value`.
    #[error("--set {0}: expected section.key=value, such as fair.order=fifo")]
    Override(String),
    /// A deployment that does not exist.
    #[error("--deployment {0}: expected one of small, luce, malardalen")]
    Deployment(String),
}

/// One `--set section.key=value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Override {
    /// Section, which may itself hold a dot.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// New value.
    pub value: String,
}

impl FromStr for Override {
    type Err = OptionError;

    /// ```
    /// use sedgeridge_load::options::Override;
    /// let set: Override = "service.booking.repeatable=false".parse().unwrap();
    /// assert_eq!(set.section, "service.booking");
    /// ```
    fn from_str(text: &str) -> Result<Self, OptionError> {
        let malformed = || OptionError::Override(text.to_owned());
        let (path, value) = text.split_once('=').ok_or_else(malformed)?;
        let (section, key) = path.rsplit_once('.').ok_or_else(malformed)?;
        if section.is_empty() || key.is_empty() {
            return Err(malformed());
        }
        Ok(Self {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
        })
    }
}
