//! Tests for the registration of many hosts that start together.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::registration_retries::REGISTRATION_WINDOW;
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
    let first_attempts = (0..hosts).map(|_| random.below(START_SPREAD_MS)).collect();
    let (calls, ends_ms) = register(&mut random, first_attempts);
    assert!(calls <= max_calls, "{calls} calls");
    assert!(ends_ms <= within_ms, "{ends_ms} ms");
}

/// Guards against hosts that are dropped from every list although they register again after the store has lost the
/// entries of all of them.
#[parameterized(
    hosts_of_80 = { 80, 100 },
    hosts_of_986 = { 986, 1_500 },
)]
fn hosts_that_lose_their_entries_together_register_within_the_window(hosts: u64, max_calls: u64) {
    let mut random = SeededRandom::new(1);
    let first_attempts = (0..hosts).map(|_| {
        let pause = RegistrationRetries::default().next_pause(&mut random);
        pause.as_millis() as u64
    });
    let first_attempts = first_attempts.collect();
    let (calls, ends_ms) = register(&mut random, first_attempts);
    assert!(calls <= max_calls, "{calls} calls");
    let window_ms = REGISTRATION_WINDOW.as_millis() as u64;
    assert!(ends_ms <= window_ms, "{ends_ms} ms");
}

/// Registers hosts that first call the store at these times, in milliseconds. Returns the number of calls, and the time at
/// which the last entry is written.
fn register(random: &mut SeededRandom, first_attempts: Vec<u64>) -> (u64, u64) {
    let mut retries: Vec<_> = first_attempts
        .iter()
        .map(|_| RegistrationRetries::default())
        .collect();
    let attempts = first_attempts.into_iter().zip(0_usize..);
    let mut attempts: BinaryHeap<_> = attempts.map(Reverse).collect();
    let (mut calls, mut queue_ends_ms) = (0, 0);
    while let Some(Reverse((now_ms, host))) = attempts.pop() {
        calls += 1;
        queue_ends_ms = now_ms.max(queue_ends_ms);
        if queue_ends_ms < now_ms + MAX_QUEUE_MS {
            queue_ends_ms += 1_000 / WRITES_PER_S;
            continue;
        }
        let pause = retries[host].next_pause(random);
        let pause_ms = pause.as_millis() as u64;
        attempts.push(Reverse((now_ms + pause_ms.max(1), host)));
    }
    (calls, queue_ends_ms)
}
