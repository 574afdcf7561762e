//! Tests for endpoints that restart under the same id.

mod support;

use std::sync::Arc;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::endpoint_table::EndpointTable;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::Verdict;
use sedgeridge_state::ids::ServiceId;

use support::ENGINES;
use support::Host;
use support::PLAIN;
use support::endpoint;
use support::engine_request;
use support::plain_request;
use support::prompt;

fn run(service: &str, name: &str, started_at_ms: Option<u64>) -> Endpoint {
    let first = endpoint(service, name);
    Endpoint {
        key: Endpoint::key_of(&first.id, started_at_ms),
        started_at_ms,
        ..first
    }
}

fn host_with_only(service: &str, name: &str, started_at_ms: Option<u64>) -> Host {
    let mut host = Host::new(1);
    for known in ["desk-1", "desk-2", "booking-1", "booking-2"] {
        let kind = match known.starts_with("desk") {
            true => ENGINES,
            false => PLAIN,
        };
        let gone = Arc::new(endpoint(kind, known));
        host.send(0, DispatchEvent::EndpointGone(gone));
    }
    let listed = run(service, name, started_at_ms);
    host.send(0, DispatchEvent::EndpointListed(listed));
    host
}

/// Guards against a restarted endpoint that gets no requests because its earlier run announced that
/// it leaves. The new run has the same id and a later start.
#[test]
fn a_restart_under_the_same_id_takes_requests_again() {
    let mut host = host_with_only(PLAIN, "booking-1", Some(1_000));
    let mut leaving = run(PLAIN, "booking-1", Some(1_000));
    leaving.is_leaving = true;
    host.send(10, DispatchEvent::EndpointListed(leaving));
    let restarted = run(PLAIN, "booking-1", Some(2_000));
    host.send(20, DispatchEvent::EndpointListed(restarted));
    let (_, verdict) = host.arrive(30, plain_request(30, Repeat::Idempotent));
    assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
}

/// Guards against requests to a run that is over. An entry of the earlier run, written before the
/// restart, arrives after that of the later run, from the store or from another host.
#[test]
fn a_late_entry_of_an_earlier_run_changes_nothing() {
    let mut table = EndpointTable::default();
    table.put(run(PLAIN, "booking-1", Some(2_000)));
    for started_at_ms in [Some(1_000), None] {
        let mut late = run(PLAIN, "booking-1", started_at_ms);
        late.is_leaving = true;
        assert_eq!(table.put(late), None);
    }
    let usable = table.usable(&ServiceId::from(PLAIN));
    assert_eq!(usable[0].started_at_ms, Some(2_000));
}

/// Guards against a restarted endpoint that is dropped because of a late answer to the earlier
/// run's request: the answer says that the run is gone.
#[test]
fn a_failure_of_an_earlier_run_does_not_remove_the_later_one() {
    let mut host = host_with_only(PLAIN, "booking-1", Some(1_000));
    let (id, verdict) = host.arrive(0, plain_request(0, Repeat::Idempotent));
    assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
    let restarted = run(PLAIN, "booking-1", Some(2_000));
    host.send(10, DispatchEvent::EndpointListed(restarted));
    host.send(20, DispatchEvent::AttemptFailed(id, Failure::Misdirected));
    let (_, verdict) = host.arrive(30, plain_request(30, Repeat::Idempotent));
    assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
}

/// Guards against treating a restarted engine like its earlier run. Its cache is empty, and work
/// sent to the earlier run is not part of its backlog.
#[test]
fn a_restarted_engine_has_nothing_cached_and_nothing_in_progress() {
    let mut host = host_with_only(ENGINES, "desk-1", Some(1_000));
    host.arrive(0, engine_request(0, 1, prompt(7, 100)));
    let before = run(ENGINES, "desk-1", Some(1_000));
    let after = run(ENGINES, "desk-1", Some(2_000));
    assert_eq!(host.dispatcher.endpoint_load(before.key).requests, 1);
    host.send(10, DispatchEvent::EndpointListed(after.clone()));
    assert!(host.dispatcher.endpoint_load(after.key).is_idle());
}

/// Guards against a request that crashes every engine and is not stopped because one engine keeps
/// its id. Each crash must count as one of another run.
#[test]
fn crashes_of_two_runs_have_two_names() {
    let before = run(ENGINES, "desk-1", Some(1_000));
    let after = run(ENGINES, "desk-1", Some(2_000));
    assert_ne!(before.run_name(), after.run_name());
}

fn serves(host: &mut Host, now_ms: u64) -> bool {
    let (_, verdict) = host.arrive(now_ms, plain_request(now_ms, Repeat::Idempotent));
    matches!(verdict, Some(Verdict::Send(_)))
}

/// Guards against requests to a leaving endpoint whose entry lapsed and came back in its earlier
/// state.
#[test]
fn a_leaving_run_stays_out_of_use_when_it_is_listed_again() {
    let mut host = host_with_only(PLAIN, "booking-1", Some(1_000));
    assert!(serves(&mut host, 0));
    let left = Arc::new(run(PLAIN, "booking-1", Some(1_000)));
    host.send(10, DispatchEvent::EndpointLeaving(left.clone()));
    assert!(!serves(&mut host, 20));
    host.send(30, DispatchEvent::EndpointListed(Endpoint::clone(&left)));
    assert!(!serves(&mut host, 40));
    host.send(50, DispatchEvent::EndpointGone(left.clone()));
    host.send(60, DispatchEvent::EndpointListed(Endpoint::clone(&left)));
    assert!(!serves(&mut host, 70));
    let restarted = run(PLAIN, "booking-1", Some(2_000));
    host.send(80, DispatchEvent::EndpointListed(restarted));
    assert!(serves(&mut host, 90));
}

/// Guards against an answer of an earlier run that takes its successor out of use.
#[test]
fn a_departure_of_an_earlier_run_does_not_affect_a_later_one() {
    let mut host = host_with_only(PLAIN, "booking-1", Some(2_000));
    let earlier = Arc::new(run(PLAIN, "booking-1", Some(1_000)));
    host.send(10, DispatchEvent::EndpointLeaving(earlier));
    assert!(serves(&mut host, 20));
}
