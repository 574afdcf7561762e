//! Command line of a process that runs on a host listed in the settings.

use std::ffi::OsString;
use std::path::PathBuf;

use pico_args::Arguments;
use thiserror::Error;

/// Exit code for a command line or settings that cannot be used.
pub const EXIT_BAD_INPUT: u8 = 2;

const HELP: &str = "
USAGE:
    PROGRAM --config FILE [--overlay FILE] --host NAME [--set SECTION.KEY=VALUE]...

OPTIONS:
    --config FILE              base settings, the same at every site
    --overlay FILE             settings of this site
    --host NAME                which [host.NAME] this process is
    --set SECTION.KEY=VALUE    overrides one setting; may be repeated
    -h, --help                 prints this text
    -V, --version              prints the version

EXIT CODES:
    0 stopped on request    1 failed while running    2 bad command line or settings, nothing started";

/// A program's name and purpose, as shown in its help.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// One-line description.
    pub purpose: &'static str,
}

/// Options of a valid command line.
#[derive(Debug)]
pub struct Options {
    /// Base settings file.
    pub config: PathBuf,
    /// Overlay of this site.
    pub overlay: Option<PathBuf>,
    /// Name of this host.
    pub host: String,
    /// Unparsed values of `--set`.
    pub overrides: Vec<String>,
}

/// Action that the command line requests.
#[derive(Debug)]
pub enum ParsedArguments {
    /// Run the process.
    Run(Options),
    /// Print a text and exit.
    Print(String),
}

/// Error in the command line.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// An option is missing or malformed.
    #[error("{0}; see --help")]
    Malformed(#[from] pico_args::Error),
    /// An argument that is not an option.
    #[error("unexpected argument {0:?}; see --help")]
    Unexpected(OsString),
}

/// Reads the command line, without the program's name.
///
/// ```
/// use sedgeridge_transport::host_options::Program;
/// use sedgeridge_transport::host_options::parse;
///
/// let program = Program { name: "sedgeridge-router", purpose: "takes callers' requests" };
/// assert!(parse(program, vec!["--host".into()]).is_err());
/// ```
pub fn parse(program: Program, arguments: Vec<OsString>) -> Result<ParsedArguments, OptionsError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(ParsedArguments::Print(help(program)));
    }
    if arguments.contains(["-V", "--version"]) {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(ParsedArguments::Print(format!(
            "{} {version}",
            program.name
        )));
    }
    let options = Options {
        config: arguments.value_from_str("--config")?,
        overlay: arguments.opt_value_from_str("--overlay")?,
        host: arguments.value_from_str("--host")?,
        overrides: arguments.values_from_str("--set")?,
    };
    match arguments.finish().into_iter().next() {
        Some(unexpected) => Err(OptionsError::Unexpected(unexpected)),
        None => Ok(ParsedArguments::Run(options)),
    }
}

fn help(program: Program) -> String {
    let usage = HELP.replace("PROGRAM", program.name);
    format!("{}: {}\n{usage}", program.name, program.purpose)
}
