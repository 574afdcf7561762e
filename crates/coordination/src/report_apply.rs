//! Reports of entry routers at the home of a pool: checks them and applies their content.

use std::time::Duration;

use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::RequestClass;

use crate::demand_table::DemandKey;
use crate::demand_table::DemandReport;
use crate::entry_record::GrantRecord;
use crate::entry_record::GrantStage;
use crate::entry_table::ReportAdmission;
use crate::home_counters::RejectionReason;
use crate::pool_home::HomeAction;
use crate::pool_home::MIN_CHARGE_TOKENS;
use crate::pool_home::PoolHome;
use crate::pool_messages::Demand;
use crate::pool_messages::EntryReport;
use crate::pool_messages::GrantId;
use crate::pool_messages::Holding;
use crate::report_check::check_counters;

/// Settled service of an account that this home knows.
#[derive(Debug)]
pub(crate) struct ResolvedServed {
    account: usize,
    total_tokens: u64,
}

impl PoolHome {
    pub(crate) fn handle_report(
        &mut self,
        now: Duration,
        report: &EntryReport,
        actions: &mut Vec<HomeAction>,
    ) {
        if report.pool != self.pool {
            return self.counters.reject(RejectionReason::WrongPool);
        }
        let admission = match self.entries.admit(report) {
            Ok(admission) => admission,
            Err(refusal) => {
                self.counters.reject(refusal.reason);
                if refusal.needs_full_report {
                    self.request_full_report_from(now, &report.from, actions);
                }
                return;
            }
        };
        let served = self.resolve_served(report);
        if let Err(reason) = self.check_report(report, &served, admission) {
            return self.counters.reject(reason);
        }
        let router = match admission {
            ReportAdmission::Known(router) => router,
            ReportAdmission::Restarted(router) => {
                self.remove_router(router);
                self.add_router(&report.from)
            }
        };
        self.apply(now, router, report, &served);
        self.resolved_served = served;
    }

    fn request_full_report_from(
        &mut self,
        now: Duration,
        from: &Member,
        actions: &mut Vec<HomeAction>,
    ) {
        let known = self.entries.find(&from.host);
        match known.filter(|router| self.entries.record(*router).member == *from) {
            Some(router) => self.request_full_report(now, router, actions),
            None => actions.push(HomeAction::RequestFullReport { to: from.clone() }),
        }
    }

    /// Checks all counters before any is applied, so that a rejected report changes nothing.
    fn check_report(
        &self,
        report: &EntryReport,
        served: &[ResolvedServed],
        admission: ReportAdmission,
    ) -> Result<(), RejectionReason> {
        check_counters(report)?;
        let ReportAdmission::Known(router) = admission else {
            return Ok(());
        };
        let record = self.entries.record(router);
        let known_run = record.last_sequence.is_some();
        if known_run && report.grants_received > record.last_grant_sequence {
            return Err(RejectionReason::AbsurdCounter);
        }
        let ledger = self.accounts.ledger();
        let has_decreased = served
            .iter()
            .any(|served| served.total_tokens < ledger.total_tokens(router, served.account));
        if has_decreased {
            return Err(RejectionReason::ServedWentDown);
        }
        Ok(())
    }

    /// Looks up the accounts of settled service once, into a reused buffer.
    fn resolve_served(&mut self, report: &EntryReport) -> Vec<ResolvedServed> {
        let mut resolved = std::mem::take(&mut self.resolved_served);
        resolved.clear();
        for served in &report.served {
            if let Some(account) = self.accounts.find(&served.account) {
                resolved.push(ResolvedServed {
                    account,
                    total_tokens: served.total_tokens,
                });
            }
        }
        resolved
    }

    fn apply(
        &mut self,
        now: Duration,
        router: usize,
        report: &EntryReport,
        served: &[ResolvedServed],
    ) {
        let is_first = self.entries.record(router).last_sequence.is_none();
        let record = self.entries.record_mut(router);
        record.last_sequence = Some(report.sequence);
        if report.full {
            record.last_full_at = now;
            record.full_report_requested_at = None;
            record.has_unknown_names = false;
        }
        if is_first {
            self.start_grant_sequence(now, router, report);
        }
        let resumed = self.demand.suspend(router, false);
        self.changed_accounts.extend(resumed);
        for id in &report.ended {
            self.end_grant(router, id);
        }
        self.acknowledge_up_to(router, report.grants_received);
        for holding in &report.holdings {
            self.apply_holding(router, holding);
        }
        if report.full {
            self.end_unlisted(router, report);
        }
        for _ in served.len()..report.served.len() {
            self.reject_unknown_item(router, RejectionReason::UnknownAccount);
        }
        self.apply_served(router, served, is_first);
        for demand in &report.demand {
            self.apply_demand(router, demand);
        }
        if report.full {
            self.withdraw_unlisted(router, report);
        }
    }

    /// Starts the sequence of grants to a run above all sequences that this home may have used.
    ///
    /// When a run has left and rejoined, or the home has moved away and back, earlier grants may
    /// still be in transit. If their sequences were reused, one id would stand for two grants, and
    /// the end of one would free the slot of the other. `highest_sequence` covers a run that
    /// rejoins. It does not cover grants from before the home moved away; these came at less than
    /// one per microsecond, so the clock is ahead of their sequences.
    fn start_grant_sequence(&mut self, now: Duration, router: usize, report: &EntryReport) {
        let own = report
            .holdings
            .iter()
            .filter(|holding| holding.grant.home == self.member)
            .map(|holding| holding.grant.sequence);
        let received = own.fold(report.grants_received, u64::max);
        let clock_us = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let record = self.entries.record_mut(router);
        record.last_grant_sequence = received.max(clock_us).max(self.highest_sequence);
        record.grants_received = received;
    }

    fn acknowledge_up_to(&mut self, router: usize, grants_received: u64) {
        let record = self.entries.record_mut(router);
        if grants_received <= record.grants_received {
            return;
        }
        let from = record.grants_received + 1;
        record.grants_received = grants_received;
        let seen = record.own_grants.range(from..=grants_received);
        let sequences: Vec<u64> = seen.map(|(sequence, _)| *sequence).collect();
        for sequence in sequences {
            self.acknowledge_one(router, sequence);
        }
    }

    fn acknowledge_one(&mut self, router: usize, sequence: u64) {
        let Some(held) = self
            .entries
            .record_mut(router)
            .own_grants
            .get_mut(&sequence)
        else {
            return;
        };
        let stage = std::mem::replace(&mut held.stage, GrantStage::Acknowledged);
        let held = *held;
        match stage {
            GrantStage::Sent { .. } => self
                .demand
                .record_acknowledgement(key_of_grant(router, &held)),
            GrantStage::TimedOut => self.reoccupy_slot(&held),
            GrantStage::Acknowledged => {}
        }
        self.changed_accounts.push(held.account);
    }

    /// Counts a grant again that arrived after its slot was returned; another may hold that slot
    /// too.
    fn reoccupy_slot(&mut self, held: &GrantRecord) {
        self.counters.late_grants += 1;
        self.slots.occupy(held.endpoint);
        self.accounts.charge(held.account, held.estimate_tokens);
    }

    /// Takes back the slot of an unacknowledged grant; returns false if it was acknowledged or
    /// ended.
    pub(crate) fn time_out_grant(&mut self, at: Duration, router: usize, sequence: u64) -> bool {
        if !self.entries.is_live(router) {
            return false;
        }
        let record = self.entries.record_mut(router);
        if sequence <= record.grants_received {
            return false;
        }
        let Some(held) = record.own_grants.get_mut(&sequence) else {
            return false;
        };
        if held.stage != (GrantStage::Sent { expires_at: at }) {
            return false;
        }
        held.stage = GrantStage::TimedOut;
        let held = *held;
        self.release_grant(router, &held, GrantStage::Sent { expires_at: at });
        let suspended = self.demand.suspend(router, true);
        self.changed_accounts.extend(suspended);
        true
    }

    pub(crate) fn end_grant(&mut self, router: usize, id: &GrantId) {
        let record = self.entries.record_mut(router);
        if let Some(held) = record.remove(&self.member, id) {
            self.release_grant(router, &held, held.stage);
        }
    }

    /// Takes back the slot and the charge that a grant occupied in `stage`.
    fn release_grant(&mut self, router: usize, held: &GrantRecord, stage: GrantStage) {
        self.changed_accounts.push(held.account);
        if stage == GrantStage::TimedOut {
            return;
        }
        self.slots.release(held.endpoint);
        self.accounts.refund(held.account, held.estimate_tokens);
        if stage != GrantStage::Acknowledged {
            self.demand
                .record_acknowledgement(key_of_grant(router, held));
        }
    }

    fn apply_holding(&mut self, router: usize, holding: &Holding) {
        let estimate_tokens = holding.estimate_tokens.max(MIN_CHARGE_TOKENS);
        let record = self.entries.record_mut(router);
        if let Some(held) = record.grant_mut(&self.member, &holding.grant) {
            let old_estimate_tokens = std::mem::replace(&mut held.estimate_tokens, estimate_tokens);
            let account = held.account;
            self.accounts.refund(account, old_estimate_tokens);
            self.accounts.charge(account, estimate_tokens);
            self.changed_accounts.push(account);
            return;
        }
        self.adopt_grant(router, holding, estimate_tokens);
    }

    /// Adopts a grant of an earlier home: it occupies its slot here until it ends.
    fn adopt_grant(&mut self, router: usize, holding: &Holding, estimate_tokens: u64) {
        let Some(account) = self.accounts.find(&holding.account) else {
            return self.reject_unknown_item(router, RejectionReason::UnknownAccount);
        };
        let Some(endpoint) = self.slots.find(&holding.endpoint) else {
            return self.reject_unknown_item(router, RejectionReason::UnknownEndpoint);
        };
        let held = GrantRecord {
            account,
            class: RequestClass::default(),
            endpoint,
            estimate_tokens,
            stage: GrantStage::Acknowledged,
        };
        self.slots.occupy(endpoint);
        self.accounts.charge(account, estimate_tokens);
        self.changed_accounts.push(account);
        let record = self.entries.record_mut(router);
        record.insert(&self.member, &holding.grant, held);
    }

    /// Rejects one item. The rest of the report counts, and a full one is requested when the next
    /// configuration takes effect. During an import, routers learn of new accounts at different
    /// times; rejecting whole reports would stop all other work of a router meanwhile.
    fn reject_unknown_item(&mut self, router: usize, reason: RejectionReason) {
        self.counters.reject(reason);
        self.entries.record_mut(router).has_unknown_names = true;
    }

    fn end_unlisted(&mut self, router: usize, report: &EntryReport) {
        let record = self.entries.record(router);
        for id in record.grant_ids(&self.member) {
            let is_unseen = id.home == self.member && id.sequence > report.grants_received;
            let listed = report.holdings.iter().any(|holding| holding.grant == id);
            if !is_unseen && !listed {
                self.end_grant(router, &id);
            }
        }
    }

    fn apply_served(&mut self, router: usize, served: &[ResolvedServed], is_first: bool) {
        if is_first {
            let totals = served.iter().map(|s| (s.account, s.total_tokens));
            return self.accounts.admit_run(router, totals);
        }
        for &ResolvedServed {
            account,
            total_tokens,
        } in served
        {
            self.accounts.merge_served(router, account, total_tokens);
            self.changed_accounts.push(account);
        }
    }

    fn apply_demand(&mut self, router: usize, demand: &Demand) {
        let Some(account) = self.accounts.find_configured(&demand.account) else {
            return self.reject_unknown_item(router, RejectionReason::UnknownAccount);
        };
        let key = DemandKey {
            account,
            class: demand.class,
            router,
        };
        let report = DemandReport {
            waiting: demand.waiting,
            head_cost_tokens: demand.head_cost_tokens,
            head_prefix: demand.head_prefix,
        };
        self.demand.set_report(key, report);
        self.changed_accounts.push(account);
    }

    fn withdraw_unlisted(&mut self, router: usize, report: &EntryReport) {
        for key in self.demand.keys_of(router) {
            let account = self.accounts.id(key.account);
            let mut listed = report.demand.iter();
            if listed.any(|demand| demand.class == key.class && demand.account == *account) {
                continue;
            }
            self.demand.set_report(key, DemandReport::default());
            self.changed_accounts.push(key.account);
        }
    }

    /// Drops the demand of an account that is no longer configured. If it is configured again
    /// before its routers learn of either change, they have nothing new to report, so full reports
    /// are requested from them then.
    pub(crate) fn drop_demand_of(&mut self, account: usize) {
        for key in self.demand.keys_of_account(account) {
            self.demand.set_report(key, DemandReport::default());
            self.entries.record_mut(key.router).has_unknown_names = true;
        }
        self.changed_accounts.push(account);
    }
}

fn key_of_grant(router: usize, held: &GrantRecord) -> DemandKey {
    DemandKey {
        account: held.account,
        class: held.class,
        router,
    }
}
