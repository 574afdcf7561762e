//! Fetches of missing changes, from a peer or from the store.

use std::time::Duration;

use sedgeridge_state::ids::Member;

use crate::config_adoption::ConfigAdoption;
use crate::config_events::ConfigAction;
use crate::store_call::CallId;

/// A fetch in progress.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) call: CallId,
    pub(super) sent_at: Duration,
}

impl<C> ConfigAdoption<C> {
    pub(super) fn start_fetch(&mut self, now: Duration, actions: &mut Vec<ConfigAction<C>>) {
        let Some(up_to) = self
            .highest_generation
            .filter(|highest| self.current_generation < Some(*highest))
        else {
            return;
        };
        let is_joining = self.current_generation.is_none() && !self.join.may_start(now);
        if self.pending_fetch.is_some() || now < self.next_fetch_at || is_joining {
            return;
        }
        let call = self.calls.next();
        self.pending_fetch = Some(Fetch { call, sent_at: now });
        let after = self.current_generation;
        actions.push(match self.peer_to_ask() {
            Some(peer) => ConfigAction::FetchFromPeer { call, peer, after },
            None => ConfigAction::FetchFromStore { call, after, up_to },
        });
    }

    /// Picks a peer that is ahead, or `None` for the store.
    ///
    /// With 400 routers, reading each change from the table on each router would by itself exceed
    /// the table reads that configuration may use. After failures, every second attempt goes to the
    /// store, as a peer that is ahead may be silent or gone.
    fn peer_to_ask(&self) -> Option<Member> {
        if self.failed_fetches % 2 == 1 {
            return None;
        }
        let ahead = self
            .peer_generations
            .iter()
            .filter(|(_, generation)| **generation > self.current_generation);
        let ahead: Vec<_> = ahead.collect();
        let highest_ahead = ahead.iter().map(|(_, generation)| **generation).max()?;
        let best_peers: Vec<_> = ahead
            .into_iter()
            .filter(|(_, generation)| **generation == highest_ahead)
            .collect();
        let position = self.failed_fetches as usize / 2 % best_peers.len();
        Some(best_peers[position].0.clone())
    }

    pub(super) fn fail_fetch(&mut self, now: Duration, call: CallId) {
        if self.pending_fetch.take_if(|f| f.call == call).is_some() {
            self.failed_fetches = self.failed_fetches.saturating_add(1);
            self.next_fetch_at = now + self.backoff.delay(self.failed_fetches);
        }
    }
}
