//! Combines the parts of one coordinator: the lease, the orders to engines and the sweep of expired
//! claims.

use std::time::Duration;

use sedgeridge_state::config_records::ConfigContent;
use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::FencingNumber;
use sedgeridge_state::lease_record::LeaseRecord;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::millis;

use crate::claim_sweep::ClaimSweep;
use crate::claim_sweep::ClaimSweepEvent;
use crate::config_events::ConfigEvent;
use crate::coordinator_events::CoordinatorAction;
use crate::coordinator_events::CoordinatorEvent;
use crate::coordinator_events::CoordinatorPart;
use crate::coordinator_events::CoordinatorSettings;
use crate::coordinator_input::PartEvents;
use crate::coordinator_input::configured_event;
use crate::coordinator_input::route;
use crate::endpoint_schedule::EndpointSchedule;
use crate::lease::Lease;
use crate::lease_events::HeldLease;
use crate::lease_events::LeaseAction;
use crate::lease_events::LeaseEvent;
use crate::node_config::ConfigStep;
use crate::node_config::NodeConfig;
use crate::order_events::OrderAction;
use crate::order_events::OrderEvent;
use crate::orders::OpenOrder;
use crate::orders::Orders;
use crate::store_call::StoreAction;

/// Decision logic of one coordinator.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::coordinator::Coordinator;
/// use sedgeridge_coordination::coordinator_events::*;
/// use sedgeridge_state::ids::{Incarnation, Member};
/// use sedgeridge_state::settings::Settings;
///
/// let member = Member { host: "router-1".into(), incarnation: Incarnation(1) };
/// let settings = CoordinatorSettings::default();
/// let mut coordinator = Coordinator::new(member, settings, &Settings::default(), 0, 42);
/// let mut actions = Vec::new();
/// coordinator.handle(Duration::ZERO, CoordinatorEvent::Tick, &mut actions);
/// assert_eq!(actions.len(), 1);
/// assert!(coordinator.held(Duration::ZERO).is_none());
/// ```
#[derive(Debug)]
pub struct Coordinator {
    settings: CoordinatorSettings,
    lease: Lease,
    orders: Orders,
    sweep: ClaimSweep,
    drain_announcements: EndpointSchedule,
    /// Fencing number of the lease that the orders and the sweep were told of.
    known_epoch: Option<FencingNumber>,
    load_reads: EndpointSchedule,
    /// Follows the accepted configuration; none if the settings files stay in force.
    config: Option<NodeConfig>,
}

impl Coordinator {
    /// Creates the coordinator of a process that started at this Unix time; `seed` determines every
    /// random choice.
    pub fn new(
        member: Member,
        settings: CoordinatorSettings,
        configuration: &Settings,
        started_unix_ms: u64,
        seed: u64,
    ) -> Self {
        let sweep_seed = seed.wrapping_add(1);
        let config = NodeConfig::for_host(&member.host, configuration, seed.wrapping_add(2));
        let mut orders = Orders::new(settings.orders.clone());
        // Files may be out of date, so with an accepted configuration orders wait until it is read.
        if config.is_none() {
            orders.handle(
                Duration::ZERO,
                configured_event(configuration),
                &mut Vec::new(),
            );
        }
        Self {
            lease: Lease::new(member, settings.lease.clone(), seed),
            orders,
            sweep: ClaimSweep::new(settings.sweep.clone(), started_unix_ms, sweep_seed),
            drain_announcements: EndpointSchedule::default(),
            known_epoch: None,
            load_reads: EndpointSchedule::default(),
            config,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// The lease is handled first, so that a process that was paused past its term learns of the
    /// loss before it decides anything else.
    pub fn handle(
        &mut self,
        now: Duration,
        event: CoordinatorEvent,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let PartEvents {
            lease,
            config,
            orders,
            sweep,
        } = route(now, event);
        self.handle_lease_event(now, lease, actions);
        self.handle_config_event(now, config, actions);
        self.handle_order_event(now, orders, actions);
        self.handle_sweep_event(now, sweep, actions);
        self.announce_drains(now, actions);
        self.read_watched_loads(now, actions);
    }

    /// Returns the lease if this process may send an order at `now`; see [`Lease::held`].
    pub fn held(&self, now: Duration) -> Option<HeldLease> {
        self.lease.held(now)
    }

    /// Returns the lease's record as last read or written, whoever holds it.
    pub fn lease_record(&self) -> Option<&LeaseRecord> {
        self.lease.record()
    }

    /// Returns whether a coordinator that was told to stop has released its lease.
    pub fn is_stopped(&self) -> bool {
        self.lease.is_released()
    }

    /// Lists the orders in progress.
    pub fn open_orders(&self) -> impl Iterator<Item = OpenOrder<'_>> {
        self.orders.open_orders()
    }

    fn handle_lease_event(
        &mut self,
        now: Duration,
        event: LeaseEvent,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let mut lease_actions = Vec::new();
        self.lease.handle(now, event, &mut lease_actions);
        for action in lease_actions {
            match action {
                LeaseAction::Store(action) => actions.push(CoordinatorAction::Store {
                    part: CoordinatorPart::Lease,
                    action,
                }),
                LeaseAction::Held(held) => self.handle_held(now, held, actions),
                LeaseAction::Lost => self.handle_lost(now, actions),
            }
        }
    }

    fn handle_held(
        &mut self,
        now: Duration,
        held: HeldLease,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if self.known_epoch != Some(held.fencing) {
            self.known_epoch = Some(held.fencing);
            actions.push(CoordinatorAction::Held(held));
        }
        self.handle_order_event(now, OrderEvent::Lease(Some(held)), actions);
        self.handle_sweep_event(now, ClaimSweepEvent::LeaseHeld(true), actions);
    }

    fn handle_lost(&mut self, now: Duration, actions: &mut Vec<CoordinatorAction>) {
        self.known_epoch = None;
        actions.push(CoordinatorAction::Lost);
        self.handle_order_event(now, OrderEvent::Lease(None), actions);
        self.handle_sweep_event(now, ClaimSweepEvent::LeaseHeld(false), actions);
    }

    fn handle_order_event(
        &mut self,
        now: Duration,
        event: OrderEvent,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let mut order_actions = Vec::new();
        self.orders.handle(now, event, &mut order_actions);
        for action in order_actions {
            match action {
                OrderAction::Store(action) => actions.push(CoordinatorAction::Store {
                    part: CoordinatorPart::Orders,
                    action,
                }),
                OrderAction::Send(order) => actions.push(CoordinatorAction::Send(order)),
                OrderAction::ReadBack {
                    endpoint,
                    number,
                    order,
                } => actions.push(CoordinatorAction::ReadBack {
                    endpoint,
                    number,
                    order,
                }),
                OrderAction::Ended {
                    endpoint,
                    number,
                    state,
                } => actions.push(CoordinatorAction::Ended {
                    endpoint,
                    number,
                    state,
                }),
                // Drains are announced from the list of drained endpoints, and orders come only
                // from the table.
                OrderAction::Drain(_) | OrderAction::Undrain(_) | OrderAction::Rejected { .. } => {}
            }
        }
    }

    /// Follows the accepted configuration while this process holds the lease. Candidates don't need
    /// it, and their reads would cost the table more than the holder's.
    fn handle_config_event(
        &mut self,
        now: Duration,
        event: ConfigEvent<ConfigContent>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let Some(config) = self.config.as_mut().filter(|_| self.known_epoch.is_some()) else {
            return;
        };
        let mut steps = Vec::new();
        config.handle(now, event, &mut steps);
        for step in steps {
            match step {
                ConfigStep::Read(read) => actions.push(CoordinatorAction::ReadConfig(read)),
                ConfigStep::Adopt {
                    generation,
                    settings,
                } => {
                    self.handle_order_event(now, configured_event(&settings), actions);
                    actions.push(CoordinatorAction::Configured {
                        generation,
                        settings,
                    });
                }
                ConfigStep::Unusable {
                    generation,
                    findings,
                } => actions.push(CoordinatorAction::ConfigUnusable {
                    generation,
                    findings,
                }),
                // A coordinator has no peers and takes no requests.
                ConfigStep::Send { .. } | ConfigStep::Announce(_) | ConfigStep::Ready => {}
            }
        }
    }

    fn handle_sweep_event(
        &mut self,
        now: Duration,
        event: ClaimSweepEvent,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let mut calls = Vec::new();
        self.sweep.handle(now, event, &mut calls);
        let part = CoordinatorPart::Sweep;
        let store = |action: StoreAction| CoordinatorAction::Store { part, action };
        actions.extend(calls.into_iter().map(store));
    }

    /// Announces the drains to routers, and repeats that at an interval.
    ///
    /// Routers honour a drain only for a limited time. So a holder that dies during a drain does
    /// not take the endpoint out of service for good, and no message is needed to end a drain.
    fn announce_drains(&mut self, now: Duration, actions: &mut Vec<CoordinatorAction>) {
        self.drain_announcements
            .sync_endpoints(now, self.orders.drained_endpoints());
        let interval = millis(self.settings.drain_announce_interval_ms);
        for endpoint in self.drain_announcements.take_due(now, interval) {
            actions.push(CoordinatorAction::AnnounceDrain { endpoint });
        }
    }

    /// Reads the load reports that the orders in progress need.
    ///
    /// The report of an endpoint that is no longer watched is dropped. Otherwise the endpoint would
    /// count as serving when the next order comes hours later, and the pool could fall below its
    /// floor.
    fn read_watched_loads(&mut self, now: Duration, actions: &mut Vec<CoordinatorAction>) {
        for endpoint in self
            .load_reads
            .sync_endpoints(now, &self.orders.watched_endpoints())
        {
            self.handle_order_event(now, OrderEvent::EndpointUnknown { endpoint }, actions);
        }
        let interval = millis(self.settings.report_interval_ms);
        for endpoint in self.load_reads.take_due(now, interval) {
            actions.push(CoordinatorAction::ReadLoad { endpoint });
        }
    }
}
