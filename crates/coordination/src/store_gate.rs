//! Pauses calls to a store that fails.

use std::time::Duration;

use crate::backoff::Backoff;

/// Circuit breaker of one part's store calls.
///
/// Without it each claim of an outage would wait for its own timeout: callers would see seconds of
/// silence where a refusal is due at once, and the store would return to a storm of calls.
#[derive(Debug)]
pub(crate) struct StoreGate {
    backoff: Backoff,
    failures: u32,
    closed_until: Duration,
}

impl StoreGate {
    pub(crate) fn new(backoff: Backoff) -> Self {
        Self {
            backoff,
            failures: 0,
            closed_until: Duration::ZERO,
        }
    }

    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        self.failures > 0 && now < self.closed_until
    }

    /// Tells whether the store failed last, so that one call at a time may try it.
    pub(crate) fn is_probing(&self) -> bool {
        self.failures > 0
    }

    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.closed_until.saturating_sub(now)
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub(crate) fn failed(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.closed_until = now + self.backoff.delay(self.failures);
    }
}
