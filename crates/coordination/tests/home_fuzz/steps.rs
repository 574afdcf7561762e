//! Random steps of the simulation around the home of a pool.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use sedgeridge_state::settings::RequestClass;

pub const ROUTERS: usize = 3;
pub const ACCOUNTS: [(&str, u32); 4] = [("a", 1), ("b", 2), ("c", 4), ("d", 1)];
pub const ENDPOINTS: [(&str, u32); 2] = [("desk-1", 2), ("desk-2", 1)];
const MAX_COST_TOKENS: u64 = 100;

#[derive(Debug, Clone, Copy)]
pub enum Step {
    Arrive(usize, usize, RequestClass, u64),
    Withdraw(usize, usize, RequestClass),
    Report(usize, bool),
    Deliver(usize),
    RepeatReport(usize),
    LoseOneReport(usize),
    LoseReports(usize),
    Receive(usize),
    LoseGrants(usize),
    Correct(usize, usize, u64),
    Finish(usize, usize, u64),
    Restart(usize),
    Leave(usize),
    Rejoin(usize),
    Usable(usize, u32),
    Weight(usize, Option<u32>),
    Slots(usize, u32),
    Tick(u64),
    Rehome,
    ForgetHome,
}

/// Generates steps without a model state: a step that does not apply does nothing.
#[derive(Debug)]
pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let router = 0..ROUTERS;
        let account = 0..ACCOUNTS.len();
        let nth = 0..3usize;
        let weight = prop_oneof![Just(None), Just(Some(1)), Just(Some(2)), Just(Some(4))];
        let cost = 0..=MAX_COST_TOKENS;
        let class = prop_oneof![
            Just(RequestClass::Interactive),
            Just(RequestClass::Deferred)
        ];
        prop_oneof![
            8 => (router.clone(), account.clone(), class.clone(), cost.clone())
                .prop_map(|(r, a, class, c)| Step::Arrive(r, a, class, c)),
            1 => (router.clone(), account, class).prop_map(|(r, a, c)| Step::Withdraw(r, a, c)),
            8 => (router.clone(), prop::bool::weighted(0.1)).prop_map(|(r, f)| Step::Report(r, f)),
            8 => router.clone().prop_map(Step::Deliver),
            2 => (0..8usize).prop_map(Step::RepeatReport),
            1 => router.clone().prop_map(Step::LoseOneReport),
            1 => router.clone().prop_map(Step::LoseReports),
            8 => router.clone().prop_map(Step::Receive),
            1 => router.clone().prop_map(Step::LoseGrants),
            2 => (router.clone(), nth.clone(), cost.clone())
                .prop_map(|(r, n, c)| Step::Correct(r, n, c)),
            6 => (router.clone(), nth, cost).prop_map(|(r, n, c)| Step::Finish(r, n, c)),
            1 => router.clone().prop_map(Step::Restart),
            1 => router.clone().prop_map(Step::Leave),
            2 => router.prop_map(Step::Rejoin),
            1 => (0..ENDPOINTS.len(), 0..4u32).prop_map(|(e, n)| Step::Usable(e, n)),
            1 => (0..ACCOUNTS.len(), weight).prop_map(|(a, w)| Step::Weight(a, w)),
            1 => (0..ENDPOINTS.len(), 0..4u32).prop_map(|(e, n)| Step::Slots(e, n)),
            3 => (0..600u64).prop_map(Step::Tick),
            1 => Just(Step::Rehome),
            1 => Just(Step::ForgetHome),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
