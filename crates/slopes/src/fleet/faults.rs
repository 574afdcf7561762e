//! Faults of a simulated fleet: hosts that fail and restart, and network partitions.

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

/// Interval at which agreement is checked.
const STEP: Duration = Duration::from_millis(20);

impl Fleet {
    /// Tells whether messages from one host reach another.
    pub(super) fn can_reach(&self, from: usize, to: usize) -> bool {
        self.nodes[to].is_running && self.nodes[from].partition == self.nodes[to].partition
    }

    /// Tells whether a host can reach an endpoint, which is in the same partition as the hosts of
    /// its site.
    pub(super) fn can_reach_endpoint(&self, host: usize, endpoint: &EndpointId) -> bool {
        let digits = endpoint.as_str().trim_start_matches("engine-");
        let index: usize = digits.parse().expect("endpoints are numbered");
        let neighbour = index % design::SITE_COUNT;
        let partition = self.nodes.get(neighbour).map(|node| node.partition);
        partition.is_none_or(|partition| partition == self.nodes[host].partition)
    }

    /// Kills hosts at once; their requests keep running at the engines, with nobody to receive the
    /// output.
    pub fn kill(&mut self, hosts: &[usize]) {
        for host in hosts {
            self.nodes[*host].is_running = false;
        }
    }

    /// Requests a graceful stop: the host leaves the fleet and finishes its requests.
    pub fn stop(&mut self, host: usize) {
        self.handle_event(host, Component::Timers, NodeEvent::StopRequested);
    }

    /// Restarts hosts with empty state.
    pub fn restart(&mut self, hosts: &[usize]) {
        let settings = design::settings(self.size);
        for host in hosts {
            let member = Member {
                host: design::host_id(*host),
                incarnation: Incarnation(START_UNIX_US + self.now.as_micros() as u64),
            };
            // Events scheduled for the previous run must not reach the new one.
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

    /// Puts these hosts into a partition that cannot reach the others.
    pub fn isolate(&mut self, hosts: &[usize]) {
        for host in hosts {
            self.nodes[*host].partition = 1;
        }
    }

    /// Ends the partition.
    pub fn heal_partition(&mut self) {
        for node in &mut self.nodes {
            node.partition = 0;
        }
    }

    /// Tells whether every running host's member list holds exactly the running hosts of its
    /// partition.
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

    /// Runs until membership is agreed; returns the time it took, or the limit.
    pub fn run_until_agreed(&mut self, limit: Duration) -> Duration {
        let started_at = self.now;
        while !self.is_membership_agreed() && self.now < started_at + limit {
            self.run_for(STEP);
        }
        self.now - started_at
    }

    /// Returns the grants of each pool so far, summed over all running homes.
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

    /// Returns the number of requests running at all engines.
    pub fn requests_running(&self) -> u64 {
        self.running_requests.values().map(|n| u64::from(*n)).sum()
    }

    /// Returns the payload bytes of membership messages since the last reset.
    pub fn membership_bytes(&self) -> u64 {
        let nodes = self.nodes.iter();
        nodes
            .map(|n| n.costs.sent_of(Component::Membership).payload_bytes)
            .sum()
    }

    /// Returns the messages and payload bytes that all hosts sent since the last reset.
    pub fn sent(&self) -> (u64, u64) {
        let traffic = self.nodes.iter().flat_map(|n| n.costs.sent.values());
        traffic.fold((0, 0), |(messages, bytes), t| {
            (messages + t.messages, bytes + t.payload_bytes)
        })
    }
}
