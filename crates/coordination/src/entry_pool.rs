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
use crate::entry_events::AttemptEnd;
use crate::entry_events::RequestKey;
use crate::entry_queue::EntryQueue;
use crate::entry_queue::Lane;
use crate::pool_messages::Demand;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;
use crate::pool_messages::Holding;
use crate::pool_messages::PrefixHash;
use crate::pool_messages::Served;

/// Classes in the order in which a grant is used.
const CLASSES: [RequestClass; 2] = [RequestClass::Interactive, RequestClass::Deferred];

/// Most missing grants that are named one by one; after more, a full report says what is held.
const MAX_MISSING_GRANTS: u64 = 256;

/// One pool as seen by an entry router.
#[derive(Debug)]
pub struct EntryPool {
    id: PoolId,
    home: Option<Member>,
    queue: EntryQueue,
    holdings: BTreeMap<GrantId, Holding>,
    served: BTreeMap<AccountId, u64>,
    grants_received: u64,
    sequence: u64,
    full_wanted: bool,
    changed_lanes: BTreeSet<Lane>,
    changed_holdings: BTreeSet<GrantId>,
    changed_served: BTreeSet<AccountId>,
    ended: Vec<GrantId>,
    results: AttemptResults,
}

impl EntryPool {
    /// Creates the view of a pool that has no home yet.
    pub fn new(id: PoolId) -> Self {
        Self {
            id,
            home: None,
            queue: EntryQueue::default(),
            holdings: BTreeMap::new(),
            served: BTreeMap::new(),
            grants_received: 0,
            sequence: 0,
            full_wanted: false,
            changed_lanes: BTreeSet::new(),
            changed_holdings: BTreeSet::new(),
            changed_served: BTreeSet::new(),
            ended: Vec::new(),
            results: AttemptResults::default(),
        }
    }

    /// Names the pool's home; another one than before is told everything.
    pub fn set_home(&mut self, home: Option<Member>) {
        if self.home != home {
            self.home = home;
            self.grants_received = 0;
            self.sequence = 0;
            self.full_wanted = true;
        }
    }

    /// Tells whether the pool's home stands on a host.
    pub fn is_homed_on(&self, host: &HostId) -> bool {
        self.home.as_ref().is_some_and(|home| home.host == *host)
    }

    /// Makes the next report a full one.
    pub fn want_full(&mut self) {
        self.full_wanted = true;
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

    /// Adds a waiting request, as the first of its lane when it was served in part before.
    pub fn enqueue(&mut self, lane: Lane, key: RequestKey, first: bool) {
        self.changed_lanes.insert(lane.clone());
        if first {
            self.queue.push_front(lane, key);
        } else {
            self.queue.push_back(lane, key);
        }
    }

    /// Takes a waiting request out.
    pub fn remove_waiting(&mut self, lane: &Lane, key: RequestKey) -> bool {
        let removed = self.queue.remove(lane, key);
        if removed {
            self.changed_lanes.insert(lane.clone());
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
        true
    }

    /// Gives back the grants between the last one received and this one.
    ///
    /// `grants_received` acknowledges all grants up to it. A grant lost on a broken connection would
    /// be acknowledged with them and hold its slot until the home compares lists. The first grant of
    /// a home tells nothing: homes begin their sequences anywhere.
    fn give_back_missing(&mut self, grant: &Grant) {
        if self.grants_received == 0 {
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
        let meant = std::iter::once(grant.class);
        let others = CLASSES.into_iter().filter(|class| *class != grant.class);
        for class in meant.chain(others) {
            let lane = lane(&grant.account, class);
            if let Some(key) = self.queue.pop(&lane) {
                self.changed_lanes.insert(lane);
                return Some(key);
            }
        }
        None
    }

    /// Gives back a grant that cannot be used.
    pub fn give_back(&mut self, grant: &Grant) {
        self.ended.push(grant.id.clone());
    }

    /// Records that a grant is in use.
    pub fn hold(&mut self, grant: &Grant, estimate_tokens: u64) {
        let holding = Holding {
            grant: grant.id.clone(),
            endpoint: grant.endpoint.clone(),
            account: grant.account.clone(),
            estimate_tokens,
        };
        self.changed_holdings.insert(grant.id.clone());
        self.holdings.insert(grant.id.clone(), holding);
    }

    /// Raises what a grant in use is expected to cost, once it has received more than that.
    ///
    /// A request that runs far over its estimate would keep its account at the front of the order
    /// until it ends, and the account would be served too much meanwhile.
    pub fn raise_estimate(&mut self, grant: &GrantId, charged_tokens: u64) {
        let Some(holding) = self.holdings.get_mut(grant) else {
            return;
        };
        if charged_tokens > holding.estimate_tokens {
            holding.estimate_tokens = charged_tokens + charged_tokens / 2;
            self.changed_holdings.insert(grant.clone());
        }
    }

    /// Ends a grant, adds what was received under it and returns its endpoint.
    pub fn release(
        &mut self,
        grant: &GrantId,
        account: &AccountId,
        charged_tokens: u64,
    ) -> Option<EndpointId> {
        let holding = self.holdings.remove(grant);
        self.changed_holdings.remove(grant);
        self.ended.push(grant.clone());
        *self.served.entry(account.clone()).or_default() += charged_tokens;
        self.changed_served.insert(account.clone());
        holding.map(|holding| holding.endpoint)
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
                }
            }
            AttemptEnd::CallerGone { .. } => {}
        }
    }

    /// Tells whether the home has something to be told.
    pub fn has_news(&self) -> bool {
        self.home.is_some()
            && (self.full_wanted
                || !self.changed_lanes.is_empty()
                || !self.ended.is_empty()
                || !self.changed_holdings.is_empty()
                || !self.changed_served.is_empty())
    }

    /// Makes the report that the home is due, if any. `head` gives the expected cost and the
    /// prefix of a waiting request.
    pub fn report(
        &mut self,
        from: &Member,
        head: impl Fn(RequestKey) -> Option<(u64, Option<PrefixHash>)>,
    ) -> Option<(Member, EntryReport)> {
        if !self.has_news() {
            return None;
        }
        let home = self.home.clone()?;
        self.sequence += 1;
        let full = std::mem::take(&mut self.full_wanted);
        if full {
            self.mark_all_changed();
        }
        let lanes = std::mem::take(&mut self.changed_lanes);
        let holdings = std::mem::take(&mut self.changed_holdings);
        let served = std::mem::take(&mut self.changed_served);
        let report = EntryReport {
            from: from.clone(),
            pool: self.id.clone(),
            sequence: self.sequence,
            full,
            grants_received: self.grants_received,
            demand: lanes.iter().map(|lane| self.demand(lane, &head)).collect(),
            holdings: holdings
                .iter()
                .filter_map(|grant| self.holdings.get(grant).cloned())
                .collect(),
            ended: std::mem::take(&mut self.ended),
            results: self.results.take(),
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

    fn mark_all_changed(&mut self) {
        self.changed_lanes.extend(self.queue.lanes().cloned());
        self.changed_holdings.extend(self.holdings.keys().cloned());
        self.changed_served.extend(self.served.keys().cloned());
    }

    fn demand(
        &self,
        lane: &Lane,
        head: &impl Fn(RequestKey) -> Option<(u64, Option<PrefixHash>)>,
    ) -> Demand {
        let (head_cost_tokens, head_prefix) =
            self.queue.head(lane).and_then(head).unwrap_or((0, None));
        Demand {
            account: lane.account.clone(),
            class: lane.class,
            waiting: self.queue.lane_len(lane),
            head_cost_tokens,
            head_prefix,
        }
    }
}

fn lane(account: &AccountId, class: RequestClass) -> Lane {
    Lane {
        account: account.clone(),
        class,
    }
}
