//! Test harness: the home of a pool, and entry routers that follow the protocol.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::pool_home::AccountWeight;
use sedgeridge_coordination::pool_home::HomeAction;
use sedgeridge_coordination::pool_home::HomeEndpoint;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_home::PoolHome;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_coordination::pool_messages::GrantId;
use sedgeridge_coordination::pool_messages::Holding;
use sedgeridge_coordination::pool_messages::Served;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::ids::SiteId;
use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::RequestClass;

pub const HEAD_COST_TOKENS: u64 = 100;

pub fn member(router: usize) -> Member {
    Member {
        host: HostId::from(format!("r{router}").as_str()),
        incarnation: Incarnation(1),
    }
}

pub fn report(router: usize, sequence: u64, full: bool) -> EntryReport {
    EntryReport {
        from: member(router),
        pool: PoolId::from("desk"),
        sequence,
        full,
        grants_received: 0,
        demand: Vec::new(),
        holdings: Vec::new(),
        ended: Vec::new(),
        served: Vec::new(),
        results: Vec::new(),
    }
}

pub fn demand(account: &str, waiting: u32) -> Demand {
    Demand {
        account: AccountId::from(account),
        class: RequestClass::Interactive,
        waiting,
        head_cost_tokens: HEAD_COST_TOKENS,
        head_prefix: None,
    }
}

pub fn served(account: &str, total_tokens: u64) -> Served {
    Served {
        account: AccountId::from(account),
        total_tokens,
    }
}

pub fn foreign_grant() -> GrantId {
    GrantId {
        home: member(99),
        sequence: 1,
    }
}

pub fn foreign_holding(account: &str, endpoint: &str) -> Holding {
    Holding {
        grant: foreign_grant(),
        endpoint: EndpointId::from(endpoint),
        account: AccountId::from(account),
        estimate_tokens: HEAD_COST_TOKENS,
    }
}

#[derive(Debug, Default)]
struct Router {
    sequence: u64,
    grants_received: u64,
    waiting: BTreeMap<(AccountId, RequestClass), u32>,
    served_tokens: BTreeMap<AccountId, u64>,
}

/// A request that ran.
#[derive(Debug)]
pub struct Run {
    pub router: usize,
    pub account: String,
    pub class: RequestClass,
}

#[derive(Debug)]
pub struct Fleet {
    pub home: PoolHome,
    pub grants: Vec<(Member, Grant)>,
    now: Duration,
    routers: Vec<Router>,
}

impl Fleet {
    /// Creates a home that has received a full, empty report from each router.
    pub fn new(routers: usize, endpoints: &[(&str, u32)], accounts: &[(&str, u32)]) -> Self {
        Self::with_settings(routers, endpoints, accounts, FairSettings::default())
    }

    pub fn with_settings(
        routers: usize,
        endpoints: &[(&str, u32)],
        accounts: &[(&str, u32)],
        settings: FairSettings,
    ) -> Self {
        let mut fleet = Self::started(routers, endpoints, accounts, settings);
        for router in 0..routers {
            fleet.send(report(router, 1, true));
            fleet.routers[router].sequence = 1;
        }
        fleet
    }

    /// Creates a home that has received no reports.
    pub fn gathering(routers: usize, endpoints: &[(&str, u32)], accounts: &[(&str, u32)]) -> Self {
        Self::started(routers, endpoints, accounts, FairSettings::default())
    }

    fn started(
        routers: usize,
        endpoints: &[(&str, u32)],
        accounts: &[(&str, u32)],
        settings: FairSettings,
    ) -> Self {
        let mut fleet = Self {
            home: PoolHome::new(member(0), PoolId::from("desk"), settings),
            grants: Vec::new(),
            now: Duration::ZERO,
            routers: (0..routers).map(|_| Router::default()).collect(),
        };
        fleet.configure(endpoints, accounts);
        fleet.event(HomeEvent::Members((0..routers).map(member).collect()));
        fleet
    }

    pub fn configure(
        &mut self,
        endpoints: &[(&str, u32)],
        accounts: &[(&str, u32)],
    ) -> Vec<HomeAction> {
        let endpoints = endpoints.iter().map(|&(id, slots)| HomeEndpoint {
            id: EndpointId::from(id),
            site: SiteId::from("officina"),
            slots,
        });
        let weights = accounts.iter().map(|&(account, weight)| AccountWeight {
            account: AccountId::from(account),
            weight,
        });
        self.event(HomeEvent::Configured {
            endpoints: endpoints.collect(),
            weights: weights.collect(),
        })
    }

    pub fn event(&mut self, event: HomeEvent) -> Vec<HomeAction> {
        let mut actions = Vec::new();
        self.home.handle(self.now, event, &mut actions);
        for action in &actions {
            if let HomeAction::Grant { to, grant } = action {
                self.grants.push((to.clone(), grant.clone()));
            }
        }
        actions
    }

    pub fn tick(&mut self, by: Duration) -> Vec<HomeAction> {
        self.now += by;
        self.event(HomeEvent::Tick)
    }

    pub fn send(&mut self, report: EntryReport) -> Vec<HomeAction> {
        self.event(HomeEvent::Report(report))
    }

    pub fn usable(&mut self, endpoint: &str, usable_slots: u32) {
        self.event(HomeEvent::EndpointState {
            endpoint: EndpointId::from(endpoint),
            usable_slots,
        });
    }

    pub fn wait(&mut self, router: usize, account: &str, more: u32) {
        self.wait_as(router, account, RequestClass::Interactive, more);
    }

    pub fn wait_as(&mut self, router: usize, account: &str, class: RequestClass, more: u32) {
        let key = (AccountId::from(account), class);
        *self.routers[router].waiting.entry(key).or_default() += more;
        let report = self.next_report(router);
        self.send(report);
    }

    pub fn lose_grants(&mut self) {
        self.grants.clear();
    }

    pub fn granted_endpoints(&self) -> Vec<EndpointId> {
        let grants = self.grants.iter();
        grants.map(|(_, grant)| grant.endpoint.clone()).collect()
    }

    /// Uses the received grants at all routers, without ending any.
    pub fn acknowledge_all(&mut self) {
        for (to, grant) in self.grants.clone() {
            let router = self.router_of(&to);
            self.bind(router, &grant);
            let report = self.next_report(router);
            self.send(report);
        }
    }

    pub fn run_one_by_one(&mut self, runs: usize, cost_tokens: u64) -> Vec<String> {
        let runs = self.run(runs, cost_tokens);
        runs.into_iter().map(|run| run.account).collect()
    }

    /// Uses grants in order; each request ends, with the given cost, before the next grant is used.
    pub fn run(&mut self, runs: usize, cost_tokens: u64) -> Vec<Run> {
        (0..runs).map(|_| self.run_next(cost_tokens)).collect()
    }

    fn run_next(&mut self, cost_tokens: u64) -> Run {
        let (to, grant) = self.grants.remove(0);
        let router = self.router_of(&to);
        self.bind(router, &grant);
        let served = &mut self.routers[router].served_tokens;
        *served.entry(grant.account.clone()).or_default() += cost_tokens;
        let mut report = self.next_report(router);
        report.ended.push(grant.id.clone());
        self.send(report);
        Run {
            router,
            account: grant.account.to_string(),
            class: grant.class,
        }
    }

    fn router_of(&self, to: &Member) -> usize {
        (0..self.routers.len())
            .find(|router| member(*router) == *to)
            .expect("grants go to known routers")
    }

    fn bind(&mut self, router: usize, grant: &Grant) {
        let router = &mut self.routers[router];
        router.grants_received = grant.id.sequence;
        let key = (grant.account.clone(), grant.class);
        *router
            .waiting
            .get_mut(&key)
            .expect("a grant is sent only for waiting requests") -= 1;
    }

    fn next_report(&mut self, router: usize) -> EntryReport {
        let state = &mut self.routers[router];
        state.sequence += 1;
        let demand = state
            .waiting
            .iter()
            .map(|((account, class), waiting)| Demand {
                account: account.clone(),
                class: *class,
                waiting: *waiting,
                head_cost_tokens: HEAD_COST_TOKENS,
                head_prefix: None,
            });
        let served = state
            .served_tokens
            .iter()
            .map(|(account, total_tokens)| Served {
                account: account.clone(),
                total_tokens: *total_tokens,
            });
        EntryReport {
            grants_received: state.grants_received,
            demand: demand.collect(),
            served: served.collect(),
            results: Vec::new(),
            ..report(router, state.sequence, false)
        }
    }
}
