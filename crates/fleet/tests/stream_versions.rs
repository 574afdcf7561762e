//! Placement of streams that go on while endpoints of several software versions serve.

mod support;

use std::sync::Arc;

use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::stream_origin::StreamOrigin;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_fleet::verdict::Verdict;
use sedgeridge_state::ids::ServiceId;

use support::ENGINES;
use support::Host;
use support::PLAIN;
use support::at;
use support::endpoint;
use support::engine_request;
use support::prompt;
use support::verdict_of;

fn engine(name: &str, software_version: &str) -> Endpoint {
    Endpoint {
        software_version: Arc::from(software_version),
        ..endpoint(ENGINES, name)
    }
}

/// Returns a host with engines of some names and versions instead of the usual ones.
fn host_with(engines: &[(&str, &str)]) -> Host {
    let mut host = Host::new(1);
    for name in ["desk-1", "desk-2"] {
        let usual = Arc::new(endpoint(ENGINES, name));
        host.send(0, DispatchEvent::EndpointGone(usual));
    }
    for (name, version) in engines {
        host.send(0, DispatchEvent::EndpointListed(engine(name, version)));
    }
    host
}

fn request() -> Arrival {
    let mut arrival = engine_request(0, 1, prompt(7, 100));
    Arc::make_mut(&mut arrival.route).max_attempts = 8;
    arrival
}

fn resumed(origin: StreamOrigin) -> Arrival {
    Arrival {
        origin: Some(origin),
        ..request()
    }
}

#[track_caller]
fn version_of(verdict: Option<Verdict>) -> Arc<str> {
    match verdict {
        Some(Verdict::Send(endpoint)) => endpoint.software_version.clone(),
        other => panic!("expected a send, got {other:?}"),
    }
}

fn is_sent_to(verdict: &Option<Verdict>, endpoint: &str) -> bool {
    matches!(verdict, Some(Verdict::Send(sent)) if sent.id.as_str() == endpoint)
}

fn break_off(host: &mut Host, now: u64, id: RequestId) -> Option<Verdict> {
    let failed = DispatchEvent::AttemptFailed(id, Failure::ConnectionLost);
    verdict_of(id, host.send(now, failed))
}

/// Guards against an answer that holds events of two software versions.
#[test]
fn a_stream_that_breaks_off_goes_on_at_its_version_or_ends() {
    let engines = [("a", "v1"), ("b", "v2"), ("c", "v1"), ("d", "v2")];
    let mut host = host_with(&engines);
    let (id, verdict) = host.arrive(0, request());
    let first = version_of(verdict);
    host.send(10, DispatchEvent::StreamBegan(id));
    assert_eq!(version_of(break_off(&mut host, 20, id)), first);
    let verdict = break_off(&mut host, 30, id);
    assert_eq!(verdict, Some(Verdict::Fail(Failure::ConnectionLost)));
}

/// Guards against a request that is given up although no endpoint has begun its stream.
#[test]
fn a_request_whose_stream_has_not_begun_may_go_to_another_version() {
    let mut host = host_with(&[("a", "v1"), ("b", "v2")]);
    let (id, verdict) = host.arrive(0, request());
    let first = version_of(verdict);
    assert_ne!(version_of(break_off(&mut host, 20, id)), first);
}

/// Guards against a resumed stream that goes on at another software version than the one that began it.
#[test]
fn a_resumed_stream_goes_to_endpoints_of_its_version_only() {
    let engines = ["a", "b", "c", "d", "e", "f"].map(|name| (name, "v2"));
    let mut host = host_with(&engines);
    host.send(0, DispatchEvent::EndpointListed(engine("g", "v1")));
    for _ in 0..4 {
        let (_, verdict) = host.arrive(0, resumed(StreamOrigin::of(&engine("g", "v1"))));
        assert_eq!(&*version_of(verdict), "v1");
    }
}

/// Guards against a resumed stream that waits for an endpoint that will not come.
#[test]
fn a_resumed_stream_whose_version_is_gone_is_refused_at_once() {
    let mut host = host_with(&[("a", "v1"), ("b", "v2")]);
    let gone = engine("a", "v1");
    host.send(5, DispatchEvent::EndpointLeaving(Arc::new(gone.clone())));
    match host.arrive(10, resumed(StreamOrigin::of(&gone))).1 {
        Some(Verdict::Refuse { reason, .. }) => assert_eq!(reason, RefusalReason::VersionGone),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against a stream that goes on at another service, whose versions may have the same names.
#[test]
fn a_stream_does_not_go_on_at_the_same_version_of_another_service() {
    let mut host = host_with(&[("a", "v1")]);
    let other_service = StreamOrigin::of(&endpoint(PLAIN, "booking-1"));
    let (_, verdict) = host.arrive(0, resumed(other_service));
    assert!(
        matches!(verdict, Some(Verdict::Refuse { .. })),
        "{verdict:?}"
    );
}

/// Guards against a caller that waits for the rest of its stream and is refused for the share of its account, or because
/// engines have prompts to read, while new streams of others begin.
#[test]
fn a_resumed_stream_goes_on_beside_a_backlog() {
    let mut host = host_with(&[("a", "v1")]);
    let new = || engine_request(0, 2, prompt(8, 20_000));
    host.arrive(0, new());
    let (_, second) = host.arrive(0, new());
    assert!(
        !matches!(second, Some(Verdict::Send(_))),
        "a new stream is kept back"
    );
    let (_, verdict) = host.arrive(0, resumed(StreamOrigin::of(&engine("a", "v1"))));
    assert_eq!(&*version_of(verdict), "v1");
}

/// Guards against a stream of an unnamed attempt that goes on while it may have begun at either of two versions.
#[test]
fn a_service_has_a_sole_origin_only_while_one_version_was_known_lately() {
    let service = ServiceId::from(ENGINES);
    let mut host = host_with(&[("a", "v1"), ("b", "v1")]);
    host.dispatcher.mark_first_start();
    let sole_origin = |host: &Host, at_ms| host.dispatcher.sole_origin(at(at_ms), &service);
    let first = StreamOrigin::of(&engine("a", "v1"));
    assert_eq!(sole_origin(&host, 0), Some(first));

    host.send(1_000, DispatchEvent::EndpointListed(engine("c", "v2")));
    assert_eq!(sole_origin(&host, 1_000), None);

    for name in ["a", "b"] {
        let gone = Arc::new(engine(name, "v1"));
        host.send(2_000, DispatchEvent::EndpointGone(gone));
    }
    host.send(10_000, DispatchEvent::Tick);
    assert_eq!(sole_origin(&host, 10_000), None);

    host.send(70_000, DispatchEvent::Tick);
    let second = StreamOrigin::of(&engine("c", "v2"));
    assert_eq!(sole_origin(&host, 70_000), Some(second));
}

/// Guards against a host that has started later than a stream and takes the only version that it knows for the stream's.
#[test]
fn a_host_that_starts_again_knows_no_sole_origin_until_all_older_streams_have_ended() {
    let service = ServiceId::from(ENGINES);
    let host = host_with(&[("a", "v1")]);
    let first = StreamOrigin::of(&engine("a", "v1"));
    for (at_ms, expected) in [(0, None), (59_999, None), (60_000, Some(first))] {
        assert_eq!(
            host.dispatcher.sole_origin(at(at_ms), &service),
            expected,
            "{at_ms}"
        );
    }
}

/// Guards against a host without the store at the first start of the fleet, which learns of a later version only.
#[test]
fn a_host_that_learns_late_of_a_service_knows_no_sole_origin() {
    let service = ServiceId::from(ENGINES);
    let mut host = Host::new(1);
    host.dispatcher.mark_first_start();
    for name in ["desk-1", "desk-2"] {
        let usual = Arc::new(endpoint(ENGINES, name));
        host.send(0, DispatchEvent::EndpointGone(usual));
    }
    host.send(70_000, DispatchEvent::Tick);
    host.send(70_000, DispatchEvent::EndpointListed(engine("c", "v2")));
    assert_eq!(host.dispatcher.sole_origin(at(70_000), &service), None);
}

/// Guards against a run that restarts at another version under its id and counts as two endpoints, or as none.
#[test]
fn a_restart_under_the_same_id_changes_the_version_of_its_endpoint() {
    let service = ServiceId::from(ENGINES);
    let mut host = host_with(&[]);
    for (started_at_ms, version) in [(1, "v1"), (2, "v2")] {
        let run = engine("a", version);
        let run = Endpoint {
            key: Endpoint::key_of(&run.id, Some(started_at_ms)),
            started_at_ms: Some(started_at_ms),
            ..run
        };
        host.send(0, DispatchEvent::EndpointListed(run));
    }
    let endpoints = host.dispatcher.endpoints();
    assert!(
        endpoints
            .with_origin(StreamOrigin::of(&engine("a", "v1")))
            .is_empty()
    );
    let second = StreamOrigin::of(&engine("a", "v2"));
    assert_eq!(endpoints.with_origin(second).len(), 1);
    host.send(at(70_000).as_millis() as u64, DispatchEvent::Tick);
    assert_eq!(
        host.dispatcher.sole_origin(at(70_000), &service),
        Some(second)
    );
}

/// Guards against a stream that ends because its endpoint breaks off while all others of its version are full for a moment.
#[test]
fn a_broken_stream_waits_a_moment_for_an_endpoint_of_its_version() {
    let mut host = host_with(&[("a", "v1")]);
    let (id, verdict) = host.arrive(0, request());
    assert_eq!(&*version_of(verdict), "v1");
    host.send(10, DispatchEvent::StreamBegan(id));
    host.send(10, DispatchEvent::EndpointListed(engine("b", "v1")));
    let origin = StreamOrigin::of(&engine("b", "v1"));
    // Fills both endpoints.
    let others = [(); 7].map(|()| host.arrive(20, resumed(origin)));
    let at_the_other = others.iter().find(|(_, verdict)| is_sent_to(verdict, "b"));
    let (at_the_other, _) = at_the_other.expect("the other endpoint takes some");
    assert_eq!(break_off(&mut host, 1_000, id), None, "the stream waits");
    host.send(1_040, DispatchEvent::Completed(*at_the_other));
    let (_, verdict) = host.wait(1_040, id).expect("the stream goes on or ends");
    assert_eq!(&*version_of(Some(verdict)), "v1");
}
