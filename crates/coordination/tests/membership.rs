//! Membership of a small fleet: joining, leaving, failures and dissemination.

mod membership_network;

use std::time::Duration;

use membership_network::Links;
use membership_network::Network;
use sedgeridge_coordination::membership::MemberState;
use sedgeridge_coordination::membership::MembershipEvent;
use sedgeridge_coordination::membership::Notice;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use yare::parameterized;

const SEEDS: [u64; 3] = [11, 22, 33];

#[parameterized(
    two = { 2 },
    nine = { 9 },
    sixty = { 60 },
)]
fn hosts_started_together_find_each_other(count: usize) {
    for seed in SEEDS {
        let network = Network::settled(count, Links::default(), seed);
        assert!(network.agrees(), "seed {seed}");
    }
}

#[parameterized(
    two = { 2 },
    nine = { 9 },
    sixty = { 60 },
)]
fn no_host_is_lost_in_a_quiet_network(count: usize) {
    for seed in SEEDS {
        let mut network = Network::settled(count, Links::default(), seed);
        network.run(Duration::from_secs(120));
        let losses: u64 = network.nodes.iter().map(|n| n.reports.false_losses).sum();
        assert_eq!(losses, 0, "seed {seed}");
    }
}

#[parameterized(
    two = { 2 },
    nine = { 9 },
    sixty = { 60 },
)]
fn a_killed_host_is_removed_everywhere(count: usize) {
    for seed in SEEDS {
        let mut network = Network::settled(count, Links::default(), seed);
        network.kill(1);
        let removed = network.run_until(Duration::from_secs(12), Network::agrees);
        assert!(removed.is_some(), "seed {seed}");
    }
}

#[test]
fn a_planned_stop_is_seen_as_leaving_first_and_gone_afterwards() {
    for seed in 0..40 {
        let mut network = Network::settled(9, Links::default(), 700 + seed);
        network.handle(4, MembershipEvent::LeaveRequested);
        let leaving = |n: &Network| (0..9).all(|i| n.state(i, 4) == Some(MemberState::Leaving));
        let seen = network.run_until(Duration::from_secs(2), leaving);
        assert!(seen.is_some(), "seed {seed}");
        network.run(Duration::from_secs(20));
        assert!(leaving(&network), "a leaving host that answers stays");
        network.handle(4, MembershipEvent::LeaveFinished);
        network.kill(4);
        let gone = network.run_until(Duration::from_secs(2), Network::agrees);
        assert!(gone.is_some(), "seed {seed}");
    }
}

#[test]
fn a_configuration_generation_reaches_every_host() {
    for seed in SEEDS {
        let mut network = Network::settled(60, Links::default(), seed);
        network.handle(0, MembershipEvent::ConfigGeneration(5));
        let everywhere = |n: &Network| {
            let mut memberships = n.nodes.iter().filter_map(|n| n.membership.as_ref());
            memberships.all(|m| m.config_generation() == 5)
        };
        let reached = network.run_until(Duration::from_secs(3), everywhere);
        assert!(reached.is_some(), "seed {seed}");
    }
}

#[test]
fn each_host_hears_of_a_notice_once() {
    let mut network = Network::settled(30, Links::default(), 5);
    let notices = [
        Notice::EndpointLeaving {
            endpoint: EndpointId::from("desk-3"),
            since_unix_ms: 1_800_000_000_500,
        },
        Notice::Quarantine {
            fingerprint: Fingerprint(99),
            expires_in_ms: 60_000,
        },
    ];
    for notice in notices {
        network.handle(3, MembershipEvent::Announce(notice));
    }
    network.run(Duration::from_secs(3));
    for node in (0..30).filter(|i| *i != 3) {
        assert_eq!(network.nodes[node].reports.notices.len(), 2, "host {node}");
    }
}

#[test]
fn a_host_that_joins_late_gets_the_notices_in_force() {
    let mut network = Network::settled(10, Links::default(), 5);
    network.kill(9);
    let notice = Notice::Quarantine {
        fingerprint: Fingerprint(99),
        expires_in_ms: 60_000,
    };
    network.handle(3, MembershipEvent::Announce(notice));
    network.run(Duration::from_secs(20));
    network.start(9);
    network.run(Duration::from_secs(3));
    assert_eq!(network.nodes[9].reports.notices.len(), 1);
}
