//! Typed settings of each stand-in, read from the command line.

pub mod engine;
pub mod hosts;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod weights;

use std::ffi::OsString;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use pico_args::Arguments;
use thiserror::Error;

use crate::endpoint::EndpointConfig;

/// Help text of the options that every stand-in has.
pub const COMMON_OPTIONS: &str =
    "  --listen IP:PORT   address to listen on; port 0 takes a free one [default: 127.0.0.1:0]
  --name NAME        name in the start line and in records
  --help             print this help
  --version          print the version
";

/// Help text of the options of engines and plain services.
pub const ENDPOINT_OPTIONS: &str = "  --slots N          requests that run at the same time
  --report-lag-ms N  lag of load reports [default: 0]
  --ledger-file PATH file that keeps the ledger across a crash
";

/// Why a command line is invalid.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An option has no value, or one that is not valid UTF-8.
    #[error("{0}")]
    Option(#[from] pico_args::Error),
    /// The value of an option cannot be parsed.
    #[error("{option}: `{value}` is not understood: {cause}")]
    Value {
        /// The option.
        option: &'static str,
        /// The given value.
        value: String,
        /// The parse error.
        cause: String,
    },
    /// An argument is unknown.
    #[error("unknown argument `{0}`")]
    Unknown(String),
    /// A value is out of range.
    #[error("{option}: expected {expected}")]
    Range {
        /// The option.
        option: &'static str,
        /// The allowed range.
        expected: &'static str,
    },
    /// A required option is missing.
    #[error("{0} must be given")]
    Missing(&'static str),
}

/// Settings that can be read from the command line.
pub trait CommandLine: Default {
    /// Text of `--help`.
    fn help() -> String;

    /// Reads the known options; absent ones keep their default.
    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError>;

    /// Parses a whole command line; an unknown argument is an error.
    fn parse(arguments: Vec<OsString>) -> Result<Self, UsageError> {
        let mut config = Self::default();
        let mut arguments = Arguments::from_vec(arguments);
        config.read(&mut arguments)?;
        match arguments.finish().first() {
            Some(unknown) => Err(UsageError::Unknown(unknown.to_string_lossy().into_owned())),
            None => Ok(config),
        }
    }
}

/// Stores the value of an option in `target` if the option is given.
pub fn read_option<T>(
    arguments: &mut Arguments,
    name: &'static str,
    target: &mut T,
) -> Result<(), UsageError>
where
    T: FromStr,
    T::Err: Display,
{
    match arguments.opt_value_from_str(name) {
        Ok(Some(value)) => *target = value,
        Ok(None) => {}
        Err(pico_args::Error::Utf8ArgumentParsingFailed { value, cause }) => {
            return Err(UsageError::Value {
                option: name,
                value,
                cause,
            });
        }
        Err(error) => return Err(error.into()),
    }
    Ok(())
}

/// Checks that a number is finite and above zero.
pub fn check_positive(name: &'static str, value: f64) -> Result<(), UsageError> {
    check_range(name, value.is_finite() && value > 0.0, "a number above 0")
}

/// Checks that a number is finite and not negative.
pub fn check_not_negative(name: &'static str, value: f64) -> Result<(), UsageError> {
    check_range(name, value.is_finite() && value >= 0.0, "0 or more")
}

/// Returns an error that names the allowed range unless `is_valid`.
pub fn check_range(
    option: &'static str,
    is_valid: bool,
    expected: &'static str,
) -> Result<(), UsageError> {
    if is_valid {
        Ok(())
    } else {
        Err(UsageError::Range { option, expected })
    }
}

/// Default listening address: any free port on the loopback interface.
pub fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl EndpointConfig {
    /// Reads the options of [`ENDPOINT_OPTIONS`].
    pub fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        read_option(arguments, "--name", &mut self.name)?;
        read_option(arguments, "--slots", &mut self.slots)?;
        read_option(arguments, "--report-lag-ms", &mut self.report_lag_ms)?;
        let ledger_file: Option<PathBuf> = arguments.opt_value_from_str("--ledger-file")?;
        self.ledger_file = ledger_file.or(self.ledger_file.take());
        check_range("--slots", self.slots > 0, "1 or more")
    }
}
