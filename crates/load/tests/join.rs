//! Each kind of violation is counted in a history that contains it.

mod support;

use sedgeridge_load::history::CallRecord;
use sedgeridge_load::history::Ending;
use sedgeridge_load::history::Outcome;
use sedgeridge_load::history::RunRecord;
use sedgeridge_load::join::Counts;
use sedgeridge_load::join::count;
use support::call;
use support::refused;
use support::run;
use yare::parameterized;

fn keyed(call: CallRecord) -> CallRecord {
    CallRecord {
        idempotency_key: Some(format!("key-{}", call.work)),
        ..call
    }
}

fn ending(request_id: &str, ending: Ending) -> CallRecord {
    CallRecord {
        ending,
        ..call(request_id, 1)
    }
}

#[test]
fn a_right_answer_is_no_violation() {
    let counts = count(&[call("r1", 1)], &[run("r1", 0, 9)]);
    let expected = Counts {
        requests: 1,
        answered: 1,
        ..Counts::default()
    };
    assert_eq!(counts, expected);
    assert!(!counts.has_violations());
}

/// The caller's connection breaks and no later call tells it how the work ended.
#[test]
fn work_without_a_final_outcome_is_lost() {
    let broken = CallRecord {
        outcome: None,
        ..ending("r1", Ending::Broken)
    };
    let counts = count(std::slice::from_ref(&broken), &[run("r1", 0, 9)]);
    assert_eq!(counts.lost, 1);
    let answered_later = count(&[broken, call("r2", 1)], &[]);
    assert_eq!((answered_later.lost, answered_later.answered), (0, 1));
}

/// A refusal that does not say whether the request ran tells its caller no more than a lost answer.
#[test]
fn a_refusal_without_an_outcome_is_lost() {
    let without_outcome = CallRecord {
        outcome: None,
        ..refused("r1", 1, Outcome::Unknown)
    };
    assert_eq!(count(&[without_outcome], &[]).lost, 1);
}

/// The caller repeats a deposit at another router, and a second endpoint charges it again.
#[test]
fn a_key_with_two_runs_is_doubled() {
    let calls = [keyed(call("r1", 1)), keyed(call("r2", 1))];
    let counts = count(&calls, &[run("r1", 0, 9), run("r2", 10, 19)]);
    assert_eq!(counts.doubled, 1);
    assert!(counts.has_violations());
}

/// A router dispatches one request twice, so both runs carry the same request id.
#[test]
fn a_request_with_a_key_and_two_runs_is_doubled() {
    let runs = [run("r1", 0, 9), run("r1", 10, 19)];
    assert_eq!(count(&[keyed(call("r1", 1))], &runs).doubled, 1);
    assert_eq!(count(&[call("r1", 1)], &runs).doubled, 0, "repeatable");
}

/// A router dispatches under a request id of its own, but still passes the key to the endpoint.
#[test]
fn a_run_under_a_foreign_request_id_is_counted_by_its_key() {
    let renamed = RunRecord {
        idempotency_key: Some("key-1".to_owned()),
        ..run("other", 10, 19)
    };
    let counts = count(&[keyed(call("r1", 1))], &[run("r1", 0, 9), renamed]);
    assert_eq!((counts.doubled, counts.unmatched_runs), (1, 1));
}

#[test]
fn the_same_key_of_two_accounts_is_not_doubled() {
    let other = CallRecord {
        account: "b".to_owned(),
        ..keyed(call("r2", 1))
    };
    let calls = [keyed(call("r1", 1)), other];
    let counts = count(&calls, &[run("r1", 0, 9), run("r2", 0, 9)]);
    assert_eq!(counts.doubled, 0);
}

#[test]
fn a_foreign_answer_is_crossed() {
    assert_eq!(count(&[ending("r1", Ending::Foreign)], &[]).crossed, 1);
}

#[test]
fn a_short_answer_without_a_mark_is_truncated() {
    assert_eq!(count(&[ending("r1", Ending::Short)], &[]).truncated, 1);
}

#[test]
fn a_marked_partial_answer_is_no_violation() {
    let counts = count(&[ending("r1", Ending::Partial)], &[]);
    assert_eq!((counts.partial, counts.has_violations()), (1, false));
}

/// The caller is told "not run", but an endpoint started the request.
#[test]
fn a_run_of_a_request_called_not_run_is_found() {
    let calls = [refused("r1", 1, Outcome::NotRun)];
    let counts = count(&calls, &[run("r1", 0, 9)]);
    assert_eq!((counts.refused_not_run, counts.not_run_but_ran), (1, 1));
    assert_eq!(count(&calls, &[]).not_run_but_ran, 0);
}

#[parameterized(
    not_run = { Outcome::NotRun, Counts { requests: 1, refused_not_run: 1, ..Counts::default() } },
    unknown = { Outcome::Unknown, Counts { requests: 1, unknown: 1, ..Counts::default() } },
    ran = { Outcome::Ran, Counts { requests: 1, failed: 1, ..Counts::default() } },
)]
fn a_refusal_counts_under_its_outcome(outcome: Outcome, expected: Counts) {
    assert_eq!(count(&[refused("r1", 1, outcome)], &[]), expected);
}

/// The outcome of the later call counts; that of a deliberate repeat does not.
#[test]
fn work_counts_once_under_its_last_wanted_call() {
    let later = CallRecord {
        ended_at_us: 2_000,
        ..refused("r2", 1, Outcome::Unknown)
    };
    let repeat = CallRecord {
        repeat: true,
        ended_at_us: 3_000,
        ..refused("r3", 1, Outcome::NotRun)
    };
    let counts = count(&[refused("r1", 1, Outcome::NotRun), later, repeat], &[]);
    assert_eq!((counts.requests, counts.unknown), (1, 1));
}
