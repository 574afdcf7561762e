//! Idle connections of all hosts of a fleet to one endpoint.

mod support;

use std::sync::Arc;

use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::config::ServiceSpec;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_state::ids::ServiceId;
use yare::parameterized;

use support::Host;
use support::PLAIN;
use support::at;
use support::config;

const MAX_CONNECTIONS: u32 = 530;
/// Number of requests of the fleet in progress on the endpoint: a multiple of its slots.
const IN_PROGRESS: usize = 12;

/// Guards against idle connections of many hosts that use up the endpoint's limit, so that it resets requests.
#[parameterized(small = { 6 }, grown = { 78 }, large = { 300 }, largest = { 400 })]
fn idle_connections_of_all_hosts_leave_room_for_requests(hosts: usize) {
    let listed = (1..=hosts as u64).map(|host| ListedHost {
        host,
        data_centre: 1,
    });
    let mut host = Host::new(1);
    let mut config = FleetConfig::clone(&config());
    let spec = ServiceSpec {
        max_connections: MAX_CONNECTIONS,
        ..ServiceSpec::default()
    };
    config.services.insert(ServiceId::from(PLAIN), spec);
    host.send(0, DispatchEvent::Configured(Arc::new(config)));
    host.send(0, DispatchEvent::HostsListed(listed.collect()));
    let service = ServiceId::from(PLAIN);
    let idle = host.dispatcher.idle_connections(at(0), &service);
    let connections = idle * hosts + IN_PROGRESS;
    // While requests wait there, an endpoint accepts fewer connections than it states.
    assert!(
        connections <= MAX_CONNECTIONS as usize * 6 / 10,
        "{connections} connections"
    );
}

/// Guards against hosts of a small fleet that open a connection for each request.
#[test]
fn a_few_hosts_keep_connections() {
    let host = Host::new(1);
    let service = ServiceId::from(PLAIN);
    assert!(host.dispatcher.idle_connections(at(0), &service) >= 8);
}
