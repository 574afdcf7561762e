//! What it costs a host to learn a long list of endpoints.

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
/// Times that a proportional cost may be exceeded, for caches and a busy machine.
const MOST_TIMES: f64 = 3.0;
const TRIES: usize = 3;

fn list(endpoints: usize) {
    let mut host = Host::new(1);
    host.send(0, DispatchEvent::Configured(config()));
    for number in 0..endpoints {
        let endpoint = endpoint(ENGINES, &format!("engine-{number:05}"));
        host.send(0, DispatchEvent::EndpointListed(endpoint));
    }
}

/// Returns the time in which `MANY` endpoints are listed, by hosts that know `endpoints` each. Both
/// lengths then take about as long, and a busy machine slows them alike.
fn time_to_list(endpoints: usize) -> Duration {
    let begun = Instant::now();
    for _ in 0..MANY / endpoints {
        list(endpoints);
    }
    begun.elapsed()
}

/// Callers get no answer for a long time after all hosts of a large fleet were killed. Each host that starts reads the
/// whole list of endpoints; when each entry costs a look at all the others, a small host is busy with the list
/// for seconds, answers nobody meanwhile, and its own calls run out of time.
#[test]
fn a_list_takes_time_in_proportion_to_its_length() {
    let fastest = |endpoints| (0..TRIES).map(|_| time_to_list(endpoints)).min();
    let few = fastest(FEW).expect("tries");
    let many = fastest(MANY).expect("tries");
    let times = many.as_secs_f64() / few.as_secs_f64();
    println!("{FEW} endpoints a host {few:?}, {MANY} a host {many:?}: {times:.1} times");
    assert!(times < MOST_TIMES, "{times:.1} times");
}

/// However entries come, change and go, the table knows by service which take work, in order of their ids, and
/// how many there are.
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

    // It drains.
    let mut leaving = endpoint(ENGINES, "b");
    leaving.is_leaving = true;
    table.put(leaving);
    assert_eq!(names(&table, ENGINES), ["a", "c"]);
    assert_eq!(table.count(&ServiceId::from(ENGINES)), 3);

    // An address is used again by another service under the same id.
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
