//! Each check of the soak finds the fault that it is for, in evidence made by hand.

use std::time::Duration;

use sedgeridge_platform_standins::documents::RouteKind;
use sedgeridge_soak::promises::check;
use sedgeridge_soak::records::Disturbance;
use sedgeridge_soak::records::Evidence;
use sedgeridge_soak::records::Outcome;
use sedgeridge_soak::records::PlannedStop;
use sedgeridge_soak::records::Record;
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

fn record(id: &str, kind: RouteKind, sent_ms: u64, outcome: Outcome) -> Record {
    Record {
        id: id.to_owned(),
        kind,
        router: 0,
        process: 7,
        connected_at: at(0),
        sent_at: at(sent_ms),
        ended_at: at(sent_ms + 100),
        key: 1,
        is_revoked: false,
        outcome,
    }
}

/// A run in which all went well: some requests of each kind in the quiet end from 10 to 13 s.
fn good() -> Evidence {
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
    Evidence {
        runs: records.iter().map(|record| record.id.clone()).collect(),
        records,
        calm: (at(10_000), at(13_000)),
        length: at(14_000),
        memory_kb: 9_000,
        ..Evidence::default()
    }
}

/// Adds a request from the noisy part, with as many runs.
fn with(outcome: Outcome, kind: RouteKind, runs: usize) -> Evidence {
    let mut evidence = good();
    evidence.records.push(record("x", kind, 5_000, outcome));
    evidence.runs.extend(vec!["x".to_owned(); runs]);
    evidence
}

fn broken(evidence: &Evidence) -> Vec<&'static str> {
    check(evidence).iter().map(|it| it.promise).collect()
}

#[test]
fn a_good_run_breaks_nothing() {
    assert_eq!(check(&good()), []);
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
    assert_eq!(broken(&with(outcome, kind, runs)), [promise]);
}

#[parameterized(
    refused = { answered(503), RouteKind::AtMostOnce, 0 },
    failed_after_a_run = { failed(None), RouteKind::AtMostOnce, 1 },
    run_again = { answered(200), RouteKind::Idempotent, 2 },
)]
fn what_is_allowed_is_not_reported(outcome: Outcome, kind: RouteKind, runs: usize) {
    assert_eq!(check(&with(outcome, kind, runs)), []);
}

#[test]
fn a_hanging_request_proves_nothing_while_its_router_is_disturbed() {
    let mut evidence = with(Outcome::Hung, RouteKind::Idempotent, 1);
    evidence.disturbances.push(Disturbance {
        router: 0,
        from: at(5_050),
        to: at(5_080),
    });
    assert_eq!(check(&evidence), []);
}

fn stop(router: usize, ended_ms: Option<u64>, is_clean: bool) -> PlannedStop {
    PlannedStop {
        router,
        asked_at: at(5_050),
        ended_at: ended_ms.map(at),
        is_clean,
    }
}

#[test]
fn a_request_lost_at_a_planned_stop_is_found() {
    let mut evidence = with(failed(None), RouteKind::Stream, 1);
    evidence.stops.push(stop(0, Some(6_000), true));
    assert_eq!(broken(&evidence), ["nothing lost at a planned stop"]);
}

#[parameterized(
    too_long = { Some(9_200), true },
    never = { None, false },
    unclean = { Some(6_000), false },
)]
fn a_bad_stop_is_found(ended_ms: Option<u64>, is_clean: bool) {
    let mut evidence = good();
    evidence.stops.push(stop(1, ended_ms, is_clean));
    assert_eq!(broken(&evidence), ["a stop within the grace time"]);
}

#[test]
fn a_way_back_to_an_old_key_is_found() {
    let mut evidence = good();
    for (sent_ms, status) in [(5_000, 401), (6_000, 200)] {
        let id = format!("k{status}");
        let mut probe = record(&id, RouteKind::Idempotent, sent_ms, answered(status));
        probe.is_revoked = true;
        evidence.records.push(probe);
    }
    evidence.runs.push("k200".to_owned());
    assert_eq!(broken(&evidence), ["no way back to an old configuration"]);
}

#[test]
fn a_revoked_key_that_still_works_in_the_quiet_end_is_found() {
    let mut evidence = good();
    let mut probe = record("k", RouteKind::Idempotent, 11_000, answered(200));
    probe.is_revoked = true;
    evidence.records.push(probe);
    evidence.runs.push("k".to_owned());
    assert_eq!(broken(&evidence), ["a revoked key is refused"]);
}

#[test]
fn requests_refused_in_the_quiet_end_are_found() {
    let mut evidence = good();
    for n in 0..3 {
        let refused = record(&format!("r{n}"), RouteKind::Stream, 11_000, answered(503));
        evidence.records.push(refused);
    }
    assert_eq!(broken(&evidence), ["recovery after the last fault"]);
}

#[test]
fn too_many_resends_are_found() {
    let mut evidence = good();
    let again: Vec<_> = evidence.runs.iter().cycle().take(250).cloned().collect();
    evidence.runs.extend(again);
    assert!(broken(&evidence).contains(&"the bound on resends"));
}

#[test]
fn an_exit_of_its_own_and_too_much_memory_are_found() {
    let mut evidence = good();
    evidence.own_exits.push((2, "signal: 6".to_owned()));
    evidence.memory_kb = 70_000;
    assert_eq!(broken(&evidence), ["no exit of its own", "bounded memory"]);
}
