//! Resident memory of the test process.

use std::fs;

/// Size of a memory page on the platforms on which the tests run.
const PAGE_BYTES: u64 = 4 << 10;

/// Returns the resident memory of this process.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux provides the file");
    let resident = statm.split_whitespace().nth(1).expect("a second field");
    resident.parse::<u64>().expect("a number of pages") * PAGE_BYTES
}
