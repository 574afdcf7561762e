//! `sedgeridge`: the operators' command line.

use std::process::ExitCode;

use sedgeridge_cli::run_from_system;

fn main() -> ExitCode {
    run_from_system()
}
