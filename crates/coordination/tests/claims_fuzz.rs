//! Claims of three routers against a faulty store. A router may crash at any step.

mod common;

use common::claim_fleet::ClaimFleet;
use common::claim_fleet::RequestOutcome;
use common::store::CallOutcome;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use sedgeridge_coordination::claim_events::ClaimEvent;
use sedgeridge_coordination::claim_events::ClaimSettings;

const ROUTERS: usize = 3;
const KEYS: u32 = 3;

#[derive(Debug, Clone)]
enum Step {
    Claim { router: usize, key: u32, body: u64 },
    Deliver { router: usize, outcome: CallOutcome },
    RunDelayedWrite,
    Advance { by_ms: u64 },
    Finish { router: usize, kind: u8 },
    GiveUp { newest: bool },
    Restart { router: usize },
    IsolateMembership { router: usize },
}

#[derive(Debug, Clone)]
struct NoReferenceModel;

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        6 => Just(CallOutcome::Answered),
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
        let router = 0..ROUTERS;
        prop_oneof![
            6 => (router.clone(), 0..KEYS, 0..8_u64).prop_map(|(router, key, body)| {
                Step::Claim { router, key, body: body / 7 }
            }),
            10 => (router.clone(), outcome())
                .prop_map(|(router, outcome)| Step::Deliver { router, outcome }),
            2 => Just(Step::RunDelayedWrite),
            5 => prop_oneof![Just(20_u64), Just(100), Just(400), Just(6_000)]
                .prop_map(|by_ms| Step::Advance { by_ms }),
            4 => (router.clone(), 0..3_u8).prop_map(|(router, kind)| Step::Finish { router, kind }),
            2 => any::<bool>().prop_map(|newest| Step::GiveUp { newest }),
            1 => router.clone().prop_map(|router| Step::Restart { router }),
            1 => router.prop_map(|router| Step::IsolateMembership { router }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = ClaimFleet;
    type Reference = NoReferenceModel;

    fn init_test((): &()) -> ClaimFleet {
        ClaimFleet::new(ROUTERS, ClaimSettings::default())
    }

    fn apply(mut fleet: ClaimFleet, (): &(), step: Step) -> ClaimFleet {
        match step {
            Step::Claim { router, key, body } => {
                fleet.claim(router, key, body);
            }
            Step::Deliver { router, outcome } => fleet.deliver(router, outcome),
            Step::RunDelayedWrite => fleet.store.run_delayed_write(),
            Step::Advance { by_ms } => fleet.advance(by_ms),
            Step::Finish { router, kind } => fleet.finish(router, kind),
            Step::GiveUp { newest } => give_up(&mut fleet, newest),
            Step::Restart { router } => fleet.restart(router),
            Step::IsolateMembership { router } => {
                let members = vec![fleet.routers[router].member.clone()];
                fleet.event(router, ClaimEvent::Members(members));
            }
        }
        fleet
    }

    fn check_invariants(fleet: &ClaimFleet, (): &()) {
        fleet.check();
    }

    // A request refused as "not run" never runs, every request is answered unless a router
    // restarted, and a key that never ran and whose outcomes are all known can still be used.
    fn teardown(mut fleet: ClaimFleet, (): ()) {
        fleet.announce_members();
        fleet.run_until_settled();
        fleet.check();
        let restarted = fleet.has_restarted;
        for (request, sent) in &fleet.sent {
            assert!(
                restarted || sent.outcomes.len() == 1,
                "{request} got no answer"
            );
        }
        for key in 0..KEYS {
            let free = fleet.ran_by_key.get(&key).is_none_or(Vec::is_empty);
            if !free || restarted || fleet.unknown_outcome_keys.contains(&key) {
                continue;
            }
            let repeat = fleet.claim(0, key, 0);
            fleet.advance(20);
            fleet.run_until_settled();
            assert_eq!(
                fleet.outcomes_of(&repeat),
                [RequestOutcome::Dispatched],
                "key {key} is blocked"
            );
        }
    }
}

fn give_up(fleet: &mut ClaimFleet, newest: bool) {
    let mut open = fleet.sent.iter().filter(|(_, s)| s.outcomes.is_empty());
    let found = if newest {
        open.next_back()
    } else {
        open.next()
    };
    if let Some(request) = found.map(|(r, _)| r.clone()) {
        for router in 0..fleet.routers.len() {
            fleet.event(router, ClaimEvent::GiveUp(request.clone()));
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn claims_run_at_most_once(sequential 1..120 => FleetTest);
}
