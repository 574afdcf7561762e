//! Prints the cost of reports between hosts by the size of the fleet, payload only.
//!
//! Hosts in three data centres, seven engines for five hosts, 30 accounts; each host has
//! 25 requests in progress. Datagrams arrive within the step in which they are sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::cold_start::ColdStartBounds;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::config::RouteTarget;
use sedgeridge_fleet::dispatcher::AdmissionSettings;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::Dispatcher;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::dispatcher::HostState;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::peer_report::set_included;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

const SIZES: [u64; 6] = [9, 12, 27, 81, 160, 400];
const STEP: Duration = Duration::from_millis(50);
/// Steps before bytes are counted, and steps in which they are counted.
const STEPS: (u32, u32) = (80, 100);
const REQUESTS: u64 = 25;
const ACCOUNTS: u64 = 30;
const SERVICE: &str = "desk";

/// Cost for one size, for each second and host.
#[derive(Debug, Default)]
struct Cost {
    sent_bytes: usize,
    datagrams: usize,
    /// Bytes sent and received by the host with the most traffic.
    busiest_host_bytes: usize,
}

fn main() {
    println!("hosts  datagrams/s  sent B/s  busiest host B/s sent and received");
    for hosts in SIZES {
        let cost = measure(hosts);
        let (datagrams, sent, most) = (cost.datagrams, cost.sent_bytes, cost.busiest_host_bytes);
        println!("{hosts:5}  {datagrams:11}  {sent:8}  {most:8}");
    }
}

fn measure(size: u64) -> Cost {
    let listed: Vec<_> = (0..size).map(listing).collect();
    let mut hosts: Vec<_> = (0..size)
        .map(|host| host_with_work(host, size, &listed))
        .collect();
    let index: HashMap<_, _> = listed.iter().zip(0..).map(|(it, n)| (it.host, n)).collect();
    let mut bytes = vec![(0, 0); hosts.len()];
    let mut datagrams = 0;
    for step in 0..STEPS.0 + STEPS.1 {
        let now = STEP * (step + 1);
        let is_counted = step >= STEPS.0;
        let mut datagrams_in_flight = Vec::new();
        for (number, host) in hosts.iter_mut().enumerate() {
            host.handle(now, DispatchEvent::Tick, &mut Vec::new());
            let state = HostState {
                store_answers: true,
                store_lost_for: Duration::ZERO,
                store_answered_ago: None,
                ..HostState::default()
            };
            for outgoing in host.reports_due(now, state) {
                let mut encoded = outgoing.report.encode();
                for addressee in outgoing.to {
                    set_included(&mut encoded, addressee.included);
                    let to: usize = index[&addressee.host];
                    datagrams_in_flight.push((to, PeerReport::decode(&encoded).expect("a report")));
                    if is_counted {
                        bytes[number].0 += encoded.len();
                        bytes[to].1 += encoded.len();
                        datagrams += 1;
                    }
                }
            }
        }
        for (to, report) in datagrams_in_flight {
            hosts[to].handle(now, DispatchEvent::Reported(report), &mut Vec::new());
        }
    }
    let seconds = (STEP * STEPS.1).as_secs() as usize;
    let sent: usize = bytes.iter().map(|(sent, _)| sent).sum();
    let most = bytes.iter().map(|(sent, received)| sent + received).max();
    Cost {
        sent_bytes: sent / seconds / hosts.len(),
        datagrams: datagrams / seconds / hosts.len(),
        busiest_host_bytes: most.unwrap_or(0) / seconds,
    }
}

fn data_centre(host: u64) -> String {
    format!("dc-{}", host % 3)
}

fn listing(host: u64) -> ListedHost {
    ListedHost {
        host: stable_hash(&format!("host-{host}")),
        data_centre: stable_hash(&data_centre(host)),
    }
}

fn host_with_work(number: u64, size: u64, listed: &[ListedHost]) -> Dispatcher {
    let mut host = Dispatcher::new(DispatcherSettings {
        host: listing(number).host,
        run: 1,
        data_centre: Arc::from(data_centre(number)),
        share_window: Duration::from_secs(60),
        recovery: Duration::from_secs(5),
        resends: ResendLimits::default(),
        cold_starts: ColdStartBounds::default(),
        admission: AdmissionSettings::default(),
    });
    let mut decisions = Vec::new();
    for engine in 0..size * 7 / 5 {
        let event = DispatchEvent::EndpointListed(endpoint(engine));
        host.handle(Duration::ZERO, event, &mut decisions);
    }
    let listed = DispatchEvent::HostsListed(listed.to_vec());
    host.handle(Duration::ZERO, listed, &mut decisions);
    for request in 0..REQUESTS {
        let arrival = arrival(request, (number + request) % ACCOUNTS);
        let event = DispatchEvent::Arrived(Box::new(arrival));
        host.handle(Duration::ZERO, event, &mut decisions);
    }
    host
}

fn endpoint(number: u64) -> Endpoint {
    let id = EndpointId::from(format!("engine-{number}").as_str());
    Endpoint {
        key: Endpoint::key_of(&id, None),
        started_at_ms: None,
        id,
        service: ServiceId::from(SERVICE),
        software_version: Arc::from("v1"),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: Arc::from(data_centre(number)),
        slots: 1_000,
        is_leaving: false,
        cold_for: Duration::ZERO,
    }
}

fn arrival(id: u64, account: u64) -> Arrival {
    let route = Route {
        name: Arc::from(SERVICE),
        host: Arc::from("desk.example"),
        path_prefix: Arc::from("/"),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(60),
        latency_target: Duration::from_millis(300),
        priority: 1,
        targets: vec![RouteTarget {
            service: ServiceId::from(SERVICE),
            weight: 1,
        }],
        max_attempts: 1,
        is_public: false,
    };
    Arrival {
        id: RequestId(id),
        account: Some(stable_hash(&format!("account-{account}"))),
        route: Arc::new(route),
        service: ServiceId::from(SERVICE),
        received_at: Duration::ZERO,
        deadline: Duration::from_secs(60),
        prompt: None,
        origin: None,
        fingerprint: None,
    }
}
