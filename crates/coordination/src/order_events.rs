//! Settings, events and actions of [`crate::orders::Orders`].

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderState;

use crate::lease_events::HeldLease;
use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

/// Timing of the orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// Minimum time between two loads, set by the weight store's rate limit.
    pub load_interval_ms: u64,
    /// Time after which an unanswered order is sent again.
    pub answer_timeout_ms: u64,
    /// Longest time from the decision to send an order to its arrival; an engine's state is read
    /// back only after it.
    pub max_order_delay_ms: u64,
    /// Time before a failed store call is tried again.
    pub store_retry_ms: u64,
    /// Time between two reads of all orders.
    pub rescan_interval_ms: u64,
    /// Time between two reads of the orders that changed.
    pub poll_interval_ms: u64,
    /// Time until every router knows of a drain that one of them accepted.
    pub drain_propagation_ms: u64,
    /// Time for which routers are assumed to honour a drain: after its last announcement, after its
    /// end, and after a new holder first reads an order that needs one.
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

/// Input of the orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A configuration is in force.
    Configured {
        /// All engines.
        endpoints: Vec<OrderEndpoint>,
        /// Minimum numbers of serving endpoints, by pool.
        floors: Vec<PoolFloor>,
    },
    /// The lease was acquired, renewed or lost.
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
        /// Time that the report describes; reports lag.
        as_of: Duration,
    },
    /// A router accepted the drain of an endpoint and passes it on.
    DrainAnnounced {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An endpoint's reports are no longer read, or its report could not be read.
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
        /// Whether the order is in effect; none if the engine did not report it.
        in_effect: Option<bool>,
    },
    /// A call to the table service ended.
    Store(StoreEvent),
    /// Time passed.
    Tick,
}

/// Configuration of an engine that orders depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Pool it serves.
    pub pool: PoolId,
    /// Whether it refuses orders with a fencing number lower than the highest it has seen.
    pub checks_fencing: bool,
}

/// Minimum number of serving endpoints of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolFloor {
    /// The pool.
    pub pool: PoolId,
    /// Number of endpoints that orders must leave serving.
    pub floor: u32,
}

/// Result of an order that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineAnswer {
    /// The engine obeyed.
    Done,
    /// The engine knows a higher fencing number.
    OldFencing,
    /// The engine cannot obey.
    Refused,
    /// No answer: the engine may have obeyed, or may still obey.
    Unknown,
}

/// Output of the orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Call the table service.
    Store(StoreAction),
    /// Give the endpoint no new work until [`OrderAction::Undrain`] or the end of the lease;
    /// answered by [`OrderEvent::DrainAnnounced`] each time a router was told.
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
    /// A requested order was not accepted; nothing was written or sent.
    Rejected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        reason: OrderRejection,
    },
}

/// An order to send to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendOrder {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The order's number; an engine that obeyed it once may skip a repeat.
    pub number: u64,
    /// The order.
    pub order: EngineOrder,
    /// Fencing number of the sender's lease.
    pub fencing: FencingNumber,
    /// Time at and after which the order must not be written to the connection.
    pub not_after: Duration,
}

/// Reason why a requested order was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderRejection {
    /// This process does not hold the lease.
    NotLeaseHolder,
    /// The orders of the previous holder are not read yet.
    Recovering,
    /// The endpoint is not in the configuration.
    UnknownEndpoint,
    /// An earlier order to the endpoint is not complete.
    OrderInProgress,
}
