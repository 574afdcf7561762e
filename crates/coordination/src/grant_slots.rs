//! How the home of a pool grants free slots, and takes back what was lost.

use std::time::Duration;

use sedgeridge_state::settings::QueueOrder;
use sedgeridge_state::settings::millis;

use crate::demand_table::DemandKey;
use crate::entry_record::GrantStage;
use crate::entry_record::Held;
use crate::home_events::HomeAction;
use crate::pool_home::GrantExpiry;
use crate::pool_home::MIN_CHARGE_TOKENS;
use crate::pool_home::PoolHome;
use crate::pool_messages::Grant;
use crate::pool_messages::GrantId;

impl PoolHome {
    /// Starts granting once the slots in use are known.
    ///
    /// A new home that grants at once hands out slots that still run requests granted by the home
    /// before it: endpoints get up to twice their load at each rehoming. Every live member lists
    /// its grants in use in its full report, so when all have come no slot in use is unknown. A
    /// member that stays silent may hold its reports back for the gather time at most; what it
    /// holds is then over-admitted until its report arrives.
    pub(crate) fn finish_gathering(&mut self, now: Duration) {
        if self.is_granting || !self.is_configured {
            return;
        }
        let started_at = self.started_at.unwrap_or(now);
        let waited = now >= started_at + millis(self.settings.gather_timeout_ms);
        self.is_granting = waited || (self.members_known && self.entries.all_reported());
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
            actions.push(self.grant(now, key, endpoint, estimate_tokens));
        }
    }

    fn next_demand(&self) -> Option<DemandKey> {
        match self.settings.order {
            QueueOrder::Fair => self.demand.next_key(self.accounts.next()?),
            QueueOrder::Fifo => self.demand.oldest(),
        }
    }

    fn grant(
        &mut self,
        now: Duration,
        key: DemandKey,
        endpoint: usize,
        estimate_tokens: u64,
    ) -> HomeAction {
        let at = now + millis(self.settings.grant_timeout_ms);
        let record = self.entries.record_mut(key.router);
        record.last_granted += 1;
        let sequence = record.last_granted;
        self.highest_sequence = self.highest_sequence.max(sequence);
        let held = Held {
            account: key.account,
            class: key.class,
            endpoint,
            estimate_tokens,
            stage: GrantStage::Sent { expires_at: at },
        };
        record.own.insert(sequence, held);
        let to = record.member.clone();
        self.expiries.push_back(GrantExpiry {
            at,
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

    /// Returns the slots of grants that were not acknowledged in time.
    ///
    /// A lost grant would keep its slot idle for good while work waits. Its router gets no further
    /// grant until it reports, else each grant to an unreachable router idles a slot anew.
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
