//! What the home of a pool is told, and how soon.

use sedgeridge_state::ids::Member;

use crate::attempt_results::EndpointResult;
use crate::entry_events::RequestKey;
use crate::entry_pool::EntryPool;
use crate::entry_pool::HeadFacts;
use crate::entry_pool::Told;
use crate::entry_pool::Urgency;
use crate::entry_queue::Lane;
use crate::pool_messages::Demand;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Served;

impl EntryPool {
    /// Tells how soon the home has to be told something.
    pub fn urgency(&self) -> Urgency {
        if self.home.is_none() {
            return Urgency::None;
        }
        if self.urgent || self.full_wanted {
            return Urgency::Urgent;
        }
        let lazy = !self.changed_lanes.is_empty()
            || !self.ended.is_empty()
            || !self.changed_served.is_empty()
            || self.held.has_changes()
            || !self.results.is_empty()
            || self.unacknowledged;
        if lazy { Urgency::Lazy } else { Urgency::None }
    }

    /// Makes the report that the home is due, if any. `head` gives the facts of a waiting request.
    pub fn report(
        &mut self,
        from: &Member,
        least: Urgency,
        head: impl Fn(RequestKey) -> Option<HeadFacts>,
    ) -> Option<(Member, EntryReport)> {
        if self.urgency() == Urgency::None {
            return None;
        }
        let home = self.home.clone()?;
        self.sequence += 1;
        self.urgent = false;
        self.unacknowledged = false;
        let full = std::mem::take(&mut self.full_wanted);
        if full {
            self.mark_all_changed();
        }
        let lanes = std::mem::take(&mut self.changed_lanes);
        let demand: Vec<Demand> = lanes.iter().map(|lane| self.demand(lane, &head)).collect();
        let demand = demand.into_iter().zip(&lanes);
        let demand = demand.filter_map(|(demand, lane)| self.tell(demand, lane, full));
        let demand = demand.collect();
        let served = std::mem::take(&mut self.changed_served);
        let report = EntryReport {
            from: from.clone(),
            pool: self.id.clone(),
            sequence: self.sequence,
            full,
            grants_received: self.grants_received,
            demand,
            holdings: self.held.take_changes(),
            ended: std::mem::take(&mut self.ended),
            results: self.results_for(least),
            served: served
                .into_iter()
                .map(|account| Served {
                    total_tokens: self.served[&account],
                    account,
                })
                .collect(),
        };
        Some((home, report))
    }

    /// Takes the results if they are due: whole answers can wait for the next lazy report, failures
    /// cannot.
    pub(super) fn results_for(&mut self, least: Urgency) -> Vec<EndpointResult> {
        if least == Urgency::Lazy || self.results.has_failures() {
            self.results.take()
        } else {
            Vec::new()
        }
    }

    pub(super) fn mark_all_changed(&mut self) {
        self.told.clear();
        self.changed_lanes.extend(self.queue.lanes().cloned());
        self.held.mark_all_changed();
        self.changed_served.extend(self.served.keys().cloned());
    }

    /// Notes what the home is told of a lane; leaves out what it knows already.
    pub(super) fn tell(&mut self, demand: Demand, lane: &Lane, full: bool) -> Option<Demand> {
        let known = self.told.get(lane).copied().unwrap_or_default();
        if !full && known.waiting == 0 && demand.waiting == 0 {
            return None;
        }
        if demand.waiting == 0 {
            self.told.remove(lane);
        } else {
            let told = Told {
                waiting: demand.waiting,
                granted: 0,
                cost_tokens: demand.head_cost_tokens,
            };
            self.told.insert(lane.clone(), told);
        }
        Some(demand)
    }

    /// Notes that a lane changed. It is urgent when the home believes that nothing waits there.
    pub(super) fn lane_changed(&mut self, lane: Lane) {
        let told = self.told.get(&lane).copied().unwrap_or_default();
        if told.waiting <= told.granted && self.queue.lane_len(&lane) > 0 {
            self.urgent = true;
        }
        self.changed_lanes.insert(lane);
    }

    /// Counts a lane in bundles. Requests that grants in use will come to are counted as well: an
    /// account that seems to wait for nothing meanwhile would lose what it is owed each time.
    pub(super) fn demand(
        &self,
        lane: &Lane,
        head: &impl Fn(RequestKey) -> Option<HeadFacts>,
    ) -> Demand {
        let waiting = self.queue.lane_len(lane);
        let requests = self.run_times.bundle_size(&lane.account, self.grant_span);
        let facts = self.queue.head(lane).and_then(head);
        let cost_tokens = facts.map_or(0, |facts| facts.cost_tokens);
        Demand {
            account: lane.account.clone(),
            class: lane.class,
            waiting: waiting.div_ceil(requests),
            head_cost_tokens: cost_tokens * u64::from(requests.min(waiting)),
            head_prefix: facts.and_then(|facts| facts.prefix),
        }
    }
}
