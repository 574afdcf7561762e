//! The figures of a report.

mod support;

use sedgeridge_load::control_bytes::PeerRate;
use sedgeridge_load::fault_figures::FaultFigures;
use sedgeridge_load::history::CallRecord;
use sedgeridge_load::history::Outcome;
use sedgeridge_load::history::RunRecord;
use sedgeridge_load::report::Report;
use sedgeridge_load::report::RunInfo;
use support::call;
use support::history;
use support::plan;
use support::refused;
use support::run;

fn report(calls: Vec<CallRecord>, runs: Vec<RunRecord>) -> Report {
    let name = RunInfo {
        seconds: 1,
        seed: 1,
        fault: None,
        faults: FaultFigures::default(),
    };
    Report::new(&plan(), &history(calls, runs), name, PeerRate::default())
}

#[test]
fn holds_every_key_that_readers_of_the_json_line_expect() {
    let json = serde_json::to_value(report(vec![], vec![])).expect("a report is plain data");
    let keys = "deployment seconds requests answered refused_not_run unknown lost doubled crossed \
                truncated not_run_but_ran fairness_gap_tokens largest_charge_tokens utilisation \
                idle_slot_share_while_waiting control_bytes_per_node_s ttft_p50_ms ttft_p99_ms \
                router_added_p99_ms";
    for key in keys.split_whitespace() {
        assert!(json.get(key).is_some(), "{key}");
    }
}

#[test]
fn time_to_the_first_token_counts_from_the_sending() {
    let streamed = CallRecord {
        sent_at_us: 1_000_000,
        first_token_at_us: Some(3_500_000),
        ..call("r1", 1)
    };
    let p50_ms = report(vec![streamed], vec![])
        .ttft_p50_ms
        .expect("one call");
    assert!((p50_ms - 2_500.0).abs() < 5.0, "{p50_ms}");
}

#[test]
fn the_largest_charge_is_that_of_a_single_run() {
    let charged = |input_charge_tokens, output_charge_tokens| RunRecord {
        input_charge_tokens,
        output_charge_tokens,
        ..run("r1", 0, 9)
    };
    let report = report(vec![], vec![charged(5, 40), charged(30, 20)]);
    assert_eq!(report.largest_charge_tokens, 50);
}

#[test]
fn refusals_are_counted_by_reason() {
    let full = |id, work| CallRecord {
        reason: Some("queue_full".to_owned()),
        ..refused(id, work, Outcome::NotRun)
    };
    let report = report(vec![full("r1", 1), full("r2", 2)], vec![]);
    assert_eq!(report.refusals_by_reason["queue_full"], 2);
}

#[test]
fn shares_list_only_accounts_that_wanted_or_got_something() {
    let waiting = CallRecord {
        sent_at_us: 0,
        ended_at_us: 500,
        ..call("r1", 1)
    };
    let report = report(vec![waiting], vec![]);
    let shares: Vec<_> = report.shares.iter().collect();
    assert_eq!(shares.len(), 1);
    assert_eq!(
        (shares[0].account.as_str(), shares[0].backlogged_share),
        ("a", 0.5)
    );
}
