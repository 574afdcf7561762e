//! Limits how often requests are sent to a second endpoint.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_state::ids::ServiceId;

/// Fraction of the allowed resends that a host uses. The rest is a margin for hosts that learn late how many hosts the
/// fleet has.
const USED_RATIO: f64 = 0.7;

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
#[derive(Debug, Default)]
pub struct ResendWindow {
    limits: ResendLimits,
    services: HashMap<ServiceId, ServiceCounts>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requested_at: VecDeque<Duration>,
    resent_at: VecDeque<Duration>,
}

impl ResendWindow {
    pub fn new(limits: ResendLimits) -> Self {
        Self {
            limits,
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
        let counts = self.services.entry(service.clone()).or_default();
        counts.remove_before(now.saturating_sub(limits.window));
        let own_extra = limits.min_extra / hosts.max(1) as f64;
        let allowed = limits.ratio * counts.requested_at.len() as f64 + own_extra;
        let is_allowed = (counts.resent_at.len() as f64) + 1.0 <= allowed * USED_RATIO;
        if is_allowed {
            counts.resent_at.push_back(now);
        }
        is_allowed
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
