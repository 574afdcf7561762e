//! `sedgeridge-coordinator`: gives orders to engines while it holds the fleet's lease.

mod run;

use std::process::ExitCode;

use sedgeridge_transport::host_options::Program;
use sedgeridge_transport::host_start::run_host;

const PROGRAM: Program = Program {
    name: "sedgeridge-coordinator",
    purpose: "gives orders to engines while it holds the fleet's lease",
};

fn main() -> ExitCode {
    run_host(PROGRAM, run::serve)
}
