//! Each check of the soak test must detect its violation in hand-made observations.

use std::time::Duration;

use sedgeridge_platform_standins::documents::RouteKind;
use sedgeridge_soak::promises::check;
use sedgeridge_soak::records::CrashCounts;
use sedgeridge_soak::records::Disturbance;
use sedgeridge_soak::records::Observations;
use sedgeridge_soak::records::Outcome;
use sedgeridge_soak::records::PlannedStop;
use sedgeridge_soak::records::RequestRecord;
use sedgeridge_soak::records::Resume;
use yare::parameterized;

const KINDS: [RouteKind; 3] = [
    RouteKind::Idempotent,
    RouteKind::AtMostOnce,
    RouteKind::Stream,
];

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn answered(status: u16) -> Outcome {
    Outcome::Answered {
        status,
        is_vouched: true,
        wrong: None,
    }
}

fn failed(wrong: Option<&str>) -> Outcome {
    Outcome::Failed {
        was_sent: true,
        wrong: wrong.map(str::to_owned),
    }
}

fn served(is_vouched: bool, wrong: Option<&str>) -> Outcome {
    Outcome::Answered {
        status: 200,
        is_vouched,
        wrong: wrong.map(str::to_owned),
    }
}

fn record(id: &str, kind: RouteKind, sent_ms: u64, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: id.to_owned(),
        kind,
        router: 0,
        process_id: 7,
        connected_at: at(0),
        sent_at: at(sent_ms),
        ended_at: at(sent_ms + 100),
        key_generation: 1,
        is_revoked: false,
        resume: None,
        outcome,
    }
}

/// Observations of a run without violations: requests of each kind in the quiet period from 10 to
/// 13 s.
fn valid_run() -> Observations {
    let records = KINDS.iter().enumerate().flat_map(|(index, kind)| {
        (0..50).map(move |n| {
            record(
                &format!("{index}-{n}"),
                *kind,
                10_000 + n * 20,
                answered(200),
            )
        })
    });
    let records: Vec<_> = records.collect();
    Observations {
        run_ids: records.iter().map(|record| record.id.clone()).collect(),
        records,
        quiet_period: (at(10_000), at(13_000)),
        duration: at(14_000),
        peak_memory_kb: 9_000,
        ..Observations::default()
    }
}

/// Adds a request sent before the quiet period that ran `runs` times.
fn valid_run_with(outcome: Outcome, kind: RouteKind, runs: usize) -> Observations {
    let mut observations = valid_run();
    observations.records.push(record("x", kind, 5_000, outcome));
    observations.run_ids.extend(vec!["x".to_owned(); runs]);
    observations
}

fn broken_promises(observations: &Observations) -> Vec<&'static str> {
    check(observations).iter().map(|it| it.promise).collect()
}

#[test]
fn a_good_run_breaks_nothing() {
    assert_eq!(check(&valid_run()), []);
}

#[parameterized(
    another_answer = { served(true, Some("x")), RouteKind::Stream, 1, "its own whole answer" },
    a_wrong_part = { failed(Some("x")), RouteKind::Stream, 1, "its own whole answer" },
    nobody_vouches = { served(false, None), RouteKind::Idempotent, 1, "its own whole answer" },
    never_run = { answered(200), RouteKind::Idempotent, 0, "its own whole answer" },
    refused_but_run = { answered(503), RouteKind::Idempotent, 1, "a true 'not run'" },
    misdirected_but_run = { answered(421), RouteKind::AtMostOnce, 1, "a true 'not run'" },
    run_twice = { answered(200), RouteKind::AtMostOnce, 2, "at most one run" },
    run_twice_and_failed = { failed(None), RouteKind::AtMostOnce, 2, "at most one run" },
    hung = { Outcome::Hung, RouteKind::Idempotent, 1, "an end in time" },
)]
fn a_request_that_ends_wrongly_is_found(
    outcome: Outcome,
    kind: RouteKind,
    runs: usize,
    promise: &'static str,
) {
    assert_eq!(
        broken_promises(&valid_run_with(outcome, kind, runs)),
        [promise]
    );
}

#[parameterized(
    refused = { answered(503), RouteKind::AtMostOnce, 0 },
    failed_after_a_run = { failed(None), RouteKind::AtMostOnce, 1 },
    run_again = { answered(200), RouteKind::Idempotent, 2 },
)]
fn what_is_allowed_is_not_reported(outcome: Outcome, kind: RouteKind, runs: usize) {
    assert_eq!(check(&valid_run_with(outcome, kind, runs)), []);
}

#[test]
fn a_hanging_request_proves_nothing_while_its_router_is_disturbed() {
    let mut observations = valid_run_with(Outcome::Hung, RouteKind::Idempotent, 1);
    observations.disturbances.push(Disturbance {
        router: 0,
        from: at(5_050),
        to: at(5_080),
    });
    assert_eq!(check(&observations), []);
}

fn stop(router: usize, ended_ms: Option<u64>, is_clean: bool) -> PlannedStop {
    PlannedStop {
        router,
        requested_at: at(5_050),
        ended_at: ended_ms.map(at),
        is_clean,
    }
}

#[test]
fn a_request_lost_at_a_planned_stop_is_found() {
    let mut observations = valid_run_with(failed(None), RouteKind::Stream, 1);
    observations.stops.push(stop(0, Some(6_000), true));
    assert_eq!(
        broken_promises(&observations),
        ["nothing lost at a planned stop"]
    );
}

#[parameterized(
    too_long = { Some(9_200), true },
    never = { None, false },
    unclean = { Some(6_000), false },
)]
fn a_bad_stop_is_found(ended_ms: Option<u64>, is_clean: bool) {
    let mut observations = valid_run();
    observations.stops.push(stop(1, ended_ms, is_clean));
    assert_eq!(
        broken_promises(&observations),
        ["a stop within the grace time"]
    );
}

#[test]
fn a_way_back_to_an_old_key_is_found() {
    let mut observations = valid_run();
    for (sent_ms, status) in [(5_000, 401), (6_000, 200)] {
        let id = format!("k{status}");
        let mut probe = record(&id, RouteKind::Idempotent, sent_ms, answered(status));
        probe.is_revoked = true;
        observations.records.push(probe);
    }
    observations.run_ids.push("k200".to_owned());
    assert_eq!(
        broken_promises(&observations),
        ["no way back to an old configuration"]
    );
}

#[test]
fn a_revoked_key_that_still_works_in_the_quiet_end_is_found() {
    let mut observations = valid_run();
    let mut probe = record("k", RouteKind::Idempotent, 11_000, answered(200));
    probe.is_revoked = true;
    observations.records.push(probe);
    observations.run_ids.push("k".to_owned());
    assert_eq!(broken_promises(&observations), ["a revoked key is refused"]);
}

#[test]
fn requests_refused_in_the_quiet_end_are_found() {
    let mut observations = valid_run();
    for n in 0..3 {
        let refused = record(&format!("r{n}"), RouteKind::Stream, 11_000, answered(503));
        observations.records.push(refused);
    }
    assert_eq!(
        broken_promises(&observations),
        ["recovery after the last fault"]
    );
}

#[test]
fn too_many_resends_are_found() {
    let mut observations = valid_run();
    let again: Vec<_> = observations
        .run_ids
        .iter()
        .cycle()
        .take(250)
        .cloned()
        .collect();
    observations.run_ids.extend(again);
    assert!(broken_promises(&observations).contains(&"the bound on resends"));
}

#[test]
fn an_exit_of_its_own_and_too_much_memory_are_found() {
    let mut observations = valid_run();
    observations
        .unexpected_exits
        .push((2, "signal: 6".to_owned()));
    observations.peak_memory_kb = 70_000;
    assert_eq!(
        broken_promises(&observations),
        ["no exit of its own", "bounded memory"]
    );
}

/// Adds new streams, sent at the time of the resumes.
fn add_new_streams(observations: &mut Observations, begun: usize) {
    for number in 0..12 {
        let id = format!("n{number}");
        let status = if number < begun { 200 } else { 503 };
        let stream = record(&id, RouteKind::Stream, 5_000, answered(status));
        observations.records.push(stream);
        if number < begun {
            observations.run_ids.push(id);
        }
    }
}

/// Guards against routers that keep streams apart by refusing to resume any.
#[parameterized(
    all_refused = { 0, 2, false, 12, &["a resume at its own version"] },
    a_third_goes_on = { 4, 2, false, 12, &["a resume at its own version"] },
    all_refused_and_half_of_the_new_ones = { 0, 2, false, 6, &["a resume at its own version"] },
    most_go_on = { 9, 2, false, 12, &[] },
    their_version_is_gone = { 0, 1, false, 12, &[] },
    their_origin_is_lost = { 0, 2, true, 12, &[] },
    no_stream_begins = { 0, 2, false, 0, &[] },
)]
fn resumes_that_are_refused_are_found(
    served: usize,
    endpoints: usize,
    is_origin_lost: bool,
    begun: usize,
    promises: &[&str],
) {
    let mut observations = valid_run();
    add_new_streams(&mut observations, begun);
    for number in 0..12 {
        let id = format!("r{number}");
        let status = if number < served { 200 } else { 503 };
        let mut resume = record(&id, RouteKind::Stream, 5_000, answered(status));
        resume.resume = Some(Resume {
            first_request: id.clone(),
            endpoints,
            is_origin_lost,
        });
        observations.records.push(resume);
        if number < served {
            observations.run_ids.push(id);
        }
    }
    assert_eq!(broken_promises(&observations), promises);
}

/// Guards against a stream that counts as often as its caller tries to resume it.
#[test]
fn a_stream_that_goes_on_at_a_later_try_counts_once() {
    let mut observations = valid_run();
    add_new_streams(&mut observations, 12);
    for number in 0..12 {
        for (attempt, status) in [(1, 503), (2, 503), (3, 200)] {
            let id = format!("r{number}-{attempt}");
            let mut resume = record(&id, RouteKind::Stream, 5_000, answered(status));
            resume.resume = Some(Resume {
                first_request: format!("r{number}"),
                endpoints: 2,
                is_origin_lost: false,
            });
            observations.records.push(resume);
        }
        observations.run_ids.push(format!("r{number}-3"));
    }
    assert_eq!(check(&observations), []);
}

/// Guards against a check that misses requests with a crashing part, or takes the first few for too many.
#[parameterized(
    too_many = { 5, 4, true },
    allowed = { 5, 3, false },
    not_known_yet = { 4, 4, false },
)]
fn requests_with_a_crashing_part_are_found(crashes: usize, late_requests: usize, is_broken: bool) {
    let observations = Observations {
        part_crashes: CrashCounts {
            crashes,
            late_requests,
        },
        ..valid_run()
    };
    let broken = broken_promises(&observations);
    let expected = match is_broken {
        true => vec!["a part that crashes endpoints is refused"],
        false => Vec::new(),
    };
    assert_eq!(broken, expected);
}

#[parameterized(
    too_many = { 3, 4, true },
    allowed = { 3, 3, false },
    not_known_yet = { 2, 4, false },
)]
fn requests_that_come_again_are_found(crashes: usize, late_requests: usize, is_broken: bool) {
    let observations = Observations {
        request_crashes: CrashCounts {
            crashes,
            late_requests,
        },
        ..valid_run()
    };
    let broken = broken_promises(&observations);
    let expected = match is_broken {
        true => vec!["a request that crashes endpoints is refused"],
        false => Vec::new(),
    };
    assert_eq!(broken, expected);
}
