//! Runs each point in its own process, so that memory measurements do not affect each other.

use std::env;
use std::io;
use std::process::Command;
use std::thread;

use thiserror::Error;

use crate::fit::Fit;
use crate::roles::Bench;
use crate::roles::Metric;
use crate::roles::Point;
use crate::sample::Sample;
use crate::series::Series;

/// Error that stopped a bench.
#[derive(Debug, Error)]
pub enum RunError {
    /// The process of a point could not be started.
    #[error("cannot start the process of a point: {0}")]
    Start(#[from] io::Error),
    /// The process of a point failed.
    #[error("bench {bench} at size {size} failed: {message}")]
    Failed {
        /// Name of the bench.
        bench: &'static str,
        /// Size of the point.
        size: u64,
        /// Standard error of the process.
        message: String,
    },
}

/// Runs benches: those that measure time or memory one after another, then the others in parallel.
///
/// # Errors
///
/// Fails when a point cannot be run.
pub fn run_all(
    benches: &[&'static Bench],
    seed: u64,
    quick: bool,
) -> Result<Vec<Vec<Series>>, RunError> {
    let (timed, untimed): (Vec<_>, Vec<_>) = benches.iter().partition(|bench| bench.is_timed);
    let mut all = Vec::new();
    for bench in timed {
        all.push(run_bench(bench, seed, quick)?);
    }
    let untimed: Result<Vec<_>, RunError> = thread::scope(|scope| {
        let runs: Vec<_> = untimed
            .into_iter()
            .map(|bench| scope.spawn(move || run_bench(bench, seed, quick)))
            .collect();
        let ended = runs.into_iter();
        ended
            .map(|run| run.join().expect("a bench thread does not panic"))
            .collect()
    });
    all.extend(untimed?);
    Ok(all)
}

/// Runs a bench at all its sizes, one after another.
///
/// # Errors
///
/// Fails when a point cannot be run.
pub fn run_bench(bench: &'static Bench, seed: u64, quick: bool) -> Result<Vec<Series>, RunError> {
    let sizes = if quick {
        bench.quick_sizes
    } else {
        bench.sizes
    };
    let mut samples = Vec::new();
    for size in sizes {
        let point = Point {
            size: *size,
            seed,
            quick,
        };
        samples.push((*size as f64, run_point(bench, point)?));
    }
    let series = bench.metrics.iter();
    Ok(series
        .filter_map(|metric| fit_series(bench, *metric, &samples))
        .collect())
}

fn run_point(bench: &'static Bench, point: Point) -> Result<Sample, RunError> {
    let mut command = Command::new(env::current_exe()?);
    command.arg("point").args(["--bench", bench.name]);
    command.args(["--size", &point.size.to_string()]);
    command.args(["--seed", &point.seed.to_string()]);
    if point.quick {
        command.arg("--quick");
    }
    let output = command.output()?;
    if !output.status.success() {
        return Err(RunError::Failed {
            bench: bench.name,
            size: point.size,
            message: String::from_utf8_lossy(&output.stderr).into_owned(),
        });
    }
    let sample = Sample::from_lines(&String::from_utf8_lossy(&output.stdout));
    eprintln!("{} at {}:\n{}", bench.name, point.size, sample.to_lines());
    Ok(sample)
}

fn fit_series(bench: &Bench, metric: Metric, samples: &[(f64, Sample)]) -> Option<Series> {
    let points: Vec<(f64, f64)> = samples
        .iter()
        .filter_map(|(size, sample)| Some((*size, sample.get(metric.name)?)))
        .collect();
    (!points.is_empty()).then(|| Series {
        bench: bench.name,
        metric: metric.name,
        title: metric.title,
        size_title: bench.size_title,
        fit: Fit::best(&points),
        points,
        target: bench.target,
    })
}
