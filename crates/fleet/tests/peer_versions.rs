//! Tests for when reports of other hosts lead to the fetch of a copy.

use std::time::Duration;

use sedgeridge_fleet::peer_versions::CopySource;
use sedgeridge_fleet::peer_versions::PeerVersions;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn try_start_fetch(
    versions: &mut PeerVersions,
    now: Duration,
    known: u64,
    reported: u64,
    source: CopySource,
) -> bool {
    versions.try_start_fetch(now, known.into(), reported.into(), source)
}

/// A follower hears of a change from another host a moment before the store delivers it, and again
/// much later. It must give the store the same time again. Otherwise it fetches a copy of each
/// change and adopts the sender's doubts about lapsed rows.
#[test]
fn a_follower_gives_the_store_its_time_for_each_change() {
    let mut versions = PeerVersions::default();
    assert!(!try_start_fetch(
        &mut versions,
        at(0),
        7,
        8,
        CopySource::BesideStore
    ));
    assert!(!try_start_fetch(
        &mut versions,
        at(10),
        8,
        8,
        CopySource::BesideStore
    ));
    assert!(!try_start_fetch(
        &mut versions,
        at(5_000),
        8,
        9,
        CopySource::BesideStore
    ));
    assert!(try_start_fetch(
        &mut versions,
        at(5_250),
        8,
        9,
        CopySource::BesideStore
    ));
}

/// Two hosts report the version of a table, and one of them is outdated itself. Its reports come
/// between those of the other one and must not restart the wait.
#[test]
fn reports_of_a_host_that_is_behind_too_change_nothing() {
    let mut versions = PeerVersions::default();
    for now in (0..250).step_by(50) {
        assert!(!try_start_fetch(
            &mut versions,
            at(now),
            7,
            9,
            CopySource::BesideStore
        ));
        assert!(!try_start_fetch(
            &mut versions,
            at(now + 10),
            7,
            7,
            CopySource::BesideStore
        ));
    }
    assert!(try_start_fetch(
        &mut versions,
        at(250),
        7,
        9,
        CopySource::BesideStore
    ));
}

/// The store refuses a host that follows it. Changes reach it only by copies, so it must not wait
/// for the store.
#[test]
fn a_host_that_the_store_refuses_copies_at_once() {
    let mut versions = PeerVersions::default();
    assert!(try_start_fetch(
        &mut versions,
        at(0),
        7,
        8,
        CopySource::Preferred
    ));
}

/// Guards against copies that each host of a large fleet fetches from the first one that knows a change. A host leaves
/// other data centres alone for a while, and turns to one if its own does not know the change by then.
#[test]
fn a_host_prefers_copies_of_its_own_data_centre() {
    let mut versions = PeerVersions::default();
    assert!(!try_start_fetch(
        &mut versions,
        at(0),
        7,
        8,
        CopySource::Remote
    ));
    assert!(try_start_fetch(
        &mut versions,
        at(100),
        7,
        8,
        CopySource::Preferred
    ));
    versions.on_fetch_ended();
    assert!(!try_start_fetch(
        &mut versions,
        at(200),
        8,
        9,
        CopySource::Remote
    ));
    assert!(try_start_fetch(
        &mut versions,
        at(600),
        8,
        9,
        CopySource::Remote
    ));
}
