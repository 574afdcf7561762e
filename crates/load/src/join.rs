//! Joins callers' and endpoints' records, and counts outcomes and violations.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use serde::Serialize;

use crate::history::CallRecord;
use crate::history::Ending;
use crate::history::Outcome;
use crate::history::RunRecord;

/// Numbers of pieces of work by outcome for the caller, and of violations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Pieces of work that callers requested.
    pub requests: u64,
    /// The caller received the expected answer.
    pub answered: u64,
    /// The last reported outcome is that the request did not run.
    pub refused_not_run: u64,
    /// The last reported outcome is that it is unknown whether the request ran.
    pub unknown: u64,
    /// The answer ended with an explicit mark that it is partial.
    pub partial: u64,
    /// The request ran, and the endpoint answered with an error.
    pub failed: u64,
    /// The caller never received a final outcome.
    pub lost: u64,
    /// Work with more than one run that must not be repeated, that is work with an idempotency key.
    pub doubled: u64,
    /// Calls that received text that is not a prefix of their expected answer.
    pub crossed: u64,
    /// Calls that received an incomplete answer that was not marked as partial.
    pub truncated: u64,
    /// Calls with the outcome `not-run` that have a run.
    pub not_run_but_ran: u64,
    /// Runs of a request that no caller sent.
    pub unmatched_runs: u64,
}

impl Counts {
    /// Whether any count that must be 0 is greater.
    pub fn has_violations(&self) -> bool {
        let must_be_zero = [
            self.lost,
            self.doubled,
            self.crossed,
            self.truncated,
            self.not_run_but_ran,
        ];
        must_be_zero.iter().any(|count| *count > 0)
    }
}

/// Counts outcomes and violations of a whole run.
pub fn count(calls: &[CallRecord], runs: &[RunRecord]) -> Counts {
    let mut counts = Counts::default();
    for calls in by_work(calls).values() {
        counts.add_work(calls);
    }
    let ran: HashSet<&str> = runs.iter().map(|r| r.request_id.as_str()).collect();
    for call in calls {
        counts.add_call(call, &ran);
    }
    counts.add_runs(calls, runs);
    counts
}

fn by_work(calls: &[CallRecord]) -> BTreeMap<u64, Vec<&CallRecord>> {
    let mut work: BTreeMap<u64, Vec<&CallRecord>> = BTreeMap::new();
    for call in calls {
        work.entry(call.work).or_default().push(call);
    }
    work
}

impl Counts {
    /// Counts one piece of work as answered if any call got the expected answer, otherwise under
    /// the outcome of the last call that was not a deliberate repeat.
    fn add_work(&mut self, calls: &[&CallRecord]) {
        self.requests += 1;
        if calls.iter().any(|call| call.ending == Ending::Whole) {
            self.answered += 1;
            return;
        }
        let non_repeats = calls.iter().filter(|call| !call.repeat);
        let last = non_repeats.max_by_key(|call| call.ended_at_us);
        *self.outcome_counter(last.copied()) += 1;
    }

    fn outcome_counter(&mut self, last: Option<&CallRecord>) -> &mut u64 {
        let Some(last) = last else {
            return &mut self.lost;
        };
        match (last.ending, last.outcome) {
            (Ending::Broken, _) | (_, None) => &mut self.lost,
            (_, Some(Outcome::NotRun)) => &mut self.refused_not_run,
            (_, Some(Outcome::Unknown)) => &mut self.unknown,
            (Ending::Refused, Some(Outcome::Ran)) => &mut self.failed,
            (_, Some(Outcome::Ran)) => &mut self.partial,
        }
    }

    fn add_call(&mut self, call: &CallRecord, ran: &HashSet<&str>) {
        match call.ending {
            Ending::Foreign => self.crossed += 1,
            Ending::Short => self.truncated += 1,
            Ending::Whole | Ending::Partial | Ending::Refused | Ending::Broken => {}
        }
        let reported_not_run = call.outcome == Some(Outcome::NotRun);
        if reported_not_run && ran.contains(call.request_id.as_str()) {
            self.not_run_but_ran += 1;
        }
    }

    /// Counts runs by account and key, since a repeated call has the key of the first one.
    fn add_runs(&mut self, calls: &[CallRecord], runs: &[RunRecord]) {
        let sent: HashMap<&str, &CallRecord> =
            calls.iter().map(|c| (c.request_id.as_str(), c)).collect();
        let mut runs_by_key: HashMap<(&str, &str), u64> = HashMap::new();
        for run in runs {
            let call = sent.get(run.request_id.as_str());
            self.unmatched_runs += u64::from(call.is_none());
            let key_sent = call.and_then(|call| call.idempotency_key.as_deref());
            if let Some(key) = key_sent.or(run.idempotency_key.as_deref()) {
                let account = call.map_or(run.account.as_str(), |call| &call.account);
                *runs_by_key.entry((account, key)).or_default() += 1;
            }
        }
        let doubled = runs_by_key.values().filter(|runs| **runs > 1).count();
        self.doubled = doubled as u64;
    }
}
