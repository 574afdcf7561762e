//! What callers and operators are promised, checked on what a run brought to light.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sedgeridge_platform_standins::caller::is_not_run_status;
use sedgeridge_platform_standins::documents::RESEND_LIMITS;
use sedgeridge_platform_standins::documents::RouteKind;

use crate::records::Evidence;
use crate::records::Outcome;
use crate::records::PlannedStop;
use crate::records::Record;

/// Part of the requests in the quiet end that must be served. The rest is for requests that were on
/// their way when a connection of the noisy part was found dead.
const LEAST_SERVED: f64 = 0.98;
/// Longest time to stop: the routers' grace time.
pub const GRACE: Duration = Duration::from_secs(4);
/// Most memory of a router, from the bound on control a node.
const MOST_MEMORY_KB: u64 = 64 * 1024;
/// Window of the bound on resends.
const RESEND_WINDOW: Duration = Duration::from_secs(10);

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Checks all promises.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |promise, seen: String| violations.push(Violation { promise, seen });
    let runs = count_runs(&evidence.runs);
    for record in &evidence.records {
        check_answer(record, &mut report);
        check_runs(record, runs.get(record.id.as_str()).copied(), &mut report);
        check_end(record, evidence, &mut report);
    }
    check_keys(evidence, &mut report);
    check_calm(evidence, &mut report);
    check_resends(evidence, &mut report);
    check_processes(evidence, &mut report);
    violations
}

fn count_runs(runs: &[String]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for id in runs {
        *counts.entry(id.as_str()).or_default() += 1;
    }
    counts
}

fn check_answer(record: &Record, report: &mut impl FnMut(&'static str, String)) {
    let wrong = match &record.outcome {
        Outcome::Answered { wrong, .. } | Outcome::Failed { wrong, .. } => wrong.as_deref(),
        Outcome::Hung => None,
    };
    if let Some(wrong) = wrong {
        report("its own whole answer", format!("{}: {wrong}", record.id));
    }
    if let Outcome::Answered {
        status: 200,
        is_vouched: false,
        ..
    } = record.outcome
    {
        report(
            "its own whole answer",
            format!("{}: nobody vouches", record.id),
        );
    }
}

fn check_runs(record: &Record, runs: Option<usize>, report: &mut impl FnMut(&'static str, String)) {
    let runs = runs.unwrap_or(0);
    let status = record.status().and_then(|code| code.try_into().ok());
    if runs > 0 && status.is_some_and(is_not_run_status) {
        let status = record.status();
        report(
            "a true 'not run'",
            format!("{}: {status:?}, run {runs} times", record.id),
        );
    }
    if record.kind == RouteKind::AtMostOnce && runs > 1 {
        report(
            "at most one run",
            format!("{}: run {runs} times", record.id),
        );
    }
    if record.is_served() && runs == 0 {
        report(
            "its own whole answer",
            format!("{}: served and never run", record.id),
        );
    }
}

fn check_end(record: &Record, evidence: &Evidence, report: &mut impl FnMut(&'static str, String)) {
    let is_disturbed = || {
        evidence.disturbances.iter().any(|it| {
            it.router == record.router && it.from <= record.ended_at && it.to >= record.connected_at
        })
    };
    if record.outcome == Outcome::Hung && !is_disturbed() {
        report(
            "an end in time",
            format!("{} at router {}", record.id, record.router),
        );
    }
    let is_lost = |stop: &PlannedStop| {
        // What was sent at the moment of the signal may cross the close.
        let sent = record.sent_at + Duration::from_millis(20);
        stop.router == record.router && sent < stop.asked_at && record.ended_at >= stop.asked_at
    };
    let has_failed = matches!(record.outcome, Outcome::Failed { was_sent: true, .. });
    if has_failed && evidence.stops.iter().any(is_lost) {
        report(
            "nothing lost at a planned stop",
            format!("{} at {}", record.id, record.router),
        );
    }
}

/// A router that has refused a revoked key must not accept it again; in the quiet end all refuse it.
fn check_keys(evidence: &Evidence, report: &mut impl FnMut(&'static str, String)) {
    let mut by_time: Vec<_> = evidence.records.iter().collect();
    by_time.sort_by_key(|record| record.ended_at);
    let mut refused = HashMap::new();
    for record in by_time.into_iter().filter(|record| record.is_revoked) {
        let refused_at = refused.get(&(record.process, record.key)).copied();
        match record.status() {
            Some(401) => {
                refused.insert((record.process, record.key), record.ended_at);
            }
            Some(200) if refused_at.is_some_and(|at| at < record.sent_at) => {
                report("no way back to an old configuration", record.id.clone());
            }
            Some(200) if record.sent_at >= evidence.calm.0 => {
                report("a revoked key is refused", record.id.clone());
            }
            _ => {}
        }
    }
}

fn check_calm(evidence: &Evidence, report: &mut impl FnMut(&'static str, String)) {
    let (from, to) = evidence.calm;
    for kind in [
        RouteKind::Idempotent,
        RouteKind::AtMostOnce,
        RouteKind::Stream,
    ] {
        let calm = evidence.records.iter().filter(|record| {
            let is_calm = record.sent_at >= from && record.sent_at < to;
            is_calm && record.kind == kind && !record.is_revoked
        });
        let calm: Vec<_> = calm.collect();
        let served = calm.iter().filter(|record| record.is_served()).count();
        if (served as f64) < calm.len() as f64 * LEAST_SERVED || calm.is_empty() {
            let seen = format!("{kind:?}: {served} of {} served", calm.len());
            report("recovery after the last fault", seen);
        }
    }
}

fn check_resends(evidence: &Evidence, report: &mut impl FnMut(&'static str, String)) {
    let (ratio, extra) = RESEND_LIMITS;
    let first: HashSet<_> = evidence.runs.iter().collect();
    let resends = evidence.runs.len() - first.len();
    let windows = evidence.length.as_secs_f64() / RESEND_WINDOW.as_secs_f64() + 1.0;
    let most = first.len() as f64 * ratio + extra * windows;
    if resends as f64 > most {
        report("the bound on resends", format!("{resends} of {most:.0}"));
    }
}

fn check_processes(evidence: &Evidence, report: &mut impl FnMut(&'static str, String)) {
    for (router, seen) in &evidence.own_exits {
        report("no exit of its own", format!("router {router}: {seen}"));
    }
    for stop in &evidence.stops {
        let took = stop.ended_at.map(|at| at.saturating_sub(stop.asked_at));
        if !stop.is_clean || took.is_none_or(|took| took > GRACE) {
            let seen = format!("router {}: {took:?}, clean: {}", stop.router, stop.is_clean);
            report("a stop within the grace time", seen);
        }
    }
    if evidence.memory_kb > MOST_MEMORY_KB {
        report("bounded memory", format!("{} KB", evidence.memory_kb));
    }
}
