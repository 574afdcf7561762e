//! A dispatcher with a small service, and requests for it.

#![allow(dead_code)]

pub mod crash_play;
pub mod load_play;
pub mod plain_play;
pub mod table_fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

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
use sedgeridge_fleet::dispatcher::HostState;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::prompt::PromptPart;
use sedgeridge_fleet::resend_window::ResendLimits;
use sedgeridge_fleet::verdict::Decision;
use sedgeridge_fleet::verdict::Verdict;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::ServiceId;

pub const ENGINES: &str = "desk";
pub const PLAIN: &str = "booking";

pub fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn route(service: &str, repeat: Repeat, max_attempts: u32) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(service),
        host: Arc::from("desk.example"),
        path_prefix: Arc::from("/"),
        repeat,
        timeout: at(2_000),
        latency_target: at(250),
        priority: 1,
        targets: vec![RouteTarget {
            service: ServiceId::from(service),
            weight: 1,
        }],
        max_attempts,
        is_public: false,
    })
}

pub fn config() -> Arc<FleetConfig> {
    let engine = EngineSpec {
        slots: 8,
        memory_tokens: 100_000,
    };
    let engines = ServiceSpec {
        max_connections: 100,
        engine: Some(engine),
        ..ServiceSpec::default()
    };
    let plain = ServiceSpec {
        max_connections: 100,
        ..ServiceSpec::default()
    };
    let services = [
        (ServiceId::from(ENGINES), engines),
        (ServiceId::from(PLAIN), plain),
    ];
    Arc::new(FleetConfig {
        version: 1,
        routes: vec![Route::clone(&route(ENGINES, Repeat::Idempotent, 2))],
        services: BTreeMap::from(services),
        accounts: None,
        limits: CallerLimits {
            tokens_per_s: Some(20_000.0),
            ..CallerLimits::default()
        },
    })
}

pub fn endpoint(service: &str, name: &str) -> Endpoint {
    let id = EndpointId::from(name);
    Endpoint {
        key: Endpoint::key_of(&id, None),
        started_at_ms: None,
        id,
        service: ServiceId::from(service),
        software_version: Arc::from("v1"),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: Arc::from("here"),
        slots: 4,
        is_leaving: false,
        cold_for: Duration::ZERO,
    }
}

/// State of a running host that the store answers.
pub fn live() -> HostState {
    HostState {
        store_answers: true,
        ..HostState::default()
    }
}

pub fn settings(host: u64) -> DispatcherSettings {
    DispatcherSettings {
        host,
        run: 1,
        data_centre: Arc::from("here"),
        share_window: at(4_000),
        recovery: at(5_000),
        resends: ResendLimits {
            ratio: 0.5,
            min_extra: 10.0,
            window: at(10_000),
        },
        cold_starts: ColdStartBounds::default(),
        admission: AdmissionSettings::default(),
    }
}

/// A dispatcher with two engines and two plain endpoints.
pub struct Host {
    pub dispatcher: Dispatcher,
    next_request: u64,
}

impl Host {
    pub fn new(host: u64) -> Self {
        Self::with(settings(host))
    }

    pub fn with(settings: DispatcherSettings) -> Self {
        let mut this = Self {
            dispatcher: Dispatcher::new(settings),
            next_request: 0,
        };
        this.send(0, DispatchEvent::Configured(config()));
        for name in ["desk-1", "desk-2"] {
            this.send(0, DispatchEvent::EndpointListed(endpoint(ENGINES, name)));
        }
        for name in ["booking-1", "booking-2"] {
            this.send(0, DispatchEvent::EndpointListed(endpoint(PLAIN, name)));
        }
        this
    }

    pub fn send(&mut self, now: u64, event: DispatchEvent) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.dispatcher.handle(at(now), event, &mut decisions);
        decisions
    }

    /// Passes a new request to the dispatcher; returns its number, and the decision if one was made at once.
    pub fn arrive(&mut self, now: u64, mut arrival: Arrival) -> (RequestId, Option<Verdict>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        arrival.id = id;
        let decisions = self.send(now, DispatchEvent::Arrived(Box::new(arrival)));
        (id, verdict_of(id, decisions))
    }

    /// Ticks until the request is decided, for at most two seconds.
    pub fn wait(&mut self, mut now: u64, id: RequestId) -> Option<(u64, Verdict)> {
        let end = now + 2_000;
        while now < end {
            now += 20;
            let decisions = self.send(now, DispatchEvent::Tick);
            if let Some(verdict) = verdict_of(id, decisions) {
                return Some((now, verdict));
            }
        }
        None
    }
}

pub fn verdict_of(id: RequestId, decisions: Vec<Decision>) -> Option<Verdict> {
    let mut decisions = decisions.into_iter().filter(|d| d.request == id);
    decisions.next().map(|decision| decision.verdict)
}

pub fn plain_request(now: u64, repeat: Repeat) -> Arrival {
    Arrival {
        id: RequestId(0),
        account: Some(1),
        route: route(PLAIN, repeat, 2),
        service: ServiceId::from(PLAIN),
        received_at: at(now),
        deadline: at(now + 2_000),
        prompt: None,
        origin: None,
        fingerprint: Some(Fingerprint(u128::from(now))),
    }
}

pub fn prompt(subject: u64, own: u32) -> Prompt {
    let parts = vec![
        PromptPart {
            id: subject,
            tokens: 1_000,
        },
        PromptPart {
            id: 1_000_000 + u64::from(own),
            tokens: own,
        },
    ];
    Prompt {
        prompt_tokens: 1_000 + own,
        max_output_tokens: 100,
        parts,
    }
}

pub fn engine_request(now: u64, account: u64, prompt: Prompt) -> Arrival {
    let repeat = Repeat::Stream { resumable: true };
    Arrival {
        account: Some(account),
        route: route(ENGINES, repeat, 2),
        service: ServiceId::from(ENGINES),
        prompt: Some(prompt),
        ..plain_request(now, repeat)
    }
}
