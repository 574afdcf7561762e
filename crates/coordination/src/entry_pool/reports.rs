//! Reports of an entry router to the home of a pool, and their urgency.

use sedgeridge_state::ids::Member;

use crate::attempt_results::EndpointResult;
use crate::entry_events::RequestKey;
use crate::entry_pool::EntryPool;
use crate::entry_pool::LaneHead;
use crate::entry_pool::ReportedLane;
use crate::entry_pool::Urgency;
use crate::entry_queue::Lane;
use crate::pool_messages::Demand;
use crate::pool_messages::EntryReport;
use crate::pool_messages::Served;

impl EntryPool {
    /// Returns how soon the pending changes must be reported to the home.
    pub fn urgency(&self) -> Urgency {
        if self.home.is_none() {
            return Urgency::None;
        }
        if self.has_urgent_changes || self.full_report_requested {
            return Urgency::Urgent;
        }
        let lazy = !self.changed_lanes.is_empty()
            || !self.ended_grants.is_empty()
            || !self.changed_served_accounts.is_empty()
            || self.held_grants.has_changes()
            || !self.attempt_results.is_empty()
            || self.acknowledgement_due;
        if lazy { Urgency::Lazy } else { Urgency::None }
    }

    /// Returns the next report and the home that it goes to, if there are changes. `lane_head`
    /// returns cost and prefix of a waiting request.
    pub fn report(
        &mut self,
        from: &Member,
        min_urgency: Urgency,
        lane_head: impl Fn(RequestKey) -> Option<LaneHead>,
    ) -> Option<(Member, EntryReport)> {
        if self.urgency() == Urgency::None {
            return None;
        }
        let home = self.home.clone()?;
        self.report_sequence += 1;
        self.has_urgent_changes = false;
        self.acknowledgement_due = false;
        let full = std::mem::take(&mut self.full_report_requested);
        if full {
            self.mark_all_changed();
        }
        let lanes = std::mem::take(&mut self.changed_lanes);
        let demand: Vec<Demand> = lanes
            .iter()
            .map(|lane| self.demand(lane, &lane_head))
            .collect();
        let demand = demand.into_iter().zip(&lanes);
        let demand =
            demand.filter_map(|(demand, lane)| self.record_reported_lane(demand, lane, full));
        let demand = demand.collect();
        let served = std::mem::take(&mut self.changed_served_accounts);
        let report = EntryReport {
            from: from.clone(),
            pool: self.id.clone(),
            sequence: self.report_sequence,
            full,
            grants_received: self.grants_received,
            demand,
            holdings: self.held_grants.take_changes(),
            ended: std::mem::take(&mut self.ended_grants),
            results: self.take_due_results(min_urgency),
            served: served
                .into_iter()
                .map(|account| Served {
                    total_tokens: self.served_tokens[&account],
                    account,
                })
                .collect(),
        };
        Some((home, report))
    }

    /// Takes the results of attempts if they are due: whole answers can wait for the next lazy
    /// report, failures cannot.
    pub(super) fn take_due_results(&mut self, min_urgency: Urgency) -> Vec<EndpointResult> {
        if min_urgency == Urgency::Lazy || self.attempt_results.has_failures() {
            self.attempt_results.take()
        } else {
            Vec::new()
        }
    }

    pub(super) fn mark_all_changed(&mut self) {
        self.reported_lanes.clear();
        self.changed_lanes.extend(self.queue.lanes().cloned());
        self.held_grants.mark_all_changed();
        self.changed_served_accounts
            .extend(self.served_tokens.keys().cloned());
    }

    /// Records the reported demand of a lane; returns nothing when the home already knows that the
    /// lane is empty.
    pub(super) fn record_reported_lane(
        &mut self,
        demand: Demand,
        lane: &Lane,
        full: bool,
    ) -> Option<Demand> {
        let previous = self.reported_lanes.get(lane).copied().unwrap_or_default();
        if !full && previous.waiting == 0 && demand.waiting == 0 {
            return None;
        }
        if demand.waiting == 0 {
            self.reported_lanes.remove(lane);
        } else {
            let reported = ReportedLane {
                waiting: demand.waiting,
                granted: 0,
                cost_tokens: demand.head_cost_tokens,
            };
            self.reported_lanes.insert(lane.clone(), reported);
        }
        Some(demand)
    }

    /// Records that a lane changed. The change is urgent if requests wait there while the home
    /// assumes that none do.
    pub(super) fn mark_lane_changed(&mut self, lane: Lane) {
        let reported = self.reported_lanes.get(&lane).copied().unwrap_or_default();
        if reported.waiting <= reported.granted && self.queue.lane_len(&lane) > 0 {
            self.has_urgent_changes = true;
        }
        self.changed_lanes.insert(lane);
    }

    /// Returns the demand of a lane, in bundles of requests that one grant covers. Requests that
    /// grants in use will reach are counted as well. Without them the account would seem to have no
    /// demand meanwhile, and would lose the service it is owed each time.
    pub(super) fn demand(
        &self,
        lane: &Lane,
        lane_head: &impl Fn(RequestKey) -> Option<LaneHead>,
    ) -> Demand {
        let waiting = self.queue.lane_len(lane);
        let requests = self.run_times.bundle_size(&lane.account, self.grant_span);
        let lane_head = self.queue.head(lane).and_then(lane_head);
        let cost_tokens = lane_head.map_or(0, |lane_head| lane_head.cost_tokens);
        Demand {
            account: lane.account.clone(),
            class: lane.class,
            waiting: waiting.div_ceil(requests),
            head_cost_tokens: cost_tokens * u64::from(requests.min(waiting)),
            head_prefix: lane_head.and_then(|lane_head| lane_head.prefix),
        }
    }
}
