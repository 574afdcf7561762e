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

/// Options that every stand-in has.
pub const COMMON_OPTIONS: &str =
    "  --listen IP:PORT   address to listen on; port 0 takes a free one [default: 127.0.0.1:0]
  --name NAME        name in the start line and in records
  --help             print this help
  --version          print the version
";

/// Options of engines and plain services.
pub const ENDPOINT_OPTIONS: &str = "  --slots N          requests that run at the same time
  --report-lag-ms N  lag of load reports [default: 0]
  --ledger-file PATH file that keeps the ledger across a crash
";

/// Why a command line is not understood.
#[derive(Debug, Error)]
pub enum UsageError {
    /// An option has no value, or one that is no text.
    #[error("{0}")]
    Option(#[from] pico_args::Error),
    /// An option has a bad value.
    #[error("{option}: `{value}` is not understood: {cause}")]
    Value {
        /// The option.
        option: &'static str,
        /// What was given.
        value: String,
        /// What is wrong with it.
        cause: String,
    },
    /// Something on the command line is not known.
    #[error("unknown argument `{0}`")]
    Unknown(String),
    /// A value is out of range.
    #[error("{option}: expected {expected}")]
    Range {
        /// The option.
        option: &'static str,
        /// What is allowed.
        expected: &'static str,
    },
    /// An option that must be given is not.
    #[error("{0} must be given")]
    Missing(&'static str),
}

/// Settings that can be read from the command line.
pub trait CommandLine: Default {
    /// Text of `--help`.
    fn help() -> String;

    /// Takes the options that are known; those left out keep their default.
    fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError>;

    /// Reads a whole command line.
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

/// Puts the value of an option into its place, if the option is given.
pub fn option<T>(
    arguments: &mut Arguments,
    name: &'static str,
    place: &mut T,
) -> Result<(), UsageError>
where
    T: FromStr,
    T::Err: Display,
{
    match arguments.opt_value_from_str(name) {
        Ok(Some(value)) => *place = value,
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

/// Checks that a number is a finite one above zero.
pub fn above_zero(name: &'static str, value: f64) -> Result<(), UsageError> {
    in_range(name, value.is_finite() && value > 0.0, "a number above 0")
}

/// Checks that a number is a finite one and not below zero.
pub fn not_negative(name: &'static str, value: f64) -> Result<(), UsageError> {
    in_range(name, value.is_finite() && value >= 0.0, "0 or more")
}

/// Refuses a value that is out of range.
pub fn in_range(
    option: &'static str,
    holds: bool,
    expected: &'static str,
) -> Result<(), UsageError> {
    if holds {
        Ok(())
    } else {
        Err(UsageError::Range { option, expected })
    }
}

/// The address of a stand-in that is given none: a free port on the loopback.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl EndpointConfig {
    /// Takes the options of [`ENDPOINT_OPTIONS`].
    pub fn read(&mut self, arguments: &mut Arguments) -> Result<(), UsageError> {
        option(arguments, "--name", &mut self.name)?;
        option(arguments, "--slots", &mut self.slots)?;
        option(arguments, "--report-lag-ms", &mut self.report_lag_ms)?;
        let ledger_file: Option<PathBuf> = arguments.opt_value_from_str("--ledger-file")?;
        self.ledger_file = ledger_file.or(self.ledger_file.take());
        in_range("--slots", self.slots > 0, "1 or more")
    }
}
