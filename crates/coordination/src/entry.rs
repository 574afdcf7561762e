//! The entry router: keeps its callers' requests, tells each pool's home what waits, and binds a
//! granted slot to the account's first waiting request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_state::settings::RequestClass;
use sedgeridge_state::settings::RetrySettings;

use crate::cost_estimate::CostEstimates;
use crate::entry_pool::EntryPool;
use crate::entry_queue::Lane;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;
use crate::pool_messages::PrefixHash;
use crate::refusal::Outcome;
use crate::refusal::RefusalReason;

/// Identifies a request within one router run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// Identifies an attempt within one router run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey(pub u64);

/// A request that a caller sent to this router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the request.
    pub key: RequestKey,
    /// The client account.
    pub account: AccountId,
    /// The pool that runs it.
    pub pool: PoolId,
    /// Rank within the account.
    pub class: RequestClass,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Rough hint of its cost.
    pub hint_tokens: u64,
    /// Prefix of the prompt.
    pub prefix: Option<PrefixHash>,
    /// Time since the process started by which the answer must be complete.
    pub deadline: Duration,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer went to the caller.
    Finished {
        /// Service received.
        charged_tokens: u64,
    },
    /// No byte of the request can have reached the endpoint, or it refused before starting.
    NotStarted,
    /// The answer broke off or never came.
    Broken {
        /// Output tokens that went to the caller over all attempts.
        sent_tokens: u64,
        /// Service received in this attempt.
        charged_tokens: u64,
    },
    /// The caller went away.
    CallerGone {
        /// Service received.
        charged_tokens: u64,
    },
}

/// What happens to the entry router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryEvent {
    /// A caller sent a request.
    Arrived(Arrival),
    /// A home granted a slot.
    Granted(Grant),
    /// A home asks for a full report.
    FullReportWanted {
        /// The pool.
        pool: PoolId,
    },
    /// Messages to a home were lost: it is told everything again.
    HomeResync {
        /// The host of the home.
        host: HostId,
    },
    /// A pool has another home now; `None` while there is none.
    HomeChanged {
        /// The pool.
        pool: PoolId,
        /// Its home.
        home: Option<Member>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A waiting request's caller went away.
    CallerGone {
        /// The request.
        key: RequestKey,
    },
    /// The router was told to stop: what waits is refused, what runs is finished.
    StopRequested,
    /// Time passed.
    Tick,
}

/// What the entry router wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Run the request on an endpoint.
    Start {
        /// The request.
        key: RequestKey,
        /// The attempt.
        attempt: AttemptKey,
        /// The endpoint.
        endpoint: EndpointId,
        /// Output tokens that the caller already holds.
        resume_after_tokens: u64,
    },
    /// Give the caller its final answer now.
    GiveUp {
        /// The request.
        key: RequestKey,
        /// Why.
        reason: RefusalReason,
        /// Whether the request ran.
        outcome: Outcome,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// An attempt failed and the request waits for another one.
    Retried {
        /// The request.
        key: RequestKey,
        /// Why.
        reason: RetryReason,
    },
    /// Send a report to the home of its pool.
    Report {
        /// The home.
        to: Member,
        /// The report.
        report: EntryReport,
    },
}

/// Why a request is attempted again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// The endpoint could not be reached or refused before starting.
    NotStarted,
    /// The answer broke off.
    Broken,
}

impl RetryReason {
    /// Returns the stable name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotStarted => "not_started",
            Self::Broken => "broken",
        }
    }
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    attempts: u32,
    sent_tokens: u64,
    may_have_run: bool,
}

#[derive(Debug)]
struct Attempt {
    key: RequestKey,
    grant: GrantId,
}

/// Keeps the requests of one router's callers.
#[derive(Debug)]
pub struct Entry {
    member: Member,
    front: FrontSettings,
    retry: RetrySettings,
    requests: BTreeMap<RequestKey, Request>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    deadlines: BTreeSet<(Duration, RequestKey)>,
    pools: BTreeMap<PoolId, EntryPool>,
    estimates: CostEstimates,
    next_attempt: u64,
    waiting: u32,
    stopping: bool,
}

/// Time after which a caller whose pool has no known drain rate may come back.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Entry {
    /// Creates the entry part of the router run `member`.
    pub fn new(member: Member, front: FrontSettings, retry: RetrySettings) -> Self {
        Self {
            member,
            front,
            retry,
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            pools: BTreeMap::new(),
            estimates: CostEstimates::default(),
            next_attempt: 0,
            waiting: 0,
            stopping: false,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Arrived(arrival) => self.arrived(arrival, actions),
            EntryEvent::Granted(grant) => self.granted(&grant, actions),
            EntryEvent::FullReportWanted { pool } => self.pool(&pool).want_full(),
            EntryEvent::HomeResync { host } => {
                let homed = self
                    .pools
                    .values_mut()
                    .filter(|pool| pool.is_homed_on(&host));
                homed.for_each(EntryPool::want_full);
            }
            EntryEvent::HomeChanged { pool, home } => self.pool(&pool).set_home(home),
            EntryEvent::AttemptEnded { attempt, end } => {
                self.attempt_ended(now, attempt, end, actions);
            }
            EntryEvent::CallerGone { key } => {
                self.drop_waiting(key);
            }
            EntryEvent::StopRequested => self.stop(actions),
            EntryEvent::Tick => self.expire(now, actions),
        }
    }

    /// Appends a report for each pool about which something is new.
    pub fn report(&mut self, actions: &mut Vec<EntryAction>) {
        let requests = &self.requests;
        let estimates = &self.estimates;
        for pool in self.pools.values_mut() {
            let head = |key: RequestKey| {
                let arrival = &requests.get(&key)?.arrival;
                let cost_tokens = estimates.estimate(&arrival.account, arrival.hint_tokens);
                Some((cost_tokens, arrival.prefix))
            };
            if let Some((to, report)) = pool.report(&self.member, head) {
                actions.push(EntryAction::Report { to, report });
            }
        }
    }

    /// Tells whether some pool has news for its home.
    pub fn has_news(&self) -> bool {
        self.pools.values().any(EntryPool::has_news)
    }

    /// Counts the requests that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Counts the requests that run.
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    fn pool(&mut self, id: &PoolId) -> &mut EntryPool {
        self.pools
            .entry(id.clone())
            .or_insert_with(|| EntryPool::new(id.clone()))
    }

    fn arrived(&mut self, arrival: Arrival, actions: &mut Vec<EntryAction>) {
        let key = arrival.key;
        if let Some(reason) = self.refusal(&arrival) {
            actions.push(give_up(key, reason, Outcome::NotRun));
            return;
        }
        let request = Request {
            arrival,
            attempts: 0,
            sent_tokens: 0,
            may_have_run: false,
        };
        self.requests.insert(key, request);
        self.enqueue(key, false);
    }

    fn refusal(&mut self, arrival: &Arrival) -> Option<RefusalReason> {
        if self.stopping {
            return Some(RefusalReason::Draining);
        }
        if self.waiting >= self.front.max_queue {
            return Some(RefusalReason::QueueFull);
        }
        let max_queue_per_account = self.front.max_queue_per_account;
        let of_account = self.pool(&arrival.pool).waiting_of(&arrival.account);
        (of_account >= max_queue_per_account).then_some(RefusalReason::AccountQueueFull)
    }

    fn enqueue(&mut self, key: RequestKey, first: bool) {
        let arrival = &self.requests[&key].arrival;
        let lane = lane_of(arrival);
        let pool = arrival.pool.clone();
        self.deadlines.insert((arrival.deadline, key));
        self.waiting += 1;
        self.pool(&pool).enqueue(lane, key, first);
    }

    fn granted(&mut self, grant: &Grant, actions: &mut Vec<EntryAction>) {
        let Some(key) = self.pool(&grant.pool).take_grant(grant) else {
            return;
        };
        self.waiting -= 1;
        let request = self
            .requests
            .get_mut(&key)
            .expect("a queued request is in the table");
        self.deadlines.remove(&(request.arrival.deadline, key));
        request.attempts += 1;
        let estimate_tokens = self
            .estimates
            .estimate(&request.arrival.account, request.arrival.hint_tokens);
        let resume_after_tokens = request.sent_tokens;
        let attempt = AttemptKey(self.next_attempt);
        self.next_attempt += 1;
        self.attempts.insert(
            attempt,
            Attempt {
                key,
                grant: grant.id.clone(),
            },
        );
        self.pool(&grant.pool).hold(grant, estimate_tokens);
        actions.push(EntryAction::Start {
            key,
            attempt,
            endpoint: grant.endpoint.clone(),
            resume_after_tokens,
        });
    }

    fn attempt_ended(
        &mut self,
        now: Duration,
        attempt: AttemptKey,
        end: AttemptEnd,
        actions: &mut Vec<EntryAction>,
    ) {
        let Some(Attempt { key, grant }) = self.attempts.remove(&attempt) else {
            return;
        };
        let request = self
            .requests
            .get_mut(&key)
            .expect("a running request is in the table");
        let account = request.arrival.account.clone();
        let pool = request.arrival.pool.clone();
        let hint_tokens = request.arrival.hint_tokens;
        let charged_tokens = match end {
            AttemptEnd::Finished { charged_tokens }
            | AttemptEnd::Broken { charged_tokens, .. }
            | AttemptEnd::CallerGone { charged_tokens } => charged_tokens,
            AttemptEnd::NotStarted => 0,
        };
        self.pool(&pool).release(&grant, &account, charged_tokens);
        match end {
            AttemptEnd::Finished { .. } => {
                self.estimates.learn(&account, hint_tokens, charged_tokens);
                self.requests.remove(&key);
            }
            AttemptEnd::CallerGone { .. } => {
                self.requests.remove(&key);
            }
            AttemptEnd::NotStarted => self.retry(now, key, RetryReason::NotStarted, actions),
            AttemptEnd::Broken { sent_tokens, .. } => {
                let request = self.requests.get_mut(&key).expect("checked above");
                request.sent_tokens = sent_tokens;
                request.may_have_run = true;
                self.retry(now, key, RetryReason::Broken, actions);
            }
        }
    }

    fn retry(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: RetryReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let request = &self.requests[&key];
        // A request that may not be repeated and may have run is never sent again: the caller
        // would see its effect twice. One that certainly did not start may go to another endpoint.
        let allowed = request.arrival.repeatable || !request.may_have_run;
        let in_time = now < request.arrival.deadline;
        if allowed && in_time && request.attempts < self.retry.max_attempts {
            actions.push(EntryAction::Retried { key, reason });
            self.enqueue(key, true);
            return;
        }
        let outcome = if request.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let why = match reason {
            RetryReason::NotStarted => RefusalReason::NoEndpoint,
            RetryReason::Broken => RefusalReason::EndpointFailed,
        };
        self.requests.remove(&key);
        actions.push(give_up(key, why, outcome));
    }

    fn drop_waiting(&mut self, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        let lane = lane_of(&request.arrival);
        let pool = request.arrival.pool.clone();
        let deadline = request.arrival.deadline;
        if !self.pool(&pool).remove_waiting(&lane, key) {
            return false;
        }
        self.waiting -= 1;
        self.deadlines.remove(&(deadline, key));
        self.requests.remove(&key);
        true
    }

    fn give_up_waiting(
        &mut self,
        key: RequestKey,
        reason: RefusalReason,
        actions: &mut Vec<EntryAction>,
    ) {
        let may_have_run = self.requests[&key].may_have_run;
        if self.drop_waiting(key) {
            let outcome = if may_have_run {
                Outcome::Unknown
            } else {
                Outcome::NotRun
            };
            actions.push(give_up(key, reason, outcome));
        }
    }

    fn expire(&mut self, now: Duration, actions: &mut Vec<EntryAction>) {
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.give_up_waiting(key, RefusalReason::DeadlinePassed, actions);
        }
    }

    fn stop(&mut self, actions: &mut Vec<EntryAction>) {
        self.stopping = true;
        let waiting: Vec<RequestKey> = self.deadlines.iter().map(|(_, key)| *key).collect();
        // A request that was attempted before is in progress for its caller, who may hold part of
        // the answer: it still gets its next attempt.
        for key in waiting {
            if self.requests[&key].attempts == 0 {
                self.give_up_waiting(key, RefusalReason::Draining, actions);
            }
        }
    }
}

fn lane_of(arrival: &Arrival) -> Lane {
    Lane {
        account: arrival.account.clone(),
        class: arrival.class,
    }
}

fn give_up(key: RequestKey, reason: RefusalReason, outcome: Outcome) -> EntryAction {
    EntryAction::GiveUp {
        key,
        reason,
        outcome,
        retry_after: reason.offers_retry_after().then_some(DEFAULT_RETRY_AFTER),
    }
}
