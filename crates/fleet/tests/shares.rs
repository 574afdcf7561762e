//! Shares of accounts, budgets of resends and placement, against simple oracles.

use std::time::Duration;

use proptest::prelude::*;
use sedgeridge_fleet::account_shares::AccountShares;
use sedgeridge_fleet::account_shares::Lead;
use sedgeridge_fleet::account_shares::max_min_share;
use sedgeridge_fleet::placement::home_endpoints;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_fleet::resend_window::ResendWindow;
use sedgeridge_state::ids::ServiceId;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

proptest! {
    /// Nobody gets more than asked, everything fits, and nobody could get more without another
    /// getting less.
    #[test]
    fn the_level_is_max_min_fair(asked in prop::collection::vec(0.0..1_000.0_f64, 1..20), capacity in 1.0..5_000.0_f64) {
        let level = max_min_share(asked.clone(), capacity);
        let given: f64 = asked.iter().map(|ask| ask.min(level)).sum();
        let total: f64 = asked.iter().sum();
        if level.is_finite() {
            prop_assert!((given - capacity).abs() < 1e-6 * capacity.max(1.0));
        } else {
            prop_assert!(total <= capacity * (1.0 + 1e-9));
        }
    }

    /// Hosts that keep to their parts stay within the fleet's bound together, in any window.
    #[test]
    fn resends_stay_within_the_bound(events in prop::collection::vec((0..400_u64, any::<bool>(), 0..3_usize), 1..400)) {
        let limits = ResendLimits { ratio: 0.2, min_extra: 12.0, window: at(10_000) };
        let service = ServiceId::from("desk");
        let mut hosts: Vec<_> = (0..3).map(|_| ResendWindow::new(limits)).collect();
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

    /// An endpoint that comes or goes moves only prompts that it had or gets.
    #[test]
    fn only_what_must_move_moves(keys in prop::collection::vec(any::<u64>(), 1..50), gone in 0..9_u64) {
        let all: Vec<u64> = (0..9).map(|n| n * 7_919 + 13).collect();
        let left: Vec<u64> = all.iter().copied().filter(|e| *e != gone * 7_919 + 13).collect();
        for key in keys {
            let before = home_endpoints(key, all.iter().copied());
            let after = home_endpoints(key, left.iter().copied());
            if !before.contains(&Some(gone * 7_919 + 13)) {
                prop_assert_eq!(before, after);
            }
        }
    }
}

/// The small account is served beside the large one: its standing stays low while the large one,
/// which all hosts serve, is over its share on each of them although no host gave it much.
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
fn old_use_leaves_the_window() {
    let mut shares = AccountShares::new(at(4_000));
    shares.set_capacity(Some(100.0));
    shares.on_arrived(at(0), 1, 10_000.0);
    shares.on_started(at(0), 1, 5_000.0);
    shares.tick(at(100));
    assert!(shares.share_used(1) >= 1.0);
    shares.tick(at(5_000));
    assert!(shares.share_used(1) < f64::EPSILON);
}

/// A host that falls silent must not hold an account's share for ever.
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

/// A film crew and the booking desk both ask for far more than there is. The crew's callers fill one
/// small host, so that it gets little; what engines have left must not all go to the desk.
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

/// An account whose host is cut off must not stop the whole fleet: up to half of the share another
/// one goes on beside it, and at the whole share it waits.
#[test]
fn an_account_that_gets_nothing_holds_nobody_below_a_part_of_the_share() {
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

/// Begins 1,000 tokens of an account beside a backlogged one that got nothing; `asked_elsewhere` is
/// what another host is asked for the account.
fn after_begins(asked_elsewhere: f64) -> AccountShares {
    let (account, backlogged) = (1, 2);
    let mut shares = AccountShares::new(at(4_000));
    let mut other = AccountShares::new(at(4_000));
    shares.set_capacity(Some(1_000.0));
    shares.on_arrived(at(0), account, 10_000.0);
    shares.on_arrived(at(0), backlogged, 20_000.0);
    other.on_arrived(at(0), account, asked_elsewhere);
    shares.on_report(at(100), 2, other.own());
    shares.tick(at(100));
    shares.on_started(at(100), account, 1_000.0);
    shares
}

/// All hosts see at the same moment that an account may go on, and together begin several times what
/// there is room for before they hear of each other. Each expects the others to have begun as much as
/// itself by what they are asked for, until they have told of it; the share that counts is not touched.
#[test]
fn a_host_counts_what_others_probably_began_like_it() {
    let mut shares = after_begins(10_000.0);
    assert_eq!(shares.lead(1), Lead::TooLarge);
    assert!((shares.share_used(1) - 0.5).abs() < 1e-9);
    shares.tick(at(490));
    assert_ne!(shares.lead(1), Lead::Small);
    shares.tick(at(2_400));
    assert_eq!(shares.lead(1), Lead::Small);
}

/// An account that one host serves is held to what it was given, and to nothing besides.
#[test]
fn nothing_is_guessed_of_hosts_that_are_not_asked() {
    assert_eq!(after_begins(0.0).lead(1), Lead::Small);
}

/// What an account began in a burst must not leave the window at once: all hosts would see the gap
/// at the same time and fill it with the next burst. Steady use counts as much as a window of it.
#[test]
fn a_burst_fades_and_steady_use_counts_in_full() {
    let capacity = 1_000.0;
    let mut burst = AccountShares::new(at(4_000));
    burst.set_capacity(Some(capacity));
    burst.on_arrived(at(0), 1, 100_000.0);
    burst.on_started(at(0), 1, 2_000.0);
    let mut before = f64::INFINITY;
    for now in (0..6_000).step_by(50) {
        // A second account keeps the level where it is.
        burst.on_arrived(at(now), 2, 10_000.0);
        burst.tick(at(now));
        let standing = burst.share_used(1);
        if before.is_finite() {
            assert!(standing <= before, "{standing} after {before} at {now} ms");
            assert!(
                before - standing <= 0.26,
                "{standing} after {before} at {now} ms"
            );
        }
        before = standing;
    }
    assert!(before < f64::EPSILON);

    let mut steady = AccountShares::new(at(4_000));
    steady.set_capacity(Some(capacity));
    for now in (0..20_000).step_by(50) {
        steady.on_arrived(at(now), 1, 500.0);
        steady.on_started(at(now), 1, 50.0);
        steady.tick(at(now));
        if now >= 4_000 {
            let standing = steady.share_used(1);
            assert!((0.85..1.15).contains(&standing), "{standing} at {now} ms");
        }
    }
}

/// Callers of one account are held up by their host and wait all the time; what engines have left goes
/// to another account, which other hosts serve, until it has 2.5 times as much. Beyond 1.6 times as much
/// it waits, however idle the engines are; when nobody is backlogged it does not.
#[test]
fn an_account_waits_when_it_is_too_far_ahead_of_a_backlogged_one() {
    let (backlogged, rival) = (1, 2);
    let lead_at = |given: f64, asked: f64| {
        let mut shares = AccountShares::new(at(4_000));
        shares.set_capacity(Some(500.0));
        shares.on_arrived(at(0), backlogged, asked);
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
