//! Tests for the requests of plain services on one host: which endpoint gets them, and when they are refused.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_load::Load;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::peer_report::Scope;
use sedgeridge_fleet::reported_load::ReportedLoad;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_fleet::verdict::Verdict;

use support::Host;
use support::PLAIN;
use support::at;
use support::endpoint;
use support::plain_request;

const ANSWER_MS: u64 = 20;
const REQUESTS: u64 = 200;

fn other_host_reports(host: &mut Host, now: u64, requests: &[(&str, u32)]) {
    let listed = [1, 2].map(|host| ListedHost {
        host,
        data_centre: 1,
    });
    host.send(now, DispatchEvent::HostsListed(listed.to_vec()));
    let load = |requests| Load {
        requests,
        ..Load::default()
    };
    let loads = requests.iter();
    let loads = loads.map(|(name, count)| (endpoint(PLAIN, name).key, load(*count)));
    let report = PeerReport {
        host: 2,
        run: 1,
        number: now + 1,
        scope: Scope::Own,
        data_centre: 1,
        loads: loads.collect(),
        ..PeerReport::default()
    };
    host.send(now, DispatchEvent::Reported(report));
}

/// Sends requests one after another to endpoints that fail or answer; returns how many each got.
fn requests_by_endpoint(host: &mut Host, fails: impl Fn(&str) -> bool) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for number in 0..REQUESTS {
        let now = number * 50;
        let (id, verdict) = host.arrive(now, plain_request(now, Repeat::AtMostOnce));
        let Some(Verdict::Send(endpoint)) = verdict else {
            panic!("not sent: {verdict:?}");
        };
        let name = endpoint.id.as_str().to_string();
        let event = match fails(&name) {
            true => DispatchEvent::AttemptFailed(id, Failure::ServerError),
            false => DispatchEvent::Completed(id),
        };
        host.send(now + ANSWER_MS, event);
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Guards against an endpoint that errs on all requests and still gets its part of them.
#[test]
fn an_endpoint_that_errs_gets_few_requests() {
    let got = requests_by_endpoint(&mut Host::new(1), |name| name == "booking-1");
    let erring = got.get("booking-1").copied().unwrap_or_default();
    assert!(erring <= REQUESTS / 10, "{got:?}");
}

/// Guards against a host that avoids endpoints when all of them err, which is then no fault of one.
#[test]
fn no_request_waits_when_all_endpoints_err() {
    let got = requests_by_endpoint(&mut Host::new(1), |_| true);
    assert_eq!(got.len(), 2, "{got:?}");
    assert!(got.values().all(|count| *count >= REQUESTS / 4), "{got:?}");
}

/// Guards against the last results of an endpoint's earlier run that keep requests from its next one.
#[test]
fn an_endpoint_that_erred_gets_requests_after_its_restart() {
    let mut host = Host::new(1);
    requests_by_endpoint(&mut host, |name| name == "booking-1");
    let old_run = Arc::new(endpoint(PLAIN, "booking-1"));
    let now = REQUESTS * 50;
    host.send(now, DispatchEvent::EndpointGone(old_run));
    let id = endpoint(PLAIN, "booking-1").id;
    let new_run = Endpoint {
        key: Endpoint::key_of(&id, Some(1)),
        started_at_ms: Some(1),
        ..endpoint(PLAIN, "booking-1")
    };
    host.send(now, DispatchEvent::EndpointListed(new_run));
    let other = [("booking-2", 3)];
    other_host_reports(&mut host, now, &other);
    let (_, verdict) = host.arrive(now, plain_request(now, Repeat::AtMostOnce));
    match verdict {
        Some(Verdict::Send(endpoint)) => assert_eq!(endpoint.id.as_str(), "booking-1"),
        other => panic!("not sent: {other:?}"),
    }
}

/// Guards against all requests of a host going to the endpoint that seemed idle in the last report.
#[test]
fn requests_are_spread_while_other_hosts_requests_are_unknown() {
    let mut host = Host::new(1);
    other_host_reports(&mut host, 0, &[("booking-1", 4), ("booking-2", 3)]);
    let mut counts = BTreeMap::new();
    for number in 0..REQUESTS {
        let (id, verdict) = host.arrive(1, plain_request(1, Repeat::AtMostOnce));
        let Some(Verdict::Send(endpoint)) = verdict else {
            panic!("request {number} not sent: {verdict:?}");
        };
        host.send(1, DispatchEvent::Abandoned(id));
        let count: &mut u64 = counts.entry(endpoint.id.as_str().to_string()).or_default();
        *count += 1;
    }
    assert!(
        counts.values().all(|count| *count > REQUESTS / 4),
        "{counts:?}"
    );
    assert!(counts["booking-2"] > counts["booking-1"], "{counts:?}");
}

/// Guards against callers that are told to come back when they can only be late.
#[test]
fn a_refused_caller_is_told_to_retry_within_its_latency_target() {
    let mut host = Host::new(1);
    other_host_reports(&mut host, 0, &[("booking-1", 90), ("booking-2", 90)]);
    let (id, verdict) = host.arrive(0, plain_request(0, Repeat::AtMostOnce));
    assert_eq!(verdict, None);
    match host.wait(0, id) {
        Some((
            refused_ms,
            Verdict::Refuse {
                reason,
                retry_after,
                ..
            },
        )) => {
            assert_eq!(reason, RefusalReason::Overload);
            assert!(at(refused_ms) + retry_after <= at(150), "{retry_after:?}");
        }
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against a host that waits or refuses because an endpoint states an absurd load.
#[test]
fn an_endpoint_that_overstates_its_load_still_gets_requests() {
    let mut host = Host::new(1);
    for name in ["booking-1", "booking-2"] {
        let load = ReportedLoad {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: 0,
            work_percent: Some(u32::MAX),
        };
        let stated = Arc::new(endpoint(PLAIN, name));
        host.send(0, DispatchEvent::LoadReported(stated, load));
    }
    let (_, verdict) = host.arrive(1, plain_request(1, Repeat::AtMostOnce));
    assert!(matches!(verdict, Some(Verdict::Send(_))), "{verdict:?}");
}
