//! Tests for the registration of many hosts that start together.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::registration_retries::RegistrationRetries;
use yare::parameterized;

/// Writes a second that the store performs in one part of a table.
const WRITES_PER_S: u64 = 200;
/// Longest queue of writes, in milliseconds, beyond which it turns them away.
const MAX_QUEUE_MS: u64 = 1_000;
/// Time within which the hosts start.
const START_SPREAD_MS: u64 = 300;

/// Guards against hosts that call the store again and again while it can't keep up: each call is paid for, also one that
/// is turned away. All must be registered before the traffic of a fleet of this size begins.
#[parameterized(
    hosts_of_80 = { 80, 100, 2_000 },
    hosts_of_986 = { 986, 2_200, 16_000 },
    hosts_of_2000 = { 2_000, 5_000, 24_000 },
)]
fn hosts_that_start_together_register_with_few_calls(hosts: u64, max_calls: u64, within_ms: u64) {
    let mut random = SeededRandom::new(1);
    let mut attempts: BinaryHeap<_> = (0..hosts)
        .map(|host| Reverse((random.below(START_SPREAD_MS), host)))
        .collect();
    let mut retries: Vec<_> = (0..hosts).map(|_| RegistrationRetries::default()).collect();
    let (mut calls, mut queue_ends_ms) = (0, 0);
    while let Some(Reverse((now_ms, host))) = attempts.pop() {
        calls += 1;
        queue_ends_ms = now_ms.max(queue_ends_ms);
        if queue_ends_ms < now_ms + MAX_QUEUE_MS {
            queue_ends_ms += 1_000 / WRITES_PER_S;
            continue;
        }
        let pause = retries[host as usize].next_pause(&mut random);
        let pause_ms = pause.as_millis() as u64;
        attempts.push(Reverse((now_ms + pause_ms.max(1), host)));
    }
    assert!(calls <= max_calls, "{calls} calls");
    assert!(queue_ends_ms <= within_ms, "{queue_ends_ms} ms");
    println!("{hosts} hosts: {calls} calls, {queue_ends_ms} ms");
}
