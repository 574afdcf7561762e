//! How evenly a large fleet starts the requests of accounts that request more than the engines can process.

mod support;

use support::load_play::AccountLoad;
use support::load_play::Load;
use support::load_play::Prompts;
use support::load_play::RetryPolicy;
use support::load_play::play_started;

/// An account whose callers all reach one host, and one that sends ten times as many requests to all hosts.
const ONE_HOST: u64 = 1;
const ALL_HOSTS: u64 = 2;
/// Time span over which accounts are compared. It contains two bursts that are one share window apart.
const SPAN_MS: u64 = 6_000;
const LENGTH_MS: u64 = 24_000;
/// Time at which the account at all hosts sends its first request.
const FLOOD_FROM_MS: u64 = 4_000;

/// Time until all hosts know of the flood. Requests that they start before that can't be held back.
const NOTICE_MS: u64 = 1_000;
/// Maximum ratio of the requests started for the two accounts in a span. The worst ratio of three runs is 2.9 if usage
/// leaves the window at once, 2.3 if it fades, and 1.7 if each host also estimates what the others start.
const MAX_RATIO: f64 = 1.9;

fn flood(seed: u64) -> Load {
    let small = (3..13).map(|account| AccountLoad::steady(account, 4));
    let one_host = AccountLoad {
        only_host: Some(0),
        ..AccountLoad::steady(ONE_HOST, 80)
    };
    let all_hosts = AccountLoad {
        from_ms: FLOOD_FROM_MS,
        ..AccountLoad::steady(ALL_HOSTS, 800)
    };
    Load {
        hosts: 40,
        engines: 8,
        prompts: Prompts {
            subjects: 12,
            shared_tokens: 1_000,
            own_tokens: 800,
        },
        accounts: small.chain([one_host, all_hosts]).collect(),
        length_ms: LENGTH_MS,
        retry_policy: RetryPolicy::AsTold,
        seed,
    }
}

fn count_within(times_ms: &[u64], from_ms: u64, to_ms: u64) -> usize {
    let within = times_ms.iter().filter(|at| (from_ms..to_ms).contains(*at));
    within.count()
}

/// Requests started for both accounts in each span of the flood; spans begin half a second apart.
fn spans(seed: u64) -> Vec<(usize, usize)> {
    let started_at_ms = play_started(flood(seed));
    let starts = (FLOOD_FROM_MS + NOTICE_MS..=LENGTH_MS - SPAN_MS).step_by(500);
    let spans = starts.map(|from_ms| {
        let within = |account| count_within(&started_at_ms[&account], from_ms, from_ms + SPAN_MS);
        (within(ONE_HOST), within(ALL_HOSTS))
    });
    spans.collect()
}

/// Guards against callers of an account at one host that are refused for seconds while an account at all hosts gets several
/// times as much. Hosts learn of each other's starts half a second late, so that together they start twice its share when
/// the window has room, and again when that has left the window: two bursts in six seconds that fill the engines.
#[test]
fn an_account_at_one_host_gets_its_share_beside_one_at_all_hosts() {
    for seed in 1..=3 {
        let spans = spans(seed);
        let is_fair = |(one_host, all_hosts): &(usize, usize)| {
            *all_hosts as f64 <= *one_host as f64 * MAX_RATIO
        };
        assert!(spans.iter().all(is_fair), "seed {seed}: {spans:?}");
    }
}
