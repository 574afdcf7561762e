//! Checks the guarantees for callers and operators against the observations of a run.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sedgeridge_platform_standins::caller::is_not_run_status;
use sedgeridge_platform_standins::documents::RESEND_LIMITS;
use sedgeridge_platform_standins::documents::RouteKind;

use crate::records::Observations;
use crate::records::Outcome;
use crate::records::PlannedStop;
use crate::records::RequestRecord;

/// Minimum share of requests in the quiet period that must be served. The rest allows for requests
/// in flight when a connection that a fault broke is detected as dead.
const MIN_SERVED_SHARE: f64 = 0.98;
/// Maximum time to stop: the grace time in the settings of the routers.
pub const GRACE: Duration = Duration::from_secs(4);
/// Maximum memory of a router, from the bound on the control memory of a node.
const MAX_MEMORY_KB: u64 = 64 * 1024;
/// Number of resumes from which their share is judged.
const MIN_RESUMES: usize = 12;
/// Lowest share of resumes that go on, as a fraction of the share of new streams that begin.
const MIN_RESUMED_SHARE: f64 = 0.5;
/// Crashes under one part of prompts after which requests with it are refused.
const MAX_CRASHES: usize = 5;
/// Requests with the part that may reach endpoints later all the same.
const MAX_LATE_CRASHING_REQUESTS: usize = 3;
/// Time window of the resend limit.
const RESEND_WINDOW: Duration = Duration::from_secs(10);

/// A broken guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee.
    pub promise: &'static str,
    /// The observation that shows it.
    pub observed: String,
}

/// Checks all guarantees.
pub fn check(observations: &Observations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |promise, observed: String| violations.push(Violation { promise, observed });
    let runs = count_runs(&observations.run_ids);
    for record in &observations.records {
        check_answer(record, &mut report);
        check_runs(record, runs.get(record.id.as_str()).copied(), &mut report);
        check_request_end(record, observations, &mut report);
    }
    check_keys(observations, &mut report);
    check_recovery(observations, &mut report);
    check_resumes(observations, &mut report);
    check_resends(observations, &mut report);
    check_crashing_part(observations, &mut report);
    check_processes(observations, &mut report);
    violations
}

fn count_runs(runs: &[String]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for id in runs {
        *counts.entry(id.as_str()).or_default() += 1;
    }
    counts
}

fn check_answer(record: &RequestRecord, report: &mut impl FnMut(&'static str, String)) {
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
            format!("{}: no endpoint stamp", record.id),
        );
    }
}

fn check_runs(
    record: &RequestRecord,
    runs: Option<usize>,
    report: &mut impl FnMut(&'static str, String),
) {
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

fn check_request_end(
    record: &RequestRecord,
    observations: &Observations,
    report: &mut impl FnMut(&'static str, String),
) {
    let is_disturbed = || {
        observations.disturbances.iter().any(|it| {
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
        // A request sent at the moment of the signal may arrive after the router closes.
        let sent = record.sent_at + Duration::from_millis(20);
        stop.router == record.router
            && sent < stop.requested_at
            && record.ended_at >= stop.requested_at
    };
    let has_failed = matches!(record.outcome, Outcome::Failed { was_sent: true, .. });
    if has_failed && observations.stops.iter().any(is_lost) {
        report(
            "nothing lost at a planned stop",
            format!("{} at {}", record.id, record.router),
        );
    }
}

/// Checks that a router that has refused a revoked key does not accept it again, and that all
/// routers refuse it in the quiet period.
fn check_keys(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let mut by_time: Vec<_> = observations.records.iter().collect();
    by_time.sort_by_key(|record| record.ended_at);
    let mut refused = HashMap::new();
    for record in by_time.into_iter().filter(|record| record.is_revoked) {
        let refused_at = refused
            .get(&(record.process_id, record.key_generation))
            .copied();
        match record.status() {
            Some(401) => {
                refused.insert((record.process_id, record.key_generation), record.ended_at);
            }
            Some(200) if refused_at.is_some_and(|at| at < record.sent_at) => {
                report("no way back to an old configuration", record.id.clone());
            }
            Some(200) if record.sent_at >= observations.quiet_period.0 => {
                report("a revoked key is refused", record.id.clone());
            }
            _ => {}
        }
    }
}

fn check_recovery(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let (from, to) = observations.quiet_period;
    for kind in [
        RouteKind::Idempotent,
        RouteKind::AtMostOnce,
        RouteKind::Stream,
    ] {
        let in_period = observations.records.iter().filter(|record| {
            let is_in_period = record.sent_at >= from && record.sent_at < to;
            is_in_period && record.kind == kind && !record.is_revoked
        });
        let in_period: Vec<_> = in_period.collect();
        let served = in_period.iter().filter(|record| record.is_served()).count();
        if (served as f64) < in_period.len() as f64 * MIN_SERVED_SHARE || in_period.is_empty() {
            let observed = format!("{kind:?}: {served} of {} served", in_period.len());
            report("recovery after the last fault", observed);
        }
    }
}

/// Returns the streams that callers resumed while two endpoints of their software version served, and whether they went on.
pub fn resumed_streams(records: &[RequestRecord]) -> HashMap<&str, bool> {
    let mut streams = HashMap::new();
    for record in records.iter().filter(|record| record.status().is_some()) {
        if let Some(resume) = record.resume.as_ref().filter(|it| it.endpoints >= 2) {
            *streams.entry(resume.first_request.as_str()).or_default() |= record.is_served();
        }
    }
    streams
}

/// Checks that resumed streams go on at least half as often as new streams begin.
fn check_resumes(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let new = observations.records.iter().filter(|record| {
        let is_new = record.status().is_some() && record.resume.is_none();
        is_new && record.kind == RouteKind::Stream && !record.is_revoked
    });
    let (begun, new) = new.fold((0, 0), |(begun, new), record| {
        (begun + usize::from(record.is_served()), new + 1)
    });
    let resumed = resumed_streams(&observations.records);
    let went_on = resumed.values().filter(|went_on| **went_on).count();
    let begun_share = begun as f64 / new as f64;
    let resumed_share = went_on as f64 / resumed.len() as f64;
    if resumed.len() >= MIN_RESUMES && resumed_share < begun_share * MIN_RESUMED_SHARE {
        let observed = format!(
            "{went_on} of {} resumed streams, {begun} of {new} new ones",
            resumed.len()
        );
        report("a resume at its own version", observed);
    }
}

fn check_resends(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let (ratio, extra) = RESEND_LIMITS;
    let distinct: HashSet<_> = observations.run_ids.iter().collect();
    let resends = observations.run_ids.len() - distinct.len();
    let windows = observations.duration.as_secs_f64() / RESEND_WINDOW.as_secs_f64() + 1.0;
    let max_resends = distinct.len() as f64 * ratio + extra * windows;
    if resends as f64 > max_resends {
        report(
            "the bound on resends",
            format!("{resends} of {max_resends:.0}"),
        );
    }
}

/// Checks that requests with a part that has crashed several endpoints no longer reach any.
fn check_crashing_part(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let Observations {
        crashes,
        late_crashing_requests,
        ..
    } = *observations;
    if crashes >= MAX_CRASHES && late_crashing_requests > MAX_LATE_CRASHING_REQUESTS {
        let observed = format!("{late_crashing_requests} requests after {crashes} crashes");
        report("a part that crashes endpoints is refused", observed);
    }
}

fn check_processes(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    for (router, observed) in &observations.unexpected_exits {
        report("no exit of its own", format!("router {router}: {observed}"));
    }
    for stop in &observations.stops {
        let stop_time = stop.ended_at.map(|at| at.saturating_sub(stop.requested_at));
        if !stop.is_clean || stop_time.is_none_or(|stop_time| stop_time > GRACE) {
            let observed = format!(
                "router {}: {stop_time:?}, clean: {}",
                stop.router, stop.is_clean
            );
            report("a stop within the grace time", observed);
        }
    }
    if observations.peak_memory_kb > MAX_MEMORY_KB {
        report(
            "bounded memory",
            format!("{} KB", observations.peak_memory_kb),
        );
    }
}
