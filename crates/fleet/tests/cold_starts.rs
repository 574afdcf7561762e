//! Tests for the request limit of endpoints that have just started, over all hosts together.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::cold_start::ColdStart;
use sedgeridge_fleet::cold_start::ColdStartBounds;
use sedgeridge_fleet::config::EngineSpec;
use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::config::ServiceSpec;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::Dispatcher;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::prompt::PromptPart;
use sedgeridge_fleet::verdict::Decision;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::Verdict;
use sedgeridge_state::ids::ServiceId;
use yare::parameterized;

use support::ENGINES;
use support::at;
use support::config;
use support::endpoint;
use support::engine_request;
use support::settings;

const COLD_START: ColdStart = ColdStart {
    duration: Duration::from_millis(3_000),
    requests_per_s: 14.0,
};
const BOUNDS: ColdStartBounds = ColdStartBounds {
    overshoot: 1.5,
    slack: 5.0,
};
/// Most requests that a cold endpoint may get in any second: 14 x 1.5 + 5.
const MAX_REQUESTS_PER_SECOND: usize = 26;
/// Longest time from a host's decision until the request reaches the endpoint.
const MAX_DELIVERY_MS: u64 = 100;
const ANSWER_MS: u64 = 400;
const TICK_MS: u64 = 20;

/// Load on a fleet whose hosts hear nothing of each other's work, so that a cold endpoint seems
/// idle to each of them.
struct Simulation {
    hosts: Vec<Dispatcher>,
    engines: Vec<Endpoint>,
    random: SeededRandom,
    /// Times at which requests reached each endpoint, in milliseconds.
    arrived: BTreeMap<u64, Vec<u64>>,
    /// Endpoints that cannot be reached.
    down: Vec<u64>,
    answer_ends: Vec<(u64, usize, RequestId)>,
    requests: u64,
    refused: u64,
}

fn cold_config() -> Arc<FleetConfig> {
    let mut config = FleetConfig::clone(&config());
    config.limits.tokens_per_s = Some(2_500_000.0);
    let engine = EngineSpec {
        slots: 24,
        memory_tokens: 500_000,
    };
    let spec = ServiceSpec {
        cold_start: Some(COLD_START),
        engine: Some(engine),
        ..ServiceSpec::default()
    };
    config.services.insert(ServiceId::from(ENGINES), spec);
    Arc::new(config)
}

fn engine(number: usize) -> Endpoint {
    let data_centre = format!("dc-{}", number % 3);
    Endpoint {
        slots: 24,
        data_centre: Arc::from(data_centre),
        ..endpoint(ENGINES, &format!("desk-{number}"))
    }
}

fn listed_hosts(hosts: impl IntoIterator<Item = u64>) -> Vec<ListedHost> {
    let listed = hosts.into_iter().map(|host| ListedHost {
        host,
        data_centre: 1,
    });
    listed.collect()
}

impl Simulation {
    fn new(hosts: usize, engines: usize) -> Self {
        let engines: Vec<_> = (0..engines).map(engine).collect();
        let numbers = 1..=hosts as u64;
        let hosts = numbers.clone().map(|number| {
            let mut host = Dispatcher::new(DispatcherSettings {
                cold_starts: BOUNDS,
                ..settings(number)
            });
            let mut none = Vec::new();
            let listed = DispatchEvent::HostsListed(listed_hosts(numbers.clone()));
            host.handle(at(0), listed, &mut none);
            host.handle(at(0), DispatchEvent::Configured(cold_config()), &mut none);
            for engine in &engines {
                let listed = DispatchEvent::EndpointListed(engine.clone());
                host.handle(at(0), listed, &mut none);
            }
            host
        });
        Self {
            hosts: hosts.collect(),
            engines,
            random: SeededRandom::new(7),
            arrived: BTreeMap::new(),
            down: Vec::new(),
            answer_ends: Vec::new(),
            requests: 0,
            refused: 0,
        }
    }

    fn tell(&mut self, now_ms: u64, host: usize, event: DispatchEvent) {
        let mut decisions = Vec::new();
        self.hosts[host].handle(at(now_ms), event, &mut decisions);
        for decision in decisions {
            self.apply(now_ms, host, decision);
        }
    }

    fn apply(&mut self, now_ms: u64, host: usize, decision: Decision) {
        match decision.verdict {
            Verdict::Send(endpoint) if self.down.contains(&endpoint.key) => {
                let failed = DispatchEvent::AttemptFailed(decision.request, Failure::NotConnected);
                self.tell(now_ms, host, failed);
            }
            Verdict::Send(endpoint) => {
                let reached_ms = now_ms + self.random.below(MAX_DELIVERY_MS);
                self.arrived
                    .entry(endpoint.key)
                    .or_default()
                    .push(reached_ms);
                self.answer_ends
                    .push((now_ms + ANSWER_MS, host, decision.request));
            }
            Verdict::Refuse { .. } | Verdict::Fail(_) => self.refused += 1,
        }
    }

    /// Runs `per_s` requests a second, spread over the hosts.
    fn run(&mut self, from_ms: u64, to_ms: u64, per_s: u64) {
        for now_ms in from_ms..to_ms {
            let arrivals = per_s * (now_ms + 1) / 1_000 - per_s * now_ms / 1_000;
            for _ in 0..arrivals {
                self.arrive(now_ms);
            }
            if now_ms % TICK_MS == 0 {
                self.tick(now_ms);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let host = self.random.below(self.hosts.len() as u64) as usize;
        self.requests += 1;
        let part = |id, tokens| PromptPart { id, tokens };
        let prompt = Prompt {
            prompt_tokens: 800,
            max_output_tokens: 100,
            parts: vec![
                part(self.random.below(500), 200),
                part(1_000_000 + self.requests, 600),
            ],
        };
        let mut arrival = engine_request(now_ms, 1 + self.random.below(20), prompt);
        arrival.id = RequestId(self.requests);
        arrival.fingerprint = None;
        self.tell(now_ms, host, DispatchEvent::Arrived(Box::new(arrival)));
    }

    fn tick(&mut self, now_ms: u64) {
        let ended = self
            .answer_ends
            .iter()
            .filter(|(at_ms, _, _)| *at_ms <= now_ms);
        let ended: Vec<_> = ended.copied().collect();
        self.answer_ends.retain(|(at_ms, _, _)| *at_ms > now_ms);
        for (_, host, request) in ended {
            self.tell(now_ms, host, DispatchEvent::FirstPiece(request));
            self.tell(now_ms, host, DispatchEvent::Completed(request));
        }
        for host in 0..self.hosts.len() {
            self.tell(now_ms, host, DispatchEvent::Tick);
        }
    }

    /// Returns the largest number of requests that an endpoint got in any second between two times.
    fn max_requests_in_a_second(&self, endpoint: &Endpoint, from_ms: u64, to_ms: u64) -> usize {
        let arrived = self.arrived.get(&endpoint.key);
        let within = arrived.into_iter().flatten().copied();
        let mut within: Vec<_> = within.filter(|at| (from_ms..to_ms).contains(at)).collect();
        within.sort_unstable();
        let counts = within.iter().enumerate().map(|(index, start)| {
            let end = within.partition_point(|at| *at < start + 1_000);
            end - index
        });
        counts.max().unwrap_or(0)
    }

    fn assert_bound(&self, endpoints: &[Endpoint], from_ms: u64, to_ms: u64) {
        for endpoint in endpoints {
            let most = self.max_requests_in_a_second(endpoint, from_ms, to_ms);
            assert!(
                most <= MAX_REQUESTS_PER_SECOND,
                "{most} requests in a second at {}",
                endpoint.id
            );
        }
    }

    fn cold(&self, endpoint: &Endpoint) -> DispatchEvent {
        DispatchEvent::EndpointListed(Endpoint {
            cold_for: COLD_START.duration,
            ..endpoint.clone()
        })
    }
}

/// Guards against a data centre of cold endpoints that all hosts take for idle while the load
/// doubles.
#[parameterized(
    small = { 6, 9, 200 },
    grown = { 78, 90, 2_000 },
    large = { 300, 204, 3_000 },
    largest = { 400, 300, 4_000 },
)]
fn endpoints_that_return_together_are_not_overrun(hosts: usize, engines: usize, per_s: u64) {
    let mut simulation = Simulation::new(hosts, engines);
    simulation.run(0, 500, per_s);
    let cold = simulation.engines[..engines / 3].to_vec();
    for host in 0..hosts {
        for endpoint in &cold {
            let event = simulation.cold(endpoint);
            simulation.tell(500, host, event);
        }
    }
    simulation.run(500, 3_500, per_s * 2);
    simulation.assert_bound(&cold, 600, 3_500);
    let used: usize = cold
        .iter()
        .map(|it| simulation.max_requests_in_a_second(it, 600, 3_500))
        .sum();
    assert!(used > 0, "cold endpoints get a part of the load");
}

/// Guards against hosts that still send at the usual rate after others know that an endpoint has
/// turned cold.
#[parameterized(grown = { 78, 90, 1_900 }, large = { 300, 204, 4_300 }, largest = { 400, 300, 6_300 })]
fn an_endpoint_that_turns_cold_unnoticed_is_not_overrun(hosts: usize, engines: usize, per_s: u64) {
    const KNOWN_AFTER_MS: u64 = 600;
    let mut simulation = Simulation::new(hosts, engines);
    simulation.run(0, 1_000, per_s);
    let cold = simulation.engines[..3].to_vec();
    for step in 0..10 {
        let now_ms = 1_000 + step * KNOWN_AFTER_MS / 10;
        for host in (0..hosts).filter(|host| *host as u64 % 10 == step) {
            for endpoint in &cold {
                let event = simulation.cold(endpoint);
                simulation.tell(now_ms, host, event);
            }
        }
        simulation.run(now_ms, now_ms + KNOWN_AFTER_MS / 10, per_s);
    }
    simulation.run(1_600, 4_000, per_s);
    simulation.assert_bound(&cold, 1_000, 4_000);
}

/// Guards against differing lists of hosts: each list names other senders, and their requests add
/// up.
#[parameterized(small = { 6, 3, 300 }, grown = { 78, 30, 2_000 }, large = { 400, 100, 6_000 })]
fn hosts_with_different_lists_do_not_overrun_an_endpoint(hosts: usize, engines: usize, per_s: u64) {
    let mut simulation = Simulation::new(hosts, engines);
    for host in 0..hosts {
        // Some hosts know the two hosts that were added last; others know one of them or neither.
        let known = match host % 3 {
            0 => hosts as u64,
            1 => hosts as u64 - 1,
            _ => hosts as u64 - 2,
        };
        simulation.tell(0, host, DispatchEvent::HostsListed(listed_hosts(1..=known)));
    }
    let cold = simulation.engines.clone();
    for host in 0..hosts {
        for endpoint in &cold {
            let event = simulation.cold(endpoint);
            simulation.tell(0, host, event);
        }
    }
    simulation.run(0, 3_000, per_s);
    simulation.assert_bound(&cold, 0, 3_000);
}

/// Guards against a host that has just started, takes itself for the only one and sends all its
/// requests.
#[test]
fn a_host_without_a_list_of_hosts_sends_nothing_to_cold_endpoints() {
    let mut simulation = Simulation::new(1, 3);
    let mut host = Dispatcher::new(DispatcherSettings {
        cold_starts: BOUNDS,
        ..settings(1)
    });
    let mut none = Vec::new();
    host.handle(at(0), DispatchEvent::Configured(cold_config()), &mut none);
    for endpoint in simulation.engines.clone() {
        host.handle(at(0), simulation.cold(&endpoint), &mut none);
    }
    simulation.hosts[0] = host;
    simulation.run(0, 500, 20);
    assert_eq!(simulation.arrived, BTreeMap::new());
    assert_eq!(
        simulation.refused, simulation.requests,
        "requests that cannot be sent are refused at once"
    );
}

/// Guards against a host that has just started and lists endpoints before it knows the configuration.
#[test]
fn an_endpoint_that_is_listed_before_the_configuration_is_cold() {
    let mut simulation = Simulation::new(1, 3);
    let mut host = Dispatcher::new(DispatcherSettings {
        cold_starts: BOUNDS,
        ..settings(1)
    });
    let mut none = Vec::new();
    for endpoint in simulation.engines.clone() {
        host.handle(at(0), simulation.cold(&endpoint), &mut none);
    }
    host.handle(at(0), DispatchEvent::Configured(cold_config()), &mut none);
    simulation.hosts[0] = host;
    simulation.run(0, 500, 100);
    assert_eq!(simulation.arrived, BTreeMap::new());
}

/// Guards against hosts that find an endpoint reachable again before its entry says that it is cold.
#[parameterized(small = { 6, 9, 200 }, grown = { 78, 30, 1_500 }, large = { 300, 60, 3_000 })]
fn an_endpoint_that_was_down_is_not_overrun_at_its_return(
    hosts: usize,
    engines: usize,
    per_s: u64,
) {
    let mut simulation = Simulation::new(hosts, engines);
    simulation.run(0, 300, per_s);
    let cold = simulation.engines[..engines / 3].to_vec();
    simulation.down = cold.iter().map(|it| it.key).collect();
    // Shorter than the silence after which the store drops its entry.
    simulation.run(300, 3_300, per_s);
    simulation.down.clear();
    simulation.run(3_300, 3_800, per_s);
    for host in 0..hosts {
        for endpoint in &cold {
            let event = simulation.cold(endpoint);
            simulation.tell(3_800, host, event);
        }
    }
    simulation.run(3_800, 6_300, per_s);
    simulation.assert_bound(&cold, 3_300, 6_300);
}

/// Guards against a restart under the same id whose entry was written too early to state how long
/// the endpoint stays cold.
#[test]
fn a_later_run_of_an_endpoint_counts_as_cold() {
    let mut simulation = Simulation::new(78, 30);
    simulation.run(0, 300, 1_500);
    let restarted = simulation.engines[..10].iter().map(|endpoint| Endpoint {
        started_at_ms: Some(5),
        key: Endpoint::key_of(&endpoint.id, Some(5)),
        ..endpoint.clone()
    });
    let restarted = restarted.collect::<Vec<_>>();
    for host in 0..78 {
        for endpoint in &restarted {
            simulation.tell(300, host, DispatchEvent::EndpointListed(endpoint.clone()));
        }
    }
    simulation.run(300, 3_300, 1_500);
    simulation.assert_bound(&restarted, 300, 3_300);
}

/// Guards against the full load reaching a data centre at once when its evacuation ends.
#[parameterized(small = { 6, 9, 200 }, grown = { 78, 90, 2_000 }, largest = { 400, 300, 4_000 })]
fn a_data_centre_that_is_taken_back_counts_as_cold(hosts: usize, engines: usize, per_s: u64) {
    let mut simulation = Simulation::new(hosts, engines);
    simulation.run(0, 300, per_s);
    let data_centre: Arc<str> = Arc::from("dc-1");
    for host in 0..hosts {
        simulation.tell(300, host, DispatchEvent::Evacuated(data_centre.clone()));
    }
    let of_data_centre = simulation
        .engines
        .iter()
        .filter(|it| it.data_centre == data_centre);
    let of_data_centre: Vec<_> = of_data_centre.cloned().collect();
    simulation.run(300, 1_500, per_s);
    for endpoint in &of_data_centre {
        let since_ms = 300 + MAX_DELIVERY_MS;
        assert_eq!(
            simulation.max_requests_in_a_second(endpoint, since_ms, 1_500),
            0,
            "{}",
            endpoint.id
        );
    }
    for host in 0..hosts {
        simulation.tell(
            1_500,
            host,
            DispatchEvent::EvacuationEnded(data_centre.clone()),
        );
    }
    simulation.run(1_500, 4_500, per_s);
    simulation.assert_bound(&of_data_centre, 1_500, 4_500);
    simulation.run(4_500, 6_000, per_s);
    let warm: usize = of_data_centre
        .iter()
        .map(|it| simulation.max_requests_in_a_second(it, 4_700, 6_000))
        .sum();
    assert!(warm > 0, "its endpoints take requests again");
}

/// Guards against callers that wait for endpoints that get no requests. They must be refused at
/// once, as not run.
#[test]
fn requests_for_a_fully_evacuated_service_are_refused_at_once() {
    let mut simulation = Simulation::new(1, 9);
    for number in 0..3 {
        let data_centre: Arc<str> = Arc::from(format!("dc-{number}"));
        simulation.tell(0, 0, DispatchEvent::Evacuated(data_centre));
    }
    for now_ms in 0..50 {
        simulation.arrive(now_ms);
    }
    assert_eq!((simulation.refused, simulation.requests), (50, 50));
    assert_eq!(simulation.arrived, BTreeMap::new());
}
