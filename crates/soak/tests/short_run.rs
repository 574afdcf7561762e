//! A short soak run of real routers with a fixed seed.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use sedgeridge_soak::promises::check;
use sedgeridge_soak::run::RunConfig;
use sedgeridge_soak::run::run;
use sedgeridge_transport::clock::ProcessClock;

fn config(seed: u64, fault_period: Duration) -> RunConfig {
    RunConfig {
        seed,
        fault_period,
        dir: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
        ..RunConfig::default()
    }
}

/// Builds the router executable. It belongs to another package, which `cargo test` for this package
/// alone does not build.
fn build_program() {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--locked", "-p", "sedgeridge-platform"]);
    assert!(build.status().expect("cargo runs").success());
}

#[test]
fn a_short_run_keeps_all_promises() {
    build_program();
    let result = run(&config(1, Duration::from_secs(5)), ProcessClock::start())
        .expect("the run itself works");
    assert_eq!(
        check(&result.observations),
        [],
        "faults: {:#?}",
        result.faults
    );
    assert!(result.observations.records.len() > 200);
}
