//! Processor time and memory of this process, read from `/proc`.

use std::fs;
use std::time::Duration;
use std::time::Instant;

/// Returns the processor time of the main thread, or zero where it cannot be told.
pub fn main_thread_time() -> Duration {
    let schedstat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let run_ns = schedstat.split_whitespace().next();
    Duration::from_nanos(run_ns.and_then(|ns| ns.parse().ok()).unwrap_or(0))
}

/// Returns the resident memory of this process, or 0 where it cannot be told.
pub fn resident_bytes() -> u64 {
    const BYTES_PER_KB: u64 = 1_024;
    status_of(std::process::id(), "VmRSS:") * BYTES_PER_KB
}

/// Processor time below which the kernel's figure is too coarse to scale by.
const MIN_SCALED: Duration = Duration::from_millis(100);

/// Adds up short spans of work.
///
/// The kernel tells processor time in steps of some milliseconds, so spans are taken from the wall
/// clock. Other processes share the cores: the sum is cut down to the part of the whole time in
/// which this thread ran.
#[derive(Debug)]
pub struct Stopwatch {
    begin: Instant,
    begin_cpu: Duration,
    spans: Duration,
}

impl Stopwatch {
    /// Starts the whole time.
    pub fn start() -> Self {
        Self {
            begin: Instant::now(),
            begin_cpu: main_thread_time(),
            spans: Duration::ZERO,
        }
    }

    /// Runs one piece of work.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let begin = Instant::now();
        let result = work();
        self.spans += begin.elapsed();
        result
    }

    /// Returns the part of the whole time in which this thread ran.
    pub fn ran(&self) -> f64 {
        let cpu = main_thread_time() - self.begin_cpu;
        if cpu < MIN_SCALED {
            return 1.0;
        }
        (cpu.as_secs_f64() / self.begin.elapsed().as_secs_f64()).min(1.0)
    }

    /// Returns the processor time of all pieces, in microseconds.
    pub fn micros(&self) -> f64 {
        self.spans.as_secs_f64() * 1e6 * self.ran()
    }
}

/// Returns the processor time of all threads of a process.
pub fn process_time(id: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return Duration::ZERO;
    };
    let run_ns = threads.flatten().filter_map(|thread| {
        let schedstat = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        schedstat.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(run_ns.sum())
}

/// Returns a number from the status page of a process, or 0 where it cannot be told.
pub fn status_of(id: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Returns how often the threads of a process gave up the processor to wait, or 0 where it cannot be
/// told.
pub fn waits(id: u32) -> u64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return 0;
    };
    let waits = threads.flatten().map(|thread| {
        let status = fs::read_to_string(thread.path().join("status")).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        line.and_then(|number| number.trim().parse().ok())
            .unwrap_or(0)
    });
    waits.sum()
}
