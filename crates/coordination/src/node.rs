//! The state machine of one router: membership, the entry part, claims, configuration, and the
//! homes of the pools that membership places on this router.

mod homes;
mod peers;
mod requests;
mod settings;

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FairScope;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::millis;

use crate::config_events::ConfigEvent;
use crate::entry::Entry;
use crate::entry_events::EntryAction;
use crate::entry_events::EntryEvent;
use crate::home_counters::HomeCounters;
use crate::homed_pool::HomedPool;
use crate::membership::ListedHost;
use crate::membership::LiveMember;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::membership::MembershipEvent;
use crate::membership::Notice;
use crate::membership::Rejections;
use crate::node_claims::NodeClaims;
use crate::node_config::NodeConfig;
use crate::report_schedule::ReportSchedule;
use crate::retry_budget::RetryDenial;
use crate::retry_budget::RetryReason;

pub use crate::node_events::NodeAction;
pub use crate::node_events::NodeEvent;
pub use crate::node_events::NodeLoad;
pub use crate::node_events::PeerMessage;

/// Maximum number of rounds of reports and grants inside one router that one event may cause. Each
/// round uses up a waiting request or a slot, so the exchange ends by itself. The bound only guards
/// against a violation of that.
pub(crate) const MAX_LOCAL_ROUNDS: usize = 10_000;

/// Actions of the parts of a router, collected while one event is handled.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Actions of the entry part that are not yet handled.
    pub(crate) entry_actions: Vec<EntryAction>,
    /// Actions for the caller of the node.
    pub(crate) actions: Vec<NodeAction>,
}

/// The state machine of one router.
///
/// ```
/// use std::time::Duration;
/// use sedgeridge_coordination::node::{Node, NodeEvent};
/// use sedgeridge_state::ids::{Incarnation, Member};
/// use sedgeridge_state::settings::Settings;
///
/// let member = Member { host: "router-1".into(), incarnation: Incarnation(1) };
/// let mut node = Node::new(member, Settings::default(), 42);
/// let mut actions = Vec::new();
/// node.handle(Duration::ZERO, NodeEvent::Tick, &mut actions);
/// assert_eq!(node.load().live_members, 1);
/// ```
#[derive(Debug)]
pub struct Node {
    member: Member,
    settings: Settings,
    membership: Membership,
    pub(crate) entry: Entry,
    claims: NodeClaims,
    config: Option<NodeConfig>,
    pub(crate) homes: BTreeMap<PoolId, HomedPool>,
    live_members: Vec<LiveMember>,
    report_schedule: ReportSchedule,
}

impl Node {
    /// Creates the state of the router run `member`. All random choices derive from `seed`.
    pub fn new(member: Member, settings: Settings, seed: u64) -> Self {
        let hosts: Vec<HostId> = settings.hosts.iter().map(|host| host.id.clone()).collect();
        let report_schedule = ReportSchedule::new(
            millis(settings.fair.batch_interval_ms),
            millis(settings.fair.report_interval_ms),
        );
        let config = NodeConfig::for_host(&member.host, &settings, seed.wrapping_add(3));
        let membership = Membership::new(member.clone(), settings.membership.clone(), hosts, seed);
        let mut node = Self {
            entry: Entry::new(member.clone(), &settings, seed.wrapping_add(1)),
            config,
            claims: NodeClaims::new(member.clone(), seed.wrapping_add(2)),
            member: member.clone(),
            settings,
            membership,
            homes: BTreeMap::new(),
            live_members: Vec::new(),
            report_schedule,
        };
        if node.settings.fair.scope == FairScope::Router {
            node.live_members = vec![LiveMember {
                member,
                state: MemberState::Alive,
            }];
            node.place_homes(Duration::ZERO, &mut Outbox::default());
        }
        node
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        let mut out = Outbox::default();
        let out = &mut out;
        match event {
            NodeEvent::RequestArrived { arrival, claim } => {
                self.handle_arrival(now, arrival, claim, out);
            }
            NodeEvent::CallerGone { key } => {
                self.handle_caller_gone(now, key, out);
            }
            NodeEvent::Progress {
                attempt,
                charged_tokens,
            } => {
                let event = EntryEvent::Progress {
                    attempt,
                    charged_tokens,
                };
                self.entry.handle(now, event, &mut out.entry_actions);
            }
            NodeEvent::AttemptEnded {
                key,
                attempt,
                end,
                recorded,
            } => {
                let event = EntryEvent::AttemptEnded { attempt, end };
                self.entry.handle(now, event, &mut out.entry_actions);
                self.record_outcome(now, key, end, recorded, out);
            }
            NodeEvent::StoreCallEnded(event) => {
                let mut steps = Vec::new();
                self.claims.handle_store_event(now, event, &mut steps);
                self.handle_claim_steps(now, steps, out);
            }
            NodeEvent::ConfigReadEnded(event) => {
                self.update_config(now, out, |config, steps| {
                    config.handle(now, event, steps);
                });
            }
            NodeEvent::PeerMessage { from, message } => {
                self.handle_peer_message(now, &from, message, out);
            }
            NodeEvent::PeerMessagesLost { host } => {
                let event = EntryEvent::HomeResync { host };
                self.entry.handle(now, event, &mut out.entry_actions);
            }
            NodeEvent::MembershipMessage(message) => {
                let event = MembershipEvent::MessageReceived(message);
                self.handle_membership_event(now, event, out);
            }
            NodeEvent::HostList(hosts) => {
                self.for_each_home(now, out, |home, out| {
                    home.apply_host_list(now, &hosts, out);
                });
                // The list also names the hosts of endpoints, which are not members.
                let settings = &self.settings;
                let is_router = |listed: &ListedHost| settings.host(listed.host.as_str()).is_some();
                let routers = hosts.into_iter().filter(is_router).collect();
                let event = MembershipEvent::HostList(routers);
                self.handle_membership_event(now, event, out);
            }
            NodeEvent::LoadRead { endpoint, load } => {
                self.for_each_home(now, out, |home, out| {
                    home.record_load_report(now, &endpoint, load, out);
                });
            }
            NodeEvent::DrainEndpoint {
                endpoint,
                since_unix_ms,
            } => {
                let notice = Notice::EndpointLeaving {
                    endpoint,
                    since_unix_ms,
                };
                self.apply_notice(now, &notice, out);
                let event = MembershipEvent::Announce(notice);
                self.handle_membership_event(now, event, out);
            }
            NodeEvent::StopRequested => {
                let mut steps = Vec::new();
                self.claims.give_up_all(now, &mut steps);
                self.handle_claim_steps(now, steps, out);
                let event = MembershipEvent::LeaveRequested;
                self.handle_membership_event(now, event, out);
                self.entry
                    .handle(now, EntryEvent::StopRequested, &mut out.entry_actions);
            }
            NodeEvent::Tick => self.tick(now, out),
        }
        self.exchange_messages(now, out);
        actions.append(&mut out.actions);
    }

    /// Returns when the next [`NodeEvent::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Duration {
        let report = self
            .report_schedule
            .next_due_at(self.entry.urgency(&self.member));
        let timers = [report, self.entry.next_wake(), self.claims.next_wake()];
        let earliest = timers.into_iter().flatten().min();
        let membership = self.membership.next_wake();
        earliest.map_or(membership, |earliest| earliest.min(membership))
    }

    /// Returns the load of this router.
    pub fn load(&self) -> NodeLoad {
        NodeLoad {
            waiting_requests: self.entry.waiting(),
            running_requests: self.entry.running(),
            homed_pools: self.homes.len(),
            live_members: self.live_members.len().max(1),
            config_generation: self.config_generation(),
        }
    }

    /// Returns the live members.
    pub fn members(&self) -> &[LiveMember] {
        &self.live_members
    }

    /// Returns how often each kind of failure was retried, or was not, by reason.
    pub fn retry_counts(
        &self,
    ) -> impl Iterator<Item = (RetryReason, Option<RetryDenial>, u64)> + '_ {
        self.entry.retry_counts()
    }

    /// Returns the rejections counted by membership.
    pub fn membership_rejections(&self) -> &Rejections {
        self.membership.rejections()
    }

    /// Returns the counters of each pool homed here.
    pub fn home_counters(&self) -> impl Iterator<Item = (&PoolId, &HomeCounters)> {
        self.homes
            .iter()
            .map(|(pool, home)| (pool, home.counters()))
    }

    /// Whether the outcomes of all requests that may not be repeated are recorded.
    pub fn has_recorded_outcomes(&self) -> bool {
        self.claims.is_settled()
    }

    fn tick(&mut self, now: Duration, out: &mut Outbox) {
        if now >= self.membership.next_wake() {
            self.handle_membership_event(now, MembershipEvent::Tick, out);
        }
        self.entry
            .handle(now, EntryEvent::Tick, &mut out.entry_actions);
        let mut steps = Vec::new();
        self.claims.tick(now, &mut steps);
        self.handle_claim_steps(now, steps, out);
        self.update_config(now, out, |config, steps| {
            config.handle(now, ConfigEvent::Tick, steps);
        });
        let mut due_endpoints = Vec::new();
        self.for_each_home(now, out, |home, out| {
            due_endpoints.extend(home.tick(now, out));
        });
        let reads = due_endpoints
            .into_iter()
            .map(|endpoint| NodeAction::ReadLoad { endpoint });
        out.actions.extend(reads);
    }
}
