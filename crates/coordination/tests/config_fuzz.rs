//! Stateful fuzzing of adoption by three routers with stale reads, gaps, lost calls, partitions and
//! restarts.
//!
//! The oracle is the list of accepted changes: the changes in force on a router are a prefix of it.

mod common;

use common::config_fleet::ConfigFleet;
use common::store::CallOutcome;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const ROUTERS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Accept,
    Deliver { router: usize, outcome: CallOutcome },
    Advance { by_ms: u64 },
    Cut { a: usize, b: usize },
    Join { a: usize, b: usize },
    Restart { router: usize },
}

/// Oracle whose state is the number of accepted changes.
#[derive(Debug, Clone)]
struct Oracle;

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        6 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        2 => Just(CallOutcome::CallLost),
        1 => Just(CallOutcome::Refused),
        3 => (1..4_usize).prop_map(CallOutcome::Stale),
    ]
}

impl ReferenceStateMachine for Oracle {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        Just(0).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Step> {
        let router = 0..ROUTERS;
        let pair = || (0..ROUTERS, 0..ROUTERS);
        prop_oneof![
            3 => Just(Step::Accept),
            14 => (router.clone(), outcome())
                .prop_map(|(router, outcome)| Step::Deliver { router, outcome }),
            5 => prop_oneof![Just(100_u64), Just(700), Just(2_000)]
                .prop_map(|by_ms| Step::Advance { by_ms }),
            1 => pair().prop_map(|(a, b)| Step::Cut { a: a.min(b), b: a.max(b) }),
            1 => pair().prop_map(|(a, b)| Step::Join { a: a.min(b), b: a.max(b) }),
            1 => router.prop_map(|router| Step::Restart { router }),
        ]
        .boxed()
    }

    fn apply(accepted: usize, step: &Step) -> usize {
        accepted + usize::from(matches!(step, Step::Accept))
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = ConfigFleet;
    type Reference = Oracle;

    fn init_test(_: &usize) -> ConfigFleet {
        ConfigFleet::new(ROUTERS)
    }

    // The fleet itself asserts at each adoption that the document was accepted.
    fn apply(mut fleet: ConfigFleet, _: &usize, step: Step) -> ConfigFleet {
        match step {
            Step::Accept => fleet.accept_change(),
            Step::Deliver { router, outcome } => fleet.deliver(router, outcome),
            Step::Advance { by_ms } => fleet.advance(by_ms),
            Step::Cut { a, b } => fleet.cut_pairs.push((a, b)),
            Step::Join { a, b } => fleet.cut_pairs.retain(|cut| *cut != (a, b)),
            Step::Restart { router } => fleet.restart(router),
        }
        fleet
    }

    fn check_invariants(fleet: &ConfigFleet, accepted: &usize) {
        assert_eq!(fleet.accepted_changes.len(), *accepted);
        for router in &fleet.routers {
            let generation = router
                .adoption
                .current_generation()
                .map_or(0, |g| g.0 as usize);
            assert_eq!(router.document.len(), generation);
            assert_eq!(router.is_ready, generation > 0);
        }
    }

    // Once all routers are connected and all calls answered, every router has the last change.
    fn teardown(mut fleet: ConfigFleet, _: usize) {
        fleet.cut_pairs.clear();
        fleet.announce_members();
        fleet.run(20_000);
        fleet.check_all_in_force();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn configurations_never_turn_back(sequential 1..150 => Fleet);
}
