//! Loads that endpoints state in their answers.

use std::time::Duration;

use sedgeridge_fleet::reported_load::ReportedLoad;
use sedgeridge_fleet::reported_load::ReportedLoads;

const ENDPOINT: u64 = 7;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn load(work_percent: Option<u32>) -> ReportedLoad {
    ReportedLoad {
        running: 3,
        waiting: 2,
        slots: 8,
        work_percent,
    }
}

/// Guards against an endpoint that is avoided long after its slow spell.
#[test]
fn a_stated_load_is_believed_for_a_moment_only() {
    let mut loads = ReportedLoads::default();
    loads.note(at(1_000), ENDPOINT, load(Some(250)));
    assert_eq!(loads.slowdown(at(1_030), ENDPOINT), 2.5);
    assert_eq!(loads.requests(at(1_030), ENDPOINT), Some(5));
    assert_eq!(loads.slowdown(at(1_100), ENDPOINT), 1.0);
    assert_eq!(loads.requests(at(1_100), ENDPOINT), None);
}

/// Guards against an endpoint that is avoided because of, or draws all requests by, a false figure.
#[test]
fn a_false_figure_is_bounded() {
    let mut loads = ReportedLoads::default();
    for (stated, believed) in [
        (None, 1.0),
        (Some(0), 1.0),
        (Some(50), 1.0),
        (Some(u32::MAX), 10.0),
    ] {
        loads.note(at(0), ENDPOINT, load(stated));
        assert_eq!(loads.slowdown(at(0), ENDPOINT), believed, "{stated:?}");
    }
    let huge = ReportedLoad {
        running: u32::MAX,
        waiting: u32::MAX,
        ..load(None)
    };
    loads.note(at(0), ENDPOINT, huge);
    assert_eq!(loads.requests(at(0), ENDPOINT), Some(u32::MAX));
}

/// Guards against a later run that is judged by the load of an earlier one.
#[test]
fn the_load_of_a_run_that_ended_is_forgotten() {
    let mut loads = ReportedLoads::default();
    loads.note(at(0), ENDPOINT, load(Some(250)));
    loads.forget(ENDPOINT);
    assert_eq!(loads.slowdown(at(0), ENDPOINT), 1.0);
}
