//! Load shedding by a host that gets more requests than it has processor time for.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::load_shedding::LoadShedding;
use sedgeridge_fleet::peer_hosts::ListedHost;
use yare::parameterized;

use support::Host;
use support::at;
use support::live;
use support::settings;

/// Processor time of a request that is forwarded, its answer included, and of one that is shed.
const FORWARD_US: u64 = 1_000;
const SHED_US: u64 = 40;
const TIMER_MS: u64 = 20;
const LENGTH_MS: u64 = 10_000;
/// Time after which the load must have been noticed.
const NOTICE_MS: u64 = 2_000;

/// Requests of one account at even intervals.
#[derive(Debug, Clone, Copy)]
struct Sender {
    account: u64,
    per_s: u64,
    /// Tokens that the fleet started for the account, as a multiple of its fair share.
    share_used: f64,
}

/// Results of the requests of one account at one host.
#[derive(Debug, Clone, Copy, Default)]
struct Results {
    forwarded: u64,
    shed: u64,
    /// Requests shed after the load was noticed.
    shed_later: u64,
    /// Longest time from a request's arrival to its forwarding, after the load was noticed.
    longest_ms: u64,
}

/// Simulates a host with a fraction of a core that handles requests one after another.
fn play_senders(
    senders: &[Sender],
    core_fraction: f64,
    is_shedding: bool,
) -> BTreeMap<u64, Results> {
    let arrivals = senders.iter().flat_map(|sender| {
        let times = (0..sender.per_s * LENGTH_MS / 1_000).map(|it| it * 1_000_000 / sender.per_s);
        times.map(move |arrived_us| (arrived_us, *sender))
    });
    let mut arrivals: Vec<_> = arrivals.collect();
    arrivals.sort_by_key(|(arrived_us, _)| *arrived_us);
    let mut shedding = LoadShedding::default();
    let mut all: BTreeMap<u64, Results> = BTreeMap::new();
    let (mut free_at_us, mut timer_due_us) = (0_u64, 0_u64);
    for (arrived_us, sender) in arrivals {
        while timer_due_us <= arrived_us {
            // A timer waits for earlier requests, as a request does.
            let begin_us = free_at_us.max(timer_due_us);
            let late = Duration::from_micros(begin_us - timer_due_us);
            shedding.on_timer(Duration::from_micros(begin_us), late);
            timer_due_us = begin_us + TIMER_MS * 1_000;
        }
        let begin_us = free_at_us.max(arrived_us);
        let is_shed = is_shedding && shedding.try_shed(sender.account, sender.share_used);
        let cost_us = match is_shed {
            true => SHED_US,
            false => FORWARD_US,
        };
        free_at_us = begin_us + (cost_us as f64 / core_fraction) as u64;
        let is_later = arrived_us > NOTICE_MS * 1_000;
        let got = all.entry(sender.account).or_default();
        if is_shed {
            got.shed += 1;
            got.shed_later += u64::from(is_later);
            continue;
        }
        shedding.count_kept(sender.account, sender.share_used);
        got.forwarded += 1;
        if is_later {
            got.longest_ms = got.longest_ms.max((begin_us - arrived_us) / 1_000);
        }
    }
    all
}

/// Simulates requests of one account.
fn play(per_s: u64, core_fraction: f64, is_shedding: bool) -> Results {
    let sender = Sender {
        account: 1,
        per_s,
        share_used: 0.0,
    };
    play_senders(&[sender], core_fraction, is_shedding)[&1]
}

/// Guards against requests that wait for a host's processor until their answers are late, while other hosts are idle.
#[parameterized(
    twice = { 250, 0.12 },
    five_times = { 600, 0.12 },
    flood = { 1_200, 0.12 },
    larger_host = { 2_000, 0.5 },
)]
fn requests_of_a_flooded_host_do_not_wait(per_s: u64, core_fraction: f64) {
    let got = play(per_s, core_fraction, true);
    assert!(got.longest_ms <= 100, "{got:?}");
    let capacity = core_fraction * 1e6 / FORWARD_US as f64 * LENGTH_MS as f64 / 1_000.0;
    assert!(
        got.forwarded as f64 >= capacity * 0.5,
        "{got:?} of {capacity}"
    );
    let waiting = play(per_s, core_fraction, false);
    assert!(waiting.longest_ms > 1_000, "{waiting:?}");
}

/// Guards against a host that sheds requests although it has processor time.
#[test]
fn a_host_with_time_sheds_nothing() {
    let got = play(90, 0.12, true);
    assert_eq!(got.shed, 0, "{got:?}");
}

/// Guards against requests of an account below its share that are shed at a late host while an account over its share is
/// served.
#[parameterized(
    one_far_over = { &[(2, 700, 3.0)] },
    many_over = { &[(2, 200, 3.0), (3, 200, 2.0), (4, 200, 1.2)] },
)]
fn an_account_below_its_share_is_not_shed_while_one_above_its_own_sends(
    others: &[(u64, u64, f64)],
) {
    let modest = Sender {
        account: 1,
        per_s: 40,
        share_used: 0.4,
    };
    let others = others.iter().map(|(account, per_s, share_used)| Sender {
        account: *account,
        per_s: *per_s,
        share_used: *share_used,
    });
    let senders: Vec<_> = others.chain([modest]).collect();
    let got = play_senders(&senders, 0.12, true);
    assert_eq!(got[&1].shed, 0, "{got:?}");
    assert!(got[&1].longest_ms <= 100, "{got:?}");
    assert!(got[&2].shed_later > 0, "{got:?}");
}

/// Guards against an account with few requests that is shed as much as one that floods the host.
#[test]
fn of_accounts_within_their_share_the_one_with_most_requests_is_shed_first() {
    let sender = |account, per_s| Sender {
        account,
        per_s,
        share_used: 0.3,
    };
    let got = play_senders(&[sender(1, 40), sender(2, 700)], 0.12, true);
    let shed_ratio = |got: Results| got.shed as f64 / (got.shed + got.forwarded) as f64;
    assert!(shed_ratio(got[&2]) > 2.0 * shed_ratio(got[&1]), "{got:?}");
}

/// Guards against an account slightly over its share whose requests are shed instead of those of one far over it.
#[test]
fn the_account_furthest_over_its_share_is_shed_first() {
    let sender = |account, share_used| Sender {
        account,
        per_s: 80,
        share_used,
    };
    let got = play_senders(&[sender(1, 1.1), sender(2, 4.0)], 0.12, true);
    assert!(got[&2].shed_later > 0, "{got:?}");
    assert!(got[&1].shed_later * 10 < got[&2].shed_later, "{got:?}");
}

fn host_with(number: u64, hosts: u64) -> Host {
    let mut host = Host::with(settings(number));
    let listed = (1..=hosts).map(|host| ListedHost {
        host,
        data_centre: 1,
    });
    host.send(0, DispatchEvent::HostsListed(listed.collect()));
    host
}

/// Sends each host the given number of requests of 1,000 tokens in `length_ms`; returns whether the first host has excess
/// demand at the end.
fn has_excess_demand(requests: &[u64], length_ms: u64) -> bool {
    let hosts = requests.len() as u64;
    let mut first = host_with(1, hosts);
    let mut others: Vec<_> = (2..=hosts).map(|number| host_with(number, hosts)).collect();
    for now_ms in (0..=length_ms).step_by(50) {
        let every = std::iter::once(&mut first).chain(&mut others);
        for (host, requests) in every.zip(requests) {
            let tokens = *requests as f64 * 50_000.0 / length_ms as f64;
            host.dispatcher.on_shed(at(now_ms), 1, tokens);
            host.send(now_ms, DispatchEvent::Tick);
        }
        for other in &mut others {
            let report = other.dispatcher.report(live());
            first.send(now_ms, DispatchEvent::Reported(report));
        }
    }
    first.dispatcher.has_excess_demand(at(length_ms))
}

/// Guards against hosts that shed requests although the other hosts are as late: after a restart of the fleet, no host
/// would serve them.
#[parameterized(
    flooded = { &[90, 30, 30, 30], 6_000, true },
    even = { &[40, 40, 40, 40], 6_000, false },
    has_fewer = { &[10, 60, 60, 60], 6_000, false },
    just_started = { &[90, 30, 30, 30], 4_500, false },
    others_unheard_of = { &[90, 0, 0, 0], 6_000, false },
    alone = { &[90], 6_000, false },
)]
fn a_host_sheds_only_if_others_have_the_time(requests: &[u64], length_ms: u64, expected: bool) {
    assert_eq!(has_excess_demand(requests, length_ms), expected);
}

/// Guards against shed prompts that don't count as requested: their account would not count as backlogged, and other
/// accounts would get its share.
#[test]
fn prompts_that_are_shed_count_as_requested() {
    let mut host = host_with(1, 1);
    host.send(0, DispatchEvent::Tick);
    host.dispatcher.on_shed(at(10), 7, 5_000.0);
    let report = host.dispatcher.report(live());
    let usage = report.usage.iter().find(|(account, _)| *account == 7);
    assert!(
        usage.is_some_and(|(_, usage)| usage.requested_tokens > 0 && usage.started_tokens == 0)
    );
}
