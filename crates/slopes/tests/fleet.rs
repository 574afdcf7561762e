//! The simulated fleet: it is deterministic, serves requests and detects failures.

use std::time::Duration;

use sedgeridge_slopes::design;
use sedgeridge_slopes::design::FleetSize;
use sedgeridge_slopes::fleet::Fleet;

const NODES: usize = 8;
const SEED: u64 = 7;
const JOIN_TIME: Duration = Duration::from_secs(5);

fn joined(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(FleetSize::for_nodes(NODES), seed);
    fleet.run_for(JOIN_TIME);
    assert!(fleet.is_membership_agreed(), "all hosts started together");
    fleet
}

fn loaded(seed: u64) -> Fleet {
    let mut fleet = joined(seed);
    fleet.start_callers();
    fleet.run_for(Duration::from_secs(14));
    fleet
}

#[test]
fn the_same_seed_sends_the_same_messages() {
    let sent = [SEED, SEED, SEED + 1].map(|seed| loaded(seed).sent());
    assert_eq!(sent[0], sent[1]);
    assert_ne!(sent[0], sent[2]);
}

#[test]
fn requests_fill_the_slots_and_end() {
    let mut fleet = loaded(SEED);
    fleet.run_for(Duration::from_secs(10));
    let counts = fleet.callers.counts;
    assert!(counts.ended > 0 && counts.refused == 0, "{counts:?}");
    let slots = FleetSize::for_nodes(NODES).endpoints as u64 * u64::from(design::SLOTS_PER_ENGINE);
    let running = fleet.requests_running();
    assert!(running <= slots, "{running} of {slots}");
    assert!(running * 10 > slots * 8, "{running} of {slots}");
}

/// Kills the home of a pool: the other hosts detect it as dead, and another host becomes the home
/// and grants again. After a restart with empty state, every host lists the killed host again.
#[test]
fn a_killed_home_is_replaced_and_comes_back() {
    let mut fleet = loaded(SEED);
    let pool = design::pool_id(0);
    let home = fleet.home_of(&pool).expect("a pool has a home");
    fleet.kill(&[home]);
    fleet.run_until_agreed(Duration::from_secs(30));
    assert!(fleet.is_membership_agreed());
    let next = fleet.home_of(&pool).expect("a pool has a home again");
    assert_ne!(next, home);
    let before = fleet.grants()[&pool];
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.grants()[&pool] > before, "the new home grants");
    fleet.restart(&[home]);
    fleet.run_until_agreed(Duration::from_secs(30));
    assert!(fleet.is_membership_agreed());
}

/// Partitions the fleet: each side detects the other as dead, and after the partition ends all
/// hosts agree on the members again.
#[test]
fn regions_part_and_meet_again() {
    let mut fleet = joined(SEED);
    fleet.isolate(&[1, 3, 5]);
    assert!(!fleet.is_membership_agreed());
    fleet.run_until_agreed(Duration::from_secs(60));
    assert!(fleet.is_membership_agreed());
    fleet.heal_partition();
    fleet.run_until_agreed(Duration::from_secs(60));
    assert!(fleet.is_membership_agreed());
}
