//! Tests for what hosts of a large fleet know of each other's work through relays.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::arrival::RequestId;
use sedgeridge_fleet::config::Repeat;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::peer_report::Scope;
use sedgeridge_fleet::peer_report::set_included;

use support::Host;
use support::PLAIN;
use support::at;
use support::endpoint;
use support::live;
use support::plain_request;
use support::settings;

/// Time between two steps of a simulated fleet.
const STEP_MS: u64 = 50;

/// A datagram on its way.
struct Datagram {
    to: u64,
    bytes: Vec<u8>,
}

/// Hosts in three data centres, and the links between them.
struct Fleet {
    now: u64,
    hosts: Vec<(u64, Host)>,
    unreachable: BTreeSet<u64>,
    /// Share of the datagrams that is dropped, in percent.
    loss_percent: u64,
    random: SeededRandom,
    bytes_sent: usize,
    sums_sent: BTreeSet<u64>,
}

impl Fleet {
    fn new(size: u64, seed: u64) -> Self {
        let data_centre_of = |host: u64| format!("dc-{}", host % 3);
        let listed = (0..size).map(|host| ListedHost {
            host: stable_hash(&host.to_string()),
            data_centre: stable_hash(&data_centre_of(host)),
        });
        let listed: Vec<_> = listed.collect();
        let hosts = (0..size).map(|host| {
            let key = stable_hash(&host.to_string());
            let mut host = Host::with(DispatcherSettings {
                data_centre: Arc::from(data_centre_of(host)),
                ..settings(key)
            });
            let large = Endpoint {
                slots: 10_000,
                ..endpoint(PLAIN, "large")
            };
            host.send(0, DispatchEvent::EndpointListed(large));
            host.send(0, DispatchEvent::HostsListed(listed.clone()));
            (key, host)
        });
        Self {
            now: 0,
            hosts: hosts.collect(),
            unreachable: BTreeSet::new(),
            loss_percent: 0,
            random: SeededRandom::new(seed),
            bytes_sent: 0,
            sums_sent: BTreeSet::new(),
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            let datagrams = self.send_all();
            self.deliver(datagrams);
        }
    }

    fn send_all(&mut self) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        for (key, host) in &mut self.hosts {
            if self.unreachable.contains(key) {
                continue;
            }
            host.send(self.now, DispatchEvent::Tick);
            for outgoing in host.dispatcher.reports_due(at(self.now), live()) {
                if outgoing.report.scope == Scope::Fleet {
                    self.sums_sent.insert(*key);
                }
                let mut bytes = outgoing.report.encode();
                for addressee in outgoing.to {
                    set_included(&mut bytes, addressee.included);
                    self.bytes_sent += bytes.len();
                    datagrams.push(Datagram {
                        to: addressee.host,
                        bytes: bytes.clone(),
                    });
                }
            }
        }
        datagrams
    }

    fn deliver(&mut self, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            let is_dropped = self.random.below(100) < self.loss_percent;
            if is_dropped || self.unreachable.contains(&datagram.to) {
                continue;
            }
            let report = PeerReport::decode(&datagram.bytes).expect("a report");
            let mut hosts = self.hosts.iter_mut();
            if let Some((_, host)) = hosts.find(|(key, _)| *key == datagram.to) {
                host.send(self.now, DispatchEvent::Reported(report));
            }
        }
    }

    fn start(&mut self, host: usize) -> RequestId {
        let request = plain_request(self.now, Repeat::Idempotent);
        let (id, verdict) = self.hosts[host].1.arrive(self.now, request);
        assert!(verdict.is_some(), "the request was not sent");
        id
    }

    fn finish(&mut self, host: usize, request: RequestId) {
        let event = DispatchEvent::Completed(request);
        self.hosts[host].1.send(self.now, event);
    }

    /// Returns the requests in progress in the fleet, as each live host counts them.
    fn known_requests(&self) -> Vec<u32> {
        let key = endpoint(PLAIN, "large").key;
        let live = self
            .hosts
            .iter()
            .filter(|(key, _)| !self.unreachable.contains(key));
        let known = live.map(|(_, host)| host.dispatcher.endpoint_load(key).requests);
        known.collect()
    }

    fn data_centre(&self, host: usize) -> usize {
        host % 3
    }
}

#[test]
fn every_host_knows_the_whole_fleets_work() {
    let mut fleet = Fleet::new(81, 1);
    fleet.run(3_000);
    for host in 0..81 {
        fleet.start(host);
    }
    fleet.run(1_000);
    assert_eq!(fleet.known_requests(), vec![81; 81]);
}

/// Guards against slow first events although most engines are idle: hosts that do not know of each
/// other's new work send theirs to the same engine. Each request must be known everywhere, also in
/// other data centres, a moment after its start; with reports each 150 ms and sums each 300 ms it
/// took 750 ms.
#[test]
fn new_work_is_known_everywhere_within_300_ms() {
    let mut fleet = Fleet::new(81, 1);
    fleet.run(3_000);
    for started in 1..=40 {
        fleet.start(started as usize);
        fleet.run(300);
        assert_eq!(fleet.known_requests(), vec![started; 81]);
        fleet.run(STEP_MS);
    }
}

/// A host counts its own new work at once and stops counting finished work at once. Sums that a
/// relay made a moment ago hold the host's earlier work and must not bring it back.
#[test]
fn own_work_in_old_sums_is_not_counted_twice() {
    let mut fleet = Fleet::new(24, 1);
    fleet.run(3_000);
    for _ in 0..40 {
        let request = fleet.start(5);
        fleet.run(STEP_MS);
        let known = fleet.known_requests()[5];
        assert_eq!(known, 1, "own work counted {known} times");
        fleet.finish(5, request);
        fleet.run(STEP_MS);
        assert_eq!(fleet.known_requests()[5], 0);
    }
}

/// The relays of a data centre are killed, and its hosts get no sums. After a while the relays are
/// suspected and others are chosen, so that all hosts know the fleet's work again. The work of the
/// killed hosts is forgotten.
#[test]
fn other_hosts_become_relays_when_the_relays_are_lost() {
    let mut fleet = Fleet::new(81, 1);
    fleet.run(3_000);
    for host in 0..81 {
        fleet.start(host);
    }
    fleet.run(1_000);
    let relays = fleet.sums_sent.clone();
    fleet.unreachable = relays.clone();
    fleet.run(5_000);
    let remaining = 81 - relays.len();
    assert_eq!(fleet.known_requests(), vec![remaining as u32; remaining]);
}

/// Most of the fleet is killed at once, including relays. The other hosts must know each other's
/// work again within seconds.
#[test]
fn a_fleet_that_lost_most_of_its_hosts_sums_up_the_remaining_work() {
    let mut fleet = Fleet::new(81, 1);
    fleet.run(3_000);
    for host in 0..81 {
        fleet.start(host);
    }
    let mut random = SeededRandom::new(7);
    while fleet.unreachable.len() < 60 {
        let victim = random.below(81) as usize;
        fleet.unreachable.insert(fleet.hosts[victim].0);
    }
    fleet.run(8_000);
    assert_eq!(fleet.known_requests(), vec![21; 21]);
}

/// A data centre is cut off and comes back. During the cut each side knows its own work; afterwards
/// all hosts know all work.
#[test]
fn sums_cover_the_reachable_part_during_a_cut() {
    let mut fleet = Fleet::new(30, 1);
    fleet.run(3_000);
    for host in 0..30 {
        fleet.start(host);
    }
    fleet.run(1_000);
    let cut: Vec<u64> = (0..30)
        .filter(|host| fleet.data_centre(*host) == 0)
        .map(|host| fleet.hosts[host].0)
        .collect();
    fleet.unreachable = cut.into_iter().collect();
    fleet.run(5_000);
    assert_eq!(fleet.known_requests(), vec![20; 20]);
    fleet.unreachable.clear();
    fleet.run(3_000);
    assert_eq!(fleet.known_requests(), vec![30; 30]);
}

/// A host is frozen for some seconds. It finds that no relay has sent it a sum for long and
/// suspects them all. Its report still goes to them once, and they answer, so it must know the
/// fleet's work again within a second.
#[test]
fn a_host_that_was_frozen_is_back_within_a_second() {
    let mut fleet = Fleet::new(81, 1);
    fleet.run(3_000);
    for host in 0..81 {
        fleet.start(host);
    }
    fleet.run(1_000);
    let frozen = fleet.hosts[5].0;
    fleet.unreachable.insert(frozen);
    fleet.run(4_000);
    fleet.unreachable.clear();
    fleet.run(1_000);
    assert_eq!(fleet.known_requests()[5], 81);
}

/// With lost datagrams, a host's count must differ from the truth by less than a twentieth at any
/// moment once the work has been steady for a while.
#[test]
fn lost_datagrams_have_little_effect() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(40, seed);
        fleet.run(3_000);
        fleet.loss_percent = 10;
        for host in 0..40 {
            fleet.start(host);
        }
        fleet.run(1_500);
        for _ in 0..40 {
            fleet.run(STEP_MS);
            for known in fleet.known_requests() {
                assert!((38..=42).contains(&known), "seed {seed}: {known} of 40");
            }
        }
    }
}

/// Guards against the cost of reports from every host to every other one, 80 KB/s for a host of
/// this fleet. The test counts datagram payload of idle hosts with a few requests each.
#[test]
fn reports_of_a_large_fleet_stay_small() {
    let mut fleet = Fleet::new(81, 1);
    fleet.run(3_000);
    for host in 0..81 {
        fleet.start(host);
    }
    fleet.run(1_000);
    let before = fleet.bytes_sent;
    fleet.run(10_000);
    let bytes_per_second_and_host = (fleet.bytes_sent - before) / 10 / 81;
    assert!(
        bytes_per_second_and_host < 10_000,
        "{bytes_per_second_and_host} bytes"
    );
}
