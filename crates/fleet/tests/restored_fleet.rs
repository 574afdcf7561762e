//! Tests for how a fleet learns that the platform's store came back from an older copy.

mod support;

use std::collections::BTreeSet;

use support::table_fleet::Fleet;
use support::table_fleet::STEP_MS;
use support::table_fleet::StoreTable;
use support::table_fleet::host_name;
use support::table_fleet::name;
use yare::parameterized;

/// Time for which the store is away before it comes back.
const AWAY_MS: u64 = 1_500;
/// Time within which every host must know of a removal, as without a loss.
const MAX_KNOWN_MS: u64 = 2_000;
/// Time in which writers write again what the store lost.
const REWRITE_MS: u64 = 2_000;
/// Time over which hosts spread the writes of their lost entries.
const REGISTRATION_SPREAD_MS: u64 = 5_000;
/// Rows that are written after the copy was taken, and lost.
const LOST_ROWS: usize = 30;

/// The fleet's store as of one moment.
struct Copies {
    endpoints: StoreTable,
    hosts: StoreTable,
}

impl Copies {
    fn of(fleet: &Fleet) -> Self {
        Self {
            endpoints: fleet.store.clone(),
            hosts: fleet.host_list.clone(),
        }
    }
}

/// Writes rows that the store loses. It is away for a moment and comes back from the copies.
fn lose_later_rows(fleet: &mut Fleet, copies: &Copies) {
    for row in 0..LOST_ROWS {
        fleet.store.write(&format!("lost-{row}"));
    }
    fleet.run_until(fleet.now + 1_000);
    fleet.store.is_unavailable = true;
    fleet.host_list.is_unavailable = true;
    fleet.run_until(fleet.now + AWAY_MS);
    fleet.store.restore(&copies.endpoints);
    fleet.host_list.restore(&copies.hosts);
    fleet.store.is_unavailable = false;
    fleet.host_list.is_unavailable = false;
}

/// Refuses every `nth` host at both tables.
fn refuse_every(fleet: &mut Fleet, nth: usize, first: usize) {
    let refused: BTreeSet<_> = (first..fleet.nodes.len()).step_by(nth).collect();
    fleet.store.refused = refused.clone();
    fleet.host_list.refused = refused;
}

fn serve_all(fleet: &mut Fleet) {
    fleet.store.refused.clear();
    fleet.host_list.refused.clear();
}

/// Guards against requests to an endpoint that left after the return, whose removal some hosts take for an old one.
#[parameterized(
    small_fleet = { 6 },
    hosts_that_copy = { 40 },
    large_fleet = { 150 },
)]
fn every_host_knows_of_a_removal_after_the_store_came_back(size: usize) {
    let mut fleet = Fleet::new(size);
    let copies = Copies::of(&fleet);
    lose_later_rows(&mut fleet, &copies);
    fleet.run_until(fleet.now + 1_000);
    fleet.time_to_know_of_removal(&name(3), MAX_KNOWN_MS);
}

/// Guards against hosts that stay in the era before the return because the store refuses them and the others know lower
/// numbers.
#[parameterized(
    small_fleet = { 6 },
    hosts_that_copy = { 40 },
    large_fleet = { 150 },
)]
fn hosts_that_the_store_refuses_learn_of_its_return(size: usize) {
    let mut fleet = Fleet::new(size);
    let copies = Copies::of(&fleet);
    refuse_every(&mut fleet, 3, 0);
    lose_later_rows(&mut fleet, &copies);
    fleet.run_until(fleet.now + 3_000);
    fleet.time_to_know_of_removal(&name(3), MAX_KNOWN_MS);
}

/// Guards against endpoints that are dropped although they write their entries again.
#[parameterized(
    small_fleet = { 6 },
    hosts_that_copy = { 40 },
    large_fleet = { 150 },
)]
fn no_host_drops_an_endpoint_that_writes_its_lost_entry_again(size: usize) {
    let mut fleet = Fleet::new(size);
    let copies = Copies::of(&fleet);
    fleet.store.write("late");
    fleet.run_until(fleet.now + 1_000);
    lose_later_rows(&mut fleet, &copies);
    let returned_at = fleet.now;
    while fleet.now < returned_at + 3 * REWRITE_MS {
        if fleet.now == returned_at + REWRITE_MS - 500 {
            fleet.store.write("late");
        }
        fleet.run_until(fleet.now + STEP_MS);
        let without = fleet.nodes.iter().filter(|node| !node.knows("late"));
        assert_eq!(
            without.count(),
            0,
            "{} ms after the return",
            fleet.now - returned_at
        );
    }
}

/// Guards against hosts of three eras at once: half of the hosts miss the first return, the other half the second one.
#[parameterized(
    small_fleet = { 6 },
    hosts_that_copy = { 40 },
    large_fleet = { 150 },
)]
fn hosts_of_different_eras_agree_after_a_second_return(size: usize) {
    let mut fleet = Fleet::new(size);
    let copies = Copies::of(&fleet);
    refuse_every(&mut fleet, 2, 0);
    fleet.cut_off = Some(0);
    lose_later_rows(&mut fleet, &copies);
    fleet.run_until(fleet.now + 500);
    refuse_every(&mut fleet, 2, 1);
    lose_later_rows(&mut fleet, &copies);
    fleet.cut_off = None;
    fleet.run_until(fleet.now + 500);
    serve_all(&mut fleet);
    fleet.run_until(fleet.now + 3_000);
    fleet.time_to_know_of_removal(&name(3), MAX_KNOWN_MS);
    fleet.run_until(fleet.now + 2 * REWRITE_MS);
    for (host, node) in fleet.nodes.iter().enumerate() {
        assert!(!node.knows("lost-0"), "host {host} keeps a lost entry");
        assert!(node.knows(&name(4)), "host {host} lacks an entry");
        let era = node.endpoints.watch.changed_version().era;
        assert_eq!(era, 2, "host {host}");
    }
}

/// Guards against hosts that divide and rank by a part of the host list while others write their lost entries again.
#[parameterized(
    small_fleet = { 6 },
    hosts_that_copy = { 40 },
    large_fleet = { 150 },
)]
fn the_host_list_stays_whole_while_lost_entries_are_written_again(size: usize) {
    let mut fleet = Fleet::new(size);
    let mut copies = Copies::of(&fleet);
    let lost: Vec<_> = (0..size).step_by(3).map(host_name).collect();
    for host in &lost {
        copies.hosts.remove(host);
    }
    let followers = fleet.followers();
    lose_later_rows(&mut fleet, &copies);
    let returned_at = fleet.now;
    let write_interval_ms = REGISTRATION_SPREAD_MS / lost.len() as u64;
    for (host, number) in lost.iter().zip(1..) {
        fleet.run_until(returned_at + number * write_interval_ms);
        fleet.host_list.write(host);
        let known: Vec<_> = fleet
            .nodes
            .iter()
            .map(|node| node.hosts.watch.rows().count())
            .collect();
        assert!(known.iter().all(|known| *known == size), "{known:?}");
    }
    fleet.run_until(returned_at + 2 * REGISTRATION_SPREAD_MS);
    for node in &fleet.nodes {
        assert!(lost.iter().all(|host| node.hosts.watch.is_listed(host)));
        assert_eq!(node.hosts.watch.lapsing_count(), 0);
    }
    assert_eq!(fleet.followers(), followers);
}
