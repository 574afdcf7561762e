//! The home of a pool: orders the demand of the whole fleet and grants the pool's slots.
//!
//! Entry routers report what waits, what runs and what was served. The home charges each account
//! its settled service and the estimates of what runs, and grants every free slot to the
//! backlogged account with the least weighted service. It keeps nothing that must last: a new home
//! starts from full reports.

use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::ids::SiteId;
use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::QueueOrder;
use sedgeridge_state::settings::millis;

use crate::account_table::AccountTable;
use crate::demand_table::DemandKey;
use crate::demand_table::DemandTable;
use crate::entry_record::GrantStage;
use crate::entry_record::Held;
use crate::entry_table::EntryTable;
use crate::fair_order::Tag;
use crate::home_counters::HomeCounters;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;
use crate::rendezvous::seed_of;
use crate::slot_table::SlotTable;

/// Least charge of a request, so that requests estimated at nothing still move the order.
pub(crate) const MIN_CHARGE_TOKENS: u64 = 1;
/// Time after which a router with grants in use is asked to list them all.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(30);

/// What happens to the home of a pool.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeEvent {
    /// A configuration is in force.
    Configured {
        /// The pool's endpoints.
        endpoints: Vec<HomeEndpoint>,
        /// Weights of all client accounts.
        weights: Vec<AccountWeight>,
    },
    /// Where the hosts stand; without it no endpoint counts as near.
    HostSites(Vec<HostSite>),
    /// An entry router reports.
    Report(EntryReport),
    /// What is known of an endpoint changed.
    EndpointState {
        /// The endpoint.
        endpoint: EndpointId,
        /// Slots that may be granted now; 0 while it is ejected or leaving.
        usable_slots: u32,
    },
    /// The members believed alive changed; holdings of the others are freed.
    Members(Vec<Member>),
    /// Time passed.
    Tick,
}

/// An endpoint as its pool's home sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Site it stands in.
    pub site: SiteId,
    /// Requests it may run at once.
    pub slots: u32,
}

/// Share of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountWeight {
    /// The client account.
    pub account: AccountId,
    /// Share relative to other accounts.
    pub weight: u32,
}

/// Where a host stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSite {
    /// The host.
    pub host: HostId,
    /// Its site.
    pub site: SiteId,
}

/// Slots of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUsage {
    /// Slots that may be granted now.
    pub usable: u32,
    /// Slots that grants occupy; above `usable` when it shrank, or after rehoming.
    pub occupied: u32,
}

/// What the home of a pool wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomeAction {
    /// Send a grant.
    Grant {
        /// The entry router.
        to: Member,
        /// The grant.
        grant: Grant,
    },
    /// Ask an entry router for a full report.
    AskFull {
        /// The entry router.
        to: Member,
    },
}

/// A grant whose acknowledgement is due.
#[derive(Debug)]
struct Expiry {
    at: Duration,
    router: usize,
    sequence: u64,
}

/// Orders demand and grants slots.
#[derive(Debug)]
pub struct PoolHome {
    pub(crate) member: Member,
    pub(crate) pool: PoolId,
    pub(crate) settings: FairSettings,
    pub(crate) accounts: AccountTable,
    pub(crate) slots: SlotTable,
    pub(crate) demand: DemandTable,
    pub(crate) entries: EntryTable,
    pub(crate) counters: HomeCounters,
    /// Accounts whose service or demand changed in this event.
    pub(crate) touched: Vec<usize>,
    pub(crate) host_sites: Vec<HostSite>,
    pub(crate) members_known: bool,
    configured: bool,
    started_at: Option<Duration>,
    granting: bool,
    expiries: VecDeque<Expiry>,
}

impl PoolHome {
    /// Creates the home of `pool` on `member`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::pool_home::{HomeAction, HomeEvent, PoolHome};
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member, PoolId};
    /// use sedgeridge_state::settings::FairSettings;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let mut home = PoolHome::new(member.clone(), PoolId::from("desk"), FairSettings::default());
    /// let mut actions = Vec::new();
    /// home.handle(Duration::ZERO, HomeEvent::Members(vec![member.clone()]), &mut actions);
    /// assert_eq!(actions, [HomeAction::AskFull { to: member }]);
    /// ```
    pub fn new(member: Member, pool: PoolId, settings: FairSettings) -> Self {
        let seed = seed_of(pool.as_str());
        Self::with_seed(member, pool, settings, seed)
    }

    /// Creates a home whose random endpoint choice starts from `seed`.
    ///
    /// ```
    /// use sedgeridge_coordination::pool_home::PoolHome;
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member, PoolId};
    /// use sedgeridge_state::settings::FairSettings;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let home = PoolHome::with_seed(member, PoolId::from("desk"), FairSettings::default(), 7);
    /// assert_eq!(home.counters().grants, 0);
    /// ```
    pub fn with_seed(member: Member, pool: PoolId, settings: FairSettings, seed: u64) -> Self {
        Self {
            accounts: AccountTable::default(),
            slots: SlotTable::new(settings.endpoint_choice, seed),
            demand: DemandTable::new(settings.order),
            entries: EntryTable::default(),
            counters: HomeCounters::default(),
            touched: Vec::new(),
            host_sites: Vec::new(),
            members_known: false,
            configured: false,
            started_at: None,
            granting: false,
            expiries: VecDeque::new(),
            member,
            pool,
            settings,
        }
    }

    /// Takes one event and appends what is to be done.
    ///
    /// `now` never goes back. Reports of hosts outside the last [`HomeEvent::Members`] are not
    /// taken, and nothing is granted before the first [`HomeEvent::Configured`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::pool_home::{HomeEvent, PoolHome};
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member, PoolId};
    /// use sedgeridge_state::settings::FairSettings;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let mut home = PoolHome::new(member, PoolId::from("desk"), FairSettings::default());
    /// let mut actions = Vec::new();
    /// home.handle(Duration::from_millis(20), HomeEvent::Tick, &mut actions);
    /// assert!(actions.is_empty());
    /// ```
    pub fn handle(&mut self, now: Duration, event: HomeEvent, actions: &mut Vec<HomeAction>) {
        self.started_at.get_or_insert(now);
        match event {
            HomeEvent::Configured { endpoints, weights } => {
                self.configure(now, &endpoints, &weights, actions);
            }
            HomeEvent::HostSites(host_sites) => self.set_host_sites(host_sites),
            HomeEvent::Report(report) => self.take_report(now, &report, actions),
            HomeEvent::EndpointState {
                endpoint,
                usable_slots,
            } => {
                if let Some(endpoint) = self.slots.find(&endpoint) {
                    self.slots.set_usable(endpoint, usable_slots);
                }
            }
            HomeEvent::Members(members) => self.set_members(now, &members, actions),
            HomeEvent::Tick => self.reconcile(now, actions),
        }
        self.expire_grants(now, actions);
        self.refresh_touched();
        self.finish_gathering(now);
        self.grant_free_slots(now, actions);
    }

    /// Returns the counters since this home started.
    ///
    /// ```
    /// use sedgeridge_coordination::pool_home::PoolHome;
    /// use sedgeridge_state::ids::{HostId, Incarnation, Member, PoolId};
    /// use sedgeridge_state::settings::FairSettings;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let home = PoolHome::new(member, PoolId::from("desk"), FairSettings::default());
    /// assert!(home.counters().rejections.is_empty());
    /// ```
    pub fn counters(&self) -> &HomeCounters {
        &self.counters
    }

    /// Returns how the slots of an endpoint are used, if it is or was configured.
    ///
    /// ```
    /// use sedgeridge_coordination::pool_home::PoolHome;
    /// use sedgeridge_state::ids::{EndpointId, HostId, Incarnation, Member, PoolId};
    /// use sedgeridge_state::settings::FairSettings;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let home = PoolHome::new(member, PoolId::from("desk"), FairSettings::default());
    /// assert_eq!(home.slot_usage(&EndpointId::from("desk-1")), None);
    /// ```
    pub fn slot_usage(&self, endpoint: &EndpointId) -> Option<SlotUsage> {
        let endpoint = self.slots.find(endpoint)?;
        Some(self.slots.usage(endpoint))
    }

    /// Returns the weighted service of an account, if it is or was configured.
    ///
    /// ```
    /// use sedgeridge_coordination::pool_home::PoolHome;
    /// use sedgeridge_state::ids::{AccountId, HostId, Incarnation, Member, PoolId};
    /// use sedgeridge_state::settings::FairSettings;
    ///
    /// let member = Member { host: HostId::from("r1"), incarnation: Incarnation(1) };
    /// let home = PoolHome::new(member, PoolId::from("desk"), FairSettings::default());
    /// assert_eq!(home.tag_of(&AccountId::from("crew-07")), None);
    /// ```
    pub fn tag_of(&self, account: &AccountId) -> Option<Tag> {
        let account = self.accounts.find(account)?;
        Some(self.accounts.tag(account))
    }

    fn configure(
        &mut self,
        now: Duration,
        endpoints: &[HomeEndpoint],
        weights: &[AccountWeight],
        actions: &mut Vec<HomeAction>,
    ) {
        self.slots.configure(endpoints);
        for account in self.accounts.configure(weights) {
            self.drop_demand_of(account);
        }
        self.configured = true;
        for router in self.entries.indices() {
            if std::mem::take(&mut self.entries.record_mut(router).named_unknown) {
                self.ask_full(now, router, actions);
            }
        }
    }

    /// Asks routers again whose full report is missing or old.
    fn reconcile(&mut self, now: Duration, actions: &mut Vec<HomeAction>) {
        for router in self.entries.indices() {
            let record = self.entries.record(router);
            let stale = record.holds_any() && now >= record.last_full_at + RECONCILE_INTERVAL;
            if record.last_sequence.is_none() || stale {
                self.ask_full(now, router, actions);
            }
        }
    }

    /// Asks for a full report unless one was asked for a moment ago.
    pub(crate) fn ask_full(&mut self, now: Duration, router: usize, actions: &mut Vec<HomeAction>) {
        let patience = millis(self.settings.gather_timeout_ms);
        let record = self.entries.record_mut(router);
        if record.asked_full_at.is_some_and(|at| now < at + patience) {
            return;
        }
        record.asked_full_at = Some(now);
        let to = record.member.clone();
        actions.push(HomeAction::AskFull { to });
    }

    /// Returns the slots of grants that were not acknowledged in time.
    ///
    /// A lost grant would keep its slot idle for good while work waits. Its router gets no further
    /// grant until it reports, else each grant to an unreachable router idles a slot anew.
    fn expire_grants(&mut self, now: Duration, actions: &mut Vec<HomeAction>) {
        while self.expiries.front().is_some_and(|first| first.at <= now) {
            let Some(Expiry {
                at,
                router,
                sequence,
            }) = self.expiries.pop_front()
            else {
                return;
            };
            if self.time_out(at, router, sequence) {
                self.counters.timed_out_grants += 1;
                self.ask_full(now, router, actions);
            }
        }
    }

    /// Starts granting once the slots in use are known.
    ///
    /// A new home that grants at once hands out slots that still run requests granted by the home
    /// before it: endpoints get up to twice their load at each rehoming. Every live member lists
    /// its grants in use in its full report, so when all have come no slot in use is unknown. A
    /// member that stays silent may hold its reports back for the gather time at most; what it
    /// holds is then over-admitted until its report arrives.
    fn finish_gathering(&mut self, now: Duration) {
        if self.granting || !self.configured {
            return;
        }
        let started_at = self.started_at.unwrap_or(now);
        let waited = now >= started_at + millis(self.settings.gather_timeout_ms);
        self.granting = waited || (self.members_known && self.entries.all_reported());
    }

    fn grant_free_slots(&mut self, now: Duration, actions: &mut Vec<HomeAction>) {
        while self.granting && self.slots.any_free() {
            let Some(key) = self.next_demand() else {
                return;
            };
            let reported = self.demand.reported(key);
            let site = self.entries.record(key.router).site;
            let Some(endpoint) = self.slots.take(reported.head_prefix, site) else {
                return;
            };
            let estimate_tokens = reported.head_cost_tokens.max(MIN_CHARGE_TOKENS);
            actions.push(self.grant(now, key, endpoint, estimate_tokens));
        }
    }

    fn next_demand(&self) -> Option<DemandKey> {
        match self.settings.order {
            QueueOrder::Fair => self.demand.next_of(self.accounts.next()?),
            QueueOrder::Fifo => self.demand.oldest(),
        }
    }

    fn grant(
        &mut self,
        now: Duration,
        key: DemandKey,
        endpoint: usize,
        estimate_tokens: u64,
    ) -> HomeAction {
        let at = now + millis(self.settings.grant_timeout_ms);
        let record = self.entries.record_mut(key.router);
        record.last_granted += 1;
        let sequence = record.last_granted;
        let held = Held {
            account: key.account,
            class: key.class,
            endpoint,
            estimate_tokens,
            stage: GrantStage::Sent { expires_at: at },
        };
        record.own.insert(sequence, held);
        let to = record.member.clone();
        self.expiries.push_back(Expiry {
            at,
            router: key.router,
            sequence,
        });
        self.accounts.charge(key.account, estimate_tokens);
        self.demand.granted(key);
        self.refresh_account(key.account);
        self.counters.grants += 1;
        let grant = Grant {
            id: GrantId {
                home: self.member.clone(),
                sequence,
            },
            pool: self.pool.clone(),
            endpoint: self.slots.id(endpoint).clone(),
            account: self.accounts.id(key.account).clone(),
            class: key.class,
        };
        HomeAction::Grant { to, grant }
    }

    fn refresh_account(&mut self, account: usize) {
        let floor = self.accounts.floor();
        let backlogged = self.demand.is_backlogged(account);
        self.accounts.refresh(account, backlogged, floor);
    }

    /// Brings the order up to date with everything that this event changed.
    ///
    /// Accounts that become backlogged together start from the same floor, whatever their order
    /// in the report: else the first one's tag would lift the second one's.
    fn refresh_touched(&mut self) {
        self.demand.settle();
        let mut touched = std::mem::take(&mut self.touched);
        touched.sort_unstable();
        touched.dedup();
        let floor = self.accounts.floor();
        for account in touched.drain(..) {
            let backlogged = self.demand.is_backlogged(account);
            self.accounts.refresh(account, backlogged, floor);
        }
        self.touched = touched;
    }
}
