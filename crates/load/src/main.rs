//! `sedgeridge-load`: writes the files of a deployment on one machine, sends load to it and reports
//! figures and violations.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use sedgeridge_load::deployment::Deployment;
use sedgeridge_load::fault_name::FaultNames;
use sedgeridge_load::plan::LoadPlan;
use sedgeridge_load::ready;
use sedgeridge_load::ready::Stage;
use sedgeridge_load::report::Report;
use sedgeridge_load::run;
use sedgeridge_load::run::RunOptions;
use sedgeridge_load::topology::Topology;
use sedgeridge_state::settings::Override;

/// Exit code for an unusable command line or file.
const EXIT_USAGE: u8 = 2;
/// Exit code of a run with violations.
const EXIT_VIOLATION: u8 = 1;
/// Default offered load as a multiple of the capacity.
const DEFAULT_OVERLOAD: f64 = 1.3;
const DEFAULT_SEED: u64 = 1;
const DEFAULT_READY_SECONDS: u64 = 15;
/// Default first port.
const DEFAULT_PORT_BASE: u16 = 21_000;

const HELP: &str = "\
sedgeridge-load: load for a router fleet on one machine

USAGE:
  sedgeridge-load topology --deployment small|luce|malardalen --dir DIR
                  [--routers N] [--port-base P] [--fault NAME[+NAME]...] [--set section.key=value]...
  sedgeridge-load wait-ready --dir DIR --stage stand-ins|routers [--seconds N]
  sedgeridge-load run --dir DIR --seconds N [--seed S] [--overload F]
  sedgeridge-load report --dir DIR
  sedgeridge-load --help | --version

EXIT CODES:
  0 done   1 something happened that must never happen (docs/LOAD.md)
  2 the command line or a file cannot be used
";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("sedgeridge-load: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(mut args: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if args.contains("--version") {
        println!("sedgeridge-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    match args.subcommand()?.as_deref() {
        Some("topology") => topology(args),
        Some("wait-ready") => wait_ready(args),
        Some("run") => run_load(args),
        Some("report") => report(args),
        Some(other) => Err(format!("unknown command {other}; see --help").into()),
        None => Err("no command; see --help".into()),
    }
}

fn topology(mut args: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let mut deployment: Deployment = args.value_from_str("--deployment")?;
    let dir: PathBuf = args.value_from_str("--dir")?;
    if let Some(routers) = args.opt_value_from_str("--routers")? {
        deployment.routers = routers;
    }
    let port_base = args.opt_value_from_str("--port-base")?;
    let faults: Option<FaultNames> = args.opt_value_from_str("--fault")?;
    let overrides = args.values_from_fn("--set", Override::parse)?;
    finish(args)?;
    let port_base = port_base.unwrap_or(DEFAULT_PORT_BASE);
    let mut topology = Topology::new(&deployment, &dir, port_base, &overrides);
    let faults = faults.unwrap_or_default();
    if topology.load.links.is_empty()
        && let Some(fault) = faults.0.iter().find(|fault| fault.needs_links())
    {
        return Err(format!("--fault {fault}: needs a deployment with more than one site").into());
    }
    topology.set_faults(faults, &dir);
    let taken = ready::taken_addresses(&topology.load);
    if !taken.is_empty() {
        return Err(format!("addresses in use: {}", taken.join(", ")).into());
    }
    topology.write(&dir)?;
    Ok(ExitCode::SUCCESS)
}

fn wait_ready(mut args: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let dir: PathBuf = args.value_from_str("--dir")?;
    let stage: Stage = args.value_from_str("--stage")?;
    let seconds = args.opt_value_from_str("--seconds")?;
    finish(args)?;
    let timeout = Duration::from_secs(seconds.unwrap_or(DEFAULT_READY_SECONDS));
    let missing = ready::wait_until_ready(&LoadPlan::read(&dir)?, stage, timeout);
    if missing.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    let seconds = timeout.as_secs();
    Err(format!("not ready within {seconds} s: {}", missing.join(", ")).into())
}

fn run_load(mut args: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let options = RunOptions {
        dir: args.value_from_str("--dir")?,
        seconds: args.value_from_str("--seconds")?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
        overload: args
            .opt_value_from_str("--overload")?
            .unwrap_or(DEFAULT_OVERLOAD),
    };
    finish(args)?;
    print_report(&run::run(&options)?)
}

fn report(mut args: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let dir: PathBuf = args.value_from_str("--dir")?;
    finish(args)?;
    print_report(&run::report(&dir)?)
}

/// Prints the report as a table, followed by one JSON object as the last line.
fn print_report(report: &Report) -> Result<ExitCode, Box<dyn Error>> {
    println!("\n{report}");
    println!("{}", serde_json::to_string(report)?);
    if report.has_violations() {
        return Ok(ExitCode::from(EXIT_VIOLATION));
    }
    Ok(ExitCode::SUCCESS)
}

fn finish(args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.finish().first() {
        Some(extra) => Err(format!("unknown argument {}", extra.display()).into()),
        None => Ok(()),
    }
}
