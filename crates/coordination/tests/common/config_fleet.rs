//! Simulated routers that adopt configurations from a store and from each other.
//!
//! A configuration is the list of all changes so far, so that gaps, reversals and repeats are
//! detected.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::config_adoption::ConfigAdoption;
use sedgeridge_coordination::config_events::ConfigAction;
use sedgeridge_coordination::config_events::ConfigAdoptionSettings;
use sedgeridge_coordination::config_events::ConfigEvent;
use sedgeridge_coordination::config_events::ConfigItem;
use sedgeridge_coordination::config_events::ConfigItemContent;
use sedgeridge_coordination::config_events::Generation;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;

use super::store::CallOutcome;

/// Number of generations from one stored snapshot to the next.
const SNAPSHOT_INTERVAL: usize = 4;

pub type Document = Vec<u64>;

/// One router process.
#[derive(Debug)]
pub struct ConfigRouter {
    pub member: Member,
    pub adoption: ConfigAdoption<Document>,
    pub document: Document,
    pub is_ready: bool,
    pub calls: VecDeque<ConfigAction<Document>>,
    /// Highest generation that this host had in force in any of its runs.
    pub highest_adopted: usize,
    /// Whether this run has read the head exactly.
    pub has_read_exactly: bool,
    pub adopted_at: Duration,
}

/// Routers, accepted changes and the connections between them.
#[derive(Debug)]
pub struct ConfigFleet {
    pub now: Duration,
    pub accepted_changes: Document,
    pub routers: Vec<ConfigRouter>,
    pub cut_pairs: Vec<(usize, usize)>,
    pub head_reads: u64,
    pub change_reads: u64,
    /// Number of peers told of each adoption, or `None` for all.
    pub fanout: Option<usize>,
    seed: u64,
}

impl ConfigFleet {
    pub fn new(routers: usize) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            accepted_changes: Document::new(),
            routers: Vec::new(),
            cut_pairs: Vec::new(),
            head_reads: 0,
            change_reads: 0,
            fanout: None,
            seed: 0,
        };
        for index in 0..routers {
            let router = fleet.start(index, 1, 0);
            fleet.routers.push(router);
        }
        fleet.announce_members();
        fleet
    }

    fn start(&mut self, index: usize, incarnation: u64, highest_adopted: usize) -> ConfigRouter {
        self.seed += 1;
        let member = Member {
            host: HostId::from(format!("router-{index}").as_str()),
            incarnation: Incarnation(incarnation),
        };
        ConfigRouter {
            member,
            adoption: ConfigAdoption::new(ConfigAdoptionSettings::default(), self.seed),
            document: Document::new(),
            is_ready: false,
            calls: VecDeque::new(),
            highest_adopted,
            has_read_exactly: false,
            adopted_at: Duration::ZERO,
        }
    }

    pub fn announce_members(&mut self) {
        for index in 0..self.routers.len() {
            let others = self.routers.iter().enumerate().filter(|(i, _)| *i != index);
            let peers = others.map(|(_, r)| r.member.clone()).collect();
            self.event(index, ConfigEvent::PeersChanged(peers));
        }
    }

    /// Kills a router and restarts it without its previous state.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.routers[index].member.incarnation.0 + 1;
        let highest_adopted = self.routers[index].highest_adopted;
        self.routers[index] = self.start(index, incarnation, highest_adopted);
        self.announce_members();
    }

    /// Adds an accepted change.
    pub fn accept_change(&mut self) {
        let change = self.accepted_changes.len() as u64 * 7 + 1;
        self.accepted_changes.push(change);
    }

    pub fn event(&mut self, index: usize, event: ConfigEvent<Document>) {
        let mut actions = Vec::new();
        let router = &mut self.routers[index];
        router.adoption.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                ConfigAction::Adopt(items) => self.adopt(index, &items),
                ConfigAction::Ready => self.routers[index].is_ready = true,
                call => self.routers[index].calls.push_back(call),
            }
        }
    }

    fn adopt(&mut self, index: usize, items: &[ConfigItem<Document>]) {
        let router = &mut self.routers[index];
        for item in items {
            match &item.content {
                ConfigItemContent::Snapshot(snapshot) => router.document = snapshot.to_vec(),
                ConfigItemContent::Delta(delta) => router.document.extend(delta.iter()),
            }
        }
        let generation = router
            .adoption
            .current_generation()
            .map_or(0, |g| g.0 as usize);
        let accepted = &self.accepted_changes[..generation];
        assert_eq!(router.document, accepted, "not what was accepted");
        let may_revert = !router.has_read_exactly;
        assert!(
            may_revert || generation >= router.highest_adopted,
            "host {index} turned back"
        );
        router.highest_adopted = router.highest_adopted.max(generation);
        router.adopted_at = self.now;
    }

    /// Carries out the oldest call of a router.
    pub fn deliver(&mut self, index: usize, outcome: CallOutcome) {
        let Some(call) = self.routers[index].calls.pop_front() else {
            return;
        };
        let lag = match outcome {
            CallOutcome::Stale(lag_generations) => lag_generations,
            _ => 0,
        };
        let is_refused = outcome == CallOutcome::Refused;
        let is_silent = outcome == CallOutcome::CallLost;
        match call {
            _ if is_silent => {}
            ConfigAction::ReadHead { call, .. } if is_refused => {
                self.event(index, ConfigEvent::CallFailed { call });
            }
            ConfigAction::ReadHead { call, is_exact } => {
                self.head_reads += 1;
                let lag = if is_exact { 0 } else { lag };
                self.routers[index].has_read_exactly |= is_exact;
                let length = self.accepted_changes.len().saturating_sub(lag);
                let generation = generation_of(length);
                self.event(index, ConfigEvent::HeadRead { call, generation });
            }
            ConfigAction::FetchFromStore { call, .. } if is_refused => {
                self.event(index, ConfigEvent::CallFailed { call });
            }
            ConfigAction::FetchFromStore { call, after, up_to } => {
                self.change_reads += 1;
                let newest = self
                    .accepted_changes
                    .len()
                    .saturating_sub(lag)
                    .min(up_to.0 as usize);
                let mut items = self.stored_items(after, newest);
                if outcome == CallOutcome::AnswerLost && items.len() > 1 {
                    items.remove(items.len() / 2);
                }
                items.reverse();
                self.event(index, ConfigEvent::Fetched { call, items });
            }
            ConfigAction::FetchFromPeer { call, peer, after } => {
                self.fetch_from_peer(index, call, &peer, after, is_refused);
            }
            ConfigAction::AskPeer(peer) => self.ask_peer(index, peer),
            ConfigAction::Announce(generation) => self.gossip(index, generation),
            ConfigAction::Adopt(_) | ConfigAction::Ready => {}
        }
    }

    fn stored_items(&self, after: Option<Generation>, newest: usize) -> Vec<ConfigItem<Document>> {
        let snapshot = newest - newest.saturating_sub(1) % SNAPSHOT_INTERVAL;
        let first = match after {
            Some(after) if after.0 as usize >= snapshot => after.0 as usize,
            Some(_) | None => snapshot,
        };
        let mut items = Vec::new();
        if first == snapshot && newest > 0 && after.is_none_or(|a| (a.0 as usize) < snapshot) {
            items.push(snapshot_item(&self.accepted_changes[..snapshot]));
        }
        for generation in first + 1..=newest {
            items.push(ConfigItem {
                generation: Generation(generation as u64),
                content: ConfigItemContent::Delta(Arc::new(vec![
                    self.accepted_changes[generation - 1],
                ])),
            });
        }
        items
    }

    fn fetch_from_peer(
        &mut self,
        index: usize,
        call: sedgeridge_coordination::store_call::CallId,
        peer: &Member,
        after: Option<Generation>,
        is_refused: bool,
    ) {
        let Some(other) = self.reachable(index, peer).filter(|_| !is_refused) else {
            self.event(index, ConfigEvent::CallFailed { call });
            return;
        };
        let other = &self.routers[other];
        let changes = other.adoption.changes_after(after);
        let items = changes.unwrap_or_else(|| match other.document.as_slice() {
            [] => Vec::new(),
            document => vec![snapshot_item(document)],
        });
        self.event(index, ConfigEvent::Fetched { call, items });
    }

    fn ask_peer(&mut self, index: usize, peer: Member) {
        if let Some(other) = self.reachable(index, &peer) {
            let generation = self.routers[other].adoption.current_generation();
            self.event(index, ConfigEvent::PeerGeneration { peer, generation });
        }
    }

    fn gossip(&mut self, index: usize, generation: Generation) {
        let peer = self.routers[index].member.clone();
        let count = self.routers.len();
        let message_count = self.fanout.unwrap_or(count - 1);
        for step in 1..=message_count {
            self.seed = self
                .seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let random = (self.seed >> 33) as usize % count;
            let chosen_index = if self.fanout.is_some() {
                random
            } else {
                index + step
            };
            let other = chosen_index % count;
            if other == index || self.is_cut(index, other) {
                continue;
            }
            let peer = peer.clone();
            let generation = Some(generation);
            self.event(other, ConfigEvent::PeerGeneration { peer, generation });
        }
    }

    fn reachable(&self, index: usize, peer: &Member) -> Option<usize> {
        let other = self.routers.iter().position(|r| r.member == *peer)?;
        (!self.is_cut(index, other)).then_some(other)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut_pairs.contains(&(a.min(b), a.max(b)))
    }

    pub fn advance(&mut self, by_ms: u64) {
        self.now += Duration::from_millis(by_ms);
        for index in 0..self.routers.len() {
            self.event(index, ConfigEvent::Tick);
        }
    }

    /// Advances the time while every call is answered.
    pub fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 100 {
            self.advance(100);
            for index in 0..self.routers.len() {
                while !self.routers[index].calls.is_empty() {
                    self.deliver(index, CallOutcome::Answered);
                }
            }
        }
    }

    /// Checks that every router has all accepted changes in force.
    pub fn check_all_in_force(&self) {
        for (index, router) in self.routers.iter().enumerate() {
            assert_eq!(
                router.document, self.accepted_changes,
                "router {index} is behind"
            );
            assert_eq!(router.is_ready, !self.accepted_changes.is_empty());
        }
    }
}

fn snapshot_item(document: &[u64]) -> ConfigItem<Document> {
    ConfigItem {
        generation: Generation(document.len() as u64),
        content: ConfigItemContent::Snapshot(Arc::new(document.to_vec())),
    }
}

fn generation_of(length: usize) -> Option<Generation> {
    (length > 0).then_some(Generation(length as u64))
}
