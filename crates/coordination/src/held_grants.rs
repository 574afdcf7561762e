//! Grants in use at an entry router, and the requests that each still covers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::pool_messages::GrantId;
use crate::pool_messages::Holding;

/// A grant in use. It covers one request or several short ones of one account, one after another.
#[derive(Debug)]
pub(crate) struct HeldGrant {
    /// The grant as reported to the home.
    pub(crate) holding: Holding,
    /// Number of requests still covered, besides the running one.
    pub(crate) remaining_requests: u32,
    /// Time of its first use.
    pub(crate) started_at: Duration,
    /// Time after which it covers no further request.
    pub(crate) reusable_until: Duration,
}

/// Grants in use, by id.
#[derive(Debug, Default)]
pub(crate) struct HeldGrants {
    grants: BTreeMap<GrantId, HeldGrant>,
    changed_grants: BTreeSet<GrantId>,
}

impl HeldGrants {
    pub(crate) fn insert(&mut self, held: HeldGrant) {
        self.grants.insert(held.holding.grant.clone(), held);
    }

    pub(crate) fn get_mut(&mut self, id: &GrantId) -> Option<&mut HeldGrant> {
        self.grants.get_mut(id)
    }

    pub(crate) fn holdings(&self) -> impl Iterator<Item = &Holding> {
        self.grants.values().map(|held| &held.holding)
    }

    pub(crate) fn remove(&mut self, id: &GrantId) -> Option<HeldGrant> {
        self.changed_grants.remove(id);
        self.grants.remove(id)
    }

    /// Counts one further request against a grant; false when the grant covers no more.
    pub(crate) fn try_reuse(&mut self, now: Duration, id: &GrantId) -> bool {
        let Some(held) = self.grants.get_mut(id) else {
            return false;
        };
        if held.remaining_requests == 0 || now >= held.reusable_until {
            return false;
        }
        held.remaining_requests -= 1;
        true
    }

    /// Marks a grant whose estimate at the home is outdated.
    pub(crate) fn mark_changed(&mut self, id: &GrantId) {
        self.changed_grants.insert(id.clone());
    }

    pub(crate) fn mark_all_changed(&mut self) {
        self.changed_grants.extend(self.grants.keys().cloned());
    }

    pub(crate) fn has_changes(&self) -> bool {
        !self.changed_grants.is_empty()
    }

    pub(crate) fn take_changes(&mut self) -> Vec<Holding> {
        let changed = std::mem::take(&mut self.changed_grants);
        let held = changed.iter().filter_map(|id| self.grants.get(id));
        held.map(|held| held.holding.clone()).collect()
    }
}
