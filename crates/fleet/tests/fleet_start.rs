//! How the hosts of a large fleet come to know a table when they start.

mod support;

use support::table_fleet::ENDPOINTS;
use support::table_fleet::Fleet;
use support::table_fleet::name;

const HOSTS: usize = 300;
/// Hosts that read the table from the store: those that follow it, and as many whose reports were lost.
const MOST_LISTS: usize = 12;
/// A sixth of the shortest time in which a fleet has to serve again after all were killed.
const KNOWN_WITHIN_MS: u64 = 2_000;

/// The store's calls are bounded a second and paid for, and a long table of it moves a megabyte to each host. All hosts
/// of a large fleet start together, each reads the whole table, and the fleet's start takes as many calls as
/// half a day. The hosts that follow the store have the table at once, and the others can copy it.
#[test]
fn hosts_that_start_together_copy_the_table_from_those_that_follow_the_store() {
    let mut fleet = Fleet::starting(HOSTS);
    while fleet.nodes.iter().any(|node| !node.watch.is_known()) {
        assert!(fleet.now < KNOWN_WITHIN_MS);
        fleet.run_until(fleet.now + 10);
    }
    println!("{} lists, {} ms", fleet.store.lists, fleet.now);
    for node in &fleet.nodes {
        assert!((0..ENDPOINTS).all(|endpoint| node.knows(&name(endpoint))));
    }
    assert!(fleet.store.lists <= MOST_LISTS, "{}", fleet.store.lists);
}

/// The hosts that are to follow the store are refused by it, and know nothing that others could copy. These must
/// ask the store themselves before long.
#[test]
fn hosts_that_can_copy_from_nobody_read_the_table_themselves() {
    let mut fleet = Fleet::starting(HOSTS);
    fleet.run_until(10);
    let followers = (0..HOSTS).filter(|host| fleet.is_following(*host));
    let followers: Vec<_> = followers.collect();
    fleet.store.refused.extend(&followers);
    fleet.run_until(KNOWN_WITHIN_MS);
    let known = fleet.nodes.iter().filter(|node| node.watch.is_known());
    assert_eq!(known.count(), HOSTS);
}
