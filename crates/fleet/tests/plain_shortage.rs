//! Load tests for a plain service with few endpoints and many hosts.

mod support;

use sedgeridge_fleet::config::Repeat;

use support::load_play::AccountLoad;
use support::load_play::Results;
use support::plain_play::PlainLoad;
use support::plain_play::PlainResults;
use support::plain_play::capacity_per_s;
use support::plain_play::play;

const ENDPOINTS: usize = 3;
const ACCOUNTS: u64 = 10;
const FLOODING_ACCOUNT: u64 = 1;

/// A load of equal accounts, as a fraction of what the endpoints can do.
fn load(hosts: usize, ratio: f64) -> PlainLoad {
    let requests_per_s = capacity_per_s(ENDPOINTS) * ratio;
    let per_account = (requests_per_s / ACCOUNTS as f64) as u64;
    let accounts = 1..=ACCOUNTS;
    PlainLoad {
        hosts,
        endpoints: ENDPOINTS,
        accounts: accounts
            .map(|account| AccountLoad::steady(account, per_account))
            .collect(),
        length_ms: 10_000,
        repeat: Repeat::AtMostOnce,
        leaving: Vec::new(),
        lying: Vec::new(),
        seed: 7,
    }
}

fn rejected_ratio(got: &PlainResults) -> f64 {
    got.rejected as f64 / got.arrivals.max(1) as f64
}

/// Guards against hosts that send to the same endpoint until they see each other's work: its queue overflows while another
/// endpoint is idle.
#[test]
fn requests_are_answered_in_time_up_to_nearly_full_endpoints() {
    for (ratio, least) in [(0.6, 0.97), (0.9, 0.95)] {
        let got = play(load(40, ratio));
        let in_time = got.total().in_time_ratio();
        assert!(in_time >= least, "{in_time:.3} in time at {ratio}");
        let rejected = rejected_ratio(&got);
        assert!(rejected <= 0.01, "{rejected:.3} rejected at {ratio}");
    }
}

/// Guards against a shortage in which the endpoints work on requests that are late in any case.
#[test]
fn half_of_the_requests_are_answered_in_time_at_half_again_the_capacity() {
    for hosts in [5, 40] {
        let got = play(load(hosts, 1.5));
        let in_time = got.total().in_time_ratio();
        assert!(in_time >= 0.48, "{in_time:.3} in time with {hosts} hosts");
        let rejected = rejected_ratio(&got);
        assert!(rejected <= 0.1, "{rejected:.3} rejected with {hosts} hosts");
    }
}

/// Guards against an account that floods a plain service and takes other accounts' requests with it.
#[test]
fn accounts_beside_a_flooding_one_are_answered_in_time() {
    let mut load = load(40, 0.6);
    load.accounts[0].requests_per_s *= 12;
    let got = play(load);
    let mut others = got.accounts.clone();
    let flooding = others.remove(&FLOODING_ACCOUNT).unwrap_or_default();
    let least = others.values().copied().map(Results::in_time_ratio);
    let least = least.fold(1.0, f64::min);
    assert!(least >= 0.85, "an account with {least:.3} in time");
    let flooding = flooding.in_time_ratio();
    assert!(
        flooding >= 0.4,
        "{flooding:.3} in time of the flooding account"
    );
}

/// Guards against requests for an endpoint that left, and against a rush to one of the remaining ones.
#[test]
fn requests_are_answered_in_time_after_an_endpoint_left() {
    let mut load = load(40, 0.6);
    load.leaving = vec![(0, 3_000)];
    let got = play(load);
    let in_time = got.total().in_time_ratio();
    assert!(in_time >= 0.95, "{in_time:.3} in time");
}

/// Guards against an endpoint that states no load while it is full, and draws the requests of all hosts.
#[test]
fn an_endpoint_that_states_no_load_gets_no_more_than_it_can_do() {
    let mut load = load(5, 0.8);
    load.lying = vec![0];
    let got = play(load);
    let in_time = got.total().in_time_ratio();
    assert!(in_time >= 0.93, "{in_time:.3} in time");
    let rejected = rejected_ratio(&got);
    assert!(rejected <= 0.02, "{rejected:.3} rejected");
}
