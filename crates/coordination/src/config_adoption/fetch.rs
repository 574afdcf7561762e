//! From whom a router fetches the changes that it lacks.

use std::time::Duration;

use sedgeridge_state::ids::Member;

use crate::config_adoption::ConfigAdoption;
use crate::config_events::ConfigAction;
use crate::store_call::CallId;

/// A fetch under way.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) call: CallId,
    pub(super) sent_at: Duration,
}

impl<C> ConfigAdoption<C> {
    pub(super) fn fetch(&mut self, now: Duration, actions: &mut Vec<ConfigAction<C>>) {
        let Some(up_to) = self.highest.filter(|highest| self.current < Some(*highest)) else {
            return;
        };
        let is_joining = self.current.is_none() && !self.join.is_settled(now);
        if self.fetch.is_some() || now < self.next_fetch_at || is_joining {
            return;
        }
        let call = self.calls.next();
        self.fetch = Some(Fetch { call, sent_at: now });
        let after = self.current;
        actions.push(match self.peer_to_ask() {
            Some(peer) => ConfigAction::FetchFromPeer { call, peer, after },
            None => ConfigAction::FetchFromStore { call, after, up_to },
        });
    }

    /// Picks a peer that is ahead, or none for the store.
    ///
    /// At 400 routers each change fetched by each router from the table would by itself exceed the
    /// table reads that configuration may use. Every second try after a failure goes to the store,
    /// as a peer that told its generation may be silent or gone.
    fn peer_to_ask(&self) -> Option<Member> {
        if self.failures % 2 == 1 {
            return None;
        }
        let ahead = self.peers.iter().filter(|(_, told)| **told > self.current);
        let ahead: Vec<_> = ahead.collect();
        let most = ahead.iter().map(|(_, told)| **told).max()?;
        let best: Vec<_> = ahead
            .into_iter()
            .filter(|(_, told)| **told == most)
            .collect();
        let turn = self.failures as usize / 2 % best.len();
        Some(best[turn].0.clone())
    }

    pub(super) fn fail_fetch(&mut self, now: Duration, call: CallId) {
        if self.fetch.take_if(|f| f.call == call).is_some() {
            self.failures = self.failures.saturating_add(1);
            self.next_fetch_at = now + self.jitter.delay(self.failures);
        }
    }
}
