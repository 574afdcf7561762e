//! One router's decisions as a whole: membership, the entry part, and the homes of the pools that
//! stand on this router.

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

/// Longest chain of reports and grants inside one router that one event may cause; each step uses
/// up a waiting request or a slot, so it ends by itself, and the bound only guards that claim.
pub(crate) const MAX_LOCAL_ROUNDS: usize = 10_000;

/// What the parts of a router want done, gathered while one event is handled.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Wanted by the entry part, not yet passed on.
    pub(crate) entry: Vec<EntryAction>,
    /// For the edge.
    pub(crate) actions: Vec<NodeAction>,
}

/// All decisions of one router.
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
/// assert_eq!(node.load().members, 1);
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
    live: Vec<LiveMember>,
    schedule: ReportSchedule,
}

impl Node {
    /// Creates the router run `member` under a configuration; `seed` feeds every random choice.
    pub fn new(member: Member, settings: Settings, seed: u64) -> Self {
        let hosts: Vec<HostId> = settings.hosts.iter().map(|host| host.id.clone()).collect();
        let schedule = ReportSchedule::new(
            millis(settings.fair.batch_interval_ms),
            millis(settings.fair.report_interval_ms),
        );
        let config = NodeConfig::of_host(&member.host, &settings, seed.wrapping_add(3));
        let membership = Membership::new(member.clone(), settings.membership.clone(), hosts, seed);
        let mut node = Self {
            entry: Entry::new(member.clone(), &settings, seed.wrapping_add(1)),
            config,
            claims: NodeClaims::new(member.clone(), seed.wrapping_add(2)),
            member: member.clone(),
            settings,
            membership,
            homes: BTreeMap::new(),
            live: Vec::new(),
            schedule,
        };
        if node.settings.fair.scope == FairScope::Router {
            node.live = vec![LiveMember {
                member,
                state: MemberState::Alive,
            }];
            node.place_homes(Duration::ZERO, &mut Outbox::default());
        }
        node
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        let mut out = Outbox::default();
        let out = &mut out;
        match event {
            NodeEvent::Arrived { arrival, claim } => {
                self.arrived(now, arrival, claim, out);
            }
            NodeEvent::CallerGone { key } => {
                self.caller_gone(now, key, out);
            }
            NodeEvent::Progress {
                attempt,
                charged_tokens,
            } => {
                let event = EntryEvent::Progress {
                    attempt,
                    charged_tokens,
                };
                self.entry.handle(now, event, &mut out.entry);
            }
            NodeEvent::AttemptEnded {
                key,
                attempt,
                end,
                recorded,
            } => {
                let event = EntryEvent::AttemptEnded { attempt, end };
                self.entry.handle(now, event, &mut out.entry);
                self.record_end(now, key, end, recorded, out);
            }
            NodeEvent::StoreEnded(event) => {
                let mut steps = Vec::new();
                self.claims.store_ended(now, event, &mut steps);
                self.claim_steps(now, steps, out);
            }
            NodeEvent::ConfigRead(event) => {
                self.config_event(now, out, |config, steps| {
                    config.handle(now, event, steps);
                });
            }
            NodeEvent::Peer { from, message } => {
                self.peer(now, &from, message, out);
            }
            NodeEvent::PeerReset { host } => {
                let event = EntryEvent::HomeResync { host };
                self.entry.handle(now, event, &mut out.entry);
            }
            NodeEvent::Membership(message) => {
                let event = MembershipEvent::MessageReceived(message);
                self.membership_event(now, event, out);
            }
            NodeEvent::HostList(hosts) => {
                self.for_each_home(now, out, |home, out| {
                    home.apply_host_list(now, &hosts, out);
                });
                // The list names the hosts of endpoints as well; those are no members.
                let settings = &self.settings;
                let is_router = |listed: &ListedHost| settings.host(listed.host.as_str()).is_some();
                let routers = hosts.into_iter().filter(is_router).collect();
                let event = MembershipEvent::HostList(routers);
                self.membership_event(now, event, out);
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
                self.take_notice(now, &notice, out);
                let event = MembershipEvent::Announce(notice);
                self.membership_event(now, event, out);
            }
            NodeEvent::StopRequested => {
                let mut steps = Vec::new();
                self.claims.give_up_all(now, &mut steps);
                self.claim_steps(now, steps, out);
                let event = MembershipEvent::LeaveRequested;
                self.membership_event(now, event, out);
                self.entry
                    .handle(now, EntryEvent::StopRequested, &mut out.entry);
            }
            NodeEvent::Tick => self.tick(now, out),
        }
        self.settle(now, out);
        actions.append(&mut out.actions);
    }

    /// Returns when the next [`NodeEvent::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Duration {
        let report = self.schedule.next_due_at(self.entry.urgency(&self.member));
        let timers = [report, self.entry.next_wake(), self.claims.next_wake()];
        let first = timers.into_iter().flatten().min();
        let membership = self.membership.next_wake();
        first.map_or(membership, |first| first.min(membership))
    }

    /// Tells how much this router has in hand.
    pub fn load(&self) -> NodeLoad {
        NodeLoad {
            waiting: self.entry.waiting(),
            running: self.entry.running(),
            homes: self.homes.len(),
            members: self.live.len().max(1),
            generation: self.generation(),
        }
    }

    /// Returns the members believed alive.
    pub fn members(&self) -> &[LiveMember] {
        &self.live
    }

    /// Returns how often each failure was followed by a retry, or why it was not.
    pub fn retry_counts(
        &self,
    ) -> impl Iterator<Item = (RetryReason, Option<RetryDenial>, u64)> + '_ {
        self.entry.retry_counts()
    }

    /// Returns what membership refused.
    pub fn membership_rejections(&self) -> &Rejections {
        self.membership.rejections()
    }

    /// Returns the counters of each pool homed here.
    pub fn home_counters(&self) -> impl Iterator<Item = (&PoolId, &HomeCounters)> {
        self.homes
            .iter()
            .map(|(pool, home)| (pool, home.counters()))
    }

    /// Tells whether every outcome of a request that may not be repeated is on record.
    pub fn is_settled(&self) -> bool {
        self.claims.is_settled()
    }

    fn tick(&mut self, now: Duration, out: &mut Outbox) {
        if now >= self.membership.next_wake() {
            self.membership_event(now, MembershipEvent::Tick, out);
        }
        self.entry.handle(now, EntryEvent::Tick, &mut out.entry);
        let mut steps = Vec::new();
        self.claims.tick(now, &mut steps);
        self.claim_steps(now, steps, out);
        self.config_event(now, out, |config, steps| {
            config.handle(now, ConfigEvent::Tick, steps);
        });
        let mut due = Vec::new();
        self.for_each_home(now, out, |home, out| {
            due.extend(home.tick(now, out));
        });
        let reads = due
            .into_iter()
            .map(|endpoint| NodeAction::ReadLoad { endpoint });
        out.actions.extend(reads);
    }
}
