//! Figures of runs with faults.

mod support;

use std::collections::BTreeMap;

use sedgeridge_load::config_watch::ConfigRecord;
use sedgeridge_load::config_watch::GenerationSample;
use sedgeridge_load::fault_figures::FaultFigures;
use sedgeridge_load::fault_figures::LEAVING_GRACE_US;
use sedgeridge_load::fault_figures::runs_after_leaving;
use sedgeridge_load::operators::ChangeOutcome;
use sedgeridge_load::order_check;
use sedgeridge_load::order_check::OrderCounts;
use sedgeridge_load::plan::RouterPlan;
use sedgeridge_protocol::ledger::OrderRecord;
use serde_json::json;
use support::run;
use yare::parameterized;

fn routers() -> Vec<RouterPlan> {
    ["router-1", "router-2"]
        .map(|name| RouterPlan {
            name: name.to_owned(),
            caller_address: ([127, 0, 0, 1], 1).into(),
            operator_address: ([127, 0, 0, 1], 2).into(),
        })
        .into()
}

fn seen(at_us: u64, host: &str, generation: u64) -> GenerationSample {
    GenerationSample {
        at_us,
        host: host.to_owned(),
        generation,
    }
}

fn accepted(generation: u64, told_at_us: u64) -> ChangeOutcome {
    ChangeOutcome::Accepted {
        generation,
        told_at_us,
    }
}

fn figures(outcomes: &[ChangeOutcome], samples: &[GenerationSample]) -> FaultFigures {
    let record = ConfigRecord {
        outcomes,
        samples,
        routers: &routers(),
        healed_at_us: Some(8_000),
    };
    record.figures()
}

#[test]
fn a_change_is_in_force_when_each_router_shows_it() {
    let samples = [
        seen(1_000, "router-1", 1),
        seen(5_000, "router-1", 2),
        seen(9_000, "router-2", 3),
    ];
    let figures = figures(&[accepted(2, 2_000), ChangeOutcome::Conflict], &samples);
    assert_eq!(figures.config_in_force_p99_ms, Some(7.0));
    assert_eq!(figures.config_in_force_after_heal_p99_ms, Some(1.0));
    assert_eq!(figures.config_conflicts, Some(1));
    assert_eq!(figures.config_not_in_force, Some(0));
    assert!(!figures.has_violations());
}

#[test]
fn a_router_that_never_shows_a_change_is_a_violation() {
    let figures = figures(&[accepted(2, 2_000)], &[seen(5_000, "router-1", 2)]);
    assert_eq!(figures.config_not_in_force, Some(1));
    assert!(figures.has_violations());
}

#[test]
fn one_generation_won_by_two_operators_is_a_violation() {
    let samples = [seen(5_000, "router-1", 2), seen(5_000, "router-2", 2)];
    let figures = figures(&[accepted(2, 1_000), accepted(2, 2_000)], &samples);
    assert_eq!(figures.config_won_twice, Some(1));
    assert!(figures.has_violations());
}

#[test]
fn a_lower_generation_at_the_same_host_is_a_reversion() {
    let samples = [seen(1, "router-1", 2), seen(2, "router-1", 1)];
    assert_eq!(figures(&[], &samples).config_reversions, Some(1));
}

#[parameterized(
    within_the_grace_time = { LEAVING_GRACE_US, 0 },
    after_it = { LEAVING_GRACE_US + 1, 1 },
)]
fn runs_count_after_the_grace_time(started_after_us: u64, expected: u64) {
    let left_at_us = BTreeMap::from([("e1".to_owned(), 500)]);
    let start_us = 500 + started_after_us;
    let runs = [run("r", start_us, start_us + 1)];
    assert_eq!(runs_after_leaving(&runs, &left_at_us), Some(expected));
}

fn order(number: u64, fencing: u64, accepted: bool) -> OrderRecord {
    let record = json!({
        "endpoint": "e1",
        "received_at_ms": 0.0,
        "order": {"fencing": fencing, "kind": "unload", "target": format!("adapter-{number}")},
        "accepted": accepted,
        "highest_fencing": 0,
    });
    serde_json::from_value(record).expect("an order record")
}

#[parameterized(
    in_order = { &[order(1, 1, true), order(2, 2, true)], 2, 0 },
    given_again = { &[order(1, 1, true), order(1, 2, true)], 1, 0 },
    refused = { &[order(2, 2, true), order(1, 1, false)], 1, 0 },
    older_number = { &[order(2, 2, true), order(2, 1, true)], 1, 1 },
    older_order = { &[order(2, 2, true), order(1, 2, true)], 2, 1 },
)]
fn orders_that_took_effect_late_are_wrong(orders: &[OrderRecord], in_effect: u64, stale: u64) {
    assert_eq!(order_check::count(orders), OrderCounts { in_effect, stale });
}

#[test]
fn reads_a_conflict_and_a_failure_from_the_command_line() {
    let conflict = ChangeOutcome::read("", "sedgeridge: conflict: generation 2 is change a", 1);
    assert_eq!(conflict, ChangeOutcome::Conflict);
    let failed = ChangeOutcome::read("", "table: refused", 1);
    assert_eq!(failed, ChangeOutcome::Failed("table: refused".to_owned()));
}
