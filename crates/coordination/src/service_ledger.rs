//! Settled service of each account: grow-only counters for each run of a router, merged by maximum.

use std::collections::BTreeMap;

/// Counters of all admitted runs, and the service that accounts received through them.
///
/// Merging by maximum is commutative and idempotent, so late, repeated and reordered reports count
/// once. A run is admitted with its totals so far. These precede this ledger and are not counted,
/// so the service of a run that rejoins after a partition is not counted twice.
#[derive(Debug, Default)]
pub struct ServiceLedger {
    /// Totals by account, for each run.
    runs: Vec<BTreeMap<usize, u64>>,
    received_tokens: Vec<u64>,
}

impl ServiceLedger {
    /// Starts the counters of `run` from its totals so far.
    ///
    /// ```
    /// use sedgeridge_coordination::service_ledger::ServiceLedger;
    ///
    /// let mut ledger = ServiceLedger::default();
    /// ledger.admit_run(0, [(7, 100)]);
    /// assert_eq!(ledger.received_tokens(7), 0);
    /// assert_eq!(ledger.merge(0, 7, 130), 30);
    /// assert_eq!(ledger.received_tokens(7), 30);
    /// ```
    pub fn admit_run(&mut self, run: usize, totals: impl IntoIterator<Item = (usize, u64)>) {
        *self.run(run) = totals.into_iter().collect();
    }

    /// Raises a counter to `total_tokens` and returns by how much it grew.
    ///
    /// ```
    /// use sedgeridge_coordination::service_ledger::ServiceLedger;
    ///
    /// let mut ledger = ServiceLedger::default();
    /// assert_eq!(ledger.merge(0, 7, 30), 30);
    /// assert_eq!(ledger.merge(0, 7, 20), 0);
    /// ```
    pub fn merge(&mut self, run: usize, account: usize, total_tokens: u64) -> u64 {
        let counter = self.run(run).entry(account).or_default();
        let growth_tokens = total_tokens.saturating_sub(*counter);
        *counter += growth_tokens;
        self.add_received(account, growth_tokens);
        growth_tokens
    }

    /// Returns the counter of one run.
    ///
    /// ```
    /// use sedgeridge_coordination::service_ledger::ServiceLedger;
    ///
    /// let mut ledger = ServiceLedger::default();
    /// ledger.merge(0, 7, 30);
    /// assert_eq!(ledger.total_tokens(0, 7), 30);
    /// ```
    pub fn total_tokens(&self, run: usize, account: usize) -> u64 {
        let counters = self.runs.get(run);
        counters
            .and_then(|counters| counters.get(&account))
            .copied()
            .unwrap_or_default()
    }

    /// Drops the counters of a run that ended or left; the sums of the accounts stay.
    ///
    /// ```
    /// use sedgeridge_coordination::service_ledger::ServiceLedger;
    ///
    /// let mut ledger = ServiceLedger::default();
    /// ledger.merge(0, 7, 30);
    /// ledger.close_run(0);
    /// assert_eq!(ledger.received_tokens(7), 30);
    /// ```
    pub fn close_run(&mut self, run: usize) {
        self.run(run).clear();
    }

    /// Returns the service of an account through all runs since their admission.
    ///
    /// ```
    /// use sedgeridge_coordination::service_ledger::ServiceLedger;
    ///
    /// assert_eq!(ServiceLedger::default().received_tokens(7), 0);
    /// ```
    pub fn received_tokens(&self, account: usize) -> u64 {
        self.received_tokens
            .get(account)
            .copied()
            .unwrap_or_default()
    }

    fn run(&mut self, run: usize) -> &mut BTreeMap<usize, u64> {
        if self.runs.len() <= run {
            self.runs.resize_with(run + 1, BTreeMap::new);
        }
        &mut self.runs[run]
    }

    fn add_received(&mut self, account: usize, growth_tokens: u64) {
        if self.received_tokens.len() <= account {
            self.received_tokens.resize(account + 1, 0);
        }
        let received_tokens = &mut self.received_tokens[account];
        *received_tokens = received_tokens.saturating_add(growth_tokens);
    }
}
