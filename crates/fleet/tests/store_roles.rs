//! Tests for which hosts of a fleet follow the platform's store, and when they report.

mod support;

use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::HostState;
use sedgeridge_fleet::dispatcher::StoreRole;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::peer_versions::CopySource;

use support::Host;
use support::at;
use support::plain_request;

fn fleet(size: u64) -> Vec<Host> {
    (0..size)
        .map(|host| Host::new(stable_hash(&host.to_string())))
        .collect()
}

/// Returns the entries of hosts in the platform's store.
fn listed(hosts: std::ops::Range<u64>) -> Vec<ListedHost> {
    let listed = hosts.map(|host| ListedHost {
        host: stable_hash(&host.to_string()),
        data_centre: stable_hash("here"),
    });
    listed.collect()
}

/// Sends a report of every host in `from` to every host.
fn report(fleet: &mut [Host], now: u64, from: std::ops::Range<usize>) {
    let reports: Vec<PeerReport> = from
        .map(|host| fleet[host].dispatcher.report(support::live()))
        .collect();
    for host in fleet {
        for report in &reports {
            host.send(now, DispatchEvent::Reported(report.clone()));
        }
    }
}

fn roles(fleet: &[Host], now: u64) -> Vec<StoreRole> {
    let role = |host: &Host| host.dispatcher.store_role(at(now));
    fleet.iter().map(role).collect()
}

fn followers(roles: &[StoreRole]) -> usize {
    roles
        .iter()
        .filter(|role| **role != StoreRole::Copier)
        .count()
}

#[test]
fn every_host_of_a_small_fleet_follows_the_store() {
    let mut fleet = fleet(9);
    report(&mut fleet, 0, 0..9);
    assert_eq!(followers(&roles(&fleet, 0)), 9);
}

#[test]
fn four_hosts_of_a_large_fleet_follow_the_store_and_one_is_first() {
    let mut fleet = fleet(81);
    report(&mut fleet, 0, 0..81);
    let roles = roles(&fleet, 0);
    assert_eq!(followers(&roles), 4);
    let first = roles
        .iter()
        .filter(|role| **role == StoreRole::FirstFollower);
    assert_eq!(first.count(), 1);
    let standbys = roles.iter().filter(|role| **role == StoreRole::Standby);
    assert_eq!(standbys.count(), 3);
}

/// Guards against an old configuration after most of a fleet, including all its followers, is
/// killed at once. Other hosts must follow the store as soon as the followers' silence is noticed.
#[test]
fn others_follow_the_store_when_the_followers_fall_silent() {
    let mut fleet = fleet(81);
    report(&mut fleet, 0, 0..81);
    fleet.sort_by_key(|host| host.dispatcher.store_role(at(0)) == StoreRole::Copier);
    let mut remaining: Vec<Host> = fleet.drain(4..).collect();
    assert_eq!(followers(&roles(&remaining, 0)), 0);
    for now in [1_000, 2_000, 2_400] {
        let all = 0..remaining.len();
        report(&mut remaining, now, all);
    }
    assert_eq!(followers(&roles(&remaining, 2_400)), 4);
}

/// A follower that the store refuses reports this, and another host takes its place.
#[test]
fn a_host_without_the_store_is_no_follower() {
    let mut fleet = fleet(81);
    report(&mut fleet, 0, 0..81);
    let before = roles(&fleet, 0);
    let lost = before
        .iter()
        .position(|role| *role == StoreRole::FirstFollower)
        .expect("a first follower");
    let mut failing_report = fleet[lost].dispatcher.report(support::live());
    failing_report.store_answers = false;
    for host in &mut fleet {
        host.send(100, DispatchEvent::Reported(failing_report.clone()));
    }
    let mut after = roles(&fleet, 100);
    after.remove(lost);
    assert_eq!(followers(&after), 4);
}

/// Guards against calls from all hosts to an unavailable store. If each host that takes a
/// follower's place were refused and went on calling, all would call in the end. Twelve call, and
/// one more each half second, so that a store that refuses nearly all hosts is still reached.
#[test]
fn few_hosts_call_a_store_that_answers_nobody() {
    let mut fleet = fleet(73);
    report(&mut fleet, 0, 0..73);
    let mut calling = Vec::new();
    for now in (100..=8_000_u64).step_by(100) {
        let failing: Vec<bool> = roles(&fleet, now)
            .iter()
            .map(|role| *role != StoreRole::Copier)
            .collect();
        calling.push(failing.iter().filter(|is_failing| **is_failing).count());
        for index in 0..fleet.len() {
            let state = HostState {
                store_answers: !failing[index],
                ..HostState::default()
            };
            let report = fleet[index].dispatcher.report(state);
            for host in &mut fleet {
                host.send(now, DispatchEvent::Reported(report.clone()));
            }
        }
        for host in &mut fleet {
            host.send(now, DispatchEvent::Tick);
        }
    }
    assert!(calling[10] <= 14, "{calling:?}");
    assert!(calling.iter().max() <= Some(&30), "{calling:?}");
    assert!(calling.last() > calling.get(20), "{calling:?}");
}

#[test]
fn requests_started_since_the_last_report_are_counted() {
    let mut host = Host::new(1);
    for now in 0..5 {
        host.arrive(
            now,
            plain_request(now, sedgeridge_fleet::config::Repeat::Idempotent),
        );
    }
    assert_eq!(host.dispatcher.unreported(), 5);
    host.dispatcher.report(support::live());
    assert_eq!(host.dispatcher.unreported(), 0);
}

/// Guards against too many calls when all hosts of a large fleet start together, each without
/// knowing the others. Calls are limited in number a second and paid for. A host must not take its
/// fleet for small, or itself for the first follower, before it has read the list of hosts and the
/// others have had time to report.
#[test]
fn hosts_that_start_together_do_not_all_follow_the_store() {
    let mut fleet = fleet(300);
    assert_eq!(followers(&roles(&fleet, 10)), 0, "no list is read yet");
    for host in &mut fleet {
        host.send(20, DispatchEvent::HostsListed(listed(0..300)));
    }
    assert_eq!(followers(&roles(&fleet, 30)), 4);
}

/// The store refuses a host from its start on, so the host never reads the list and nobody reports
/// changes to it. It must soon call the store itself.
#[test]
fn a_host_without_a_list_follows_the_store_after_a_while() {
    let fleet = fleet(1);
    assert_eq!(followers(&roles(&fleet, 1_400)), 0);
    assert_eq!(followers(&roles(&fleet, 1_500)), 1);
}

/// Rows of killed hosts stay in the list for a while. A host that starts as the only live one must
/// not wait for them for long.
#[test]
fn listed_hosts_that_are_silent_are_passed_over() {
    let mut fleet = fleet(1);
    fleet[0].send(0, DispatchEvent::HostsListed(listed(1..100)));
    assert_eq!(followers(&roles(&fleet, 2_400)), 1);
}

/// Guards against a follower that waits for its data centre although the store refuses it: others may learn of changes
/// from it. Hosts that are neither followers nor relays wait.
#[test]
fn a_refused_follower_copies_from_any_data_centre_at_once() {
    let mut fleet = fleet(81);
    report(&mut fleet, 0, 0..81);
    let elsewhere = stable_hash("elsewhere");
    let source =
        |host: &Host, store_answers| host.dispatcher.copy_source(at(0), elsewhere, store_answers);
    let is_follower = |host: &&Host| host.dispatcher.store_role(at(0)).is_following();
    for host in fleet.iter().filter(is_follower) {
        assert_eq!(source(host, true), CopySource::BesideStore);
        assert_eq!(source(host, false), CopySource::Preferred);
    }
    let waiting = fleet.iter().filter(|host| !is_follower(host));
    let waiting = waiting.filter(|host| source(host, false) == CopySource::Remote);
    assert_eq!(
        waiting.count(),
        81 - 4 - 2,
        "all but four followers and two relays"
    );
}
