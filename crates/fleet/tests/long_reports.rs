//! Tests for reports over more endpoints and client accounts than fit into one datagram.

use sedgeridge_fleet::account_shares::Usage;
use sedgeridge_fleet::endpoint_load::Load;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_report::MAX_REPORT_BYTES;
use sedgeridge_fleet::peer_report::PeerReport;

const ENDPOINT_COUNT: u32 = 20_000;
const ACCOUNT_COUNT: u32 = 6_900;
const BUSY_ENDPOINT_COUNT: u32 = 900;
const LARGE_ACCOUNT_COUNT: u32 = 690;

/// A sum in which a few endpoints and accounts, spread over all rows, have much more work than the others.
fn long_report() -> PeerReport {
    let loads = (0..ENDPOINT_COUNT).map(|number| {
        let is_busy = number % (ENDPOINT_COUNT / BUSY_ENDPOINT_COUNT) == 0;
        let load = Load {
            unread_tokens: 100_000,
            requests: if is_busy { 12 } else { 1 },
            memory_tokens: 100_000,
        };
        (stable_hash(&number.to_string()), load)
    });
    let usage = (0..ACCOUNT_COUNT).map(|number| {
        let is_large = number % (ACCOUNT_COUNT / LARGE_ACCOUNT_COUNT) == 0;
        let usage = Usage {
            requested_tokens: if is_large { 10_000_000 } else { 100_000 },
            started_tokens: 100_000,
        };
        (stable_hash(&format!("account {number}")), usage)
    });
    let mut report = PeerReport::default();
    report.set_work(loads.collect(), usage.collect());
    report
}

/// Guards against busy endpoints and large accounts that a sum loses because it is too long: all hosts would take these
/// endpoints for idle, and these accounts for unused.
#[test]
fn a_sum_that_is_too_long_keeps_what_matters_most() {
    let report = long_report();
    let encoded = report.encode();
    assert!(encoded.len() <= MAX_REPORT_BYTES, "{} bytes", encoded.len());
    let received = PeerReport::decode(&encoded).expect("a report");
    let busy = received.loads.iter().filter(|(_, it)| it.requests > 1);
    assert!(busy.count() >= BUSY_ENDPOINT_COUNT as usize);
    let large = received.usage.iter();
    let large = large.filter(|(_, it)| it.requested_tokens > 1_000_000);
    assert!(large.count() >= LARGE_ACCOUNT_COUNT as usize);
    let told = received.loads.len() + received.usage.len() + received.left_out as usize;
    assert_eq!(told, (ENDPOINT_COUNT + ACCOUNT_COUNT) as usize);
}
