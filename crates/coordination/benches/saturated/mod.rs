//! A home of a pool that is saturated at a given size, and its entry routers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_coordination::pool_home::AccountWeight;
use sedgeridge_coordination::pool_home::HomeAction;
use sedgeridge_coordination::pool_home::HomeEndpoint;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_home::PoolHome;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_coordination::pool_messages::PrefixHash;
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

const SITES: usize = 7;
const SLOTS_PER_ENDPOINT: u32 = 4;
/// Requests of one backlogged account at one router.
const WAITING_REQUESTS: u32 = 50;
const ROUTERS_PER_ACCOUNT: usize = 4;
/// Time between two grants at 5,900 requests a second.
const GRANT_INTERVAL: Duration = Duration::from_micros(169);
/// Prime number, so that consecutive backlogged accounts are far apart.
const ACCOUNT_STRIDE: usize = 7_919;

/// Size of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub accounts: usize,
    pub backlogged: usize,
    pub routers: usize,
    pub endpoints: usize,
}

/// A saturated home, and the state of its entry routers.
#[derive(Debug)]
pub struct Saturated {
    pub home: PoolHome,
    now: Duration,
    pool: PoolId,
    members: Vec<Member>,
    sequences: Vec<u64>,
    grants_received: Vec<u64>,
    served_tokens: Vec<HashMap<AccountId, u64>>,
    grants: VecDeque<(usize, Grant)>,
    actions: Vec<HomeAction>,
    random_state: u64,
}

fn member(router: usize) -> Member {
    Member {
        host: HostId::from(format!("host-{router:03}").as_str()),
        incarnation: Incarnation(1),
    }
}

fn account(index: usize) -> AccountId {
    AccountId::from(format!("account-{index:06}").as_str())
}

fn router_of(to: &Member) -> usize {
    let digits = to.host.as_str().trim_start_matches("host-");
    digits.parse().expect("hosts are numbered")
}

impl Saturated {
    pub fn new(size: Size) -> Self {
        let mut saturated = Self {
            home: PoolHome::new(member(0), PoolId::from("desk"), FairSettings::default()),
            now: Duration::ZERO,
            pool: PoolId::from("desk"),
            members: (0..size.routers).map(member).collect(),
            sequences: vec![1; size.routers],
            grants_received: vec![0; size.routers],
            served_tokens: vec![HashMap::new(); size.routers],
            grants: VecDeque::new(),
            actions: Vec::new(),
            random_state: 1,
        };
        saturated.configure(size);
        let members = (0..size.routers).map(member).collect();
        saturated.event(HomeEvent::Members(members));
        for router in 0..size.routers {
            let report = full_report(router, size);
            saturated.event(HomeEvent::Report(report));
        }
        saturated.event(HomeEvent::Tick);
        saturated
    }

    fn configure(&mut self, size: Size) {
        let endpoints = (0..size.endpoints).map(|index| HomeEndpoint {
            id: EndpointId::from(format!("engine-{index:04}").as_str()),
            site: SiteId::from(format!("site-{}", index % SITES).as_str()),
            slots: SLOTS_PER_ENDPOINT,
        });
        let weights = (0..size.accounts).map(|index| AccountWeight {
            account: account(index),
            weight: 1 + index as u32 % 4,
        });
        self.event(HomeEvent::Configured {
            endpoints: endpoints.collect(),
            weights: weights.collect(),
        });
    }

    pub fn event(&mut self, event: HomeEvent) {
        self.actions.clear();
        self.home.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let HomeAction::Grant { to, grant } = action {
                let router = router_of(&to);
                self.grants_received[router] = grant.id.sequence;
                self.grants.push_back((router, grant));
            }
        }
    }

    /// Returns the report that ends the oldest grant; a new request takes its place in the queue.
    pub fn next_report(&mut self) -> EntryReport {
        self.now += GRANT_INTERVAL;
        self.now += GRANT_INTERVAL;
        let (router, grant) = self
            .grants
            .pop_front()
            .expect("a saturated pool has grants");
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let cost_tokens = 200 + (self.random_state >> 33) % 1_000;
        self.sequences[router] += 1;
        let served = &mut self.served_tokens[router];
        let total_tokens = served.entry(grant.account.clone()).or_default();
        *total_tokens += cost_tokens;
        let total_tokens = *total_tokens;
        EntryReport {
            from: self.members[router].clone(),
            pool: self.pool.clone(),
            sequence: self.sequences[router],
            full: false,
            grants_received: self.grants_received[router],
            demand: vec![demand(grant.account.clone(), grant.class, cost_tokens)],
            holdings: Vec::new(),
            served: vec![Served {
                account: grant.account,
                total_tokens,
            }],
            ended: vec![grant.id],
            results: Vec::new(),
        }
    }
}

fn demand(account: AccountId, class: RequestClass, cost_tokens: u64) -> Demand {
    Demand {
        account,
        class,
        waiting: WAITING_REQUESTS,
        head_cost_tokens: 700,
        head_prefix: Some(PrefixHash(cost_tokens % 64)),
    }
}

fn full_report(router: usize, size: Size) -> EntryReport {
    let backlogged = (0..size.backlogged).filter(|index| {
        (0..ROUTERS_PER_ACCOUNT).any(|nth| (index * 13 + nth * 101) % size.routers == router)
    });
    let demands = backlogged.map(|index| {
        let id = account(index * ACCOUNT_STRIDE % size.accounts);
        demand(id, RequestClass::Interactive, index as u64)
    });
    EntryReport {
        from: member(router),
        pool: PoolId::from("desk"),
        sequence: 1,
        full: true,
        grants_received: 0,
        demand: demands.collect(),
        holdings: Vec::new(),
        ended: Vec::new(),
        served: Vec::new(),
        results: Vec::new(),
    }
}
