//! Resident memory of the test process.

use std::fs;

/// Bytes of a page on the platforms that the tests run on.
const PAGE_BYTES: u64 = 4 << 10;

/// Reads how much memory of this process is resident.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("the system tells it");
    let resident = statm.split_whitespace().nth(1).expect("a second field");
    resident.parse::<u64>().expect("a number of pages") * PAGE_BYTES
}
