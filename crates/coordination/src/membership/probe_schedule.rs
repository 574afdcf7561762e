//! Whom to probe next.
//!
//! Each round goes through all members once in a random order, so the time until a given member
//! is probed is bounded; a newcomer is put at a random place of the current round.

use sedgeridge_state::ids::HostId;

use crate::random::SeededRandom;

/// The order of probes.
#[derive(Debug, Default)]
pub(crate) struct ProbeSchedule {
    order: Vec<HostId>,
    position: usize,
}

impl ProbeSchedule {
    /// Adds a member to the current round unless it is in it.
    pub(crate) fn insert(&mut self, host: &HostId, random: &mut SeededRandom) {
        if self.order.contains(host) {
            return;
        }
        let place = self.position + random.index(self.order.len() - self.position + 1);
        self.order.insert(place, host.clone());
    }

    /// Returns the next host that `is_live`, and drops the others met on the way.
    pub(crate) fn next(
        &mut self,
        random: &mut SeededRandom,
        is_live: impl Fn(&HostId) -> bool,
    ) -> Option<HostId> {
        loop {
            if self.position >= self.order.len() {
                self.order.retain(&is_live);
                let all = self.order.len();
                random.choose(&mut self.order, all);
                self.position = 0;
            }
            let host = self.order.get(self.position)?.clone();
            self.position += 1;
            if is_live(&host) {
                return Some(host);
            }
        }
    }
}
