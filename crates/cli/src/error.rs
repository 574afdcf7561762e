//! Errors of commands and their exit codes.

use std::process::ExitCode;

use sedgeridge_transport::settings_files::ReadSettingsError;
use thiserror::Error;

use crate::config_commit::CommitError;
use crate::config_store::StoreError;
use crate::context::PageError;
use crate::findings::refusal_json;

/// Exit code: the operation was tried and failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the input was refused and nothing was started.
pub const EXIT_BAD_INPUT: u8 = 2;

/// A failed command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The arguments are not a valid command.
    #[error("error: {0}\n  hint: sedgeridge --help lists the commands")]
    Usage(String),
    /// The input was refused.
    #[error("{0}")]
    BadInput(String),
    /// The settings were refused.
    #[error("{cause}\n\n{}", error_count_text(cause.count()))]
    Settings {
        /// All findings.
        cause: ReadSettingsError,
        /// Whether to print the findings as JSON on standard output too.
        json: bool,
    },
    /// The operation was tried and failed.
    #[error("error: {0}")]
    Failed(String),
    /// A change of the configuration was not accepted, or its outcome is unknown.
    #[error("error: {0}")]
    Commit(#[from] CommitError),
    /// A generation was not in force on some hosts before the timeout.
    #[error("error: generation {generation} is not in force on {lagging_hosts} hosts")]
    NotInForce {
        /// State of all hosts, for standard output.
        report: String,
        /// Expected generation.
        generation: u64,
        /// Number of hosts on which it is not in force.
        lagging_hosts: usize,
    },
}

impl CommandError {
    /// Makes [`Self::stdout`] return the findings of refused settings as JSON.
    pub(crate) fn with_json(self) -> Self {
        match self {
            Self::Settings { cause, .. } => Self::Settings { cause, json: true },
            other => other,
        }
    }

    /// Returns the exit code.
    ///
    /// ```
    /// use std::process::ExitCode;
    /// use sedgeridge_cli::error::CommandError;
    /// let error = CommandError::Failed("no answer".into());
    /// assert_eq!(error.exit_code(), ExitCode::from(1));
    /// ```
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::BadInput(_) | Self::Settings { .. } => {
                ExitCode::from(EXIT_BAD_INPUT)
            }
            Self::Failed(_) | Self::Commit(_) | Self::NotInForce { .. } => {
                ExitCode::from(EXIT_FAILED)
            }
        }
    }

    /// Returns the text that is printed to standard output despite the failure.
    ///
    /// ```
    /// use sedgeridge_cli::error::CommandError;
    /// assert_eq!(CommandError::Failed("no answer".into()).stdout(), "");
    /// ```
    pub fn stdout(&self) -> String {
        match self {
            Self::Settings {
                cause: ReadSettingsError::Refused(findings),
                json: true,
            } => refusal_json(findings),
            Self::NotInForce { report, .. } => report.clone(),
            _ => String::new(),
        }
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<ReadSettingsError> for CommandError {
    fn from(cause: ReadSettingsError) -> Self {
        Self::Settings { cause, json: false }
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<PageError> for CommandError {
    fn from(error: PageError) -> Self {
        Self::Failed(error.to_string())
    }
}

fn error_count_text(count: usize) -> String {
    match count {
        1 => "1 error".to_owned(),
        count => format!("{count} errors"),
    }
}
