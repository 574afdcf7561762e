//! What was done to a run, for its judges.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::operators::ChangeOutcome;

/// Notes of all faults of a run.
#[derive(Debug, Default)]
pub struct FaultLog {
    events: Mutex<FaultEvents>,
}

/// The notes themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultEvents {
    /// When endpoints began to report that they are leaving.
    pub left_at_us: BTreeMap<String, u64>,
    /// How changes of the configuration ended.
    pub changes: Vec<ChangeOutcome>,
    /// When a cut was healed.
    pub healed_at_us: Option<u64>,
    /// Whether each order to an engine was accepted.
    pub orders: Vec<bool>,
    /// The coordinator that held the lease when it was frozen.
    pub frozen_holder: Option<String>,
}

impl FaultLog {
    /// Opens the notes.
    pub fn lock(&self) -> MutexGuard<'_, FaultEvents> {
        // Each note is one step, so a panic elsewhere leaves nothing half done.
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
