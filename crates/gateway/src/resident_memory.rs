//! Resident memory of a process.

use std::fs;

const BYTES_PER_KB: u64 = 1_024;

/// Returns the resident memory of a process on this machine, in bytes; `None` if there is no such
/// process or the system does not report it.
///
/// ```
/// use sedgeridge_gateway::resident_memory::resident_bytes;
///
/// assert!(resident_bytes(std::process::id()).is_some_and(|bytes| bytes > 0));
/// ```
pub fn resident_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kilobytes * BYTES_PER_KB)
}
