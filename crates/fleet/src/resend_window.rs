//! Bounds how often requests are sent to a second endpoint.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_state::ids::ServiceId;

/// Part of the allowance that is used. The rest covers hosts that count one another late.
const USED_PART: f64 = 0.7;

/// What the operator allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendLimits {
    /// Sends beyond the first of each request, for each request in the window.
    pub ratio: f64,
    /// Sends beyond the first that the whole fleet has in addition.
    pub min_extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for ResendLimits {
    /// A tenth of the requests in ten seconds: for platforms that set no bound.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_extra: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Counts first sends and further sends by service in a sliding window.
///
/// Each host keeps to its part: the ratio of its own requests, and an even part of the fleet's
/// fixed allowance. The parts add up to the fleet's bound without a word between hosts.
#[derive(Debug, Default)]
pub struct ResendWindow {
    limits: ResendLimits,
    services: HashMap<ServiceId, Counted>,
}

#[derive(Debug, Default)]
struct Counted {
    requests: VecDeque<Duration>,
    resends: VecDeque<Duration>,
}

impl ResendWindow {
    /// Creates a window without counts.
    pub fn new(limits: ResendLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Changes the bounds.
    pub fn set_limits(&mut self, limits: ResendLimits) {
        self.limits = limits;
    }

    /// Counts a request that is sent for the first time.
    pub fn on_request(&mut self, now: Duration, service: &ServiceId) {
        let counted = self.services.entry(service.clone()).or_default();
        counted.requests.push_back(now);
        counted.forget_before(now.saturating_sub(self.limits.window));
    }

    /// Asks to send a request once more, in a fleet of `hosts`; counts it if that is allowed.
    pub fn try_resend(&mut self, now: Duration, service: &ServiceId, hosts: usize) -> bool {
        let limits = self.limits;
        let counted = self.services.entry(service.clone()).or_default();
        counted.forget_before(now.saturating_sub(limits.window));
        let own_part = limits.min_extra / hosts.max(1) as f64;
        let allowed = limits.ratio * counted.requests.len() as f64 + own_part;
        let is_allowed = (counted.resends.len() as f64) + 1.0 <= allowed * USED_PART;
        if is_allowed {
            counted.resends.push_back(now);
        }
        is_allowed
    }
}

impl Counted {
    fn forget_before(&mut self, start: Duration) {
        for times in [&mut self.requests, &mut self.resends] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
    }
}
