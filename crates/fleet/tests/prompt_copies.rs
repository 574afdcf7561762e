//! Copies of shared prompt parts: opened where callers would wait longer than reading takes, few, and given up.

mod support;

use std::collections::BTreeMap;

use sedgeridge_fleet::prompt_copies::MAX_REMEMBERED_KEYS;
use sedgeridge_fleet::prompt_copies::PromptCopies;
use sedgeridge_fleet::prompt_copies::SentPrompt;

use support::at;
use support::load_play::AccountLoad;
use support::load_play::HotSubject;
use support::load_play::Load;
use support::load_play::Prompts;
use support::load_play::Reads;
use support::load_play::Results;
use support::load_play::RetryPolicy;
use support::load_play::play_hot_subject;
use support::load_play::total;

const HOT_FROM_ACCOUNT: u64 = 100;
const BURST_FROM_MS: u64 = 4_000;
const BURST_TO_MS: u64 = 8_000;

/// Forty hosts and engines, many subjects with little load each, and a burst on one subject that needs `burst_engines`.
fn load(seed: u64, burst_engines: u64) -> HotSubject {
    let prompts = Prompts {
        subjects: 400,
        shared_tokens: 1_000,
        own_tokens: 400,
    };
    // An engine reads the own tokens of 50 prompts a second.
    let burst = (0..10).map(|number| AccountLoad {
        account: HOT_FROM_ACCOUNT + number,
        requests_per_s: 5 * burst_engines,
        from_ms: BURST_FROM_MS,
        to_ms: BURST_TO_MS,
        only_host: None,
    });
    let background = (1..=10).map(|account| AccountLoad::steady(account, 20));
    HotSubject {
        load: Load {
            hosts: 40,
            engines: 40,
            prompts,
            accounts: background.chain(burst).collect(),
            length_ms: 13_000,
            retry_policy: RetryPolicy::AsTold,
            seed,
        },
        hot_from_account: HOT_FROM_ACCOUNT,
        report_interval_ms: 300,
        engine_gone_at_ms: None,
    }
}

fn of_burst(got: &BTreeMap<u64, Results>) -> Results {
    let hot = got
        .iter()
        .filter(|(account, _)| **account >= HOT_FROM_ACCOUNT);
    total(&hot.map(|(account, got)| (*account, *got)).collect())
}

fn sum_of_bursts(results: &[(BTreeMap<u64, Results>, Reads)]) -> Results {
    let bursts = results.iter().map(|(got, _)| of_burst(got));
    total(&(0..).zip(bursts).collect())
}

fn play_seeds(load: impl Fn(u64) -> HotSubject) -> Vec<(BTreeMap<u64, Results>, Reads)> {
    (1..=3).map(|seed| play_hot_subject(load(seed))).collect()
}

/// Guards against callers of one subject who are refused while other engines are idle.
#[test]
fn a_burst_on_one_subject_is_served_by_as_many_engines_as_it_needs() {
    let played = play_seeds(|seed| load(seed, 6));
    let burst = sum_of_bursts(&played);
    assert!(burst.in_time_ratio() >= 0.55, "{burst:?}");
    assert!(burst.answered_ratio() >= 0.97, "{burst:?}");
    for (_, reads) in &played {
        let in_burst = reads.hot_engines(BURST_FROM_MS, BURST_TO_MS);
        assert!(in_burst <= 13, "{in_burst} engines");
        let after = reads.hot_engines(BURST_TO_MS + 3_000, u64::MAX);
        assert!(after <= 2, "{after} engines after the burst");
        assert!(reads.again() <= 80, "{} read again", reads.again());
    }
}

/// Guards against more copies than the rate of a subject needs.
#[test]
fn a_small_burst_opens_few_copies() {
    let played = play_seeds(|seed| load(seed, 2));
    let burst = sum_of_bursts(&played);
    assert!(burst.in_time_ratio() >= 0.75, "{burst:?}");
    for (_, reads) in &played {
        let in_burst = reads.hot_engines(BURST_FROM_MS, BURST_TO_MS);
        assert!(in_burst <= 7, "{in_burst} engines");
        assert!(reads.again() <= 30, "{} read again", reads.again());
    }
}

/// Guards against shared parts that several engines read although one is enough.
#[test]
fn subjects_with_little_load_keep_to_their_homes() {
    let played = play_seeds(|seed| load(seed, 0));
    let again: usize = played.iter().map(|(_, reads)| reads.again()).sum();
    assert!(again <= 11, "{again} read again");
    for (got, _) in &played {
        assert!(total(got).in_time_ratio() >= 0.99, "{got:?}");
    }
}

/// Guards against hosts that move a subject to new engines everywhere after one of its engines is gone.
#[test]
fn the_next_engine_takes_over_when_one_with_a_copy_is_gone() {
    const GONE_AT_MS: u64 = 6_000;
    let played = play_seeds(|seed| HotSubject {
        engine_gone_at_ms: Some(GONE_AT_MS),
        ..load(seed, 6)
    });
    let burst = sum_of_bursts(&played);
    assert!(burst.in_time_ratio() >= 0.55, "{burst:?}");
    for (_, reads) in &played {
        let hot = reads.shared.iter().filter(|(_, subject, _)| *subject == 0);
        let later: Vec<_> = hot.filter(|(at, _, _)| *at >= GONE_AT_MS).collect();
        assert!(later.len() <= 2, "{later:?}");
        let mut sends = reads.hot_sends.iter();
        assert!(sends.all(|(at, engine)| *at <= GONE_AT_MS || Some(*engine) != reads.gone));
    }
}

fn sent(key: u64, rank: usize, wait_without_last_ms: f64) -> SentPrompt {
    SentPrompt {
        key,
        rank,
        reading_ms: 50.0,
        wait_without_last_ms,
    }
}

/// Guards against copies that are closed and opened again while the load swings around the wait at which they pay.
#[test]
fn a_copy_is_closed_only_when_it_was_not_needed_for_a_time() {
    let mut copies = PromptCopies::new(at(10_000));
    copies.on_sent(at(0), sent(7, 2, 200.0));
    for now in (100..5_000).step_by(100) {
        let wait_ms = if now % 500 == 0 { 40.0 } else { 5.0 };
        copies.on_sent(at(now), sent(7, 0, wait_ms));
        assert_eq!(copies.open(at(now), 7), 3, "at {now}");
    }
    copies.on_sent(at(5_900), sent(7, 0, 5.0));
    assert_eq!(copies.open(at(5_900), 7), 2);
    assert_eq!((copies.opened(), copies.closed()), (1, 1));
}

/// Guards against memory that grows with the keys that callers choose.
#[test]
fn a_flood_of_keys_takes_no_more_than_the_bound() {
    let mut copies = PromptCopies::new(at(10_000));
    for key in 0..20_000 {
        copies.on_sent(at(0), sent(key, 2, 200.0));
        assert!(copies.len() <= MAX_REMEMBERED_KEYS);
    }
    assert_eq!(copies.open(at(0), 19_999), 3);
}
