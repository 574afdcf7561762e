//! Adoption of accepted configurations by a router, which never returns to a lower generation.
//!
//! Routers poll the head at a rate that the whole fleet shares, and tell each other the generation
//! in force. A router that learns of a higher generation fetches it from a peer that has it, or
//! else from the store.

mod fetch;
mod join;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::millis;

use crate::backoff::Backoff;
use crate::config_adoption::fetch::Fetch;
use crate::config_adoption::join::Join;
use crate::config_events::ConfigAction;
use crate::config_events::ConfigAdoptionSettings;
use crate::config_events::ConfigEvent;
use crate::config_events::ConfigItem;
use crate::config_events::ConfigItemContent;
use crate::config_events::Generation;
use crate::store_call::CallCounter;
use crate::store_call::CallId;

/// Adopts configurations on one router. `C` is the content of a change.
#[derive(Debug)]
pub struct ConfigAdoption<C> {
    settings: ConfigAdoptionSettings,
    current_generation: Option<Generation>,
    /// Highest generation known from the head or a peer.
    highest_generation: Option<Generation>,
    /// Generations in force at the live peers, as far as known.
    peer_generations: BTreeMap<Member, Option<Generation>>,
    recent_items: VecDeque<ConfigItem<C>>,
    join: Join,
    pending_poll: Option<(CallId, Duration)>,
    next_poll_at: Duration,
    has_randomized_poll_phase: bool,
    pending_fetch: Option<Fetch>,
    next_fetch_at: Duration,
    failed_fetches: u32,
    calls: CallCounter,
    backoff: Backoff,
}

impl<C> ConfigAdoption<C> {
    /// Creates the adoption for a router that has no configuration and is not ready.
    ///
    /// ```
    /// use sedgeridge_coordination::config_adoption::ConfigAdoption;
    /// use sedgeridge_coordination::config_events::ConfigAdoptionSettings;
    ///
    /// let adoption = ConfigAdoption::<String>::new(ConfigAdoptionSettings::default(), 7);
    /// assert_eq!(adoption.current_generation(), None);
    /// ```
    pub fn new(settings: ConfigAdoptionSettings, seed: u64) -> Self {
        let base = millis(settings.base_backoff_ms);
        Self {
            backoff: Backoff::new(base, millis(settings.max_backoff_ms), seed),
            join: Join::new(&settings),
            settings,
            current_generation: None,
            highest_generation: None,
            peer_generations: BTreeMap::new(),
            recent_items: VecDeque::new(),
            pending_poll: None,
            next_poll_at: Duration::ZERO,
            has_randomized_poll_phase: false,
            pending_fetch: None,
            next_fetch_at: Duration::ZERO,
            failed_fetches: 0,
            calls: CallCounter::default(),
        }
    }

    /// Returns the generation in force.
    ///
    /// ```
    /// use sedgeridge_coordination::config_adoption::ConfigAdoption;
    /// use sedgeridge_coordination::config_events::ConfigAdoptionSettings;
    ///
    /// let adoption = ConfigAdoption::<String>::new(ConfigAdoptionSettings::default(), 7);
    /// assert!(adoption.current_generation().is_none());
    /// ```
    pub fn current_generation(&self) -> Option<Generation> {
        self.current_generation
    }

    /// Returns the changes after a generation, for a peer, or `None` if not all of them are kept
    /// and the peer needs the whole configuration.
    ///
    /// ```
    /// use sedgeridge_coordination::config_adoption::ConfigAdoption;
    /// use sedgeridge_coordination::config_events::ConfigAdoptionSettings;
    ///
    /// let adoption = ConfigAdoption::<String>::new(ConfigAdoptionSettings::default(), 7);
    /// assert_eq!(adoption.changes_after(None), None);
    /// ```
    pub fn changes_after(&self, after: Option<Generation>) -> Option<Vec<ConfigItem<C>>>
    where
        C: Clone,
    {
        let after = after?;
        let newer: Vec<_> = self
            .recent_items
            .iter()
            .filter(|i| i.generation > after)
            .collect();
        let first = newer.first()?;
        let is_snapshot = matches!(first.content, ConfigItemContent::Snapshot(_));
        let is_next = first.generation.0 == after.0 + 1;
        (is_snapshot || is_next).then(|| newer.into_iter().cloned().collect())
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sedgeridge_coordination::config_adoption::ConfigAdoption;
    /// use sedgeridge_coordination::config_events::*;
    ///
    /// let mut adoption = ConfigAdoption::<String>::new(ConfigAdoptionSettings::default(), 7);
    /// let mut actions = Vec::new();
    /// adoption.handle(Duration::ZERO, ConfigEvent::Tick, &mut actions);
    /// assert!(matches!(actions[0], ConfigAction::ReadHead { .. }));
    /// ```
    pub fn handle(
        &mut self,
        now: Duration,
        event: ConfigEvent<C>,
        actions: &mut Vec<ConfigAction<C>>,
    ) where
        C: Clone,
    {
        self.join.start_wait(now);
        match event {
            ConfigEvent::PeersChanged(peers) => self.set_peers(peers, actions),
            ConfigEvent::PeerGeneration { peer, generation } => {
                self.join.record_peer_answer(&peer);
                self.peer_generations
                    .entry(peer)
                    .and_modify(|g| *g = generation.max(*g));
                self.raise_highest_generation(generation);
            }
            ConfigEvent::HeadRead { call, generation } => {
                self.complete_head_read(call);
                self.raise_highest_generation(generation);
            }
            ConfigEvent::Fetched { call, items } => self.handle_items(now, call, items, actions),
            ConfigEvent::CallFailed { call } => {
                if self
                    .pending_poll
                    .take_if(|(polled, _)| *polled == call)
                    .is_some()
                {
                    self.join.record_head_failure();
                }
                self.fail_fetch(now, call);
            }
            ConfigEvent::Tick => {}
        }
        self.time_out_calls(now);
        self.poll_head(now, actions);
        self.start_fetch(now, actions);
    }

    fn set_peers(&mut self, peers: Vec<Member>, actions: &mut Vec<ConfigAction<C>>) {
        let known = std::mem::take(&mut self.peer_generations);
        for peer in peers {
            let generation = known.get(&peer).copied().flatten();
            self.peer_generations.insert(peer, generation);
        }
        let asked = self.join.peers_to_ask(self.peer_generations.keys());
        actions.extend(asked.into_iter().map(ConfigAction::AskPeer));
    }

    fn raise_highest_generation(&mut self, generation: Option<Generation>) {
        self.highest_generation = self.highest_generation.max(generation);
    }

    /// Polls the head at a rate at which the whole fleet keeps to its share of the table's reads.
    fn poll_head(&mut self, now: Duration, actions: &mut Vec<ConfigAction<C>>) {
        if self.pending_poll.is_some() || now < self.next_poll_at {
            return;
        }
        let call = self.calls.next();
        self.pending_poll = Some((call, now));
        self.next_poll_at = now + self.poll_interval();
        let is_exact = self.current_generation.is_none();
        actions.push(ConfigAction::ReadHead { call, is_exact });
    }

    /// Returns the time until the next poll.
    ///
    /// Routers that started together would also poll together: with 200 of them none would read the
    /// head for ten seconds, and a change would be delayed by as much. So the second poll falls at
    /// a random point of the interval.
    fn poll_interval(&mut self) -> Duration {
        let routers = self.peer_generations.len() as u64 + 1;
        let fair_share_ms = routers * 1_000 / self.settings.fleet_polls_per_s;
        let min_interval_ms = self.settings.min_poll_interval_ms;
        let mean_ms = fair_share_ms.clamp(min_interval_ms, self.settings.max_poll_interval_ms);
        if !self.has_randomized_poll_phase {
            self.has_randomized_poll_phase = true;
            return self.backoff.spread(millis(mean_ms));
        }
        // Jitter shortens the interval by up to half, so 4/3 keeps the mean.
        self.backoff.jitter(millis(mean_ms * 4 / 3))
    }

    fn complete_head_read(&mut self, call: CallId) {
        if self
            .pending_poll
            .take_if(|(polled, _)| *polled == call)
            .is_some()
        {
            self.join.record_head_answer();
        }
    }

    fn time_out_calls(&mut self, now: Duration) {
        let timeout = millis(self.settings.call_timeout_ms);
        let timed_out_poll = self
            .pending_poll
            .take_if(|(_, sent_at)| *sent_at + timeout <= now);
        if timed_out_poll.is_some() {
            self.join.record_head_failure();
        }
        let timed_out_fetch = self
            .pending_fetch
            .as_ref()
            .filter(|f| f.sent_at + timeout <= now);
        if let Some(call) = timed_out_fetch.map(|f| f.call) {
            self.fail_fetch(now, call);
        }
    }

    /// Puts fetched items in force, in order and without gaps.
    ///
    /// A lower generation is dropped, whoever sent it: a stale read or a lagging peer would
    /// otherwise revert an accepted configuration. A delta that does not directly follow the
    /// generation in force is dropped too: applied over a gap, it would produce a configuration
    /// that was never accepted. What is still missing is fetched again.
    fn handle_items(
        &mut self,
        now: Duration,
        call: CallId,
        mut items: Vec<ConfigItem<C>>,
        actions: &mut Vec<ConfigAction<C>>,
    ) where
        C: Clone,
    {
        items.sort_by_key(|item| item.generation);
        self.raise_highest_generation(items.last().map(|item| item.generation));
        let mut reached = self.current_generation;
        items.retain(|item| {
            let follows = follows(item, reached);
            if follows {
                reached = Some(item.generation);
            }
            follows
        });
        let is_behind = self.current_generation.is_none() && reached < self.highest_generation;
        if items.is_empty() || is_behind || !self.join.may_start(now) {
            self.fail_fetch(now, call);
            return;
        }
        self.pending_fetch.take_if(|f| f.call == call);
        self.failed_fetches = 0;
        self.adopt(items, actions);
    }

    fn adopt(&mut self, items: Vec<ConfigItem<C>>, actions: &mut Vec<ConfigAction<C>>)
    where
        C: Clone,
    {
        let is_first = self.current_generation.is_none();
        self.current_generation = items.last().map(|item| item.generation);
        self.recent_items.extend(items.iter().cloned());
        let excess = self
            .recent_items
            .len()
            .saturating_sub(self.settings.max_recent_changes);
        self.recent_items.drain(..excess);
        actions.push(ConfigAction::Adopt(items));
        actions.extend(self.current_generation.map(ConfigAction::Announce));
        if is_first {
            actions.push(ConfigAction::Ready);
        }
    }
}

fn follows<C>(item: &ConfigItem<C>, current: Option<Generation>) -> bool {
    match (&item.content, current) {
        (ConfigItemContent::Snapshot(_), current) => current < Some(item.generation),
        (ConfigItemContent::Delta(_), Some(current)) => item.generation.0 == current.0 + 1,
        (ConfigItemContent::Delta(_), None) => false,
    }
}
