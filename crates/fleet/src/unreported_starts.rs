//! Estimates what other hosts started recently and have not reported yet.

use std::collections::VecDeque;
use std::time::Duration;

use nohash_hasher::IntMap;

/// Time for which this host's starts are used to estimate those of other hosts: about the time that reports need by way
/// of the relays.
pub const REPORT_DELAY: Duration = Duration::from_millis(400);

/// A request that this host sent to an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartedRequest {
    /// When it was sent.
    pub at: Duration,
    /// Hash of the account that is charged.
    pub account: u64,
    /// Tokens charged to the account.
    pub tokens: f64,
}

/// Estimates of what other hosts started, by account.
///
/// When an account that sends requests to all hosts falls below its share, all hosts see it at the same time. If each
/// host counted only what it knows, together they would start several times the free capacity before they receive each
/// other's reports, and an account that one host serves would find the engines full. A host that expects the others to
/// act as it does stops after its own part of the free capacity.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_fleet::unreported_starts::{StartedRequest, UnreportedStarts};
///
/// let mut starts = UnreportedStarts::default();
/// starts.add(StartedRequest { at: Duration::ZERO, account: 7, tokens: 100.0 });
/// // Three times as much is requested from the other hosts as from this one.
/// starts.estimate(7, 3.0, 1_000.0);
/// assert_eq!(starts.tokens(7), 300.0);
/// ```
#[derive(Debug, Default)]
pub struct UnreportedStarts {
    /// Requests that this host started within [`REPORT_DELAY`], oldest first.
    recent: VecDeque<StartedRequest>,
    estimates: IntMap<u64, f64>,
}

impl UnreportedStarts {
    /// Adds a request that this host started.
    pub fn add(&mut self, request: StartedRequest) {
        self.recent.push_back(request);
    }

    /// Removes a request that did not run.
    pub fn remove(&mut self, request: StartedRequest) {
        if let Some(index) = self.recent.iter().position(|it| *it == request) {
            self.recent.remove(index);
        }
    }

    /// Removes requests older than [`REPORT_DELAY`], and all estimates. Returns the accounts that need new estimates.
    pub fn tick(&mut self, now: Duration) -> Vec<u64> {
        let is_old = |request: &StartedRequest| now.saturating_sub(request.at) > REPORT_DELAY;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        self.estimates.clear();
        let mut accounts: Vec<u64> = self.recent.iter().map(|request| request.account).collect();
        accounts.sort_unstable();
        accounts.dedup();
        accounts
    }

    /// Sets the estimate for other hosts to `ratio` times what this host started, and `max_tokens` at most.
    pub fn estimate(&mut self, account: u64, ratio: f64, max_tokens: f64) {
        let recent = self.recent.iter().filter(|it| it.account == account);
        let started: f64 = recent.map(|it| it.tokens).sum();
        self.estimates
            .insert(account, (started * ratio).min(max_tokens));
    }

    /// Returns the tokens that other hosts are estimated to have started.
    pub fn tokens(&self, account: u64) -> f64 {
        self.estimates.get(&account).copied().unwrap_or_default()
    }
}
