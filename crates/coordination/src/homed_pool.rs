//! A pool that is homed on this router: the order of its demand, the health of its endpoints and
//! the schedule for reading their load reports.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;
use sedgeridge_state::settings::FairScope;
use sedgeridge_state::settings::Settings;
use sedgeridge_state::settings::millis;

use crate::attempt_results::EndpointResult;
use crate::breaker::FailureKind;
use crate::endpoint_health::LeavingSource;
use crate::endpoint_health::PoolHealth;
use crate::home_counters::HomeCounters;
use crate::membership::HostHint;
use crate::membership::ListedHost;
use crate::pool_home::AccountWeight;
use crate::pool_home::HomeAction;
use crate::pool_home::HomeEndpoint;
use crate::pool_home::HomeEvent;
use crate::pool_home::HostSite;
use crate::pool_home::PoolHome;
use crate::pool_home::SlotUsage;
use crate::slot_budget::EndpointLoad;

/// One pool homed on this router.
#[derive(Debug)]
pub(crate) struct HomedPool {
    home: PoolHome,
    health: PoolHealth,
    report_interval: Duration,
    endpoints: BTreeMap<EndpointId, PolledEndpoint>,
}

/// When an endpoint's load report is read next, and the held requests last recorded for it.
#[derive(Debug, Clone, Copy)]
struct PolledEndpoint {
    next_read_at: Duration,
    held_requests: u32,
}

impl HomedPool {
    /// Creates the home of `pool` on `member`.
    pub(crate) fn new(member: Member, pool: PoolId, settings: &Settings) -> Self {
        Self {
            home: PoolHome::new(member, pool, settings.fair.clone()),
            health: PoolHealth::new(settings.health.clone()),
            report_interval: millis(settings.health.report_interval_ms),
            endpoints: BTreeMap::new(),
        }
    }

    /// Adopts a configuration.
    pub(crate) fn configure(
        &mut self,
        now: Duration,
        pool: &PoolId,
        settings: &Settings,
        actions: &mut Vec<HomeAction>,
    ) {
        let endpoints = endpoints_of(pool, settings);
        let slots: Vec<(EndpointId, u32)> = endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint.slots))
            .collect();
        self.health.set_settings(settings.health.clone());
        self.health.configure(&slots);
        self.report_interval = millis(settings.health.report_interval_ms);
        let mut known = std::mem::take(&mut self.endpoints);
        for (index, endpoint) in endpoints.iter().enumerate() {
            let polled = known.remove(&endpoint.id).unwrap_or(PolledEndpoint {
                next_read_at: now + self.first_read_delay(index, endpoints.len()),
                held_requests: 0,
            });
            self.endpoints.insert(endpoint.id.clone(), polled);
        }
        let weights = settings.accounts.iter().map(|account| AccountWeight {
            account: account.id.clone(),
            weight: account.weight,
        });
        let configured = HomeEvent::Configured {
            endpoints,
            weights: weights.collect(),
        };
        self.home.handle(now, configured, actions);
        let sites = settings.hosts.iter().map(|host| HostSite {
            host: host.id.clone(),
            site: host.site.clone(),
        });
        let sites = HomeEvent::HostSites(sites.collect());
        self.home.handle(now, sites, actions);
    }

    /// Handles an event of the home; attempt results in a report also update the endpoint health.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        event: HomeEvent,
        actions: &mut Vec<HomeAction>,
    ) {
        if let HomeEvent::Report(report) = &event {
            self.record_attempt_results(now, &report.results);
        }
        self.home.handle(now, event, actions);
        self.forward_slot_changes(now, actions);
    }

    /// Handles a timer tick and returns the endpoints whose load report is due.
    pub(crate) fn tick(&mut self, now: Duration, actions: &mut Vec<HomeAction>) -> Vec<EndpointId> {
        self.update_held_requests(now);
        self.forward_slot_changes(now, actions);
        self.home.handle(now, HomeEvent::Tick, actions);
        let report_interval = self.report_interval;
        let due = self
            .endpoints
            .iter_mut()
            .filter(|(_, polled)| polled.next_read_at <= now);
        due.map(|(endpoint, polled)| {
            polled.next_read_at = now + report_interval;
            endpoint.clone()
        })
        .collect()
    }

    /// Records a load report, or a failed read; returns false if the endpoint is not in this pool.
    pub(crate) fn record_load_report(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        load: Option<EndpointLoad>,
        actions: &mut Vec<HomeAction>,
    ) -> bool {
        if !self.endpoints.contains_key(endpoint) {
            return false;
        }
        match load {
            Some(load) => self.health.record_report(now, endpoint, load),
            None => self
                .health
                .record_failure(now, endpoint, now, FailureKind::ReportMissing),
        }
        self.forward_slot_changes(now, actions);
        true
    }

    /// Marks an endpoint as leaving, on a notice of another router.
    pub(crate) fn mark_leaving(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        actions: &mut Vec<HomeAction>,
    ) {
        self.health
            .set_leaving(now, endpoint, LeavingSource::Peer, true);
        self.forward_slot_changes(now, actions);
    }

    /// Applies the platform's host list to the endpoints on it.
    ///
    /// The list lags. An endpoint that is not on it keeps its last known state: it may have joined
    /// or left since the list was made.
    pub(crate) fn apply_host_list(
        &mut self,
        now: Duration,
        hosts: &[ListedHost],
        actions: &mut Vec<HomeAction>,
    ) {
        for listed in hosts {
            let endpoint = EndpointId::from(listed.host.as_str());
            if self.endpoints.contains_key(&endpoint) {
                let leaving = listed.hint == HostHint::Leaving;
                self.health
                    .set_leaving(now, &endpoint, LeavingSource::HostList, leaving);
            }
        }
        self.forward_slot_changes(now, actions);
    }

    /// Lists the endpoints.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.endpoints.keys()
    }

    /// Returns the health of the endpoints.
    pub(crate) fn health(&self) -> &PoolHealth {
        &self.health
    }

    /// Returns how the slots of an endpoint are used.
    pub(crate) fn slot_usage(&self, endpoint: &EndpointId) -> Option<SlotUsage> {
        self.home.slot_usage(endpoint)
    }

    /// Returns the counters of the pool's home.
    pub(crate) fn counters(&self) -> &HomeCounters {
        self.home.counters()
    }

    /// Spreads the reads of the pool's endpoints over the report interval.
    fn first_read_delay(&self, index: usize, endpoints: usize) -> Duration {
        self.report_interval * index as u32 / endpoints.max(1) as u32
    }

    fn record_attempt_results(&mut self, now: Duration, results: &[EndpointResult]) {
        for result in results {
            let first_byte = millis(result.first_byte_ms.into());
            let started_at = now.saturating_sub(millis(result.started_ago_ms.into()));
            for _ in 0..result.answered.min(MAX_ANSWERS_PER_RESULT) {
                self.health
                    .record_success(now, &result.endpoint, started_at, first_byte);
            }
            for failure in &result.failures {
                let started_at = now.saturating_sub(millis(failure.started_ago_ms.into()));
                self.health
                    .record_failure(now, &result.endpoint, started_at, failure.kind);
            }
        }
    }

    fn update_held_requests(&mut self, now: Duration) {
        for (endpoint, polled) in &mut self.endpoints {
            let usage = self.home.slot_usage(endpoint);
            let held_requests = usage.map_or(0, |usage| usage.occupied);
            if held_requests != polled.held_requests {
                polled.held_requests = held_requests;
                self.health.record_held(now, endpoint, held_requests);
            }
        }
    }

    fn forward_slot_changes(&mut self, now: Duration, actions: &mut Vec<HomeAction>) {
        for change in self.health.take_changes(now) {
            let event = HomeEvent::EndpointState {
                endpoint: change.endpoint,
                usable_slots: change.slots,
            };
            self.home.handle(now, event, actions);
        }
    }
}

/// Most answers counted from one attempt result; a larger claim is absurd and would only cost time.
const MAX_ANSWERS_PER_RESULT: u32 = 1_000;

fn endpoints_of(pool: &PoolId, settings: &Settings) -> Vec<HomeEndpoint> {
    let slot_divisor = match settings.fair.scope {
        // Routers that do not coordinate each use an equal part of the slots.
        FairScope::Router => settings.hosts.len().max(1) as u32,
        FairScope::Fleet => 1,
    };
    let endpoints = settings.endpoints.iter().filter(|e| e.pool == *pool);
    endpoints
        .map(|endpoint| HomeEndpoint {
            id: endpoint.id.clone(),
            site: endpoint.site.clone(),
            slots: endpoint.slots.div_ceil(slot_divisor),
        })
        .collect()
}
