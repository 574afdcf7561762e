//! `sedgeridge-load`: lays out a deployment on one machine, loads it and judges what it did.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use sedgeridge_load::deployment::Deployment;
use sedgeridge_load::options::Override;
use sedgeridge_load::topology::Topology;

/// Exit code of a command line that cannot be used.
const EXIT_USAGE: u8 = 2;
/// First port when the command line names none.
const DEFAULT_PORT_BASE: u16 = 21_000;

const HELP: &str = "\
sedgeridge-load: load for a router fleet on one machine

USAGE:
  sedgeridge-load topology --deployment small|luce|malardalen --dir DIR
                  [--routers N] [--port-base P] [--set section.key=value]...
  sedgeridge-load --help | --version
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
    let overrides: Vec<Override> = args.values_from_str("--set")?;
    finish(args)?;
    let port_base = port_base.unwrap_or(DEFAULT_PORT_BASE);
    Topology::new(&deployment, &dir, port_base, &overrides).write(&dir)?;
    Ok(ExitCode::SUCCESS)
}

fn finish(args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.finish().first() {
        Some(extra) => Err(format!("unknown argument {}", extra.display()).into()),
        None => Ok(()),
    }
}
