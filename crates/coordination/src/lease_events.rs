//! What goes into and comes out of [`crate::lease::Lease`].

use std::time::Duration;

use sedgeridge_state::lease_record::FencingNumber;

use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

/// Times of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time a holder may give orders after it sent a renewal.
    pub term_ms: u64,
    /// Time between two renewals.
    pub renew_interval_ms: u64,
    /// Time between two looks of a candidate at the lease.
    pub poll_interval_ms: u64,
    /// How much longer than the term a candidate waits, as clocks run at different rates.
    pub clock_drift_margin_ms: u64,
    /// Longest time an order is on its way to an engine.
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

/// What happens to the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A store call ended.
    Store(StoreEvent),
    /// The process stops as planned: the lease is given back and not taken again.
    Stop,
    /// Time passed.
    Tick,
}

/// What the lease wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Call the table.
    Store(StoreAction),
    /// The lease is held, or was renewed.
    Held(HeldLease),
    /// The lease is held no more.
    Lost,
}

/// What a holder may do, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Number that each order carries.
    pub fencing: FencingNumber,
    /// Version of the epoch row: a condition of each write by the holder.
    pub epoch_version: u64,
    /// No order may be sent at or after this time.
    pub deadline: Duration,
    /// Engines that ignore fencing numbers get no order before this time.
    pub unfenced_orders_from: Duration,
}
