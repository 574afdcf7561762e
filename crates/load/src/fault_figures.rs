//! Figures that are only measured in runs with faults.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::history::RunRecord;

/// Grace time after a load report says `leaving`; no run may start later.
pub const LEAVING_GRACE_US: u64 = 3_000_000;

/// Figures about faults; each is absent when the run had no fault that it is about.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultFigures {
    /// Runs that endpoints started later than the grace time after they reported as leaving.
    pub runs_after_leaving: Option<u64>,
    /// Changes of the configuration that were accepted during the run.
    pub config_changes: Option<u64>,
    /// Changes that were rejected because another change came first.
    pub config_conflicts: Option<u64>,
    /// Changes that failed in any other way.
    pub config_failures: Option<u64>,
    /// Acceptances beyond the first one of the same generation.
    pub config_won_twice: Option<u64>,
    /// Time from the acceptance until a router has the generation in force.
    pub config_in_force_p99_ms: Option<f64>,
    /// The same, counted from the end of the network partition for changes accepted before it.
    pub config_in_force_after_heal_p99_ms: Option<f64>,
    /// Pairs of router and change where the change never came into force at the router.
    pub config_not_in_force: Option<u64>,
    /// How often a ready router had a lower generation in force than before.
    pub config_reversions: Option<u64>,
    /// Orders to engines that the command line accepted.
    pub orders_accepted: Option<u64>,
    /// Orders to engines that the command line did not accept.
    pub orders_failed: Option<u64>,
    /// Accepted orders that took effect.
    pub orders_in_effect: Option<u64>,
    /// Orders that took effect after a newer one or under a fencing number older than one seen.
    pub orders_wrong: Option<u64>,
}

impl FaultFigures {
    /// Whether any count that must be 0 is greater.
    ///
    /// ```
    /// use sedgeridge_load::fault_figures::FaultFigures;
    /// assert!(!FaultFigures::default().has_violations());
    /// ```
    pub fn has_violations(&self) -> bool {
        let must_be_zero = [
            self.runs_after_leaving,
            self.config_won_twice,
            self.config_not_in_force,
            self.config_reversions,
            self.orders_wrong,
        ];
        must_be_zero.into_iter().flatten().any(|count| count > 0)
    }
}

/// Counts runs that started after the grace time of their endpoint that reported as leaving.
///
/// ```
/// use std::collections::BTreeMap;
/// use sedgeridge_load::fault_figures::runs_after_leaving;
/// assert_eq!(runs_after_leaving(&[], &BTreeMap::new()), None);
/// ```
pub fn runs_after_leaving(runs: &[RunRecord], left_at_us: &BTreeMap<String, u64>) -> Option<u64> {
    if left_at_us.is_empty() {
        return None;
    }
    let late = runs.iter().filter(|run| {
        let left_at_us = left_at_us.get(&run.endpoint);
        left_at_us.is_some_and(|left| run.started_at_us > left + LEAVING_GRACE_US)
    });
    Some(late.count() as u64)
}
