//! Which configuration a router without memory may start from.

use std::time::Duration;

use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::millis;

use crate::config_events::ConfigAdoptionSettings;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeadRead {
    Awaited,
    Failed,
    Answered,
}

/// Keeps a restarted router from starting with a generation that the fleet has left behind.
///
/// A stale read of the table, or a peer that lags, would put an old generation in force on a host
/// that had a newer one before its restart: callers would see the configuration turn back. So the
/// router reads the head exactly, and starts with nothing lower. While the table is down it starts
/// with the highest generation that the peers it asked told, or those that answer within a while.
#[derive(Debug)]
pub(super) struct Join {
    wait: Duration,
    most_peers: usize,
    asked: Vec<Member>,
    answered: Vec<Member>,
    head: HeadRead,
    wait_until: Option<Duration>,
}

impl Join {
    pub(super) fn new(settings: &ConfigAdoptionSettings) -> Self {
        Self {
            wait: millis(settings.join_wait_ms),
            most_peers: settings.join_peers,
            asked: Vec::new(),
            answered: Vec::new(),
            head: HeadRead::Awaited,
            wait_until: None,
        }
    }

    pub(super) fn start(&mut self, now: Duration) {
        self.wait_until.get_or_insert(now + self.wait);
    }

    pub(super) fn peers_to_ask<'a>(
        &mut self,
        peers: impl Iterator<Item = &'a Member>,
    ) -> Vec<Member> {
        let free = self.most_peers.saturating_sub(self.asked.len());
        let new = peers.filter(|p| !self.asked.contains(p)).take(free);
        let new: Vec<_> = new.cloned().collect();
        self.asked.extend(new.iter().cloned());
        new
    }

    pub(super) fn peer_answered(&mut self, peer: &Member) {
        if !self.answered.contains(peer) && self.asked.contains(peer) {
            self.answered.push(peer.clone());
        }
    }

    pub(super) fn head_answered(&mut self) {
        self.head = HeadRead::Answered;
    }

    pub(super) fn head_failed(&mut self) {
        if self.head == HeadRead::Awaited {
            self.head = HeadRead::Failed;
        }
    }

    /// Tells whether the generations heard so far are enough to start from.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        let all_heard = !self.asked.is_empty() && self.answered.len() == self.asked.len();
        let is_over = self.wait_until.is_some_and(|at| at <= now);
        match self.head {
            HeadRead::Answered => true,
            HeadRead::Failed => all_heard || is_over,
            HeadRead::Awaited => is_over,
        }
    }
}
