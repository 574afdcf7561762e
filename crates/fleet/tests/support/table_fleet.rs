//! Simulates a fleet that follows two tables of the store, the endpoints and the list of hosts: hosts,
//! their reports with loss, copies, and the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::Host;
use super::at;
use super::settings;
use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::DispatcherSettings;
use sedgeridge_fleet::dispatcher::HostState;
use sedgeridge_fleet::dispatcher::StoreRole;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::peer_versions::PeerVersions;
use sedgeridge_fleet::registration_retries::REGISTRATION_WINDOW;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::StoreAnswer;
use sedgeridge_fleet::row_watch::StoreCall;
use sedgeridge_fleet::row_watch::WatchStep;
use sedgeridge_fleet::store_version::StoreVersion;
use sedgeridge_fleet::store_version::TableVersions;

/// Time between two steps of every host.
pub const STEP_MS: u64 = 10;
const LONG_POLL_MS: u64 = 2_500;
const CALL_TIMEOUT_MS: u64 = 3_200;
const MAX_FETCH_DELAY_MS: u64 = 120;
const FETCH_TIMEOUT_MS: u64 = 800;
const FETCH_MS: u64 = 20;
/// Number of endpoints listed at the start.
pub const ENDPOINTS: usize = 20;
/// Time in which the hosts learn of each other before a test begins.
const SETTLING_MS: u64 = 4_000;
/// Time between two registrations that the store accepts while many hosts start together.
const REGISTRATION_INTERVAL_MS: u64 = 5;
/// Shortest pause between a change of the host list and the next call about it.
const HOST_LIST_PAUSE: Duration = Duration::from_millis(250);
/// Hold of a call about the host list.
const HOST_LIST_POLL_MS: u64 = 20_000;
const DATA_CENTRES: usize = 5;

/// A table in the platform's store.
#[derive(Clone, Default)]
pub struct StoreTable {
    /// Number of times that the store came back from an older copy.
    pub era: u64,
    pub version: u64,
    rows: BTreeMap<String, u64>,
    /// Removed rows, by the version that removed them.
    removed: VecDeque<(u64, String)>,
    /// Changes up to this version are no longer kept.
    pub forgotten: u64,
    pub is_unavailable: bool,
    /// Hosts that the store refuses.
    pub refused: BTreeSet<usize>,
    /// Hosts whose calls get no answer.
    pub silent: BTreeSet<usize>,
}

impl StoreTable {
    pub fn write(&mut self, key: &str) {
        self.version += 1;
        self.rows.insert(key.to_owned(), self.version);
    }

    pub fn remove(&mut self, key: &str) {
        self.version += 1;
        self.rows.remove(key);
        self.removed.push_back((self.version, key.to_owned()));
    }

    /// Goes back to an older copy. Refused and silent hosts stay as they are.
    pub fn restore(&mut self, copy: &Self) {
        *self = Self {
            era: self.era + 1,
            is_unavailable: self.is_unavailable,
            refused: self.refused.clone(),
            silent: self.silent.clone(),
            ..copy.clone()
        };
    }

    fn store_version(&self, number: u64) -> StoreVersion {
        let era = self.era;
        StoreVersion { era, number }
    }

    fn row(&self, key: &str, version: u64, is_written: bool) -> Row {
        Row {
            key: Arc::from(key),
            version: self.store_version(version),
            value: is_written.then(|| Arc::from(key.as_bytes())),
        }
    }

    fn list(&self) -> Vec<Row> {
        let rows = self.rows.iter();
        rows.map(|(key, version)| self.row(key, *version, true))
            .collect()
    }

    fn changes(&self, after: u64) -> Vec<Row> {
        if after >= self.version {
            return Vec::new();
        }
        let written = self.list().into_iter();
        let written = written.filter(|row| row.version.number > after);
        let removed = self.removed.iter().filter(|(at, _)| *at > after);
        let removed = removed.map(|(version, key)| self.row(key, *version, false));
        let mut changes: Vec<_> = written.chain(removed).collect();
        changes.sort_by_key(|row| row.version);
        changes
    }
}

pub struct Node {
    key: u64,
    host: Host,
    pub endpoints: FollowedTable,
    pub hosts: FollowedTable,
    pub is_frozen: bool,
    has_new_change: bool,
    inbox: VecDeque<(u64, usize, PeerReport)>,
    /// Number of calls to the store.
    pub calls: usize,
}

/// A host's copy of a table.
pub struct FollowedTable {
    pub watch: RowWatch,
    peer_versions: PeerVersions,
    call: Option<(u64, StoreCall)>,
    fetch: Option<Fetch>,
}

impl FollowedTable {
    fn new(seed: u64) -> Self {
        Self {
            watch: RowWatch::new(seed),
            peer_versions: PeerVersions::default(),
            call: None,
            fetch: None,
        }
    }

    fn hosts(seed: u64) -> Self {
        let watch = RowWatch::new(seed).with_restoration_window(REGISTRATION_WINDOW);
        Self {
            watch,
            ..Self::new(seed)
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Table {
    Endpoints,
    Hosts,
}

struct Fetch {
    from: usize,
    starts_at: u64,
    ends_at: u64,
}

pub struct Fleet {
    pub now: u64,
    pub nodes: Vec<Node>,
    index: BTreeMap<u64, usize>,
    pub store: StoreTable,
    pub host_list: StoreTable,
    /// Host that no other host reaches.
    pub cut_off: Option<usize>,
    /// Number of copies that were fetched from another data centre.
    pub remote_fetches: usize,
    random: SeededRandom,
    loss_percent: u64,
}

impl Fleet {
    /// Creates a fleet that has run for a while.
    pub fn new(size: usize) -> Self {
        let mut fleet = Self::unlisted(size);
        for host in 0..size {
            fleet.host_list.write(&host_name(host));
        }
        fleet.run_until(SETTLING_MS);
        fleet
    }

    /// Creates a fleet whose hosts all start at the same moment. The store accepts their
    /// registrations one after another.
    pub fn starting(size: usize) -> Self {
        let mut fleet = Self::unlisted(size);
        for host in 0..size {
            fleet.host_list.write(&host_name(host));
            fleet.run_until(host as u64 * REGISTRATION_INTERVAL_MS);
        }
        fleet
    }

    fn unlisted(size: usize) -> Self {
        let nodes = (0..size).map(|index| {
            let key = stable_hash(&host_name(index));
            let host = Host::with(DispatcherSettings {
                data_centre: Arc::from(data_centre(index)),
                ..settings(key)
            });
            Node {
                key,
                host,
                endpoints: FollowedTable::new(index as u64),
                hosts: FollowedTable::hosts((index + size) as u64),
                is_frozen: false,
                has_new_change: false,
                inbox: VecDeque::new(),
                calls: 0,
            }
        });
        let nodes: Vec<_> = nodes.collect();
        let index = nodes.iter().enumerate().map(|(at, node)| (node.key, at));
        let mut store = StoreTable::default();
        for endpoint in 0..ENDPOINTS {
            store.write(&name(endpoint));
        }
        Self {
            now: 0,
            index: index.collect(),
            nodes,
            store,
            host_list: StoreTable::default(),
            cut_off: None,
            remote_fetches: 0,
            random: SeededRandom::new(7),
            loss_percent: 2,
        }
    }

    pub fn run_until(&mut self, end: u64) {
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
        self.receive_reports(index);
        for table in [Table::Endpoints, Table::Hosts] {
            self.call_store(index, table);
            self.end_fetch(index, table);
        }
        let now = at(self.now);
        let node = &mut self.nodes[index];
        if self.now.is_multiple_of(50) {
            node.host.send(self.now, DispatchEvent::Tick);
        }
        let watch = &mut node.endpoints.watch;
        let is_over = watch.next_expiry().is_some_and(|at| at <= now);
        if is_over || self.now.is_multiple_of(200) {
            watch.set_outage(node.host.dispatcher.store_outage());
            watch.take_expired(now);
        }
        let has_new_change = std::mem::take(&mut node.has_new_change);
        if has_new_change {
            node.host.dispatcher.hasten_reports();
        }
        if has_new_change || (self.now + 10 * index as u64).is_multiple_of(50) {
            self.report(index);
        }
    }

    fn report(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = at(self.now);
        let ago = |at: Option<Duration>| at.map(|at| now.saturating_sub(at));
        let state = HostState {
            versions: TableVersions {
                endpoints: node.endpoints.watch.offered_version(),
                hosts: node.hosts.watch.offered_version(),
                ..TableVersions::default()
            },
            store_answers: !node.endpoints.watch.is_store_lost(),
            store_lost_for: ago(node.endpoints.watch.store_lost_since()).unwrap_or_default(),
            store_answered_ago: ago(node.endpoints.watch.store_answered_at()),
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
                if self.is_cut(index) || self.is_cut(*to) {
                    continue;
                }
                let mut report = outgoing.report.clone();
                report.included = addressee.included;
                let arrives = self.now + STEP_MS;
                self.nodes[*to].inbox.push_back((arrives, index, report));
            }
        }
    }

    fn receive_reports(&mut self, index: usize) {
        while let Some((from, report)) = self.nodes[index].next_report(self.now) {
            self.fetch_if_newer(index, Table::Endpoints, from, &report);
            self.fetch_if_newer(index, Table::Hosts, from, &report);
            let node = &mut self.nodes[index];
            node.host.send(self.now, DispatchEvent::Reported(report));
        }
    }

    /// Starts to fetch a copy if the sender knows a newer version.
    fn fetch_if_newer(&mut self, index: usize, table: Table, from: usize, report: &PeerReport) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let role = node.host.dispatcher.store_role(at(now));
        let reported_version = match table {
            Table::Endpoints => report.table_versions().endpoints,
            Table::Hosts => report.table_versions().hosts,
        };
        let store_answers = !node.table(table).watch.is_store_lost();
        let dispatcher = &node.host.dispatcher;
        let source = dispatcher.copy_source(at(now), report.data_centre, store_answers);
        let followed = node.table(table);
        let known = followed.watch.changed_version();
        if !followed
            .peer_versions
            .try_start_fetch(at(now), known, reported_version, source)
        {
            return;
        }
        let is_remote = report.data_centre != stable_hash(&data_centre(index));
        self.remote_fetches += usize::from(is_remote);
        let delay = match role {
            StoreRole::Copier => self.random.below(MAX_FETCH_DELAY_MS),
            _ => 0,
        };
        let fetch_ms = match self.nodes[from].is_frozen || self.is_cut(from) || self.is_cut(index) {
            true => FETCH_TIMEOUT_MS,
            false => FETCH_MS,
        };
        self.nodes[index].table(table).fetch = Some(Fetch {
            from,
            starts_at: now + delay,
            ends_at: now + delay + fetch_ms,
        });
    }

    fn end_fetch(&mut self, index: usize, table: Table) {
        let followed = self.nodes[index].table(table);
        let Some(fetch) = followed.fetch.take_if(|fetch| fetch.ends_at <= self.now) else {
            return;
        };
        let after = followed.watch.changed_version();
        let (from, is_answered) = (fetch.from, fetch.ends_at == fetch.starts_at + FETCH_MS);
        let now = at(self.now);
        if is_answered && !self.nodes[from].is_frozen {
            let copy = self.nodes[from].table(table).watch.copy_after(now, after);
            let node = &mut self.nodes[index];
            let outage = node.host.dispatcher.store_outage();
            let watch = &mut node.table(table).watch;
            watch.set_outage(outage);
            watch.on_copy(now, copy);
            self.list_hosts(index, table);
        }
        let followed = self.nodes[index].table(table);
        followed.peer_versions.on_fetch_ended();
    }

    fn call_store(&mut self, index: usize, table: Table) {
        let now = at(self.now);
        let (store, hold_ms) = match table {
            Table::Endpoints => (&self.store, LONG_POLL_MS),
            Table::Hosts => (&self.host_list, HOST_LIST_POLL_MS),
        };
        let node = &mut self.nodes[index];
        let outage = node.host.dispatcher.store_outage();
        let mut is_changed = false;
        if let Some((started, call)) = node.table(table).call.take() {
            let Some(answer) = answer(store, index, self.now - started, hold_ms, &call) else {
                node.table(table).call = Some((started, call));
                return;
            };
            let watch = &mut node.table(table).watch;
            watch.set_outage(outage);
            is_changed = !watch.on_answer_to(now, &call, answer).is_empty();
            let role = node.host.dispatcher.store_role(now);
            node.has_new_change |= is_changed && role == StoreRole::FirstFollower;
        }
        let role = node.host.dispatcher.store_role(now);
        let lost_since = node.host.dispatcher.store_lost_since();
        let pause = match table {
            Table::Endpoints => role.feed_pause(),
            Table::Hosts => role.feed_pause().max(HOST_LIST_PAUSE),
        };
        let watch = &mut node.table(table).watch;
        watch.set_following(role.is_following(), lost_since);
        watch.set_feed_pause(pause);
        if let WatchStep::Call(call) = watch.step(now) {
            node.table(table).call = Some((self.now, call));
            node.calls += 1;
        }
        if is_changed {
            self.list_hosts(index, table);
        }
    }

    /// Passes the host list to the host's dispatcher after it may have changed.
    fn list_hosts(&mut self, index: usize, table: Table) {
        let node = &mut self.nodes[index];
        if table != Table::Hosts || !node.hosts.watch.is_known() {
            return;
        }
        let listed = node.hosts.watch.rows().map(|row| listed_host(&row.key));
        let listed = listed.collect();
        node.host.send(self.now, DispatchEvent::HostsListed(listed));
    }

    fn is_cut(&self, host: usize) -> bool {
        self.cut_off == Some(host)
    }

    /// Returns the number of hosts that follow the store.
    pub fn followers(&self) -> usize {
        let is_following =
            |node: &&Node| node.host.dispatcher.store_role(at(self.now)).is_following();
        self.nodes.iter().filter(is_following).count()
    }

    /// Returns the number of hosts that each host counts.
    pub fn counted_hosts(&self) -> Vec<usize> {
        let counted = |node: &Node| node.host.dispatcher.hosts(at(self.now));
        self.nodes.iter().map(counted).collect()
    }

    /// Returns the first host that calls the store. In a small fleet all hosts do.
    pub fn first_caller(&self) -> usize {
        let calls = |node: &Node| node.host.dispatcher.store_role(at(self.now)).is_following();
        self.nodes.iter().position(calls).expect("a caller")
    }

    pub fn first_follower(&self) -> usize {
        let is_first =
            |node: &Node| node.host.dispatcher.store_role(at(self.now)) == StoreRole::FirstFollower;
        self.nodes.iter().position(is_first).expect("a follower")
    }

    /// Removes an endpoint's entry. Returns the milliseconds until every host knows.
    pub fn time_to_know_of_removal(&mut self, key: &str, limit_ms: u64) -> u64 {
        let all: Vec<_> = (0..self.nodes.len()).collect();
        self.time_for_hosts_to_know(&all, key, limit_ms)
    }

    /// Removes an endpoint's entry. Returns the milliseconds until these hosts know.
    pub fn time_for_hosts_to_know(&mut self, hosts: &[usize], key: &str, limit_ms: u64) -> u64 {
        self.store.remove(key);
        let removed_at = self.now;
        loop {
            let live = hosts.iter().map(|host| &self.nodes[*host]);
            let using = live.filter(|node| !node.is_frozen && node.knows(key));
            let using = using.count();
            if using == 0 {
                return self.now - removed_at;
            }
            assert!(
                self.now < removed_at + limit_ms,
                "{using} hosts still use it after {limit_ms} ms",
            );
            self.run_until(self.now + STEP_MS);
        }
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

    fn table(&mut self, table: Table) -> &mut FollowedTable {
        match table {
            Table::Endpoints => &mut self.endpoints,
            Table::Hosts => &mut self.hosts,
        }
    }

    pub fn knows(&self, key: &str) -> bool {
        self.endpoints.watch.rows().any(|row| &*row.key == key)
    }
}

/// Returns the answer to a call that was made `age_ms` ago, once there is one.
fn answer(
    store: &StoreTable,
    host: usize,
    age_ms: u64,
    hold_ms: u64,
    call: &StoreCall,
) -> Option<StoreAnswer> {
    if store.silent.contains(&host) {
        return (age_ms >= CALL_TIMEOUT_MS).then_some(StoreAnswer::Failed);
    }
    if store.is_unavailable || store.refused.contains(&host) {
        return Some(StoreAnswer::Failed);
    }
    let (rows, is_long_poll) = match call {
        StoreCall::List { .. } => (store.list(), false),
        StoreCall::Feed { after, .. }
            if after.number < store.forgotten || after.number > store.version =>
        {
            return Some(StoreAnswer::HistoryGone);
        }
        StoreCall::Feed {
            after,
            is_long_poll,
        } => (store.changes(after.number), *is_long_poll),
    };
    let is_over = !rows.is_empty() || !is_long_poll || age_ms >= hold_ms;
    let version = store.store_version(store.version);
    is_over.then(|| call.answered_with(rows, version, false))
}

/// Returns the key of an endpoint.
pub fn name(endpoint: usize) -> String {
    format!("endpoint-{endpoint:02}")
}

/// Returns the name of a host.
pub fn host_name(host: usize) -> String {
    format!("host-{host}")
}

fn data_centre(host: usize) -> String {
    format!("dc-{}", host % DATA_CENTRES)
}

/// Returns the entry of a host in the list.
fn listed_host(host_name: &str) -> ListedHost {
    let number = host_name.trim_start_matches("host-").parse();
    let number: usize = number.expect("the name of a host");
    ListedHost {
        host: stable_hash(host_name),
        data_centre: stable_hash(&data_centre(number)),
    }
}
