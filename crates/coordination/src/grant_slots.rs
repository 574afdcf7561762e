//! Granting of free slots by the home of a pool, and expiry of grants that were not acknowledged.

use std::time::Duration;

use sedgeridge_state::settings::QueueOrder;
use sedgeridge_state::settings::millis;

use crate::demand_table::DemandKey;
use crate::entry_record::GrantRecord;
use crate::entry_record::GrantStage;
use crate::home_events::HomeAction;
use crate::pool_home::GrantExpiry;
use crate::pool_home::MIN_CHARGE_TOKENS;
use crate::pool_home::PoolHome;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;

impl PoolHome {
    /// Starts granting once the slots in use are known.
    ///
    /// If a new home granted at once, it would grant slots that still run requests granted by the
    /// previous home, and endpoints would get up to twice their load after each change of home.
    /// Every live member lists its grants in use in its full report, so once all reports have
    /// arrived, all slots in use are known. The home waits for silent members for the gather
    /// timeout at most; the slots that they use may then be granted twice until their reports
    /// arrive.
    pub(crate) fn finish_gathering(&mut self, now: Duration) {
        if self.is_granting || !self.is_configured {
            return;
        }
        let started_at = self.started_at.unwrap_or(now);
        let is_timed_out = now >= started_at + millis(self.settings.gather_timeout_ms);
        self.is_granting = is_timed_out || (self.members_known && self.entries.all_reported());
    }

    pub(crate) fn grant_free_slots(&mut self, now: Duration, actions: &mut Vec<HomeAction>) {
        while self.is_granting && self.slots.has_free_slot() {
            let Some(key) = self.next_demand() else {
                return;
            };
            let reported = self.demand.reported(key);
            let site = self.entries.record(key.router).site;
            let Some(endpoint) = self.slots.occupy_free_slot(reported.head_prefix, site) else {
                return;
            };
            let estimate_tokens = reported.head_cost_tokens.max(MIN_CHARGE_TOKENS);
            actions.push(self.issue_grant(now, key, endpoint, estimate_tokens));
        }
    }

    fn next_demand(&self) -> Option<DemandKey> {
        match self.settings.order {
            QueueOrder::Fair => self.demand.next_key(self.accounts.next()?),
            QueueOrder::Fifo => self.demand.oldest(),
        }
    }

    fn issue_grant(
        &mut self,
        now: Duration,
        key: DemandKey,
        endpoint: usize,
        estimate_tokens: u64,
    ) -> HomeAction {
        let expires_at = now + millis(self.settings.grant_timeout_ms);
        let record = self.entries.record_mut(key.router);
        record.last_grant_sequence += 1;
        let sequence = record.last_grant_sequence;
        self.highest_sequence = self.highest_sequence.max(sequence);
        let held = GrantRecord {
            account: key.account,
            class: key.class,
            endpoint,
            estimate_tokens,
            stage: GrantStage::Sent { expires_at },
        };
        record.own_grants.insert(sequence, held);
        let to = record.member.clone();
        self.expiries.push_back(GrantExpiry {
            at: expires_at,
            router: key.router,
            sequence,
        });
        self.accounts.charge(key.account, estimate_tokens);
        self.demand.record_grant(key);
        let demand = &self.demand;
        self.accounts
            .refresh(&[key.account], |account| demand.is_backlogged(account));
        self.counters.grants += 1;
        let grant = Grant {
            id: GrantId {
                home: self.member.clone(),
                sequence,
            },
            pool: self.pool.clone(),
            endpoint: self.slots.id(endpoint).clone(),
            account: self.accounts.id(key.account).clone(),
            class: key.class,
            contended: self.next_demand().is_some() || !self.slots.has_free_slot(),
        };
        HomeAction::Grant { to, grant }
    }

    /// Frees the slots of grants that were not acknowledged in time.
    ///
    /// Otherwise a lost grant would keep its slot idle forever while work waits. The router gets no
    /// further grant until it reports, as each grant to an unreachable router would idle a slot
    /// again.
    pub(crate) fn expire_grants(&mut self, now: Duration, actions: &mut Vec<HomeAction>) {
        while self.expiries.front().is_some_and(|first| first.at <= now) {
            let Some(GrantExpiry {
                at,
                router,
                sequence,
            }) = self.expiries.pop_front()
            else {
                return;
            };
            if self.time_out_grant(at, router, sequence) {
                self.counters.timed_out_grants += 1;
                self.request_full_report(now, router, actions);
            }
        }
    }
}
