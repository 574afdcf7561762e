//! Tests for distinguishing an outage of the store from a failure that only some hosts see.

use std::time::Duration;

use sedgeridge_fleet::store_outage::StoreOutage;
use sedgeridge_fleet::store_outage::StoreReports;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs the reports of a fleet, one each 50 ms from `from` up to `to`.
fn run_reports(
    outage: &mut StoreOutage,
    (from, to): (u64, u64),
    lost_since: &[u64],
    answered_at: impl Fn(u64) -> u64,
) {
    for now in (from..to).step_by(50) {
        let reports = StoreReports {
            lost_since: lost_since.iter().copied().map(at).collect(),
            answered_at: Some(at(answered_at(now))),
        };
        outage.tick(at(now), reports);
    }
}

#[test]
fn a_loss_of_some_hosts_is_no_outage() {
    let mut outage = StoreOutage::default();
    run_reports(&mut outage, (0, 9_000), &[2_000, 2_100], |now| now);
    assert_eq!(outage.since(), None);
}

#[test]
fn an_outage_is_remembered_until_all_hosts_may_be_back() {
    let mut outage = StoreOutage::default();
    run_reports(&mut outage, (0, 2_000), &[], |now| now);
    run_reports(&mut outage, (2_000, 6_000), &[2_050, 2_400], |_| 2_000);
    run_reports(&mut outage, (6_000, 7_800), &[], |now| now);
    assert_eq!(outage.since(), Some(at(2_050)));
    run_reports(&mut outage, (7_800, 8_400), &[], |now| now);
    assert_eq!(outage.since(), None);
}

/// Guards against dropping live endpoints. The store refuses one host and later becomes unavailable
/// to all. The refused host's loss, which the others' answers refute, must not hide the outage.
#[test]
fn a_host_that_was_refused_before_does_not_hide_an_outage() {
    let mut outage = StoreOutage::default();
    run_reports(&mut outage, (0, 8_000), &[2_000], |now| now);
    run_reports(&mut outage, (8_000, 12_000), &[2_000, 8_050], |_| 8_000);
    assert_eq!(outage.since(), Some(at(8_050)));
}

/// Guards against dropping live endpoints. A host is suspended before an outage and resumes in it.
/// Its clock stopped meanwhile, so it reports an answer from before the outage as a recent one.
#[test]
fn one_answer_alone_refutes_no_outage() {
    let mut outage = StoreOutage::default();
    run_reports(&mut outage, (0, 2_000), &[], |now| now);
    run_reports(&mut outage, (2_000, 4_000), &[2_050], |_| 2_000);
    run_reports(&mut outage, (4_000, 9_000), &[2_050], |_| 3_900);
    assert_eq!(outage.since(), Some(at(2_050)));
}

#[test]
fn a_call_that_failed_once_is_no_outage() {
    let mut outage = StoreOutage::default();
    run_reports(&mut outage, (0, 2_000), &[], |now| now);
    run_reports(&mut outage, (2_000, 2_300), &[2_000], |_| 1_900);
    run_reports(&mut outage, (2_300, 2_400), &[], |now| now);
    assert_eq!(outage.since(), None);
}
