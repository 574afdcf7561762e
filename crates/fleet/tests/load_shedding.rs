//! A host that gets more requests than it has processor time for.

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

/// Processor time of a request that is forwarded with its answer, and of one that is shed.
const FORWARD_US: u64 = 1_000;
const SHED_US: u64 = 40;
const TIMER_MS: u64 = 20;
const LENGTH_MS: u64 = 10_000;
/// Time in which the load is noticed.
const NOTICED_MS: u64 = 2_000;

/// Requests of one account that come evenly.
#[derive(Debug, Clone, Copy)]
struct Sender {
    account: u64,
    per_s: u64,
    /// What the account was given by the fleet, as a multiple of its fair share.
    share_used: f64,
}

/// What callers of one account got at one host.
#[derive(Debug, Clone, Copy, Default)]
struct Got {
    forwarded: u64,
    shed: u64,
    /// Those after the load was noticed.
    shed_later: u64,
    /// Longest time from a request's arrival to its forwarding, after the load was noticed.
    longest_ms: u64,
}

/// Plays requests that come to a host with `share` of a core, one after another.
fn play_senders(senders: &[Sender], share: f64, is_shedding: bool) -> BTreeMap<u64, Got> {
    let arrivals = senders.iter().flat_map(|sender| {
        let times = (0..sender.per_s * LENGTH_MS / 1_000).map(|it| it * 1_000_000 / sender.per_s);
        times.map(move |arrived_us| (arrived_us, *sender))
    });
    let mut arrivals: Vec<_> = arrivals.collect();
    arrivals.sort_by_key(|(arrived_us, _)| *arrived_us);
    let mut shedding = LoadShedding::default();
    let mut all: BTreeMap<u64, Got> = BTreeMap::new();
    let (mut free_at_us, mut timer_due_us) = (0_u64, 0_u64);
    for (arrived_us, sender) in arrivals {
        while timer_due_us <= arrived_us {
            // A timer waits for what came before it, like a request.
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
        free_at_us = begin_us + (cost_us as f64 / share) as u64;
        let is_later = arrived_us > NOTICED_MS * 1_000;
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

/// Plays requests of one account.
fn play(per_s: u64, share: f64, is_shedding: bool) -> Got {
    let sender = Sender {
        account: 1,
        per_s,
        share_used: 0.0,
    };
    play_senders(&[sender], share, is_shedding)[&1]
}

/// Guards against callers that wait for a host's processor until their answers are late, while other hosts are idle.
#[parameterized(
    twice = { 250, 0.12 },
    five_times = { 600, 0.12 },
    flood = { 1_200, 0.12 },
    larger_host = { 2_000, 0.5 },
)]
fn requests_of_a_flooded_host_do_not_wait(per_s: u64, share: f64) {
    let got = play(per_s, share, true);
    assert!(got.longest_ms <= 100, "{got:?}");
    let could = share * 1e6 / FORWARD_US as f64 * LENGTH_MS as f64 / 1_000.0;
    assert!(got.forwarded as f64 >= could * 0.5, "{got:?} of {could}");
    let waiting = play(per_s, share, false);
    assert!(waiting.longest_ms > 1_000, "{waiting:?}");
}

/// Guards against a host that sends callers away though it has the time.
#[test]
fn a_host_with_time_sheds_nothing() {
    let got = play(90, 0.12, true);
    assert_eq!(got.shed, 0, "{got:?}");
}

/// Guards against an account that loses its share at a late host while another one is served beyond its own.
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

/// Guards against an account with few requests that is shed like one that floods the host.
#[test]
fn of_accounts_within_their_share_the_one_with_most_requests_is_shed_first() {
    let sender = |account, per_s| Sender {
        account,
        per_s,
        share_used: 0.3,
    };
    let got = play_senders(&[sender(1, 40), sender(2, 700)], 0.12, true);
    let shed_part = |got: Got| got.shed as f64 / (got.shed + got.forwarded) as f64;
    assert!(shed_part(got[&2]) > 2.0 * shed_part(got[&1]), "{got:?}");
}

/// Guards against an order in which an account slightly over its share pays for one that is far over it.
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

/// Each host is asked this many requests of 1,000 tokens in `length_ms`; returns whether the first one takes itself for
/// flooded at the end.
fn is_flooded(asked: &[u64], length_ms: u64) -> bool {
    let hosts = asked.len() as u64;
    let mut first = host_with(1, hosts);
    let mut others: Vec<_> = (2..=hosts).map(|number| host_with(number, hosts)).collect();
    for now_ms in (0..=length_ms).step_by(50) {
        let every = std::iter::once(&mut first).chain(&mut others);
        for (host, asked) in every.zip(asked) {
            let tokens = *asked as f64 * 50_000.0 / length_ms as f64;
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

/// Guards against hosts that leave requests to others though these are as late: after a restart of the fleet nobody
/// serves them.
#[parameterized(
    flooded = { &[90, 30, 30, 30], 6_000, true },
    even = { &[40, 40, 40, 40], 6_000, false },
    has_fewer = { &[10, 60, 60, 60], 6_000, false },
    just_started = { &[90, 30, 30, 30], 4_500, false },
    others_unheard_of = { &[90, 0, 0, 0], 6_000, false },
    alone = { &[90], 6_000, false },
)]
fn a_host_sheds_only_if_others_have_the_time(asked: &[u64], length_ms: u64, flooded: bool) {
    assert_eq!(is_flooded(asked, length_ms), flooded);
}

/// Guards against prompts that are left to other hosts and seem not to have been asked for: their account would not
/// count as one that waits, and others would get what it is due.
#[test]
fn prompts_that_are_shed_count_as_asked_for() {
    let mut host = host_with(1, 1);
    host.send(0, DispatchEvent::Tick);
    host.dispatcher.on_shed(at(10), 7, 5_000.0);
    let report = host.dispatcher.report(live());
    let usage = report.usage.iter().find(|(account, _)| *account == 7);
    assert!(
        usage.is_some_and(|(_, usage)| usage.requested_tokens > 0 && usage.started_tokens == 0)
    );
}
