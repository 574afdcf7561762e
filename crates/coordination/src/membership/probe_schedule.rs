//! Order in which members are probed.
//!
//! Each round goes through all members once in random order, so the time until a given member is
//! probed is bounded. A new member is inserted at a random position of the current round.

use sedgeridge_state::ids::HostId;

use crate::random::SeededRandom;

/// The members of the current round, in probe order.
#[derive(Debug, Default)]
pub(crate) struct ProbeSchedule {
    order: Vec<HostId>,
    next_position: usize,
}

impl ProbeSchedule {
    /// Adds a member to the current round unless it is already part of it.
    pub(crate) fn insert(&mut self, host: &HostId, random: &mut SeededRandom) {
        if self.order.contains(host) {
            return;
        }
        let position = self.next_position + random.index(self.order.len() - self.next_position + 1);
        self.order.insert(position, host.clone());
    }

    /// Returns the next live host. Hosts that are not live are skipped, and removed when a new
    /// round starts.
    pub(crate) fn next(
        &mut self,
        random: &mut SeededRandom,
        is_live: impl Fn(&HostId) -> bool,
    ) -> Option<HostId> {
        loop {
            if self.next_position >= self.order.len() {
                self.order.retain(&is_live);
                let count = self.order.len();
                random.choose(&mut self.order, count);
                self.next_position = 0;
            }
            let host = self.order.get(self.next_position)?.clone();
            self.next_position += 1;
            if is_live(&host) {
                return Some(host);
            }
        }
    }
}
