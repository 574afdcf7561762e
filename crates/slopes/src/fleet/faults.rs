//! Hosts that fail and come back, and regions that lose each other.

use std::collections::BTreeMap;
use std::time::Duration;

use sedgeridge_coordination::node::Node;
use sedgeridge_coordination::node::NodeEvent;
use sedgeridge_state::ids::EndpointId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::ids::PoolId;

use crate::design;
use crate::fleet::Fleet;
use crate::fleet::PendingEvent;
use crate::fleet::START_UNIX_US;
use crate::fleet::costs::Component;

/// Step in which the fleet is looked at.
const STEP: Duration = Duration::from_millis(20);

impl Fleet {
    /// Tells whether messages of one host come to another.
    pub(super) fn can_reach(&self, from: usize, to: usize) -> bool {
        self.nodes[to].is_running && self.nodes[from].partition == self.nodes[to].partition
    }

    /// Tells whether a host reaches an endpoint: the hosts of its site stand on the same side.
    pub(super) fn can_reach_endpoint(&self, host: usize, endpoint: &EndpointId) -> bool {
        let digits = endpoint.as_str().trim_start_matches("engine-");
        let index: usize = digits.parse().expect("endpoints are numbered");
        let neighbour = index % design::SITE_COUNT;
        let partition = self.nodes.get(neighbour).map(|node| node.partition);
        partition.is_none_or(|partition| partition == self.nodes[host].partition)
    }

    /// Ends hosts at once; what they ran runs on at its engines for nobody.
    pub fn kill(&mut self, hosts: &[usize]) {
        for host in hosts {
            self.nodes[*host].is_running = false;
        }
    }

    /// Tells a host to stop: it leaves the fleet and finishes its requests.
    pub fn stop(&mut self, host: usize) {
        self.handle_event(host, Component::Timers, NodeEvent::StopRequested);
    }

    /// Starts hosts again, with no memory of what they knew.
    pub fn restart(&mut self, hosts: &[usize]) {
        let settings = design::settings(self.size);
        for host in hosts {
            let member = Member {
                host: design::host_id(*host),
                incarnation: Incarnation(START_UNIX_US + self.now.as_micros() as u64),
            };
            // What was due to the run before must not reach this one.
            self.pending.retain(|_, (node, pending)| {
                node != host
                    || matches!(
                        pending,
                        PendingEvent::AttemptEnded(..) | PendingEvent::Arrival
                    )
            });
            let seed = self.seed + self.now.as_micros() as u64 + *host as u64;
            let node = &mut self.nodes[*host];
            node.node = Node::new(member.clone(), settings.clone(), seed);
            node.member = member;
            node.is_running = true;
            node.last_tick = Duration::ZERO;
            node.wake_at = self.now;
            self.schedule(self.now, *host, PendingEvent::Wake);
        }
    }

    /// Cuts these hosts off from the others.
    pub fn isolate(&mut self, hosts: &[usize]) {
        for host in hosts {
            self.nodes[*host].partition = 1;
        }
    }

    /// Joins all hosts again.
    pub fn heal_partition(&mut self) {
        for node in &mut self.nodes {
            node.partition = 0;
        }
    }

    /// Tells whether every running host believes in all running hosts of its side and no others.
    pub fn is_membership_agreed(&self) -> bool {
        let running = |partition: u8| {
            let nodes = self.nodes.iter();
            nodes
                .filter(|n| n.is_running && n.partition == partition)
                .count()
        };
        let expected = [running(0), running(1)];
        let mut nodes = self.nodes.iter().filter(|n| n.is_running);
        nodes.all(|n| {
            let members = n.node.members();
            members.len() == expected[usize::from(n.partition)]
                && members.iter().all(|m| {
                    let other = &self.nodes[self.index[&m.member.host]];
                    other.is_running && other.partition == n.partition && other.member == m.member
                })
        })
    }

    /// Runs until all agree; returns the time it took, or the limit.
    pub fn run_until_agreed(&mut self, limit: Duration) -> Duration {
        let started_at = self.now;
        while !self.is_membership_agreed() && self.now < started_at + limit {
            self.run_for(STEP);
        }
        self.now - started_at
    }

    /// Returns the grants of each pool so far, by whichever home.
    pub fn grants(&self) -> BTreeMap<PoolId, u64> {
        let mut grants = BTreeMap::new();
        for node in self.nodes.iter().filter(|n| n.is_running) {
            for (pool, counters) in node.node.home_counters() {
                *grants.entry(pool.clone()).or_default() += counters.grants;
            }
        }
        grants
    }

    /// Returns the host that is the home of a pool.
    pub fn home_of(&self, pool: &PoolId) -> Option<usize> {
        let homes = |host: &usize| {
            let node = &self.nodes[*host];
            node.is_running && node.node.home_counters().any(|(homed, _)| homed == pool)
        };
        (0..self.nodes.len()).find(homes)
    }

    /// Returns the requests that run at all engines.
    pub fn requests_running(&self) -> u64 {
        self.running_requests.values().map(|n| u64::from(*n)).sum()
    }

    /// Returns the payload of membership messages since the last reset.
    pub fn membership_bytes(&self) -> u64 {
        let nodes = self.nodes.iter();
        nodes
            .map(|n| n.costs.sent_of(Component::Membership).payload_bytes)
            .sum()
    }

    /// Returns what all hosts sent since the last reset: messages and bytes of payload.
    pub fn sent(&self) -> (u64, u64) {
        let traffic = self.nodes.iter().flat_map(|n| n.costs.sent.values());
        traffic.fold((0, 0), |(messages, bytes), t| {
            (messages + t.messages, bytes + t.payload_bytes)
        })
    }
}
