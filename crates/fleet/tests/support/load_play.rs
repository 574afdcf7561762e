//! Simulates a load on the dispatchers of a fleet without a network: callers that retry once after a refusal, engines that
//! read prompts one after another, and hosts that exchange reports.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::config::EngineSpec;
use sedgeridge_fleet::config::FleetConfig;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::prompt::Prompt;
use sedgeridge_fleet::prompt::PromptPart;
use sedgeridge_fleet::verdict::Decision;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::Verdict;
use sedgeridge_state::ids::ServiceId;

use super::ENGINES;
use super::Host;
use super::at;
use super::config;
use super::endpoint;
use super::engine_request;
use super::live;
use super::settings;

/// Latency target of the requests, the same as in [`super::route`].
const TARGET_MS: u64 = 250;
/// Prompt tokens that an engine reads per millisecond.
const TOKENS_PER_MS: u64 = 20;
/// Time from the end of reading to the first event.
const FIRST_EVENT_MS: u64 = 25;
/// Time from the first event to the last.
const GENERATE_MS: u64 = 200;
/// Interval of a host's reports.
const REPORT_INTERVAL_MS: u64 = 100;
/// One-way delay between a caller and a host, or a host and an engine.
const NETWORK_DELAY_MS: u64 = 2;

/// Maximum number of requests that an engine runs at the same time: more than it can read prompts for.
const SLOTS: u32 = 64;
/// Capacity that the operator states per engine. An engine can process more, since shared parts are cached.
const STATED_TOKENS_PER_S: f64 = 30_000.0;

/// When refused callers retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// After the delay that they are told.
    AsTold,
    /// After a fixed delay in milliseconds, whatever they are told.
    FixedMs(u64),
}

/// A load to simulate.
#[derive(Debug, Clone)]
pub struct Load {
    pub hosts: usize,
    pub engines: usize,
    pub prompts: Prompts,
    pub accounts: Vec<AccountLoad>,
    pub length_ms: u64,
    pub retry_policy: RetryPolicy,
    pub seed: u64,
}

/// Prompts of a load. Each prompt belongs to one subject.
#[derive(Debug, Clone, Copy)]
pub struct Prompts {
    pub subjects: u64,
    /// Tokens that all prompts of a subject share.
    pub shared_tokens: u32,
    pub own_tokens: u32,
}

/// First tries of the callers of one account.
#[derive(Debug, Clone, Copy)]
pub struct AccountLoad {
    pub account: u64,
    pub requests_per_s: u64,
    pub from_ms: u64,
    pub to_ms: u64,
    /// The host that all callers of the account reach; `None` if they reach any host.
    pub only_host: Option<usize>,
}

impl Prompts {
    fn prompt(self, subject: u64, caller: u64) -> Prompt {
        let part = |id, tokens| PromptPart { id, tokens };
        Prompt {
            prompt_tokens: self.shared_tokens + self.own_tokens,
            max_output_tokens: 100,
            parts: vec![
                part(subject, self.shared_tokens),
                part(1_000_000 + caller, self.own_tokens),
            ],
        }
    }
}

impl AccountLoad {
    /// Returns a constant load for the whole time, at all hosts.
    pub fn steady(account: u64, requests_per_s: u64) -> Self {
        Self {
            account,
            requests_per_s,
            from_ms: 0,
            to_ms: u64::MAX,
            only_host: None,
        }
    }
}

/// Results of the requests of an account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Results {
    pub requests: u64,
    /// Number of tries, retries included.
    pub tries: u64,
    /// First events within the latency target, which starts at the caller's first try.
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
}

impl Results {
    pub fn in_time_ratio(self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    pub fn answered_ratio(self) -> f64 {
        (self.in_time + self.late) as f64 / self.requests.max(1) as f64
    }

    pub fn tries_per_request(self) -> f64 {
        self.tries as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tries += other.tries;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// Engines that reject every request for a time and ask for pauses.
#[derive(Debug, Clone, Copy)]
pub struct TurningAway {
    /// Number of rejecting engines, the first ones of the fleet.
    pub engines: usize,
    pub from_ms: u64,
    pub to_ms: u64,
    pub pause_ms: u64,
}

/// Requests at engines that rejected them.
#[derive(Debug, Default)]
pub struct TurnedAway {
    /// Arrival times in milliseconds by host and engine.
    pub arrived: BTreeMap<(usize, u64), Vec<u64>>,
}

/// A load of which one subject gets more than the others.
#[derive(Debug, Clone)]
pub struct HotSubject {
    pub load: Load,
    /// Accounts from this number on request the hot subject only.
    pub hot_from_account: u64,
    pub report_interval_ms: u64,
    /// When the engine that got most requests for the hot subject is gone.
    pub engine_gone_at_ms: Option<u64>,
}

/// Where the prompts of a load were read.
#[derive(Debug, Default)]
pub struct Reads {
    /// Time and engine of each request for the hot subject.
    pub hot_sends: Vec<(u64, u64)>,
    /// Time, subject and engine of each reading of a shared part.
    pub shared: Vec<(u64, u64, u64)>,
    /// The engine that is gone.
    pub gone: Option<u64>,
}

impl Reads {
    /// Returns how many engines got requests for the hot subject within a span.
    pub fn hot_engines(&self, from_ms: u64, to_ms: u64) -> usize {
        let in_span = self
            .hot_sends
            .iter()
            .filter(|(at, _)| (from_ms..to_ms).contains(at));
        in_span
            .map(|(_, engine)| engine)
            .collect::<BTreeSet<_>>()
            .len()
    }

    /// Returns how many shared parts were read at a second engine or a later one.
    pub fn again(&self) -> usize {
        let subjects: BTreeSet<_> = self.shared.iter().map(|(_, subject, _)| subject).collect();
        self.shared.len() - subjects.len()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    EngineGone,
    TurnedAway(usize, RequestId, u64),
    Try(usize),
    FirstEvent(usize, RequestId),
    End(usize, RequestId),
    Tick(usize),
    Report(usize),
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    account: u64,
    subject: u64,
    only_host: Option<usize>,
    first_try_at_ms: u64,
    tries: u64,
}

#[derive(Debug, Default)]
struct Engine {
    free_at_ms: u64,
    cached: BTreeSet<u64>,
}

/// A simulation in progress.
pub struct Play {
    load: Load,
    hosts: Vec<Host>,
    engines: BTreeMap<u64, Engine>,
    callers: Vec<Caller>,
    waiting: BTreeMap<(usize, RequestId), usize>,
    steps: BinaryHeap<Reverse<(u64, Step)>>,
    random: SeededRandom,
    results: BTreeMap<u64, Results>,
    started_at_ms: BTreeMap<u64, Vec<u64>>,
    turning_away: Option<TurningAway>,
    turned_away: TurnedAway,
    hot_from_account: u64,
    report_interval_ms: u64,
    reads: Reads,
}

fn play_config(engines: usize) -> Arc<FleetConfig> {
    let mut config = FleetConfig::clone(&config());
    config.limits.tokens_per_s = Some(STATED_TOKENS_PER_S * engines as f64);
    let engine = EngineSpec {
        slots: SLOTS,
        memory_tokens: 200_000,
    };
    let service = config.services.get_mut(&ServiceId::from(ENGINES));
    service.expect("the engines' service").engine = Some(engine);
    Arc::new(config)
}

/// Simulates a load to its end; returns the results of each account.
pub fn play(load: Load) -> BTreeMap<u64, Results> {
    let mut play = Play::new(load);
    play.run();
    play.results
}

/// Simulates a load to its end; returns the times in milliseconds at which requests of each account were sent to an
/// engine.
pub fn play_started(load: Load) -> BTreeMap<u64, Vec<u64>> {
    let mut play = Play::new(load);
    play.run();
    play.started_at_ms
}

/// Simulates a load to its end while some engines reject every request.
pub fn play_turned_away(load: Load, away: TurningAway) -> (BTreeMap<u64, Results>, TurnedAway) {
    let mut play = Play::new(load);
    play.turning_away = Some(away);
    play.run();
    (play.results, play.turned_away)
}

/// Simulates a load with a hot subject to its end.
pub fn play_hot_subject(hot: HotSubject) -> (BTreeMap<u64, Results>, Reads) {
    let mut play = Play::unplanned(hot.load);
    play.hot_from_account = hot.hot_from_account;
    play.report_interval_ms = hot.report_interval_ms;
    if let Some(at_ms) = hot.engine_gone_at_ms {
        play.plan(at_ms, Step::EngineGone);
    }
    play.plan_all();
    play.run();
    (play.results, play.reads)
}

/// Returns the sum of the results of all accounts.
pub fn total(got: &BTreeMap<u64, Results>) -> Results {
    let mut total = Results::default();
    got.values().for_each(|got| total.add(*got));
    total
}

impl Play {
    fn new(load: Load) -> Self {
        let mut play = Self::unplanned(load);
        play.plan_all();
        play
    }

    fn unplanned(load: Load) -> Self {
        let numbers = 1..=load.hosts as u64;
        let mut hosts: Vec<_> = numbers.clone().map(|n| Host::with(settings(n))).collect();
        let listed: Vec<_> = numbers
            .map(|host| ListedHost {
                host,
                data_centre: 1,
            })
            .collect();
        let names: Vec<_> = (1..=load.engines).map(|n| format!("desk-{n}")).collect();
        let config = play_config(load.engines);
        for host in &mut hosts {
            host.send(0, DispatchEvent::HostsListed(listed.clone()));
            host.send(0, DispatchEvent::Configured(config.clone()));
            for name in &names {
                let mut engine = endpoint(ENGINES, name);
                engine.slots = SLOTS;
                host.send(0, DispatchEvent::EndpointListed(engine));
            }
        }
        let engine = |name: &String| (endpoint(ENGINES, name).key, Engine::default());
        Self {
            hosts,
            engines: names.iter().map(engine).collect(),
            callers: Vec::new(),
            waiting: BTreeMap::new(),
            steps: BinaryHeap::new(),
            random: SeededRandom::new(load.seed),
            results: BTreeMap::new(),
            started_at_ms: BTreeMap::new(),
            turning_away: None,
            turned_away: TurnedAway::default(),
            hot_from_account: u64::MAX,
            report_interval_ms: REPORT_INTERVAL_MS,
            reads: Reads::default(),
            load,
        }
    }

    fn plan_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.plan(0, Step::Tick(host));
            // Hosts report at different times, as if started one after another.
            let offset_ms = self.report_interval_ms * host as u64 / self.load.hosts as u64;
            self.plan(offset_ms, Step::Report(host));
        }
        self.plan_arrivals();
    }

    fn plan_arrivals(&mut self) {
        for account in self.load.accounts.clone() {
            let to_ms = account.to_ms.min(self.load.length_ms);
            let count = account.requests_per_s * to_ms.saturating_sub(account.from_ms) / 1_000;
            for _ in 0..count {
                let first_try_at_ms = account.from_ms + self.random.below(to_ms - account.from_ms);
                let caller = self.callers.len();
                let subject = match account.account >= self.hot_from_account {
                    true => 0,
                    false => self.random.below(self.load.prompts.subjects),
                };
                self.callers.push(Caller {
                    account: account.account,
                    subject,
                    only_host: account.only_host,
                    first_try_at_ms,
                    tries: 0,
                });
                self.results.entry(account.account).or_default().requests += 1;
                self.plan(first_try_at_ms + NETWORK_DELAY_MS, Step::Try(caller));
            }
        }
    }

    fn plan(&mut self, at_ms: u64, step: Step) {
        self.steps.push(Reverse((at_ms, step)));
    }

    fn run(&mut self) {
        let end_ms = self.load.length_ms + 10_000;
        while let Some(Reverse((now_ms, step))) = self.steps.pop() {
            if now_ms > end_ms {
                return;
            }
            match step {
                Step::TurnedAway(host, id, engine) => self.on_turned_away(now_ms, host, id, engine),
                Step::Try(caller) => self.on_try(now_ms, caller),
                Step::FirstEvent(host, id) => self.on_first_event(now_ms, host, id),
                Step::End(host, id) => self.send(now_ms, host, DispatchEvent::Completed(id)),
                Step::Tick(host) => {
                    self.send(now_ms, host, DispatchEvent::Tick);
                    let next = self.hosts[host].dispatcher.next_tick();
                    let next_ms = (next.as_millis() as u64).max(now_ms + 1);
                    self.plan(next_ms, Step::Tick(host));
                }
                Step::Report(host) => self.report(now_ms, host),
                Step::EngineGone => self.on_engine_gone(now_ms),
            }
        }
    }

    fn on_try(&mut self, now_ms: u64, number: usize) {
        let host = match self.callers[number].only_host {
            Some(host) => host,
            None => self.random.below(self.hosts.len() as u64) as usize,
        };
        let caller = &mut self.callers[number];
        caller.tries += 1;
        let account = caller.account;
        self.results.entry(account).or_default().tries += 1;
        let id = RequestId(number as u64 * 2 + caller.tries);
        let prompt = self.load.prompts.prompt(caller.subject, number as u64);
        let arrival = Arrival {
            id,
            ..engine_request(now_ms, account, prompt)
        };
        self.waiting.insert((host, id), number);
        self.send(now_ms, host, DispatchEvent::Arrived(Box::new(arrival)));
    }

    fn send(&mut self, now_ms: u64, host: usize, event: DispatchEvent) {
        let decisions = self.hosts[host].send(now_ms, event);
        for decision in decisions {
            self.act(now_ms, host, decision);
        }
    }

    fn act(&mut self, now_ms: u64, host: usize, decision: Decision) {
        let id = decision.request;
        let number = self.waiting[&(host, id)];
        match decision.verdict {
            Verdict::Send(endpoint) => {
                let Caller {
                    account, subject, ..
                } = self.callers[number];
                if self.turns_away(now_ms, &endpoint) {
                    let key = (host, endpoint.key);
                    self.turned_away
                        .arrived
                        .entry(key)
                        .or_default()
                        .push(now_ms);
                    self.plan(
                        now_ms + NETWORK_DELAY_MS,
                        Step::TurnedAway(host, id, endpoint.key),
                    );
                    return;
                }
                self.started_at_ms.entry(account).or_default().push(now_ms);
                if subject == 0 {
                    self.reads.hot_sends.push((now_ms, endpoint.key));
                }
                let engine = self.engines.get_mut(&endpoint.key).expect("a known engine");
                let prompts = self.load.prompts;
                let shared_tokens = match engine.cached.insert(subject) {
                    true => {
                        let read = (now_ms, subject, endpoint.key);
                        self.reads.shared.push(read);
                        prompts.shared_tokens
                    }
                    false => 0,
                };
                let read_from_ms = engine.free_at_ms.max(now_ms + 1);
                let tokens = u64::from(prompts.own_tokens + shared_tokens);
                engine.free_at_ms = read_from_ms + tokens / TOKENS_PER_MS;
                let first_event_ms = engine.free_at_ms + FIRST_EVENT_MS;
                self.plan(first_event_ms, Step::FirstEvent(host, id));
            }
            Verdict::Refuse { retry_after, .. } => self.on_refused(now_ms, number, retry_after),
            Verdict::Fail(failure) => panic!("no attempt fails here: {failure:?}"),
        }
    }

    fn turns_away(&self, now_ms: u64, engine: &Endpoint) -> bool {
        self.turning_away.is_some_and(|away| {
            let mut engines = (1..=away.engines).map(|number| format!("desk-{number}"));
            let is_one = engines.any(|name| name == engine.id.as_str());
            is_one && (away.from_ms..away.to_ms).contains(&now_ms)
        })
    }

    fn on_turned_away(&mut self, now_ms: u64, host: usize, id: RequestId, engine: u64) {
        let pause_ms = self.turning_away.map_or(0, |away| away.pause_ms);
        let names = (1..=self.load.engines).map(|number| format!("desk-{number}"));
        let mut engines = names.map(|name| endpoint(ENGINES, &name));
        let engine = engines.find(|it| it.key == engine);
        let engine = Arc::new(engine.expect("a known engine"));
        let paused = DispatchEvent::EndpointPaused(engine, at(pause_ms));
        self.send(now_ms, host, paused);
        let failed = DispatchEvent::AttemptFailed(id, Failure::TurnedAway);
        self.send(now_ms, host, failed);
    }

    fn on_engine_gone(&mut self, now_ms: u64) {
        let mut sends = BTreeMap::new();
        for (_, engine) in &self.reads.hot_sends {
            *sends.entry(*engine).or_insert(0) += 1;
        }
        let busiest = sends.into_iter().max_by_key(|(_, sends)| *sends);
        let busiest = busiest.map(|(engine, _)| engine);
        let names = (1..=self.load.engines).map(|number| format!("desk-{number}"));
        let mut engines = names.map(|name| endpoint(ENGINES, &name));
        let engine = Arc::new(
            engines
                .find(|it| Some(it.key) == busiest)
                .expect("an engine in use"),
        );
        self.reads.gone = Some(engine.key);
        for host in 0..self.hosts.len() {
            self.send(now_ms, host, DispatchEvent::EndpointGone(engine.clone()));
        }
    }

    fn on_refused(&mut self, now_ms: u64, number: usize, retry_after: Duration) {
        let caller = self.callers[number];
        if caller.tries > 1 {
            self.results.entry(caller.account).or_default().refused += 1;
            return;
        }
        let wait_ms = match self.load.retry_policy {
            RetryPolicy::AsTold => retry_after.as_millis() as u64,
            RetryPolicy::FixedMs(wait_ms) => wait_ms,
        };
        self.plan(now_ms + wait_ms + 2 * NETWORK_DELAY_MS, Step::Try(number));
    }

    fn on_first_event(&mut self, now_ms: u64, host: usize, id: RequestId) {
        let caller = self.callers[self.waiting[&(host, id)]];
        let got = self.results.entry(caller.account).or_default();
        match now_ms + NETWORK_DELAY_MS <= caller.first_try_at_ms + TARGET_MS {
            true => got.in_time += 1,
            false => got.late += 1,
        }
        self.send(now_ms, host, DispatchEvent::FirstPiece(id));
        self.plan(now_ms + GENERATE_MS, Step::End(host, id));
    }

    fn report(&mut self, now_ms: u64, host: usize) {
        let due = self.hosts[host].dispatcher.reports_due(at(now_ms), live());
        for outgoing in due {
            for recipient in outgoing.to {
                let report = PeerReport {
                    included: recipient.included,
                    ..outgoing.report.clone()
                };
                // Hosts are numbered from 1.
                let other = recipient.host as usize - 1;
                self.send(now_ms, other, DispatchEvent::Reported(report));
            }
        }
        self.plan(now_ms + self.report_interval_ms, Step::Report(host));
    }
}
