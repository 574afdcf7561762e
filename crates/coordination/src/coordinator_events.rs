//! Settings, events and actions of [`crate::coordinator::Coordinator`].

use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::order_record::EngineOrder;
use sedgeridge_state::order_record::OrderState;
use sedgeridge_state::settings::Settings;

use crate::claim_sweep::ClaimSweepSettings;
use crate::config_events::ConfigEvent;
use crate::config_events::Generation;
use crate::lease_events::HeldLease;
use crate::lease_events::LeaseSettings;
use crate::node_config::ConfigRead;
use crate::order_events::EngineAnswer;
use crate::order_events::OrderSettings;
use crate::order_events::SendOrder;
use crate::slot_budget::EndpointLoad;
use crate::store_call::StoreAction;
use crate::store_call::StoreEvent;

/// Settings of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CoordinatorSettings {
    /// Settings of its lease.
    pub lease: LeaseSettings,
    /// Settings of its orders.
    pub orders: OrderSettings,
    /// Settings of its sweep of expired claims.
    pub sweep: ClaimSweepSettings,
    /// Time between two reads of an endpoint's load report while an order needs it.
    pub report_interval_ms: u64,
    /// Time between two announcements of the same drain; less than the time for which routers
    /// honour one.
    pub drain_announce_interval_ms: u64,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            lease: LeaseSettings::default(),
            orders: OrderSettings::default(),
            sweep: ClaimSweepSettings::default(),
            report_interval_ms: 500,
            drain_announce_interval_ms: 3_000,
        }
    }
}

/// Part of a coordinator that calls the table service; each part numbers its own calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoordinatorPart {
    /// The lease.
    Lease,
    /// Orders to engines.
    Orders,
    /// The sweep of expired claims.
    Sweep,
}

/// Input of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorEvent {
    /// A call to the table service ended.
    StoreEnded {
        /// Part that made the call.
        part: CoordinatorPart,
        /// Result of the call.
        event: StoreEvent,
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
    /// An endpoint's load report was read, or could not be.
    LoadRead {
        /// The endpoint.
        endpoint: EndpointId,
        /// The report.
        load: Option<EndpointLoad>,
    },
    /// A read of the accepted configuration ended.
    ConfigRead(ConfigEvent<ConfigContent>),
    /// A router accepted an announced drain.
    DrainAnnounced {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The process stops as planned.
    StopRequested,
    /// Time passed.
    Tick,
}

/// Output of a coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum CoordinatorAction {
    /// Call the table service.
    Store {
        /// Part that makes the call.
        part: CoordinatorPart,
        /// The call.
        action: StoreAction,
    },
    /// Send an order to an engine, unless [`SendOrder::not_after`] has passed by then.
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
    /// Read an endpoint's load report.
    ReadLoad {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Tell one router that an endpoint gets no new work; routers pass it on.
    AnnounceDrain {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Read the accepted configuration.
    ReadConfig(ConfigRead),
    /// Another configuration is in force.
    Configured {
        /// Its generation.
        generation: Generation,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The content of a generation is not usable here; the previous settings stay in force.
    ConfigUnusable {
        /// The generation.
        generation: Generation,
        /// What is wrong with it.
        findings: String,
    },
    /// The lease was acquired; renewals are not reported.
    Held(HeldLease),
    /// The lease is no longer held.
    Lost,
    /// An order ended.
    Ended {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order's number.
        number: u64,
        /// How it ended.
        state: OrderState,
    },
}
