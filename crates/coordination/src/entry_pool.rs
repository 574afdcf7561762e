//! What an entry router knows of one pool: its waiting requests, the grants it holds and what the
//! pool's home has not been told yet.

mod grants;
mod reports;

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
use crate::held_grants::HeldGrants;
use crate::node_view::AccountView;
use crate::pool_messages::GrantId;
use crate::pool_messages::PrefixHash;
use crate::run_times::RunTimes;

/// Classes in the order in which a grant is used.
const CLASSES: [RequestClass; 2] = [RequestClass::Interactive, RequestClass::Deferred];
/// Most missing grants that are named one by one; after more, a full report says what is held.
const MAX_MISSING_GRANTS: u64 = 256;
/// Time in use from which on the end of a grant may be told late, as a small part of it.
const LONG_GRANT: Duration = Duration::from_secs(2);
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

    /// Returns a time in which hardly a request of the account runs.
    pub fn least_run(&self, account: &AccountId) -> Duration {
        self.run_times.least(account)
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
            self.view_of(&mut views, &lane.account).waiting_requests += self.queue.lane_len(lane);
        }
        for holding in self.held.holdings() {
            self.view_of(&mut views, &holding.account).running_requests += 1;
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
            waiting_requests: 0,
            running_requests: 0,
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
}

fn lane(account: &AccountId, class: RequestClass) -> Lane {
    Lane {
        account: account.clone(),
        class,
    }
}
