//! A host that gets more requests than it has processor time for.

use std::time::Duration;

use sedgeridge_fleet::load_shedding::LoadShedding;
use yare::parameterized;

/// Processor time of a request that is forwarded with its answer, and of one that is shed.
const FORWARD_US: u64 = 1_000;
const SHED_US: u64 = 40;
const TIMER_MS: u64 = 20;
const LENGTH_MS: u64 = 10_000;
/// Time in which the load is noticed.
const NOTICED_MS: u64 = 2_000;

/// What callers of one host got.
#[derive(Debug, Default)]
struct Got {
    forwarded: u64,
    shed: u64,
    /// Longest time from a request's arrival to its forwarding, after the load was noticed.
    longest_ms: u64,
}

/// Plays requests that come evenly to a host with `share` of a core, one after another.
fn play(per_s: u64, share: f64, is_shedding: bool) -> Got {
    let mut shedding = LoadShedding::default();
    let mut got = Got::default();
    let (mut free_at_us, mut timer_due_us) = (0_u64, 0_u64);
    for number in 0..per_s * LENGTH_MS / 1_000 {
        let arrived_us = number * 1_000_000 / per_s;
        while timer_due_us <= arrived_us {
            // A timer waits for what came before it, like a request.
            let begin_us = free_at_us.max(timer_due_us);
            shedding.on_timer(Duration::from_micros(begin_us - timer_due_us));
            timer_due_us = begin_us + TIMER_MS * 1_000;
        }
        let begin_us = free_at_us.max(arrived_us);
        let is_shed = is_shedding && shedding.takes_turn();
        let cost_us = match is_shed {
            true => SHED_US,
            false => FORWARD_US,
        };
        free_at_us = begin_us + (cost_us as f64 / share) as u64;
        if is_shed {
            got.shed += 1;
            continue;
        }
        got.forwarded += 1;
        if arrived_us > NOTICED_MS * 1_000 {
            got.longest_ms = got.longest_ms.max((begin_us - arrived_us) / 1_000);
        }
    }
    got
}

/// Guards against callers that wait for a host's processor until their answers are late, while other hosts are idle.
#[parameterized(
    twice = { 250, 0.12 },
    five_times = { 600, 0.12 },
    flood = { 1_200, 0.12 },
    larger_host = { 2_000, 0.5 },
)]
fn requests_of_a_flooded_host_do_not_wait(per_s: u64, share: f64) {
    let got = play(per_s, share, true);
    assert!(got.longest_ms <= 100, "{got:?}");
    let could = share * 1e6 / FORWARD_US as f64 * LENGTH_MS as f64 / 1_000.0;
    assert!(got.forwarded as f64 >= could * 0.5, "{got:?} of {could}");
    let waiting = play(per_s, share, false);
    assert!(waiting.longest_ms > 1_000, "{waiting:?}");
}

/// Guards against a host that sends callers away though it has the time.
#[test]
fn a_host_with_time_sheds_nothing() {
    let got = play(90, 0.12, true);
    assert_eq!(got.shed, 0, "{got:?}");
}
