//! Tests for the homes of prompts in services of any size.

use std::cell::Cell;
use std::collections::BTreeMap;

use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::home_ring::HomeRing;
use yare::parameterized;

fn ring(endpoints: usize) -> HomeRing {
    let mut ring = HomeRing::default();
    for number in 0..endpoints {
        ring.insert(stable_hash(&number.to_string()));
    }
    ring
}

/// Guards against endpoints that are homes of many more prompts than others, and read them one after another.
#[parameterized(
    endpoints_3 = { 3 },
    endpoints_9 = { 9 },
    endpoints_93 = { 93 },
    endpoints_1000 = { 1_000 },
)]
fn endpoints_are_homes_of_about_as_many_prompts(endpoints: usize) {
    let ring = ring(endpoints);
    let mut counts = BTreeMap::new();
    for key in 0..endpoints as u64 * 200 {
        let [first, _] = ring.homes(key, |_| true);
        *counts.entry(first).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), endpoints);
    let busiest = counts.values().max().copied().unwrap_or_default();
    assert!(busiest <= 300, "{busiest} prompts, 200 on average");
    let least = counts.values().min().copied().unwrap_or_default();
    assert!(least >= 100, "{least} prompts, 200 on average");
}

/// Guards against a decision that looks at every endpoint: its cost may not grow with their number, also when most or all
/// of them are down.
#[parameterized(
    none_down = { 0, 200 },
    half_down = { 50, 400 },
    all_down = { 100, 3_000 },
)]
fn few_endpoints_are_looked_at(down_percent: u64, max_looks: usize) {
    for endpoints in [200, 20_000] {
        let ring = ring(endpoints);
        let looks = Cell::new(0);
        let homes = ring.homes(7, |endpoint| {
            looks.set(looks.get() + 1);
            endpoint % 100 >= down_percent
        });
        assert!(looks.get() <= max_looks, "{} of {endpoints}", looks.get());
        assert_eq!(homes[0].is_none(), down_percent == 100);
    }
}
