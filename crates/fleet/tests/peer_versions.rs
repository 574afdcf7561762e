//! When reports of other hosts lead to the fetch of a copy.

use std::time::Duration;

use sedgeridge_fleet::peer_versions::PeerVersions;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A host that follows the store hears of a change from another host a moment before the store tells it, and has
/// it from the store. Long after, another change is told the same way. It must give the store its time
/// again: else it fetches a copy of each change, and takes over what the copy's maker is unsure of.
#[test]
fn a_follower_gives_the_store_its_time_for_each_change() {
    let mut news = PeerVersions::default();
    assert!(!news.try_start_fetch(at(0), 7, 8, true));
    assert!(!news.try_start_fetch(at(10), 8, 8, true));
    assert!(!news.try_start_fetch(at(5_000), 8, 9, true));
    assert!(news.try_start_fetch(at(5_250), 8, 9, true));
}

/// Of two hosts that tell of a table one is behind itself. Its reports come between those of the other, and must
/// not make this host wait anew each time.
#[test]
fn reports_of_a_host_that_is_behind_too_change_nothing() {
    let mut news = PeerVersions::default();
    for now in (0..250).step_by(50) {
        assert!(!news.try_start_fetch(at(now), 7, 9, true));
        assert!(!news.try_start_fetch(at(now + 10), 7, 7, true));
    }
    assert!(news.try_start_fetch(at(250), 7, 9, true));
}

/// The store refuses a host that follows it. Changes reach it only by copies, and it must not wait for the store.
#[test]
fn a_host_that_the_store_refuses_copies_at_once() {
    let mut news = PeerVersions::default();
    assert!(news.try_start_fetch(at(0), 7, 8, false));
}
