//! When an endpoint's work in progress has ended for an order.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::millis;

use crate::order_events::OrderAction;
use crate::orders::Orders;
use crate::orders::job::Stage;

/// Since when routers have been told without a gap that an endpoint gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Announcement {
    since: Duration,
    last: Duration,
}

impl Orders {
    pub(super) fn begin_drain(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        actions: &mut Vec<OrderAction>,
    ) {
        let job = self.jobs.get(endpoint);
        let is_load = job.is_some_and(|job| job.record.order.reads_weights());
        if is_load && now < self.load_drain_at() {
            return;
        }
        if self.pools.try_drain(endpoint) {
            if is_load {
                self.next_load_drain_at = now + millis(self.settings.load_interval_ms);
            }
            actions.push(OrderAction::Drain(endpoint.clone()));
            self.enter(endpoint, Stage::Draining { announced: None });
        }
    }

    /// Returns when an endpoint may be drained for a load: as late as the weight store's next turn
    /// allows, and one a turn.
    ///
    /// Drained at once, every endpoint with a load ahead of its turn would stand idle; ten loads
    /// would take the tenth out of service for over a minute. A drain that takes long does not hold
    /// up the loads after it.
    fn load_drain_at(&self) -> Duration {
        let settle = millis(self.settings.drain_propagation_ms);
        let before_turn = self.next_load_at.saturating_sub(settle);
        before_turn.max(self.next_load_drain_at)
    }

    /// Notes that a router took the drain.
    ///
    /// Time counts from here and not from the decision to drain: while no router can be reached,
    /// all go on sending, and an order in a lull would cut off the request that comes next.
    pub(super) fn note_announcement(&mut self, now: Duration, endpoint: &EndpointId) {
        let lapse = millis(self.settings.drain_expiry_ms);
        let Some(job) = self.jobs.get_mut(endpoint) else {
            return;
        };
        if let Stage::Draining { announced } = &mut job.stage {
            let in_force = announced.filter(|a| now < a.last + lapse);
            let since = in_force.map_or(now, |a| a.since);
            *announced = Some(Announcement { since, last: now });
        }
    }

    /// Tells whether every router has heard of the drain, still heeds it, and no work is left.
    pub(super) fn is_drained(
        &self,
        now: Duration,
        endpoint: &EndpointId,
        announced: Option<Announcement>,
    ) -> bool {
        let Some(Announcement { since, last }) = announced else {
            return false;
        };
        let settled_at = since + millis(self.settings.drain_propagation_ms);
        let is_heeded = now < last + millis(self.settings.drain_expiry_ms);
        is_heeded && settled_at <= now && self.pools.was_empty(endpoint, settled_at)
    }
}
