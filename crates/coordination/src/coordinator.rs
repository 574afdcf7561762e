//! One coordinator's decisions as a whole: the lease, the orders to engines and the sweep of
//! expired claims.

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
use crate::coordinator_input::Events;
use crate::coordinator_input::configured;
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

/// All decisions of one coordinator.
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
    drains: EndpointSchedule,
    /// The epoch that orders and sweep know of.
    epoch: Option<FencingNumber>,
    followed: EndpointSchedule,
    /// The accepted configuration, unless the files stay in force.
    config: Option<NodeConfig>,
}

impl Coordinator {
    /// Creates the coordinator of a process that started at this Unix time; `seed` feeds every
    /// random choice.
    pub fn new(
        member: Member,
        settings: CoordinatorSettings,
        configuration: &Settings,
        started_unix_ms: u64,
        seed: u64,
    ) -> Self {
        let sweep_seed = seed.wrapping_add(1);
        let config = NodeConfig::of_host(&member.host, configuration, seed.wrapping_add(2));
        let mut orders = Orders::new(settings.orders.clone());
        // Until the accepted configuration is read, an order would go by files that may be old.
        if config.is_none() {
            orders.handle(Duration::ZERO, configured(configuration), &mut Vec::new());
        }
        Self {
            lease: Lease::new(member, settings.lease.clone(), seed),
            orders,
            sweep: ClaimSweep::new(settings.sweep.clone(), started_unix_ms, sweep_seed),
            drains: EndpointSchedule::default(),
            epoch: None,
            followed: EndpointSchedule::default(),
            config,
            settings,
        }
    }

    /// Takes one event and appends what is to be done.
    ///
    /// The lease comes first, so that a process that was paused past its term learns so before
    /// anything else is decided.
    pub fn handle(
        &mut self,
        now: Duration,
        event: CoordinatorEvent,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let Events {
            lease,
            config,
            orders,
            sweep,
        } = route(now, event);
        self.lease_event(now, lease, actions);
        self.config_event(now, config, actions);
        self.order_event(now, orders, actions);
        self.sweep_event(now, sweep, actions);
        self.announce_drains(now, actions);
        self.follow_reports(now, actions);
    }

    /// Returns the lease if an order may be sent at this time; see [`Lease::held`].
    pub fn held(&self, now: Duration) -> Option<HeldLease> {
        self.lease.held(now)
    }

    /// Returns the lease's record as last read or written, whoever holds it.
    pub fn lease_record(&self) -> Option<&LeaseRecord> {
        self.lease.record()
    }

    /// Tells whether a coordinator that was told to stop has given its lease back.
    pub fn is_stopped(&self) -> bool {
        self.lease.is_given_back()
    }

    /// Lists the orders under way.
    pub fn open_orders(&self) -> impl Iterator<Item = OpenOrder<'_>> {
        self.orders.open()
    }

    fn lease_event(
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
                LeaseAction::Held(held) => self.take_held(now, held, actions),
                LeaseAction::Lost => self.lose(now, actions),
            }
        }
    }

    fn take_held(&mut self, now: Duration, held: HeldLease, actions: &mut Vec<CoordinatorAction>) {
        if self.epoch != Some(held.fencing) {
            self.epoch = Some(held.fencing);
            actions.push(CoordinatorAction::Held(held));
        }
        self.order_event(now, OrderEvent::Lease(Some(held)), actions);
        self.sweep_event(now, ClaimSweepEvent::Leading(true), actions);
    }

    fn lose(&mut self, now: Duration, actions: &mut Vec<CoordinatorAction>) {
        self.epoch = None;
        actions.push(CoordinatorAction::Lost);
        self.order_event(now, OrderEvent::Lease(None), actions);
        self.sweep_event(now, ClaimSweepEvent::Leading(false), actions);
    }

    fn order_event(
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
                // Drains are announced as long as they last. Orders come from the table only.
                OrderAction::Drain(_) | OrderAction::Undrain(_) | OrderAction::NotTaken { .. } => {}
            }
        }
    }

    /// Follows the accepted configuration while this process holds the lease; candidates have no use
    /// for it, and their reads would cost the table more than the holder's.
    fn config_event(
        &mut self,
        now: Duration,
        event: ConfigEvent<ConfigContent>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let Some(config) = self.config.as_mut().filter(|_| self.epoch.is_some()) else {
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
                    self.order_event(now, configured(&settings), actions);
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

    fn sweep_event(
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

    /// Tells routers of the drains, again and again.
    ///
    /// Routers believe a drain for a time only. A holder that dies in the middle of one thus takes
    /// no endpoint out of service for good, and no message is needed to end a drain.
    fn announce_drains(&mut self, now: Duration, actions: &mut Vec<CoordinatorAction>) {
        self.drains.sync_endpoints(now, self.orders.drained());
        let interval = millis(self.settings.drain_repeat_ms);
        for endpoint in self.drains.take_due(now, interval) {
            actions.push(CoordinatorAction::AnnounceDrain { endpoint });
        }
    }

    /// Reads the load reports that the orders under way need.
    ///
    /// An endpoint that is no longer followed is forgotten: its last report would otherwise count
    /// as serving when the next order comes, hours later, and the pool could fall below its floor.
    fn follow_reports(&mut self, now: Duration, actions: &mut Vec<CoordinatorAction>) {
        for endpoint in self.followed.sync_endpoints(now, &self.orders.followed()) {
            self.order_event(now, OrderEvent::EndpointUnknown { endpoint }, actions);
        }
        let interval = millis(self.settings.report_interval_ms);
        for endpoint in self.followed.take_due(now, interval) {
            actions.push(CoordinatorAction::ReadLoad { endpoint });
        }
    }
}
