//! Reference implementation of the home of a pool: simple, it computes everything by scans.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_coordination::pool_home::AccountWeight;
use sedgeridge_coordination::pool_home::HomeAction;
use sedgeridge_coordination::pool_home::HomeEvent;
use sedgeridge_coordination::pool_messages::EntryReport;
use sedgeridge_coordination::pool_messages::Grant;
use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;

use super::record::Held;
use super::record::Record;
use super::record::Stage;
use super::record::new_record;

const GRANT_TIMEOUT: Duration = Duration::from_millis(1_000);
const GATHER_TIMEOUT: Duration = Duration::from_millis(300);

/// Common multiple of the weights in use, so that tags are whole numbers.
pub const WEIGHT_MULTIPLE: i128 = 4;

#[derive(Debug)]
pub struct Oracle {
    home: Member,
    started_at: Duration,
    members_known: bool,
    granting: bool,
    configured: BTreeSet<AccountId>,
    weights: BTreeMap<AccountId, u32>,
    slots: BTreeMap<EndpointId, u32>,
    usable_slots: BTreeMap<EndpointId, u32>,
    records: BTreeMap<HostId, Record>,
    received_tokens: BTreeMap<AccountId, i128>,
    tag_lifts: BTreeMap<AccountId, i128>,
    backlogged: BTreeSet<AccountId>,
    last_minimum: i128,
    pub timed_out: bool,
    pub started_without_all_reports: bool,
}

impl Oracle {
    pub fn new(home: Member, now: Duration) -> Self {
        Self {
            home,
            started_at: now,
            members_known: false,
            granting: false,
            configured: BTreeSet::new(),
            weights: BTreeMap::new(),
            slots: BTreeMap::new(),
            usable_slots: BTreeMap::new(),
            records: BTreeMap::new(),
            received_tokens: BTreeMap::new(),
            tag_lifts: BTreeMap::new(),
            backlogged: BTreeSet::new(),
            last_minimum: 0,
            timed_out: false,
            started_without_all_reports: false,
        }
    }

    /// Applies an event and checks every grant of the home's response.
    pub fn apply_event(&mut self, now: Duration, event: &HomeEvent, actions: &[HomeAction]) {
        self.note_minimum();
        match event {
            HomeEvent::Configured { endpoints, weights } => {
                for endpoint in endpoints {
                    let before = self.slots.insert(endpoint.id.clone(), endpoint.slots);
                    if before != Some(endpoint.slots) {
                        self.usable_slots
                            .insert(endpoint.id.clone(), endpoint.slots);
                    }
                }
                self.configure(weights);
            }
            HomeEvent::EndpointState {
                endpoint,
                usable_slots,
            } => {
                self.usable_slots.insert(endpoint.clone(), *usable_slots);
            }
            HomeEvent::Members(members) => self.set_members(members),
            HomeEvent::Report(report) => self.admit_report(report),
            HomeEvent::HostSites(_) => {}
            HomeEvent::Tick => self.time_out_grants(now),
        }
        self.update_backlog();
        self.start_granting(now);
        for action in actions {
            if let HomeAction::Grant { to, grant } = action {
                self.check_grant(now, to, grant);
            }
        }
        self.check_work_conservation();
    }

    /// Adopts weights. A changed weight applies to later service only: the tag stays.
    fn configure(&mut self, weights: &[AccountWeight]) {
        self.configured = weights.iter().map(|w| w.account.clone()).collect();
        for weight in weights {
            let known = self.weights.contains_key(&weight.account);
            let before = known.then(|| self.tag(&weight.account));
            self.weights.insert(weight.account.clone(), weight.weight);
            let after = self.tag(&weight.account);
            let kept = before.unwrap_or(after) - after;
            *self.tag_lifts.entry(weight.account.clone()).or_default() += kept;
        }
        for record in self.records.values_mut() {
            let configured = &self.configured;
            record.demand.retain(|d| configured.contains(&d.account));
        }
    }

    fn set_members(&mut self, members: &[Member]) {
        self.members_known = true;
        self.records
            .retain(|host, _| members.iter().any(|member| member.host == *host));
        for member in members {
            let known = self.records.get(&member.host);
            if known.is_none_or(|known| known.member.incarnation < member.incarnation) {
                self.records.insert(member.host.clone(), new_record(member));
            }
        }
    }

    fn admit_report(&mut self, report: &EntryReport) {
        let Some(known) = self.records.get(&report.from.host) else {
            return;
        };
        if report.from.incarnation < known.member.incarnation {
            return;
        }
        if report.from.incarnation > known.member.incarnation {
            if !report.full {
                return;
            }
            self.records
                .insert(report.from.host.clone(), new_record(&report.from));
        }
        let known = &self.records[&report.from.host];
        let is_accepted = match known.last_sequence {
            None => report.full,
            Some(last) => report.sequence == last + 1 || (report.full && report.sequence > last),
        };
        if is_accepted {
            self.apply(report);
        }
    }

    fn apply(&mut self, report: &EntryReport) {
        let known = self.records.get_mut(&report.from.host).unwrap();
        if known.last_sequence.is_none() {
            let own = report.holdings.iter().map(|h| &h.grant);
            let own = own.filter(|id| id.home == self.home).map(|id| id.sequence);
            known.last_granted = own.fold(report.grants_received, u64::max);
            known.grants_received = known.last_granted;
            for served in &report.served {
                known
                    .served_tokens
                    .insert(served.account.clone(), served.total_tokens);
            }
        }
        known.last_sequence = Some(report.sequence);
        known.suspended = false;
        known.held.retain(|held| !report.ended.contains(&held.id));
        known.grants_received = known.grants_received.max(report.grants_received);
        for held in &mut known.held {
            if held.id.home == self.home && held.id.sequence <= known.grants_received {
                held.stage = Stage::Acknowledged;
            }
        }
        for holding in &report.holdings {
            let estimate_tokens = holding.estimate_tokens.max(1);
            match known.held.iter_mut().find(|h| h.id == holding.grant) {
                Some(held) => held.estimate_tokens = estimate_tokens,
                None => known.held.push(Held {
                    id: holding.grant.clone(),
                    account: holding.account.clone(),
                    class: RequestClass::Interactive,
                    endpoint: holding.endpoint.clone(),
                    estimate_tokens,
                    stage: Stage::Acknowledged,
                }),
            }
        }
        if report.full {
            known.held.retain(|held| {
                held.stage != Stage::Acknowledged
                    || report.holdings.iter().any(|h| h.grant == held.id)
            });
            known.demand.clear();
        }
        for demand in &report.demand {
            known
                .demand
                .retain(|d| d.account != demand.account || d.class != demand.class);
            if self.configured.contains(&demand.account) {
                known.demand.push(demand.clone());
            }
        }
        for served in &report.served {
            let before = known
                .served_tokens
                .insert(served.account.clone(), served.total_tokens)
                .unwrap_or_default();
            let growth = i128::from(served.total_tokens) - i128::from(before);
            *self
                .received_tokens
                .entry(served.account.clone())
                .or_default() += growth;
        }
    }

    fn time_out_grants(&mut self, now: Duration) {
        for known in self.records.values_mut() {
            for held in &mut known.held {
                if matches!(held.stage, Stage::Sent(at) if at + GRANT_TIMEOUT <= now) {
                    held.stage = Stage::TimedOut;
                    known.suspended = true;
                    self.timed_out = true;
                }
            }
        }
    }

    fn start_granting(&mut self, now: Duration) {
        if self.granting || self.weights.is_empty() {
            return;
        }
        let all = self.records.values().all(|r| r.last_sequence.is_some());
        let all = self.members_known && all;
        self.granting = all || now >= self.started_at + GATHER_TIMEOUT;
        self.started_without_all_reports = self.granting && !all;
    }

    fn tag(&self, account: &AccountId) -> i128 {
        let held = self.records.values().flat_map(|record| &record.held);
        let in_progress: i128 = held
            .filter(|held| held.account == *account && held.occupies_slot())
            .map(|held| i128::from(held.estimate_tokens))
            .sum();
        let settled = self.received_tokens.get(account).copied().unwrap_or(0);
        let tag_lift = self.tag_lifts.get(account).copied().unwrap_or(0);
        let weight = i128::from(self.weights[account]);
        tag_lift + (settled + in_progress) * WEIGHT_MULTIPLE / weight
    }

    fn minimum(&self) -> Option<i128> {
        self.backlogged
            .iter()
            .map(|account| self.tag(account))
            .min()
    }

    fn note_minimum(&mut self) {
        self.last_minimum = self.minimum().unwrap_or(self.last_minimum);
    }

    fn grantable(&self, record: &Record, account: &AccountId, class: RequestClass) -> u32 {
        let mut demand = record.demand.iter();
        let demand = demand.find(|d| d.account == *account && d.class == class);
        let sent = record.held.iter().filter(|held| {
            matches!(held.stage, Stage::Sent(_)) && held.account == *account && held.class == class
        });
        match demand {
            Some(demand) if !record.suspended => demand.waiting.saturating_sub(sent.count() as u32),
            _ => 0,
        }
    }

    fn has_demand(&self, account: &AccountId, class: RequestClass) -> bool {
        let mut records = self.records.values();
        records.any(|record| self.grantable(record, account, class) > 0)
    }

    fn update_backlog(&mut self) {
        let now_backlogged: BTreeSet<AccountId> = self
            .weights
            .keys()
            .filter(|account| {
                self.has_demand(account, RequestClass::Interactive)
                    || self.has_demand(account, RequestClass::Deferred)
            })
            .cloned()
            .collect();
        self.backlogged
            .retain(|account| now_backlogged.contains(account));
        let floor = self.minimum().unwrap_or(self.last_minimum);
        for account in now_backlogged.difference(&self.backlogged) {
            let shortfall = floor - self.tag(account);
            if shortfall > 0 {
                *self.tag_lifts.entry(account.clone()).or_default() += shortfall;
            }
        }
        self.backlogged = now_backlogged;
    }

    pub fn occupied(&self, endpoint: &EndpointId) -> u32 {
        let held = self.records.values().flat_map(|record| &record.held);
        held.filter(|held| held.occupies_slot() && held.endpoint == *endpoint)
            .count() as u32
    }

    pub fn usable_slots(&self, endpoint: &EndpointId) -> u32 {
        self.usable_slots[endpoint]
    }

    fn check_grant(&mut self, now: Duration, to: &Member, grant: &Grant) {
        assert!(self.granting, "granted before the slots in use are known");
        let next = self
            .backlogged
            .iter()
            .min_by_key(|account| (self.tag(account), (*account).clone()));
        assert_eq!(
            Some(&grant.account),
            next,
            "not the account with the least tag"
        );
        let interactive = self.has_demand(&grant.account, RequestClass::Interactive);
        assert_eq!(grant.class == RequestClass::Interactive, interactive);
        let occupied = self.occupied(&grant.endpoint);
        assert!(
            occupied < self.usable_slots(&grant.endpoint),
            "no free slot"
        );
        let known = &self.records[&to.host];
        assert_eq!(known.member, *to);
        assert!(self.grantable(known, &grant.account, grant.class) > 0);
        let mut demand = known.demand.iter();
        let demand = demand.find(|d| d.account == grant.account && d.class == grant.class);
        let estimate_tokens = demand.unwrap().head_cost_tokens.max(1);
        self.note_minimum();
        let known = self.records.get_mut(&to.host).unwrap();
        assert!(grant.id.sequence > known.last_granted);
        known.last_granted = grant.id.sequence;
        known.held.push(Held {
            id: grant.id.clone(),
            account: grant.account.clone(),
            class: grant.class,
            endpoint: grant.endpoint.clone(),
            estimate_tokens,
            stage: Stage::Sent(now),
        });
        self.update_backlog();
    }

    fn check_work_conservation(&self) {
        if !self.granting || self.backlogged.is_empty() {
            return;
        }
        for (endpoint, usable_slots) in &self.usable_slots {
            assert!(
                self.occupied(endpoint) >= *usable_slots,
                "a slot of {endpoint} is idle while work waits"
            );
        }
    }
}
