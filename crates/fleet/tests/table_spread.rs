//! How soon every host of a large fleet knows that an endpoint has left.
//!
//! The store acknowledges that an endpoint leaves, and from the bound of the site on, two seconds at the
//! least, no request may reach it. On the way lie the store, the first follower, its report, the fetch of a
//! copy, and the host; each test takes one of them away.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::dispatcher::HostState;
use sedgeridge_fleet::dispatcher::StoreRole;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::row_watch::WatchStep;
use sedgeridge_fleet::table_news::TableNews;
use yare::parameterized;

use support::Host;
use support::at;
use support::settings;

/// Longest time until all hosts know, with one fault on the way. Three quarters of the shortest time in
/// which an endpoint may have to be left alone.
const KNOWN_WITHIN_MS: u64 = 1_500;
/// Time in which an endpoint may write its entry again after an outage of the store.
const REWRITE_MS: u64 = 2_300;
const STEP_MS: u64 = 10;
const HOLD_MS: u64 = 2_500;
const CALL_TIMEOUT_MS: u64 = 3_200;
const FETCH_SPREAD_MS: u64 = 120;
const FETCH_TIMEOUT_MS: u64 = 800;
const FETCH_MS: u64 = 20;
const ENDPOINTS: usize = 20;
/// Time that the fleet has to find itself before a test begins.
const START_MS: u64 = 4_000;

/// A table in the platform's store.
#[derive(Default)]
struct StoreTable {
    version: u64,
    rows: BTreeMap<String, u64>,
    /// Removed rows, by the version that removed them.
    removed: VecDeque<(u64, String)>,
    /// Changes up to this version are forgotten.
    forgotten: u64,
    is_away: bool,
    /// Hosts that are turned away.
    refused: BTreeSet<usize>,
    /// Hosts whose calls get no answer.
    silent: BTreeSet<usize>,
}

impl StoreTable {
    fn write(&mut self, key: &str) {
        self.version += 1;
        self.rows.insert(key.to_owned(), self.version);
    }

    fn remove(&mut self, key: &str) {
        self.version += 1;
        self.rows.remove(key);
        self.removed.push_back((self.version, key.to_owned()));
    }

    fn list(&self) -> Vec<Row> {
        let rows = self.rows.iter();
        rows.map(|(key, version)| row(key, *version, true))
            .collect()
    }

    fn changes(&self, after: u64) -> Vec<Row> {
        let written = self.list().into_iter().filter(|row| row.version > after);
        let removed = self.removed.iter().filter(|(at, _)| *at > after);
        let removed = removed.map(|(version, key)| row(key, *version, false));
        let mut changes: Vec<_> = written.chain(removed).collect();
        changes.sort_by_key(|row| row.version);
        changes
    }
}

fn row(key: &str, version: u64, is_written: bool) -> Row {
    Row {
        key: Arc::from(key),
        version,
        value: is_written.then(|| Arc::from(key.as_bytes())),
    }
}

struct Node {
    key: u64,
    host: Host,
    watch: RowWatch,
    news: TableNews,
    is_frozen: bool,
    call: Option<(u64, StoreCall)>,
    fetch: Option<Fetch>,
    has_news: bool,
    inbox: VecDeque<(u64, usize, PeerReport)>,
}

struct Fetch {
    from: usize,
    starts_at: u64,
    ends_at: u64,
}

struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    index: BTreeMap<u64, usize>,
    store: StoreTable,
    random: SeededRandom,
    loss_percent: u64,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let data_centre = |host: usize| format!("dc-{}", host % 5);
        let key = |host: usize| stable_hash(&format!("host-{host}"));
        let listed = (0..size).map(|host| ListedHost {
            host: key(host),
            data_centre: stable_hash(&data_centre(host)),
        });
        let listed: Vec<_> = listed.collect();
        let nodes = (0..size).map(|index| {
            let mut host = Host::with(DispatcherSettings {
                data_centre: Arc::from(data_centre(index)),
                ..settings(key(index))
            });
            host.send(0, DispatchEvent::HostsListed(listed.clone()));
            Node {
                key: key(index),
                host,
                watch: RowWatch::new(index as u64),
                news: TableNews::default(),
                is_frozen: false,
                call: None,
                fetch: None,
                has_news: false,
                inbox: VecDeque::new(),
            }
        });
        let nodes: Vec<_> = nodes.collect();
        let index = nodes.iter().enumerate().map(|(at, node)| (node.key, at));
        let mut store = StoreTable::default();
        for endpoint in 0..ENDPOINTS {
            store.write(&name(endpoint));
        }
        let mut fleet = Self {
            now: 0,
            index: index.collect(),
            nodes,
            store,
            random: SeededRandom::new(7),
            loss_percent: 2,
        };
        fleet.run_until(START_MS);
        fleet
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            for index in 0..self.nodes.len() {
                if !self.nodes[index].is_frozen {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        self.hear(index);
        self.call_store(index);
        self.end_fetch(index);
        let now = at(self.now);
        let node = &mut self.nodes[index];
        if self.now.is_multiple_of(50) {
            node.host.send(self.now, DispatchEvent::Tick);
        }
        if self.now.is_multiple_of(200) {
            node.watch.expired(now);
        }
        let has_news = std::mem::take(&mut node.has_news);
        if has_news {
            node.host.dispatcher.hasten_reports();
        }
        if has_news || (self.now + 10 * index as u64).is_multiple_of(50) {
            self.report(index);
        }
    }

    fn report(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = at(self.now);
        let ago = |at: Option<Duration>| at.map(|at| now.saturating_sub(at));
        let state = HostState {
            endpoints_version: node.watch.changed_version(),
            store_answers: !node.watch.is_lost(),
            store_lost_for: ago(node.watch.lost_since()).unwrap_or_default(),
            store_answered_ago: ago(node.watch.answered_at()),
            ..HostState::default()
        };
        let due = node.host.dispatcher.reports_due(at(self.now), state);
        for outgoing in due {
            for addressee in outgoing.to {
                if self.random.below(100) < self.loss_percent {
                    continue;
                }
                let Some(to) = self.index.get(&addressee.host) else {
                    continue;
                };
                let mut report = outgoing.report.clone();
                report.included = addressee.included;
                let arrives = self.now + STEP_MS;
                self.nodes[*to].inbox.push_back((arrives, index, report));
            }
        }
    }

    fn hear(&mut self, index: usize) {
        while let Some((from, report)) = self.nodes[index].next_report(self.now) {
            self.compare(index, from, report.endpoints_version);
            let node = &mut self.nodes[index];
            node.host.send(self.now, DispatchEvent::Reported(report));
        }
    }

    /// Begins to fetch a copy if the sender knows more.
    fn compare(&mut self, index: usize, from: usize, heard: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let role = node.host.dispatcher.store_role(at(now));
        let known = node.watch.changed_version();
        if !node.news.takes_copy(at(now), known, heard, role) {
            return;
        }
        let spread = match role {
            StoreRole::Copier => self.random.below(FETCH_SPREAD_MS),
            _ => 0,
        };
        let takes = match self.nodes[from].is_frozen {
            true => FETCH_TIMEOUT_MS,
            false => FETCH_MS,
        };
        self.nodes[index].fetch = Some(Fetch {
            from,
            starts_at: now + spread,
            ends_at: now + spread + takes,
        });
    }

    fn end_fetch(&mut self, index: usize) {
        let Some(fetch) = &self.nodes[index].fetch else {
            return;
        };
        if fetch.ends_at > self.now {
            return;
        }
        let (from, is_answered) = (fetch.from, fetch.ends_at == fetch.starts_at + FETCH_MS);
        self.nodes[index].fetch = None;
        let now = at(self.now);
        let after = self.nodes[index].watch.changed_version();
        if is_answered && !self.nodes[from].is_frozen {
            let copy = self.nodes[from].watch.copy(now, after);
            self.nodes[index].watch.on_copy(now, copy);
        }
        self.nodes[index].news.on_fetched();
    }

    fn call_store(&mut self, index: usize) {
        let now = at(self.now);
        let node = &mut self.nodes[index];
        if let Some((started, call)) = node.call.take() {
            let Some(answer) = answer(&self.store, index, self.now - started, &call) else {
                node.call = Some((started, call));
                return;
            };
            let changed = node.watch.on_answer(now, answer);
            let role = node.host.dispatcher.store_role(now);
            if !changed.is_empty() && role == StoreRole::FirstFollower {
                node.has_news = true;
            }
        }
        let role = node.host.dispatcher.store_role(now);
        let lost_since = node.host.dispatcher.store_lost_since();
        node.watch.set_following(role.is_following(), lost_since);
        node.watch.set_feed_pause(role.feed_pause());
        if let WatchStep::Call(call) = node.watch.step(now) {
            node.call = Some((self.now, call));
        }
    }

    fn first_follower(&self) -> usize {
        let is_first =
            |node: &Node| node.host.dispatcher.store_role(at(self.now)) == StoreRole::FirstFollower;
        self.nodes.iter().position(is_first).expect("a follower")
    }

    /// Removes an endpoint's entry, and returns after how many milliseconds every host knows.
    fn time_to_know_of_removal(&mut self, key: &str, limit_ms: u64) -> u64 {
        self.store.remove(key);
        let removed_at = self.now;
        while self
            .nodes
            .iter()
            .any(|node| !node.is_frozen && node.knows(key))
        {
            assert!(
                self.now < removed_at + limit_ms,
                "{} hosts still use it after {limit_ms} ms",
                self.nodes.iter().filter(|node| node.knows(key)).count(),
            );
            self.run_until(self.now + STEP_MS);
        }
        self.now - removed_at
    }
}

impl Node {
    fn next_report(&mut self, now: u64) -> Option<(usize, PeerReport)> {
        let (arrives, ..) = self.inbox.front()?;
        if *arrives > now {
            return None;
        }
        let (_, from, report) = self.inbox.pop_front()?;
        Some((from, report))
    }

    fn knows(&self, key: &str) -> bool {
        self.watch.rows().any(|row| &*row.key == key)
    }
}

/// Returns the answer to a call that was made `age_ms` ago, once there is one.
fn answer(store: &StoreTable, host: usize, age_ms: u64, call: &StoreCall) -> Option<StoreAnswer> {
    if store.silent.contains(&host) {
        return (age_ms >= CALL_TIMEOUT_MS).then_some(StoreAnswer::Failed);
    }
    if store.is_away || store.refused.contains(&host) {
        return Some(StoreAnswer::Failed);
    }
    let (rows, is_held) = match call {
        StoreCall::List { .. } => (store.list(), false),
        StoreCall::Feed { after, .. } if *after < store.forgotten => {
            return Some(StoreAnswer::HistoryGone);
        }
        StoreCall::Feed { after, is_held } => (store.changes(*after), *is_held),
    };
    let is_over = !rows.is_empty() || !is_held || age_ms >= HOLD_MS;
    is_over.then_some(StoreAnswer::Rows {
        rows,
        version: store.version,
        has_more: false,
    })
}

fn name(endpoint: usize) -> String {
    format!("endpoint-{endpoint:02}")
}

#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn every_host_knows_soon_that_an_endpoint_left(size: usize) {
    let mut fleet = Fleet::new(size);
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// The caller is served by an endpoint that left seconds ago. The store turns a third of the hosts away, the
/// first follower among them, and serves the others; then an endpoint leaves. Hosts that are turned away
/// copy the change, and have to go by it although the store does not answer them.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_that_the_store_turns_away_know_too(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    fleet.store.refused.extend((0..size).step_by(3));
    fleet.store.refused.insert(first);
    fleet.run_until(fleet.now + 3_000);
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// The host that tells all others of changes freezes right before one. A standby, which looks at the store
/// in longer intervals, hears of the change, and its regular reports tell the others.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_first_follower_is_frozen(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    // A change right before has the standbys pause.
    fleet.store.write("another");
    fleet.run_until(fleet.now + 100);
    fleet.nodes[first].is_frozen = true;
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// The first follower freezes right after it told of a change. The others ask it for a copy, and get no
/// answer until their time is over; they have to get the copy from another host.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_first_follower_freezes_after_its_report(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    fleet.store.write("another");
    fleet.run_until(fleet.now + 100);
    fleet.store.remove(&name(0));
    fleet.run_until(fleet.now + 20);
    fleet.nodes[first].is_frozen = true;
    let removed_at = fleet.now - 20;
    while fleet
        .nodes
        .iter()
        .any(|node| !node.is_frozen && node.knows(&name(0)))
    {
        fleet.run_until(fleet.now + STEP_MS);
        assert!(fleet.now <= removed_at + KNOWN_WITHIN_MS);
    }
    println!("{size} hosts: {} ms", fleet.now - removed_at);
}

/// The first follower's connection to the store goes silent without a reset, so that its call is never
/// answered. It does not know yet; the others must not wait until it does.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_first_followers_call_is_silent(size: usize) {
    let mut fleet = Fleet::new(size);
    let first = fleet.first_follower();
    fleet.store.write("another");
    fleet.run_until(fleet.now + 100);
    fleet.store.silent.insert(first);
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn hosts_know_though_the_store_forgot_its_history(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.store.write("another");
    fleet.store.forgotten = fleet.store.version;
    let took = fleet.time_to_know_of_removal(&name(0), KNOWN_WITHIN_MS);
    println!("{size} hosts: {took} ms");
}

/// The caller gets "no endpoint", or is served by one that left. The store is away for longer than entries
/// last; all lapse in it, and all endpoints but one write theirs again within two seconds of its return.
/// None of these may go on any host, and the one that left has to go on every host.
#[parameterized(
    hosts_of_81 = { 81 },
    hosts_of_300 = { 300 },
)]
fn what_lapsed_in_an_outage_is_told_from_what_left(size: usize) {
    let mut fleet = Fleet::new(size);
    fleet.store.is_away = true;
    fleet.run_until(fleet.now + 4_500);
    for endpoint in 0..ENDPOINTS {
        fleet.store.remove(&name(endpoint));
    }
    fleet.store.is_away = false;
    let returned_at = fleet.now;
    for endpoint in 1..ENDPOINTS {
        fleet.run_until(fleet.now + 90);
        let lacking = fleet.nodes.iter().filter(|node| {
            let kept = (1..ENDPOINTS).filter(|it| node.knows(&name(*it)));
            kept.count() < ENDPOINTS - 1
        });
        assert_eq!(lacking.count(), 0, "{} ms", fleet.now - returned_at);
        fleet.store.write(&name(endpoint));
    }
    fleet.run_until(returned_at + REWRITE_MS + KNOWN_WITHIN_MS);
    for node in &fleet.nodes {
        let known = (0..ENDPOINTS).filter(|it| node.knows(&name(*it)));
        assert_eq!(known.count(), ENDPOINTS - 1);
        assert!(!node.knows(&name(0)));
    }
}
