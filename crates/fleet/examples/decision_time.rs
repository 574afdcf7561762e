//! Measures the processor time of one host's decisions for several numbers of engines.
//!
//! `cargo run --release -p sedgeridge-fleet --example decision_time`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::cold_start::ColdStartBounds;
use sedgeridge_fleet::config::CallerLimits;
use sedgeridge_fleet::config::EngineSpec;
use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::config::RouteTarget;
use sedgeridge_fleet::config::ServiceSpec;
use sedgeridge_fleet::dispatcher::AdmissionSettings;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::Dispatcher;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::hashing::pair_hash;
use sedgeridge_fleet::origin_message::OriginMessage;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::prompt::PromptPart;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_fleet::stream_origin::StreamKey;
use sedgeridge_fleet::stream_origin::StreamOrigin;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

const HOST_COUNTS: [u64; 3] = [6, 295, 986];
const ENGINE_COUNTS: [u64; 6] = [9, 60, 204, 2_200, 9_762, 20_000];
const SERVICE: &str = "desk";
const SLOTS: u32 = 12;
const ACCOUNTS: u64 = 60;
const ARRIVALS: u64 = 6_000;
/// Time between two arrivals.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(500);
/// Shared tokens of a prompt that goes only to its homes, and of one that goes to any engine.
const SHARED_TOKENS: [u32; 2] = [600, 200];

fn main() {
    println!("engines  ms to list them");
    for engines in ENGINE_COUNTS {
        let started = Instant::now();
        host(engines);
        let list_ms = started.elapsed().as_secs_f64() * 1e3;
        println!("{engines:7}  {list_ms:15.2}");
    }
    println!("engines  shared tokens  us an arrival  queued  us a look at the queue");
    for engines in ENGINE_COUNTS {
        for shared in SHARED_TOKENS {
            let (arrival_us, queued, queue_check_us) = measure(engines, shared);
            println!(
                "{engines:7}  {shared:13}  {arrival_us:13.2}  {queued:6}  {queue_check_us:22.1}"
            );
        }
    }
    print_holder_times();
}

/// Prints the time to choose the hosts that hold the origin of a stream, and the length of the message to each.
fn print_holder_times() {
    let origin = StreamOrigin(pair_hash(1, 2));
    let lifetime = Duration::from_secs(12);
    let message = OriginMessage::hold(StreamKey(pair_hash(3, 4)), origin, lifetime, true);
    println!("bytes of a message: {}", message.encode().len());
    println!("hosts  us to choose holders");
    for hosts in HOST_COUNTS {
        let mut host = host(0);
        let mut decisions = Vec::new();
        let listed = (1..=hosts).map(|number| ListedHost {
            host: pair_hash(number, hosts),
            data_centre: number % 5,
        });
        let listed = DispatchEvent::HostsListed(listed.collect());
        host.handle(Duration::ZERO, listed, &mut decisions);
        let started = Instant::now();
        let chosen: usize = (0..ARRIVALS)
            .map(|stream| {
                host.origin_holders(Duration::ZERO, StreamKey(pair_hash(stream, 1)))
                    .len()
            })
            .sum();
        let choice_us = started.elapsed().as_secs_f64() * 1e6 / ARRIVALS as f64;
        assert!(chosen > 0, "the fleet has holders");
        println!("{hosts:5}  {choice_us:20.2}");
    }
}

/// Sends far more requests than the engines take, so that requests wait and are refused.
fn measure(engines: u64, shared: u32) -> (f64, usize, f64) {
    let mut host = host(engines);
    let mut decisions = Vec::new();
    // Each host has records of a few failures.
    for request in 0..engines {
        let arrival = arrival(request, Duration::ZERO, shared);
        host.handle(
            Duration::ZERO,
            DispatchEvent::Arrived(Box::new(arrival)),
            &mut decisions,
        );
        let failed = DispatchEvent::AttemptFailed(RequestId(request), Failure::ConnectionLost);
        host.handle(Duration::ZERO, failed, &mut decisions);
    }
    let started = Instant::now();
    let mut now = Duration::ZERO;
    for request in 0..ARRIVALS {
        now += ARRIVAL_INTERVAL;
        let arrival = arrival(engines + request, now, shared);
        decisions.clear();
        host.handle(
            now,
            DispatchEvent::Arrived(Box::new(arrival)),
            &mut decisions,
        );
    }
    let arrival_us = started.elapsed().as_secs_f64() * 1e6 / ARRIVALS as f64;
    let queued = host.queued_requests();
    let started = Instant::now();
    const QUEUE_CHECKS: u32 = 10;
    for check in 0..QUEUE_CHECKS {
        decisions.clear();
        let at = now + Duration::from_micros(u64::from(check));
        host.handle(at, DispatchEvent::Tick, &mut decisions);
    }
    let queue_check_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(QUEUE_CHECKS);
    (arrival_us, queued, queue_check_us)
}

fn host(engines: u64) -> Dispatcher {
    let mut host = Dispatcher::new(DispatcherSettings {
        host: 1,
        run: 1,
        data_centre: Arc::from("dc-0"),
        share_window: Duration::from_secs(4),
        recovery: Duration::from_secs(5),
        resends: ResendLimits {
            ratio: 0.2,
            min_extra: 600.0,
            window: Duration::from_secs(10),
        },
        cold_starts: ColdStartBounds::default(),
        admission: AdmissionSettings::default(),
    });
    let mut decisions = Vec::new();
    let configured = DispatchEvent::Configured(config());
    host.handle(Duration::ZERO, configured, &mut decisions);
    for engine in 0..engines {
        let event = DispatchEvent::EndpointListed(endpoint(engine));
        host.handle(Duration::ZERO, event, &mut decisions);
    }
    host
}

fn config() -> Arc<FleetConfig> {
    let spec = ServiceSpec {
        max_connections: 1_900,
        cold_start: None,
        engine: Some(EngineSpec {
            slots: SLOTS,
            memory_tokens: 486_529,
        }),
    };
    Arc::new(FleetConfig {
        version: 1,
        routes: vec![Route::clone(&route())],
        services: BTreeMap::from([(ServiceId::from(SERVICE), spec)]),
        accounts: None,
        limits: CallerLimits {
            tokens_per_s: Some(5_400_000.0),
            ..CallerLimits::default()
        },
    })
}

fn route() -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from("plan"),
        host: Arc::from("desk.example"),
        path_prefix: Arc::from("/"),
        repeat: Repeat::Stream { resumable: true },
        timeout: Duration::from_secs(8),
        latency_target: Duration::from_millis(300),
        priority: 1,
        targets: vec![RouteTarget {
            service: ServiceId::from(SERVICE),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
    })
}

fn endpoint(number: u64) -> Endpoint {
    let id = EndpointId::from(format!("engine-{number}").as_str());
    Endpoint {
        key: Endpoint::key_of(&id, None),
        started_at_ms: None,
        id,
        service: ServiceId::from(SERVICE),
        software_version: Arc::from("v1"),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: Arc::from(format!("dc-{}", number % 5)),
        slots: SLOTS,
        is_leaving: false,
        cold_for: Duration::ZERO,
    }
}

fn arrival(number: u64, now: Duration, shared: u32) -> Arrival {
    let subject = number % 3_000;
    let parts = vec![
        PromptPart {
            id: subject % 160,
            tokens: shared / 2,
        },
        PromptPart {
            id: 10_000 + subject,
            tokens: shared / 2,
        },
        PromptPart {
            id: 1_000_000 + number,
            tokens: 600,
        },
    ];
    Arrival {
        id: RequestId(number),
        account: Some(number % ACCOUNTS),
        route: route(),
        service: ServiceId::from(SERVICE),
        received_at: now,
        deadline: now + Duration::from_secs(8),
        prompt: Some(Prompt {
            prompt_tokens: shared + 600,
            max_output_tokens: 300,
            parts,
        }),
        origin: None,
        fingerprint: None,
    }
}
