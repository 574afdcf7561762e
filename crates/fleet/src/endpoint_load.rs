//! Work in progress of the whole fleet on each endpoint.

use std::time::Duration;

use nohash_hasher::IntMap;

/// Maximum age of another host's report. A host that is silent for longer is considered gone, and its requests with it.
/// Short pauses of a host must not free its part of an endpoint.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Work in progress on one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Prompt tokens of requests that have not sent a first event yet.
    pub unread_tokens: u32,
    /// Requests in progress.
    pub requests: u32,
    /// Engine memory that requests in progress take, in tokens.
    pub memory_tokens: u32,
}

impl Load {
    pub fn add(&mut self, other: Self) {
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.requests = self.requests.saturating_add(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Subtracts a load that was added before.
    pub fn subtract(&mut self, other: Self) {
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.requests = self.requests.saturating_sub(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }

    /// Tells whether nothing is in progress.
    pub fn is_idle(self) -> bool {
        self == Self::default()
    }
}

/// Loads by endpoint: this host's own, and those of the other hosts' newest reports.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    own: IntMap<u64, Load>,
    reported: IntMap<u64, HostReport>,
    /// Sum of all reported loads.
    others: IntMap<u64, Load>,
    /// Unread prompt tokens at all endpoints, as of the last tick.
    unread_tokens: u64,
}

#[derive(Debug)]
struct HostReport {
    at: Duration,
    loads: Vec<(u64, Load)>,
}

impl EndpointLoads {
    /// Adds work of this host.
    pub fn add_own(&mut self, endpoint: u64, load: Load) {
        self.own.entry(endpoint).or_default().add(load);
    }

    /// Subtracts work of this host.
    pub fn subtract_own(&mut self, endpoint: u64, load: Load) {
        self.own.entry(endpoint).or_default().subtract(load);
    }

    /// Returns this host's work, for its report.
    pub fn own(&self) -> impl Iterator<Item = (u64, Load)> + '_ {
        let busy = self.own.iter().filter(|(_, load)| !load.is_idle());
        busy.map(|(endpoint, load)| (*endpoint, *load))
    }

    /// Stores another host's report in place of its previous one.
    pub fn on_report(&mut self, now: Duration, host: u64, loads: Vec<(u64, Load)>) {
        for (endpoint, load) in &loads {
            self.others.entry(*endpoint).or_default().add(*load);
        }
        let report = HostReport { at: now, loads };
        if let Some(previous) = self.reported.insert(host, report) {
            self.subtract_others(&previous);
        }
    }

    /// Removes the report of a host that is gone.
    pub fn forget_host(&mut self, host: u64) {
        if let Some(report) = self.reported.remove(&host) {
            self.subtract_others(&report);
        }
    }

    /// Removes reports that are too old.
    pub fn tick(&mut self, now: Duration) {
        let is_old = |report: &HostReport| now.saturating_sub(report.at) > MAX_REPORT_AGE;
        let old = self.reported.iter().filter(|(_, report)| is_old(report));
        let old: Vec<u64> = old.map(|(host, _)| *host).collect();
        for host in old {
            self.forget_host(host);
        }
        self.own.retain(|_, load| !load.is_idle());
        self.others.retain(|_, load| !load.is_idle());
        let loads = self.own.values().chain(self.others.values());
        self.unread_tokens = loads.map(|load| u64::from(load.unread_tokens)).sum();
    }

    /// Returns the unread prompt tokens at all endpoints together, a moment ago.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Returns the age of the oldest stored report.
    pub fn oldest_report_age(&self, now: Duration) -> Duration {
        let ages = self
            .reported
            .values()
            .map(|report| now.saturating_sub(report.at));
        ages.max().unwrap_or_default()
    }

    /// Returns the load of the whole fleet on an endpoint.
    pub fn total(&self, endpoint: u64) -> Load {
        let mut load = self.own.get(&endpoint).copied().unwrap_or_default();
        load.add(self.others.get(&endpoint).copied().unwrap_or_default());
        load
    }

    /// Returns the load of the other hosts on an endpoint, as of their reports.
    pub fn of_others(&self, endpoint: u64) -> Load {
        self.others.get(&endpoint).copied().unwrap_or_default()
    }

    /// The sum is updated by differences. Adding up all hosts at each report would take time quadratic in their number.
    fn subtract_others(&mut self, report: &HostReport) {
        for (endpoint, load) in &report.loads {
            self.others.entry(*endpoint).or_default().subtract(*load);
        }
    }
}
