//! Three hosts with clocks of different rates compete for the lease. Any of them may be paused or
//! killed at any step.

mod common;

use common::lease_fleet::LeaseFleet;
use common::store::CallOutcome;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use sedgeridge_coordination::lease_events::LeaseEvent;

const HOSTS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Advance { by_ms: u64 },
    Deliver { host: usize, outcome: CallOutcome },
    RunDelayedWrite,
    Pause { host: usize },
    Resume { host: usize },
    Restart { host: usize },
    Stop { host: usize },
    Order { host: usize },
    Run { for_ms: u64 },
}

#[derive(Debug, Clone)]
struct NoReferenceModel;

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        5 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::CallLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Refused),
        2 => (1..4_usize).prop_map(CallOutcome::Stale),
    ]
}

impl ReferenceStateMachine for NoReferenceModel {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let host = 0..HOSTS;
        prop_oneof![
            6 => prop_oneof![Just(100_u64), Just(1_000), Just(3_000), Just(9_000), Just(12_000)]
                .prop_map(|by_ms| Step::Advance { by_ms }),
            8 => (host.clone(), outcome())
                .prop_map(|(host, outcome)| Step::Deliver { host, outcome }),
            2 => Just(Step::RunDelayedWrite),
            1 => host.clone().prop_map(|host| Step::Pause { host }),
            2 => host.clone().prop_map(|host| Step::Resume { host }),
            1 => host.clone().prop_map(|host| Step::Restart { host }),
            1 => host.clone().prop_map(|host| Step::Stop { host }),
            5 => host.prop_map(|host| Step::Order { host }),
            2 => prop_oneof![Just(2_000_u64), Just(6_000), Just(14_000)]
                .prop_map(|for_ms| Step::Run { for_ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = LeaseFleet;
    type Reference = NoReferenceModel;

    fn init_test((): &()) -> LeaseFleet {
        LeaseFleet::new(HOSTS)
    }

    fn apply(mut fleet: LeaseFleet, (): &(), step: Step) -> LeaseFleet {
        match step {
            Step::Advance { by_ms } => fleet.advance(by_ms),
            Step::Deliver { host, outcome } => fleet.deliver(host, outcome),
            Step::RunDelayedWrite => fleet.store.run_delayed_write(),
            Step::Pause { host } => fleet.hosts[host].paused = true,
            Step::Resume { host } => fleet.hosts[host].paused = false,
            Step::Restart { host } => fleet.restart(host),
            Step::Stop { host } => {
                fleet.event(host, LeaseEvent::Stop);
            }
            Step::Order { host } => {
                fleet.order_unfenced(host);
            }
            Step::Run { for_ms } => fleet.run(for_ms),
        }
        fleet
    }

    fn check_invariants(fleet: &LeaseFleet, (): &()) {
        fleet.check();
    }

    // When the store works and all hosts run, exactly one of them holds the lease.
    fn teardown(mut fleet: LeaseFleet, (): ()) {
        for host in 0..HOSTS {
            fleet.restart(host);
        }
        fleet.run(30_000);
        assert_eq!(fleet.holders().len(), 1);
        fleet.check();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn one_host_holds_the_lease(sequential 1..120 => FleetTest);
}
