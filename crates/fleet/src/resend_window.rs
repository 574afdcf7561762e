//! Limits how often requests are sent to a second endpoint.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_state::ids::ServiceId;

use crate::hashing::pair_hash;

/// Fraction of the allowed resends that a host uses. The rest is a margin for hosts that learn late how many hosts the
/// fleet has.
const USED_RATIO: f64 = 0.7;
/// Time in which a host's rounding of its part passes through all values. It is many times the window, so that the
/// rounding is about the same within one.
const ROUNDING_PERIOD: Duration = Duration::from_secs(1_000);
/// Salt that makes the rounding independent of other choices by hash.
const ROUNDING_SALT: u64 = 0x5f05;

/// Limits that the operator sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendLimits {
    /// Resends allowed per request in the window.
    pub ratio: f64,
    /// Resends in the window that the whole fleet is allowed in addition.
    pub min_extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for ResendLimits {
    /// A tenth of the requests in ten seconds, for platforms that set no limit.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_extra: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Counts requests and resends by service in a sliding window.
///
/// Each host stays within its part of the fleet's limit: the ratio of its own requests, and an even part of the fixed
/// allowance. The parts add up to the fleet's limit without messages between hosts.
///
/// In a large fleet a host's part may be less than one resend. Some hosts round it up and others down, each with the
/// probability with which the sum over all hosts stays the same. If all rounded down, no host could use its part.
#[derive(Debug)]
pub struct ResendWindow {
    limits: ResendLimits,
    /// Hash of the host's name.
    host: u64,
    services: HashMap<ServiceId, ServiceCounts>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requested_at: VecDeque<Duration>,
    resent_at: VecDeque<Duration>,
}

impl ResendWindow {
    /// Creates the window of a host, given the hash of its name.
    pub fn new(limits: ResendLimits, host: u64) -> Self {
        Self {
            limits,
            host,
            services: HashMap::new(),
        }
    }

    pub fn set_limits(&mut self, limits: ResendLimits) {
        self.limits = limits;
    }

    /// Counts a request that is sent for the first time.
    pub fn on_request(&mut self, now: Duration, service: &ServiceId) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.requested_at.push_back(now);
        counts.remove_before(now.saturating_sub(self.limits.window));
    }

    /// Tells whether a request may be sent again, in a fleet of `hosts`, and counts the resend if so.
    pub fn try_resend(&mut self, now: Duration, service: &ServiceId, hosts: usize) -> bool {
        let limits = self.limits;
        let rounded_up_by = self.rounded_up_by(now);
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_before(now.saturating_sub(limits.window));
        let own_extra = limits.min_extra / hosts.max(1) as f64;
        let allowed = limits.ratio * counts.requested_at.len() as f64 + own_extra;
        let own_part = allowed * USED_RATIO + rounded_up_by;
        let is_allowed = (counts.resent_at.len() as f64) + 1.0 <= own_part;
        if is_allowed {
            counts.resent_at.push_back(now);
        }
        is_allowed
    }

    /// Returns what is added to this host's part before it is rounded down: evenly spread over hosts, from 0 to 1.
    fn rounded_up_by(&self, now: Duration) -> f64 {
        let own = pair_hash(ROUNDING_SALT, self.host) as f64 / u64::MAX as f64;
        let periods = now.as_secs_f64() / ROUNDING_PERIOD.as_secs_f64();
        (own + periods).fract()
    }
}

impl ServiceCounts {
    fn remove_before(&mut self, start: Duration) {
        for times in [&mut self.requested_at, &mut self.resent_at] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
    }
}
