//! Processor time and memory of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Returns the processor time of the main thread, or zero where it cannot be told.
pub fn main_thread_time() -> Duration {
    let schedstat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let run_ns = schedstat.split_whitespace().next();
    Duration::from_nanos(run_ns.and_then(|ns| ns.parse().ok()).unwrap_or(0))
}

/// Returns the resident memory of this process, or 0 where it cannot be told.
pub fn resident_bytes() -> u64 {
    const BYTES_PER_KB: u64 = 1_024;
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) * BYTES_PER_KB
}
