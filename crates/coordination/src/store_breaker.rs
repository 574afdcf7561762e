//! Pauses calls to a store that fails, for the parts that call it.

use std::time::Duration;

use crate::backoff::Backoff;

/// Circuit breaker of one part's store calls.
///
/// Without it, each claim made during an outage would wait for its own timeout: callers would get
/// no answer for seconds instead of an immediate refusal, and the recovering store would be flooded
/// with calls.
#[derive(Debug)]
pub(crate) struct StoreBreaker {
    backoff: Backoff,
    failures: u32,
    open_until: Duration,
}

impl StoreBreaker {
    pub(crate) fn new(backoff: Backoff) -> Self {
        Self {
            backoff,
            failures: 0,
            open_until: Duration::ZERO,
        }
    }

    pub(crate) fn is_open(&self, now: Duration) -> bool {
        self.failures > 0 && now < self.open_until
    }

    /// Returns whether the last call failed; the store may then be tried by one call at a time.
    pub(crate) fn is_probing(&self) -> bool {
        self.failures > 0
    }

    pub(crate) fn remaining_pause(&self, now: Duration) -> Duration {
        self.open_until.saturating_sub(now)
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.open_until = now + self.backoff.delay(self.failures);
    }
}
