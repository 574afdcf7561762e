//! Applies membership changes and manages the homes of pools on this router.

use std::time::Duration;

use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FairScope;
use sedgeridge_state::settings::millis;

use crate::config_events::Generation;
use crate::entry_events::EntryEvent;
use crate::homed_pool::HomedPool;
use crate::membership::MemberState;
use crate::membership::MembershipAction;
use crate::membership::MembershipEvent;
use crate::membership::Notice;
use crate::node::Node;
use crate::node::Outbox;
use crate::node_events::NodeAction;
use crate::node_events::PeerMessage;
use crate::poison_notice::PoisonEvent;
use crate::poison_notice::PoisonNotice;
use crate::pool_home::HomeAction;
use crate::pool_home::HomeEvent;
use crate::rendezvous::home_of;

impl Node {
    pub(super) fn handle_membership_event(
        &mut self,
        now: Duration,
        event: MembershipEvent,
        out: &mut Outbox,
    ) {
        let mut membership_actions = Vec::new();
        self.membership.handle(now, event, &mut membership_actions);
        for action in membership_actions {
            match action {
                MembershipAction::Send { to, message } => {
                    out.actions.push(NodeAction::SendMembership { to, message });
                }
                MembershipAction::MembersChanged(live) => {
                    out.actions.push(NodeAction::MembersChanged(live.clone()));
                    let members = live.iter().map(|m| m.member.clone()).collect();
                    self.claims.set_members(now, members);
                    let others = live.iter().map(|m| m.member.clone());
                    let peers = others.filter(|m| *m != self.member).collect();
                    self.update_config(now, out, |config, steps| {
                        config.set_peers(now, peers, steps);
                    });
                    if self.settings.fair.scope == FairScope::Fleet {
                        self.live_members = live;
                        self.place_homes(now, out);
                    }
                }
                MembershipAction::NoticeReceived(notice) => {
                    self.apply_notice(now, &notice, out);
                }
                MembershipAction::GenerationSeen { generation, from } => {
                    self.update_config(now, out, |config, steps| {
                        config.handle_peer_generation(now, &from, Generation(generation), steps);
                    });
                }
                MembershipAction::Outranked { .. } => out.actions.push(NodeAction::Outranked),
            }
        }
    }

    pub(super) fn apply_notice(&mut self, now: Duration, notice: &Notice, out: &mut Outbox) {
        match notice {
            Notice::EndpointLeaving { endpoint, .. } => {
                self.for_each_home(now, out, |home, out| {
                    home.mark_leaving(now, endpoint, out);
                });
            }
            Notice::Quarantine {
                fingerprint,
                expires_in_ms,
            } => {
                let event = EntryEvent::Poison(PoisonNotice {
                    fingerprint: *fingerprint,
                    event: PoisonEvent::Quarantined {
                        remaining: millis(*expires_in_ms),
                    },
                });
                self.entry.handle(now, event, &mut out.entry_actions);
            }
        }
    }

    /// Assigns each pool a home among the live members, and starts or ends the homes on this
    /// router.
    ///
    /// Leaving members get no homes, so that homes move away before their host stops. If all
    /// members are leaving, they remain candidates.
    pub(super) fn place_homes(&mut self, now: Duration, out: &mut Outbox) {
        let alive = self
            .live_members
            .iter()
            .filter(|m| m.state == MemberState::Alive);
        let mut candidates: Vec<Member> = alive.map(|m| m.member.clone()).collect();
        if candidates.is_empty() {
            candidates = self.live_members.iter().map(|m| m.member.clone()).collect();
        }
        let pools: Vec<PoolId> = self.settings.pools.iter().map(|p| p.id.clone()).collect();
        for pool in pools {
            let home = home_of(&pool, &candidates).cloned();
            if home.as_ref() == Some(&self.member) {
                self.start_home(now, &pool, out);
            } else {
                self.homes.remove(&pool);
            }
            let event = EntryEvent::HomeChanged { pool, home };
            self.entry.handle(now, event, &mut out.entry_actions);
        }
        let members: Vec<Member> = self.live_members.iter().map(|m| m.member.clone()).collect();
        self.for_each_home(now, out, |home, out| {
            home.handle(now, HomeEvent::Members(members.clone()), out);
        });
    }

    pub(super) fn start_home(&mut self, now: Duration, pool: &PoolId, out: &mut Outbox) {
        if self.homes.contains_key(pool) {
            return;
        }
        let mut home = HomedPool::new(self.member.clone(), pool.clone(), &self.settings);
        let mut home_actions = Vec::new();
        home.configure(now, pool, &self.settings, &mut home_actions);
        self.homes.insert(pool.clone(), home);
        self.deliver_home_actions(now, pool, home_actions, out);
    }

    pub(super) fn handle_home_event(
        &mut self,
        now: Duration,
        pool: &PoolId,
        event: HomeEvent,
        out: &mut Outbox,
    ) {
        let Some(home) = self.homes.get_mut(pool) else {
            return;
        };
        let mut home_actions = Vec::new();
        home.handle(now, event, &mut home_actions);
        self.deliver_home_actions(now, pool, home_actions, out);
    }

    pub(super) fn for_each_home(
        &mut self,
        now: Duration,
        out: &mut Outbox,
        mut visit: impl FnMut(&mut HomedPool, &mut Vec<HomeAction>),
    ) {
        let pools: Vec<PoolId> = self.homes.keys().cloned().collect();
        for pool in pools {
            let mut home_actions = Vec::new();
            if let Some(home) = self.homes.get_mut(&pool) {
                visit(home, &mut home_actions);
            }
            self.deliver_home_actions(now, &pool, home_actions, out);
        }
    }

    /// Passes the actions of a home to the entry part of this router or to other routers.
    pub(super) fn deliver_home_actions(
        &mut self,
        now: Duration,
        pool: &PoolId,
        home_actions: Vec<HomeAction>,
        out: &mut Outbox,
    ) {
        for action in home_actions {
            match action {
                HomeAction::Grant { to, grant } if to == self.member => {
                    self.entry
                        .handle(now, EntryEvent::Granted(grant), &mut out.entry_actions);
                }
                HomeAction::RequestFullReport { to } if to == self.member => {
                    let pool = pool.clone();
                    let event = EntryEvent::FullReportWanted { pool };
                    self.entry.handle(now, event, &mut out.entry_actions);
                }
                HomeAction::Grant { to, grant } => {
                    let message = PeerMessage::Grant(grant);
                    out.actions.push(NodeAction::Send { to, message });
                }
                HomeAction::RequestFullReport { to } => {
                    let pool = pool.clone();
                    let message = PeerMessage::FullReportWanted { pool };
                    out.actions.push(NodeAction::Send { to, message });
                }
            }
        }
    }
}
