//! Grants of one pool: which count, what they are used for, when they end.

use std::time::Duration;

use sedgeridge_state::ids::AccountId;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::settings::RequestClass;

use crate::entry_events::RequestKey;
use crate::entry_pool::CLASSES;
use crate::entry_pool::COST_TOLERANCE_DIVISOR;
use crate::entry_pool::EntryPool;
use crate::entry_pool::LONG_GRANT;
use crate::entry_pool::MAX_MISSING_GRANTS;
use crate::entry_pool::lane;
use crate::held_grants::HeldGrant;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;
use crate::pool_messages::Holding;

impl EntryPool {
    /// Tells whether a grant counts; one that came before, or from a former home, does not.
    pub fn accept(&mut self, grant: &Grant) -> bool {
        // The slot of a former home is no longer its to give, and using it could put two requests
        // on one slot. The former home frees it with the holdings of this member.
        if self.home.as_ref() != Some(&grant.id.home) {
            return false;
        }
        if grant.id.sequence <= self.grants_received {
            return false;
        }
        self.give_back_missing(grant);
        self.grants_received = grant.id.sequence;
        self.unacknowledged = true;
        self.contended = grant.contended;
        let lane = lane(&grant.account, grant.class);
        if let Some(told) = self.told.get_mut(&lane) {
            told.granted += 1;
        }
        self.changed_lanes.insert(lane);
        true
    }

    /// Gives back the grants between the last one received and this one.
    ///
    /// `grants_received` acknowledges all grants up to it. A grant lost on a broken connection would
    /// be acknowledged with them and hold its slot until the home compares lists. The first grant of
    /// a home does not tell whether others were lost, as homes begin their sequences anywhere; a
    /// full report does.
    pub(super) fn give_back_missing(&mut self, grant: &Grant) {
        if self.grants_received == 0 {
            self.full_wanted = true;
            return;
        }
        let missing = self.grants_received + 1..grant.id.sequence;
        if missing.end.saturating_sub(missing.start) > MAX_MISSING_GRANTS {
            self.full_wanted = true;
            return;
        }
        self.ended.extend(missing.map(|sequence| GrantId {
            home: grant.id.home.clone(),
            sequence,
        }));
    }

    /// Takes the next request that a grant can be used for: of the class meant, or else of the
    /// account's other class, so that no slot idles while the account waits.
    pub fn pop_for(&mut self, grant: &Grant) -> Option<RequestKey> {
        let others = CLASSES.into_iter().filter(|class| *class != grant.class);
        let classes = std::iter::once(grant.class).chain(others);
        self.pop_of(&grant.account, classes)
    }

    pub(super) fn pop_of(
        &mut self,
        account: &AccountId,
        classes: impl Iterator<Item = RequestClass>,
    ) -> Option<RequestKey> {
        for class in classes {
            let lane = lane(account, class);
            if let Some(key) = self.queue.pop(&lane) {
                self.lane_changed(lane);
                return Some(key);
            }
        }
        None
    }

    /// Gives back a grant that cannot be used.
    pub fn give_back(&mut self, grant: &Grant) {
        self.ended.push(grant.id.clone());
        self.urgent = true;
    }

    /// Records that a grant is in use. `cost_tokens` is what one of its requests is expected to
    /// cost.
    pub fn hold(&mut self, now: Duration, grant: &Grant, cost_tokens: u64) {
        let requests = self.run_times.bundle_size(&grant.account, self.grant_span);
        let left = (requests - 1).min(self.waiting_of(&grant.account));
        let estimate_tokens = cost_tokens * u64::from(left + 1);
        let holding = Holding {
            grant: grant.id.clone(),
            endpoint: grant.endpoint.clone(),
            account: grant.account.clone(),
            estimate_tokens,
        };
        self.held.insert(HeldGrant {
            holding,
            left: requests - 1,
            since: now,
            until: now + self.grant_span,
        });
        // The home charged the cost that it was told with the demand. Naming each grant again would
        // be a third of all control traffic, so only a cost that turned out otherwise does.
        let told = self.told.get(&lane(&grant.account, grant.class));
        let told_tokens = told.map_or(0, |told| told.cost_tokens);
        if estimate_tokens.abs_diff(told_tokens) > told_tokens / COST_TOLERANCE_DIVISOR {
            self.held.mark_changed(&grant.id);
        }
    }

    /// Takes the next request that a grant in use still covers, with the endpoint that runs it.
    pub fn next_of_grant(
        &mut self,
        now: Duration,
        grant: &GrantId,
    ) -> Option<(RequestKey, EndpointId)> {
        let holding = &self.held.get_mut(grant)?.holding;
        let (account, endpoint) = (holding.account.clone(), holding.endpoint.clone());
        if !self.held.take_next(now, grant) {
            return None;
        }
        let key = self.pop_of(&account, CLASSES.into_iter())?;
        Some((key, endpoint))
    }

    /// Raises what a grant in use is expected to cost, once its request has received more than that.
    ///
    /// A request that runs far over its estimate would keep its account at the front of the order
    /// until it ends, and the account would be served too much meanwhile.
    pub fn raise_estimate(&mut self, grant: &GrantId, charged_tokens: u64) {
        let Some(held) = self.held.get_mut(grant) else {
            return;
        };
        if charged_tokens > held.holding.estimate_tokens {
            held.holding.estimate_tokens = charged_tokens + charged_tokens / 2;
            self.held.mark_changed(grant);
        }
    }

    /// Adds what a request received under a grant, and returns the endpoint that served it.
    pub fn settle(
        &mut self,
        grant: &GrantId,
        account: &AccountId,
        charged_tokens: u64,
    ) -> Option<EndpointId> {
        *self.served.entry(account.clone()).or_default() += charged_tokens;
        self.changed_served.insert(account.clone());
        let holding = &mut self.held.get_mut(grant)?.holding;
        holding.estimate_tokens = holding.estimate_tokens.saturating_sub(charged_tokens);
        let endpoint = holding.endpoint.clone();
        self.held.mark_changed(grant);
        Some(endpoint)
    }

    /// Ends a grant. The home is told at once when others wait for slots, or when the grant was
    /// short: slots of short grants told of late would seem occupied most of the time, and callers
    /// would wait at half load.
    pub fn release(&mut self, now: Duration, grant: &GrantId) {
        let held = self.held.remove(grant);
        let was_long = held.is_some_and(|held| now >= held.since + LONG_GRANT);
        self.ended.push(grant.clone());
        self.urgent |= self.contended || !was_long;
    }
}
