//! Memory of the metrics that a router collects.

mod support;

use std::time::Duration;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_gateway::meters;
use sedgeridge_gateway::resident_memory::resident_bytes;

use support::run_within;

/// Samples of about an hour at some hundred requests a second.
const SAMPLES: usize = 2_000_000;
/// Samples between two pauses in which the router's other tasks run.
const SAMPLES_PER_BURST: usize = 500_000;
const PAUSE: Duration = Duration::from_millis(1_200);
/// Time limit of the test. Its samples take processor time, of which a busy machine gives little.
const MAX_TEST_TIME: Duration = Duration::from_secs(120);
/// Samples that are kept take 16 bytes each, 33 MB in all.
const MAX_GROWTH_BYTES: u64 = 16 << 20;

/// Guards against samples that are kept until the metrics page is read. Each request leaves two
/// samples. Where nobody read the page, the process grew until it was killed at its memory limit,
/// and requests in progress got no response. The router must fold the samples into the histogram's
/// buckets itself.
#[test]
fn samples_are_not_kept_for_a_page_that_nobody_reads() {
    run_within(MAX_TEST_TIME, async |_fleet| {
        let before = resident_bytes(std::process::id()).expect("own memory");
        for _ in 0..SAMPLES / SAMPLES_PER_BURST {
            for _ in 0..SAMPLES_PER_BURST {
                meters::record_queue_time(Repeat::Idempotent, Duration::from_millis(3));
            }
            tokio::time::sleep(PAUSE).await;
        }
        let after = resident_bytes(std::process::id()).expect("own memory");
        let growth = after.saturating_sub(before);
        assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
    });
}
