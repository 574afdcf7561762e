//! What goes into and comes out of [`crate::orders::Orders`].

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderState;

use crate::lease_events::HeldLease;
use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

/// Limits of the orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// Least time between two loads, by the weight store's rate limit.
    pub load_interval_ms: u64,
    /// Time after which an unanswered order is sent again.
    pub answer_timeout_ms: u64,
    /// Longest time from the decision to send an order to its arrival; after it an engine's state
    /// is read back.
    pub max_order_delay_ms: u64,
    /// Time between two tries of a failed store call.
    pub store_retry_ms: u64,
    /// Time between two reads of all orders.
    pub rescan_interval_ms: u64,
    /// Time between two reads of the orders that changed.
    pub poll_interval_ms: u64,
    /// Time after which every router has heard of a drain that one of them took.
    pub drain_propagation_ms: u64,
    /// Time after which routers may forget a drain that was not announced again.
    pub drain_expiry_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            load_interval_ms: 10_000,
            answer_timeout_ms: 30_000,
            max_order_delay_ms: 5_000,
            store_retry_ms: 1_000,
            rescan_interval_ms: 30_000,
            poll_interval_ms: 1_000,
            drain_propagation_ms: 3_000,
            drain_expiry_ms: 9_000,
        }
    }
}

/// What happens to the orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A configuration is in force.
    Configured {
        /// All engines.
        endpoints: Vec<OrderEndpoint>,
        /// Fewest serving endpoints by pool.
        floors: Vec<PoolFloor>,
    },
    /// The lease is held, was renewed, or is held no more.
    Lease(Option<HeldLease>),
    /// An operator or planner asks for an order.
    Requested {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order.
        order: EngineOrder,
    },
    /// An endpoint reported.
    EndpointState {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it serves its pool.
        serving: bool,
        /// Requests it is running.
        in_progress: u32,
        /// When this was so; reports lag.
        as_of: Duration,
    },
    /// A router took the drain of an endpoint and passes it on.
    DrainAnnounced {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An endpoint's state is no longer followed, or its report could not be read.
    EndpointUnknown {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An engine answered an order, or did not.
    Answered {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order's number.
        number: u64,
        /// The answer.
        answer: EngineAnswer,
    },
    /// An engine's state was read back.
    ReadBack {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of the order that was asked about.
        number: u64,
        /// Whether the order is in effect; none if the engine did not tell.
        in_effect: Option<bool>,
    },
    /// A store call ended.
    Store(StoreEvent),
    /// Time passed.
    Tick,
}

/// An engine as the orders see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Pool it serves.
    pub pool: PoolId,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// Fewest serving endpoints of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolFloor {
    /// The pool.
    pub pool: PoolId,
    /// Endpoints that orders must leave serving.
    pub floor: u32,
}

/// What became of an order that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAnswer {
    /// The engine obeyed.
    Done,
    /// The engine knows a higher fencing number.
    OldFencing,
    /// The engine cannot obey.
    Refused,
    /// No answer: the engine may have obeyed, or may yet.
    Unknown,
}

/// What the orders want done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Call the table.
    Store(StoreAction),
    /// Give the endpoint no new work, until [`OrderAction::Undrain`] or the lease's end; answered
    /// by [`OrderEvent::DrainAnnounced`] each time a router was told.
    Drain(EndpointId),
    /// Give the endpoint work again.
    Undrain(EndpointId),
    /// Send an order to an engine.
    Send(SendOrder),
    /// Ask an engine whether an order is in effect.
    ReadBack {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order's number.
        number: u64,
        /// The order.
        order: EngineOrder,
    },
    /// An order ended.
    Ended {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order's number.
        number: u64,
        /// How it ended.
        state: OrderState,
    },
    /// A wanted order was not taken; nothing was written or sent.
    Rejected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        reason: OrderRejection,
    },
}

/// An order on its way to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The order's number; an engine that obeyed it once may skip a repeat.
    pub number: u64,
    /// The order.
    pub order: EngineOrder,
    /// The sender's epoch.
    pub fencing: FencingNumber,
    /// Not to be written to the connection at or after this time.
    pub not_after: Duration,
}

/// Why a wanted order was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderRejection {
    /// This process does not hold the lease.
    NotLeaseHolder,
    /// The orders of the holder before are not read yet.
    Recovering,
    /// The endpoint is not in the configuration.
    UnknownEndpoint,
    /// An earlier order to the endpoint is not complete.
    OrderInProgress,
}
