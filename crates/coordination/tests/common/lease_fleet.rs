//! Hosts that compete for the lease, each with a clock of its own rate.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_coordination::lease::Lease;
use sedgeridge_coordination::lease_events::HeldLease;
use sedgeridge_coordination::lease_events::LeaseAction;
use sedgeridge_coordination::lease_events::LeaseEvent;
use sedgeridge_coordination::lease_events::LeaseSettings;
use sedgeridge_coordination::store_call::StoreAction;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::lease_record::EPOCH_KEY;
use sedgeridge_state::lease_record::FencingNumber;

use super::store::CallOutcome;
use super::store::Store;

/// Clock rates of the hosts, in thousandths of real time.
const CLOCK_RATES_PER_MILLE: [u64; 3] = [1_000, 970, 1_030];

/// A process that competes for the lease.
#[derive(Debug)]
pub struct LeaseHost {
    pub member: Member,
    pub lease: Lease,
    pub calls: VecDeque<StoreAction>,
    pub paused: bool,
    pub started_at: Duration,
    pub clock_rate_per_mille: u64,
}

/// Hosts, their store and the orders that they sent.
#[derive(Debug)]
pub struct LeaseFleet {
    pub now: Duration,
    pub store: Store,
    pub hosts: Vec<LeaseHost>,
    pub epochs: BTreeMap<FencingNumber, Member>,
    /// When each epoch last sent an order to an engine that ignores fencing.
    pub unfenced_orders: BTreeMap<FencingNumber, Duration>,
    /// The highest fencing number that an engine has seen.
    pub engine_fencing: Option<FencingNumber>,
}

impl LeaseFleet {
    pub fn new(hosts: usize) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            store: Store::default(),
            hosts: Vec::new(),
            epochs: BTreeMap::new(),
            unfenced_orders: BTreeMap::new(),
            engine_fencing: None,
        };
        for index in 0..hosts {
            let host = fleet.start(index, 1);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn start(&self, index: usize, incarnation: u64) -> LeaseHost {
        let member = Member {
            host: HostId::from(format!("host-{index}").as_str()),
            incarnation: Incarnation(incarnation),
        };
        LeaseHost {
            lease: Lease::new(member.clone(), LeaseSettings::default(), index as u64),
            member,
            calls: VecDeque::new(),
            paused: false,
            started_at: self.now,
            clock_rate_per_mille: CLOCK_RATES_PER_MILLE[index % CLOCK_RATES_PER_MILLE.len()],
        }
    }

    /// Kills a host and starts it again without memory. Its calls may still reach the store.
    pub fn restart(&mut self, index: usize) {
        for call in &self.hosts[index].calls {
            self.store.delay_write(call);
        }
        let incarnation = self.hosts[index].member.incarnation.0 + 1;
        self.hosts[index] = self.start(index, incarnation);
    }

    fn local_now(&self, index: usize) -> Duration {
        let host = &self.hosts[index];
        (self.now - host.started_at) * host.clock_rate_per_mille as u32 / 1_000
    }

    /// Passes an event to a host unless it is paused.
    pub fn event(&mut self, index: usize, event: LeaseEvent) {
        if self.hosts[index].paused {
            return;
        }
        let now = self.local_now(index);
        let mut actions = Vec::new();
        let host = &mut self.hosts[index];
        host.lease.handle(now, event, &mut actions);
        let member = host.member.clone();
        for action in actions {
            match action {
                LeaseAction::Store(call) => self.hosts[index].calls.push_back(call),
                LeaseAction::Held(held) => {
                    let holder = self.epochs.entry(held.fencing).or_insert(member.clone());
                    assert_eq!(*holder, member, "two holders of {:?}", held.fencing);
                }
                LeaseAction::Lost => {}
            }
        }
    }

    /// Delivers the oldest call of a host to the store.
    pub fn deliver(&mut self, index: usize, outcome: CallOutcome) {
        if self.hosts[index].paused {
            return;
        }
        if let Some(call) = self.hosts[index].calls.pop_front() {
            let event = self.store.call(&call, outcome);
            self.event(index, LeaseEvent::Store(event));
        }
    }

    /// Advances all clocks, also those of paused hosts.
    pub fn advance(&mut self, by_ms: u64) {
        self.now += Duration::from_millis(by_ms);
        for index in 0..self.hosts.len() {
            self.event(index, LeaseEvent::Tick);
        }
    }

    /// Runs for the given time with a store that answers every call.
    pub fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 100 {
            self.advance(100);
            for index in 0..self.hosts.len() {
                while !self.hosts[index].paused && !self.hosts[index].calls.is_empty() {
                    self.deliver(index, CallOutcome::Answered);
                }
            }
        }
    }

    /// Returns the lease that a host holds now.
    pub fn held(&self, index: usize) -> Option<HeldLease> {
        let host = &self.hosts[index];
        host.lease.held(self.local_now(index))
    }

    /// Lists the hosts that hold the lease now.
    pub fn holders(&self) -> Vec<usize> {
        let all = 0..self.hosts.len();
        all.filter(|i| self.held(*i).is_some()).collect()
    }

    /// Sends an order from a host to an engine that ignores fencing, if its lease allows it.
    pub fn order_unfenced(&mut self, index: usize) -> bool {
        let local_now = self.local_now(index);
        let Some(held) = self.held(index) else {
            return false;
        };
        if self.hosts[index].paused || local_now < held.unfenced_orders_from {
            return false;
        }
        let max_order_delay = Duration::from_millis(LeaseSettings::default().max_order_delay_ms);
        for (fencing, sent_at) in self.unfenced_orders.range(..held.fencing) {
            let arrived_by = *sent_at + max_order_delay;
            assert!(
                arrived_by <= self.now,
                "an order of {fencing:?} may still be in transit"
            );
        }
        self.unfenced_orders.insert(held.fencing, self.now);
        true
    }

    /// Checks the invariants.
    pub fn check(&self) {
        let holders = self.holders();
        assert!(holders.len() <= 1, "hosts {holders:?} all hold the lease");
        for index in holders {
            let epoch = self.store.version_of(EPOCH_KEY);
            let held = self.held(index).map(|h| h.epoch_version);
            assert_eq!(held, epoch, "host {index} holds an epoch that is over");
        }
    }
}
