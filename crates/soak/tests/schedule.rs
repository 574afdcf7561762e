//! The faults of a run are planned as documented.

use std::time::Duration;

use sedgeridge_soak::schedule::Fault;
use sedgeridge_soak::schedule::Targets;
use sedgeridge_soak::schedule::plan_faults;

/// Guards against runs in which the store never comes back from an older copy, or only after the faults.
#[test]
fn the_store_comes_back_from_an_older_copy_twice_in_each_run() {
    let targets = Targets {
        routers: 4,
        endpoints: 6,
    };
    for end in [5, 12, 40].map(Duration::from_secs) {
        for seed in 0..200 {
            let planned = plan_faults(seed, targets, end);
            let count = |fault| planned.iter().filter(|it| it.fault == fault).count();
            assert_eq!(count(Fault::CopyStore), 2);
            assert_eq!(count(Fault::RestoreStore), 2);
            assert_eq!(count(Fault::WriteAgain), 2);
            assert!(planned.iter().all(|it| it.at + it.length <= end));
        }
    }
}

/// Guards against runs in which all endpoints have the same software version.
#[test]
fn releases_leave_two_versions_side_by_side() {
    let targets = Targets {
        routers: 4,
        endpoints: 6,
    };
    for seed in 0..200 {
        let planned = plan_faults(seed, targets, Duration::from_secs(12));
        let first_release = planned
            .iter()
            .filter(|it| matches!(it.fault, Fault::Upgrade(_, 1)));
        assert!(first_release.count() >= 2, "seed {seed}");
    }
}
