//! Processor time, memory and context switches of processes, read from `/proc`.

use std::fs;
use std::time::Duration;
use std::time::Instant;

/// Returns the processor time of the main thread, or zero if it cannot be read.
pub fn main_thread_cpu_time() -> Duration {
    let schedstat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let run_ns = schedstat.split_whitespace().next();
    Duration::from_nanos(run_ns.and_then(|ns| ns.parse().ok()).unwrap_or(0))
}

/// Returns the resident memory of this process, or 0 if it cannot be read.
pub fn resident_bytes() -> u64 {
    const BYTES_PER_KB: u64 = 1_024;
    status_field(std::process::id(), "VmRSS:") * BYTES_PER_KB
}

/// Processor time below which the kernel's counter is too coarse to scale by.
const MIN_SCALED_CPU_TIME: Duration = Duration::from_millis(100);

/// Sums the processor time of short spans of work.
///
/// The kernel updates processor time in steps of some milliseconds, so spans are measured with the
/// wall clock. Other processes share the cores, so the sum is scaled by the fraction of the
/// stopwatch's total time in which this thread ran.
#[derive(Debug)]
pub struct Stopwatch {
    started_at: Instant,
    cpu_at_start: Duration,
    span_total: Duration,
}

impl Stopwatch {
    /// Starts the stopwatch's total time.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            cpu_at_start: main_thread_cpu_time(),
            span_total: Duration::ZERO,
        }
    }

    /// Runs one span of work and adds its time.
    pub fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let result = work();
        self.span_total += started_at.elapsed();
        result
    }

    /// Returns the fraction of the total time in which the main thread ran.
    pub fn run_fraction(&self) -> f64 {
        let cpu = main_thread_cpu_time() - self.cpu_at_start;
        if cpu < MIN_SCALED_CPU_TIME {
            return 1.0;
        }
        (cpu.as_secs_f64() / self.started_at.elapsed().as_secs_f64()).min(1.0)
    }

    /// Returns the processor time of all spans, in microseconds.
    pub fn cpu_micros(&self) -> f64 {
        self.span_total.as_secs_f64() * 1e6 * self.run_fraction()
    }
}

/// Returns the processor time of all threads of a process, or zero if it cannot be read.
pub fn process_cpu_time(id: u32) -> Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return Duration::ZERO;
    };
    let run_ns = threads.flatten().filter_map(|thread| {
        let schedstat = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        schedstat.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(run_ns.sum())
}

/// Returns a numeric field of `/proc/<id>/status`, or 0 if it cannot be read.
pub fn status_field(id: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Returns the voluntary context switches of all threads of a process, or 0 if they cannot be read.
pub fn voluntary_context_switches(id: u32) -> u64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return 0;
    };
    let switches = threads.flatten().map(|thread| {
        let status = fs::read_to_string(thread.path().join("status")).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"));
        line.and_then(|number| number.trim().parse().ok())
            .unwrap_or(0)
    });
    switches.sum()
}
