//! Computes and prints the figures of one run from the joined history.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::control_bytes::PeerRate;
use crate::fairness::PoolAccount;
use crate::fairness::WorstPair;
use crate::fairness::fairness_gap_tokens;
use crate::fairness::pool_accounts;
use crate::fairness::weight_error_percent;
use crate::fairness::worst_pairs;
use crate::fault_figures::FaultFigures;
use crate::history::CallRecord;
use crate::history::Ending;
use crate::history::History;
use crate::history::Span;
use crate::join::Counts;
use crate::join::count;
use crate::plan::LoadPlan;
use crate::plan::Pace;
use crate::utilisation::SlotTime;
use crate::utilisation::pool_slot_time;

/// Significant digits of recorded times in histograms.
const TIME_SIGNIFICANT_DIGITS: u8 = 3;
/// Key that is not in the table of figures but printed as a separate table.
const SHARES_KEY: &str = "shares";
/// Upper bound of recorded times; longer ones are recorded as this value.
const MAX_RECORDED_TIME_US: u64 = 600_000_000;

/// All figures of one run. A figure that was not measured is `null`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Time in which load was offered.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Faults that were injected.
    pub fault: Option<String>,
    /// Numbers of pieces of work by outcome, and of violations.
    #[serde(flatten)]
    pub counts: Counts,
    /// Figures of runs with faults.
    #[serde(flatten)]
    pub faults: FaultFigures,
    /// Largest fairness gap in the steady part.
    pub fairness_gap_tokens: f64,
    /// The same within the second quarter of the sending time.
    pub fairness_gap_q2_tokens: f64,
    /// The same within the last quarter of the sending time.
    pub fairness_gap_q4_tokens: f64,
    /// Pair of accounts with the largest gap of each pool, in the steady part.
    pub fairness_gap_by_pool: Vec<WorstPair>,
    /// Largest charge of a single run.
    pub largest_charge_tokens: u64,
    /// Largest deviation from equal weighted service between accounts that waited together, in
    /// percent.
    pub weight_error_percent: Option<f64>,
    /// Busy share of the slots of the overloaded pools in the steady part.
    pub utilisation: f64,
    /// Share of all slot-time that was free though a waiting request could have used it, in the
    /// steady part.
    pub idle_slot_share_while_waiting: f64,
    /// The same for each pool.
    pub idle_slot_share_by_pool: BTreeMap<String, f64>,
    /// Busy share of each pool.
    pub utilisation_by_pool: BTreeMap<String, f64>,
    /// Payload between routers, both directions, mean of the routers.
    pub control_bytes_per_node_s: Option<f64>,
    /// The same on the wire.
    pub control_wire_bytes_per_node_s: Option<f64>,
    /// Time to the first token of streamed answers, queueing included.
    pub ttft_p50_ms: Option<f64>,
    /// The same, 99th percentile.
    pub ttft_p99_ms: Option<f64>,
    /// Time to the first token for accounts that are never backlogged.
    pub ttft_light_p50_ms: Option<f64>,
    /// The same, 99th percentile.
    pub ttft_light_p99_ms: Option<f64>,
    /// Time that a router adds to a call; measured by a benchmark without overload, `null` here.
    pub router_added_p99_ms: Option<f64>,
    /// Refused calls by reason.
    pub refusals_by_reason: BTreeMap<String, u64>,
    /// Service that each account received in the steady part, by pool.
    pub shares: Vec<AccountShare>,
}

/// Service that one account received in one pool.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AccountShare {
    /// Name of the pool.
    pub pool: String,
    /// Name of the account.
    pub account: String,
    /// Service received, divided by the account's weight.
    pub served_per_weight_tokens: f64,
    /// Share of the time in which some request of the account waited.
    pub backlogged_share: f64,
}

/// Parameters and fault figures of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunInfo {
    /// Time in which load was offered.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Faults that were injected.
    pub fault: Option<String>,
    /// Figures of runs with faults.
    pub faults: FaultFigures,
}

impl Report {
    /// Computes all figures.
    pub fn new(plan: &LoadPlan, history: &History, info: RunInfo, peers: PeerRate) -> Self {
        let accounts = pool_accounts(plan, history);
        let gap = |window| fairness_gap_tokens(&accounts, window);
        let pools = slot_times(plan, history);
        let light = |call: &CallRecord| is_light(plan, &call.account);
        let ttft_all = first_token_times(history, |_| true);
        let ttft_light = first_token_times(history, light);
        let charges = history.runs.iter().map(|run| run.charge_tokens());
        Self {
            deployment: plan.deployment.clone(),
            seconds: info.seconds,
            seed: info.seed,
            fault: info.fault,
            counts: count(&history.calls, &history.runs),
            faults: info.faults,
            fairness_gap_tokens: round(gap(history.steady)),
            fairness_gap_q2_tokens: round(gap(quarter(history.sending, 1))),
            fairness_gap_q4_tokens: round(gap(quarter(history.sending, 3))),
            fairness_gap_by_pool: worst_pairs(&accounts, history.steady),
            largest_charge_tokens: charges.max().unwrap_or(0),
            weight_error_percent: weight_error_percent(&accounts, history.steady).map(round),
            utilisation: round(overloaded(plan, &pools).utilisation()),
            idle_slot_share_while_waiting: round(all(&pools).idle_share_while_waiting()),
            idle_slot_share_by_pool: by_pool(&pools, SlotTime::idle_share_while_waiting),
            utilisation_by_pool: by_pool(&pools, SlotTime::utilisation),
            control_bytes_per_node_s: peers.payload_per_node_s.map(round),
            control_wire_bytes_per_node_s: peers.wire_per_node_s.map(round),
            ttft_p50_ms: percentile_ms(&ttft_all, 0.50),
            ttft_p99_ms: percentile_ms(&ttft_all, 0.99),
            ttft_light_p50_ms: percentile_ms(&ttft_light, 0.50),
            ttft_light_p99_ms: percentile_ms(&ttft_light, 0.99),
            router_added_p99_ms: None,
            refusals_by_reason: refusals(&history.calls),
            shares: shares(&accounts, history.steady),
        }
    }

    /// Whether there was any violation.
    pub fn has_violations(&self) -> bool {
        self.counts.has_violations() || self.faults.has_violations()
    }
}

fn shares(accounts: &[PoolAccount], steady: Span) -> Vec<AccountShare> {
    let share = |account: &PoolAccount| AccountShare {
        pool: account.pool.clone(),
        account: account.account.clone(),
        served_per_weight_tokens: round(account.served_within(steady)),
        backlogged_share: round(account.backlogged_share(steady)),
    };
    let shares = accounts.iter().map(share);
    shares
        .filter(|share| share.served_per_weight_tokens > 0.0 || share.backlogged_share > 0.0)
        .collect()
}

fn slot_times(plan: &LoadPlan, history: &History) -> BTreeMap<String, SlotTime> {
    let pools = plan.services.iter().map(|s| s.pool.clone());
    let time = |pool: String| {
        let time = pool_slot_time(plan, history, &pool, history.steady);
        (pool, time)
    };
    pools.map(time).collect()
}

fn by_pool(
    pools: &BTreeMap<String, SlotTime>,
    figure: fn(&SlotTime) -> f64,
) -> BTreeMap<String, f64> {
    let figures = pools.iter();
    figures
        .map(|(pool, time)| (pool.clone(), round(figure(time))))
        .collect()
}

fn all(pools: &BTreeMap<String, SlotTime>) -> SlotTime {
    sum(pools.values())
}

/// Slot-time of the pools with a backlogged account; the others are not meant to be full.
fn overloaded(plan: &LoadPlan, pools: &BTreeMap<String, SlotTime>) -> SlotTime {
    let demands = plan.accounts.iter().flat_map(|a| &a.demands);
    let backlogged = demands.filter(|d| d.pace == Pace::Backlogged);
    let services = backlogged.filter_map(|d| plan.service(&d.service));
    let names: Vec<&str> = services.map(|s| s.pool.as_str()).collect();
    let chosen = pools.iter().filter(|(p, _)| names.contains(&p.as_str()));
    sum(chosen.map(|(_, time)| time))
}

fn sum<'a>(times: impl Iterator<Item = &'a SlotTime>) -> SlotTime {
    let mut total = SlotTime::default();
    for time in times {
        total.add(*time);
    }
    total
}

fn is_light(plan: &LoadPlan, account: &str) -> bool {
    let account = plan.accounts.iter().find(|a| a.name == account);
    account.is_some_and(|a| a.demands.iter().all(|d| d.pace != Pace::Backlogged))
}

/// Quarter `index` of a span, counted from 0.
fn quarter(span: Span, index: u64) -> Span {
    let length_us = span.length_us() / 4;
    let start_us = span.start_us + index * length_us;
    Span::new(start_us, start_us + length_us)
}

fn first_token_times(history: &History, chosen: impl Fn(&CallRecord) -> bool) -> Histogram<u64> {
    let times = Histogram::new_with_bounds(1, MAX_RECORDED_TIME_US, TIME_SIGNIFICANT_DIGITS);
    let mut times = times.expect("bounds and digits are in range");
    let calls = history.calls.iter().filter(|call| chosen(call));
    for call in calls.filter(|call| call.ending == Ending::Whole) {
        if let Some(first_us) = call.first_token_at_us {
            times.saturating_record(first_us.saturating_sub(call.sent_at_us));
        }
    }
    times
}

fn percentile_ms(times: &Histogram<u64>, quantile: f64) -> Option<f64> {
    let value_us = (!times.is_empty()).then(|| times.value_at_quantile(quantile))?;
    Some(round(value_us as f64 / 1000.0))
}

fn refusals(calls: &[CallRecord]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for call in calls.iter().filter(|c| c.ending == Ending::Refused) {
        let reason = call.reason.as_deref().unwrap_or("none");
        *counts.entry(reason.to_owned()).or_default() += 1;
    }
    counts
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

impl fmt::Display for Report {
    /// Prints one figure per line, then one account per line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        let figures = value.as_object().ok_or(fmt::Error)?;
        for (name, figure) in figures.iter().filter(|(name, _)| *name != SHARES_KEY) {
            writeln!(f, "{name:<32} {figure}")?;
        }
        writeln!(
            f,
            "\nserved per weight, share of the time with work waiting:"
        )?;
        for share in &self.shares {
            let AccountShare {
                pool,
                account,
                served_per_weight_tokens: served,
                backlogged_share: waited,
            } = share;
            writeln!(f, "{pool:<14} {account:<17} {served:>12.1} {waited:>7.3}")?;
        }
        Ok(())
    }
}
