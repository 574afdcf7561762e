//! Membership under faults: partitions, freezes, restarts, loss and a lagging host list.

mod membership_network;

use std::collections::BTreeSet;
use std::time::Duration;

use membership_network::Links;
use membership_network::Network;
use sedgeridge_coordination::membership::Body;
use sedgeridge_coordination::membership::Health;
use sedgeridge_coordination::membership::HostHint;
use sedgeridge_coordination::membership::MemberRecord;
use sedgeridge_coordination::membership::MemberState;
use sedgeridge_coordination::membership::MembershipEvent;
use sedgeridge_coordination::membership::Message;
use sedgeridge_coordination::membership::Update;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use yare::parameterized;

const SEEDS: [u64; 3] = [101, 202, 303];

fn losses(network: &Network) -> u64 {
    network.nodes.iter().map(|n| n.reports.false_losses).sum()
}

// Guards against a fleet that stays split after a partition heals, with each half using only its
// own engines. Each half declared the other dead and stopped probing it, so only contacts of
// missing hosts rejoin them; the exchanged records of dead members must not remove live ones.
#[parameterized(
    today = { 8, 4 },
    uneven = { 9, 1 },
    larger = { 60, 30 },
)]
fn halves_of_a_partition_rejoin(count: usize, cut_off: usize) {
    for seed in SEEDS {
        let mut network = Network::settled(count, Links::default(), seed);
        let first_half: BTreeSet<usize> = (0..cut_off).collect();
        network.partition(&first_half);
        network.run(Duration::from_secs(90));
        for (a, b) in [(0, count - 1), (count - 1, 0)] {
            assert!(
                !network.considers_live(a, b),
                "seed {seed}: cut not noticed"
            );
        }
        let before = losses(&network);
        network.heal();
        let agreed = network.run_until(Duration::from_secs(30), Network::agrees);
        assert!(agreed.is_some(), "seed {seed}");
        assert_eq!(losses(&network), before, "seed {seed}: lost by the heal");
        network.run(Duration::from_secs(60));
        assert!(network.agrees(), "seed {seed}: apart again");
    }
}

// Guards against a restarted router that serves its callers late or with a part of the fleet's
// engines. It restarts without state before the others notice, so they still consider its old run
// live. The higher incarnation replaces that run, and one table tells the router of all members.
#[test]
fn a_restarted_host_is_accepted_and_knows_all() {
    for seed in SEEDS {
        let mut network = Network::settled(20, Links::default(), seed);
        network.kill(5);
        network.run(Duration::from_millis(300));
        network.start(5);
        let agreed = network.run_until(Duration::from_secs(3), Network::agrees);
        assert!(agreed.is_some(), "seed {seed}");
    }
}

// Guards against a paused router that is out of service for long after it resumes. It is paused for
// longer than every timeout, so the others declare it dead and stop probing it. It does not know
// this when it resumes; the answers to its messages tell it, and it refutes.
#[test]
fn a_host_frozen_until_declared_dead_comes_back() {
    for seed in SEEDS {
        let mut network = Network::settled(9, Links::default(), seed);
        network.freeze(2);
        network.run(Duration::from_secs(30));
        assert!(!network.considers_live(0, 2), "seed {seed}: not noticed");
        network.resume(2);
        let agreed = network.run_until(Duration::from_secs(10), Network::agrees);
        assert!(agreed.is_some(), "seed {seed}");
        let run = network.nodes[2].incarnation;
        let seen = &network.nodes[0].reports.live[2].member;
        assert_eq!(seen.incarnation, run, "the run stays the same");
    }
}

// Guards against callers of other routers being affected by the pause of one router. It receives a
// suspicion of a live member and is paused before the refutation arrives. When it resumes, its
// overdue timer would declare the member dead at once and tell the fleet.
#[test]
fn a_host_that_was_frozen_declares_nobody_dead() {
    for seed in SEEDS {
        let mut network = Network::settled(9, Links::default(), seed);
        let accusation = accusation(&network, 1, 5);
        network.handle(2, MembershipEvent::MessageReceived(accusation));
        network.freeze(2);
        network.run(Duration::from_secs(30));
        network.resume_timer_first(2);
        network.run(Duration::from_secs(30));
        assert_eq!(losses(&network), 0, "seed {seed}");
        assert!(network.agrees(), "seed {seed}");
    }
}

/// Returns a message in which `accuser` reports that `suspect` left a probe unanswered.
fn accusation(network: &Network, accuser: usize, suspect: usize) -> Message {
    let record = |node: usize, health| MemberRecord {
        member: Member {
            host: network.nodes[node].host.clone(),
            incarnation: network.nodes[node].incarnation,
        },
        refutations: 0,
        leaving: false,
        health,
    };
    Message {
        from: record(accuser, Health::Alive),
        config_generation: 0,
        updates: vec![Update {
            record: record(suspect, Health::Suspect),
            accuser: Some(network.nodes[accuser].host.clone()),
        }],
        notices: Vec::new(),
        body: Body::Gossip,
    }
}

// Guards against the removal of a member whose direct path to one other is broken. The direct probe
// is not answered, but the indirect probes are, in time, so that no member is even suspected.
#[test]
fn a_broken_path_between_two_hosts_costs_neither() {
    for seed in SEEDS {
        let mut network = Network::settled(9, Links::default(), seed);
        network.cut_pairs.insert((1, 2));
        network.run(Duration::from_secs(120));
        assert_eq!(losses(&network), 0, "seed {seed}");
        let refutations: u64 = network.nodes.iter().map(|n| n.reports.refutations).sum();
        assert_eq!(refutations, 0, "seed {seed}: suspected");
    }
}

// Guards against the removal of live members while the network loses one message in ten. Some
// probes stay unanswered; the indirect probes or the refutation arrive in time.
#[parameterized(
    today = { 9 },
    larger = { 60 },
)]
fn no_host_is_lost_while_one_message_in_ten_is(count: usize) {
    let links = Links {
        loss_percent: 10,
        delay_us: 500..20_000,
    };
    for seed in SEEDS {
        let mut network = Network::settled(count, links.clone(), seed);
        let before = losses(&network);
        network.run(Duration::from_secs(120));
        assert_eq!(losses(&network), before, "seed {seed}");
    }
}

// Guards against slow detection when a rack fails, whose callers must be served by other routers
// within seconds. A quarter of all hosts die at once, among them hosts asked for indirect probes.
#[test]
fn hosts_that_die_together_are_all_removed() {
    for seed in SEEDS {
        let mut network = Network::settled(40, Links::default(), seed);
        for node in 0..10 {
            network.kill(node);
        }
        let removed = network.run_until(Duration::from_secs(20), Network::agrees);
        assert!(removed.is_some(), "seed {seed}");
    }
}

// Guards against a router that serves alone permanently after its wall clock went back in a
// restart. Its new run has the lower incarnation and is rejected as stale. Only the rejections tell
// it the higher one: after a planned stop the others neither probe nor suspect the host.
#[parameterized(
    killed = { false },
    stopped = { true },
)]
fn a_host_whose_clock_went_back_is_told(planned_stop: bool) {
    let mut network = Network::settled(9, Links::default(), 77);
    let Incarnation(first) = network.nodes[3].incarnation;
    if planned_stop {
        network.handle(3, MembershipEvent::LeaveRequested);
        network.run(Duration::from_secs(2));
        network.handle(3, MembershipEvent::LeaveFinished);
    }
    network.kill(3);
    network.run(Duration::from_secs(2));
    network.start_with_incarnation(3, Incarnation(first - 5_000_000));
    network.run(Duration::from_secs(3));
    let outranked = &network.nodes[3].reports.outranked_by;
    assert!(outranked.contains(&Incarnation(first)));
}

// Guards against the removal of members that answer but are missing in an outdated platform's list.
#[test]
fn a_member_that_answers_stays_though_the_list_lacks_it() {
    let mut network = Network::settled(9, Links::default(), 78);
    for node in 0..9 {
        network.handle(node, MembershipEvent::HostsConfigured(Vec::new()));
        network.handle(node, MembershipEvent::HostList(Vec::new()));
    }
    network.run(Duration::from_secs(60));
    assert!(network.agrees());
    assert_eq!(losses(&network), 0);
}

// Guards against work on a router that the platform is about to stop, and against a new run that
// counts as leaving. The list marks the host as leaving before the host itself does and, as it
// lags, still does so after the restart.
#[test]
fn a_leaving_hint_holds_for_the_run_that_it_was_given_for() {
    let mut network = Network::settled(9, Links::default(), 79);
    let hint = |node| match node {
        4 => HostHint::Leaving,
        _ => HostHint::Live,
    };
    let list = network.host_list(hint);
    network.handle(0, MembershipEvent::HostList(list.clone()));
    assert_eq!(network.state(0, 4), Some(MemberState::Leaving));
    network.kill(4);
    network.start(4);
    network.run(Duration::from_secs(3));
    network.handle(0, MembershipEvent::HostList(list));
    assert_eq!(network.state(0, 4), Some(MemberState::Alive));
}
