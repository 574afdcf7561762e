//! State of one pool at an entry router: its waiting requests, the grants it holds, and the changes
//! not yet reported to the home of the pool.

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

/// Request classes in the order in which a grant in use serves them.
const CLASSES_BY_PRIORITY: [RequestClass; 2] = [RequestClass::Interactive, RequestClass::Deferred];
/// Maximum number of missing grants listed one by one; if more are missing, a full report lists
/// the grants in use instead.
const MAX_MISSING_GRANTS: u64 = 256;
/// Time in use from which on the end of a grant may be reported late: the delay is then only a
/// small part of the time.
const LONG_GRANT_DURATION: Duration = Duration::from_secs(2);
/// Divisor of a cost that gives the error tolerated without a report to the home.
const COST_TOLERANCE_DIVISOR: u64 = 8;

/// How soon changes must be reported to the home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing changed.
    None,
    /// No slot or waiting request depends on the changes: they are reported with the next urgent
    /// change, or after the report interval.
    Lazy,
    /// Work may wait, or a slot may idle, until the home is informed.
    Urgent,
}

/// Last reported demand of a lane, and the number of grants received for it since.
#[derive(Debug, Clone, Copy, Default)]
struct ReportedLane {
    waiting: u32,
    granted: u32,
    cost_tokens: u64,
}

/// Cost and prefix of the first waiting request of a lane.
#[derive(Debug, Clone, Copy)]
pub struct LaneHead {
    /// Expected cost.
    pub cost_tokens: u64,
    /// Prefix of the prompt.
    pub prefix: Option<PrefixHash>,
}

/// One pool as seen by an entry router.
#[derive(Debug)]
pub struct EntryPool {
    id: PoolId,
    home: Option<Member>,
    queue: EntryQueue,
    held_grants: HeldGrants,
    served_tokens: BTreeMap<AccountId, u64>,
    run_times: RunTimes,
    grant_span: Duration,
    grants_received: u64,
    report_sequence: u64,
    full_report_requested: bool,
    has_urgent_changes: bool,
    slots_contended: bool,
    reported_lanes: BTreeMap<Lane, ReportedLane>,
    changed_lanes: BTreeSet<Lane>,
    changed_served_accounts: BTreeSet<AccountId>,
    ended_grants: Vec<GrantId>,
    acknowledgement_due: bool,
    attempt_results: AttemptResults,
}

impl EntryPool {
    /// Creates the view of a pool that has no home yet. A grant covers the requests that run within
    /// `grant_span`, and at least one request.
    pub fn new(id: PoolId, grant_span: Duration) -> Self {
        Self {
            id,
            home: None,
            queue: EntryQueue::default(),
            held_grants: HeldGrants::default(),
            served_tokens: BTreeMap::new(),
            run_times: RunTimes::default(),
            grant_span,
            grants_received: 0,
            report_sequence: 0,
            full_report_requested: false,
            has_urgent_changes: false,
            slots_contended: false,
            reported_lanes: BTreeMap::new(),
            changed_lanes: BTreeSet::new(),
            changed_served_accounts: BTreeSet::new(),
            ended_grants: Vec::new(),
            acknowledgement_due: false,
            attempt_results: AttemptResults::default(),
        }
    }

    /// Applies a changed time span of a grant.
    pub fn set_grant_span(&mut self, grant_span: Duration) {
        self.grant_span = grant_span;
    }

    /// Sets the home of the pool; a different home than before gets a full report.
    ///
    /// The report sequence continues. The members seen here may have changed and changed back
    /// without the home knowing. If the sequence restarted, the home would drop all reports up to
    /// the last sequence it knows, and the callers here would wait that long.
    pub fn set_home(&mut self, home: Option<Member>) {
        if self.home != home {
            self.home = home;
            self.grants_received = 0;
            self.full_report_requested = true;
        }
    }

    /// Makes the next report a full one.
    pub fn request_full_report(&mut self) {
        self.full_report_requested = true;
    }

    /// Tells whether the home of the pool runs on a host.
    pub fn is_homed_on(&self, host: &HostId) -> bool {
        self.home.as_ref().is_some_and(|home| home.host == *host)
    }

    /// Returns the home of the pool.
    pub fn home(&self) -> Option<&Member> {
        self.home.as_ref()
    }

    /// Returns a run time that few requests of the account stay below; zero while none is known.
    pub fn min_run_time(&self, account: &AccountId) -> Duration {
        self.run_times.min_run_time(account)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.queue.waiting()
    }

    /// Returns the number of waiting requests of an account that run before a new one of `class`.
    pub fn requests_ahead(&self, account: &AccountId, class: RequestClass) -> u32 {
        let before = CLASSES_BY_PRIORITY.iter().filter(|other| **other <= class);
        before
            .map(|other| self.queue.lane_len(&lane(account, *other)))
            .sum()
    }

    /// Returns the number of accounts with waiting requests here, counting `account` in any case.
    pub fn backlogged_accounts_with(&self, account: &AccountId) -> u32 {
        let others: BTreeSet<&AccountId> = self
            .queue
            .lanes()
            .map(|lane| &lane.account)
            .filter(|waiting| *waiting != account)
            .collect();
        others.len() as u32 + 1
    }

    /// Returns the number of waiting requests of an account.
    pub fn waiting_of_account(&self, account: &AccountId) -> u32 {
        CLASSES_BY_PRIORITY
            .iter()
            .map(|class| self.queue.lane_len(&lane(account, *class)))
            .sum()
    }

    /// Returns the id of the pool.
    pub(crate) fn id(&self) -> &PoolId {
        &self.id
    }

    /// Returns the accounts that have waiting or running requests, or received service.
    pub(crate) fn account_views(&self) -> Vec<AccountView> {
        let mut views = BTreeMap::new();
        for lane in self.queue.lanes() {
            self.view_mut(&mut views, &lane.account).waiting_requests += self.queue.lane_len(lane);
        }
        for holding in self.held_grants.holdings() {
            self.view_mut(&mut views, &holding.account).running_requests += 1;
        }
        for (account, served_tokens) in &self.served_tokens {
            self.view_mut(&mut views, account).served_tokens = *served_tokens;
        }
        views.into_values().collect()
    }

    fn view_mut<'a>(
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

    /// Adds a waiting request; `at_front` puts a request that was delayed first in its lane.
    pub fn enqueue(&mut self, lane: Lane, key: RequestKey, at_front: bool) {
        if at_front {
            self.queue.push_front(lane.clone(), key);
        } else {
            self.queue.push_back(lane.clone(), key);
        }
        self.mark_lane_changed(lane);
    }

    /// Removes a waiting request; false when it is not in the lane.
    pub fn remove_waiting(&mut self, lane: &Lane, key: RequestKey) -> bool {
        let removed = self.queue.remove(lane, key);
        if removed {
            self.mark_lane_changed(lane.clone());
        }
        removed
    }

    /// Records what the end of an attempt says about the health of its endpoint.
    pub fn record_result(&mut self, endpoint: &EndpointId, started_ago: Duration, end: AttemptEnd) {
        match end {
            AttemptEnd::Finished { first_byte, .. } => {
                self.attempt_results
                    .record_answer(endpoint, first_byte, started_ago);
            }
            AttemptEnd::Failed { failure, .. } => {
                if let Some(kind) = failure.endpoint_failure() {
                    self.attempt_results
                        .record_failure(endpoint, kind, started_ago);
                    self.has_urgent_changes = true;
                }
            }
            AttemptEnd::CallerGone { .. } => {}
        }
    }

    /// Records how long a request of an account ran.
    pub fn record_run_time(&mut self, account: &AccountId, run: Duration) {
        self.run_times.learn(account, run);
    }
}

fn lane(account: &AccountId, class: RequestClass) -> Lane {
    Lane {
        account: account.clone(),
        class,
    }
}
