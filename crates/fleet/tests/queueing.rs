//! Requests of accounts over their share while engines have no capacity left.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::verdict::Verdict;

use support::Host;
use support::engine_request;
use support::prompt;

const GREEDY: u64 = 1;
const MODEST: u64 = 2;
const ENGINE_COUNT: usize = 2;
/// Subjects that are tried until each engine has a prompt to read.
const SUBJECTS: u64 = 20;

/// Returns a host on which the greedy account is over its share and a prompt of the modest one is read by each engine.
fn busy_host() -> (Host, Vec<RequestId>) {
    let mut host = Host::new(1);
    for subject in 0..60 {
        let (id, _) = host.arrive(0, engine_request(0, GREEDY, prompt(subject, 1_000)));
        end(&mut host, 0, id);
    }
    let mut read = BTreeMap::new();
    for subject in 0..SUBJECTS {
        let (id, verdict) = host.arrive(0, engine_request(0, MODEST, prompt(subject, 9_000)));
        let Some(Verdict::Send(endpoint)) = verdict else {
            panic!("{verdict:?}");
        };
        if read.insert(endpoint.key, id).is_none() && read.len() == ENGINE_COUNT {
            break;
        }
    }
    let read = read.into_values().collect();
    // The greedy account requests more than it got, and the modest one more than runs for it.
    for subject in 0..40 {
        host.arrive(0, engine_request(0, GREEDY, prompt(subject, 1_000)));
    }
    for subject in 0..3 {
        let (id, _) = host.arrive(0, engine_request(0, MODEST, prompt(subject, 9_000)));
        host.send(0, DispatchEvent::Abandoned(id));
    }
    host.send(100, DispatchEvent::Tick);
    (host, read)
}

fn end(host: &mut Host, now: u64, id: RequestId) {
    host.send(now, DispatchEvent::FirstPiece(id));
    host.send(now, DispatchEvent::Completed(id));
}

fn on_other_route(arrival: Arrival) -> Arrival {
    let route = Route {
        name: Arc::from("chats"),
        ..Route::clone(&arrival.route)
    };
    Arrival {
        route: Arc::new(route),
        ..arrival
    }
}

/// Guards against prompts that are refused unseen because engines were full for those of another route.
#[test]
fn a_refusal_on_one_route_does_not_refuse_the_others() {
    let (mut host, read) = busy_host();
    let (_, verdict) = host.arrive(100, engine_request(100, GREEDY, prompt(5, 100)));
    assert!(
        matches!(verdict, Some(Verdict::Refuse { .. })),
        "{verdict:?}"
    );
    for id in read {
        end(&mut host, 101, id);
    }
    let (_, verdict) = host.arrive(102, engine_request(102, GREEDY, prompt(6, 100)));
    assert!(
        matches!(verdict, Some(Verdict::Refuse { .. })),
        "{verdict:?}"
    );
    let arrival = on_other_route(engine_request(102, GREEDY, prompt(6, 100)));
    let (_, verdict) = host.arrive(102, arrival);
    assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
}
