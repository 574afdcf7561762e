//! How a router comes to the accepted configuration, and never back from it.
//!
//! Routers poll the head at a rate that is shared by the whole fleet, and tell each other the
//! generation in force. Who hears of a higher one fetches it from the peer that told, else from the
//! store.

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

/// Adoption of configurations by one router. `C` is the content of a change.
#[derive(Debug)]
pub struct ConfigAdoption<C> {
    settings: ConfigAdoptionSettings,
    current: Option<Generation>,
    /// Highest generation heard of.
    highest: Option<Generation>,
    /// Generations that peers told, by peer believed alive.
    peers: BTreeMap<Member, Option<Generation>>,
    recent: VecDeque<ConfigItem<C>>,
    join: Join,
    poll: Option<(CallId, Duration)>,
    next_poll_at: Duration,
    has_spread_polls: bool,
    fetch: Option<Fetch>,
    next_fetch_at: Duration,
    failures: u32,
    calls: CallCounter,
    jitter: Backoff,
}

impl<C> ConfigAdoption<C> {
    /// Creates the adoption of a router that has no configuration and is not ready.
    ///
    /// ```
    /// use sedgeridge_coordination::config_adoption::ConfigAdoption;
    /// use sedgeridge_coordination::config_events::ConfigAdoptionSettings;
    ///
    /// let adoption = ConfigAdoption::<String>::new(ConfigAdoptionSettings::default(), 7);
    /// assert_eq!(adoption.current(), None);
    /// ```
    pub fn new(settings: ConfigAdoptionSettings, seed: u64) -> Self {
        let base = millis(settings.base_backoff_ms);
        Self {
            jitter: Backoff::new(base, millis(settings.max_backoff_ms), seed),
            join: Join::new(&settings),
            settings,
            current: None,
            highest: None,
            peers: BTreeMap::new(),
            recent: VecDeque::new(),
            poll: None,
            next_poll_at: Duration::ZERO,
            has_spread_polls: false,
            fetch: None,
            next_fetch_at: Duration::ZERO,
            failures: 0,
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
    /// assert!(adoption.current().is_none());
    /// ```
    pub fn current(&self) -> Option<Generation> {
        self.current
    }

    /// Returns the changes after a generation, for a peer; none if not all of them are kept, so
    /// that the peer needs the whole configuration.
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
            .recent
            .iter()
            .filter(|i| i.generation > after)
            .collect();
        let first = newer.first()?;
        let is_whole = matches!(first.content, ConfigItemContent::Snapshot(_));
        let is_next = first.generation.0 == after.0 + 1;
        (is_whole || is_next).then(|| newer.into_iter().cloned().collect())
    }

    /// Takes one event and appends what is to be done.
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
        self.join.start(now);
        match event {
            ConfigEvent::PeersChanged(peers) => self.take_peers(peers, actions),
            ConfigEvent::PeerGeneration { peer, generation } => {
                self.join.peer_answered(&peer);
                self.peers
                    .entry(peer)
                    .and_modify(|g| *g = generation.max(*g));
                self.hear(generation);
            }
            ConfigEvent::HeadRead { call, generation } => {
                self.end_head_read(call);
                self.hear(generation);
            }
            ConfigEvent::Fetched { call, items } => self.take_items(now, call, items, actions),
            ConfigEvent::CallFailed { call } => {
                if self.poll.take_if(|(polled, _)| *polled == call).is_some() {
                    self.join.head_failed();
                }
                self.fail_fetch(now, call);
            }
            ConfigEvent::Tick => {}
        }
        self.end_silent_calls(now);
        self.poll(now, actions);
        self.fetch(now, actions);
    }

    fn take_peers(&mut self, peers: Vec<Member>, actions: &mut Vec<ConfigAction<C>>) {
        let known = std::mem::take(&mut self.peers);
        for peer in peers {
            let generation = known.get(&peer).copied().flatten();
            self.peers.insert(peer, generation);
        }
        let asked = self.join.peers_to_ask(self.peers.keys());
        actions.extend(asked.into_iter().map(ConfigAction::AskPeer));
    }

    fn hear(&mut self, generation: Option<Generation>) {
        self.highest = self.highest.max(generation);
    }

    /// Polls the head, so that the fleet as a whole keeps to its share of the table's reads.
    fn poll(&mut self, now: Duration, actions: &mut Vec<ConfigAction<C>>) {
        if self.poll.is_some() || now < self.next_poll_at {
            return;
        }
        let call = self.calls.next();
        self.poll = Some((call, now));
        self.next_poll_at = now + self.poll_interval();
        let is_exact = self.current.is_none();
        actions.push(ConfigAction::ReadHead { call, is_exact });
    }

    /// Routers that started together would also poll together: with 200 of them nobody would look
    /// at the head for ten seconds, and a change would be that late. So the second poll comes
    /// at any time of the interval.
    fn poll_interval(&mut self) -> Duration {
        let routers = self.peers.len() as u64 + 1;
        let fair_share_ms = routers * 1_000 / self.settings.fleet_polls_per_s;
        let least = self.settings.min_poll_interval_ms;
        let mean_ms = fair_share_ms.clamp(least, self.settings.max_poll_interval_ms);
        if !self.has_spread_polls {
            self.has_spread_polls = true;
            return self.jitter.spread(millis(mean_ms));
        }
        // Jitter takes up to half away.
        self.jitter.jitter(millis(mean_ms * 4 / 3))
    }

    fn end_head_read(&mut self, call: CallId) {
        if self.poll.take_if(|(polled, _)| *polled == call).is_some() {
            self.join.head_answered();
        }
    }

    fn end_silent_calls(&mut self, now: Duration) {
        let timeout = millis(self.settings.call_timeout_ms);
        let silent_poll = self.poll.take_if(|(_, sent_at)| *sent_at + timeout <= now);
        if silent_poll.is_some() {
            self.join.head_failed();
        }
        let silent = self.fetch.as_ref().filter(|f| f.sent_at + timeout <= now);
        if let Some(call) = silent.map(|f| f.call) {
            self.fail_fetch(now, call);
        }
    }

    /// Puts items in force, each directly after the one before it.
    ///
    /// A lower generation is left out, whoever sent it: a stale read or a peer that lags would
    /// otherwise turn an accepted configuration back. A delta that does not follow the generation
    /// in force is left out too, as applied over a gap it would make a configuration that nobody
    /// accepted; the fetch is repeated.
    fn take_items(
        &mut self,
        now: Duration,
        call: CallId,
        mut items: Vec<ConfigItem<C>>,
        actions: &mut Vec<ConfigAction<C>>,
    ) where
        C: Clone,
    {
        items.sort_by_key(|item| item.generation);
        self.hear(items.last().map(|item| item.generation));
        let mut reached = self.current;
        items.retain(|item| {
            let follows = follows(item, reached);
            if follows {
                reached = Some(item.generation);
            }
            follows
        });
        let is_behind = self.current.is_none() && reached < self.highest;
        if items.is_empty() || is_behind || !self.join.is_settled(now) {
            self.fail_fetch(now, call);
            return;
        }
        self.fetch.take_if(|f| f.call == call);
        self.failures = 0;
        self.adopt(items, actions);
    }

    fn adopt(&mut self, items: Vec<ConfigItem<C>>, actions: &mut Vec<ConfigAction<C>>)
    where
        C: Clone,
    {
        let is_first = self.current.is_none();
        self.current = items.last().map(|item| item.generation);
        self.recent.extend(items.iter().cloned());
        let excess = self
            .recent
            .len()
            .saturating_sub(self.settings.recent_changes);
        self.recent.drain(..excess);
        actions.push(ConfigAction::Adopt(items));
        actions.extend(self.current.map(ConfigAction::Announce));
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
