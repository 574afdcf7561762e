//! Tests for how the hosts of a large fleet spread their requests over plain endpoints.

mod support;

use std::collections::BTreeMap;

use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::verdict::Verdict;

use support::Host;
use support::PLAIN;
use support::endpoint;
use support::plain_request;

const HOST_COUNT: u64 = 400;
const ENDPOINT_COUNT: usize = 60;
/// Requests of each host, which end before the next one arrives.
const REQUESTS_PER_HOST: u64 = 3;
const ANSWER_MS: u64 = 15;

fn requests_by_endpoint() -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for number in 0..HOST_COUNT {
        let mut host = Host::new(stable_hash(&number.to_string()));
        for name in 0..ENDPOINT_COUNT {
            let listed = endpoint(PLAIN, &format!("booking-{name}"));
            host.send(0, DispatchEvent::EndpointListed(listed));
        }
        for request in 0..REQUESTS_PER_HOST {
            let now = request * 1_000;
            let arrival = plain_request(now, Repeat::Idempotent);
            let (id, verdict) = host.arrive(now, arrival);
            let Some(Verdict::Send(endpoint)) = verdict else {
                panic!("not sent: {verdict:?}");
            };
            *counts.entry(endpoint.key).or_default() += 1;
            host.send(now + ANSWER_MS, DispatchEvent::Completed(id));
        }
    }
    counts
}

/// Guards against hosts that all choose the same of many equal endpoints, since each sees the others' work late: one gets
/// a multiple of the mean, and most get nothing.
#[test]
fn equal_endpoints_get_about_as_many_requests() {
    let counts = requests_by_endpoint();
    let total: usize = counts.values().sum();
    let mean = total / ENDPOINT_COUNT;
    let busiest = counts.values().max().copied().unwrap_or_default();
    assert!(
        counts.len() >= ENDPOINT_COUNT * 9 / 10,
        "{} of {ENDPOINT_COUNT} endpoints are used",
        counts.len()
    );
    assert!(busiest <= 3 * mean, "{busiest} requests, {mean} on average");
}
