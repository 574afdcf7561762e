//! `sedgeridge-soak`: command line of the soak test.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use sedgeridge_soak::promises::ResumedStreams;
use sedgeridge_soak::run::RunConfig;
use sedgeridge_soak::run::RunResult;
use sedgeridge_soak::run::run;
use sedgeridge_transport::clock::ProcessClock;

const USAGE: &str = "\
sedgeridge-soak: soaks routers under random faults, and checks what callers and endpoints see

usage: sedgeridge-soak [--seed N] [--seeds N] [--seconds S] [--routers N] [--endpoints N]
                       [--callers N] [--logs DIR]

--seed N       first seed (1)
--seeds N      number of runs, each with the next seed (1)
--seconds S    time in which faults come (12)
--routers N    routers, real processes (4)
--endpoints N  endpoints, half of them for streams (6)
--callers N    callers (24)
--logs DIR     where the logs of runs with a broken promise stay (target/soak)

exit codes: 0 all promises kept, 1 one broken, 2 bad command line, 3 a run failed by itself
";

struct SoakOptions {
    first_run: RunConfig,
    seed_count: u64,
    logs_dir: PathBuf,
}

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match parse(arguments) {
        Ok(options) => soak(&options),
        Err(error) => {
            eprintln!("sedgeridge-soak: {error}");
            ExitCode::from(2)
        }
    }
}

fn parse(mut arguments: pico_args::Arguments) -> Result<SoakOptions, pico_args::Error> {
    let defaults = RunConfig::default();
    let seconds = arguments.opt_value_from_str("--seconds")?;
    let options = SoakOptions {
        first_run: RunConfig {
            seed: arguments
                .opt_value_from_str("--seed")?
                .unwrap_or(defaults.seed),
            fault_period: seconds.map_or(defaults.fault_period, Duration::from_secs),
            routers: at_least_two(arguments.opt_value_from_str("--routers")?, defaults.routers),
            endpoints: at_least_two(
                arguments.opt_value_from_str("--endpoints")?,
                defaults.endpoints,
            ),
            callers: arguments
                .opt_value_from_str("--callers")?
                .unwrap_or(defaults.callers),
            dir: PathBuf::new(),
        },
        seed_count: arguments.opt_value_from_str("--seeds")?.unwrap_or(1),
        logs_dir: arguments
            .opt_value_from_str("--logs")?
            .unwrap_or_else(|| PathBuf::from("target/soak")),
    };
    match arguments.finish().first() {
        Some(unknown) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown argument {unknown:?}"),
        }),
        None => Ok(options),
    }
}

/// At least two are needed so that one remains when the other fails.
fn at_least_two(given: Option<usize>, default: usize) -> usize {
    given.unwrap_or(default).max(2)
}

fn soak(options: &SoakOptions) -> ExitCode {
    let mut failed_runs = 0;
    let mut resumed = ResumedStreams::default();
    for seed in options.first_run.seed..options.first_run.seed + options.seed_count {
        let config = RunConfig {
            seed,
            dir: options.logs_dir.join(format!("seed-{seed}")),
            ..options.first_run.clone()
        };
        match run(&config, ProcessClock::start()) {
            Ok(result) => {
                print_result(seed, &result);
                failed_runs += usize::from(!result.violations.is_empty());
                resumed.add(&ResumedStreams::of(&result.observations.records));
                if result.violations.is_empty()
                    && let Err(error) = fs::remove_dir_all(&config.dir)
                {
                    eprintln!("sedgeridge-soak: {}: {error}", config.dir.display());
                }
            }
            Err(error) => {
                eprintln!("sedgeridge-soak: seed {seed}: {error}");
                return ExitCode::from(3);
            }
        }
    }
    println!(
        "{} runs, {failed_runs} with a broken promise; {resumed}",
        options.seed_count
    );
    ExitCode::from(u8::from(failed_runs > 0 || resumed.are_too_few()))
}

fn print_result(seed: u64, result: &RunResult) {
    let observations = &result.observations;
    let served = observations
        .records
        .iter()
        .filter(|it| it.is_served())
        .count();
    let resumed = ResumedStreams::of(&observations.records);
    println!(
        "seed {seed}: {} faults, {served} of {} requests served, {resumed}, {} and {} crashes, {} runs, {} KB, {} broken",
        result.faults.len(),
        observations.records.len(),
        observations.part_crashes.crashes,
        observations.request_crashes.crashes,
        observations.run_ids.len(),
        observations.peak_memory_kb,
        result.violations.len(),
    );
    for violation in &result.violations {
        println!("  {}: {}", violation.promise, violation.observed);
    }
    if !result.violations.is_empty() {
        for fault in &result.faults {
            let (at, length) = (fault.at.as_millis(), fault.length.as_millis());
            println!("  fault at {at} ms for {length} ms: {:?}", fault.fault);
        }
    }
}
