//! Tests for the cost of learning a long list of endpoints.

mod support;

use std::time::Duration;
use std::time::Instant;

use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::EndpointTable;
use sedgeridge_state::ids::ServiceId;

use support::ENGINES;
use support::Host;
use support::PLAIN;
use support::config;
use support::endpoint;

const FEW: usize = 500;
const MANY: usize = 8_000;
/// Factor by which a proportional cost may be exceeded, for caches and a busy machine.
const MAX_FACTOR: f64 = 3.0;
const REPETITIONS: usize = 3;

fn list(endpoints: usize) {
    let mut host = Host::new(1);
    host.send(0, DispatchEvent::Configured(config()));
    for number in 0..endpoints {
        let endpoint = endpoint(ENGINES, &format!("engine-{number:05}"));
        host.send(0, DispatchEvent::EndpointListed(endpoint));
    }
}

/// Returns the time in which hosts with `endpoints` endpoints each list `MANY` endpoints. Both
/// lengths then take about the same time, and a busy machine slows them alike.
fn time_to_list(endpoints: usize) -> Duration {
    let started = Instant::now();
    for _ in 0..MANY / endpoints {
        list(endpoints);
    }
    started.elapsed()
}

/// Guards against a long time without answers after all hosts of a large fleet were killed. Each
/// starting host reads the whole list of endpoints. If each entry takes a look at all others, a
/// small host is busy for seconds, answers no request, and its own calls time out.
#[test]
fn a_list_takes_time_in_proportion_to_its_length() {
    let fastest = |endpoints| (0..REPETITIONS).map(|_| time_to_list(endpoints)).min();
    let few = fastest(FEW).expect("repetitions");
    let many = fastest(MANY).expect("repetitions");
    let times = many.as_secs_f64() / few.as_secs_f64();
    println!("{FEW} endpoints a host {few:?}, {MANY} a host {many:?}: {times:.1} times");
    assert!(times < MAX_FACTOR, "{times:.1} times");
}

/// The table must know for each service which endpoints take work, in order of their ids, and how
/// many there are, however entries are added, changed and removed.
#[test]
fn services_list_their_endpoints_through_changes() {
    let mut table = EndpointTable::default();
    let names = |table: &EndpointTable, service: &str| -> Vec<String> {
        let usable = table.usable(&ServiceId::from(service));
        usable.iter().map(|it| it.id.to_string()).collect()
    };
    for name in ["c", "a", "b"] {
        table.put(endpoint(ENGINES, name));
    }
    assert_eq!(names(&table, ENGINES), ["a", "b", "c"]);

    // Draining.
    let mut leaving = endpoint(ENGINES, "b");
    leaving.is_leaving = true;
    table.put(leaving);
    assert_eq!(names(&table, ENGINES), ["a", "c"]);
    assert_eq!(table.count(&ServiceId::from(ENGINES)), 3);

    // Another service uses the address again under the same id.
    table.put(endpoint(PLAIN, "c"));
    assert_eq!(names(&table, ENGINES), ["a"]);
    assert_eq!(names(&table, PLAIN), ["c"]);
    assert_eq!(table.count(&ServiceId::from(ENGINES)), 2);

    table.remove(&"b".into());
    table.remove(&"a".into());
    assert!(names(&table, ENGINES).is_empty());
    assert_eq!(table.count(&ServiceId::from(ENGINES)), 0);
    assert_eq!(table.count(&ServiceId::from(PLAIN)), 1);
}
