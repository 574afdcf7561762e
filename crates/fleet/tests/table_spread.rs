//! Tests for how soon every host of a large fleet knows that an endpoint has left.
//!
//! The store acknowledges that an endpoint leaves. The shortest time in which hosts may have to
//! leave it alone is two seconds; after that no request may reach it. The change passes through the
//! store, the first follower, its report, the fetch of a copy, and the host; each test makes one of
//! them fail.

mod support;

use yare::parameterized;

use support::table_fleet::ENDPOINTS;
use support::table_fleet::Fleet;
use support::table_fleet::STEP_MS;
use support::table_fleet::name;

/// Longest time until all hosts know, with one fault on the way: three quarters of the shortest
/// time in which an endpoint may have to be left alone.
const KNOWN_WITHIN_MS: u64 = 1_500;
/// Time in which an endpoint may write its entry again after an outage of the store.
const REWRITE_MS: u64 = 2_300;

#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn every_host_knows_soon_that_an_endpoint_left(size: usize) {
    let mut fleet = Fleet::new(size);
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// Guards against requests to an endpoint that left seconds ago. The store refuses a third of the
/// hosts, including the first follower, and serves the others; then an endpoint leaves. The refused
/// hosts must copy the change and apply it although the store does not answer them.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_that_the_store_refuses_know_too(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    fleet.store.refused.extend((0..size).step_by(3));
    fleet.store.refused.insert(first);
    fleet.run_until(fleet.now + 3_000);
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// The first follower freezes right before a change. A standby, which calls the store at longer
/// intervals, learns of the change, and its regular reports reach the others.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_first_follower_is_frozen(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    // A change right before makes the standbys pause.
    fleet.store.write("another");
    fleet.run_until(fleet.now + 100);
    fleet.nodes[first].is_frozen = true;
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// The first follower freezes right after it reported a change. The others ask it for a copy until
/// the fetch times out, and must then get the copy from another host.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_first_follower_freezes_after_its_report(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    fleet.store.write("another");
    fleet.run_until(fleet.now + 100);
    fleet.store.remove(&name(0));
    fleet.run_until(fleet.now + 20);
    fleet.nodes[first].is_frozen = true;
    let removed_at = fleet.now - 20;
    while fleet
        .nodes
        .iter()
        .any(|node| !node.is_frozen && node.knows(&name(0)))
    {
        fleet.run_until(fleet.now + STEP_MS);
        assert!(fleet.now <= removed_at + KNOWN_WITHIN_MS);
    }
    println!("{size} hosts: {} ms", fleet.now - removed_at);
}

/// The first follower's connection to the store goes silent without a reset, so its call is never
/// answered. It does not know this yet; the others must not wait until it does.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_first_followers_call_is_silent(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    fleet.store.write("another");
    fleet.run_until(fleet.now + 100);
    fleet.store.silent.insert(first);
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_store_forgot_its_history(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.store.write("another");
    fleet.store.forgotten = fleet.store.version;
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// Guards against dropping live endpoints, and against requests to one that left. The store is
/// unavailable for longer than entries last, and all lapse. All endpoints but one write theirs
/// again within two seconds of its return. No host may drop these, and every host must drop the one
/// that left.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn lapsed_entries_are_told_from_removed_ones_after_an_outage(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.store.is_unavailable = true;
    fleet.run_until(fleet.now + 4_500);
    for endpoint in 0..ENDPOINTS {
        fleet.store.remove(&name(endpoint));
    }
    fleet.store.is_unavailable = false;
    let returned_at = fleet.now;
    for endpoint in 1..ENDPOINTS {
        fleet.run_until(fleet.now + 90);
        let incomplete = fleet.nodes.iter().filter(|node| {
            let kept = (1..ENDPOINTS).filter(|it| node.knows(&name(*it)));
            kept.count() < ENDPOINTS - 1
        });
        assert_eq!(incomplete.count(), 0, "{} ms", fleet.now - returned_at);
        fleet.store.write(&name(endpoint));
    }
    fleet.run_until(returned_at + REWRITE_MS + KNOWN_WITHIN_MS);
    for node in &fleet.nodes {
        let known = (0..ENDPOINTS).filter(|it| node.knows(&name(*it)));
        assert_eq!(known.count(), ENDPOINTS - 1);
        assert!(!node.knows(&name(0)));
    }
}

/// Guards against changes that each host fetches from another data centre: bytes between data centres are paid for, and
/// the first host that knows a change would be asked by all others at once. A few relays of each data centre fetch it.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn few_copies_pass_between_data_centres(size: usize) {
    let mut fleet = Fleet::new(size);
    let before = fleet.remote_fetches;
    fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    let fetched = fleet.remote_fetches - before;
    assert!(
        fetched <= size / 4,
        "{fetched} copies from other data centres"
    );
}
