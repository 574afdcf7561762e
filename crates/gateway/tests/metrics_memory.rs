//! Memory of the figures that a router collects.

mod support;

use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_gateway::meters;
use sedgeridge_gateway::resident_memory::resident_bytes;

use support::run;

/// Samples of about an hour at some hundred requests a second.
const SAMPLES: usize = 2_000_000;
/// Between two rests in which the router's other work is done.
const SAMPLES_AT_ONCE: usize = 500_000;
const REST: Duration = Duration::from_millis(1_200);
/// Kept, they take 16 bytes each, 33 MB.
const MOST_GROWTH_BYTES: u64 = 16 << 20;

/// Nobody reads a router's metrics page. Each request leaves two samples of how long it took, and they
/// were kept until the page was read: the process grew for as long as it lived, was killed at its memory
/// limit, and requests in progress got no answer. They are folded into the histogram's buckets
/// by the router itself.
#[test]
fn samples_are_not_kept_for_a_page_that_nobody_reads() {
    run(Repeat::Idempotent, 1, vec![vec![]], async |_fleet| {
        let before = resident_bytes(std::process::id()).expect("own memory");
        for _ in 0..SAMPLES / SAMPLES_AT_ONCE {
            for _ in 0..SAMPLES_AT_ONCE {
                meters::record_queue_time(Repeat::Idempotent, Duration::from_millis(3));
            }
            tokio::time::sleep(REST).await;
        }
        let after = resident_bytes(std::process::id()).expect("own memory");
        let growth = after.saturating_sub(before);
        assert!(growth < MOST_GROWTH_BYTES, "{growth} bytes");
    });
}
