//! Translates an event of the coordinator into one event for each of its parts.

use std::time::Duration;

use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::Settings;

use crate::claim_sweep::ClaimSweepEvent;
use crate::config_events::ConfigEvent;
use crate::coordinator_events::CoordinatorEvent;
use crate::coordinator_events::CoordinatorPart;
use crate::lease_events::LeaseEvent;
use crate::order_events::OrderEndpoint;
use crate::order_events::OrderEvent;
use crate::order_events::PoolFloor;
use crate::slot_budget::EndpointLoad;

/// One event for each part; a part that the event does not concern gets a tick.
#[derive(Debug)]
pub(crate) struct PartEvents {
    pub(crate) lease: LeaseEvent,
    pub(crate) config: ConfigEvent<ConfigContent>,
    pub(crate) orders: OrderEvent,
    pub(crate) sweep: ClaimSweepEvent,
}

/// Translates an event of the coordinator for each part.
pub(crate) fn route(now: Duration, event: CoordinatorEvent) -> PartEvents {
    let mut events = PartEvents {
        lease: LeaseEvent::Tick,
        config: ConfigEvent::Tick,
        orders: OrderEvent::Tick,
        sweep: ClaimSweepEvent::Tick,
    };
    match event {
        CoordinatorEvent::StoreEnded { part, event } => match part {
            CoordinatorPart::Lease => events.lease = LeaseEvent::Store(event),
            CoordinatorPart::Orders => events.orders = OrderEvent::Store(event),
            CoordinatorPart::Sweep => events.sweep = ClaimSweepEvent::Store(event),
        },
        CoordinatorEvent::Answered {
            endpoint,
            number,
            answer,
        } => {
            events.orders = OrderEvent::Answered {
                endpoint,
                number,
                answer,
            };
        }
        CoordinatorEvent::ReadBack {
            endpoint,
            number,
            in_effect,
        } => {
            events.orders = OrderEvent::ReadBack {
                endpoint,
                number,
                in_effect,
            };
        }
        CoordinatorEvent::LoadRead { endpoint, load } => {
            events.orders = load_event(now, endpoint, load);
        }
        CoordinatorEvent::ConfigRead(event) => events.config = event,
        CoordinatorEvent::DrainAnnounced { endpoint } => {
            events.orders = OrderEvent::DrainAnnounced { endpoint };
        }
        CoordinatorEvent::StopRequested => events.lease = LeaseEvent::Stop,
        CoordinatorEvent::Tick => {}
    }
    events
}

/// Returns the event that tells the orders of the settings in force.
pub(crate) fn configured_event(settings: &Settings) -> OrderEvent {
    OrderEvent::Configured {
        endpoints: engines(settings),
        floors: floors(settings),
    }
}

fn load_event(now: Duration, endpoint: EndpointId, load: Option<EndpointLoad>) -> OrderEvent {
    match load {
        Some(load) => OrderEvent::EndpointState {
            endpoint,
            serving: !load.leaving,
            in_progress: load.running.saturating_add(load.waiting),
            as_of: now.saturating_sub(load.age),
        },
        None => OrderEvent::EndpointUnknown { endpoint },
    }
}

fn engines(settings: &Settings) -> Vec<OrderEndpoint> {
    let endpoints = settings.endpoints.iter();
    endpoints
        .map(|endpoint| OrderEndpoint {
            id: endpoint.id.clone(),
            pool: endpoint.pool.clone(),
            checks_fencing: endpoint.checks_fencing,
        })
        .collect()
}

fn floors(settings: &Settings) -> Vec<PoolFloor> {
    let pools = settings.pools.iter();
    pools
        .map(|pool| PoolFloor {
            pool: pool.id.clone(),
            floor: pool.floor,
        })
        .collect()
}
