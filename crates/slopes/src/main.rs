//! `sedgeridge-slopes`: measures every slope and writes the figures of the capacity page.

use std::error::Error;
use std::process::ExitCode;

use pico_args::Arguments;
use sedgeridge_slopes::roles;
use sedgeridge_slopes::roles::Bench;
use sedgeridge_slopes::roles::Point;
use sedgeridge_slopes::runner;

/// Exit code of a command line that cannot be used, or a run that failed.
const EXIT_FAILED: u8 = 2;
const DEFAULT_SEED: u64 = 20_261_202;

const HELP: &str = "\
sedgeridge-slopes: what each role costs against size, measured on this machine

USAGE:
  sedgeridge-slopes [--quick] [--seed S] [--bench NAME]...
  sedgeridge-slopes point --bench NAME --size N [--seed S] [--quick]
  sedgeridge-slopes --help | --version
";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sedgeridge-slopes: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    if args.contains("--version") {
        println!("sedgeridge-slopes {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match args.subcommand()?.as_deref() {
        Some("point") => point(args),
        None => all(args),
        Some(other) => Err(format!("unknown command {other}; see --help").into()),
    }
}

fn point(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let bench = args.value_from_fn("--bench", bench)?;
    let point = Point {
        size: args.value_from_str("--size")?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
        quick: args.contains("--quick"),
    };
    finish(args)?;
    print!("{}", (bench.measure)(point).to_lines());
    Ok(())
}

fn all(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let quick = args.contains("--quick");
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let chosen = args.values_from_fn("--bench", bench)?;
    finish(args)?;
    let benches = if chosen.is_empty() {
        roles::BENCHES.to_vec()
    } else {
        chosen
    };
    for bench in benches {
        for series in runner::run_bench(bench, seed, quick)? {
            println!(
                "{}: {:?} -> {}",
                series.title,
                series.fit,
                series.at_target()
            );
        }
    }
    Ok(())
}

fn bench(name: &str) -> Result<&'static Bench, String> {
    roles::find(name).ok_or_else(|| format!("unknown bench {name}"))
}

fn finish(args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.finish().first() {
        Some(extra) => Err(format!("unknown argument {}", extra.display()).into()),
        None => Ok(()),
    }
}
