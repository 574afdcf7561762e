//! One router's decisions as a whole: the entry part and the homes that stand on this router.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FairScope;
use sedgeridge_state::settings::Settings;

use crate::entry::Entry;
use crate::entry::EntryAction;
use crate::entry::EntryEvent;
use crate::pool_home::AccountWeight;
use crate::pool_home::HomeAction;
use crate::pool_home::HomeEndpoint;
use crate::pool_home::HomeEvent;
use crate::pool_home::PoolHome;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Grant;

/// What one router tells another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerMessage {
    /// An entry router reports to a home.
    Report(EntryReport),
    /// A home grants a slot.
    Grant(Grant),
    /// A home asks for a full report.
    FullReportWanted {
        /// The pool.
        pool: PoolId,
    },
}

/// What happens to a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeEvent {
    /// Something happens to the entry part.
    Entry(EntryEvent),
    /// A message from another router came.
    Peer {
        /// The sender.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Messages to another router were lost.
    PeerReset {
        /// The other router.
        host: HostId,
    },
    /// Time passed.
    Tick,
}

/// What a router wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeAction {
    /// Something the entry part wants done.
    Entry(EntryAction),
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: PeerMessage,
    },
}

/// Longest chain of reports and grants inside one router that one event may cause; each step uses
/// up a waiting request or a slot, so it ends by itself, and the bound only guards that claim.
const MAX_LOCAL_ROUNDS: usize = 10_000;

/// All decisions of one router.
#[derive(Debug)]
pub struct Node {
    member: Member,
    settings: Settings,
    entry: Entry,
    homes: BTreeMap<PoolId, PoolHome>,
}

impl Node {
    /// Creates the router run `member` under a configuration.
    pub fn new(member: Member, settings: Settings) -> Self {
        let entry = Entry::new(
            member.clone(),
            settings.front.clone(),
            settings.retry.clone(),
        );
        let mut node = Self {
            member,
            settings,
            entry,
            homes: BTreeMap::new(),
        };
        node.place_homes();
        node
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        let mut entry_actions = Vec::new();
        match event {
            NodeEvent::Entry(event) => self.entry.handle(now, event, &mut entry_actions),
            NodeEvent::Peer { from, message } => {
                self.peer(now, &from, message, &mut entry_actions, actions);
            }
            NodeEvent::PeerReset { host } => {
                let event = EntryEvent::HomeResync { host };
                self.entry.handle(now, event, &mut entry_actions);
            }
            NodeEvent::Tick => {
                self.entry.handle(now, EntryEvent::Tick, &mut entry_actions);
                self.tick_homes(now, &mut entry_actions, actions);
            }
        }
        self.settle(now, entry_actions, actions);
    }

    /// Counts the requests that wait and those that run here.
    pub fn load(&self) -> NodeLoad {
        NodeLoad {
            waiting: self.entry.waiting(),
            running: self.entry.running(),
        }
    }

    fn place_homes(&mut self) {
        let pools: Vec<PoolId> = self.settings.pools.iter().map(|p| p.id.clone()).collect();
        for pool in pools {
            let mut home = PoolHome::new(
                self.member.clone(),
                pool.clone(),
                self.settings.fair.clone(),
            );
            let mut none = Vec::new();
            let configured = self.home_configuration(&pool);
            home.handle(Duration::ZERO, configured, &mut none);
            let members = HomeEvent::Members(vec![self.member.clone()]);
            home.handle(Duration::ZERO, members, &mut none);
            self.homes.insert(pool.clone(), home);
            let event = EntryEvent::HomeChanged {
                pool,
                home: Some(self.member.clone()),
            };
            self.entry.handle(Duration::ZERO, event, &mut Vec::new());
        }
    }

    fn home_configuration(&self, pool: &PoolId) -> HomeEvent {
        let share = match self.settings.fair.scope {
            FairScope::Router => self.settings.hosts.len().max(1) as u32,
            FairScope::Fleet => 1,
        };
        let endpoints = self
            .settings
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.pool == *pool)
            .map(|endpoint| HomeEndpoint {
                id: endpoint.id.clone(),
                site: endpoint.site.clone(),
                slots: endpoint.slots.div_ceil(share),
            })
            .collect();
        let weights = self
            .settings
            .accounts
            .iter()
            .map(|account| AccountWeight {
                account: account.id.clone(),
                weight: account.weight,
            })
            .collect();
        HomeEvent::Configured { endpoints, weights }
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
                self.home_event(
                    now,
                    &report.pool.clone(),
                    HomeEvent::Report(report),
                    entry_actions,
                    actions,
                );
            }
            PeerMessage::Grant(grant) if grant.id.home == *from => {
                self.entry
                    .handle(now, EntryEvent::Granted(grant), entry_actions);
            }
            PeerMessage::Grant(_) => {}
            PeerMessage::FullReportWanted { pool } => {
                let event = EntryEvent::FullReportWanted { pool };
                self.entry.handle(now, event, entry_actions);
            }
        }
    }

    fn tick_homes(
        &mut self,
        now: Duration,
        entry_actions: &mut Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        let pools: Vec<PoolId> = self.homes.keys().cloned().collect();
        for pool in pools {
            self.home_event(now, &pool, HomeEvent::Tick, entry_actions, actions);
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
        let mut home_actions = Vec::new();
        home.handle(now, event, &mut home_actions);
        for action in home_actions {
            let (to, message) = match action {
                HomeAction::Grant { to, grant } => (to, PeerMessage::Grant(grant)),
                HomeAction::AskFull { to } => {
                    let pool = pool.clone();
                    (to, PeerMessage::FullReportWanted { pool })
                }
            };
            if to != self.member {
                actions.push(NodeAction::Send { to, message });
                continue;
            }
            let event = match message {
                PeerMessage::Grant(grant) => EntryEvent::Granted(grant),
                PeerMessage::FullReportWanted { pool } => EntryEvent::FullReportWanted { pool },
                PeerMessage::Report(_) => continue,
            };
            self.entry.handle(now, event, entry_actions);
        }
    }

    /// Passes reports and grants between the parts of this router until nothing is new.
    fn settle(
        &mut self,
        now: Duration,
        mut entry_actions: Vec<EntryAction>,
        actions: &mut Vec<NodeAction>,
    ) {
        for _ in 0..MAX_LOCAL_ROUNDS {
            self.entry.report(&mut entry_actions);
            let mut next = Vec::new();
            let mut reported = false;
            for action in entry_actions {
                match action {
                    EntryAction::Report { to, report } if to == self.member => {
                        reported = true;
                        let pool = report.pool.clone();
                        let event = HomeEvent::Report(report);
                        self.home_event(now, &pool, event, &mut next, actions);
                    }
                    EntryAction::Report { to, report } => actions.push(NodeAction::Send {
                        to,
                        message: PeerMessage::Report(report),
                    }),
                    other => actions.push(NodeAction::Entry(other)),
                }
            }
            entry_actions = next;
            if !reported && entry_actions.is_empty() {
                return;
            }
        }
    }
}

/// How much a router has in hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: usize,
}
