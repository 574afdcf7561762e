//! State that the home of a pool keeps for one entry router.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;

use crate::pool_messages::GrantId;

/// Progress of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GrantStage {
    /// Sent but not acknowledged. Occupies its slot.
    Sent { expires_at: Duration },
    /// Not acknowledged in time. Its slot was returned.
    TimedOut,
    /// Received by the router. Occupies its slot until it ends.
    Acknowledged,
}

/// A grant that has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GrantRecord {
    pub(crate) account: usize,
    pub(crate) class: RequestClass,
    pub(crate) endpoint: usize,
    pub(crate) estimate_tokens: u64,
    pub(crate) stage: GrantStage,
}

/// One run of an entry router.
#[derive(Debug)]
pub(crate) struct EntryRecord {
    pub(crate) member: Member,
    /// Site of its host, if known.
    pub(crate) site: Option<usize>,
    /// Sequence of the last report; `None` until a full report arrives.
    pub(crate) last_sequence: Option<u64>,
    pub(crate) last_full_at: Duration,
    /// Time of the request for a full report that has not arrived yet.
    pub(crate) full_report_requested_at: Option<Duration>,
    /// Whether its reports named accounts or endpoints that the configuration here does not
    /// contain.
    pub(crate) has_unknown_names: bool,
    pub(crate) grants_received: u64,
    pub(crate) last_grant_sequence: u64,
    /// Grants of this home that have not ended, by sequence.
    pub(crate) own_grants: BTreeMap<u64, GrantRecord>,
    /// Grants of earlier homes that have not ended.
    pub(crate) foreign_grants: BTreeMap<GrantId, GrantRecord>,
}

impl EntryRecord {
    pub(crate) fn new(member: Member, site: Option<usize>) -> Self {
        Self {
            member,
            site,
            last_sequence: None,
            last_full_at: Duration::ZERO,
            full_report_requested_at: None,
            has_unknown_names: false,
            grants_received: 0,
            last_grant_sequence: 0,
            own_grants: BTreeMap::new(),
            foreign_grants: BTreeMap::new(),
        }
    }

    /// Finds a grant that has not ended; `home` is the home that keeps this record.
    pub(crate) fn grant_mut(&mut self, home: &Member, id: &GrantId) -> Option<&mut GrantRecord> {
        if id.home == *home {
            self.own_grants.get_mut(&id.sequence)
        } else {
            self.foreign_grants.get_mut(id)
        }
    }

    pub(crate) fn insert(&mut self, home: &Member, id: &GrantId, held: GrantRecord) {
        if id.home == *home {
            self.own_grants.insert(id.sequence, held);
        } else {
            self.foreign_grants.insert(id.clone(), held);
        }
    }

    pub(crate) fn remove(&mut self, home: &Member, id: &GrantId) -> Option<GrantRecord> {
        if id.home == *home {
            self.own_grants.remove(&id.sequence)
        } else {
            self.foreign_grants.remove(id)
        }
    }

    /// Returns the ids of all grants that have not ended, in a fixed order.
    pub(crate) fn grant_ids(&self, home: &Member) -> Vec<GrantId> {
        let own = self.own_grants.keys().map(|&sequence| GrantId {
            home: home.clone(),
            sequence,
        });
        own.chain(self.foreign_grants.keys().cloned()).collect()
    }
}
