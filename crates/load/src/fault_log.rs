//! Log of the faults injected into a run, read when its figures are computed.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::operators::ChangeOutcome;

/// Events of all faults of a run, shared by the threads that inject them.
#[derive(Debug, Default)]
pub struct FaultLog {
    events: Mutex<FaultEvents>,
}

/// Events that the figures of a run need.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultEvents {
    /// Time at which each endpoint was told to report that it is leaving.
    pub left_at_us: BTreeMap<String, u64>,
    /// Outcomes of configuration changes.
    pub changes: Vec<ChangeOutcome>,
    /// End of the network partition.
    pub healed_at_us: Option<u64>,
    /// Whether each order to an engine was accepted.
    pub orders: Vec<bool>,
    /// The coordinator that held the lease when it was frozen.
    pub frozen_holder: Option<String>,
}

impl FaultLog {
    /// Locks the events for reading or writing.
    pub fn lock(&self) -> MutexGuard<'_, FaultEvents> {
        // Each event is a single write, so a poisoned lock still holds valid data.
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
