//! The home of a pool: orders the demand of the whole fleet and grants the pool's slots.
//!
//! Entry routers report waiting requests, running requests and settled service. The home charges
//! each account its settled service and the estimated cost of its running requests, and grants
//! every free slot to the backlogged account with the least weighted service. It has no durable
//! state: a new home starts from full reports.

use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FairSettings;
use sedgeridge_state::settings::millis;

use crate::account_table::AccountTable;
use crate::demand_table::DemandTable;
use crate::entry_table::EntryTable;
use crate::fair_order::Tag;
use crate::home_counters::HomeCounters;
use crate::rendezvous::seed_of;
use crate::report_apply::ResolvedServed;
use crate::slot_table::SlotTable;

pub use crate::home_events::AccountWeight;
pub use crate::home_events::HomeAction;
pub use crate::home_events::HomeEndpoint;
pub use crate::home_events::HomeEvent;
pub use crate::home_events::HostSite;
pub use crate::home_events::SlotUsage;

/// Minimum charge of a request, so that a request with an estimate of zero still moves the order.
pub(crate) const MIN_CHARGE_TOKENS: u64 = 1;
/// Age of a router's last full report at which another one is requested.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// Step and number of steps by which the requests to different routers are spread.
const FULL_REPORT_STEP: Duration = Duration::from_millis(100);
const FULL_REPORT_STEPS: usize = 100;

/// Deadline for the acknowledgement of a grant.
#[derive(Debug)]
pub(crate) struct GrantExpiry {
    pub(crate) at: Duration,
    pub(crate) router: usize,
    pub(crate) sequence: u64,
}

/// Home of one pool.
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
    /// Accounts whose service or demand the current event changed.
    pub(crate) changed_accounts: Vec<usize>,
    pub(crate) resolved_served: Vec<ResolvedServed>,
    pub(crate) host_sites: Vec<HostSite>,
    pub(crate) members_known: bool,
    pub(crate) is_configured: bool,
    pub(crate) started_at: Option<Duration>,
    pub(crate) is_granting: bool,
    pub(crate) expiries: VecDeque<GrantExpiry>,
    /// Highest sequence of all grants of this home.
    pub(crate) highest_sequence: u64,
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
    /// assert_eq!(actions, [HomeAction::RequestFullReport { to: member }]);
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
            changed_accounts: Vec::new(),
            resolved_served: Vec::new(),
            host_sites: Vec::new(),
            members_known: false,
            is_configured: false,
            started_at: None,
            is_granting: false,
            expiries: VecDeque::new(),
            highest_sequence: 0,
            member,
            pool,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// `now` must not decrease. Reports of hosts outside the last [`HomeEvent::Members`] are
    /// rejected, and nothing is granted before the first [`HomeEvent::Configured`].
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
            HomeEvent::Report(report) => self.handle_report(now, &report, actions),
            HomeEvent::EndpointState {
                endpoint,
                usable_slots,
            } => {
                if let Some(endpoint) = self.slots.find(&endpoint) {
                    self.slots.set_usable(endpoint, usable_slots);
                }
            }
            HomeEvent::Members(members) => self.set_members(now, &members, actions),
            HomeEvent::Tick => {
                self.expire_grants(now, actions);
                self.request_due_full_reports(now, actions);
            }
        }
        self.refresh_changed_accounts();
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
        for router in self.entries.indices() {
            if std::mem::take(&mut self.entries.record_mut(router).has_unknown_names) {
                self.request_full_report(now, router, actions);
            }
        }
        for account in self.accounts.configure(weights) {
            self.drop_demand_of(account);
        }
        self.is_configured = true;
    }

    /// Repeats unanswered requests for full reports, and requests one from each router regularly.
    ///
    /// If a request is lost and the router has nothing new to report, its demand stays unknown here
    /// and its callers wait. The same holds for a lost report that no other follows, since no gap
    /// in the sequence shows; the regular request bounds that wait.
    fn request_due_full_reports(&mut self, now: Duration, actions: &mut Vec<HomeAction>) {
        for router in self.entries.indices() {
            let record = self.entries.record(router);
            let stale = now >= record.last_full_at + full_report_interval(router);
            if stale || record.full_report_requested_at.is_some() {
                self.request_full_report(now, router, actions);
            }
        }
    }

    /// Requests a full report unless one was requested within the gather timeout.
    pub(crate) fn request_full_report(
        &mut self,
        now: Duration,
        router: usize,
        actions: &mut Vec<HomeAction>,
    ) {
        let repeat_after = millis(self.settings.gather_timeout_ms);
        let record = self.entries.record_mut(router);
        if record
            .full_report_requested_at
            .is_some_and(|at| now < at + repeat_after)
        {
            return;
        }
        record.full_report_requested_at = Some(now);
        let to = record.member.clone();
        actions.push(HomeAction::RequestFullReport { to });
    }

    fn refresh_changed_accounts(&mut self) {
        self.demand.refresh_changed();
        let mut changed_accounts = std::mem::take(&mut self.changed_accounts);
        changed_accounts.sort_unstable();
        changed_accounts.dedup();
        let demand = &self.demand;
        self.accounts
            .refresh(&changed_accounts, |account| demand.is_backlogged(account));
        changed_accounts.clear();
        self.changed_accounts = changed_accounts;
    }
}

/// Spreads the requests: a new home gets the first full reports of all routers at once, and with
/// equal intervals would get all later ones at once too.
fn full_report_interval(router: usize) -> Duration {
    FULL_REPORT_INTERVAL + FULL_REPORT_STEP * (router % FULL_REPORT_STEPS) as u32
}
