//! Stateful fuzzing: after random faults are repaired, all hosts must agree with the oracle.

mod membership_network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use membership_network::Links;
use membership_network::Network;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use sedgeridge_coordination::membership::MembershipEvent;

const HOSTS: usize = 9;

/// Time within which all hosts must agree once all faults are repaired.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(60);

/// Time without faults, after all hosts agree, during which no host may be lost.
const QUIET_TIME: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
enum Fault {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Resume(usize),
    Partition(BTreeSet<usize>),
    Heal,
    Links { loss_percent: u64, delay_ms: u64 },
    Leave(usize),
    RaiseGeneration(usize),
    Run { time_ms: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostState {
    Down,
    Running,
    Frozen,
}

/// Expected state of the hosts and of the configuration generations.
#[derive(Debug, Clone)]
struct Oracle {
    hosts: [HostState; HOSTS],
    generations: BTreeMap<usize, u64>,
    next_generation: u64,
}

impl Oracle {
    /// Returns the highest generation that some host still knows.
    fn generation(&self) -> u64 {
        self.generations.values().copied().max().unwrap_or(0)
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            hosts: [HostState::Running; HOSTS],
            generations: BTreeMap::new(),
            next_generation: 1,
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Fault> {
        let host = 0..HOSTS;
        prop_oneof![
            2 => host.clone().prop_map(Fault::Kill),
            3 => host.clone().prop_map(Fault::Start),
            2 => host.clone().prop_map(Fault::Freeze),
            3 => host.clone().prop_map(Fault::Resume),
            2 => prop::collection::btree_set(host.clone(), 1..HOSTS).prop_map(Fault::Partition),
            2 => Just(Fault::Heal),
            2 => (0_u64..40, 1_u64..400)
                .prop_map(|(loss_percent, delay_ms)| Fault::Links { loss_percent, delay_ms }),
            1 => host.clone().prop_map(Fault::Leave),
            2 => host.prop_map(Fault::RaiseGeneration),
            8 => (1_u64..20_000).prop_map(|time_ms| Fault::Run { time_ms }),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, fault: &Fault) -> bool {
        match fault {
            Fault::Start(i) => state.hosts[*i] == HostState::Down,
            Fault::Resume(i) => state.hosts[*i] == HostState::Frozen,
            Fault::Kill(i) | Fault::Freeze(i) | Fault::Leave(i) | Fault::RaiseGeneration(i) => {
                state.hosts[*i] == HostState::Running
            }
            _ => true,
        }
    }

    fn apply(mut state: Self, fault: &Fault) -> Self {
        match fault {
            Fault::Kill(i) => {
                state.hosts[*i] = HostState::Down;
                state.generations.remove(i);
            }
            Fault::Leave(i) => {
                state.hosts[*i] = HostState::Down;
                state.generations.remove(i);
            }
            Fault::Start(i) | Fault::Resume(i) => state.hosts[*i] = HostState::Running,
            Fault::Freeze(i) => state.hosts[*i] = HostState::Frozen,
            Fault::RaiseGeneration(i) => {
                state.generations.insert(*i, state.next_generation);
                state.next_generation += 1;
            }
            _ => {}
        }
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = Network;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Network {
        Network::settled(HOSTS, Links::default(), 4_711)
    }

    fn apply(mut network: Network, oracle: &Oracle, fault: Fault) -> Network {
        match fault {
            Fault::Kill(i) => network.kill(i),
            Fault::Start(i) => network.start(i),
            Fault::Freeze(i) => network.freeze(i),
            Fault::Resume(i) => network.resume(i),
            Fault::Partition(group) => network.partition(&group),
            Fault::Heal => network.heal(),
            Fault::Links {
                loss_percent,
                delay_ms,
            } => {
                network.links = Links {
                    loss_percent,
                    delay_us: 100..delay_ms * 1_000,
                }
            }
            Fault::Leave(i) => {
                network.handle(i, MembershipEvent::LeaveRequested);
                network.handle(i, MembershipEvent::LeaveFinished);
                network.kill(i);
            }
            Fault::RaiseGeneration(i) => {
                let generation = oracle.generations[&i];
                network.handle(i, MembershipEvent::ConfigGeneration(generation));
            }
            Fault::Run { time_ms } => network.run(Duration::from_millis(time_ms)),
        }
        network
    }

    fn check_invariants(network: &Network, _: &Oracle) {
        for node in network.nodes.iter().filter(|n| n.membership.is_some()) {
            let mut hosts = node.reports.live.iter().map(|m| &m.member.host);
            assert!(hosts.any(|h| *h == node.host), "{} lacks itself", node.host);
        }
    }

    fn teardown(mut network: Network, oracle: Oracle) {
        network.heal();
        network.links = Links::default();
        for i in 0..HOSTS {
            match oracle.hosts[i] {
                HostState::Frozen => network.resume(i),
                HostState::Down => network.start(i),
                HostState::Running => {}
            }
        }
        let agreed = network.run_until(CONVERGENCE_LIMIT, Network::agrees);
        assert!(agreed.is_some(), "no agreement after the heal");
        network.run(Duration::from_secs(2));
        let memberships = network.nodes.iter().filter_map(|n| n.membership.as_ref());
        for membership in memberships {
            assert!(membership.config_generation() >= oracle.generation());
            assert!(membership.config_generation() < oracle.next_generation);
        }
        let losses = |n: &Network| n.nodes.iter().map(|n| n.reports.false_losses).sum::<u64>();
        network.run(Duration::from_secs(10));
        let before = losses(&network);
        network.run(QUIET_TIME);
        assert!(network.agrees(), "apart again");
        assert_eq!(losses(&network), before, "lost in a quiet network");
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 96,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    })]
    #[test]
    fn hosts_agree_after_any_faults(sequential 1..40 => Fleet);
}
