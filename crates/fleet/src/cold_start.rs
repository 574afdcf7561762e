//! Limits the requests to endpoints that have just started.
//!
//! A cold endpoint crashes if all hosts together send it more requests a second than it states.
//! Hosts learn of each other's work too late to count requests together, so only a few hosts send
//! to each cold endpoint, and each of them is limited to a fixed part of the bound.
//!
//! These hosts are the first in rank among those registered in the store, whether they are alive or
//! not. Hosts that are cut off from one another disagree about which hosts are alive, and each part
//! of a divided fleet would choose its own senders. A dead host's part stays unused until the
//! endpoint is warm.

use std::collections::VecDeque;
use std::time::Duration;

use nohash_hasher::IntMap;

use crate::hashing::pair_hash;
use crate::peer_hosts::ListedHost;

/// Number of hosts that send to a cold endpoint.
const SENDERS_PER_ENDPOINT: usize = 2;
/// Number of parts into which the bound is divided. It exceeds the number of senders: lists of
/// hosts that differ by recently added or removed hosts name further senders, and a host that
/// restarts forgets what it has sent.
const BOUND_PARTS: f64 = 4.0;
/// Time over which requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Salt that makes the choice of senders independent of other choices by hash.
const SENDER_SALT: u64 = 0x5f03;

/// Cold start properties that a service states for its endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time after its start for which an endpoint is cold.
    pub duration: Duration,
    /// Requests a second that a cold endpoint can take, from all hosts together.
    pub requests_per_s: f64,
}

/// Tolerance beyond the request rate that a cold endpoint states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartBounds {
    /// Factor on the stated rate.
    pub overshoot: f64,
    /// Requests beyond the scaled rate in any second.
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
    /// Returns the number of requests that one host may send to a cold endpoint in any second.
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
        // Rounded down; zero if the bound is NaN.
        (bound / BOUND_PARTS) as usize
    }
}

/// The cold endpoints known to this host.
#[derive(Debug)]
pub struct ColdEndpoints {
    own_host: u64,
    listed_hosts: Vec<u64>,
    bounds: ColdStartBounds,
    endpoints: IntMap<u64, ColdEndpoint>,
}

#[derive(Debug, Default)]
struct ColdEndpoint {
    cold_until: Duration,
    /// Requests that this host may send in any second; 0 if it is not a sender.
    max_requests_per_window: usize,
    sent_at: VecDeque<Duration>,
}

impl ColdEndpoints {
    /// Creates the state of a host that knows no other host and no cold endpoint.
    pub fn new(own_host: u64, bounds: ColdStartBounds) -> Self {
        Self {
            own_host,
            listed_hosts: Vec::new(),
            bounds,
            endpoints: IntMap::default(),
        }
    }

    /// Sets the bounds. Endpoints that are already cold keep theirs.
    pub fn set_bounds(&mut self, bounds: ColdStartBounds) {
        self.bounds = bounds;
    }

    /// Applies the list of registered hosts. A host that is no longer a sender sends nothing from
    /// now on.
    pub fn on_hosts_listed(&mut self, listed: &[ListedHost]) {
        self.listed_hosts = listed.iter().map(|listed| listed.host).collect();
        let endpoints: Vec<_> = self.endpoints.keys().copied().collect();
        for endpoint in endpoints {
            if !self.is_sender(endpoint)
                && let Some(cold) = self.endpoints.get_mut(&endpoint)
            {
                cold.max_requests_per_window = 0;
            }
        }
    }

    /// Records that an endpoint is cold, or probably is, until `until` at least. A later time that
    /// was recorded before stays: an entry may be older than what this host has seen of the
    /// endpoint.
    pub fn mark_cold(&mut self, endpoint: u64, stated: ColdStart, until: Duration) {
        let max_requests_per_window = match self.is_sender(endpoint) {
            true => self.bounds.requests_per_host(stated),
            false => 0,
        };
        let cold = self.endpoints.entry(endpoint).or_default();
        cold.cold_until = cold.cold_until.max(until);
        cold.max_requests_per_window = max_requests_per_window;
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: Duration, endpoint: u64) {
        if let Some(cold) = self.endpoints.get_mut(&endpoint) {
            cold.sent_at.push_back(now);
            while cold.sent_at.len() > cold.max_requests_per_window.max(1) {
                cold.sent_at.pop_front();
            }
        }
    }

    /// Returns whether this host may send a request to the endpoint now.
    pub fn may_send(&self, now: Duration, endpoint: u64) -> bool {
        let cold = self.endpoints.get(&endpoint);
        cold.is_none_or(|cold| now >= cold.cold_until || cold.has_room(now))
    }

    /// Returns when the endpoint becomes warm, if it is cold and this host sends it nothing before.
    pub fn closed_until(&self, now: Duration, endpoint: u64) -> Option<Duration> {
        let cold = self.endpoints.get(&endpoint);
        let cold = cold.filter(|cold| now < cold.cold_until && cold.max_requests_per_window == 0);
        cold.map(|cold| cold.cold_until)
    }

    /// Returns the cold endpoints to which this host may send a request now.
    pub fn open_endpoints(&self, now: Duration) -> impl Iterator<Item = u64> + '_ {
        let open = self.endpoints.iter();
        let open = open.filter(move |(_, cold)| now < cold.cold_until && cold.has_room(now));
        open.map(|(endpoint, _)| *endpoint)
    }

    /// Returns the number of cold endpoints.
    pub fn cold_count(&self, now: Duration) -> usize {
        let cold = self.endpoints.values();
        cold.filter(|cold| now < cold.cold_until).count()
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: u64) {
        self.endpoints.remove(&endpoint);
    }

    /// Forgets endpoints that have been warm for so long that no request sent to them counts any
    /// more.
    pub fn tick(&mut self, now: Duration) {
        self.endpoints
            .retain(|_, cold| now < cold.cold_until.saturating_add(RATE_WINDOW));
    }

    fn is_sender(&self, endpoint: u64) -> bool {
        let score = |host: u64| (pair_hash(endpoint ^ SENDER_SALT, host), host);
        if !self.listed_hosts.contains(&self.own_host) {
            // A host that is not registered is not a sender in any host's list.
            return false;
        }
        let own = score(self.own_host);
        let higher_ranked = self.listed_hosts.iter().filter(|host| score(**host) < own);
        higher_ranked.count() < SENDERS_PER_ENDPOINT
    }
}

impl ColdEndpoint {
    fn has_room(&self, now: Duration) -> bool {
        let recent = self.sent_at.iter();
        let recent = recent.filter(|at| now.saturating_sub(**at) <= RATE_WINDOW);
        recent.count() < self.max_requests_per_window
    }
}
