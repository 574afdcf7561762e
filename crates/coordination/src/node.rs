//! One router's decisions as a whole: membership, the entry part, and the homes of the pools that
//! stand on this router.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::claim_record::RecordedAnswer;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FairScope;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::millis;

use crate::claim_events::ClaimOutcome;
use crate::config_events::ConfigEvent;
use crate::config_events::Generation;
use crate::entry::Entry;
use crate::entry_events::Arrival;
use crate::entry_events::AttemptEnd;
use crate::entry_events::EntryAction;
use crate::entry_events::EntryEvent;
use crate::entry_events::GiveUp;
use crate::entry_events::RequestKey;
use crate::home_counters::HomeCounters;
use crate::homed_pool::HomedPool;
use crate::membership::ListedHost;
use crate::membership::LiveMember;
use crate::membership::MemberState;
use crate::membership::Membership;
use crate::membership::MembershipAction;
use crate::membership::MembershipEvent;
use crate::membership::Notice;
use crate::node_claims::ClaimKey;
use crate::node_claims::ClaimStep;
use crate::node_claims::NodeClaims;
use crate::node_config::ConfigStep;
use crate::node_config::NodeConfig;
use crate::poison_notice::PoisonNews;
use crate::poison_notice::PoisonNotice;
use crate::pool_home::HomeAction;
use crate::pool_home::HomeEvent;
use crate::refusal::Outcome;
use crate::rendezvous::home_of;
use crate::report_schedule::ReportSchedule;

pub use crate::node_events::NodeAction;
pub use crate::node_events::NodeEvent;
pub use crate::node_events::NodeLoad;
pub use crate::node_events::PeerMessage;

/// Longest chain of reports and grants inside one router that one event may cause; each step uses
/// up a waiting request or a slot, so it ends by itself, and the bound only guards that claim.
const MAX_LOCAL_ROUNDS: usize = 10_000;

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
            node.place_homes(Duration::ZERO, &mut Vec::new(), &mut Vec::new());
        }
        node
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        let mut entry_actions = Vec::new();
        match event {
            NodeEvent::Arrived { arrival, claim } => {
                self.arrived(now, arrival, claim, &mut entry_actions, actions);
            }
            NodeEvent::CallerGone { key } => {
                self.caller_gone(now, key, &mut entry_actions, actions);
            }
            NodeEvent::Progress {
                attempt,
                charged_tokens,
            } => {
                let event = EntryEvent::Progress {
                    attempt,
                    charged_tokens,
                };
                self.entry.handle(now, event, &mut entry_actions);
            }
            NodeEvent::AttemptEnded {
                key,
                attempt,
                end,
                recorded,
            } => {
                let event = EntryEvent::AttemptEnded { attempt, end };
                self.entry.handle(now, event, &mut entry_actions);
                self.record_end(now, key, end, recorded, &mut entry_actions, actions);
            }
            NodeEvent::StoreEnded(event) => {
                let mut steps = Vec::new();
                self.claims.store_ended(now, event, &mut steps);
                self.claim_steps(now, steps, &mut entry_actions, actions);
            }
            NodeEvent::ConfigRead(event) => {
                self.config_event(now, &mut entry_actions, actions, |config, steps| {
                    config.handle(now, event, steps);
                });
            }
            NodeEvent::Peer { from, message } => {
                self.peer(now, &from, message, &mut entry_actions, actions);
            }
            NodeEvent::PeerReset { host } => {
                let event = EntryEvent::HomeResync { host };
                self.entry.handle(now, event, &mut entry_actions);
            }
            NodeEvent::Membership(message) => {
                let event = MembershipEvent::MessageReceived(message);
                self.membership_event(now, event, &mut entry_actions, actions);
            }
            NodeEvent::HostList(hosts) => {
                self.for_each_home(now, &mut entry_actions, actions, |home, out| {
                    home.take_host_list(now, &hosts, out);
                });
                // The list names the hosts of endpoints as well; those are no members.
                let settings = &self.settings;
                let is_router = |listed: &ListedHost| settings.host(listed.host.as_str()).is_some();
                let routers = hosts.into_iter().filter(is_router).collect();
                let event = MembershipEvent::HostList(routers);
                self.membership_event(now, event, &mut entry_actions, actions);
            }
            NodeEvent::LoadRead { endpoint, load } => {
                self.for_each_home(now, &mut entry_actions, actions, |home, out| {
                    home.load_read(now, &endpoint, load, out);
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
                self.take_notice(now, &notice, &mut entry_actions, actions);
                let event = MembershipEvent::Announce(notice);
                self.membership_event(now, event, &mut entry_actions, actions);
            }
            NodeEvent::StopRequested => {
                let mut steps = Vec::new();
                self.claims.give_up_all(now, &mut steps);
                self.claim_steps(now, steps, &mut entry_actions, actions);
                let event = MembershipEvent::LeaveRequested;
                self.membership_event(now, event, &mut entry_actions, actions);
                self.entry
                    .handle(now, EntryEvent::StopRequested, &mut entry_actions);
            }
            NodeEvent::Tick => self.tick(now, &mut entry_actions, actions),
        }
        self.settle(now, entry_actions, actions);
    }

    /// Returns when the next [`NodeEvent::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Duration {
        let report = self.schedule.next_wake(self.entry.urgency(&self.member));
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

    /// Returns the counters of each pool homed here.
    pub fn home_counters(&self) -> impl Iterator<Item = (&PoolId, &HomeCounters)> {
        self.homes
            .iter()
            .map(|(pool, home)| (pool, home.counters()))
    }

    /// Returns the generation of the configuration in force; 0 for the files given at the start.
    fn generation(&self) -> u64 {
        let current = self.config.as_ref().and_then(NodeConfig::generation);
        current.map_or(0, |generation| generation.0)
    }

    fn config_event(
        &mut self,
        now: Duration,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
        visit: impl FnOnce(&mut NodeConfig, &mut Vec<ConfigStep>),
    ) {
        let Some(config) = &mut self.config else {
            return;
        };
        let mut steps = Vec::new();
        visit(config, &mut steps);
        for step in steps {
            match step {
                ConfigStep::Read(read) => actions.push(NodeAction::ReadConfig(read)),
                ConfigStep::Send { to, message } => actions.push(NodeAction::Send {
                    to,
                    message: PeerMessage::Config(message),
                }),
                ConfigStep::Adopt {
                    generation,
                    settings,
                } => {
                    self.put_in_force(now, &settings, entry_actions, actions);
                    actions.push(NodeAction::SettingsChanged {
                        generation,
                        settings,
                    });
                }
                ConfigStep::Unusable {
                    generation,
                    findings,
                } => actions.push(NodeAction::ConfigUnusable {
                    generation,
                    findings,
                }),
                ConfigStep::Announce(generation) => {
                    let event = MembershipEvent::ConfigGeneration(generation.0);
                    self.membership_event(now, event, entry_actions, actions);
                }
                ConfigStep::Ready => actions.push(NodeAction::Ready),
            }
        }
    }

    /// Puts settings in force without touching the requests in hand.
    fn put_in_force(
        &mut self,
        now: Duration,
        settings: &Settings,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        self.settings = settings.clone();
        self.schedule.configure(
            millis(settings.fair.batch_interval_ms),
            millis(settings.fair.report_interval_ms),
        );
        self.entry.configure(now, settings);
        let hosts = settings.hosts.iter().map(|host| host.id.clone()).collect();
        let event = MembershipEvent::Configured(hosts);
        self.membership_event(now, event, entry_actions, actions);
        let known = &settings.pools;
        self.homes
            .retain(|pool, _| known.iter().any(|known| known.id == *pool));
        let pools: Vec<PoolId> = self.homes.keys().cloned().collect();
        for pool in pools {
            let mut out = Vec::new();
            if let Some(home) = self.homes.get_mut(&pool) {
                home.configure(now, &pool, settings, &mut out);
            }
            self.deliver(now, &pool, out, entry_actions, actions);
        }
        self.place_homes(now, entry_actions, actions);
    }

    /// Tells whether every outcome of a request that may not be repeated is on record.
    pub fn is_settled(&self) -> bool {
        self.claims.is_settled()
    }

    fn arrived(
        &mut self,
        now: Duration,
        arrival: Arrival,
        claim: Option<ClaimKey>,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        let Some(claim) = claim else {
            let event = EntryEvent::Arrived(arrival);
            return self.entry.handle(now, event, entry_actions);
        };
        if let Some(refusal) = self.entry.refusal_of(now, &arrival) {
            entry_actions.push(refusal);
            return;
        }
        let mut steps = Vec::new();
        self.claims.claim(now, arrival, claim, &mut steps);
        self.claim_steps(now, steps, entry_actions, actions);
    }

    fn caller_gone(
        &mut self,
        now: Duration,
        key: RequestKey,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        let mut steps = Vec::new();
        if !self.claims.give_up(now, key, &mut steps) {
            let outcome = if self.entry.may_have_run(key) {
                ClaimOutcome::Unknown
            } else {
                ClaimOutcome::NotRun
            };
            let event = EntryEvent::CallerGone { key };
            self.entry.handle(now, event, entry_actions);
            if !self.entry.holds(key) {
                self.claims.finished(now, key, outcome, &mut steps);
            }
        }
        self.claim_steps(now, steps, entry_actions, actions);
    }

    /// Puts the end of a claimed request on record, unless another attempt follows.
    fn record_end(
        &mut self,
        now: Duration,
        key: RequestKey,
        end: AttemptEnd,
        recorded: Option<RecordedAnswer>,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        if !self.claims.is_claimed(key) || self.entry.holds(key) {
            return;
        }
        let outcome = match (end, recorded) {
            (AttemptEnd::Finished { .. }, Some(answer)) => ClaimOutcome::Ran(answer),
            (AttemptEnd::Finished { .. } | AttemptEnd::CallerGone { .. }, _) => {
                ClaimOutcome::Unknown
            }
            // The entry part gave it up, and `settle` records what it told the caller.
            (AttemptEnd::Failed { .. }, _) => return,
        };
        let mut steps = Vec::new();
        self.claims.finished(now, key, outcome, &mut steps);
        self.claim_steps(now, steps, entry_actions, actions);
    }

    fn claim_steps(
        &mut self,
        now: Duration,
        steps: Vec<ClaimStep>,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        for step in steps {
            match step {
                ClaimStep::Queue(arrival) => {
                    let event = EntryEvent::Arrived(arrival);
                    self.entry.handle(now, event, entry_actions);
                }
                ClaimStep::Replay { key, answer } => {
                    actions.push(NodeAction::Replay { key, answer });
                }
                ClaimStep::Refuse {
                    key,
                    reason,
                    outcome,
                    retry_after,
                } => actions.push(NodeAction::GiveUp(GiveUp {
                    key,
                    reason,
                    outcome,
                    retry_after,
                })),
                ClaimStep::Store(action) => actions.push(NodeAction::Store(action)),
            }
        }
    }

    fn tick(
        &mut self,
        now: Duration,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        if now >= self.membership.next_wake() {
            self.membership_event(now, MembershipEvent::Tick, entry_actions, actions);
        }
        self.entry.handle(now, EntryEvent::Tick, entry_actions);
        let mut steps = Vec::new();
        self.claims.tick(now, &mut steps);
        self.claim_steps(now, steps, entry_actions, actions);
        self.config_event(now, entry_actions, actions, |config, steps| {
            config.handle(now, ConfigEvent::Tick, steps);
        });
        let mut due = Vec::new();
        self.for_each_home(now, entry_actions, actions, |home, out| {
            due.extend(home.tick(now, out));
        });
        let reads = due
            .into_iter()
            .map(|endpoint| NodeAction::ReadLoad { endpoint });
        actions.extend(reads);
    }

    fn membership_event(
        &mut self,
        now: Duration,
        event: MembershipEvent,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        let mut wanted = Vec::new();
        self.membership.handle(now, event, &mut wanted);
        for action in wanted {
            match action {
                MembershipAction::Send { to, message } => {
                    actions.push(NodeAction::SendMembership { to, message });
                }
                MembershipAction::MembersChanged(live) => {
                    actions.push(NodeAction::MembersChanged(live.clone()));
                    let members = live.iter().map(|m| m.member.clone()).collect();
                    self.claims.members(now, members);
                    let others = live.iter().map(|m| m.member.clone());
                    let peers = others.filter(|m| *m != self.member).collect();
                    self.config_event(now, entry_actions, actions, |config, steps| {
                        config.set_peers(now, peers, steps);
                    });
                    if self.settings.fair.scope == FairScope::Fleet {
                        self.live = live;
                        self.place_homes(now, entry_actions, actions);
                    }
                }
                MembershipAction::NoticeReceived(notice) => {
                    self.take_notice(now, &notice, entry_actions, actions);
                }
                MembershipAction::GenerationSeen { generation, from } => {
                    self.config_event(now, entry_actions, actions, |config, steps| {
                        config.heard(now, &from, Generation(generation), steps);
                    });
                }
                MembershipAction::Outranked { .. } => actions.push(NodeAction::Outranked),
            }
        }
    }

    fn take_notice(
        &mut self,
        now: Duration,
        notice: &Notice,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        match notice {
            Notice::EndpointLeaving { endpoint, .. } => {
                self.for_each_home(now, entry_actions, actions, |home, out| {
                    home.set_leaving(now, endpoint, out);
                });
            }
            Notice::Quarantine {
                fingerprint,
                expires_in_ms,
            } => {
                let event = EntryEvent::Poison(PoisonNotice {
                    fingerprint: *fingerprint,
                    news: PoisonNews::Quarantined {
                        remaining: millis(*expires_in_ms),
                    },
                });
                self.entry.handle(now, event, entry_actions);
            }
        }
    }

    /// Gives each pool its home under the live membership, and starts or ends the homes here.
    ///
    /// Leaving members get no homes, so that homes move before their host is gone; only when all
    /// are leaving do they keep them.
    fn place_homes(
        &mut self,
        now: Duration,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        let staying = self.live.iter().filter(|m| m.state == MemberState::Alive);
        let mut candidates: Vec<Member> = staying.map(|m| m.member.clone()).collect();
        if candidates.is_empty() {
            candidates = self.live.iter().map(|m| m.member.clone()).collect();
        }
        let pools: Vec<PoolId> = self.settings.pools.iter().map(|p| p.id.clone()).collect();
        for pool in pools {
            let home = home_of(&pool, &candidates).cloned();
            if home.as_ref() == Some(&self.member) {
                self.start_home(now, &pool, entry_actions, actions);
            } else {
                self.homes.remove(&pool);
            }
            let event = EntryEvent::HomeChanged { pool, home };
            self.entry.handle(now, event, entry_actions);
        }
        let members: Vec<Member> = self.live.iter().map(|m| m.member.clone()).collect();
        self.for_each_home(now, entry_actions, actions, |home, out| {
            home.handle(now, HomeEvent::Members(members.clone()), out);
        });
    }

    fn start_home(
        &mut self,
        now: Duration,
        pool: &PoolId,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        if self.homes.contains_key(pool) {
            return;
        }
        let mut home = HomedPool::new(self.member.clone(), pool.clone(), &self.settings);
        let mut out = Vec::new();
        home.configure(now, pool, &self.settings, &mut out);
        self.homes.insert(pool.clone(), home);
        self.deliver(now, pool, out, entry_actions, actions);
    }

    fn peer(
        &mut self,
        now: Duration,
        from: &Member,
        message: PeerMessage,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        match message {
            PeerMessage::Report(report) => {
                let pool = report.pool.clone();
                self.home_event(
                    now,
                    &pool,
                    HomeEvent::Report(report),
                    entry_actions,
                    actions,
                );
            }
            // A grant counts only from the home that it names.
            PeerMessage::Grant(grant) if grant.id.home == *from => {
                self.entry
                    .handle(now, EntryEvent::Granted(grant), entry_actions);
            }
            PeerMessage::Grant(_) => {}
            PeerMessage::FullReportWanted { pool } => {
                let event = EntryEvent::FullReportWanted { pool };
                self.entry.handle(now, event, entry_actions);
            }
            PeerMessage::Config(message) => {
                self.config_event(now, entry_actions, actions, |config, steps| {
                    config.peer_message(now, from, message, steps);
                });
            }
            PeerMessage::Poison(notice) => {
                let event = EntryEvent::Poison(notice);
                self.entry.handle(now, event, entry_actions);
            }
        }
    }

    fn home_event(
        &mut self,
        now: Duration,
        pool: &PoolId,
        event: HomeEvent,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        let Some(home) = self.homes.get_mut(pool) else {
            return;
        };
        let mut out = Vec::new();
        home.handle(now, event, &mut out);
        self.deliver(now, pool, out, entry_actions, actions);
    }

    fn for_each_home(
        &mut self,
        now: Duration,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
        mut visit: impl FnMut(&mut HomedPool, &mut Vec<HomeAction>),
    ) {
        let pools: Vec<PoolId> = self.homes.keys().cloned().collect();
        for pool in pools {
            let mut out = Vec::new();
            if let Some(home) = self.homes.get_mut(&pool) {
                visit(home, &mut out);
            }
            self.deliver(now, &pool, out, entry_actions, actions);
        }
    }

    /// Hands what a home wants done to the entry part here or to the links.
    fn deliver(
        &mut self,
        now: Duration,
        pool: &PoolId,
        wanted: Vec<HomeAction>,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        for action in wanted {
            match action {
                HomeAction::Grant { to, grant } if to == self.member => {
                    self.entry
                        .handle(now, EntryEvent::Granted(grant), entry_actions);
                }
                HomeAction::AskFull { to } if to == self.member => {
                    let pool = pool.clone();
                    let event = EntryEvent::FullReportWanted { pool };
                    self.entry.handle(now, event, entry_actions);
                }
                HomeAction::Grant { to, grant } => {
                    let message = PeerMessage::Grant(grant);
                    actions.push(NodeAction::Send { to, message });
                }
                HomeAction::AskFull { to } => {
                    let pool = pool.clone();
                    let message = PeerMessage::FullReportWanted { pool };
                    actions.push(NodeAction::Send { to, message });
                }
            }
        }
    }

    /// Passes reports and grants between the parts of this router until nothing is new.
    ///
    /// Reports to a home on this router go at once; those to others are gathered for the batch
    /// interval, unless none went for that long.
    fn settle(
        &mut self,
        now: Duration,
        mut entry_actions: Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        for _ in 0..MAX_LOCAL_ROUNDS {
            let own = &self.member;
            self.entry.report(|home, _| home == own, &mut entry_actions);
            if entry_actions.is_empty() {
                break;
            }
            let mut next = Vec::new();
            for action in entry_actions {
                self.entry_action(now, action, &mut next, actions);
            }
            entry_actions = next;
        }
        self.report_to_others(now, actions);
    }

    fn report_to_others(&mut self, now: Duration, actions: &mut Vec<NodeAction>) {
        let urgency = self.entry.urgency(&self.member);
        self.schedule.note(now, urgency);
        let Some(least) = self.schedule.due(now, urgency) else {
            return;
        };
        let own = &self.member;
        let mut reports = Vec::new();
        let wanted = |home: &Member, urgency| home != own && urgency >= least;
        self.entry.report(wanted, &mut reports);
        self.schedule.sent(now, least);
        for report in reports {
            self.entry_action(now, report, &mut Vec::new(), actions);
        }
    }

    fn entry_action(
        &mut self,
        now: Duration,
        action: EntryAction,
        next: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        match action {
            EntryAction::Report { to, report } if to == self.member => {
                let pool = report.pool.clone();
                self.home_event(now, &pool, HomeEvent::Report(report), next, actions);
            }
            EntryAction::Report { to, report } => {
                let message = PeerMessage::Report(report);
                actions.push(NodeAction::Send { to, message });
            }
            EntryAction::Announce(PoisonNotice {
                fingerprint,
                news: PoisonNews::Quarantined { remaining },
            }) => {
                // A quarantine also has to reach routers that start later, so it goes the way of
                // notices that are kept and compared.
                let event = MembershipEvent::Announce(Notice::Quarantine {
                    fingerprint,
                    expires_in_ms: remaining.as_millis() as u64,
                });
                self.membership_event(now, event, next, actions);
            }
            EntryAction::Announce(notice) => {
                let others = self.live.iter().filter(|m| m.member != self.member);
                actions.extend(others.map(|other| NodeAction::Send {
                    to: other.member.clone(),
                    message: PeerMessage::Poison(notice.clone()),
                }));
            }
            EntryAction::Start(start) => actions.push(NodeAction::Start(start)),
            EntryAction::Retried { key, reason } => {
                actions.push(NodeAction::Retried { key, reason });
            }
            EntryAction::GiveUp(give_up) => {
                let outcome = match give_up.outcome {
                    Outcome::NotRun => ClaimOutcome::NotRun,
                    Outcome::Ran | Outcome::Unknown => ClaimOutcome::Unknown,
                };
                let key = give_up.key;
                actions.push(NodeAction::GiveUp(give_up));
                let mut steps = Vec::new();
                self.claims.finished(now, key, outcome, &mut steps);
                self.claim_steps(now, steps, next, actions);
            }
        }
    }
}
