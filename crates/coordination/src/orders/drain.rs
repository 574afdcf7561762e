//! Drains endpoints for orders, and decides when an endpoint's work in progress has ended.

use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::millis;

use crate::order_events::OrderAction;
use crate::orders::Orders;
use crate::orders::job::Stage;

/// Time span in which routers were continuously told that an endpoint gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Announcement {
    first_at: Duration,
    last_at: Duration,
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
            self.set_stage(endpoint, Stage::Draining { announced: None });
        }
    }

    /// Returns when the next endpoint may be drained for a load: as late as the weight store's rate
    /// limit allows, and one endpoint for each load interval.
    ///
    /// If all were drained at once, every endpoint would stand idle until its load is allowed; with
    /// ten loads the tenth would be out of service for over a minute. A drain that takes long does
    /// not delay the loads after it.
    fn load_drain_at(&self) -> Duration {
        let propagation = millis(self.settings.drain_propagation_ms);
        let before_load = self.next_load_at.saturating_sub(propagation);
        before_load.max(self.next_load_drain_at)
    }

    /// Notes that a router accepted the drain announcement.
    ///
    /// Time counts from here and not from the decision to drain. While no router can be reached,
    /// all continue to send requests; an order sent while the endpoint happens to be idle would cut
    /// off the next request.
    pub(super) fn note_announcement(&mut self, now: Duration, endpoint: &EndpointId) {
        let drain_expiry = millis(self.settings.drain_expiry_ms);
        let Some(job) = self.jobs.get_mut(endpoint) else {
            return;
        };
        if let Stage::Draining { announced } = &mut job.stage {
            let in_force = announced.filter(|a| now < a.last_at + drain_expiry);
            let first_at = in_force.map_or(now, |a| a.first_at);
            *announced = Some(Announcement {
                first_at,
                last_at: now,
            });
        }
    }

    /// Returns whether every router knows of the drain and still honours it, and no work is left.
    pub(super) fn is_drained(
        &self,
        now: Duration,
        endpoint: &EndpointId,
        announced: Option<Announcement>,
    ) -> bool {
        let Some(Announcement { first_at, last_at }) = announced else {
            return false;
        };
        let propagated_at = first_at + millis(self.settings.drain_propagation_ms);
        let is_honoured = now < last_at + millis(self.settings.drain_expiry_ms);
        is_honoured && propagated_at <= now && self.pools.was_idle_since(endpoint, propagated_at)
    }
}
