//! `sedgeridge-router`: takes callers' requests and shares the endpoints fairly between accounts.

mod run;

use std::process::ExitCode;

use sedgeridge_transport::host_options::Program;
use sedgeridge_transport::host_start::run_host;

const PROGRAM: Program = Program {
    name: "sedgeridge-router",
    purpose: "takes callers' requests and shares the endpoints fairly between accounts",
};

fn main() -> ExitCode {
    run_host(PROGRAM, run::serve)
}
