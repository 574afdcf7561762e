//! What an entry router knows of one pool: its waiting requests, the grants it holds and what the
//! pool's home has not been told yet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::RequestClass;

use crate::attempt_results::AttemptResults;
use crate::attempt_results::EndpointResult;
use crate::entry_events::AttemptEnd;
use crate::entry_events::RequestKey;
use crate::entry_queue::EntryQueue;
use crate::entry_queue::Lane;
use crate::held_grants::HeldGrant;
use crate::held_grants::HeldGrants;
use crate::node_view::AccountView;
use crate::pool_messages::Demand;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;
use crate::pool_messages::Holding;
use crate::pool_messages::PrefixHash;
use crate::pool_messages::Served;
use crate::run_times::RunTimes;

/// Classes in the order in which a grant is used.
const CLASSES: [RequestClass; 2] = [RequestClass::Interactive, RequestClass::Deferred];
/// Most missing grants that are named one by one; after more, a full report says what is held.
const MAX_MISSING_GRANTS: u64 = 256;
/// Part of a cost by which it may be off without the home being told.
const COST_TOLERANCE_DIVISOR: u64 = 8;

/// How soon the home has to be told what is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing is new.
    None,
    /// A slot or a waiting request is not touched by it: with the next urgent news, or after the
    /// report interval.
    Lazy,
    /// Work may wait, or a slot idle, until the home knows.
    Urgent,
}

/// What the home was last told of a lane, and the grants for it that came since.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    waiting: u32,
    granted: u32,
    cost_tokens: u64,
}

/// Cost and prefix of a waiting request.
#[derive(Debug, Clone, Copy)]
pub struct HeadFacts {
    /// What it is expected to cost.
    pub cost_tokens: u64,
    /// Prefix of its prompt.
    pub prefix: Option<PrefixHash>,
}

/// One pool as seen by an entry router.
#[derive(Debug)]
pub struct EntryPool {
    id: PoolId,
    home: Option<Member>,
    queue: EntryQueue,
    held: HeldGrants,
    served: BTreeMap<AccountId, u64>,
    run_times: RunTimes,
    grant_span: Duration,
    grants_received: u64,
    sequence: u64,
    full_wanted: bool,
    urgent: bool,
    contended: bool,
    told: BTreeMap<Lane, Told>,
    changed_lanes: BTreeSet<Lane>,
    changed_served: BTreeSet<AccountId>,
    ended: Vec<GrantId>,
    unacknowledged: bool,
    results: AttemptResults,
}

impl EntryPool {
    /// Creates the view of a pool that has no home yet. A grant covers what runs within
    /// `grant_span`, and one request at least.
    pub fn new(id: PoolId, grant_span: Duration) -> Self {
        Self {
            id,
            home: None,
            queue: EntryQueue::default(),
            held: HeldGrants::default(),
            served: BTreeMap::new(),
            run_times: RunTimes::default(),
            grant_span,
            grants_received: 0,
            sequence: 0,
            full_wanted: false,
            urgent: false,
            contended: false,
            told: BTreeMap::new(),
            changed_lanes: BTreeSet::new(),
            changed_served: BTreeSet::new(),
            ended: Vec::new(),
            unacknowledged: false,
            results: AttemptResults::default(),
        }
    }

    /// Adopts a changed span of a grant.
    pub fn set_grant_span(&mut self, grant_span: Duration) {
        self.grant_span = grant_span;
    }

    /// Names the pool's home; another one than before is told everything.
    ///
    /// The sequence of reports goes on: this view of the members may have changed and changed back
    /// while the home never knew. It would drop all reports up to its last sequence, and the callers
    /// here would wait for as long.
    pub fn set_home(&mut self, home: Option<Member>) {
        if self.home != home {
            self.home = home;
            self.grants_received = 0;
            self.full_wanted = true;
        }
    }

    /// Makes the next report a full one.
    pub fn want_full(&mut self) {
        self.full_wanted = true;
    }

    /// Tells whether the pool's home stands on a host.
    pub fn is_homed_on(&self, host: &HostId) -> bool {
        self.home.as_ref().is_some_and(|home| home.host == *host)
    }

    /// Returns the pool's home.
    pub fn home(&self) -> Option<&Member> {
        self.home.as_ref()
    }

    /// Counts all waiting requests.
    pub fn waiting(&self) -> u32 {
        self.queue.waiting()
    }

    /// Counts the waiting requests of an account that go before a new one of this class.
    pub fn ahead(&self, account: &AccountId, class: RequestClass) -> u32 {
        let before = CLASSES.iter().filter(|other| **other <= class);
        before
            .map(|other| self.queue.lane_len(&lane(account, *other)))
            .sum()
    }

    /// Counts the accounts that wait here, `account` included.
    pub fn backlogged_accounts_with(&self, account: &AccountId) -> u32 {
        let others: BTreeSet<&AccountId> = self
            .queue
            .lanes()
            .map(|lane| &lane.account)
            .filter(|waiting| *waiting != account)
            .collect();
        others.len() as u32 + 1
    }

    /// Counts the waiting requests of an account.
    pub fn waiting_of(&self, account: &AccountId) -> u32 {
        CLASSES
            .iter()
            .map(|class| self.queue.lane_len(&lane(account, *class)))
            .sum()
    }

    /// Returns the pool.
    pub(crate) fn id(&self) -> &PoolId {
        &self.id
    }

    /// Lists the accounts that wait, run or were served.
    pub(crate) fn account_views(&self) -> Vec<AccountView> {
        let mut views = BTreeMap::new();
        for lane in self.queue.lanes() {
            self.view_of(&mut views, &lane.account).waiting += self.queue.lane_len(lane);
        }
        for holding in self.held.holdings() {
            self.view_of(&mut views, &holding.account).running += 1;
        }
        for (account, served_tokens) in &self.served {
            self.view_of(&mut views, account).served_tokens = *served_tokens;
        }
        views.into_values().collect()
    }

    fn view_of<'a>(
        &self,
        views: &'a mut BTreeMap<AccountId, AccountView>,
        account: &AccountId,
    ) -> &'a mut AccountView {
        views.entry(account.clone()).or_insert_with(|| AccountView {
            account: account.clone(),
            pool: self.id.clone(),
            waiting: 0,
            running: 0,
            served_tokens: 0,
        })
    }

    /// Adds a waiting request, as the first of its lane when it was served in part before.
    pub fn enqueue(&mut self, lane: Lane, key: RequestKey, first: bool) {
        if first {
            self.queue.push_front(lane.clone(), key);
        } else {
            self.queue.push_back(lane.clone(), key);
        }
        self.lane_changed(lane);
    }

    /// Takes a waiting request out.
    pub fn remove_waiting(&mut self, lane: &Lane, key: RequestKey) -> bool {
        let removed = self.queue.remove(lane, key);
        if removed {
            self.lane_changed(lane.clone());
        }
        removed
    }

    /// Tells whether a grant counts; one that came before, or from a former home, does not.
    pub fn accept(&mut self, grant: &Grant) -> bool {
        // The slot of a former home is no longer its to give, and using it could put two requests
        // on one slot. The former home frees it with the holdings of this member.
        if self.home.as_ref() != Some(&grant.id.home) {
            return false;
        }
        if grant.id.sequence <= self.grants_received {
            return false;
        }
        self.give_back_missing(grant);
        self.grants_received = grant.id.sequence;
        self.unacknowledged = true;
        self.contended = grant.contended;
        let lane = lane(&grant.account, grant.class);
        if let Some(told) = self.told.get_mut(&lane) {
            told.granted += 1;
        }
        self.changed_lanes.insert(lane);
        true
    }

    /// Gives back the grants between the last one received and this one.
    ///
    /// `grants_received` acknowledges all grants up to it. A grant lost on a broken connection would
    /// be acknowledged with them and hold its slot until the home compares lists. The first grant of
    /// a home does not tell whether others were lost, as homes begin their sequences anywhere; a
    /// full report does.
    fn give_back_missing(&mut self, grant: &Grant) {
        if self.grants_received == 0 {
            self.full_wanted = true;
            return;
        }
        let missing = self.grants_received + 1..grant.id.sequence;
        if missing.end.saturating_sub(missing.start) > MAX_MISSING_GRANTS {
            self.full_wanted = true;
            return;
        }
        self.ended.extend(missing.map(|sequence| GrantId {
            home: grant.id.home.clone(),
            sequence,
        }));
    }

    /// Takes the next request that a grant can be used for: of the class meant, or else of the
    /// account's other class, so that no slot idles while the account waits.
    pub fn pop_for(&mut self, grant: &Grant) -> Option<RequestKey> {
        let others = CLASSES.into_iter().filter(|class| *class != grant.class);
        let classes = std::iter::once(grant.class).chain(others);
        self.pop_of(&grant.account, classes)
    }

    fn pop_of(
        &mut self,
        account: &AccountId,
        classes: impl Iterator<Item = RequestClass>,
    ) -> Option<RequestKey> {
        for class in classes {
            let lane = lane(account, class);
            if let Some(key) = self.queue.pop(&lane) {
                self.lane_changed(lane);
                return Some(key);
            }
        }
        None
    }

    /// Gives back a grant that cannot be used.
    pub fn give_back(&mut self, grant: &Grant) {
        self.ended.push(grant.id.clone());
        self.urgent = true;
    }

    /// Records that a grant is in use. `cost_tokens` is what one of its requests is expected to
    /// cost.
    pub fn hold(&mut self, now: Duration, grant: &Grant, cost_tokens: u64) {
        let requests = self.run_times.bundle_size(&grant.account, self.grant_span);
        let left = (requests - 1).min(self.waiting_of(&grant.account));
        let estimate_tokens = cost_tokens * u64::from(left + 1);
        let holding = Holding {
            grant: grant.id.clone(),
            endpoint: grant.endpoint.clone(),
            account: grant.account.clone(),
            estimate_tokens,
        };
        self.held.insert(HeldGrant {
            holding,
            left: requests - 1,
            until: now + self.grant_span,
        });
        // The home charged the cost that it was told with the demand. Naming each grant again would
        // be a third of all control traffic, so only a cost that turned out otherwise does.
        let told = self.told.get(&lane(&grant.account, grant.class));
        let told_tokens = told.map_or(0, |told| told.cost_tokens);
        if estimate_tokens.abs_diff(told_tokens) > told_tokens / COST_TOLERANCE_DIVISOR {
            self.held.mark_changed(&grant.id);
        }
    }

    /// Takes the next request that a grant in use still covers, with the endpoint that runs it.
    pub fn next_of_grant(
        &mut self,
        now: Duration,
        grant: &GrantId,
    ) -> Option<(RequestKey, EndpointId)> {
        let holding = &self.held.get_mut(grant)?.holding;
        let (account, endpoint) = (holding.account.clone(), holding.endpoint.clone());
        if !self.held.take_next(now, grant) {
            return None;
        }
        let key = self.pop_of(&account, CLASSES.into_iter())?;
        Some((key, endpoint))
    }

    /// Raises what a grant in use is expected to cost, once its request has received more than that.
    ///
    /// A request that runs far over its estimate would keep its account at the front of the order
    /// until it ends, and the account would be served too much meanwhile.
    pub fn raise_estimate(&mut self, grant: &GrantId, charged_tokens: u64) {
        let Some(held) = self.held.get_mut(grant) else {
            return;
        };
        if charged_tokens > held.holding.estimate_tokens {
            held.holding.estimate_tokens = charged_tokens + charged_tokens / 2;
            self.held.mark_changed(grant);
        }
    }

    /// Adds what a request received under a grant, and returns the endpoint that served it.
    pub fn settle(
        &mut self,
        grant: &GrantId,
        account: &AccountId,
        charged_tokens: u64,
    ) -> Option<EndpointId> {
        *self.served.entry(account.clone()).or_default() += charged_tokens;
        self.changed_served.insert(account.clone());
        let holding = &mut self.held.get_mut(grant)?.holding;
        holding.estimate_tokens = holding.estimate_tokens.saturating_sub(charged_tokens);
        let endpoint = holding.endpoint.clone();
        self.held.mark_changed(grant);
        Some(endpoint)
    }

    /// Ends a grant.
    pub fn release(&mut self, grant: &GrantId) {
        self.held.remove(grant);
        self.ended.push(grant.clone());
        self.urgent |= self.contended;
    }

    /// Notes what an attempt told about its endpoint.
    pub fn note_result(&mut self, endpoint: &EndpointId, started_ago: Duration, end: AttemptEnd) {
        match end {
            AttemptEnd::Finished { first_byte, .. } => {
                self.results.answered(endpoint, first_byte, started_ago);
            }
            AttemptEnd::Failed { failure, .. } => {
                if let Some(kind) = failure.endpoint_failure() {
                    self.results.failed(endpoint, kind, started_ago);
                    self.urgent = true;
                }
            }
            AttemptEnd::CallerGone { .. } => {}
        }
    }

    /// Learns how long a request of an account ran.
    pub fn learn_run_time(&mut self, account: &AccountId, run: Duration) {
        self.run_times.learn(account, run);
    }

    /// Tells how soon the home has to be told something.
    pub fn urgency(&self) -> Urgency {
        if self.home.is_none() {
            return Urgency::None;
        }
        if self.urgent || self.full_wanted {
            return Urgency::Urgent;
        }
        let lazy = !self.changed_lanes.is_empty()
            || !self.ended.is_empty()
            || !self.changed_served.is_empty()
            || self.held.has_changes()
            || !self.results.is_empty()
            || self.unacknowledged;
        if lazy { Urgency::Lazy } else { Urgency::None }
    }

    /// Makes the report that the home is due, if any. `head` gives the facts of a waiting request.
    pub fn report(
        &mut self,
        from: &Member,
        least: Urgency,
        head: impl Fn(RequestKey) -> Option<HeadFacts>,
    ) -> Option<(Member, EntryReport)> {
        if self.urgency() == Urgency::None {
            return None;
        }
        let home = self.home.clone()?;
        self.sequence += 1;
        self.urgent = false;
        self.unacknowledged = false;
        let full = std::mem::take(&mut self.full_wanted);
        if full {
            self.mark_all_changed();
        }
        let lanes = std::mem::take(&mut self.changed_lanes);
        let demand: Vec<Demand> = lanes.iter().map(|lane| self.demand(lane, &head)).collect();
        let demand = demand.into_iter().zip(&lanes);
        let demand = demand.filter_map(|(demand, lane)| self.tell(demand, lane, full));
        let demand = demand.collect();
        let served = std::mem::take(&mut self.changed_served);
        let report = EntryReport {
            from: from.clone(),
            pool: self.id.clone(),
            sequence: self.sequence,
            full,
            grants_received: self.grants_received,
            demand,
            holdings: self.held.take_changes(),
            ended: std::mem::take(&mut self.ended),
            results: self.results_for(least),
            served: served
                .into_iter()
                .map(|account| Served {
                    total_tokens: self.served[&account],
                    account,
                })
                .collect(),
        };
        Some((home, report))
    }

    /// Takes the results if they are due: whole answers can wait for the next lazy report, failures
    /// cannot.
    fn results_for(&mut self, least: Urgency) -> Vec<EndpointResult> {
        if least == Urgency::Lazy || self.results.has_failures() {
            self.results.take()
        } else {
            Vec::new()
        }
    }

    fn mark_all_changed(&mut self) {
        self.told.clear();
        self.changed_lanes.extend(self.queue.lanes().cloned());
        self.held.mark_all_changed();
        self.changed_served.extend(self.served.keys().cloned());
    }

    /// Notes what the home is told of a lane; leaves out what it knows already.
    fn tell(&mut self, demand: Demand, lane: &Lane, full: bool) -> Option<Demand> {
        let known = self.told.get(lane).copied().unwrap_or_default();
        if !full && known.waiting == 0 && demand.waiting == 0 {
            return None;
        }
        if demand.waiting == 0 {
            self.told.remove(lane);
        } else {
            let told = Told {
                waiting: demand.waiting,
                granted: 0,
                cost_tokens: demand.head_cost_tokens,
            };
            self.told.insert(lane.clone(), told);
        }
        Some(demand)
    }

    /// Notes that a lane changed. It is urgent when the home believes that nothing waits there.
    fn lane_changed(&mut self, lane: Lane) {
        let told = self.told.get(&lane).copied().unwrap_or_default();
        if told.waiting <= told.granted && self.queue.lane_len(&lane) > 0 {
            self.urgent = true;
        }
        self.changed_lanes.insert(lane);
    }

    /// Counts a lane in bundles. Requests that grants in use will come to are counted as well: an
    /// account that seems to wait for nothing meanwhile would lose what it is owed each time.
    fn demand(&self, lane: &Lane, head: &impl Fn(RequestKey) -> Option<HeadFacts>) -> Demand {
        let waiting = self.queue.lane_len(lane);
        let requests = self.run_times.bundle_size(&lane.account, self.grant_span);
        let facts = self.queue.head(lane).and_then(head);
        let cost_tokens = facts.map_or(0, |facts| facts.cost_tokens);
        Demand {
            account: lane.account.clone(),
            class: lane.class,
            waiting: waiting.div_ceil(requests),
            head_cost_tokens: cost_tokens * u64::from(requests.min(waiting)),
            head_prefix: facts.and_then(|facts| facts.prefix),
        }
    }
}

fn lane(account: &AccountId, class: RequestClass) -> Lane {
    Lane {
        account: account.clone(),
        class,
    }
}
