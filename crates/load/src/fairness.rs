//! Computes the fairness gap between client accounts from the runs that endpoints recorded.
//!
//! Accounts are compared within one pool: a pool's capacity cannot serve another pool's work, so
//! only accounts that wait for the same pool are entitled to equal weighted service.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use crate::history::CallRecord;
use crate::history::History;
use crate::history::RunRecord;
use crate::history::Span;
use crate::plan::AccountPlan;
use crate::plan::LoadPlan;

/// Weighted service that one account received in one pool, as a function of time.
///
/// Input is charged when a run starts, output evenly over the run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceCurve {
    breakpoints: Vec<Breakpoint>,
}

/// A point where the curve jumps or changes its slope.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Breakpoint {
    at_us: u64,
    before: f64,
    after: f64,
    slope_after: f64,
}

/// Change of the curve at one instant.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Change {
    jump: f64,
    slope: f64,
}

impl ServiceCurve {
    /// Builds the curve of some runs, divided by the account's weight.
    pub fn new<'a>(
        runs: impl IntoIterator<Item = &'a RunRecord>,
        weight: u32,
        now_us: u64,
    ) -> Self {
        let weight = f64::from(weight.max(1));
        let mut changes: BTreeMap<u64, Change> = BTreeMap::new();
        for run in runs {
            let span = run.span(now_us);
            let output = run.output_charge_tokens as f64 / weight;
            let start = changes.entry(span.start_us).or_default();
            start.jump += run.input_charge_tokens as f64 / weight;
            if span.length_us() == 0 {
                start.jump += output;
                continue;
            }
            let slope = output / span.length_us() as f64;
            start.slope += slope;
            changes.entry(span.end_us).or_default().slope -= slope;
        }
        Self {
            breakpoints: breakpoints(&changes),
        }
    }

    /// Values just before and just after a possible jump at `at_us`.
    fn values_around(&self, at_us: u64) -> (f64, f64) {
        let next = self.breakpoints.partition_point(|c| c.at_us <= at_us);
        let Some(breakpoint) = next.checked_sub(1).map(|last| self.breakpoints[last]) else {
            return (0.0, 0.0);
        };
        if breakpoint.at_us == at_us {
            return (breakpoint.before, breakpoint.after);
        }
        let value = breakpoint.after + breakpoint.slope_after * (at_us - breakpoint.at_us) as f64;
        (value, value)
    }

    fn breakpoints_within(&self, span: Span) -> impl Iterator<Item = u64> {
        let first = self
            .breakpoints
            .partition_point(|c| c.at_us < span.start_us);
        let inside = self.breakpoints[first..].iter().map(|c| c.at_us);
        inside.take_while(move |at_us| *at_us <= span.end_us)
    }
}

fn breakpoints(changes: &BTreeMap<u64, Change>) -> Vec<Breakpoint> {
    let mut value = 0.0;
    let mut slope = 0.0;
    let mut last_us = 0;
    let mut breakpoints = Vec::with_capacity(changes.len());
    for (&at_us, change) in changes {
        value += slope * (at_us - last_us) as f64;
        let before = value;
        value += change.jump;
        slope += change.slope;
        last_us = at_us;
        breakpoints.push(Breakpoint {
            at_us,
            before,
            after: value,
            slope_after: slope,
        });
    }
    breakpoints
}

/// Largest change of the difference between two curves over any part of `span`.
pub fn curve_gap(one: &ServiceCurve, other: &ServiceCurve, span: Span) -> f64 {
    let ends = [span.start_us, span.end_us];
    let breakpoints = one
        .breakpoints_within(span)
        .chain(other.breakpoints_within(span));
    let mut low = f64::INFINITY;
    let mut high = f64::NEG_INFINITY;
    for at_us in breakpoints.chain(ends) {
        let (one_before, one_after) = one.values_around(at_us);
        let (other_before, other_after) = other.values_around(at_us);
        let mut seen = vec![one_after - other_after];
        if at_us > span.start_us {
            seen.push(one_before - other_before);
        }
        for difference in seen {
            low = low.min(difference);
            high = high.max(difference);
        }
    }
    high - low
}

/// Merges overlapping or adjacent spans.
///
/// ```
/// use sedgeridge_load::fairness::union;
/// use sedgeridge_load::history::Span;
/// let joined = union(vec![Span::new(5, 9), Span::new(0, 5), Span::new(20, 30)]);
/// assert_eq!(joined, [Span::new(0, 9), Span::new(20, 30)]);
/// ```
pub fn union(mut spans: Vec<Span>) -> Vec<Span> {
    spans.sort();
    let mut joined: Vec<Span> = Vec::new();
    for span in spans {
        match joined.last_mut() {
            Some(last) if span.start_us <= last.end_us => {
                last.end_us = last.end_us.max(span.end_us);
            }
            _ => joined.push(span),
        }
    }
    joined
}

fn intersect(one: &[Span], other: &[Span]) -> Vec<Span> {
    let pairs = one.iter().flat_map(|a| other.iter().map(move |b| (a, b)));
    pairs.filter_map(|(a, b)| a.intersect(*b)).collect()
}

/// Waiting time of each call: from its sending to the start of its first run, or to its end.
pub fn waiting_spans<'a>(history: &'a History) -> Vec<(&'a CallRecord, Span)> {
    let mut starts: HashMap<&str, u64> = HashMap::new();
    for run in &history.runs {
        let start = starts.entry(&run.request_id).or_insert(run.started_at_us);
        *start = run.started_at_us.min(*start);
    }
    let span = |call: &'a CallRecord| {
        let start_us = starts.get(call.request_id.as_str()).copied();
        let served_us = start_us.into_iter().chain(call.first_token_at_us).min();
        let end_us = served_us.unwrap_or(call.ended_at_us);
        (call, Span::new(call.sent_at_us, end_us))
    };
    let non_repeats = history.calls.iter().filter(|call| !call.repeat);
    non_repeats.map(span).collect()
}

/// One account's demand and service in one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolAccount {
    /// Name of the account.
    pub account: String,
    /// Name of the pool.
    pub pool: String,
    /// Spans in which some request of the account waited.
    pub backlogged: Vec<Span>,
    /// Service that it received, divided by its weight.
    pub served: ServiceCurve,
}

/// Collects demand and service of every account in every pool.
pub fn pool_accounts(plan: &LoadPlan, history: &History) -> Vec<PoolAccount> {
    let waiting = waiting_spans(history);
    let runs = runs_by_pool_account(plan, history);
    let mut pools: Vec<&str> = plan.services.iter().map(|s| s.pool.as_str()).collect();
    pools.sort_unstable();
    pools.dedup();
    let both = pools
        .iter()
        .flat_map(|pool| plan.accounts.iter().map(move |account| (*pool, account)));
    let collect = |(pool, account): (&str, &AccountPlan)| {
        let runs = runs.get(&(pool, account.name.as_str()));
        let runs = runs.into_iter().flatten().copied();
        PoolAccount {
            account: account.name.clone(),
            pool: pool.to_owned(),
            backlogged: backlogged(plan, &waiting, pool, &account.name),
            served: ServiceCurve::new(runs, account.weight, history.sending.end_us),
        }
    };
    both.map(collect).collect()
}

/// Groups runs by pool and account. A run belongs to the account whose caller sent the request,
/// whatever account the endpoint recorded.
fn runs_by_pool_account<'a>(
    plan: &'a LoadPlan,
    history: &'a History,
) -> HashMap<(&'a str, &'a str), Vec<&'a RunRecord>> {
    let calls = history.calls.iter();
    let callers: HashMap<&str, &str> = calls
        .map(|call| (call.request_id.as_str(), call.account.as_str()))
        .collect();
    let endpoints = plan.endpoints.iter();
    let pools: HashMap<&str, &str> = endpoints
        .map(|endpoint| (endpoint.name.as_str(), endpoint.pool.as_str()))
        .collect();
    let mut runs: HashMap<(&str, &str), Vec<&RunRecord>> = HashMap::new();
    for run in &history.runs {
        let Some(pool) = pools.get(run.endpoint.as_str()) else {
            continue;
        };
        let caller = callers.get(run.request_id.as_str());
        let account = caller.copied().unwrap_or(&run.account);
        runs.entry((*pool, account)).or_default().push(run);
    }
    runs
}

fn backlogged(
    plan: &LoadPlan,
    waiting: &[(&CallRecord, Span)],
    pool: &str,
    account: &str,
) -> Vec<Span> {
    let in_pool = |service: &str| plan.service(service).is_some_and(|s| s.pool == pool);
    let own = waiting
        .iter()
        .filter(|(call, _)| call.account == account && in_pool(&call.service));
    union(own.map(|(_, span)| *span).collect())
}

impl PoolAccount {
    /// Weighted service received within a span.
    pub fn served_within(&self, span: Span) -> f64 {
        self.served.values_around(span.end_us).0 - self.served.values_around(span.start_us).1
    }

    /// Share of a span in which some request of the account waited.
    pub fn backlogged_share(&self, span: Span) -> f64 {
        let waited = intersect(&self.backlogged, &[span]);
        let waited_us: u64 = waited.iter().map(|part| part.length_us()).sum();
        waited_us as f64 / span.length_us().max(1) as f64
    }
}

/// Largest gap between two accounts over any span in which both waited for the same pool.
pub fn fairness_gap_tokens(accounts: &[PoolAccount], window: Span) -> f64 {
    let gaps = worst_pairs(accounts, window).into_iter();
    gaps.map(|pair| pair.gap_tokens).fold(0.0, f64::max)
}

/// The two accounts of a pool with the largest gap.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct WorstPair {
    /// The pool.
    pub pool: String,
    /// Largest gap over any span in which both accounts waited.
    pub gap_tokens: f64,
    /// The accounts.
    pub accounts: [String; 2],
    /// Start of that span, from the start of the window.
    pub from_ms: u64,
    /// Length of that span.
    pub length_ms: u64,
}

/// Finds the largest gap of each pool in which two accounts waited together.
pub fn worst_pairs(accounts: &[PoolAccount], window: Span) -> Vec<WorstPair> {
    let mut worst: BTreeMap<&str, WorstPair> = BTreeMap::new();
    for (index, one) in accounts.iter().enumerate() {
        let others = accounts[index + 1..].iter();
        for other in others.filter(|other| other.pool == one.pool) {
            for span in common_backlog(one, other, window) {
                let gap_tokens = curve_gap(&one.served, &other.served, span);
                let known = worst.get(one.pool.as_str());
                if known.is_some_and(|known| known.gap_tokens >= gap_tokens) {
                    continue;
                }
                let pair = WorstPair {
                    pool: one.pool.clone(),
                    gap_tokens,
                    accounts: [one.account.clone(), other.account.clone()],
                    from_ms: (span.start_us - window.start_us) / 1_000,
                    length_ms: span.length_us() / 1_000,
                };
                worst.insert(&one.pool, pair);
            }
        }
    }
    worst.into_values().collect()
}

fn common_backlog(one: &PoolAccount, other: &PoolAccount, window: Span) -> Vec<Span> {
    let both = intersect(&one.backlogged, &other.backlogged);
    intersect(&both, &[window])
}

/// Largest deviation from equal weighted service, in percent, between two accounts that waited
/// together for at least half of the window.
pub fn weight_error_percent(accounts: &[PoolAccount], window: Span) -> Option<f64> {
    let mut worst: Option<f64> = None;
    for (index, one) in accounts.iter().enumerate() {
        let others = accounts[index + 1..].iter();
        for other in others.filter(|other| other.pool == one.pool) {
            let spans = common_backlog(one, other, window);
            let together_us: u64 = spans.iter().map(|s| s.length_us()).sum();
            if together_us * 2 < window.length_us() {
                continue;
            }
            let error = service_error_percent(one, other, &spans);
            worst = Some(worst.map_or(error, |known| known.max(error)));
        }
    }
    worst
}

fn service_error_percent(one: &PoolAccount, other: &PoolAccount, spans: &[Span]) -> f64 {
    let served =
        |account: &PoolAccount| -> f64 { spans.iter().map(|s| account.served_within(*s)).sum() };
    let (one, other) = (served(one), served(other));
    let mean = f64::midpoint(one, other);
    if mean == 0.0 {
        return 0.0;
    }
    (one - other).abs() / mean * 100.0
}
