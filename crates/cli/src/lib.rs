//! The operators' command line.
//!
//! Most commands have a file of their own with the same entry point:
//! `run(&mut Arguments, &impl Context) -> Result<String, CommandError>`.
//!
//! Commands return the text to print. They use external services only through
//! [`context::Context`], so that tests can replace them.

pub mod account_csv;
mod accounts_import;
mod accounts_list;
mod arguments;
mod change;
mod columns;
mod config_apply;
mod config_check;
pub mod config_commit;
mod config_head;
mod config_reference;
mod config_show;
pub mod config_store;
mod config_wait;
pub mod context;
pub mod dispatch;
pub mod error;
mod explain;
mod findings;
mod help;
mod online;
mod orders_add;
mod orders_list;
mod sites;
pub mod system;

use std::process::ExitCode;

use pico_args::Arguments;

use crate::dispatch::dispatch;
use crate::system::SystemContext;

/// Runs the command given by the process arguments and prints its output.
///
/// ```no_run
/// let code = sedgeridge_cli::run_from_system();
/// ```
pub fn run_from_system() -> ExitCode {
    let outcome = dispatch(Arguments::from_env(), &SystemContext::default());
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

/// Prints to standard output. Write errors are ignored, as a reader such as `head` may have closed
/// the pipe.
fn print(text: &str) {
    use std::io::Write;
    let _ = std::io::stdout().write_all(text.as_bytes());
}
