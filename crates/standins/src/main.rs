//! Runs one stand-in; see `sedgeridge-standins --help`.

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    sedgeridge_standins::cli::run(env::args_os().skip(1).collect())
}
