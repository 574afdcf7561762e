//! The operators' command line.
//!
//! Each command has a file, all with the same entry form:
//! `run(&mut Arguments, &Context) -> Result<String, CommandError>`.
//!
//! Commands return the text to print. What they need of the outside comes by the
//! [`context::Context`], so that tests replace it.

mod accounts_list;
mod arguments;
mod columns;
mod config_check;
mod config_reference;
mod config_show;
pub mod context;
pub mod dispatch;
pub mod error;
mod findings;
mod help;
mod sites;

use std::process::ExitCode;

use pico_args::Arguments;

use crate::context::Context;
use crate::dispatch::dispatch;

/// Runs the command that the process was started with, and prints what it gives.
///
/// ```no_run
/// let code = sedgeridge_cli::run_from_system();
/// ```
pub fn run_from_system() -> ExitCode {
    let outcome = dispatch(Arguments::from_env(), &Context::system());
    match outcome {
        Ok(text) => {
            print(&text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            print(&error.stdout());
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

/// Prints to standard output. A reader that went away, such as `head`, is no error.
fn print(text: &str) {
    use std::io::Write;
    let _ = std::io::stdout().write_all(text.as_bytes());
}
