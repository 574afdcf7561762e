//! Three coordinators give orders to four engines, two of which ignore fencing numbers. Any process
//! may be paused, stopped or killed at any step, calls and answers are lost or delayed, and
//! operators continue to write orders.
//!
//! The test checks that each engine ends in the state of its newest order. Throughout, no order may
//! be sent after its time limit, after a later holder's order, or before the weight store's rate
//! limit allows it.

mod common;

use common::coordinator_fleet::CoordinatorFleet;
use common::coordinator_fleet::ENGINES;
use common::coordinator_fleet::Network;
use common::coordinator_fleet::WORKING_NETWORK;
use common::store::CallOutcome;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use sedgeridge_coordination::coordinator_events::CoordinatorEvent;
use sedgeridge_state::order_record::EngineOrder;

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
    Order { endpoint: usize, order: EngineOrder },
    Network(Network),
    Run { for_ms: u64 },
}

#[derive(Debug, Clone)]
struct NoReferenceModel;

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        6 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::CallLost),
        1 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Refused),
        1 => (1..4_usize).prop_map(CallOutcome::Stale),
    ]
}

fn order() -> impl Strategy<Value = EngineOrder> {
    prop_oneof![
        3 => (0..3).prop_map(|n| EngineOrder::ChangeRole(format!("pool-{n}").as_str().into())),
        1 => (0..3).prop_map(|n| EngineOrder::Load(format!("assistant/v{n}").into())),
    ]
}

fn network() -> impl Strategy<Value = Network> {
    let answer_ms = prop_oneof![
        3 => Just(Some(10_u64)),
        1 => Just(None),
        1 => (0..40_000_u64).prop_map(Some),
    ];
    let network = (0..4_900_u64, answer_ms, prop::bool::weighted(0.8));
    network.prop_map(|(order_ms, answer_ms, is_reachable)| Network {
        order_ms,
        answer_ms,
        is_reachable,
    })
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
            4 => prop_oneof![Just(100_u64), Just(1_000), Just(3_000), Just(9_000), Just(12_000)]
                .prop_map(|by_ms| Step::Advance { by_ms }),
            8 => (host.clone(), outcome())
                .prop_map(|(host, outcome)| Step::Deliver { host, outcome }),
            1 => Just(Step::RunDelayedWrite),
            1 => host.clone().prop_map(|host| Step::Pause { host }),
            2 => host.clone().prop_map(|host| Step::Resume { host }),
            2 => host.clone().prop_map(|host| Step::Restart { host }),
            2 => host.prop_map(|host| Step::Stop { host }),
            4 => (0..ENGINES.len(), order())
                .prop_map(|(endpoint, order)| Step::Order { endpoint, order }),
            3 => network().prop_map(Step::Network),
            8 => prop_oneof![Just(1_000_u64), Just(5_000), Just(14_000), Just(31_000)]
                .prop_map(|for_ms| Step::Run { for_ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = CoordinatorFleet;
    type Reference = NoReferenceModel;

    fn init_test((): &()) -> CoordinatorFleet {
        CoordinatorFleet::new(HOSTS)
    }

    fn apply(mut fleet: CoordinatorFleet, (): &(), step: Step) -> CoordinatorFleet {
        match step {
            Step::Advance { by_ms } => fleet.advance(by_ms),
            Step::Deliver { host, outcome } => fleet.deliver(host, outcome),
            Step::RunDelayedWrite => fleet.store.run_delayed_write(),
            Step::Pause { host } => fleet.hosts[host].paused = true,
            Step::Resume { host } => fleet.resume(host),
            Step::Restart { host } => fleet.restart(host),
            Step::Stop { host } => fleet.event(host, CoordinatorEvent::StopRequested),
            Step::Order { endpoint, order } => fleet.order(ENGINES[endpoint], order),
            Step::Network(network) => fleet.network = network,
            Step::Run { for_ms } => fleet.run(for_ms),
        }
        fleet
    }

    // When everything works again, every order ends and is in effect.
    fn teardown(mut fleet: CoordinatorFleet, (): ()) {
        fleet.network = WORKING_NETWORK;
        for host in 0..HOSTS {
            fleet.restart(host);
        }
        fleet.run(180_000);
        fleet.check_ended();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn engines_end_as_their_newest_orders_say(sequential 1..80 => FleetTest);
}
