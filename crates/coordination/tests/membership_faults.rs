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
    network.nodes.iter().map(|n| n.reports.losses).sum()
}

// A caller in one half sees only that half's engines during the cut, and all of them soon after it.
// The halves lose each other, each declares the other dead and stops probing it, the cut heals.
// No probe crosses any more, so only the contacts of missing hosts bring the halves together; and
// the death records that both hold must not empty the fleet when they are exchanged.
#[parameterized(
    today = { 8, 4 },
    uneven = { 9, 1 },
    larger = { 60, 30 },
)]
fn halves_of_a_partition_rejoin(count: usize, cut_off: usize) {
    for seed in SEEDS {
        let mut network = Network::settled(count, Links::default(), seed);
        let half: BTreeSet<usize> = (0..cut_off).collect();
        network.partition(&half);
        network.run(Duration::from_secs(90));
        for (a, b) in [(0, count - 1), (count - 1, 0)] {
            assert!(!network.believes_live(a, b), "seed {seed}: cut not noticed");
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

// Callers of a restarted router are served again at once, with the whole fleet's engines.
// A router is killed and started before the others notice, with no memory; they still hold its
// old run for live. The higher incarnation replaces the old run, and one table tells it of all.
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

// A caller finds the router that was paused back in service seconds after it goes on.
// The router is paused for longer than every timeout, so the others declare it dead and stop
// probing it. It goes on, unaware. Whoever it speaks to tells it, and it refutes.
#[test]
fn a_host_frozen_until_declared_dead_comes_back() {
    for seed in SEEDS {
        let mut network = Network::settled(9, Links::default(), seed);
        network.freeze(2);
        network.run(Duration::from_secs(30));
        assert!(!network.believes_live(0, 2), "seed {seed}: not noticed");
        network.resume(2);
        let agreed = network.run_until(Duration::from_secs(10), Network::agrees);
        assert!(agreed.is_some(), "seed {seed}");
        let run = network.nodes[2].incarnation;
        let seen = &network.nodes[0].reports.live[2].member;
        assert_eq!(seen.incarnation, run, "the run stays the same");
    }
}

// Callers of the other routers notice nothing of one router's pause.
// A router hears a suspicion of a live member and is paused before the refutation reaches it. On
// going on, its overdue timer would declare the member dead at once and tell the fleet.
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

/// Makes a message by which `accuser` tells that `suspect` left a probe unanswered.
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

// Callers notice nothing: the member whose direct path to one other is broken stays a member.
// A probe finds no direct answer, others are asked to probe, and their answers come back in time,
// so that nobody is even suspected and has to refute.
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

// Callers notice nothing of a network that loses one message in ten.
// Probes go unanswered now and then; the indirect ones, or the refutation, come in time.
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

// Callers of a dead rack's routers are served by others within seconds.
// A quarter of all hosts go at the same moment, among them those asked for indirect probes.
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

// An operator sees the router say that it must restart; without that it would serve alone for good.
// The wall clock went back over a restart, so the new run has the lower incarnation and its
// messages are dropped as those of the old run. The answer to them names the higher incarnation;
// after a planned stop nothing else would, as nobody probes or suspects a host that said good-bye.
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
    let outranked = &network.nodes[3].reports.outranked;
    assert!(outranked.contains(&Incarnation(first)));
}

// Callers notice nothing of a host list that is out of date.
// The platform's list lacks members that answer: they stay.
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

// A caller's work goes to no router that the platform is about to stop, and again to the new run.
// The list says leaving before the host itself does. It goes on saying so after the restart, since
// it lags; the new run must not be held for leaving.
#[test]
fn a_leaving_hint_holds_for_the_run_that_it_was_given_for() {
    let mut network = Network::settled(9, Links::default(), 79);
    let stopping = |node| match node {
        4 => HostHint::Leaving,
        _ => HostHint::Live,
    };
    let list = network.list(stopping);
    network.handle(0, MembershipEvent::HostList(list.clone()));
    assert_eq!(network.state(0, 4), Some(MemberState::Leaving));
    network.kill(4);
    network.start(4);
    network.run(Duration::from_secs(3));
    network.handle(0, MembershipEvent::HostList(list));
    assert_eq!(network.state(0, 4), Some(MemberState::Alive));
}
