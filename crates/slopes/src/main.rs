//! `sedgeridge-slopes`: runs the benches and writes the plots and tables of the capacity page.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use sedgeridge_slopes::figures::Figures;
use sedgeridge_slopes::page;
use sedgeridge_slopes::roles;
use sedgeridge_slopes::roles::Bench;
use sedgeridge_slopes::roles::Point;
use sedgeridge_slopes::runner;
use sedgeridge_slopes::svg;

/// Exit code for an invalid command line or a failed run.
const EXIT_FAILED: u8 = 2;
const DEFAULT_SEED: u64 = 20_261_202;

const HELP: &str = "\
sedgeridge-slopes: what each role costs against size, measured on this machine

USAGE:
  sedgeridge-slopes [--quick] [--seed S] [--docs DIR] [--bench NAME]...
  sedgeridge-slopes point --bench NAME --size N [--seed S] [--quick]
  sedgeridge-slopes --help | --version

  --docs DIR   rewrite DIR/capacity/*.svg and, when all benches ran, DIR/CAPACITY.md
  --quick      few, small sizes: for a trial, never for the page
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
        Some("point") => measure_point(args),
        None => measure_all(args),
        Some(other) => Err(format!("unknown command {other}; see --help").into()),
    }
}

fn measure_point(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let bench = args.value_from_fn("--bench", parse_bench)?;
    let point = Point {
        size: args.value_from_str("--size")?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
        quick: args.contains("--quick"),
    };
    reject_extra_arguments(args)?;
    print!("{}", (bench.measure)(point).to_lines());
    Ok(())
}

fn measure_all(mut args: Arguments) -> Result<(), Box<dyn Error>> {
    let quick = args.contains("--quick");
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let docs: Option<PathBuf> = args.opt_value_from_str("--docs")?;
    let chosen = args.values_from_fn("--bench", parse_bench)?;
    reject_extra_arguments(args)?;
    let benches = if chosen.is_empty() {
        roles::BENCHES.to_vec()
    } else {
        chosen
    };
    let mut figures = Figures::default();
    for series in runner::run_all(&benches, seed, quick)? {
        figures.extend(series);
    }
    for series in figures.series() {
        let at_target = series.value_at_target();
        println!("{}/{}: {at_target}", series.bench, series.metric);
    }
    match docs {
        Some(docs) => write_docs(&docs, &figures, seed),
        None => Ok(()),
    }
}

/// Writes the plots, and rewrites the page if every bench has run.
fn write_docs(docs: &Path, figures: &Figures, seed: u64) -> Result<(), Box<dyn Error>> {
    let plots = docs.join("capacity");
    fs::create_dir_all(&plots)?;
    for series in figures.series() {
        fs::write(plots.join(series.file_name()), svg::draw(series))?;
    }
    if !figures.is_complete() {
        eprintln!("sedgeridge-slopes: not every bench has run, so CAPACITY.md is not rewritten");
        return Ok(());
    }
    let file = docs.join("CAPACITY.md");
    let page = fs::read_to_string(&file)?;
    fs::write(&file, page::rewrite(&page, figures, seed)?)?;
    Ok(())
}

fn parse_bench(name: &str) -> Result<&'static Bench, String> {
    roles::find(name).ok_or_else(|| format!("unknown bench {name}"))
}

fn reject_extra_arguments(args: Arguments) -> Result<(), Box<dyn Error>> {
    match args.finish().first() {
        Some(extra) => Err(format!("unknown argument {}", extra.display()).into()),
        None => Ok(()),
    }
}
