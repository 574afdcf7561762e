//! Checks the guarantees for callers and operators against the observations of a run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use sedgeridge_platform_standins::caller::is_not_run_status;
use sedgeridge_platform_standins::documents::RESEND_LIMITS;
use sedgeridge_platform_standins::documents::RouteKind;

use crate::records::CrashCounts;
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
/// Expected number of streams that go on from which their number is judged.
const MIN_EXPECTED_RESUMES: f64 = 6.0;
/// Lowest number of streams that go on, as a part of the expected number.
const MIN_RESUMED_SHARE: f64 = 0.5;
/// Time before and after the tries to resume a stream in which new streams are compared with it.
const RESUME_MARGIN: Duration = Duration::from_millis(100);
/// Crashes under one part of prompts after which requests with it are refused.
const MAX_PART_CRASHES: usize = 5;
/// Crashes under one request after which it is refused.
const MAX_REQUEST_CRASHES: usize = 3;
/// Requests that crash endpoints and may reach some later all the same.
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
    check_crashes(observations, &mut report);
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

/// Streams that callers resumed while two endpoints of their software version served and a router knew their origins.
#[derive(Debug, Default)]
pub struct ResumedStreams {
    /// Number of the streams.
    pub count: usize,
    /// Number of those that went on.
    pub went_on: usize,
    /// Number that would have gone on if resumes were served as often as new streams at the same time.
    pub expected: f64,
}

impl ResumedStreams {
    /// Counts the streams in the requests of a run.
    pub fn of(records: &[RequestRecord]) -> Self {
        let mut tries: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
        for record in records.iter().filter(|record| record.status().is_some()) {
            if let Some(resume) = record.resume.as_ref().filter(|it| it.may_go_on()) {
                let tries = tries.entry(resume.first_request.as_str()).or_default();
                tries.push(record);
            }
        }
        let went_on = |tries: &&Vec<&RequestRecord>| tries.iter().any(|it| it.is_served());
        Self {
            count: tries.len(),
            went_on: tries.values().filter(went_on).count(),
            expected: tries
                .values()
                .fold(0.0, |sum, tries| sum + begun_share(records, tries)),
        }
    }

    /// Adds the streams of another run.
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.went_on += other.went_on;
        self.expected += other.expected;
    }

    /// Returns whether too few streams went on. A few streams show nothing.
    pub fn are_too_few(&self) -> bool {
        let min_went_on = self.expected * MIN_RESUMED_SHARE;
        self.expected >= MIN_EXPECTED_RESUMES && (self.went_on as f64) < min_went_on
    }
}

impl fmt::Display for ResumedStreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            went_on,
            expected,
        } = self;
        write!(
            f,
            "{went_on} of {count} streams resumed, {expected:.1} expected"
        )
    }
}

/// Returns the share of the new streams sent at about the time of some tries that began.
fn begun_share(records: &[RequestRecord], tries: &[&RequestRecord]) -> f64 {
    let from = tries.iter().map(|it| it.sent_at).min().unwrap_or_default();
    let to = tries.iter().map(|it| it.ended_at).max().unwrap_or_default();
    let period = from.saturating_sub(RESUME_MARGIN)..=to + RESUME_MARGIN;
    let new = records.iter().filter(|it| {
        let is_new = it.kind == RouteKind::Stream && it.resume.is_none() && !it.is_revoked;
        is_new && it.status().is_some() && period.contains(&it.sent_at)
    });
    let (begun, new) = new.fold((0, 0), |(begun, new), it| {
        (begun + usize::from(it.is_served()), new + 1)
    });
    begun as f64 / new.max(1) as f64
}

/// Checks that resumed streams go on at least half as often as new streams begin at the same time.
fn check_resumes(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let resumed = ResumedStreams::of(&observations.records);
    if resumed.are_too_few() {
        report("a resume at its own version", resumed.to_string());
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

/// Checks that requests under which several endpoints have crashed no longer reach any.
fn check_crashes(observations: &Observations, report: &mut impl FnMut(&'static str, String)) {
    let causes = [
        (
            "a part that crashes endpoints is refused",
            observations.part_crashes,
            MAX_PART_CRASHES,
        ),
        (
            "a request that crashes endpoints is refused",
            observations.request_crashes,
            MAX_REQUEST_CRASHES,
        ),
    ];
    for (promise, counts, max_crashes) in causes {
        let CrashCounts {
            crashes,
            late_requests,
        } = counts;
        if crashes >= max_crashes && late_requests > MAX_LATE_CRASHING_REQUESTS {
            report(
                promise,
                format!("{late_requests} requests after {crashes} crashes"),
            );
        }
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
