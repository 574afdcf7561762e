//! What hosts take for removed and what for lapsed, when the store refused some of them and served the others.

mod support;

use yare::parameterized;

use support::table_fleet::ENDPOINTS;
use support::table_fleet::Fleet;
use support::table_fleet::name;

/// Longest time until all hosts know that an endpoint left, with one fault on the way. Three quarters of the
/// shortest time in which an endpoint may have to be left alone.
const KNOWN_WITHIN_MS: u64 = 1_500;
/// Time after an outage from which on hosts are to keep to what the store acknowledged.
const STABLE_MS: u64 = 3_000;
const REFUSED_FOR_MS: u64 = 9_000;
/// Time in which hosts that were refused are answered again, one after the other.
const RETURN_MS: u64 = 1_000;
/// Times after the first answer at which an endpoint leaves.
const LEAVES_EACH_MS: usize = 100;

/// The caller is served by an endpoint that left more than two seconds ago, by a host that the store answered
/// all the while. The store refuses some hosts for nine seconds and serves the others. It answers them again, and
/// right then an endpoint leaves. A host that was refused takes the removal for an entry that lapsed
/// while the store was away, and keeps the endpoint for the time in which it could be written again; the others
/// take its copy, the doubt with it, and never ask the store for the removal. The logs of such a moment show it: copies
/// without rows at a risen version, and the endpoint dropped on every host when the time to write it again is over.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn a_removal_counts_though_hosts_were_refused_before_it(size: usize) {
    for leaves_after_ms in (0..RETURN_MS).step_by(LEAVES_EACH_MS) {
        let mut fleet = Fleet::new(size);
        let first = fleet.first_caller();
        fleet.store.refused.extend((0..size).step_by(3));
        fleet.store.refused.insert(first);
        fleet.run_until(fleet.now + REFUSED_FOR_MS);
        fleet.store.refused.clear();
        fleet.run_until(fleet.now + leaves_after_ms);
        // Hosts that follow the store pause after a change, and learn of the next one from others.
        fleet.store.write("another");
        fleet.run_until(fleet.now + 100);
        let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
        println!("{size} hosts, {leaves_after_ms} ms after the return: {took} ms");
    }
}

/// The caller is served by an endpoint that left more than two seconds ago. One host is cut off from the store and
/// from all other hosts for nine seconds, and hears nothing of them. It is back on both sides at once, an endpoint
/// leaves, and the others must not go by the doubt that its copy tells.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn a_removal_counts_at_the_others_though_one_was_cut_off(size: usize) {
    for leaves_after_ms in (0..RETURN_MS).step_by(LEAVES_EACH_MS) {
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

/// The caller gets "no endpoint" although all live. The store refuses some hosts at first, and then answers nobody
/// for longer than entries last; all lapse in that time. That some hosts were served while others were
/// refused says nothing of the time after.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn what_lapsed_stays_in_use_though_hosts_were_refused_before(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.store.refused.extend((0..size).step_by(3));
    fleet.run_until(fleet.now + 4_000);
    fleet.store.is_away = true;
    fleet.run_until(fleet.now + 4_500);
    for endpoint in 0..ENDPOINTS {
        fleet.store.remove(&name(endpoint));
    }
    fleet.store.is_away = false;
    fleet.store.refused.clear();
    for endpoint in 0..ENDPOINTS {
        fleet.run_until(fleet.now + 90);
        let lacking = fleet.nodes.iter().filter(|node| {
            let kept = (0..ENDPOINTS).filter(|it| node.knows(&name(*it)));
            kept.count() < ENDPOINTS
        });
        assert_eq!(lacking.count(), 0, "after {endpoint} were written again");
        fleet.store.write(&name(endpoint));
    }
}

/// The caller is served by an endpoint that left long ago. It leaves while the store is away for all. Right after
/// the outage the store refuses one host and serves the others, and no entry changes. The others drop
/// the endpoint when its time is over, and the refused host hears from them that the store is back.
#[test]
fn a_refused_host_drops_what_lapsed_when_the_others_do() {
    let mut fleet = Fleet::new(6);
    fleet.store.is_away = true;
    fleet.run_until(fleet.now + 4_500);
    fleet.store.remove(&name(0));
    fleet.store.is_away = false;
    fleet.run_until(fleet.now + 1_500);
    fleet.store.refused.insert(0);
    fleet.run_until(fleet.now + 4_000);
    let using = fleet.nodes.iter().filter(|node| node.knows(&name(0)));
    assert_eq!(using.count(), 0);
}

/// The caller is served by an endpoint that left, three seconds and more after the store is back. The endpoint leaves
/// right at the store's return. Each host keeps it for the time in which entries are written again, counted from its own
/// first answer, which comes a pause after the return, and drops it at its next look. The time counts from the
/// first answer of any host.
#[parameterized(
    hosts_of_6 = { 6 },
    hosts_of_81 = { 81 },
)]
fn what_left_at_the_stores_return_goes_before_the_fleet_is_stable(size: usize) {
    for outage_ms in (4_000..5_000).step_by(140) {
        let mut fleet = Fleet::new(size);
        fleet.store.is_away = true;
        fleet.run_until(fleet.now + outage_ms);
        fleet.store.is_away = false;
        let took = fleet.time_to_know_of_removal(&name(0), STABLE_MS);
        println!("{size} hosts, an outage of {outage_ms} ms: {took} ms");
    }
}
