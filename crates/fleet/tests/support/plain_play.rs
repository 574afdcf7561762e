//! Simulates a load of a plain service on the dispatchers of a fleet without a network: callers that retry once after a
//! refusal, endpoints with slots and a short queue, and hosts that exchange reports.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::arrival::Arrival;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::config::Route;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::reported_load::ReportedLoad;
use sedgeridge_fleet::verdict::Decision;
use sedgeridge_fleet::verdict::Failure;
use sedgeridge_fleet::verdict::Verdict;

use super::Host;
use super::PLAIN;
use super::at;
use super::endpoint;
use super::live;
use super::load_play::AccountLoad;
use super::load_play::Results;
use super::plain_request;
use super::route;
use super::settings;

/// Latency target of the requests.
const TARGET_MS: u64 = 150;
/// Time budget of a caller from its first try.
const BUDGET_MS: u64 = 1_000;
/// Mean time for which a request takes a slot.
const WORK_MS: u64 = 30;
/// Slots of an endpoint.
const SLOTS_PER_ENDPOINT: usize = 6;
/// Requests that may wait at an endpoint; it rejects any beyond that.
const QUEUE_LENGTH: usize = 24;
/// One-way delay between a caller and a host, between hosts, or between a host and an endpoint.
const NETWORK_DELAY_MS: u64 = 2;
/// Interval at which a host checks whether reports are due.
const REPORT_CHECK_MS: u64 = 20;
/// One in so many requests takes [`TAIL_FACTOR`] times as long.
const TAIL_ONE_IN: u64 = 50;
const TAIL_FACTOR: u64 = 5;

/// A load to simulate.
#[derive(Debug, Clone)]
pub struct PlainLoad {
    pub hosts: usize,
    pub endpoints: usize,
    pub accounts: Vec<AccountLoad>,
    pub length_ms: u64,
    pub repeat: Repeat,
    /// Endpoints that stop taking requests, and when.
    pub leaving: Vec<(usize, u64)>,
    /// Endpoints that state in their answers that they have nothing to do.
    pub lying: Vec<usize>,
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct PlainResults {
    pub accounts: BTreeMap<u64, Results>,
    /// Requests that reached an endpoint.
    pub arrivals: u64,
    /// Of these, requests that the endpoint rejected.
    pub rejected: u64,
}

impl PlainResults {
    pub fn total(&self) -> Results {
        super::load_play::total(&self.accounts)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Leave(usize),
    Try(usize),
    Reach(usize, usize, RequestId),
    WorkDone(usize, usize, RequestId),
    Answer(usize, usize, RequestId),
    Rejected(usize, RequestId),
    Tick(usize),
    Report(usize),
    Hear(usize, usize),
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    account: u64,
    only_host: Option<usize>,
    first_try_at_ms: u64,
    tries: u64,
}

#[derive(Debug, Default)]
struct PlainEndpoint {
    running: usize,
    waiting: VecDeque<(usize, RequestId)>,
}

struct Play {
    load: PlainLoad,
    route: Arc<Route>,
    hosts: Vec<Host>,
    listed: Vec<Endpoint>,
    endpoints: Vec<PlainEndpoint>,
    callers: Vec<Caller>,
    asking: BTreeMap<(usize, RequestId), usize>,
    reports: Vec<PeerReport>,
    steps: BinaryHeap<Reverse<(u64, Step)>>,
    random: SeededRandom,
    results: PlainResults,
}

/// Returns the requests that endpoints can do in a second.
pub fn capacity_per_s(endpoints: usize) -> f64 {
    let tail = (TAIL_FACTOR - 1) as f64 / TAIL_ONE_IN as f64;
    let mean_work_ms = WORK_MS as f64 * (1.0 + tail);
    (endpoints * SLOTS_PER_ENDPOINT) as f64 * 1_000.0 / mean_work_ms
}

/// Simulates a load to its end.
pub fn play(load: PlainLoad) -> PlainResults {
    let mut play = Play::new(load);
    play.run();
    play.results
}

impl Play {
    fn new(load: PlainLoad) -> Self {
        let numbers = 1..=load.hosts as u64;
        let listed_hosts: Vec<_> = numbers
            .clone()
            .map(|host| ListedHost {
                host,
                data_centre: 1,
            })
            .collect();
        let names = (0..load.endpoints).map(|number| format!("ledger-{number}"));
        let listed: Vec<_> = names
            .map(|name| Endpoint {
                slots: SLOTS_PER_ENDPOINT as u32,
                ..endpoint(PLAIN, &name)
            })
            .collect();
        let mut hosts: Vec<_> = numbers.map(|number| Host::with(settings(number))).collect();
        for host in &mut hosts {
            host.send(0, DispatchEvent::HostsListed(listed_hosts.clone()));
            for name in ["booking-1", "booking-2"] {
                let gone = Arc::new(endpoint(PLAIN, name));
                host.send(0, DispatchEvent::EndpointGone(gone));
            }
            for endpoint in &listed {
                host.send(0, DispatchEvent::EndpointListed(endpoint.clone()));
            }
        }
        let mut route = Route::clone(&route(PLAIN, load.repeat, 2));
        route.latency_target = at(TARGET_MS);
        let mut play = Self {
            route: Arc::new(route),
            hosts,
            endpoints: listed.iter().map(|_| PlainEndpoint::default()).collect(),
            listed,
            callers: Vec::new(),
            asking: BTreeMap::new(),
            reports: Vec::new(),
            steps: BinaryHeap::new(),
            random: SeededRandom::new(load.seed),
            results: PlainResults::default(),
            load,
        };
        for host in 0..play.hosts.len() {
            play.plan(0, Step::Tick(host));
            play.plan(host as u64 % REPORT_CHECK_MS, Step::Report(host));
        }
        for (endpoint, at_ms) in play.load.leaving.clone() {
            play.plan(at_ms, Step::Leave(endpoint));
        }
        play.plan_arrivals();
        play
    }

    fn plan_arrivals(&mut self) {
        for account in self.load.accounts.clone() {
            let to_ms = account.to_ms.min(self.load.length_ms);
            let count = account.requests_per_s * to_ms.saturating_sub(account.from_ms) / 1_000;
            for _ in 0..count {
                let first_try_at_ms = account.from_ms + self.random.below(to_ms - account.from_ms);
                let caller = self.callers.len();
                self.callers.push(Caller {
                    account: account.account,
                    only_host: account.only_host,
                    first_try_at_ms,
                    tries: 0,
                });
                let results = self.results.accounts.entry(account.account).or_default();
                results.requests += 1;
                self.plan(first_try_at_ms + NETWORK_DELAY_MS, Step::Try(caller));
            }
        }
    }

    fn plan(&mut self, at_ms: u64, step: Step) {
        self.steps.push(Reverse((at_ms, step)));
    }

    fn run(&mut self) {
        let end_ms = self.load.length_ms + 2 * BUDGET_MS;
        while let Some(Reverse((now_ms, step))) = self.steps.pop() {
            if now_ms > end_ms {
                return;
            }
            match step {
                Step::Leave(endpoint) => self.leave(now_ms, endpoint),
                Step::Try(caller) => self.on_try(now_ms, caller),
                Step::Reach(endpoint, host, id) => self.on_reach(now_ms, endpoint, host, id),
                Step::WorkDone(endpoint, host, id) => self.on_work_done(now_ms, endpoint, host, id),
                Step::Answer(endpoint, host, id) => self.on_answer(now_ms, endpoint, host, id),
                Step::Rejected(host, id) => {
                    let failed = DispatchEvent::AttemptFailed(id, Failure::TurnedAway);
                    self.send(now_ms, host, failed);
                }
                Step::Tick(host) => {
                    self.send(now_ms, host, DispatchEvent::Tick);
                    let next = self.hosts[host].dispatcher.next_tick();
                    let next_ms = (next.as_millis() as u64).max(now_ms + 1);
                    self.plan(next_ms, Step::Tick(host));
                }
                Step::Report(host) => self.report(now_ms, host),
                Step::Hear(host, report) => {
                    let report = self.reports[report].clone();
                    self.send(now_ms, host, DispatchEvent::Reported(report));
                }
            }
        }
    }

    fn leave(&mut self, now_ms: u64, endpoint: usize) {
        let leaving = Arc::new(self.listed[endpoint].clone());
        for host in 0..self.hosts.len() {
            self.send(
                now_ms,
                host,
                DispatchEvent::EndpointLeaving(leaving.clone()),
            );
        }
    }

    fn on_try(&mut self, now_ms: u64, number: usize) {
        let host = match self.callers[number].only_host {
            Some(host) => host,
            None => self.random.below(self.hosts.len() as u64) as usize,
        };
        let caller = &mut self.callers[number];
        caller.tries += 1;
        let results = self.results.accounts.entry(caller.account).or_default();
        results.tries += 1;
        let id = RequestId(number as u64 * 2 + caller.tries);
        let arrival = Arrival {
            id,
            account: Some(caller.account),
            route: self.route.clone(),
            deadline: at(caller.first_try_at_ms + BUDGET_MS),
            fingerprint: None,
            ..plain_request(now_ms, self.load.repeat)
        };
        self.asking.insert((host, id), number);
        self.send(now_ms, host, DispatchEvent::Arrived(Box::new(arrival)));
    }

    fn send(&mut self, now_ms: u64, host: usize, event: DispatchEvent) {
        for decision in self.hosts[host].send(now_ms, event) {
            self.act(now_ms, host, decision);
        }
    }

    fn act(&mut self, now_ms: u64, host: usize, decision: Decision) {
        let id = decision.request;
        let number = self.asking[&(host, id)];
        match decision.verdict {
            Verdict::Send(endpoint) => {
                let mut listed = self.listed.iter();
                let endpoint = listed.position(|it| it.key == endpoint.key);
                let endpoint = endpoint.expect("a known endpoint");
                self.plan(now_ms + NETWORK_DELAY_MS, Step::Reach(endpoint, host, id));
            }
            Verdict::Refuse { retry_after, .. } => self.on_refused(now_ms, number, retry_after),
            Verdict::Fail(failure) => panic!("no attempt fails here: {failure:?}"),
        }
    }

    fn on_refused(&mut self, now_ms: u64, number: usize, retry_after: Duration) {
        let caller = self.callers[number];
        let left_ms = (caller.first_try_at_ms + BUDGET_MS).saturating_sub(now_ms);
        if caller.tries > 1 || left_ms == 0 {
            let results = self.results.accounts.entry(caller.account).or_default();
            results.refused += 1;
            return;
        }
        let wait_ms = (retry_after.as_millis() as u64).min(left_ms / 3);
        self.plan(now_ms + wait_ms + 3 * NETWORK_DELAY_MS, Step::Try(number));
    }

    fn on_reach(&mut self, now_ms: u64, endpoint: usize, host: usize, id: RequestId) {
        self.results.arrivals += 1;
        let state = &mut self.endpoints[endpoint];
        if state.running < SLOTS_PER_ENDPOINT {
            state.running += 1;
            self.run_request(now_ms, endpoint, host, id);
        } else if state.waiting.len() < QUEUE_LENGTH {
            state.waiting.push_back((host, id));
        } else {
            self.results.rejected += 1;
            self.plan(now_ms + NETWORK_DELAY_MS, Step::Rejected(host, id));
        }
    }

    fn run_request(&mut self, now_ms: u64, endpoint: usize, host: usize, id: RequestId) {
        let usual_ms = WORK_MS / 2 + self.random.below(WORK_MS);
        let work_ms = match self.random.below(TAIL_ONE_IN) {
            0 => usual_ms * TAIL_FACTOR,
            _ => usual_ms,
        };
        self.plan(now_ms + work_ms, Step::WorkDone(endpoint, host, id));
    }

    fn on_work_done(&mut self, now_ms: u64, endpoint: usize, host: usize, id: RequestId) {
        self.plan(now_ms + NETWORK_DELAY_MS, Step::Answer(endpoint, host, id));
        match self.endpoints[endpoint].waiting.pop_front() {
            Some((host, id)) => self.run_request(now_ms, endpoint, host, id),
            None => self.endpoints[endpoint].running -= 1,
        }
    }

    fn on_answer(&mut self, now_ms: u64, endpoint: usize, host: usize, id: RequestId) {
        let caller = self.callers[self.asking[&(host, id)]];
        let took_ms = now_ms + NETWORK_DELAY_MS - caller.first_try_at_ms;
        let results = self.results.accounts.entry(caller.account).or_default();
        match took_ms {
            0..=TARGET_MS => results.in_time += 1,
            _ if took_ms <= BUDGET_MS => results.late += 1,
            _ => results.refused += 1,
        }
        let stated = DispatchEvent::LoadReported(
            Arc::new(self.listed[endpoint].clone()),
            self.stated_load(endpoint),
        );
        self.send(now_ms, host, stated);
        self.send(now_ms, host, DispatchEvent::FirstPiece(id));
        self.send(now_ms, host, DispatchEvent::Completed(id));
    }

    fn stated_load(&self, endpoint: usize) -> ReportedLoad {
        let state = &self.endpoints[endpoint];
        let (running, waiting) = match self.load.lying.contains(&endpoint) {
            true => (0, 0),
            false => (state.running, state.waiting.len()),
        };
        ReportedLoad {
            running: running as u32,
            waiting: waiting as u32,
            slots: SLOTS_PER_ENDPOINT as u32,
            work_percent: None,
        }
    }

    fn report(&mut self, now_ms: u64, host: usize) {
        let due = self.hosts[host].dispatcher.reports_due(at(now_ms), live());
        for outgoing in due {
            for recipient in outgoing.to {
                self.reports.push(PeerReport {
                    included: recipient.included,
                    ..outgoing.report.clone()
                });
                // Hosts are numbered from 1.
                let hear = Step::Hear(recipient.host as usize - 1, self.reports.len() - 1);
                self.plan(now_ms + NETWORK_DELAY_MS, hear);
            }
        }
        self.plan(now_ms + REPORT_CHECK_MS, Step::Report(host));
    }
}
