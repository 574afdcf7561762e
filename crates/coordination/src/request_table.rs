//! Requests of the callers of an entry router that have no final answer yet, and their attempts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;

use crate::entry_events::Arrival;
use crate::entry_events::AttemptKey;
use crate::entry_events::RequestKey;
use crate::entry_queue::Lane;
use crate::pool_messages::GrantId;

/// A request without a final answer.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) attempts: u32,
    pub(crate) sent_tokens: u64,
    pub(crate) may_have_run: bool,
    pub(crate) head_sent: bool,
    pub(crate) state: RequestState,
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// In the queue of its pool.
    Queued,
    /// Queued again at this time.
    Delayed(Duration),
    /// Running on an endpoint.
    Running,
}

impl Request {
    pub(crate) fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            attempts: 0,
            sent_tokens: 0,
            may_have_run: false,
            head_sent: false,
            state: RequestState::Queued,
        }
    }

    pub(crate) fn lane(&self) -> Lane {
        Lane {
            account: self.arrival.account.clone(),
            class: self.arrival.class,
        }
    }
}

/// A running attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) key: RequestKey,
    pub(crate) grant: GrantId,
    pub(crate) started_at: Duration,
}

/// Requests by key, by deadline and by the time until which they are delayed.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestKey, Request>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    deadlines: BTreeSet<(Duration, RequestKey)>,
    delayed: BTreeSet<(Duration, RequestKey)>,
    in_progress: BTreeMap<AccountId, u32>,
    next_attempt: u64,
}

impl RequestTable {
    pub(crate) fn get(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(&key)
    }

    pub(crate) fn insert(&mut self, request: Request) {
        let key = request.arrival.key;
        self.deadlines.insert((request.arrival.deadline, key));
        let account = request.arrival.account.clone();
        *self.in_progress.entry(account).or_default() += 1;
        self.requests.insert(key, request);
    }

    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.requests.remove(&key)?;
        self.deadlines.remove(&(request.arrival.deadline, key));
        if let RequestState::Delayed(until) = request.state {
            self.delayed.remove(&(until, key));
        }
        let account = &request.arrival.account;
        if let Some(count) = self.in_progress.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.in_progress.remove(account);
            }
        }
        Some(request)
    }

    /// Returns the number of requests of an account that are queued, delayed or running.
    pub(crate) fn in_progress_of_account(&self, account: &AccountId) -> u32 {
        self.in_progress.get(account).copied().unwrap_or(0)
    }

    pub(crate) fn delay(&mut self, key: RequestKey, until: Duration) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.state = RequestState::Delayed(until);
            self.delayed.insert((until, key));
        }
    }

    /// Takes a delayed request that is due to be queued again.
    pub(crate) fn take_due(&mut self, now: Duration) -> Option<RequestKey> {
        let (until, key) = *self.delayed.first()?;
        if until > now {
            return None;
        }
        self.delayed.pop_first();
        Some(key)
    }

    /// Returns a waiting request whose deadline has passed.
    ///
    /// A running request is ended by its attempt, which knows what was already sent to the caller.
    pub(crate) fn next_expired(&mut self, now: Duration) -> Option<RequestKey> {
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                return None;
            }
            if self.requests[&key].state != RequestState::Running {
                return Some(key);
            }
            self.deadlines.pop_first();
        }
        None
    }

    /// Returns the time at which the next delayed request is due.
    pub(crate) fn next_due_at(&self) -> Option<Duration> {
        self.delayed.first().map(|(until, _)| *until)
    }

    /// Returns the requests that were never attempted.
    pub(crate) fn never_attempted(&self) -> Vec<RequestKey> {
        let never_attempted = self.requests.values().filter(|r| r.attempts == 0);
        never_attempted.map(|request| request.arrival.key).collect()
    }

    pub(crate) fn start_attempt(
        &mut self,
        key: RequestKey,
        grant: GrantId,
        started_at: Duration,
    ) -> AttemptKey {
        let attempt = AttemptKey(self.next_attempt);
        self.next_attempt += 1;
        let started = Attempt {
            key,
            grant,
            started_at,
        };
        self.attempts.insert(attempt, started);
        attempt
    }

    pub(crate) fn attempt(&self, attempt: AttemptKey) -> Option<&Attempt> {
        self.attempts.get(&attempt)
    }

    pub(crate) fn end_attempt(&mut self, attempt: AttemptKey) -> Option<Attempt> {
        self.attempts.remove(&attempt)
    }

    pub(crate) fn running(&self) -> usize {
        self.attempts.len()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}
