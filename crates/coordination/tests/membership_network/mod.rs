//! Simulated network of memberships with loss, delay, partitions, restarts and freezes.
#![allow(dead_code)]

pub mod encoding;
pub mod reports;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use sedgeridge_coordination::membership::HostHint;
use sedgeridge_coordination::membership::ListedHost;
use sedgeridge_coordination::membership::LiveMember;
use sedgeridge_coordination::membership::MemberState;
use sedgeridge_coordination::membership::Membership;
use sedgeridge_coordination::membership::MembershipAction;
use sedgeridge_coordination::membership::MembershipEvent;
use sedgeridge_coordination::membership::Message;
use sedgeridge_state::ids::HostId;
use sedgeridge_state::ids::Incarnation;
use sedgeridge_state::ids::Member;
use sedgeridge_state::settings::MembershipSettings;

use reports::Costs;
use reports::Reports;

/// Wall-clock time at the start of each simulated run.
const START_UNIX_US: u64 = 1_800_000_000_000_000;

/// Maximum number of messages that wait for a frozen process. Further ones are lost.
const MAX_FROZEN_INBOX: usize = 1_000;

/// Loss and delay of messages.
#[derive(Debug, Clone)]
pub struct Links {
    pub loss_percent: u64,
    pub delay_us: Range<u64>,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            loss_percent: 0,
            delay_us: 500..1_500,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Deliver(usize),
    Wake,
}

/// One host of the network.
#[derive(Debug)]
pub struct Node {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub membership: Option<Membership>,
    pub reports: Reports,
    started_at: Duration,
    is_frozen: bool,
    inbox: Vec<Message>,
    partition_group: u32,
}

/// Hosts and the messages between them.
#[derive(Debug)]
pub struct Network {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub costs: Costs,
    /// Pairs that cannot reach each other, whatever their partition groups.
    pub cut_pairs: BTreeSet<(usize, usize)>,
    settings: MembershipSettings,
    index: BTreeMap<HostId, usize>,
    tasks: BinaryHeap<Reverse<(Duration, u64, usize, Task)>>,
    in_flight: BTreeMap<usize, Message>,
    sequence: u64,
    random_state: u64,
}

impl Network {
    /// Creates `count` hosts that have not started.
    pub fn new(count: usize, settings: MembershipSettings, links: Links, seed: u64) -> Self {
        let hosts: Vec<HostId> = (0..count).map(host_name).collect();
        let nodes = hosts.iter().map(|host| Node {
            host: host.clone(),
            incarnation: Incarnation(0),
            membership: None,
            reports: Reports::default(),
            started_at: Duration::ZERO,
            is_frozen: false,
            inbox: Vec::new(),
            partition_group: 0,
        });
        Self {
            now: Duration::ZERO,
            nodes: nodes.collect(),
            links,
            costs: Costs::default(),
            cut_pairs: BTreeSet::new(),
            settings,
            index: hosts.iter().cloned().zip(0..).collect(),
            tasks: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            random_state: seed,
        }
    }

    /// Creates `count` hosts, starts them and lets them find each other.
    pub fn settled(count: usize, links: Links, seed: u64) -> Self {
        let mut network = Self::new(count, MembershipSettings::default(), links, seed);
        network.start_all();
        network.run(Duration::from_secs(10));
        network
    }

    pub fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    /// Starts a host, or restarts it without its previous state.
    pub fn start(&mut self, node: usize) {
        let incarnation = START_UNIX_US + self.now.as_micros() as u64;
        self.start_with_incarnation(node, Incarnation(incarnation));
    }

    pub fn start_with_incarnation(&mut self, node: usize, incarnation: Incarnation) {
        let hosts = self.nodes.iter().map(|n| n.host.clone()).collect();
        let seed = self.random_below(u64::MAX);
        let settings = self.settings.clone();
        let now = self.now;
        let started = &mut self.nodes[node];
        let member = Member {
            host: started.host.clone(),
            incarnation,
        };
        started.membership = Some(Membership::new(member, settings, hosts, seed));
        started.incarnation = incarnation;
        started.started_at = now;
        started.is_frozen = false;
        started.inbox.clear();
        started.reports = Reports::default();
        self.handle(node, MembershipEvent::Tick);
    }

    /// Ends a host at once.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].membership = None;
    }

    /// Stops a host from running; messages to it wait.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = true;
    }

    /// Resumes a frozen host, which handles its waiting messages first, then its overdue timer.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        for message in std::mem::take(&mut self.nodes[node].inbox) {
            self.handle(node, MembershipEvent::MessageReceived(message));
        }
        self.handle(node, MembershipEvent::Tick);
    }

    /// Resumes a frozen host, which handles its overdue timer first, then its waiting messages.
    pub fn resume_timer_first(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        self.handle(node, MembershipEvent::Tick);
        self.resume(node);
    }

    /// Partitions the network into the hosts in `group` and the others.
    pub fn partition(&mut self, group: &BTreeSet<usize>) {
        for (i, node) in self.nodes.iter_mut().enumerate() {
            node.partition_group = u32::from(group.contains(&i));
        }
    }

    pub fn heal(&mut self) {
        self.partition(&BTreeSet::new());
    }

    /// Passes an event to a host and carries out its actions.
    pub fn handle(&mut self, node: usize, event: MembershipEvent) {
        let target = &mut self.nodes[node];
        let Some(membership) = target.membership.as_mut() else {
            return;
        };
        let local_now = self.now - target.started_at;
        let mut actions = Vec::new();
        let begin = Instant::now();
        membership.handle(local_now, event, &mut actions);
        let wake = membership.next_wake();
        self.costs.handle_time += begin.elapsed();
        let wake_at = (target.started_at + wake).max(self.now);
        self.schedule(wake_at, node, Task::Wake);
        for action in actions {
            self.carry_out(node, action);
        }
    }

    /// Runs for `time` of simulated time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, ..))) = self.tasks.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, node, task))) = self.tasks.pop() else {
                break;
            };
            self.now = at;
            self.step(node, task);
        }
        self.now = end;
    }

    /// Runs until `done`, at most for `limit`. Returns the time taken, to 10 ms.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begin = self.now;
        while !done(self) {
            if self.now >= begin + limit {
                return None;
            }
            self.run(Duration::from_millis(10));
        }
        Some(self.now - begin)
    }

    /// Returns the running hosts, including frozen ones.
    pub fn running(&self) -> BTreeSet<HostId> {
        let running = self.nodes.iter().filter(|n| n.membership.is_some());
        running.map(|n| n.host.clone()).collect()
    }

    /// Whether every running host considers exactly the running hosts live, in their current run.
    pub fn agrees(&self) -> bool {
        let running: Vec<Member> = self
            .nodes
            .iter()
            .filter(|n| n.membership.is_some())
            .map(|n| Member {
                host: n.host.clone(),
                incarnation: n.incarnation,
            })
            .collect();
        self.nodes
            .iter()
            .filter(|n| n.membership.is_some())
            .all(|n| n.reports.live.iter().map(|m| &m.member).eq(&running))
    }

    /// Whether `node` considers `other` live.
    pub fn considers_live(&self, node: usize, other: usize) -> bool {
        let host = &self.nodes[other].host;
        let live = &self.nodes[node].reports.live;
        live.iter().any(|m| m.member.host == *host)
    }

    /// Returns the state of `other` as `node` knows it.
    pub fn state(&self, node: usize, other: usize) -> Option<MemberState> {
        let host = &self.nodes[other].host;
        let live = &self.nodes[node].reports.live;
        live.iter()
            .find(|m| m.member.host == *host)
            .map(|m| m.state)
    }

    /// Returns a platform's list that names all hosts.
    pub fn host_list(&self, hint: impl Fn(usize) -> HostHint) -> Vec<ListedHost> {
        let hosts = self.nodes.iter().enumerate();
        hosts
            .map(|(i, n)| ListedHost {
                host: n.host.clone(),
                hint: hint(i),
            })
            .collect()
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % bound.max(1)
    }

    fn step(&mut self, node: usize, task: Task) {
        match task {
            Task::Deliver(id) => {
                if let Some(message) = self.in_flight.remove(&id) {
                    self.deliver(node, message);
                }
            }
            Task::Wake => self.wake(node),
        }
    }

    fn wake(&mut self, node: usize) {
        let target = &self.nodes[node];
        let Some(membership) = target.membership.as_ref().filter(|_| !target.is_frozen) else {
            return;
        };
        if target.started_at + membership.next_wake() <= self.now {
            self.handle(node, MembershipEvent::Tick);
        }
    }

    fn deliver(&mut self, node: usize, message: Message) {
        let target = &mut self.nodes[node];
        if target.is_frozen {
            if target.inbox.len() < MAX_FROZEN_INBOX {
                target.inbox.push(message);
            }
            return;
        }
        self.handle(node, MembershipEvent::MessageReceived(message));
    }

    fn carry_out(&mut self, node: usize, action: MembershipAction) {
        let now = self.now;
        match action {
            MembershipAction::Send { to, message } => self.send(node, &to, message),
            MembershipAction::MembersChanged(live) => self.record_members(node, live),
            MembershipAction::GenerationSeen { generation, .. } => {
                let reports = &mut self.nodes[node].reports;
                reports.generation_times.entry(generation).or_insert(now);
            }
            MembershipAction::NoticeReceived(notice) => {
                self.nodes[node].reports.notices.push((now, notice));
            }
            MembershipAction::Outranked { incarnation } => {
                self.nodes[node].reports.outranked_by.push(incarnation);
            }
        }
    }

    fn record_members(&mut self, node: usize, live: Vec<LiveMember>) {
        let live_hosts: BTreeSet<&HostId> = live.iter().map(|m| &m.member.host).collect();
        let before = std::mem::take(&mut self.nodes[node].reports.live);
        for lost in before
            .iter()
            .filter(|m| !live_hosts.contains(&m.member.host))
        {
            let host = &lost.member.host;
            let other = &self.nodes[self.index[host]];
            let is_reachable = other.partition_group == self.nodes[node].partition_group;
            let is_false_loss = other.membership.is_some() && !other.is_frozen && is_reachable;
            let reports = &mut self.nodes[node].reports;
            reports.false_losses += u64::from(is_false_loss);
            reports.lost_at.insert(host.clone(), self.now);
        }
        self.nodes[node].reports.live = live;
    }

    fn send(&mut self, from: usize, to: &HostId, message: Message) {
        self.count_message(from, &message);
        self.nodes[from].reports.refutations = message.from.refutations;
        let Some(&target) = self.index.get(to) else {
            return;
        };
        let pair = (from.min(target), from.max(target));
        let is_cut = self.nodes[from].partition_group != self.nodes[target].partition_group;
        if is_cut
            || self.cut_pairs.contains(&pair)
            || self.random_below(100) < self.links.loss_percent
        {
            return;
        }
        let Range { start, end } = self.links.delay_us;
        let delay = Duration::from_micros(start + self.random_below(end - start));
        let id = self.sequence as usize;
        self.in_flight.insert(id, message);
        self.schedule(self.now + delay, target, Task::Deliver(id));
    }

    fn count_message(&mut self, from: usize, message: &Message) {
        let bytes = encoding::estimated_bytes(message);
        self.costs.message_count += 1;
        self.costs.total_bytes += bytes;
        self.costs.largest_bytes = self.costs.largest_bytes.max(bytes);
        let slot = (from, self.now.as_secs());
        *self.costs.bytes_by_second.entry(slot).or_default() += bytes;
    }

    fn schedule(&mut self, at: Duration, node: usize, task: Task) {
        self.tasks.push(Reverse((at, self.sequence, node, task)));
        self.sequence += 1;
    }
}

/// Returns the name of the host at a position. Names sort like positions.
pub fn host_name(position: usize) -> HostId {
    HostId::from(format!("router-{position:04}").as_str())
}
