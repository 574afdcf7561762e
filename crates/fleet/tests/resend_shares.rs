//! Tests for the resends of a large fleet, of which each host may make a fraction of one in a window.

use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_fleet::resend_window::ResendWindow;
use sedgeridge_state::ids::ServiceId;
use yare::parameterized;

const WINDOW_MS: u64 = 10_000;
const RESEND_RATIO: f64 = 0.2;
/// Resends beyond the ratio that the fleet may make, for each host.
const MIN_EXTRA_PER_HOST: f64 = 1.05;
const REQUESTS_PER_HOST: u64 = 2;

struct Counts {
    failed: usize,
    resent: usize,
    allowed: f64,
}

/// Plays one window, in which some requests of each host fail.
fn play(hosts: u64, failing_percent: u64) -> Counts {
    let limits = ResendLimits {
        ratio: RESEND_RATIO,
        min_extra: MIN_EXTRA_PER_HOST * hosts as f64,
        window: Duration::from_millis(WINDOW_MS),
    };
    let service = ServiceId::from("booking");
    let mut random = SeededRandom::new(5);
    let (mut failed, mut resent) = (0, 0);
    for host in 0..hosts {
        let mut window = ResendWindow::new(limits, stable_hash(&host.to_string()));
        for request in 0..REQUESTS_PER_HOST {
            let now = Duration::from_millis(request * 1_000);
            window.on_request(now, &service);
            if random.below(100) >= failing_percent {
                continue;
            }
            failed += 1;
            resent += usize::from(window.try_resend(now, &service, hosts as usize));
        }
    }
    let requests = (hosts * REQUESTS_PER_HOST) as f64;
    Counts {
        failed,
        resent,
        allowed: RESEND_RATIO * requests + limits.min_extra,
    }
}

/// Guards against a limit that no host may use, since each host's part of it is less than one.
#[test]
fn most_failed_requests_are_sent_again() {
    let got = play(1_000, 10);
    assert!(
        got.resent * 10 >= got.failed * 7,
        "{} of {}",
        got.resent,
        got.failed
    );
}

/// Guards against hosts that together send more requests again than the fleet may.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_100 = { 100 },
    hosts_of_1000 = { 1_000 },
)]
fn all_hosts_together_stay_within_the_limit(hosts: u64) {
    let got = play(hosts, 100);
    assert!(
        got.resent as f64 <= got.allowed,
        "{} of {}",
        got.resent,
        got.allowed
    );
}
