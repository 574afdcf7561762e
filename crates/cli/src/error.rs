//! How a command fails, and the exit code that says so.

use std::process::ExitCode;

use sedgeridge_transport::settings_files::ReadSettingsError;
use thiserror::Error;

use crate::config_commit::CommitError;
use crate::config_store::StoreError;
use crate::context::FetchError;
use crate::findings::refusal_json;

/// Exit code: the operation was tried and failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the input was refused and nothing was started.
pub const EXIT_BAD_INPUT: u8 = 2;

/// A failed command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The arguments make no command.
    #[error("error: {0}\n  hint: sedgeridge --help lists the commands")]
    Usage(String),
    /// The input was refused.
    #[error("{0}")]
    BadInput(String),
    /// The settings were refused.
    #[error("{cause}\n\n{}", counted(cause.count()))]
    Settings {
        /// Every finding.
        cause: ReadSettingsError,
        /// Whether the findings are also wanted as JSON on standard output.
        json: bool,
    },
    /// The operation was tried and failed.
    #[error("error: {0}")]
    Failed(String),
    /// A change of the configuration was not accepted, or is not known to be.
    #[error("error: {0}")]
    Commit(#[from] CommitError),
    /// Some hosts do not have a generation in force in time.
    #[error("error: generation {generation} is not in force on {late} hosts")]
    Late {
        /// Every host, for standard output.
        rows: String,
        /// The generation.
        generation: u64,
        /// Hosts without it.
        late: usize,
    },
}

impl CommandError {
    /// Asks for the findings of refused settings as JSON too.
    pub(crate) fn with_json(self) -> Self {
        match self {
            Self::Settings { cause, .. } => Self::Settings { cause, json: true },
            other => other,
        }
    }

    /// Gives the exit code.
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
            Self::Failed(_) | Self::Commit(_) | Self::Late { .. } => ExitCode::from(EXIT_FAILED),
        }
    }

    /// Gives what goes to standard output in spite of the failure.
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
            Self::Late { rows, .. } => rows.clone(),
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

impl From<FetchError> for CommandError {
    fn from(error: FetchError) -> Self {
        Self::Failed(error.to_string())
    }
}

fn counted(count: usize) -> String {
    match count {
        1 => "1 error".to_owned(),
        count => format!("{count} errors"),
    }
}
