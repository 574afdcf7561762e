//! The fairness gap of constructed histories.

mod support;

use sedgeridge_load::fairness::ServiceCurve;
use sedgeridge_load::fairness::curve_gap;
use sedgeridge_load::fairness::fairness_gap_tokens;
use sedgeridge_load::fairness::pool_accounts;
use sedgeridge_load::fairness::weight_error_percent;
use sedgeridge_load::history::CallRecord;
use sedgeridge_load::history::RunRecord;
use sedgeridge_load::history::Span;
use support::call;
use support::history;
use support::plan;
use support::run;

fn charged(account: &str, start_us: u64, end_us: u64, input: u64, output: u64) -> RunRecord {
    RunRecord {
        account: account.to_owned(),
        input_charge_tokens: input,
        output_charge_tokens: output,
        ..run("none", start_us, end_us)
    }
}

/// A call that waits over a span and is not served in it.
fn waits(account: &str, work: u64, start_us: u64, end_us: u64) -> CallRecord {
    CallRecord {
        account: account.to_owned(),
        sent_at_us: start_us,
        ended_at_us: end_us,
        ..call(&format!("w{work}"), work)
    }
}

fn gap(calls: Vec<CallRecord>, runs: Vec<RunRecord>) -> f64 {
    let history = history(calls, runs);
    fairness_gap_tokens(&pool_accounts(&plan(), &history), history.steady)
}

#[test]
fn the_gap_is_what_one_account_received_more() {
    let calls = vec![waits("a", 1, 0, 1_000), waits("c", 2, 0, 1_000)];
    let runs = vec![
        charged("a", 100, 200, 30, 70),
        charged("c", 100, 200, 10, 50),
    ];
    assert_eq!(gap(calls, runs), 40.0);
}

#[test]
fn service_counts_by_weight() {
    let calls = vec![waits("a", 1, 0, 1_000), waits("b", 2, 0, 1_000)];
    let runs = vec![
        charged("a", 100, 200, 0, 60),
        charged("b", 100, 200, 0, 120),
    ];
    assert!(gap(calls, runs) < 1e-6);
}

/// Two accounts are served one after the other and end equal; in between, one is ahead by a whole
/// charge.
#[test]
fn the_gap_covers_every_part_of_the_common_time() {
    let calls = vec![waits("a", 1, 0, 1_000), waits("c", 2, 0, 1_000)];
    let runs = vec![charged("a", 100, 200, 0, 60), charged("c", 200, 300, 0, 60)];
    assert!((gap(calls, runs) - 60.0).abs() < 1e-6);
}

/// Service to one account while the other has nothing waiting must not count as a gap.
#[test]
fn only_time_in_which_both_wait_counts() {
    let calls = vec![waits("a", 1, 0, 1_000), waits("c", 2, 600, 1_000)];
    let runs = vec![charged("a", 100, 200, 0, 500)];
    assert_eq!(gap(calls, runs), 0.0);
}

#[test]
fn waiting_ends_when_the_run_starts() {
    let served = CallRecord {
        sent_at_us: 0,
        first_token_at_us: Some(900),
        ..call("r1", 1)
    };
    let calls = vec![served, waits("c", 2, 0, 1_000)];
    let runs = vec![run("r1", 50, 900), charged("a", 100, 200, 0, 500)];
    assert_eq!(gap(calls, runs), 0.0);
}

/// A run in progress at the edge of the span counts only with the part inside.
#[test]
fn a_run_across_the_edge_counts_in_part() {
    let one = ServiceCurve::new(&[charged("a", 0, 100, 0, 100)], 1, 1_000);
    let nothing = ServiceCurve::default();
    let gap = curve_gap(&one, &nothing, Span::new(50, 400));
    assert!((gap - 50.0).abs() < 1e-6);
}

/// A charge at the first instant of the span belongs to a decision before the span.
#[test]
fn a_jump_at_the_start_does_not_count() {
    let one = ServiceCurve::new(&[charged("a", 50, 50, 80, 0)], 1, 1_000);
    assert_eq!(
        curve_gap(&one, &ServiceCurve::default(), Span::new(50, 90)),
        0.0
    );
}

#[test]
fn unequal_shares_show_as_a_weight_error() {
    let calls = vec![waits("a", 1, 0, 1_000), waits("b", 2, 0, 1_000)];
    let runs = vec![
        charged("a", 100, 200, 0, 90),
        charged("b", 100, 200, 0, 220),
    ];
    let history = history(calls, runs);
    let accounts = pool_accounts(&plan(), &history);
    let error = weight_error_percent(&accounts, history.steady).expect("both waited throughout");
    assert!((error - 20.0).abs() < 1e-6, "{error}");
}

/// The endpoint recorded another account, or none; the account of the caller's record counts.
#[test]
fn a_run_belongs_to_the_account_of_its_caller() {
    let served = CallRecord {
        account: "c".to_owned(),
        ..call("r1", 3)
    };
    let calls = vec![waits("a", 1, 0, 1_000), waits("c", 2, 0, 1_000), served];
    let mislabelled = RunRecord {
        output_charge_tokens: 80,
        account: String::new(),
        ..run("r1", 100, 200)
    };
    assert!((gap(calls, vec![mislabelled]) - 80.0).abs() < 1e-6);
}
