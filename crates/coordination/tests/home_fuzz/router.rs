//! A naive entry router: queues, running requests, and messages in transit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use sedgeridge_coordination::pool_home::HomeAction;
use sedgeridge_coordination::pool_messages::Demand;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_coordination::pool_messages::Holding;
use sedgeridge_coordination::pool_messages::Served;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::RequestClass;

type QueueKey = (AccountId, RequestClass);

#[derive(Debug)]
pub struct Router {
    pub member: Member,
    pub waiting: BTreeMap<QueueKey, VecDeque<u64>>,
    pub running: Vec<Holding>,
    pub inbox: VecDeque<HomeAction>,
    pub outbox: VecDeque<EntryReport>,
    home: Member,
    sequence: u64,
    grants_received: u64,
    reported_grants: u64,
    must_send_full: bool,
    served_tokens: BTreeMap<AccountId, u64>,
    changed_queues: BTreeSet<QueueKey>,
    next_report: EntryReport,
}

impl Router {
    pub fn new(index: usize, incarnation: u64, home: Member) -> Self {
        let member = Member {
            host: HostId::from(format!("r{index}").as_str()),
            incarnation: Incarnation(incarnation),
        };
        Self {
            next_report: empty_report(&member),
            member,
            home,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            inbox: VecDeque::new(),
            outbox: VecDeque::new(),
            sequence: 0,
            grants_received: 0,
            reported_grants: 0,
            must_send_full: true,
            served_tokens: BTreeMap::new(),
            changed_queues: BTreeSet::new(),
        }
    }

    pub fn arrive(&mut self, account: &AccountId, class: RequestClass, cost_tokens: u64) {
        let key = (account.clone(), class);
        self.changed_queues.insert(key.clone());
        self.waiting.entry(key).or_default().push_back(cost_tokens);
    }

    /// Removes the last waiting request: its caller gave up.
    pub fn withdraw(&mut self, account: &AccountId, class: RequestClass) {
        let key = (account.clone(), class);
        if let Some(queue) = self.waiting.get_mut(&key) {
            queue.pop_back();
            self.changed_queues.insert(key);
        }
    }

    pub fn receive(&mut self) {
        for message in std::mem::take(&mut self.inbox) {
            match message {
                HomeAction::Grant { grant, .. } => self.bind(&grant),
                HomeAction::RequestFullReport { .. } => self.must_send_full = true,
            }
        }
    }

    fn bind(&mut self, grant: &Grant) {
        assert!(
            grant.id.sequence > self.grants_received,
            "a grant arrived twice"
        );
        self.must_send_full |= grant.id.sequence != self.grants_received + 1;
        self.grants_received = grant.id.sequence;
        let key = (grant.account.clone(), grant.class);
        let head = self.waiting.get_mut(&key).and_then(VecDeque::pop_front);
        let Some(estimate_tokens) = head else {
            return self.next_report.ended.push(grant.id.clone());
        };
        self.changed_queues.insert(key);
        self.running.push(Holding {
            grant: grant.id.clone(),
            endpoint: grant.endpoint.clone(),
            account: grant.account.clone(),
            estimate_tokens,
        });
    }

    pub fn correct(&mut self, nth: usize, estimate_tokens: u64) {
        if let Some(holding) = self.running.get_mut(nth) {
            holding.estimate_tokens = estimate_tokens;
            self.next_report.holdings.push(holding.clone());
        }
    }

    pub fn finish(&mut self, nth: usize, cost_tokens: u64) {
        if nth >= self.running.len() {
            return;
        }
        let holding = self.running.remove(nth);
        *self.served_tokens.entry(holding.account).or_default() += cost_tokens;
        self.next_report
            .holdings
            .retain(|h| h.grant != holding.grant);
        self.next_report.ended.push(holding.grant);
    }

    pub fn report(&mut self, full: bool) {
        let full = std::mem::take(&mut self.must_send_full) || full;
        self.sequence += 1;
        let changed = std::mem::take(&mut self.changed_queues);
        let listed = self
            .waiting
            .iter()
            .filter(|(key, _)| full || changed.contains(*key));
        let demand = listed.map(|((account, class), queue)| Demand {
            account: account.clone(),
            class: *class,
            waiting: queue.len() as u32,
            head_cost_tokens: queue.front().copied().unwrap_or_default(),
            head_prefix: None,
        });
        let served = self
            .served_tokens
            .iter()
            .map(|(account, total_tokens)| Served {
                account: account.clone(),
                total_tokens: *total_tokens,
            });
        let mut report = std::mem::replace(&mut self.next_report, empty_report(&self.member));
        report.sequence = self.sequence;
        report.full = full;
        report.grants_received = self.grants_received;
        self.reported_grants = self.grants_received;
        report.demand = demand.collect();
        report.served = served.collect();
        if full {
            report.holdings = self.running.clone();
        }
        self.outbox.push_back(report);
    }

    /// Breaks the connection to the home: reports in transit are lost, and the router knows it.
    pub fn lose_reports(&mut self) {
        self.outbox.clear();
        self.must_send_full = true;
    }

    /// Switches to a new home: messages of the old connection no longer arrive.
    pub fn rehome(&mut self, home: &Member) {
        self.home = home.clone();
        self.grants_received = 0;
        self.inbox.clear();
        self.outbox.clear();
        self.must_send_full = true;
    }

    /// Tells whether a report would contain anything that the previous one did not.
    pub fn has_changes(&self) -> bool {
        let has_grant_changes =
            !self.next_report.ended.is_empty() || !self.next_report.holdings.is_empty();
        let unacknowledged = self.grants_received != self.reported_grants;
        has_grant_changes
            || unacknowledged
            || self.must_send_full
            || !self.changed_queues.is_empty()
    }

    pub fn has_waiting(&self) -> bool {
        self.waiting.values().any(|queue| !queue.is_empty())
    }
}

fn empty_report(member: &Member) -> EntryReport {
    EntryReport {
        from: member.clone(),
        pool: PoolId::from("desk"),
        sequence: 0,
        full: false,
        grants_received: 0,
        demand: Vec::new(),
        holdings: Vec::new(),
        ended: Vec::new(),
        served: Vec::new(),
        results: Vec::new(),
    }
}
