//! Stateful fuzzing of the home of a pool, between naive routers and a naive oracle.
//!
//! Messages are lost, late and repeated; routers restart and leave; the home moves. After each
//! event the oracle checks every grant (the account's turn, a free slot) and that no usable slot is
//! idle while work waits. At the end of a run the faults stop: then all waiting work must be served
//! and all slots must become free, so no grant is lost forever.

mod home_fuzz {
    mod gap;
    pub mod oracle;
    pub mod record;
    pub mod router;
    pub mod steps;
}

use std::time::Duration;

use home_fuzz::oracle::Oracle;
use home_fuzz::router::Router;
use home_fuzz::steps::ACCOUNTS;
use home_fuzz::steps::ENDPOINTS;
use home_fuzz::steps::ROUTERS;
use home_fuzz::steps::Step;
use home_fuzz::steps::Steps;
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use proptest::test_runner::RngSeed;
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

const SEED: u64 = 20_261_202;

#[derive(Debug)]
struct Simulation {
    now: Duration,
    home_incarnation: u64,
    home: PoolHome,
    home_member: Member,
    oracle: Oracle,
    routers: Vec<Router>,
    is_member: [bool; ROUTERS],
    delivered: Vec<EntryReport>,
    weights: [Option<u32>; ACCOUNTS.len()],
    slots: [u32; ENDPOINTS.len()],
    /// Whether more requests than slots may run: after a grant timed out, a member left or the
    /// usable slots decreased.
    may_overadmit: bool,
}

fn home_member(home_incarnation: u64) -> Member {
    Member {
        host: HostId::from("home"),
        incarnation: Incarnation(home_incarnation),
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

impl Simulation {
    fn new() -> Self {
        let member = home_member(1);
        let routers = (0..ROUTERS).map(|index| Router::new(index, 1, member.clone()));
        let mut simulation = Self {
            now: Duration::ZERO,
            home_incarnation: 1,
            home: new_home(&member),
            oracle: Oracle::new(member.clone(), Duration::ZERO),
            routers: routers.collect(),
            home_member: member,
            is_member: [true; ROUTERS],
            delivered: Vec::new(),
            weights: ACCOUNTS.map(|(_, weight)| Some(weight)),
            slots: ENDPOINTS.map(|(_, slots)| slots),
            may_overadmit: false,
        };
        simulation.start_home();
        simulation
    }

    fn start_home(&mut self) {
        self.weights = ACCOUNTS.map(|(_, weight)| Some(weight));
        self.slots = ENDPOINTS.map(|(_, slots)| slots);
        self.configure();
        self.send_members();
    }

    fn configure(&mut self) {
        let endpoints = (0..ENDPOINTS.len()).map(|index| HomeEndpoint {
            id: endpoint(index),
            site: SiteId::from("officina"),
            slots: self.slots[index],
        });
        let endpoints = endpoints.collect();
        let weights = (0..ACCOUNTS.len()).filter_map(|index| {
            self.weights[index].map(|weight| AccountWeight {
                account: account(index),
                weight,
            })
        });
        let weights = weights.collect();
        self.event(&HomeEvent::Configured { endpoints, weights });
    }

    fn send_members(&mut self) {
        let live = (0..ROUTERS).filter(|router| self.is_member[*router]);
        let members = live.map(|router| self.routers[router].member.clone());
        let members = members.collect();
        self.event(&HomeEvent::Members(members));
    }

    fn event(&mut self, event: &HomeEvent) {
        let mut actions = Vec::new();
        self.home.handle(self.now, event.clone(), &mut actions);
        self.oracle.apply_event(self.now, event, &actions);
        self.may_overadmit |= self.oracle.timed_out || self.oracle.started_without_all_reports;
        for action in actions {
            self.dispatch(action);
        }
        self.check_slots();
    }

    fn dispatch(&mut self, action: HomeAction) {
        let to = match &action {
            HomeAction::Grant { to, .. } | HomeAction::RequestFullReport { to } => to,
        };
        let router = self.routers.iter_mut().find(|router| router.member == *to);
        if let Some(router) = router {
            router.inbox.push_back(action);
        }
    }

    /// Compares the home's count with the oracle's; running requests must not exceed the slots.
    fn check_slots(&self) {
        for index in 0..ENDPOINTS.len() {
            let endpoint = endpoint(index);
            let usage = self.home.slot_usage(&endpoint).unwrap();
            assert_eq!(usage.occupied, self.oracle.occupied(&endpoint));
            let running = self.routers.iter().flat_map(|router| &router.running);
            let running = running.filter(|holding| holding.endpoint == endpoint);
            let running = running.count() as u32;
            assert!(
                self.may_overadmit || running <= self.oracle.usable_slots(&endpoint),
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
                self.may_overadmit |= self.is_member[r];
                self.set_member(r, false);
            }
            Step::Rejoin(r) => self.set_member(r, true),
            Step::Usable(index, slots) => self.set_usable(index, slots),
            Step::Weight(a, weight) => {
                self.weights[a] = weight;
                self.configure();
            }
            Step::Slots(index, slots) => {
                self.may_overadmit |= slots < self.oracle.usable_slots(&endpoint(index));
                self.slots[index] = slots;
                self.configure();
            }
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
        self.send_members();
    }

    fn set_usable(&mut self, index: usize, usable_slots: u32) {
        self.may_overadmit |= usable_slots < self.oracle.usable_slots(&endpoint(index));
        self.event(&HomeEvent::EndpointState {
            endpoint: endpoint(index),
            usable_slots,
        });
    }

    /// Moves the home. Routers keep their running requests; grants in transit are lost.
    fn rehome(&mut self) {
        self.home_incarnation += 1;
        self.home_member = home_member(self.home_incarnation);
        for router in &mut self.routers {
            router.rehome(&self.home_member);
        }
        self.restart_home();
    }

    /// Moves the home away and back: the same run starts without state, with messages in transit.
    fn forget_home(&mut self) {
        self.now += Duration::from_millis(1);
        self.restart_home();
    }

    fn restart_home(&mut self) {
        self.home = new_home(&self.home_member);
        self.oracle = Oracle::new(self.home_member.clone(), self.now);
        // The new home learns usable slots from the configuration only.
        self.may_overadmit = true;
        self.start_home();
    }

    /// Runs without faults until all work is served and all slots are free.
    fn quiesce(mut self) {
        self.is_member = [true; ROUTERS];
        self.start_home();
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
            assert!(!router.has_waiting(), "work is never served: {router:?}");
        }
        for index in 0..ENDPOINTS.len() {
            let usage = self.home.slot_usage(&endpoint(index)).unwrap();
            assert_eq!(usage.occupied, 0, "a slot is never freed");
        }
    }

    fn serve(&mut self, router: usize) {
        self.routers[router].receive();
        while !self.routers[router].running.is_empty() {
            self.routers[router].finish(0, 1);
        }
        if self.routers[router].has_changes() {
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
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.step(step);
        simulation
    }

    fn teardown(simulation: Simulation, (): ()) {
        simulation.quiesce();
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
