//! Decides for each request when and to which endpoint it is sent, and when it is refused or fails.

mod admission;
mod allowed_endpoints;
mod attempts;
mod candidates;
mod closed;
mod crashes;
mod peers;
mod plain;
mod refusals;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_state::ids::ServiceId;

use crate::account_shares::AccountShares;
use crate::arrival::Arrival;
use crate::arrival::RequestId;
use crate::cold_start::ColdEndpoints;
use crate::cold_start::ColdStartBounds;
use crate::config::FleetConfig;
use crate::config::ServiceSpec;
use crate::departures::Departures;
use crate::endpoint_load::EndpointLoads;
use crate::endpoint_load::Load;
use crate::endpoint_pauses::EndpointPauses;
use crate::endpoint_record::EndpointRecords;
use crate::endpoint_table::Endpoint;
use crate::endpoint_table::EndpointTable;
use crate::engine_speed::EngineSpeeds;
use crate::hashing::stable_hash;
use crate::idle_connections::idle_connections;
use crate::peer_hosts::ListedHost;
use crate::peer_report::PeerReport;
use crate::placement::CachedParts;
use crate::plain_pressure::PlainPressure;
use crate::reported_load::ReportedLoad;
use crate::reported_load::ReportedLoads;
use crate::resend_window::ResendLimits;
use crate::resend_window::ResendWindow;
use crate::retry_delay::RetryDelays;
use crate::service_versions::ServiceVersions;
use crate::stream_origin::StreamOrigin;
use crate::verdict::Decision;
use crate::verdict::Failure;

use crashes::Crashes;

pub use crate::store_followers::StoreRole;
pub use admission::AdmissionSettings;
pub use crashes::CrashEvent;
pub use peers::HostState;
pub use peers::OutgoingReport;
pub use peers::ReportRecipient;

/// Ratio of an engine's reading speed to its stated throughput, which mixes reading and generating. Engines read in
/// large batches and generate one token per step.
const READ_SPEED_FACTOR: f64 = 2.0;
/// Interval at which the queue is checked when nothing else happens.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of the next check of the queue after an engine may have got free capacity. Checking at each such moment costs a
/// loaded host most of its processor time.
const EARLY_CHECK_DELAY: Duration = Duration::from_millis(5);
/// Ratio of the tokens requested from this host to the mean of the other hosts above which it has excess demand.
const EXCESS_DEMAND_RATIO: f64 = 1.5;
/// Interval at which reports and sums are updated.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Fixed properties of the host, and limits that the operator sets.
#[derive(Debug, Clone)]
pub struct DispatcherSettings {
    /// Hash of this host's name.
    pub host: u64,
    /// Number of this run of the host.
    pub run: u64,
    /// Data centre of this host.
    pub data_centre: Arc<str>,
    /// Length of the window over which the shares of accounts are computed.
    pub share_window: Duration,
    /// Time after the start of the process within which a restarted fleet serves requests again.
    pub recovery: Duration,
    /// Limits on sending a request to a second endpoint.
    pub resends: ResendLimits,
    /// Limits on requests to endpoints that have just started.
    pub cold_starts: ColdStartBounds,
    /// Limits on queueing and on the backlogs of engines.
    pub admission: AdmissionSettings,
}

/// An input of the dispatcher.
#[derive(Debug)]
pub enum DispatchEvent {
    /// A new configuration is in force.
    Configured(Arc<FleetConfig>),
    /// An endpoint is listed, or its entry changed.
    EndpointListed(Endpoint),
    /// An endpoint is no longer listed.
    EndpointGone(Arc<Endpoint>),
    /// An endpoint announced in an answer that it is about to stop.
    EndpointLeaving(Arc<Endpoint>),
    /// A check found that an endpoint refuses connections.
    EndpointDown(Arc<Endpoint>),
    /// A check found that an endpoint accepts connections.
    EndpointUp(Arc<Endpoint>),
    /// An endpoint rejected a request and asked this host to send none for the given time.
    EndpointPaused(Arc<Endpoint>, Duration),
    /// An endpoint stated its load in an answer.
    LoadReported(Arc<Endpoint>, ReportedLoad),
    /// The operator evacuated a data centre: its endpoints get no more requests.
    Evacuated(Arc<str>),
    /// The operator ended the evacuation of a data centre.
    EvacuationEnded(Arc<str>),
    /// A request has been read.
    Arrived(Box<Arrival>),
    /// The first piece of a request's answer arrived.
    FirstPiece(RequestId),
    /// An endpoint answered a resumable stream with success. From here on the stream may go on only at endpoints with the
    /// same origin.
    StreamBegan(RequestId),
    /// A request's answer is complete.
    Completed(RequestId),
    /// An attempt failed.
    AttemptFailed(RequestId, Failure),
    /// The caller disconnected, or the request ended without a complete answer.
    Abandoned(RequestId),
    /// The list of the fleet's hosts was read from the store.
    HostsListed(Vec<ListedHost>),
    /// Another host's report arrived.
    Reported(PeerReport),
    /// The time of [`Dispatcher::next_tick`] has come.
    Tick,
}

/// Makes all decisions of one host about requests.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    services: BTreeMap<ServiceId, ServiceSpec>,
    /// Shortest latency target of the routes to each service.
    shortest_target: HashMap<ServiceId, Duration>,
    tokens_per_s: Option<f64>,
    endpoints: EndpointTable,
    versions: ServiceVersions,
    departures: Departures,
    pauses: EndpointPauses,
    evacuated: BTreeSet<Arc<str>>,
    cold: ColdEndpoints,
    speeds: EngineSpeeds,
    reported: ReportedLoads,
    loads: EndpointLoads,
    records: EndpointRecords,
    cached: CachedParts,
    shares: AccountShares,
    resends: ResendWindow,
    retry_delays: RetryDelays,
    pressure: PlainPressure,
    crashes: Crashes,
    requests: HashMap<RequestId, Pending>,
    queue: Vec<RequestId>,
    own_listing: ListedHost,
    peers: peers::PeerLinks,
    /// Until when requests of accounts over their share are refused without a comparison of engines.
    no_room_until: Duration,
    next_tick: Duration,
    next_upkeep: Duration,
    counts: DispatchCounts,
}

/// Totals since the start, for metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DispatchCounts {
    /// Requests sent at least once.
    pub sent: u64,
    /// Sends beyond the first of a request.
    pub resent: u64,
    /// Resends that the limits did not allow.
    pub resends_denied: u64,
}

/// A request that has no final answer yet.
#[derive(Debug)]
struct Pending {
    arrival: Arrival,
    /// Time from which its wait for an endpoint counts: the arrival, or the break of its stream.
    waits_since: Duration,
    sends: u32,
    unreachable: u32,
    tried_endpoints: Vec<u64>,
    may_have_run: bool,
    /// Whether it counts as started for its account.
    is_charged: bool,
    last_failure: Option<Failure>,
    attempt: Option<Attempt>,
}

/// An attempt in progress.
#[derive(Debug)]
struct Attempt {
    endpoint: Arc<Endpoint>,
    load: Load,
    sent_at: Duration,
    unread_tokens_at_send: f64,
    first_piece_at: Option<Duration>,
}

impl Dispatcher {
    /// Creates a dispatcher without a configuration and endpoints.
    pub fn new(settings: DispatcherSettings) -> Self {
        let own_listing = ListedHost {
            host: settings.host,
            data_centre: stable_hash(&settings.data_centre),
        };
        Self {
            services: BTreeMap::new(),
            shortest_target: HashMap::new(),
            tokens_per_s: None,
            endpoints: EndpointTable::default(),
            versions: ServiceVersions::default(),
            departures: Departures::default(),
            pauses: EndpointPauses::default(),
            evacuated: BTreeSet::new(),
            cold: ColdEndpoints::new(settings.host, settings.cold_starts),
            speeds: EngineSpeeds::default(),
            reported: ReportedLoads::default(),
            loads: EndpointLoads::default(),
            records: EndpointRecords::default(),
            cached: CachedParts::default(),
            shares: AccountShares::new(settings.share_window),
            resends: ResendWindow::new(settings.resends, settings.host),
            retry_delays: RetryDelays::default(),
            pressure: PlainPressure::default(),
            crashes: Crashes::new(settings.host),
            requests: HashMap::new(),
            queue: Vec::new(),
            own_listing,
            peers: peers::PeerLinks::new(own_listing),
            no_room_until: Duration::ZERO,
            next_tick: Duration::ZERO,
            next_upkeep: Duration::ZERO,
            counts: DispatchCounts::default(),
            settings,
        }
    }

    /// Handles one event and appends the resulting decisions to `decisions`.
    pub fn handle(&mut self, now: Duration, event: DispatchEvent, decisions: &mut Vec<Decision>) {
        match event {
            DispatchEvent::Configured(config) => self.on_config(now, &config),
            DispatchEvent::EndpointListed(endpoint) => self.on_listed(now, endpoint),
            DispatchEvent::EndpointGone(endpoint) => self.on_gone(now, &endpoint),
            DispatchEvent::EndpointLeaving(endpoint) => self.on_leaving(now, &endpoint),
            DispatchEvent::EndpointDown(endpoint) => self.on_endpoint_down(now, &endpoint),
            DispatchEvent::EndpointUp(endpoint) => self.crashes.lost.on_found_up(endpoint.key),
            DispatchEvent::EndpointPaused(endpoint, pause) => {
                self.pauses.note(endpoint.key, now.saturating_add(pause));
            }
            DispatchEvent::LoadReported(endpoint, load) => {
                if self.endpoints.get_by_key(endpoint.key).is_some() {
                    self.reported.note(now, endpoint.key, load);
                }
            }
            DispatchEvent::Evacuated(data_centre) => {
                self.evacuated.insert(data_centre);
            }
            DispatchEvent::EvacuationEnded(data_centre) => {
                self.on_evacuation_ended(now, &data_centre);
            }
            DispatchEvent::Arrived(arrival) => self.on_arrival(now, *arrival, decisions),
            DispatchEvent::FirstPiece(request) => self.on_first_piece(now, request),
            DispatchEvent::StreamBegan(request) => self.on_stream_began(request),
            DispatchEvent::Completed(request) => self.on_completed(now, request),
            DispatchEvent::AttemptFailed(request, failure) => {
                self.on_attempt_failed(now, request, failure, decisions);
            }
            DispatchEvent::Abandoned(request) => self.on_abandoned(now, request),
            DispatchEvent::HostsListed(hosts) => {
                self.peers.on_listed(now, &hosts);
                self.cold.on_hosts_listed(&hosts);
            }
            DispatchEvent::Reported(report) => self.on_report(now, report),
            DispatchEvent::Tick => self.on_tick(now, decisions),
        }
    }

    /// Changes the limits and keeps all counts.
    pub fn set_bounds(
        &mut self,
        share_window: Duration,
        recovery: Duration,
        resends: ResendLimits,
        cold_starts: ColdStartBounds,
    ) {
        self.settings.share_window = share_window;
        self.settings.recovery = recovery;
        self.settings.resends = resends;
        self.cold.set_bounds(cold_starts);
        self.shares.set_window(share_window);
        self.resends.set_limits(resends);
    }

    /// Returns the time of the next [`DispatchEvent::Tick`].
    pub fn next_tick(&self) -> Duration {
        self.next_tick
    }

    /// Returns totals for metrics.
    pub fn counts(&self) -> &DispatchCounts {
        &self.counts
    }

    /// Returns the listed endpoints.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Records that the whole fleet starts for the first time, so that no stream is older than this process.
    pub fn mark_first_start(&mut self) {
        self.versions.mark_first_start();
    }

    /// Returns the origin of all streams of a service, if this host has lately known one software version of it only.
    pub fn sole_origin(&self, now: Duration, service: &ServiceId) -> Option<StreamOrigin> {
        self.versions.sole_origin(now, service)
    }

    /// Returns how many idle connections this host may keep to each endpoint of a service.
    pub fn idle_connections(&self, now: Duration, service: &ServiceId) -> usize {
        let spec = self.services.get(service);
        let max_connections = spec.map_or(0, |spec| spec.max_connections);
        idle_connections(max_connections, self.hosts(now))
    }

    /// Returns how many data centres the operator has evacuated.
    pub fn evacuated_data_centres(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns how many endpoints are cold, as far as this host knows.
    pub fn cold_endpoints(&self, now: Duration) -> usize {
        self.cold.cold_count(now)
    }

    /// Returns the load of the whole fleet on an endpoint, as far as this host knows it.
    pub fn endpoint_load(&self, endpoint: u64) -> Load {
        self.loads.total(endpoint)
    }

    /// Returns the tokens that the fleet started for an account, as a multiple of its fair share.
    pub fn account_share_used(&self, account: u64) -> f64 {
        self.shares.share_used(account)
    }

    /// Tells whether callers request much more from this host than from the other hosts, which therefore have time for a
    /// part of its requests.
    ///
    /// It is false for a host that has just started. After a restart of the whole fleet all hosts are late, and a request
    /// that each host leaves to the others is served by none.
    pub fn has_excess_demand(&self, now: Duration) -> bool {
        if now < self.settings.recovery {
            return false;
        }
        let others = self.hosts(now).saturating_sub(1) as f64;
        let (here, in_fleet) = self.shares.requested_here_and_in_fleet();
        let elsewhere = in_fleet - here;
        elsewhere > 0.0 && here * others > elsewhere * EXCESS_DEMAND_RATIO
    }

    /// Counts the tokens of a prompt that was shed, so that another host may serve it.
    pub fn on_shed(&mut self, now: Duration, account: u64, tokens: f64) {
        self.shares.on_arrived(now, account, tokens);
    }

    /// Tells whether the fleet started more for an account than its fair share.
    pub fn is_over_share(&self, account: u64) -> bool {
        self.account_share_used(account) > 1.0
    }

    /// Tells whether, a moment ago, engines had no capacity left for accounts over their share.
    pub fn has_no_room(&self, now: Duration) -> bool {
        now < self.no_room_until
    }

    /// Tells whether a new prompt of an account is refused at once, whatever its length.
    pub fn refuses_at_once(&self, now: Duration, account: u64) -> bool {
        self.has_no_room(now) && self.is_over_share(account)
    }

    /// Returns the smallest part of any plain service's requests that is admitted.
    pub fn least_admitted_part(&self) -> f64 {
        self.pressure.least_admitted()
    }

    /// Returns how many requests wait for an endpoint.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests have no final answer yet.
    pub fn unfinished_requests(&self) -> usize {
        self.requests.len()
    }

    fn on_config(&mut self, now: Duration, config: &FleetConfig) {
        let old_services = std::mem::replace(&mut self.services, config.services.clone());
        self.note_cold_starts_of_new_services(now, &old_services);
        let services = &self.services;
        self.pressure
            .retain(|service| services.contains_key(service));
        self.tokens_per_s = config.limits.tokens_per_s;
        self.shares.set_capacity(config.limits.tokens_per_s);
        self.shortest_target.clear();
        for route in &config.routes {
            for target in &route.targets {
                let shortest = self
                    .shortest_target
                    .entry(target.service.clone())
                    .or_insert(route.latency_target);
                *shortest = (*shortest).min(route.latency_target);
            }
        }
        self.update_expected_speed();
    }

    fn on_listed(&mut self, now: Duration, mut endpoint: Endpoint) {
        let id = endpoint.id.clone();
        endpoint.is_leaving |= self.departures.contains(endpoint.key);
        let before = self.endpoints.get(&id).cloned();
        let earlier_run = self.endpoints.put(endpoint);
        let after = self.endpoints.get(&id).map(AsRef::as_ref);
        self.versions.on_change(now, before.as_deref(), after);
        if let Some(earlier_run) = &earlier_run {
            self.forget_run(earlier_run);
        }
        self.note_cold_start(now, &id, earlier_run.is_some());
        self.update_expected_speed();
    }

    fn on_leaving(&mut self, now: Duration, endpoint: &Endpoint) {
        self.departures.note(now, endpoint.key);
        self.endpoints.set_leaving(endpoint);
    }

    fn on_gone(&mut self, now: Duration, endpoint: &Endpoint) {
        let removed = self.endpoints.remove(&endpoint.id);
        self.versions.on_change(now, removed.as_deref(), None);
        self.forget_run(endpoint);
        self.update_expected_speed();
    }

    fn forget_run(&mut self, run: &Endpoint) {
        self.cached.forget_endpoint(run.key);
        self.cold.forget(run.key);
        self.speeds.forget(run.key);
        self.reported.forget(run.key);
        self.records.forget(run.key);
    }

    fn update_expected_speed(&mut self) {
        let Some(tokens_per_s) = self.tokens_per_s else {
            return;
        };
        let engines = self.engine_count();
        let engine_tokens_per_ms = tokens_per_s / 1_000.0 / engines.max(1) as f64;
        self.speeds.expect(engine_tokens_per_ms * READ_SPEED_FACTOR);
    }

    fn engine_count(&self) -> usize {
        let engine_services = self.services.iter();
        let engine_services = engine_services.filter(|(_, spec)| spec.engine.is_some());
        engine_services
            .map(|(id, _)| self.endpoints.count(id))
            .sum()
    }

    fn on_tick(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        self.next_tick = now + TICK_INTERVAL;
        if now >= self.next_upkeep {
            self.next_upkeep = now + UPKEEP_INTERVAL;
            self.loads.tick(now);
            self.shares.tick(now);
            self.peers.tick(now);
            self.check_crashes(now);
            self.cold.tick(now);
            self.departures.tick(now);
            self.versions.tick(now);
            self.pauses.tick(now);
            self.reported.tick(now);
            self.pressure.tick(now);
        }
        self.serve_queue(now, decisions);
    }

    /// Brings the next tick forward after an engine has read a prompt: queued requests may find free capacity.
    fn tick_early(&mut self, now: Duration) {
        if !self.queue.is_empty() {
            self.next_tick = self.next_tick.min(now + EARLY_CHECK_DELAY);
        }
    }
}
