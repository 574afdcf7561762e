//! Plays a fleet of dispatchers before engines that crash under some requests: those whose prompt has a certain part, or
//! those with a certain content. Requests reach any host.

use std::collections::BTreeMap;
use std::sync::Arc;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::config::EngineSpec;
use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::Dispatcher;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::prompt::PromptPart;
use sedgeridge_fleet::verdict::Decision;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::RefusalReason;
use sedgeridge_fleet::verdict::Verdict;
use sedgeridge_state::fingerprint::Fingerprint;
use sedgeridge_state::ids::ServiceId;

use super::ENGINES;
use super::PLAIN;
use super::at;
use super::config;
use super::endpoint;
use super::engine_request;
use super::live;
use super::plain_request;
use super::route;
use super::settings;

/// First part of every prompt.
pub const SYSTEM_PART: u64 = 1;
/// Time between two steps.
const STEP_MS: u64 = 5;
const TICK_INTERVAL_MS: u64 = 20;
const REPORT_POLL_INTERVAL_MS: u64 = 50;
const NETWORK_DELAY_MS: u64 = 2;
/// Shortest and longest time from a send to the first piece of the answer.
const FIRST_PIECE_MS: (u64, u64) = (20, 100);
/// Time from the begin of an answer to the crash that its request causes.
const CRASH_DELAY_MS: u64 = 80;
/// Time that a plain endpoint works on a request.
const WORK_MS: u64 = 15;
/// Time after which a host gives up an attempt to send a plain request that may run again.
const ATTEMPT_TIMEOUT_MS: u64 = 750;
/// Time after which the caller of a plain request leaves.
const PLAIN_DEADLINE_MS: u64 = 1_000;
/// Time for which a crashed engine is down.
const DOWN_MS: u64 = 3_000;
/// Time from a crash until the engine's entry is removed.
const LISTED_AFTER_CRASH_MS: u64 = 3_600;
const SLOTS_PER_ENGINE: u32 = 64;
const STATED_TOKENS_PER_S: f64 = 1_000_000.0;
const DATA_CENTRES: usize = 3;

/// Kind of a request without a prompt.
#[derive(Debug, Clone, Copy)]
pub struct PlainKind {
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Maximum number of endpoints that it is sent to.
    pub max_attempts: u32,
}

/// A request to play. `parts` are the ids of its prompt's parts but for the last one, which no other request has.
#[derive(Debug, Clone)]
pub struct PlayedRequest {
    /// Account that pays for it.
    pub account: u64,
    /// All parts but the last one.
    pub parts: Vec<u64>,
    /// Last part; `None` for one that no other request has.
    pub last_part: Option<u64>,
    /// Time from its first piece to its end.
    pub answer_ms: u64,
    /// Identifies its path and body; `None` for those that no other request has.
    pub content: Option<u64>,
    /// Its kind, if it has no prompt.
    pub plain: Option<PlainKind>,
}

impl PlayedRequest {
    /// A request without a prompt.
    pub fn plain(account: u64, kind: PlainKind, content: Option<u64>) -> Self {
        Self {
            account,
            parts: Vec::new(),
            last_part: None,
            answer_ms: 0,
            content,
            plain: Some(kind),
        }
    }

    /// A request with the first part of all prompts and a part of its account, and further `parts` after them.
    pub fn with_parts(account: u64, parts: &[u64]) -> Self {
        let shared = [SYSTEM_PART, 100 + account];
        Self {
            account,
            parts: shared.into_iter().chain(parts.iter().copied()).collect(),
            last_part: None,
            answer_ms: 1_200,
            content: None,
            plain: None,
        }
    }
}

/// Result of a request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// When it arrived.
    pub arrived_ms: u64,
    /// Whether it crashes engines.
    pub crashes_engines: bool,
    /// Parts of its prompt, the last one included.
    pub parts: Vec<u64>,
    /// Reason of its refusal, if it was refused.
    pub refused: Option<RefusalReason>,
    /// When it was first sent.
    pub sent_ms: Option<u64>,
    /// Whether its answer was complete.
    pub is_complete: bool,
    host: usize,
    answer_ms: u64,
    plain: Option<PlainKind>,
    content: u64,
}

impl Outcome {
    /// Tells whether it was refused because of crashes.
    pub fn is_quarantined(&self) -> bool {
        self.refused == Some(RefusalReason::Quarantined)
    }
}

struct PlayedHost {
    dispatcher: Option<Dispatcher>,
    run: u64,
    started_ms: u64,
}

struct Engine {
    run: u32,
    listed: Arc<Endpoint>,
    up_from_ms: u64,
    /// When it crashes under a request that it has begun, and the content of the request.
    crash: Option<(u64, u64)>,
    streams: Vec<Stream>,
}

struct Stream {
    pub host: usize,
    host_run: u64,
    id: RequestId,
    /// When its first piece comes; `None` if its engine crashes before.
    first_piece_ms: Option<u64>,
    has_first_piece: bool,
    /// When the host gives the attempt up, and the event that tells it.
    given_up: Option<(u64, DispatchEvent)>,
}

/// A fleet, its engines and the requests so far.
pub struct CrashPlay {
    /// Time of the play.
    pub now_ms: u64,
    /// All requests so far.
    pub outcomes: BTreeMap<RequestId, Outcome>,
    /// Times at which engines crashed under a request that crashes them.
    pub crashes_ms: Vec<u64>,
    /// Times at which such requests were sent to engines that were up.
    pub crashing_sends_ms: Vec<u64>,
    /// The same by content.
    crashes_by_content_ms: BTreeMap<u64, Vec<u64>>,
    sends_by_content_ms: BTreeMap<u64, Vec<u64>>,
    /// Time from the begin of an answer to the crash that its request causes.
    pub crash_delay_ms: u64,
    crashing_parts: Vec<u64>,
    crashing_contents: Vec<u64>,
    service: &'static str,
    /// Requests whose callers leave at the first piece.
    leaving: Vec<RequestId>,
    /// Hosts whose reports reach no other host, and that get none.
    cut_off: Vec<usize>,
    /// Hosts that do nothing.
    paused: Vec<usize>,
    /// Whether something in front of an engine that is down accepts connections and closes them.
    closes_when_down: bool,
    hosts: Vec<PlayedHost>,
    engines: Vec<Engine>,
    entries_to_remove: Vec<(u64, Arc<Endpoint>)>,
    reports: Vec<(u64, u64, PeerReport)>,
    events: Vec<(u64, usize, u64, DispatchEvent)>,
    random: SeededRandom,
}

fn host_key(host: usize) -> u64 {
    stable_hash(&format!("host-{host}"))
}

fn data_centre_of(host: usize) -> String {
    format!("dc-{}", host % DATA_CENTRES)
}

fn engine_entry(service: &str, number: usize, run: u32) -> Endpoint {
    Endpoint {
        slots: SLOTS_PER_ENGINE,
        ..endpoint(service, &format!("engine-{number}-{run}"))
    }
}

fn engine_config() -> Arc<FleetConfig> {
    let mut config = FleetConfig::clone(&config());
    let engine = EngineSpec {
        slots: SLOTS_PER_ENGINE,
        memory_tokens: 1_000_000,
    };
    let service = config.services.get_mut(&ServiceId::from(ENGINES));
    service.expect("the service").engine = Some(engine);
    config.limits.tokens_per_s = Some(STATED_TOKENS_PER_S);
    Arc::new(config)
}

impl CrashPlay {
    /// Starts hosts and engines that read prompts, and plays until the hosts know each other.
    pub fn start(hosts: usize, engines: usize, crashing_parts: &[u64], seed: u64) -> Self {
        let mut play = Self::start_service(hosts, engines, ENGINES, seed);
        play.crashing_parts = crashing_parts.to_vec();
        play
    }

    /// Starts hosts and endpoints of a plain service, and plays until the hosts know each other.
    pub fn start_plain(hosts: usize, endpoints: usize, seed: u64) -> Self {
        Self::start_service(hosts, endpoints, PLAIN, seed)
    }

    fn start_service(hosts: usize, engines: usize, service: &'static str, seed: u64) -> Self {
        let engine = |number| Engine {
            run: 0,
            listed: Arc::new(engine_entry(service, number, 0)),
            up_from_ms: 0,
            crash: None,
            streams: Vec::new(),
        };
        let mut play = Self {
            now_ms: 0,
            outcomes: BTreeMap::new(),
            crashes_ms: Vec::new(),
            crashing_sends_ms: Vec::new(),
            crashes_by_content_ms: BTreeMap::new(),
            sends_by_content_ms: BTreeMap::new(),
            crash_delay_ms: CRASH_DELAY_MS,
            crashing_parts: Vec::new(),
            crashing_contents: Vec::new(),
            service,
            leaving: Vec::new(),
            cut_off: Vec::new(),
            paused: Vec::new(),
            closes_when_down: false,
            hosts: Vec::new(),
            engines: (0..engines).map(engine).collect(),
            entries_to_remove: Vec::new(),
            reports: Vec::new(),
            events: Vec::new(),
            random: SeededRandom::new(seed),
        };
        for _ in 0..hosts {
            play.hosts.push(PlayedHost {
                dispatcher: None,
                run: 0,
                started_ms: 0,
            });
        }
        for host in 0..hosts {
            play.start_host(host);
        }
        play.run_for(2_000);
        play
    }

    /// Kills a host and starts it again without memory.
    pub fn restart_host(&mut self, host: usize) {
        self.start_host(host);
    }

    fn start_host(&mut self, host: usize) {
        let run = self.hosts[host].run + 1;
        let mut dispatcher = Dispatcher::new(DispatcherSettings {
            run,
            data_centre: Arc::from(data_centre_of(host)),
            ..settings(host_key(host))
        });
        let listed = (0..self.hosts.len()).map(|host| ListedHost {
            host: host_key(host),
            data_centre: stable_hash(&data_centre_of(host)),
        });
        let engines = self.engines.iter();
        let engines = engines.map(|it| DispatchEvent::EndpointListed(Endpoint::clone(&it.listed)));
        let mut events = vec![
            DispatchEvent::HostsListed(listed.collect()),
            DispatchEvent::Configured(engine_config()),
        ];
        events.extend(engines);
        for event in events {
            dispatcher.handle(at(0), event, &mut Vec::new());
        }
        self.hosts[host] = PlayedHost {
            dispatcher: Some(dispatcher),
            run,
            started_ms: self.now_ms,
        };
    }

    /// Sends a request to a random host that is not paused. Returns its number.
    pub fn request(&mut self, request: &PlayedRequest) -> RequestId {
        let mut host = self.random.index(self.hosts.len());
        while self.paused.contains(&host) {
            host = (host + 1) % self.hosts.len();
        }
        self.request_at(host, request)
    }

    /// Pauses a host. What reaches it meanwhile waits.
    pub fn pause_host(&mut self, host: usize) {
        self.paused.push(host);
    }

    /// Lets all paused hosts go on.
    pub fn resume_hosts(&mut self) {
        self.paused.clear();
    }

    /// Sends a request to a host. Returns its number.
    pub fn request_at(&mut self, host: usize, request: &PlayedRequest) -> RequestId {
        let id = RequestId(self.outcomes.len() as u64);
        let own_part = request.last_part.unwrap_or(1_000_000 + id.0);
        let parts: Vec<u64> = request.parts.iter().copied().chain([own_part]).collect();
        let content = request.content.unwrap_or(2_000_000 + id.0);
        let outcome = Outcome {
            arrived_ms: self.now_ms,
            crashes_engines: self.crashes_engines(&parts, content),
            parts: parts.clone(),
            refused: None,
            sent_ms: None,
            is_complete: false,
            host,
            answer_ms: request.answer_ms,
            plain: request.plain,
            content,
        };
        let shared_parts = stable_hash(&format!("{:?}", request.parts));
        let content_hash = u128::from(content) << 32 | u128::from(request.account);
        let fingerprint = Fingerprint(u128::from(shared_parts) << 64 | content_hash);
        self.outcomes.insert(id, outcome);
        let now = self.host_time(host);
        if let Some(kind) = request.plain {
            let arrival = Arrival {
                id,
                account: Some(request.account),
                route: route(PLAIN, kind.repeat, kind.max_attempts),
                deadline: at(now + PLAIN_DEADLINE_MS),
                fingerprint: Some(fingerprint),
                ..plain_request(now, kind.repeat)
            };
            self.send(host, DispatchEvent::Arrived(Box::new(arrival)));
            return id;
        }
        let prompt = Prompt {
            prompt_tokens: 100 * parts.len() as u32,
            max_output_tokens: 50,
            parts: parts
                .iter()
                .map(|id| PromptPart {
                    id: *id,
                    tokens: 100,
                })
                .collect(),
        };
        let arrival = Arrival {
            id,
            fingerprint: Some(fingerprint),
            deadline: at(now + 12_000),
            ..engine_request(now, request.account, prompt)
        };
        self.send(host, DispatchEvent::Arrived(Box::new(arrival)));
        id
    }

    /// Makes the caller of a request leave when its answer begins.
    pub fn leave_at_first_piece(&mut self, id: RequestId) {
        self.leaving.push(id);
    }

    /// Cuts these hosts off from the others, and joins all that were cut off before.
    pub fn cut_off(&mut self, hosts: &[usize]) {
        self.cut_off = hosts.to_vec();
    }

    /// Puts something in front of engines that accepts connections and closes them while the engine is down.
    pub fn close_connections_when_down(&mut self) {
        self.closes_when_down = true;
    }

    /// Breaks the engines: a part crashes them from now on.
    pub fn break_engines_for(&mut self, part: u64) {
        self.crashing_parts.push(part);
    }

    /// Breaks the engines: requests with a content crash them from now on.
    pub fn break_engines_for_content(&mut self, content: u64) {
        self.crashing_contents.push(content);
    }

    /// Mends the engines: a content crashes them no longer.
    pub fn mend_content(&mut self, content: u64) {
        self.crashing_contents
            .retain(|crashing| *crashing != content);
    }

    /// Mends the engines: a part crashes them no longer.
    pub fn mend(&mut self, part: u64) {
        self.crashing_parts.retain(|crashing| *crashing != part);
    }

    /// Lets time pass in which no request comes. Hosts go on reporting.
    pub fn skip(&mut self, ms: u64) {
        const SKIP_STEP_MS: u64 = 200;
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += SKIP_STEP_MS;
            self.step();
        }
    }

    /// Plays on for a time.
    pub fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    /// Crashes an engine for another cause than a prompt.
    pub fn crash_engine(&mut self, number: usize) {
        let crashed = &mut self.engines[number];
        crashed.up_from_ms = self.now_ms + DOWN_MS;
        crashed.crash = None;
        let listed = crashed.listed.clone();
        self.entries_to_remove
            .push((self.now_ms + LISTED_AFTER_CRASH_MS, listed));
        for stream in std::mem::take(&mut crashed.streams) {
            let arrives_ms = self.now_ms + NETWORK_DELAY_MS;
            let event = DispatchEvent::AttemptFailed(stream.id, Failure::ConnectionLost);
            self.events
                .push((arrives_ms, stream.host, stream.host_run, event));
        }
    }

    /// Ends the connection of a request to its engine, which is still up.
    pub fn lose_connection(&mut self, id: RequestId) {
        for engine in &mut self.engines {
            engine.streams.retain(|stream| stream.id != id);
        }
        let host = self.outcomes[&id].host;
        let lost = DispatchEvent::AttemptFailed(id, Failure::ConnectionLost);
        self.send(host, lost);
    }

    /// Returns the times at which engines crashed under a content that crashes them.
    pub fn crashes_of(&self, content: u64) -> &[u64] {
        let crashes = self.crashes_by_content_ms.get(&content);
        crashes.map_or(&[], Vec::as_slice)
    }

    /// Returns the times at which requests with such a content were sent to engines that were up.
    pub fn sends_of(&self, content: u64) -> &[u64] {
        let sends = self.sends_by_content_ms.get(&content);
        sends.map_or(&[], Vec::as_slice)
    }

    /// Returns the dispatcher of a host.
    pub fn dispatcher(&mut self, host: usize) -> &mut Dispatcher {
        self.hosts[host]
            .dispatcher
            .as_mut()
            .expect("a running host")
    }

    /// Returns the number of hosts.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the requests that crash no engine and were refused because of crashes.
    pub fn quarantined_sound_requests(&self) -> usize {
        let sound = self.outcomes.values().filter(|it| !it.crashes_engines);
        sound.filter(|it| it.is_quarantined()).count()
    }

    /// Returns the share of the sound requests since a time that were sent at once.
    pub fn share_sent_at_once(&self, since_ms: u64) -> f64 {
        let is_counted = |it: &&Outcome| !it.crashes_engines && it.arrived_ms >= since_ms;
        let sound: Vec<_> = self.outcomes.values().filter(is_counted).collect();
        let sent = sound.iter().filter(|it| it.sent_ms == Some(it.arrived_ms));
        sent.count() as f64 / sound.len().max(1) as f64
    }

    fn host_time(&self, host: usize) -> u64 {
        self.now_ms - self.hosts[host].started_ms
    }

    fn crashes_engines(&self, parts: &[u64], content: u64) -> bool {
        let shared = &parts[..parts.len() - 1];
        let has_part = shared.iter().any(|part| self.crashing_parts.contains(part));
        has_part || self.crashing_contents.contains(&content)
    }

    fn step(&mut self) {
        self.deliver_reports();
        self.deliver_events();
        self.start_engines_again();
        self.remove_entries();
        self.run_engines();
        if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
            for host in 0..self.hosts.len() {
                if !self.paused.contains(&host) {
                    self.send(host, DispatchEvent::Tick);
                }
            }
        }
        if self.now_ms.is_multiple_of(REPORT_POLL_INTERVAL_MS) {
            self.send_reports();
        }
    }

    fn send(&mut self, host: usize, event: DispatchEvent) {
        let now = at(self.host_time(host));
        let mut decisions = Vec::new();
        self.dispatcher(host).handle(now, event, &mut decisions);
        for decision in decisions {
            self.carry_out(host, decision);
        }
        self.check_endpoints(host);
    }

    /// Connects to endpoints as a host does after a lost connection.
    fn check_endpoints(&mut self, host: usize) {
        for endpoint in self.dispatcher(host).take_endpoints_to_check() {
            let engines = self.engines.iter();
            let mut engines = engines.filter(|it| it.up_from_ms <= self.now_ms);
            let answered_ms = self.now_ms + 2 * NETWORK_DELAY_MS;
            let answer = match engines.any(|it| it.listed.key == endpoint.key) {
                true => DispatchEvent::EndpointUp(endpoint),
                false => DispatchEvent::EndpointDown(endpoint),
            };
            let run = self.hosts[host].run;
            self.events.push((answered_ms, host, run, answer));
        }
    }

    fn carry_out(&mut self, host: usize, decision: Decision) {
        let id = decision.request;
        match decision.verdict {
            Verdict::Send(endpoint) => self.start_stream(host, id, &endpoint),
            Verdict::Refuse { reason, .. } => self.outcome(id).refused = Some(reason),
            Verdict::Fail(_) => {}
        }
    }

    fn outcome(&mut self, id: RequestId) -> &mut Outcome {
        self.outcomes.get_mut(&id).expect("a known request")
    }

    fn start_stream(&mut self, host: usize, id: RequestId, endpoint: &Endpoint) {
        let now_ms = self.now_ms;
        let host_run = self.hosts[host].run;
        self.outcome(id).sent_ms.get_or_insert(now_ms);
        let outcome = &self.outcomes[&id];
        let crashes_engines = outcome.crashes_engines;
        let content = outcome.content;
        let is_plain = outcome.plain.is_some();
        let given_up = outcome.plain.map(|kind| {
            let left_ms = outcome.arrived_ms + PLAIN_DEADLINE_MS;
            let timeout_ms = now_ms + ATTEMPT_TIMEOUT_MS;
            match kind.repeat == Repeat::Idempotent && timeout_ms < left_ms {
                true => (
                    timeout_ms,
                    DispatchEvent::AttemptFailed(id, Failure::TimedOut),
                ),
                false => (left_ms, DispatchEvent::Abandoned(id)),
            }
        });
        let (shortest, longest) = FIRST_PIECE_MS;
        let first_piece_ms = match (is_plain, crashes_engines) {
            (true, true) => None,
            (true, false) => Some(now_ms + WORK_MS),
            (false, _) => Some(now_ms + shortest + self.random.below(longest - shortest)),
        };
        let crash_delay_ms = self.crash_delay_ms;
        let engine = self.engines.iter_mut();
        let engine = engine.filter(|it| it.listed.key == endpoint.key && it.up_from_ms <= now_ms);
        let Some(engine) = engine.last() else {
            let failure = match self.closes_when_down {
                true => Failure::ConnectionLost,
                false => Failure::NotConnected,
            };
            let failed = DispatchEvent::AttemptFailed(id, failure);
            let arrives_ms = now_ms + NETWORK_DELAY_MS;
            self.events.push((arrives_ms, host, host_run, failed));
            return;
        };
        engine.streams.push(Stream {
            host,
            host_run,
            id,
            first_piece_ms,
            has_first_piece: false,
            given_up,
        });
        if crashes_engines {
            if is_plain {
                engine
                    .crash
                    .get_or_insert((now_ms + crash_delay_ms, content));
            }
            self.crashing_sends_ms.push(now_ms);
            let sends = self.sends_by_content_ms.entry(content);
            sends.or_default().push(now_ms);
        }
    }

    /// Tells a host at once, or when its pause is over.
    fn push_event(&mut self, host: usize, event: DispatchEvent) {
        let run = self.hosts[host].run;
        self.events.push((self.now_ms, host, run, event));
    }

    fn deliver_events(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at_ms, host, ..)| *at_ms <= now_ms && !self.paused.contains(host));
        self.events = later;
        let due: Vec<(u64, usize, u64, DispatchEvent)> = due;
        for (_, host, run, event) in due {
            if self.hosts[host].run == run {
                self.send(host, event);
            }
        }
    }

    fn start_engines_again(&mut self) {
        for number in 0..self.engines.len() {
            if self.engines[number].up_from_ms != self.now_ms {
                continue;
            }
            let run = self.engines[number].run + 1;
            let entry = engine_entry(self.service, number, run);
            self.engines[number].run = run;
            self.engines[number].listed = Arc::new(entry.clone());
            for host in 0..self.hosts.len() {
                self.push_event(host, DispatchEvent::EndpointListed(entry.clone()));
            }
        }
    }

    fn remove_entries(&mut self) {
        let now_ms = self.now_ms;
        let entries = std::mem::take(&mut self.entries_to_remove);
        for (at_ms, entry) in entries {
            if at_ms > now_ms {
                self.entries_to_remove.push((at_ms, entry));
                continue;
            }
            for host in 0..self.hosts.len() {
                self.push_event(host, DispatchEvent::EndpointGone(entry.clone()));
            }
        }
    }

    fn run_engines(&mut self) {
        for number in 0..self.engines.len() {
            let crash = self.engines[number].crash;
            if let Some((_, content)) = crash.filter(|(at_ms, _)| *at_ms <= self.now_ms) {
                self.crashes_ms.push(self.now_ms);
                let crashes = self.crashes_by_content_ms.entry(content);
                crashes.or_default().push(self.now_ms);
                self.crash_engine(number);
                continue;
            }
            for mut stream in std::mem::take(&mut self.engines[number].streams) {
                let was_begun = stream.has_first_piece;
                let goes_on = self.run_stream(&mut stream);
                let engine = &mut self.engines[number];
                let begins = goes_on && !was_begun && stream.has_first_piece;
                if begins && self.outcomes[&stream.id].crashes_engines {
                    let crashes_ms = self.now_ms + self.crash_delay_ms;
                    let content = self.outcomes[&stream.id].content;
                    engine.crash.get_or_insert((crashes_ms, content));
                }
                if goes_on {
                    engine.streams.push(stream);
                }
            }
        }
    }

    /// Returns whether the stream goes on.
    fn run_stream(&mut self, stream: &mut Stream) -> bool {
        let id = stream.id;
        if self.hosts[stream.host].run != stream.host_run {
            return false;
        }
        let given_up = stream.given_up.take();
        if given_up
            .as_ref()
            .is_some_and(|(at_ms, _)| *at_ms <= self.now_ms)
        {
            let given_up = given_up.map(|(_, event)| event);
            self.events
                .extend(given_up.map(|event| (self.now_ms, stream.host, stream.host_run, event)));
            return false;
        }
        stream.given_up = given_up;
        let Some(first_piece_ms) = stream.first_piece_ms else {
            return true;
        };
        let is_plain = self.outcomes[&id].plain.is_some();
        if !stream.has_first_piece && self.now_ms >= first_piece_ms {
            stream.has_first_piece = true;
            if !is_plain {
                self.send(stream.host, DispatchEvent::StreamBegan(id));
            }
            self.send(stream.host, DispatchEvent::FirstPiece(id));
            if self.leaving.contains(&id) {
                self.send(stream.host, DispatchEvent::Abandoned(id));
                return false;
            }
        }
        if self.now_ms < first_piece_ms + self.outcomes[&id].answer_ms {
            return true;
        }
        self.outcome(id).is_complete = true;
        self.send(stream.host, DispatchEvent::Completed(id));
        false
    }

    fn send_reports(&mut self) {
        for host in 0..self.hosts.len() {
            let now = at(self.host_time(host));
            let due = self.dispatcher(host).reports_due(now, live());
            if self.cut_off.contains(&host) || self.paused.contains(&host) {
                continue;
            }
            for outgoing in due {
                let encoded = outgoing.report.encode();
                let decoded = PeerReport::decode(&encoded).expect("a report");
                for recipient in outgoing.to {
                    let mut report = decoded.clone();
                    report.included = recipient.included;
                    let arrives_ms = self.now_ms + NETWORK_DELAY_MS;
                    self.reports.push((arrives_ms, recipient.host, report));
                }
            }
        }
    }

    fn deliver_reports(&mut self) {
        let now_ms = self.now_ms;
        let paused: Vec<u64> = self.paused.iter().map(|host| host_key(*host)).collect();
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at_ms, to, _)| *at_ms <= now_ms && !paused.contains(to));
        self.reports = later;
        let due: Vec<(u64, u64, PeerReport)> = due;
        for (_, to, report) in due {
            let host = (0..self.hosts.len()).find(|host| host_key(*host) == to);
            let host = host.expect("a known host");
            if !self.cut_off.contains(&host) {
                self.send(host, DispatchEvent::Reported(report));
            }
        }
    }
}
