//! Stateful fuzzing of the home of a pool, between naive routers and a naive oracle.
//!
//! Messages are lost, late and repeated; routers restart and leave; the home moves. After each
//! event the oracle checks every grant (whose turn, a free slot) and that no usable slot is idle
//! while work waits. A run ends with the faults gone: then all waiting work must be served and all
//! slots be free again, so no grant was lost for good.

mod home_fuzz {
    mod gap;
    pub mod oracle;
    pub mod router;
}

use std::time::Duration;

use home_fuzz::oracle::Oracle;
use home_fuzz::router::Router;
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use sedgeridge_coordination::pool_home::AccountWeight;
use sedgeridge_coordination::pool_home::HomeAction;
use sedgeridge_coordination::pool_home::HomeEndpoint;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_home::PoolHome;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::ids::SiteId;
use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::RequestClass;

const ROUTERS: usize = 3;
const ACCOUNTS: [(&str, u32); 4] = [("a", 1), ("b", 2), ("c", 4), ("d", 1)];
const ENDPOINTS: [(&str, u32); 2] = [("desk-1", 2), ("desk-2", 1)];
const MAX_COST_TOKENS: u64 = 100;
const SEED: u64 = 20_261_202;

#[derive(Debug, Clone, Copy)]
enum Step {
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
    Tick(u64),
    Rehome,
    ForgetHome,
}

/// The steps need no state to be generated from: each does nothing where it does not fit.
#[derive(Debug)]
struct Steps;

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
            3 => (0..600u64).prop_map(Step::Tick),
            1 => Just(Step::Rehome),
            1 => Just(Step::ForgetHome),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug)]
struct World {
    now: Duration,
    homes: u64,
    home: PoolHome,
    home_member: Member,
    oracle: Oracle,
    routers: Vec<Router>,
    is_member: [bool; ROUTERS],
    delivered: Vec<EntryReport>,
    /// Whether slots may rightly be over-admitted: a grant timed out, a member left or usable
    /// slots shrank.
    disturbed: bool,
}

fn home_member(homes: u64) -> Member {
    Member {
        host: HostId::from("home"),
        incarnation: Incarnation(homes),
    }
}

fn new_home(member: &Member) -> PoolHome {
    PoolHome::new(
        member.clone(),
        PoolId::from("desk"),
        FairSettings::default(),
    )
}

fn endpoint(index: usize) -> EndpointId {
    EndpointId::from(ENDPOINTS[index].0)
}

fn account(index: usize) -> AccountId {
    AccountId::from(ACCOUNTS[index].0)
}

impl World {
    fn new() -> Self {
        let member = home_member(1);
        let routers = (0..ROUTERS).map(|index| Router::new(index, 1, member.clone()));
        let mut world = Self {
            now: Duration::ZERO,
            homes: 1,
            home: new_home(&member),
            oracle: Oracle::new(member.clone(), Duration::ZERO),
            routers: routers.collect(),
            home_member: member,
            is_member: [true; ROUTERS],
            delivered: Vec::new(),
            disturbed: false,
        };
        world.start_home();
        world
    }

    fn start_home(&mut self) {
        let endpoints = ENDPOINTS.map(|(id, slots)| HomeEndpoint {
            id: EndpointId::from(id),
            site: SiteId::from("officina"),
            slots,
        });
        let weights = ACCOUNTS.map(|(account, weight)| AccountWeight {
            account: AccountId::from(account),
            weight,
        });
        self.event(&HomeEvent::Configured {
            endpoints: endpoints.to_vec(),
            weights: weights.to_vec(),
        });
        self.tell_members();
    }

    fn tell_members(&mut self) {
        let live = (0..ROUTERS).filter(|router| self.is_member[*router]);
        let members = live.map(|router| self.routers[router].member.clone());
        let members = members.collect();
        self.event(&HomeEvent::Members(members));
    }

    fn event(&mut self, event: &HomeEvent) {
        let mut actions = Vec::new();
        self.home.handle(self.now, event.clone(), &mut actions);
        self.oracle.follow(self.now, event, &actions);
        self.disturbed |= self.oracle.timed_out || self.oracle.started_blind;
        for action in actions {
            self.dispatch(action);
        }
        self.check_slots();
    }

    fn dispatch(&mut self, action: HomeAction) {
        let to = match &action {
            HomeAction::Grant { to, .. } | HomeAction::AskFull { to } => to,
        };
        let router = self.routers.iter_mut().find(|router| router.member == *to);
        if let Some(router) = router {
            router.inbox.push_back(action);
        }
    }

    /// The home's count matches the oracle's, and requests that really run never exceed the slots.
    fn check_slots(&self) {
        for index in 0..ENDPOINTS.len() {
            let endpoint = endpoint(index);
            let usage = self.home.slot_usage(&endpoint).unwrap();
            assert_eq!(usage.occupied, self.oracle.occupied(&endpoint));
            let running = self.routers.iter().flat_map(|router| &router.running);
            let running = running.filter(|holding| holding.endpoint == endpoint);
            let running = running.count() as u32;
            assert!(
                self.disturbed || running <= self.oracle.usable(&endpoint),
                "{running} requests run on {endpoint}"
            );
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(r, a, class, cost) => self.routers[r].arrive(&account(a), class, cost),
            Step::Withdraw(r, a, class) => self.routers[r].withdraw(&account(a), class),
            Step::Report(r, full) => self.routers[r].report(full),
            Step::Deliver(r) => self.deliver(r),
            Step::RepeatReport(back) => {
                if let Some(report) = self.delivered.iter().rev().nth(back).cloned() {
                    self.event(&HomeEvent::Report(report));
                }
            }
            Step::LoseOneReport(r) => {
                self.routers[r].outbox.pop_front();
            }
            Step::LoseReports(r) => self.routers[r].lose_reports(),
            Step::Receive(r) => self.routers[r].receive(),
            Step::LoseGrants(r) => self.routers[r].inbox.clear(),
            Step::Correct(r, nth, cost) => self.routers[r].correct(nth, cost),
            Step::Finish(r, nth, cost) => self.routers[r].finish(nth, cost),
            Step::Restart(r) => self.restart(r),
            Step::Leave(r) => {
                self.disturbed |= self.is_member[r];
                self.set_member(r, false);
            }
            Step::Rejoin(r) => self.set_member(r, true),
            Step::Usable(index, slots) => self.set_usable(index, slots),
            Step::Tick(by_ms) => {
                self.now += Duration::from_millis(by_ms);
                self.event(&HomeEvent::Tick);
            }
            Step::Rehome => self.rehome(),
            Step::ForgetHome => self.forget_home(),
        }
    }

    fn deliver(&mut self, router: usize) {
        if let Some(report) = self.routers[router].outbox.pop_front() {
            self.delivered.push(report.clone());
            self.event(&HomeEvent::Report(report));
        }
    }

    fn restart(&mut self, router: usize) {
        let incarnation = self.routers[router].member.incarnation.0 + 1;
        self.routers[router] = Router::new(router, incarnation, self.home_member.clone());
    }

    fn set_member(&mut self, router: usize, is_member: bool) {
        self.is_member[router] = is_member;
        self.tell_members();
    }

    fn set_usable(&mut self, index: usize, usable_slots: u32) {
        self.disturbed |= usable_slots < self.oracle.usable(&endpoint(index));
        self.event(&HomeEvent::EndpointState {
            endpoint: endpoint(index),
            usable_slots,
        });
    }

    /// Routers keep what runs; grants on their way are lost with the old home's connections.
    fn rehome(&mut self) {
        self.homes += 1;
        self.home_member = home_member(self.homes);
        for router in &mut self.routers {
            router.rehome(&self.home_member);
        }
        self.restart_home();
    }

    /// The home moves away and back: the same run starts from nothing, with messages on their way.
    fn forget_home(&mut self) {
        self.now += Duration::from_millis(1);
        self.restart_home();
    }

    fn restart_home(&mut self) {
        self.home = new_home(&self.home_member);
        self.oracle = Oracle::new(self.home_member.clone(), self.now);
        // The new home learns usable slots from the configuration only.
        self.disturbed = true;
        self.start_home();
    }

    /// With all faults gone, all work must be served and all slots become free.
    fn quiesce(mut self) {
        self.is_member = [true; ROUTERS];
        self.tell_members();
        for (index, (_, slots)) in ENDPOINTS.iter().enumerate() {
            self.set_usable(index, *slots);
        }
        for _ in 0..400 {
            for router in 0..ROUTERS {
                self.serve(router);
            }
            self.step(Step::Tick(400));
        }
        for router in &self.routers {
            assert!(!router.waits(), "work waits for good: {router:?}");
        }
        for index in 0..ENDPOINTS.len() {
            let usage = self.home.slot_usage(&endpoint(index)).unwrap();
            assert_eq!(usage.occupied, 0, "a slot is lost for good");
        }
    }

    fn serve(&mut self, router: usize) {
        self.routers[router].receive();
        while !self.routers[router].running.is_empty() {
            self.routers[router].finish(0, 1);
        }
        if self.routers[router].has_news() {
            self.routers[router].report(false);
        }
        while !self.routers[router].outbox.is_empty() {
            self.deliver(router);
        }
    }
}

#[derive(Debug)]
struct HomeFuzz;

impl StateMachineTest for HomeFuzz {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(step);
        world
    }

    fn teardown(world: World, (): ()) {
        world.quiesce();
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn the_home_follows_the_oracle_through_faults(sequential 1..120 => HomeFuzz);
}
