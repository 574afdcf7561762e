//! Measures the table transactions that one router needs for each request that must not be
//! repeated.
//!
//! The clock is simulated, so the figures are counts and do not depend on the machine. Run with
//! `--nocapture` to see them.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::claim_fleet::ClaimFleet;
use common::claim_fleet::RequestOutcome;
use common::store::CallOutcome;
use sedgeridge_coordination::claim_events::ClaimSettings;
use sedgeridge_state::ids::RequestId;

const STORE_LATENCY_MS: u64 = 5;
/// Requests run for 20 to 180 ms, so that callers don't run in lockstep.
const MIN_SERVICE_MS: u64 = 20;
const SERVICE_SPREAD_MS: u64 = 161;
const RUN_MS: u64 = 4_000;
/// Largest number of transactions per request at load.
const MAX_TRANSACTIONS_PER_REQUEST: f64 = 0.25;
/// Number of concurrent requests in one router from which the limit must hold.
const LOAD_CONCURRENCY: u64 = 64;

#[derive(Debug)]
struct Cost {
    finished: u64,
    transactions: u64,
    claim_wait_ms: u64,
}

impl Cost {
    fn per_request(&self) -> f64 {
        self.transactions as f64 / self.finished as f64
    }
}

/// Runs `concurrency` callers, each of which sends its next request when the previous one ended.
fn run(concurrency: u64, claim_linger_ms: u64) -> Cost {
    let settings = ClaimSettings {
        claim_linger_ms,
        ..ClaimSettings::default()
    };
    let mut fleet = ClaimFleet::new(1, settings);
    fleet.store.keeps_no_history = true;
    let mut key = 0;
    let mut arrivals: BTreeMap<RequestId, u64> = BTreeMap::new();
    let mut ends: BTreeMap<u64, usize> = BTreeMap::new();
    let mut calls: BTreeMap<u64, usize> = BTreeMap::new();
    let mut cost = Cost {
        finished: 0,
        transactions: 0,
        claim_wait_ms: 0,
    };
    let mut idle = concurrency;
    let mut random = 1;
    for now_ms in 0..RUN_MS {
        fleet.now = Duration::from_millis(now_ms);
        for _ in 0..idle {
            key += 1;
            arrivals.insert(fleet.claim_key(0, key), now_ms);
        }
        idle = 0;
        for _ in 0..calls.remove(&now_ms).unwrap_or(0) {
            fleet.deliver(0, CallOutcome::Answered);
        }
        for _ in 0..ends.remove(&now_ms).unwrap_or(0) {
            fleet.finish(0, 0);
            cost.finished += 1;
            idle += 1;
        }
        fleet.advance(0);
        let dispatched = arrivals.extract_if(.., |r, _| {
            fleet.outcomes_of(r) == [RequestOutcome::Dispatched]
        });
        for (_, arrived_ms) in dispatched {
            cost.claim_wait_ms += now_ms - arrived_ms;
            *ends.entry(now_ms + service_ms(&mut random)).or_default() += 1;
        }
        let scheduled: usize = calls.values().sum();
        let new_calls = fleet.routers[0].calls.len() - scheduled;
        *calls.entry(now_ms + STORE_LATENCY_MS).or_default() += new_calls;
    }
    cost.transactions = fleet.store.transactions;
    cost
}

// Linear congruential generator.
fn service_ms(random: &mut u64) -> u64 {
    *random = random
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1);
    MIN_SERVICE_MS + (*random >> 33) % SERVICE_SPREAD_MS
}

// At load the claims and outcomes of many requests share transactions; the request of a single
// caller needs two of its own. The whole table can process several hundred writes per second.
#[test]
fn requests_share_transactions_at_load() {
    let claim_linger_ms = ClaimSettings::default().claim_linger_ms;
    println!(
        "linger ms | at once | requests | transactions a second | per request | claim wait ms"
    );
    for claim_linger_ms in [2, 10, claim_linger_ms] {
        for concurrency in [1, 2, 4, 8, 16, 32, LOAD_CONCURRENCY, 128, 256] {
            print_cost(
                concurrency,
                claim_linger_ms,
                &run(concurrency, claim_linger_ms),
            );
        }
    }
    for concurrency in [LOAD_CONCURRENCY, 128, 256] {
        let per_request = run(concurrency, claim_linger_ms).per_request();
        assert!(
            per_request <= MAX_TRANSACTIONS_PER_REQUEST,
            "{per_request} at {concurrency} at once"
        );
    }
}

fn print_cost(concurrency: u64, claim_linger_ms: u64, cost: &Cost) {
    let finished = cost.finished;
    let per_request = cost.per_request();
    let per_s = cost.transactions * 1_000 / RUN_MS;
    let wait_ms = cost.claim_wait_ms as f64 / finished as f64;
    println!(
        "{claim_linger_ms} | {concurrency} | {finished} | {per_s} | {per_request:.3} | {wait_ms:.1}"
    );
}
