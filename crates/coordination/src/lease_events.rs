//! Settings, events and actions of [`crate::lease::Lease`].

use std::time::Duration;

use sedgeridge_state::lease_record::FencingNumber;

use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

/// Timing of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which a holder may give orders after it sent a renewal.
    pub term_ms: u64,
    /// Time between two renewals.
    pub renew_interval_ms: u64,
    /// Time between two reads of the lease by a candidate.
    pub poll_interval_ms: u64,
    /// Time that a candidate waits in addition to the term, as clocks run at different rates.
    pub clock_drift_margin_ms: u64,
    /// Longest time until an order that was sent reaches its engine.
    pub max_order_delay_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            term_ms: 10_000,
            renew_interval_ms: 3_000,
            poll_interval_ms: 1_000,
            clock_drift_margin_ms: 1_000,
            max_order_delay_ms: 5_000,
        }
    }
}

/// Input of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A call to the table service ended.
    Store(StoreEvent),
    /// The process stops as planned: the lease is released and not acquired again.
    Stop,
    /// Time passed.
    Tick,
}

/// Output of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Call the table service.
    Store(StoreAction),
    /// The lease was acquired or renewed.
    Held(HeldLease),
    /// The lease is no longer held.
    Lost,
}

/// A lease that this process holds, with the limits on its orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number that each order carries.
    pub fencing: FencingNumber,
    /// Version of the epoch row; each write by the holder is conditional on it.
    pub epoch_version: u64,
    /// No order may be sent at or after this time.
    pub deadline: Duration,
    /// Engines that ignore fencing numbers get no order before this time.
    pub unfenced_orders_from: Duration,
}
