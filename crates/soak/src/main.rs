//! `sedgeridge-soak`: soaks routers under random faults.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

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

struct Plan {
    first: RunConfig,
    seeds: u64,
    logs: PathBuf,
}

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match parse(arguments) {
        Ok(plan) => soak(&plan),
        Err(error) => {
            eprintln!("sedgeridge-soak: {error}");
            ExitCode::from(2)
        }
    }
}

fn parse(mut arguments: pico_args::Arguments) -> Result<Plan, pico_args::Error> {
    let defaults = RunConfig::default();
    let seconds = arguments.opt_value_from_str("--seconds")?;
    let plan = Plan {
        first: RunConfig {
            seed: arguments
                .opt_value_from_str("--seed")?
                .unwrap_or(defaults.seed),
            faults_for: seconds.map_or(defaults.faults_for, Duration::from_secs),
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
        seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(1),
        logs: arguments
            .opt_value_from_str("--logs")?
            .unwrap_or_else(|| PathBuf::from("target/soak")),
    };
    match arguments.finish().first() {
        Some(unknown) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown argument {unknown:?}"),
        }),
        None => Ok(plan),
    }
}

/// Two of each are the least with which one can be lost.
fn at_least_two(given: Option<usize>, default: usize) -> usize {
    given.unwrap_or(default).max(2)
}

fn soak(plan: &Plan) -> ExitCode {
    let mut broken = 0;
    for seed in plan.first.seed..plan.first.seed + plan.seeds {
        let config = RunConfig {
            seed,
            dir: plan.logs.join(format!("seed-{seed}")),
            ..plan.first.clone()
        };
        match run(&config, ProcessClock::start()) {
            Ok(result) => {
                print_result(seed, &result);
                broken += usize::from(!result.violations.is_empty());
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
    println!("{} runs, {broken} with a broken promise", plan.seeds);
    ExitCode::from(u8::from(broken > 0))
}

fn print_result(seed: u64, result: &RunResult) {
    let evidence = &result.evidence;
    let served = evidence.records.iter().filter(|it| it.is_served()).count();
    println!(
        "seed {seed}: {} faults, {served} of {} requests served, {} runs, {} KB, {} broken",
        result.faults.len(),
        evidence.records.len(),
        evidence.runs.len(),
        evidence.memory_kb,
        result.violations.len(),
    );
    for violation in &result.violations {
        println!("  {}: {}", violation.promise, violation.seen);
    }
    if !result.violations.is_empty() {
        for fault in &result.faults {
            let (at, length) = (fault.at.as_millis(), fault.length.as_millis());
            println!("  fault at {at} ms for {length} ms: {:?}", fault.fault);
        }
    }
}
