//! Decides from which generation a restarted router, which has no stored state, may start.

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

/// Keeps a restarted router from starting with a generation that the fleet has replaced.
///
/// A stale read of the table, or a lagging peer, would put an old generation in force on a host
/// that had a newer one before its restart: callers would see the configuration revert. So the
/// router reads the head exactly and does not start with a lower generation. While the table is
/// down, it starts with the highest generation of the peers it asked, or of those that answer in
/// time.
#[derive(Debug)]
pub(super) struct Join {
    max_wait: Duration,
    max_peers: usize,
    asked_peers: Vec<Member>,
    answered_peers: Vec<Member>,
    head_read: HeadRead,
    deadline: Option<Duration>,
}

impl Join {
    pub(super) fn new(settings: &ConfigAdoptionSettings) -> Self {
        Self {
            max_wait: millis(settings.join_wait_ms),
            max_peers: settings.max_join_peers,
            asked_peers: Vec::new(),
            answered_peers: Vec::new(),
            head_read: HeadRead::Awaited,
            deadline: None,
        }
    }

    pub(super) fn start_wait(&mut self, now: Duration) {
        self.deadline.get_or_insert(now + self.max_wait);
    }

    pub(super) fn peers_to_ask<'a>(
        &mut self,
        peers: impl Iterator<Item = &'a Member>,
    ) -> Vec<Member> {
        let remaining = self.max_peers.saturating_sub(self.asked_peers.len());
        let new = peers
            .filter(|p| !self.asked_peers.contains(p))
            .take(remaining);
        let new: Vec<_> = new.cloned().collect();
        self.asked_peers.extend(new.iter().cloned());
        new
    }

    pub(super) fn record_peer_answer(&mut self, peer: &Member) {
        if !self.answered_peers.contains(peer) && self.asked_peers.contains(peer) {
            self.answered_peers.push(peer.clone());
        }
    }

    pub(super) fn record_head_answer(&mut self) {
        self.head_read = HeadRead::Answered;
    }

    pub(super) fn record_head_failure(&mut self) {
        if self.head_read == HeadRead::Awaited {
            self.head_read = HeadRead::Failed;
        }
    }

    /// Whether the generations known so far suffice to start.
    pub(super) fn may_start(&self, now: Duration) -> bool {
        let all_answered =
            !self.asked_peers.is_empty() && self.answered_peers.len() == self.asked_peers.len();
        let is_past_deadline = self.deadline.is_some_and(|at| at <= now);
        match self.head_read {
            HeadRead::Answered => true,
            HeadRead::Failed => all_answered || is_past_deadline,
            HeadRead::Awaited => is_past_deadline,
        }
    }
}
