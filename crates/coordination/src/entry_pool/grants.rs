//! Grants of one pool at an entry router: which are accepted, which requests they serve, and when
//! they end.

use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::RequestClass;

use crate::entry_events::RequestKey;
use crate::entry_pool::CLASSES_BY_PRIORITY;
use crate::entry_pool::COST_TOLERANCE_DIVISOR;
use crate::entry_pool::EntryPool;
use crate::entry_pool::LONG_GRANT_DURATION;
use crate::entry_pool::MAX_MISSING_GRANTS;
use crate::entry_pool::lane;
use crate::held_grants::HeldGrant;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;
use crate::pool_messages::Holding;

impl EntryPool {
    /// Accepts a grant, unless it was received before or comes from a former home.
    pub fn accept(&mut self, grant: &Grant) -> bool {
        // A former home no longer owns its slots, so using the grant could put two requests on one
        // slot. The former home frees the slot together with the holdings of this member.
        if self.home.as_ref() != Some(&grant.id.home) {
            return false;
        }
        if grant.id.sequence <= self.grants_received {
            return false;
        }
        self.return_missing(grant);
        self.grants_received = grant.id.sequence;
        self.acknowledgement_due = true;
        self.slots_contended = grant.contended;
        let lane = lane(&grant.account, grant.class);
        if let Some(reported) = self.reported_lanes.get_mut(&lane) {
            reported.granted += 1;
        }
        self.changed_lanes.insert(lane);
        true
    }

    /// Returns the grants between the last one received and this one.
    ///
    /// `grants_received` acknowledges all grants up to it. A grant lost on a broken connection
    /// would be acknowledged with them and occupy its slot until the home compares the lists of
    /// grants. The first grant of a home does not show whether earlier ones were lost, as homes
    /// start their sequences at any number, so a full report is sent then.
    pub(super) fn return_missing(&mut self, grant: &Grant) {
        if self.grants_received == 0 {
            self.full_report_requested = true;
            return;
        }
        let missing = self.grants_received + 1..grant.id.sequence;
        if missing.end.saturating_sub(missing.start) > MAX_MISSING_GRANTS {
            self.full_report_requested = true;
            return;
        }
        self.ended_grants.extend(missing.map(|sequence| GrantId {
            home: grant.id.home.clone(),
            sequence,
        }));
    }

    /// Takes the next request that a grant can serve: of the class of the grant, or else of the
    /// other class of the account, so that no slot idles while the account waits.
    pub fn pop_for_grant(&mut self, grant: &Grant) -> Option<RequestKey> {
        let others = CLASSES_BY_PRIORITY
            .into_iter()
            .filter(|class| *class != grant.class);
        let classes = std::iter::once(grant.class).chain(others);
        self.pop_first_of(&grant.account, classes)
    }

    pub(super) fn pop_first_of(
        &mut self,
        account: &AccountId,
        classes: impl Iterator<Item = RequestClass>,
    ) -> Option<RequestKey> {
        for class in classes {
            let lane = lane(account, class);
            if let Some(key) = self.queue.pop(&lane) {
                self.mark_lane_changed(lane);
                return Some(key);
            }
        }
        None
    }

    /// Returns a grant that no request can use.
    pub fn return_unused(&mut self, grant: &Grant) {
        self.ended_grants.push(grant.id.clone());
        self.has_urgent_changes = true;
    }

    /// Records that a grant is in use. `cost_tokens` is the expected cost of one of its requests.
    pub fn hold(&mut self, now: Duration, grant: &Grant, cost_tokens: u64) {
        let requests = self.run_times.bundle_size(&grant.account, self.grant_span);
        let further = (requests - 1).min(self.waiting_of_account(&grant.account));
        let estimate_tokens = cost_tokens * u64::from(further + 1);
        let holding = Holding {
            grant: grant.id.clone(),
            endpoint: grant.endpoint.clone(),
            account: grant.account.clone(),
            estimate_tokens,
        };
        self.held_grants.insert(HeldGrant {
            holding,
            remaining_requests: requests - 1,
            started_at: now,
            reusable_until: now + self.grant_span,
        });
        // The home charged the cost reported with the demand. Listing each grant again would be a
        // third of all control traffic, so a grant is listed only if its cost differs from that.
        let reported = self.reported_lanes.get(&lane(&grant.account, grant.class));
        let reported_tokens = reported.map_or(0, |lane| lane.cost_tokens);
        if estimate_tokens.abs_diff(reported_tokens) > reported_tokens / COST_TOLERANCE_DIVISOR {
            self.held_grants.mark_changed(&grant.id);
        }
    }

    /// Takes the next request that a grant in use still covers, with the endpoint that runs it.
    pub fn next_request_of(
        &mut self,
        now: Duration,
        grant: &GrantId,
    ) -> Option<(RequestKey, EndpointId)> {
        let holding = &self.held_grants.get_mut(grant)?.holding;
        let (account, endpoint) = (holding.account.clone(), holding.endpoint.clone());
        if !self.held_grants.try_reuse(now, grant) {
            return None;
        }
        let key = self.pop_first_of(&account, CLASSES_BY_PRIORITY.into_iter())?;
        Some((key, endpoint))
    }

    /// Raises the estimated cost of a grant in use once its request has received more service than
    /// that.
    ///
    /// Otherwise a request that runs far over its estimate keeps its account at the front of the
    /// order until it ends, and the account gets too much service meanwhile.
    pub fn raise_estimate(&mut self, grant: &GrantId, charged_tokens: u64) {
        let Some(held) = self.held_grants.get_mut(grant) else {
            return;
        };
        if charged_tokens > held.holding.estimate_tokens {
            held.holding.estimate_tokens = charged_tokens + charged_tokens / 2;
            self.held_grants.mark_changed(grant);
        }
    }

    /// Charges the service that a request received under a grant, and returns the endpoint that
    /// served it.
    pub fn settle(
        &mut self,
        grant: &GrantId,
        account: &AccountId,
        charged_tokens: u64,
    ) -> Option<EndpointId> {
        *self.served_tokens.entry(account.clone()).or_default() += charged_tokens;
        self.changed_served_accounts.insert(account.clone());
        let holding = &mut self.held_grants.get_mut(grant)?.holding;
        holding.estimate_tokens = holding.estimate_tokens.saturating_sub(charged_tokens);
        let endpoint = holding.endpoint.clone();
        self.held_grants.mark_changed(grant);
        Some(endpoint)
    }

    /// Ends a grant. The end is reported at once when other requests wait for slots, or when the
    /// grant was short. If the ends of short grants were reported late, their slots would seem
    /// occupied most of the time, and callers would wait at half load.
    pub fn release(&mut self, now: Duration, grant: &GrantId) {
        let held = self.held_grants.remove(grant);
        let was_long = held.is_some_and(|held| now >= held.started_at + LONG_GRANT_DURATION);
        self.ended_grants.push(grant.clone());
        self.has_urgent_changes |= self.slots_contended || !was_long;
    }
}
