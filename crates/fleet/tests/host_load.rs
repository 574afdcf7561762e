//! Hosts with little processor time that leave the balancer's rotation so that callers reach others.

mod support;

use std::collections::VecDeque;

use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::HostState;
use sedgeridge_fleet::hashing::pair_hash;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::host_load::HostLoad;
use sedgeridge_fleet::host_load::HostLoads;
use sedgeridge_fleet::load_shedding::LoadShedding;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use yare::parameterized;

use support::Host;
use support::at;
use support::live;
use support::settings;

/// Processor time of a request that is forwarded, its answer included, and of one that is shed.
const FORWARD_US: u64 = 1_000;
const SHED_US: u64 = 40;
const STEP_MS: u64 = 1;
const TIMER_MS: u64 = 20;
const REPORT_MS: u64 = 50;
const POLL_MS: u64 = 1_000;
const LENGTH_MS: u64 = 20_000;
/// Waiting time within which a request is served in time.
const TARGET_MS: u64 = 100;
/// Requests per second of each client that sends steadily.
const STEADY_PER_S: u64 = 10;
const STEADY_CLIENTS: u64 = 40;
/// Connections that a client with many requests keeps open, and the number of its requests for each one that opens a new
/// connection.
const KEPT_CONNECTIONS: usize = 80;
const REQUESTS_PER_NEW_CONNECTION: u64 = 5;
/// The client that sends many requests.
const FLOOD_CLIENT: u64 = 1_000;

/// A data centre whose balancer leads each client's connections to one host by hash.
#[derive(Debug, Clone, Copy)]
struct Site<'a> {
    millicores: &'a [u32],
    flood_per_s: u64,
    /// Whether the hosts get reports of each other.
    have_reports: bool,
    /// Whether the flood comes from as many clients as there are hosts.
    floods_all: bool,
}

#[derive(Debug)]
struct SmallHost {
    load: HostLoad,
    shedding: LoadShedding,
    millicores: u64,
    /// Processor time of the requests that wait.
    queued_us: f64,
    is_in_rotation: bool,
    misses: u32,
    /// Times at which it left.
    departures: Vec<u64>,
    relieved_ms: u64,
}

impl SmallHost {
    fn new(number: u64, millicores: u32) -> Self {
        Self {
            load: HostLoad::new(number, millicores),
            shedding: LoadShedding::default(),
            millicores: u64::from(millicores),
            queued_us: 0.0,
            is_in_rotation: true,
            misses: 0,
            departures: Vec::new(),
            relieved_ms: 0,
        }
    }

    fn delay_ms(&self) -> u64 {
        (self.queued_us / self.millicores as f64) as u64
    }

    /// Takes a request. Returns its waiting time, or `None` if it was shed.
    fn take(&mut self, client: u64) -> Option<u64> {
        let share_used = match client >= FLOOD_CLIENT {
            true => 3.0,
            false => 0.5,
        };
        if self.shedding.try_shed(client, share_used) {
            self.queued_us += SHED_US as f64;
            return None;
        }
        self.shedding.count_kept(client, share_used);
        let delay_ms = self.delay_ms();
        self.queued_us += FORWARD_US as f64;
        Some(delay_ms)
    }

    fn on_timer(&mut self, now_ms: u64, reported: Option<HostLoads>) {
        let delay = at(self.delay_ms());
        self.shedding.on_timer(at(now_ms), delay);
        let has_changed = self.load.on_timer(at(now_ms), delay, reported);
        if has_changed && self.load.is_relieved() {
            self.departures.push(now_ms);
        }
    }

    fn on_poll(&mut self) {
        let is_ready = self.load.takes_callers();
        self.load.on_ready_answer(is_ready);
        match is_ready {
            true => (self.misses, self.is_in_rotation) = (0, true),
            false => self.misses += 1,
        }
        self.is_in_rotation &= self.misses < 2;
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct Got {
    /// Steady clients' requests.
    steady: u64,
    steady_in_time: u64,
    flood_in_time: u64,
    /// Most hosts that were relieved at one moment.
    max_relieved: u32,
    departures: usize,
    /// Time that the hosts were out of rotation by their own wish, of all time.
    relieved_ratio: f64,
    /// Most departures of one host in any ten seconds.
    max_departures_in_10_s: usize,
}

impl Got {
    fn steady_ratio(&self) -> f64 {
        self.steady_in_time as f64 / self.steady as f64
    }
}

/// A client that sends many requests on connections that it keeps.
#[derive(Debug, Default)]
struct FloodClient {
    /// Hosts of its idle connections; `None` for one that is not open.
    connections: VecDeque<Option<usize>>,
    requests: u64,
}

impl FloodClient {
    fn new() -> Self {
        Self {
            connections: VecDeque::from(vec![None; KEPT_CONNECTIONS]),
            requests: 0,
        }
    }

    /// Sends a request. Returns its waiting time, or `None` if it was refused twice.
    fn send(&mut self, now_ms: u64, hosts: &mut [SmallHost], client: u64) -> Option<u64> {
        let (first, second) = hosts_of(hosts, client);
        self.requests += 1;
        let waited = match self.requests.is_multiple_of(REQUESTS_PER_NEW_CONNECTION) {
            true => hosts[first].take(client),
            false => {
                let connection = self.connections.pop_front().flatten();
                let host = connection.unwrap_or(first);
                let waited = hosts[host].take(client);
                let is_kept = waited.is_some() || !hosts[host].load.try_close(at(now_ms));
                self.connections.push_back(is_kept.then_some(host));
                waited
            }
        };
        waited.or_else(|| hosts[second].take(client))
    }
}

/// Returns the hosts that the balancer uses for a client, the first one for its connections and the second one for retries.
fn hosts_of(hosts: &[SmallHost], client: u64) -> (usize, usize) {
    let in_rotation = hosts.iter().filter(|host| host.is_in_rotation).count();
    let uses_all = in_rotation * 2 < hosts.len();
    let (mut first, mut second) = ((u64::MAX, 0), (u64::MAX, 0));
    for (index, host) in hosts.iter().enumerate() {
        let ranked = (pair_hash(client, index as u64), index);
        if !(uses_all || host.is_in_rotation) {
            continue;
        }
        if ranked < first {
            second = std::mem::replace(&mut first, ranked);
        } else if ranked < second {
            second = ranked;
        }
    }
    (first.1, second.1)
}

fn is_due(now_ms: u64, per_s: u64, offset: u64) -> u64 {
    let count = |at_ms: u64| (at_ms * per_s + offset * 97) / 1_000;
    count(now_ms + STEP_MS) - count(now_ms)
}

fn play(site: Site<'_>) -> Got {
    let hosts = site.millicores.iter().zip(0..);
    let mut hosts: Vec<_> = hosts
        .map(|(millicores, number)| SmallHost::new(number, *millicores))
        .collect();
    let flood_clients = match site.floods_all {
        true => 4 * hosts.len() as u64,
        false => 1,
    };
    let mut floods: Vec<_> = (0..flood_clients).map(|_| FloodClient::new()).collect();
    let mut reported = None;
    let mut got = Got::default();
    for now_ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        if now_ms % REPORT_MS == 0 && site.have_reports {
            let mut sum = HostLoads::default();
            hosts.iter().for_each(|host| sum.add(&host.load.own()));
            got.max_relieved = got.max_relieved.max(sum.relieved);
            reported = Some(sum);
        }
        for (host, offset) in hosts.iter_mut().zip(0_u64..) {
            host.queued_us = (host.queued_us - (host.millicores * STEP_MS) as f64).max(0.0);
            host.relieved_ms += u64::from(host.load.is_relieved()) * STEP_MS;
            if (now_ms + offset) % TIMER_MS == 0 {
                host.on_timer(now_ms, reported);
            }
            if (now_ms + offset * 61) % POLL_MS == 0 {
                host.on_poll();
            }
        }
        for client in 0..STEADY_CLIENTS {
            for _ in 0..is_due(now_ms, STEADY_PER_S, client) {
                let (first, second) = hosts_of(&hosts, client);
                let waited = hosts[first].take(client);
                let waited = waited.or_else(|| hosts[second].take(client));
                got.steady += 1;
                got.steady_in_time += u64::from(is_in_time(waited));
            }
        }
        for (flood, client) in floods.iter_mut().zip(FLOOD_CLIENT..) {
            for _ in 0..is_due(now_ms, site.flood_per_s, client) {
                let waited = flood.send(now_ms, &mut hosts, client);
                got.flood_in_time += u64::from(is_in_time(waited));
            }
        }
    }
    let relieved_ms: u64 = hosts.iter().map(|host| host.relieved_ms).sum();
    got.relieved_ratio = relieved_ms as f64 / (LENGTH_MS * hosts.len() as u64) as f64;
    got.departures = hosts.iter().map(|host| host.departures.len()).sum();
    let most = hosts
        .iter()
        .map(|host| most_in_10_s(&host.departures))
        .max();
    got.max_departures_in_10_s = most.unwrap_or(0);
    got
}

fn is_in_time(waited_ms: Option<u64>) -> bool {
    waited_ms.is_some_and(|waited_ms| waited_ms <= TARGET_MS)
}

fn most_in_10_s(times: &[u64]) -> usize {
    let within = |start: u64| {
        times
            .iter()
            .filter(move |at| (start..start + 10_000).contains(*at))
    };
    times
        .iter()
        .map(|start| within(*start).count())
        .max()
        .unwrap_or(0)
}

const SMALL_HOSTS: &[u32] = &[90; 15];
const MIXED_HOSTS: &[u32] = &[
    90, 300, 300, 300, 500, 90, 500, 90, 90, 90, 90, 90, 90, 90, 90,
];

fn site(millicores: &[u32]) -> Site<'_> {
    Site {
        millicores,
        flood_per_s: 400,
        have_reports: true,
        floods_all: false,
    }
}

/// Guards against a client's flood that keeps to one small host while other hosts have time.
#[parameterized(
    small = { SMALL_HOSTS },
    mixed = { MIXED_HOSTS },
)]
fn a_flood_of_one_client_reaches_hosts_with_time(millicores: &[u32]) {
    let got = play(site(millicores));
    let before = play(Site {
        have_reports: false,
        ..site(millicores)
    });
    assert!(
        got.flood_in_time * 10 >= before.flood_in_time * 15,
        "{got:?} before {before:?}"
    );
    assert!(got.steady_ratio() >= 0.99, "{got:?}");
}

/// Guards against a flood that makes hosts leave and return in turn.
#[test]
fn no_host_leaves_more_than_three_times_in_ten_seconds() {
    let got = play(site(SMALL_HOSTS));
    assert!(got.max_departures_in_10_s <= 3, "{got:?}");
    assert!(got.max_relieved <= 6, "{got:?}");
}

/// Guards against hosts that leave although no other has time: callers would be led to fewer hosts.
#[test]
fn hosts_stay_if_the_whole_data_centre_is_flooded() {
    let site = Site {
        floods_all: true,
        ..site(SMALL_HOSTS)
    };
    let got = play(site);
    let before = play(Site {
        have_reports: false,
        ..site
    });
    assert!(got.relieved_ratio <= 0.02, "{got:?}");
    assert!(
        got.steady_ratio() >= before.steady_ratio() - 0.02,
        "{got:?} before {before:?}"
    );
}

/// Load of a data centre of eight equal hosts.
fn eight_hosts(pressed: u32, relieved: u32) -> HostLoads {
    HostLoads {
        hosts: 8,
        pressed,
        relieved,
        processor_millicores: 720,
        relieved_millicores: 90 * relieved,
    }
}

/// Sends a host timers that are late, for a time.
fn run_late(load: &mut HostLoad, times_ms: (u64, u64), late_ms: u64, reported: Option<HostLoads>) {
    for now_ms in (times_ms.0..times_ms.1).step_by(TIMER_MS as usize) {
        load.on_timer(at(now_ms), at(late_ms), reported);
    }
}

/// Guards against a host that stays out of rotation after it was cut off from the reports of others.
#[test]
fn a_relieved_host_without_reports_returns() {
    let mut load = HostLoad::new(1, 90);
    run_late(&mut load, (0, 1_000), 40, Some(eight_hosts(1, 0)));
    assert!(load.is_relieved());
    run_late(&mut load, (1_000, 1_100), 40, None);
    assert!(load.takes_callers(), "{load:?}");
    run_late(&mut load, (1_100, 2_000), 200, None);
    assert!(!load.takes_callers(), "{load:?}");
}

/// Guards against a host that leaves after it was frozen, although it has time again.
#[test]
fn one_late_timer_moves_no_callers() {
    let mut load = HostLoad::new(1, 90);
    run_late(&mut load, (0, 1_000), 1, Some(eight_hosts(0, 0)));
    load.on_timer(at(1_020), at(150), Some(eight_hosts(0, 0)));
    run_late(&mut load, (1_040, 3_000), 1, Some(eight_hosts(0, 0)));
    assert!(load.own().pressed == 0 && load.takes_callers(), "{load:?}");
}

/// Guards against more hosts out of rotation than others can take the callers of.
#[parameterized(
    room = { eight_hosts(1, 0), true },
    none_left = { eight_hosts(1, 2), false },
    most_are_pressed = { eight_hosts(4, 1), false },
    alone = { HostLoads { hosts: 1, pressed: 1, ..HostLoads::default() }, false },
)]
fn a_bounded_part_of_a_data_centre_leaves(reported: HostLoads, leaves: bool) {
    let mut load = HostLoad::new(1, 90);
    run_late(&mut load, (0, 1_500), 40, Some(reported));
    assert_eq!(load.is_relieved(), leaves, "{load:?}");
}

/// Guards against a large host that leaves its callers to hosts that are smaller.
#[parameterized(large = { 500, false }, small = { 90, true })]
fn a_large_host_stays_while_small_ones_are_out(millicores: u32, leaves: bool) {
    let reported = HostLoads {
        hosts: 8,
        pressed: 1,
        relieved: 1,
        processor_millicores: 1_130,
        relieved_millicores: 90,
    };
    let mut load = HostLoad::new(1, millicores);
    run_late(&mut load, (0, 1_500), 40, Some(reported));
    assert_eq!(load.is_relieved(), leaves, "{load:?}");
}

/// Guards against a host that is out of rotation nearly always because its load never ends.
#[test]
fn a_host_is_out_for_a_bounded_part_of_its_time() {
    let mut load = HostLoad::new(1, 90);
    let mut relieved_ms = 0;
    for now_ms in (0..200_000).step_by(TIMER_MS as usize) {
        load.on_timer(at(now_ms), at(40), Some(eight_hosts(1, 0)));
        relieved_ms += u64::from(load.is_relieved()) * TIMER_MS;
    }
    assert!((20_000..=41_000).contains(&relieved_ms), "{relieved_ms}");
}

/// Guards against connections that are closed while the balancer would lead their callers back to the same host.
#[test]
fn connections_are_closed_one_by_one_after_the_balancer_was_told() {
    let mut load = HostLoad::new(1, 90);
    run_late(&mut load, (0, 1_000), 40, Some(eight_hosts(1, 0)));
    load.on_ready_answer(false);
    assert!(!load.try_close(at(1_000)));
    load.on_ready_answer(false);
    let closed = (1_000..2_000).filter(|now_ms| load.try_close(at(*now_ms)));
    assert_eq!(closed.count(), 40);
    load.on_ready_answer(true);
    assert!(!load.try_close(at(3_000)));
}

/// Creates the hosts of one data centre.
fn fleet(hosts: u64) -> Vec<Host> {
    let listed = (1..=hosts).map(|host| ListedHost {
        host,
        data_centre: stable_hash("here"),
    });
    let listed: Vec<_> = listed.collect();
    let fleet = (1..=hosts).map(|number| {
        let mut host = Host::with(settings(number));
        host.send(0, DispatchEvent::HostsListed(listed.clone()));
        host
    });
    fleet.collect()
}

fn pressed_state() -> HostState {
    HostState {
        load: HostLoads {
            hosts: 1,
            pressed: 1,
            processor_millicores: 90,
            ..HostLoads::default()
        },
        ..live()
    }
}

/// Guards against hosts that do not learn of the pressed hosts of their data centre.
#[parameterized(small_fleet = { 4 }, with_relays = { 20 })]
fn hosts_know_how_many_are_pressed(hosts: u64) {
    let mut fleet = fleet(hosts);
    for now_ms in (20..3_000).step_by(50) {
        for sender in 0..fleet.len() {
            fleet[sender].send(now_ms, DispatchEvent::Tick);
            let due = fleet[sender]
                .dispatcher
                .reports_due(at(now_ms), pressed_state());
            for outgoing in due {
                for to in outgoing.to {
                    let report = DispatchEvent::Reported(outgoing.report.clone());
                    fleet[to.host as usize - 1].send(now_ms, report);
                }
            }
        }
    }
    for host in &mut fleet {
        let own = pressed_state().load;
        let loads = host.dispatcher.host_loads(at(3_000), own);
        let loads = loads.expect("known");
        assert_eq!((loads.hosts, loads.pressed), (hosts as u32, hosts as u32));
        assert_eq!(loads.processor_millicores, 90 * hosts as u32);
        host.send(6_000, DispatchEvent::Tick);
        assert!(host.dispatcher.host_loads(at(6_000), own).is_none());
    }
}

/// Guards against a report with impossible counts that makes hosts leave.
#[test]
fn impossible_loads_are_bounded_and_counted() {
    let mut fleet = fleet(3);
    let report = PeerReport {
        host_loads: Some(HostLoads {
            hosts: u32::MAX,
            pressed: u32::MAX,
            relieved: 7,
            processor_millicores: u32::MAX,
            relieved_millicores: u32::MAX,
        }),
        ..fleet[1].dispatcher.report(pressed_state())
    };
    fleet[0].send(100, DispatchEvent::Reported(report));
    let loads = fleet[0]
        .dispatcher
        .host_loads(at(100), pressed_state().load);
    let loads = loads.expect("known");
    assert_eq!((loads.hosts, loads.pressed, loads.relieved), (2, 1, 1));
    assert_eq!(fleet[0].dispatcher.counts().host_loads_bounded, 1);
}

/// Guards against hosts of an earlier version whose reports would not be read.
#[test]
fn a_report_without_loads_is_read() {
    let report = fleet(2)[1].dispatcher.report(live());
    let decoded = PeerReport::decode(&report.encode()).expect("a report");
    assert_eq!((decoded.host_loads, decoded.hosts), (None, 1));
}
