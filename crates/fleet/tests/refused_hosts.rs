//! Tests for telling removed entries from lapsed ones when the store refused some hosts and served
//! the others.

mod support;

use yare::parameterized;

use support::table_fleet::ENDPOINTS;
use support::table_fleet::Fleet;
use support::table_fleet::name;

/// Longest time until all hosts know that an endpoint left, with one fault on the way: three
/// quarters of the shortest time in which an endpoint may have to be left alone.
const KNOWN_WITHIN_MS: u64 = 1_500;
/// Time after an outage from which hosts must follow what the store acknowledged.
const STABLE_MS: u64 = 3_000;
const REFUSED_FOR_MS: u64 = 9_000;
/// Time in which the store answers refused hosts again, one after the other.
const RETURN_WINDOW_MS: u64 = 1_000;
/// Step between the tested departure times after the first answer.
const DEPARTURE_STEP_MS: usize = 100;

/// Guards against requests to an endpoint that left more than two seconds ago. The store refuses
/// some hosts for nine seconds, and an endpoint leaves right when it answers them again. A refused
/// host must not treat the removal as a lapsed entry: it would keep the endpoint for the rewrite
/// window, and the others would copy its doubt and never ask the store for the removal. In logs
/// this shows as copies without rows at a newer version, and as the endpoint being dropped on every
/// host when the rewrite window is over.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn a_removal_takes_effect_after_hosts_were_refused(size: usize) {
    for leaves_after_ms in (0..RETURN_WINDOW_MS).step_by(DEPARTURE_STEP_MS) {
        let mut fleet = Fleet::new(size);
        let first = fleet.first_caller();
        fleet.store.refused.extend((0..size).step_by(3));
        fleet.store.refused.insert(first);
        fleet.run_until(fleet.now + REFUSED_FOR_MS);
        fleet.store.refused.clear();
        fleet.run_until(fleet.now + leaves_after_ms);
        // Followers pause after a change and learn of the next one from others.
        fleet.store.write("another");
        fleet.run_until(fleet.now + 100);
        let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
        println!("{size} hosts, {leaves_after_ms} ms after the return: {took} ms");
    }
}

/// Guards against requests to an endpoint that left more than two seconds ago. One host is cut off
/// from the store and from all other hosts for nine seconds. It reaches both again at once, and an
/// endpoint leaves. The others must not adopt the doubt in its copy.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn a_removal_takes_effect_on_the_others_after_one_was_cut_off(size: usize) {
    for leaves_after_ms in (0..RETURN_WINDOW_MS).step_by(DEPARTURE_STEP_MS) {
        let mut fleet = Fleet::new(size);
        let cut = fleet.first_caller();
        fleet.store.refused.insert(cut);
        fleet.cut_off = Some(cut);
        fleet.run_until(fleet.now + REFUSED_FOR_MS);
        fleet.store.refused.clear();
        fleet.cut_off = None;
        fleet.run_until(fleet.now + leaves_after_ms);
        fleet.store.write("another");
        fleet.run_until(fleet.now + 100);
        let others: Vec<_> = (0..size).filter(|host| *host != cut).collect();
        let took = fleet.time_for_hosts_to_know(&others, &name(0), KNOWN_WITHIN_MS);
        println!("{size} hosts, {leaves_after_ms} ms after the return: {took} ms");
    }
}

/// Guards against dropping live endpoints. The store refuses some hosts, and then answers no host
/// for longer than entries last, so that all lapse. Answers to the other hosts during the first
/// period say nothing about the time after it.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn lapsed_entries_stay_in_use_after_hosts_were_refused(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.store.refused.extend((0..size).step_by(3));
    fleet.run_until(fleet.now + 4_000);
    fleet.store.is_unavailable = true;
    fleet.run_until(fleet.now + 4_500);
    for endpoint in 0..ENDPOINTS {
        fleet.store.remove(&name(endpoint));
    }
    fleet.store.is_unavailable = false;
    fleet.store.refused.clear();
    for endpoint in 0..ENDPOINTS {
        fleet.run_until(fleet.now + 90);
        let incomplete = fleet.nodes.iter().filter(|node| {
            let kept = (0..ENDPOINTS).filter(|it| node.knows(&name(*it)));
            kept.count() < ENDPOINTS
        });
        assert_eq!(incomplete.count(), 0, "after {endpoint} were written again");
        fleet.store.write(&name(endpoint));
    }
}

/// Guards against requests to an endpoint that left during an outage. Right after it the store
/// refuses one host and serves the others, and no entry changes. The refused host must learn from
/// the others that the store is back, and drop the endpoint when they do.
#[test]
fn a_refused_host_drops_lapsed_entries_when_the_others_do() {
    let mut fleet = Fleet::new(6);
    fleet.store.is_unavailable = true;
    fleet.run_until(fleet.now + 4_500);
    fleet.store.remove(&name(0));
    fleet.store.is_unavailable = false;
    fleet.run_until(fleet.now + 1_500);
    fleet.store.refused.insert(0);
    fleet.run_until(fleet.now + 4_000);
    let using = fleet.nodes.iter().filter(|node| node.knows(&name(0)));
    assert_eq!(using.count(), 0);
}

/// Guards against requests to an endpoint three seconds and more after the store's return. The
/// endpoint leaves right at the return. If each host counted the rewrite window from its own first
/// answer, which comes up to a pause later, it would drop the endpoint too late; the window counts
/// from the first answer to any host.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn an_endpoint_that_left_at_the_stores_return_is_dropped_before_the_fleet_is_stable(size: usize) {
    for outage_ms in (4_000..5_000).step_by(140) {
        let mut fleet = Fleet::new(size);
        fleet.store.is_unavailable = true;
        fleet.run_until(fleet.now + outage_ms);
        fleet.store.is_unavailable = false;
        let took = fleet.time_to_know_of_removal(&name(0), STABLE_MS);
        println!("{size} hosts, an outage of {outage_ms} ms: {took} ms");
    }
}
