//! Starts a process that runs on a host listed in the settings, and returns its exit code.

use std::env;
use std::io;
use std::process::ExitCode;

use sedgeridge_state::settings::HostSettings;
use sedgeridge_state::settings::Override;
use sedgeridge_state::settings::OverrideError;
use sedgeridge_state::settings::Settings;
use thiserror::Error;

use crate::event_log::start_log;
use crate::host_options::EXIT_BAD_INPUT;
use crate::host_options::Options;
use crate::host_options::ParsedArguments;
use crate::host_options::Program;
use crate::host_options::parse;
use crate::settings_files::ReadSettingsError;
use crate::settings_files::read_settings;

/// Exit code for a failure while running.
const EXIT_FAILURE: u8 = 1;

/// Failure of a process.
#[derive(Debug, Error)]
pub enum RunError {
    /// The settings cannot be used.
    #[error("settings refused, nothing started\n{0}")]
    Settings(#[from] ReadSettingsError),
    /// A `--set` option is malformed.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// The settings have no host of this name.
    #[error("--host {0}: the settings have no section [host.{0}]")]
    UnknownHost(String),
    /// The settings of this host do not include this process.
    #[error("--host {host}: [host.{host}] has no {key}, so this process does not run there")]
    NotOnHost {
        /// The host.
        host: String,
        /// The missing key, which would contain the process's address.
        key: &'static str,
    },
    /// The process could not get a resource that it needs from the system.
    #[error("{0}")]
    System(#[from] io::Error),
}

impl RunError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_)
            | Self::Override(_)
            | Self::UnknownHost(_)
            | Self::NotOnHost { .. } => EXIT_BAD_INPUT,
            Self::System(_) => EXIT_FAILURE,
        }
    }
}

/// Parses the command line, reads the settings and runs `serve` until the process is told to stop.
///
/// ```no_run
/// use sedgeridge_transport::host_options::Program;
/// use sedgeridge_transport::host_start::run_host;
///
/// let program = Program { name: "sedgeridge-router", purpose: "takes callers' requests" };
/// let code = run_host(program, |_settings, _host| Ok(()));
/// ```
pub fn run_host(
    program: Program,
    serve: fn(Settings, &HostSettings) -> Result<(), RunError>,
) -> ExitCode {
    let options = match parse(program, env::args_os().skip(1).collect()) {
        Ok(ParsedArguments::Run(options)) => options,
        Ok(ParsedArguments::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    match run(&options, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(
    options: &Options,
    serve: fn(Settings, &HostSettings) -> Result<(), RunError>,
) -> Result<(), RunError> {
    let settings = load_settings(options)?;
    let host = settings.host(&options.host).cloned();
    let host = host.ok_or_else(|| RunError::UnknownHost(options.host.clone()))?;
    start_log();
    serve(settings, &host)
}

fn load_settings(options: &Options) -> Result<Settings, RunError> {
    let mut overrides = Vec::new();
    for text in &options.overrides {
        overrides.push(Override::parse(text)?);
    }
    let overlay = options.overlay.as_deref();
    Ok(read_settings(&options.config, overlay, &overrides)?)
}
