//! Shares of accounts, limits on resends, and home endpoints, compared with simple oracles.

use std::time::Duration;

use proptest::prelude::*;
use sedgeridge_fleet::account_shares::AccountShares;
use sedgeridge_fleet::account_shares::Lead;
use sedgeridge_fleet::account_shares::max_min_share;
use sedgeridge_fleet::home_ring::HomeRing;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_fleet::resend_window::ResendWindow;
use sedgeridge_state::ids::ServiceId;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ring_of(endpoints: &[u64]) -> HomeRing {
    let mut ring = HomeRing::default();
    endpoints.iter().for_each(|endpoint| ring.insert(*endpoint));
    ring
}

proptest! {
    /// No account gets more than it requests, all shares fit, and no account could get more without another getting less.
    #[test]
    fn the_share_is_max_min_fair(requested in prop::collection::vec(0.0..1_000.0_f64, 1..20), capacity in 1.0..5_000.0_f64) {
        let share = max_min_share(requested.clone(), capacity);
        let given: f64 = requested.iter().map(|request| request.min(share)).sum();
        let total: f64 = requested.iter().sum();
        if share.is_finite() {
            prop_assert!((given - capacity).abs() < 1e-6 * capacity.max(1.0));
        } else {
            prop_assert!(total <= capacity * (1.0 + 1e-9));
        }
    }

    /// Hosts that each stay within their part together stay within the fleet's limit, in any window.
    #[test]
    fn resends_stay_within_the_bound(events in prop::collection::vec((0..400_u64, any::<bool>(), 0..3_usize), 1..400)) {
        let limits = ResendLimits { ratio: 0.2, min_extra: 12.0, window: at(10_000) };
        let service = ServiceId::from("desk");
        let mut hosts: Vec<_> = (0..3).map(|host| ResendWindow::new(limits, host)).collect();
        let (mut requests, mut resends) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (pause, is_request, host) in events {
            now += pause;
            if is_request {
                hosts[host].on_request(at(now), &service);
                requests.push(now);
            } else if hosts[host].try_resend(at(now), &service, 3) {
                resends.push(now);
            }
            let since = now.saturating_sub(10_000);
            let recent = |times: &[u64]| times.iter().filter(|time| **time >= since).count() as f64;
            prop_assert!(recent(&resends) <= 0.2 * recent(&requests) + 12.0);
        }
    }

    /// When an endpoint is removed, only prompts whose home it was get other homes.
    #[test]
    fn only_prompts_of_a_removed_endpoint_move(keys in prop::collection::vec(any::<u64>(), 1..50), gone in 0..9_u64) {
        let all: Vec<u64> = (0..9).map(|n| n * 7_919 + 13).collect();
        let left: Vec<u64> = all.iter().copied().filter(|e| *e != gone * 7_919 + 13).collect();
        for key in keys {
            let before = ring_of(&all).homes(key, |_| true);
            let after = ring_of(&left).homes(key, |_| true);
            if !before.contains(&Some(gone * 7_919 + 13)) {
                prop_assert_eq!(before, after);
            }
        }
    }
}

/// Guards against an account that gets too much because each host counts only its own part: the large account, which all
/// hosts serve, has to be over its share on each of them, and the small one below.
#[test]
fn an_account_that_is_spread_over_hosts_is_seen_as_a_whole() {
    let mut hosts: Vec<_> = (0..4).map(|_| AccountShares::new(at(4_000))).collect();
    for (number, host) in hosts.iter_mut().enumerate() {
        host.set_capacity(Some(1_000.0));
        for step in 0..10 {
            host.on_arrived(at(step * 100), 1, 400.0);
            host.on_started(at(step * 100), 1, 300.0);
        }
        if number == 0 {
            host.on_arrived(at(900), 2, 500.0);
            host.on_started(at(900), 2, 200.0);
        }
    }
    let reports: Vec<_> = hosts.iter().map(AccountShares::own).collect();
    for (number, host) in hosts.iter_mut().enumerate() {
        for (other, usage) in reports
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number)
        {
            host.on_report(at(1_000), other as u64, usage.clone());
        }
        host.tick(at(1_000));
        assert!(
            host.share_used(1) > 0.9,
            "host {number}: {}",
            host.share_used(1)
        );
        assert!(
            host.share_used(2) < 0.2,
            "host {number}: {}",
            host.share_used(2)
        );
    }
}

#[test]
fn old_usage_leaves_the_window() {
    let mut shares = AccountShares::new(at(4_000));
    shares.set_capacity(Some(100.0));
    shares.on_arrived(at(0), 1, 10_000.0);
    shares.on_started(at(0), 1, 5_000.0);
    shares.tick(at(100));
    assert!(shares.share_used(1) >= 1.0);
    shares.tick(at(5_000));
    assert!(shares.share_used(1) < f64::EPSILON);
}

/// Guards against reports of a silent host that count against an account for ever.
#[test]
fn a_silent_hosts_sums_are_dropped() {
    let mut shares = AccountShares::new(at(4_000));
    let mut other = AccountShares::new(at(4_000));
    shares.set_capacity(Some(100.0));
    other.on_arrived(at(0), 1, 10_000.0);
    other.on_started(at(0), 1, 5_000.0);
    shares.on_report(at(0), 2, other.own());
    shares.tick(at(100));
    assert!(shares.share_used(1) > 0.9);
    shares.tick(at(3_000));
    assert!(shares.share_used(1) < f64::EPSILON);
}

/// Guards against an account that gets all remaining capacity while another one is backlogged. Both request far more than
/// there is, but the callers of the backlogged one fill a small host, so that it gets little.
#[test]
fn a_backlogged_account_holds_those_far_ahead_back() {
    let mut shares = AccountShares::new(at(4_000));
    shares.set_capacity(Some(1_000.0));
    for (account, started) in [(1, 1_200.0), (2, 1_500.0), (3, 1_400.0)] {
        shares.on_arrived(at(0), account, 20_000.0);
        shares.on_started(at(0), account, started);
    }
    shares.on_arrived(at(0), 4, 100.0);
    shares.on_started(at(0), 4, 100.0);
    shares.tick(at(100));
    assert_eq!(shares.lead(1), Lead::Small);
    assert_ne!(shares.lead(2), Lead::Small);
    assert_eq!(shares.lead(3), Lead::Small);
    assert_eq!(shares.lead(4), Lead::Small);
}

/// Guards against a backlogged account on a host that is cut off and that stops the whole fleet: another account goes on
/// up to half of its share, and waits at its whole share.
#[test]
fn an_account_that_gets_nothing_does_not_hold_back_others_below_half_their_share() {
    let lead_at = |given: f64| {
        let mut shares = AccountShares::new(at(4_000));
        shares.set_capacity(Some(1_000.0));
        for part in 0..8 {
            let now = at(part * 500);
            shares.on_arrived(now, 1, 20_000.0 / 8.0);
            shares.on_arrived(now, 2, 20_000.0 / 8.0);
            shares.on_started(now, 2, given / 8.0);
        }
        shares.tick(at(3_900));
        shares.lead(2)
    };
    assert_eq!(lead_at(1_000.0), Lead::Small);
    assert_eq!(lead_at(2_000.0), Lead::TooLarge);
}

/// Starts 1,000 tokens of an account beside a backlogged one that got nothing. `requested_elsewhere` tokens of the account
/// are requested from another host.
fn after_starts(requested_elsewhere: f64) -> AccountShares {
    let (account, backlogged) = (1, 2);
    let mut shares = AccountShares::new(at(4_000));
    let mut other = AccountShares::new(at(4_000));
    shares.set_capacity(Some(1_000.0));
    shares.on_arrived(at(0), account, 10_000.0);
    shares.on_arrived(at(0), backlogged, 20_000.0);
    other.on_arrived(at(0), account, requested_elsewhere);
    shares.on_report(at(100), 2, other.own());
    shares.tick(at(100));
    shares.on_started(at(100), account, 1_000.0);
    shares
}

/// Guards against hosts that see at the same time that an account may go on, and together start several times the free
/// capacity before they receive each other's reports. Until then each host estimates what the others started; the share
/// used does not include the estimate.
#[test]
fn a_host_counts_estimated_starts_of_other_hosts() {
    let mut shares = after_starts(10_000.0);
    assert_eq!(shares.lead(1), Lead::TooLarge);
    assert!((shares.share_used(1) - 0.5).abs() < 1e-9);
    shares.tick(at(490));
    assert_ne!(shares.lead(1), Lead::Small);
    shares.tick(at(2_400));
    assert_eq!(shares.lead(1), Lead::Small);
}

/// Guards against an account that only this host serves, but is charged for starts at other hosts.
#[test]
fn nothing_is_estimated_for_hosts_without_requests() {
    assert_eq!(after_starts(0.0).lead(1), Lead::Small);
}

/// Guards against usage of a burst that leaves the window at once: all hosts would see the gap at the same time and fill
/// it with the next burst. Steady usage has to count in full.
#[test]
fn a_burst_fades_and_steady_usage_counts_in_full() {
    let capacity = 1_000.0;
    let mut burst = AccountShares::new(at(4_000));
    burst.set_capacity(Some(capacity));
    burst.on_arrived(at(0), 1, 100_000.0);
    burst.on_started(at(0), 1, 2_000.0);
    let mut before = f64::INFINITY;
    for now in (0..6_000).step_by(50) {
        // Requests of a second account keep the fair share constant.
        burst.on_arrived(at(now), 2, 10_000.0);
        burst.tick(at(now));
        let share_used = burst.share_used(1);
        if before.is_finite() {
            assert!(
                share_used <= before,
                "{share_used} after {before} at {now} ms"
            );
            assert!(
                before - share_used <= 0.26,
                "{share_used} after {before} at {now} ms"
            );
        }
        before = share_used;
    }
    assert!(before < f64::EPSILON);

    let mut steady = AccountShares::new(at(4_000));
    steady.set_capacity(Some(capacity));
    for now in (0..20_000).step_by(50) {
        steady.on_arrived(at(now), 1, 500.0);
        steady.on_started(at(now), 1, 50.0);
        steady.tick(at(now));
        if now >= 4_000 {
            let share_used = steady.share_used(1);
            assert!(
                (0.85..1.15).contains(&share_used),
                "{share_used} at {now} ms"
            );
        }
    }
}

/// Guards against an account that gets 2.5 times as much as a backlogged one, whose callers are limited by their host.
/// Beyond 1.6 times as much an account has to wait, even if engines are idle; it does not wait if no account is backlogged.
#[test]
fn an_account_waits_when_it_is_too_far_ahead_of_a_backlogged_one() {
    let (backlogged, rival) = (1, 2);
    let lead_at = |given: f64, requested: f64| {
        let mut shares = AccountShares::new(at(4_000));
        shares.set_capacity(Some(500.0));
        shares.on_arrived(at(0), backlogged, requested);
        shares.on_started(at(0), backlogged, 1_000.0);
        shares.on_arrived(at(0), rival, 6_000.0);
        shares.on_started(at(0), rival, given);
        shares.tick(at(100));
        shares.lead(rival)
    };
    assert_eq!(lead_at(1_100.0, 5_000.0), Lead::Small);
    assert_eq!(lead_at(1_400.0, 5_000.0), Lead::Large);
    assert_eq!(lead_at(1_700.0, 5_000.0), Lead::TooLarge);
    assert_eq!(lead_at(1_700.0, 1_000.0), Lead::Small);
}
