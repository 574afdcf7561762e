//! Telling an outage of the store from one that only some hosts see.

use std::time::Duration;

use sedgeridge_fleet::store_outage::StoreOutage;
use sedgeridge_fleet::store_outage::StoreReports;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Plays the reports of a fleet, each 50 ms from `from` up to `to`.
fn play(
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
    play(&mut outage, (0, 9_000), &[2_000, 2_100], |now| now);
    assert_eq!(outage.since(), None);
}

#[test]
fn an_outage_is_kept_in_mind_until_all_hosts_may_be_back() {
    let mut outage = StoreOutage::default();
    play(&mut outage, (0, 2_000), &[], |now| now);
    play(&mut outage, (2_000, 6_000), &[2_050, 2_400], |_| 2_000);
    play(&mut outage, (6_000, 7_800), &[], |now| now);
    assert_eq!(outage.since(), Some(at(2_050)));
    play(&mut outage, (7_800, 8_400), &[], |now| now);
    assert_eq!(outage.since(), None);
}

/// All endpoints vanish though all live. The store refuses one host and serves the others; later it goes away
/// for all. That host's loss, which the others' answers refute, must not hide the second one.
#[test]
fn a_host_that_was_refused_before_does_not_hide_an_outage() {
    let mut outage = StoreOutage::default();
    play(&mut outage, (0, 8_000), &[2_000], |now| now);
    play(&mut outage, (8_000, 12_000), &[2_000, 8_050], |_| 8_000);
    assert_eq!(outage.since(), Some(at(8_050)));
}

/// All endpoints vanish though all live. A host is suspended before an outage and wakes in it. Its clock stood
/// still, so that it reports an answer of before the outage as one of a moment ago.
#[test]
fn one_answer_alone_refutes_no_outage() {
    let mut outage = StoreOutage::default();
    play(&mut outage, (0, 2_000), &[], |now| now);
    play(&mut outage, (2_000, 4_000), &[2_050], |_| 2_000);
    play(&mut outage, (4_000, 9_000), &[2_050], |_| 3_900);
    assert_eq!(outage.since(), Some(at(2_050)));
}

#[test]
fn a_call_that_failed_once_is_no_outage() {
    let mut outage = StoreOutage::default();
    play(&mut outage, (0, 2_000), &[], |now| now);
    play(&mut outage, (2_000, 2_300), &[2_000], |_| 1_900);
    play(&mut outage, (2_300, 2_400), &[], |now| now);
    assert_eq!(outage.since(), None);
}
