//! Mean run time of the requests of each client account, which gives the size of the bundles of
//! requests that one grant covers.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;

/// Divisor that gives the weight of the newest run.
const LEARNING_DIVISOR: u32 = 8;
/// Maximum number of requests that one grant covers.
const MAX_BUNDLE_REQUESTS: u32 = 32;

/// Mean run time of the requests of each account in one pool.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::run_times::RunTimes;
///
/// let mut times = RunTimes::default();
/// let desk = "desk".into();
/// let span = Duration::from_millis(200);
/// assert_eq!(times.bundle_size(&desk, span), 1);
/// times.learn(&desk, Duration::from_millis(20));
/// assert_eq!(times.bundle_size(&desk, span), 10);
/// assert_eq!(times.bundle_size(&desk, Duration::ZERO), 1);
/// ```
#[derive(Debug, Default)]
pub struct RunTimes {
    means: BTreeMap<AccountId, Duration>,
}

impl RunTimes {
    /// Adds the run time of a request that ran to its end.
    pub fn learn(&mut self, account: &AccountId, run: Duration) {
        let mean = self.means.entry(account.clone()).or_insert(run);
        *mean = (*mean * (LEARNING_DIVISOR - 1) + run) / LEARNING_DIVISOR;
    }

    /// Returns a run time that few requests of the account stay below: half of the mean, or zero
    /// while none is known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::run_times::RunTimes;
    ///
    /// let mut times = RunTimes::default();
    /// times.learn(&"crew-07".into(), Duration::from_secs(4));
    /// assert_eq!(times.min_run_time(&"crew-07".into()), Duration::from_secs(2));
    /// ```
    pub fn min_run_time(&self, account: &AccountId) -> Duration {
        self.means
            .get(account)
            .map_or(Duration::ZERO, |mean| *mean / 2)
    }

    /// Returns how many requests of an account run within `span`, one after another; one while no
    /// run time is known.
    pub fn bundle_size(&self, account: &AccountId, span: Duration) -> u32 {
        let Some(mean) = self.means.get(account) else {
            return 1;
        };
        let runs = span.as_micros() / mean.as_micros().max(1);
        u32::try_from(runs)
            .unwrap_or(u32::MAX)
            .clamp(1, MAX_BUNDLE_REQUESTS)
    }
}
