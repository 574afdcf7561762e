//! How many requests endpoints get that have started a moment ago.
//!
//! A cold endpoint crashes when all hosts together send it more requests a second than it states. Hosts hear of each
//! other's work too late to count them together, so only a few hosts send to each cold endpoint, and each of them
//! keeps to a fixed part of the bound.
//!
//! These hosts are the first in rank among those that are registered in the store, whether they live or not. Hosts that
//! are cut off from one another disagree about who lives, and each part of a divided fleet would choose hosts of its
//! own. A dead host's part stays unused until the endpoint is warm.

use std::collections::VecDeque;
use std::time::Duration;

use nohash_hasher::IntMap;

use crate::hashing::pair_hash;
use crate::peer_hosts::ListedHost;

/// Hosts that send to a cold endpoint.
const SENDERS: usize = 2;
/// Hosts among which the bound is divided. Lists that differ by the hosts added or removed meanwhile name
/// further senders, and a host that restarts forgets what it has sent.
const BOUND_PARTS: f64 = 4.0;
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Keeps the choice of senders apart from other choices by hash.
const SENDER_SALT: u64 = 0x5f03;

/// What a service states of its endpoints' first seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long an endpoint is cold after it has started.
    pub duration: Duration,
    /// Requests that it bears in a second meanwhile, from all hosts together.
    pub requests_per_s: f64,
}

/// How far requests may go beyond what a cold endpoint states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartBounds {
    /// Factor on the stated rate.
    pub overshoot: f64,
    /// Requests beyond it in any second.
    pub slack: f64,
}

impl Default for ColdStartBounds {
    fn default() -> Self {
        Self {
            overshoot: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdStartBounds {
    /// Returns how many requests one host may send to a cold endpoint in any second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_fleet::cold_start::{ColdStart, ColdStartBounds};
    ///
    /// let bounds = ColdStartBounds { overshoot: 1.5, slack: 3.0 };
    /// let stated = ColdStart { duration: Duration::from_secs(3), requests_per_s: 10.0 };
    /// assert_eq!(bounds.requests_per_host(stated), 4);
    /// ```
    pub fn requests_per_host(self, stated: ColdStart) -> usize {
        let bound = stated.requests_per_s * self.overshoot + self.slack;
        // Rounded down, and zero for bounds that are no number.
        (bound / BOUND_PARTS) as usize
    }
}

/// The cold endpoints, as far as this host knows.
#[derive(Debug)]
pub struct ColdEndpoints {
    own_host: u64,
    hosts: Vec<u64>,
    bounds: ColdStartBounds,
    endpoints: IntMap<u64, ColdEndpoint>,
}

#[derive(Debug, Default)]
struct ColdEndpoint {
    until: Duration,
    /// Requests that this host may send in any second; none if it isn't among the senders.
    most_sent: usize,
    sent_at: VecDeque<Duration>,
}

impl ColdEndpoints {
    /// Creates the state of a host that knows of no other and of no cold endpoint.
    pub fn new(own_host: u64, bounds: ColdStartBounds) -> Self {
        Self {
            own_host,
            hosts: Vec::new(),
            bounds,
            endpoints: IntMap::default(),
        }
    }

    /// Sets the bounds. Endpoints that are cold already keep theirs.
    pub fn set_bounds(&mut self, bounds: ColdStartBounds) {
        self.bounds = bounds;
    }

    /// Takes in which hosts are registered. A host that is a sender no more sends nothing from now on.
    pub fn on_hosts_listed(&mut self, listed: &[ListedHost]) {
        self.hosts = listed.iter().map(|listed| listed.host).collect();
        let endpoints: Vec<_> = self.endpoints.keys().copied().collect();
        for endpoint in endpoints {
            if !self.is_sender(endpoint)
                && let Some(cold) = self.endpoints.get_mut(&endpoint)
            {
                cold.most_sent = 0;
            }
        }
    }

    /// Notes that an endpoint is cold, or probably is, until `until` at least. What was noted before holds on: an entry
    /// may be older than what this host has seen of the endpoint.
    pub fn mark_cold(&mut self, endpoint: u64, stated: ColdStart, until: Duration) {
        let most_sent = match self.is_sender(endpoint) {
            true => self.bounds.requests_per_host(stated),
            false => 0,
        };
        let cold = self.endpoints.entry(endpoint).or_default();
        cold.until = cold.until.max(until);
        cold.most_sent = most_sent;
    }

    /// Notes that a request was sent.
    pub fn on_sent(&mut self, now: Duration, endpoint: u64) {
        if let Some(cold) = self.endpoints.get_mut(&endpoint) {
            cold.sent_at.push_back(now);
            while cold.sent_at.len() > cold.most_sent.max(1) {
                cold.sent_at.pop_front();
            }
        }
    }

    /// Tells whether this host may send a request to the endpoint now.
    pub fn may_send(&self, now: Duration, endpoint: u64) -> bool {
        let cold = self.endpoints.get(&endpoint);
        cold.is_none_or(|cold| now >= cold.until || cold.has_room(now))
    }

    /// Returns when the endpoint is warm, if it is cold and this host sends it nothing before.
    pub fn closed_until(&self, now: Duration, endpoint: u64) -> Option<Duration> {
        let cold = self.endpoints.get(&endpoint);
        let cold = cold.filter(|cold| now < cold.until && cold.most_sent == 0);
        cold.map(|cold| cold.until)
    }

    /// Returns the cold endpoints to which this host may send a request now.
    pub fn open_endpoints(&self, now: Duration) -> impl Iterator<Item = u64> + '_ {
        let open = self.endpoints.iter();
        let open = open.filter(move |(_, cold)| now < cold.until && cold.has_room(now));
        open.map(|(endpoint, _)| *endpoint)
    }

    /// Returns how many endpoints are cold.
    pub fn cold_count(&self, now: Duration) -> usize {
        let cold = self.endpoints.values();
        cold.filter(|cold| now < cold.until).count()
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.endpoints.remove(&endpoint);
    }

    /// Forgets endpoints that have been warm for so long that nothing sent to them counts any more.
    pub fn tick(&mut self, now: Duration) {
        self.endpoints
            .retain(|_, cold| now < cold.until.saturating_add(WINDOW));
    }

    fn is_sender(&self, endpoint: u64) -> bool {
        let score = |host: u64| (pair_hash(endpoint ^ SENDER_SALT, host), host);
        if !self.hosts.contains(&self.own_host) {
            // A host that isn't registered is no sender in anybody's list.
            return false;
        }
        let own = score(self.own_host);
        let before = self.hosts.iter().filter(|host| score(**host) < own);
        before.count() < SENDERS
    }
}

impl ColdEndpoint {
    fn has_room(&self, now: Duration) -> bool {
        let lately = self.sent_at.iter();
        let lately = lately.filter(|at| now.saturating_sub(**at) <= WINDOW);
        lately.count() < self.most_sent
    }
}
