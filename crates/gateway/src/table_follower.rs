//! Keeps the host's copies of the platform's tables up to date, and applies their changes.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::StoreRole;
use sedgeridge_fleet::endpoint_table::Endpoint;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_versions::PeerVersions;
use sedgeridge_fleet::registration_retries::REGISTRATION_WINDOW;
use sedgeridge_fleet::route_table::RouteTable;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::RowWatch;
use sedgeridge_fleet::row_watch::TableCopy;
use sedgeridge_fleet::row_watch::WatchStep;
use sedgeridge_fleet::store_version::StoreVersion;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::event_log::millis;
use crate::gateway::Gateway;
use crate::host_directory::HostDirectory;
use crate::meters;
use crate::store::Store;
use crate::store::Table;
use crate::table_events;
use crate::table_events::WatchState;
use crate::wire::WireError;
use crate::wire::WireFormat;

/// Longest time between checks for expired entries.
const MAX_EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between these checks, used while an expired entry may not be dropped yet.
const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time between checks whether the store answers about the configuration again, while it answers
/// about no table. The calls about the configuration find the store's return. Each further series
/// of calls, about another table, would cost as much again.
const STORE_LOST_INTERVAL: Duration = Duration::from_millis(50);

/// Pause between a change of the host list and the next call about it. Hosts that start together
/// register one after another, and a host that is known a moment later does no harm.
const HOST_LIST_PAUSE: Duration = Duration::from_millis(250);
/// Tables without which no request can be served. Whether the store answers is judged by them.
const SERVING_TABLES: [Table; 2] = [Table::Config, Table::Endpoints];

/// Follows the platform's tables in the store and holds the host's copies of them.
#[derive(Debug)]
pub struct TableFollower<W, C> {
    gateway: Rc<Gateway<W, C>>,
    config: FollowedTable,
    endpoints: FollowedTable,
    hosts: FollowedTable,
    directory: RefCell<HostDirectory>,
    is_host_list_known: Cell<bool>,
    /// Notified when the first list of hosts gives this host its role in following the store.
    host_list_known: Notify,
    change_to_announce: Notify,
    host_list_changed: Notify,
}

/// The host's copy of one table, and the versions of it that other hosts know.
#[derive(Debug)]
struct FollowedTable {
    watch: RefCell<RowWatch>,
    news: RefCell<PeerVersions>,
}

impl FollowedTable {
    fn new(seed: u64) -> Self {
        Self {
            watch: RefCell::new(RowWatch::new(seed)),
            news: RefCell::default(),
        }
    }

    /// Creates an empty copy of the host list, which hosts write themselves.
    fn hosts(seed: u64) -> Self {
        let watch = RowWatch::new(seed).with_restoration_window(REGISTRATION_WINDOW);
        Self {
            watch: RefCell::new(watch),
            news: RefCell::default(),
        }
    }
}

impl<W: WireFormat, C: Clock> TableFollower<W, C> {
    /// Creates a follower with empty copies.
    pub fn new(gateway: Rc<Gateway<W, C>>) -> Self {
        let seed = stable_hash(&gateway.settings.host);
        Self {
            gateway,
            config: FollowedTable::new(seed),
            endpoints: FollowedTable::new(seed.rotate_left(1)),
            hosts: FollowedTable::hosts(seed.rotate_left(2)),
            directory: RefCell::default(),
            is_host_list_known: Cell::new(false),
            host_list_known: Notify::new(),
            change_to_announce: Notify::new(),
            host_list_changed: Notify::new(),
        }
    }

    /// Follows a table in the store for as long as the process runs.
    pub async fn follow<S: Store>(&self, store: Rc<S>, table: Table) {
        loop {
            let now = self.gateway.now();
            let role = self.role(now);
            match self.next_step(table, now, role) {
                WatchStep::WaitUntil(at) => {
                    let pause = at.saturating_sub(self.gateway.now());
                    tokio::select! {
                        () = tokio::time::sleep(pause) => {}
                        () = self.host_list_known.notified() => {}
                    }
                }
                WatchStep::Call(call) => {
                    let answer = store.read(table, &call).await;
                    let gateway = &self.gateway;
                    table_events::record_call(gateway, table, &self.watch(table).borrow(), &answer);
                    let changed = self.update(table, None, |watch, now| {
                        watch.on_answer_to(now, &call, answer)
                    });
                    if !changed.is_empty() && role == StoreRole::FirstFollower {
                        self.change_to_announce.notify_one();
                    }
                    self.apply(table, &changed);
                }
            }
        }
    }

    fn next_step(&self, table: Table, now: Duration, role: StoreRole) -> WatchStep {
        let mut watch = self.watch(table).borrow_mut();
        let lost_since = self
            .gateway
            .with_dispatcher(|dispatcher| dispatcher.store_lost_since());
        watch.set_following(role.is_following(), lost_since);
        let pause = match table {
            Table::Hosts => role.feed_pause().max(HOST_LIST_PAUSE),
            Table::Config | Table::Endpoints => role.feed_pause(),
        };
        watch.set_feed_pause(pause);
        if table != Table::Config
            && watch.is_store_lost()
            && self.config.watch.borrow().is_store_lost()
        {
            return WatchStep::WaitUntil(now + STORE_LOST_INTERVAL);
        }
        watch.step(now)
    }

    /// Records that a host of a data centre knows version `reported_version` of a table. Returns
    /// whether to fetch its copy.
    pub fn should_fetch_copy(
        &self,
        table: Table,
        reported_version: StoreVersion,
        data_centre: u64,
    ) -> bool {
        let now = self.gateway.now();
        let known_version = self.changed_version(table);
        let mut news = self.news_of(table).borrow_mut();
        if reported_version <= known_version {
            news.on_known(known_version);
            return false;
        }
        let store_answers = !self.watch(table).borrow().is_store_lost();
        let source = self
            .gateway
            .with_dispatcher(|dispatcher| dispatcher.copy_source(now, data_centre, store_answers));
        news.try_start_fetch(now, known_version, reported_version, source)
    }

    /// Records that the fetch of another host's copy has ended.
    pub fn on_fetched(&self, table: Table) {
        self.news_of(table).borrow_mut().on_fetch_ended();
    }

    /// Returns this host's role in following the store.
    pub fn role(&self, now: Duration) -> StoreRole {
        self.gateway
            .with_dispatcher(|dispatcher| dispatcher.store_role(now))
    }

    /// Waits for a change that is to be announced to other hosts at once.
    pub async fn wait_for_change(&self) {
        self.change_to_announce.notified().await;
    }

    /// Waits until the host list lacks this host's entry, which was written at version `written_at`.
    pub async fn wait_for_lost_entry(&self, written_at: StoreVersion) {
        while !self.has_lost_entry(written_at) {
            self.host_list_changed.notified().await;
        }
    }

    /// Returns whether the host list lacks this host's entry, which was written at version `written_at`.
    /// The store has lost it, or a delayed removal of the host's last run came after it.
    pub fn has_lost_entry(&self, written_at: StoreVersion) -> bool {
        let hosts = self.hosts.watch.borrow();
        let is_newer = hosts.is_known() && hosts.changed_version() >= written_at;
        is_newer && !hosts.is_listed(&self.gateway.settings.host)
    }

    /// Returns how long ago the store last answered a call.
    pub fn store_answered_ago(&self) -> Option<Duration> {
        let answered_at = |table| self.watch(table).borrow().store_answered_at();
        let at = SERVING_TABLES.into_iter().filter_map(answered_at).max();
        at.map(|at| self.gateway.now().saturating_sub(at))
    }

    /// Returns for how long the store has not answered a call about one of the tables.
    pub fn store_lost_for(&self) -> Duration {
        let lost_since = |table| self.watch(table).borrow().store_lost_since();
        let since = SERVING_TABLES.into_iter().filter_map(lost_since).min();
        since.map_or(Duration::ZERO, |since| {
            self.gateway.now().saturating_sub(since)
        })
    }

    /// Returns whether the store answered the last call about each table that serving needs.
    pub fn store_answers(&self) -> bool {
        let is_lost = |table: &Table| self.watch(*table).borrow().is_store_lost();
        !SERVING_TABLES.iter().any(is_lost)
    }

    /// Returns the address of a host.
    pub fn address(&self, host: u64) -> Option<SocketAddr> {
        self.directory.borrow().address(host)
    }

    /// Records the address from which a host sent a report.
    pub fn note_sender(&self, host: u64, address: SocketAddr) {
        self.directory.borrow_mut().note_sender(host, address);
    }

    /// Drops entries that stayed missing after the store's return, for as long as the process runs.
    pub async fn expire_forever(&self) {
        loop {
            tokio::time::sleep(self.time_to_expiry()).await;
            for table in Table::FOLLOWED {
                let expired = self.update(table, None, RowWatch::take_expired);
                self.apply(table, &expired);
            }
        }
    }

    fn time_to_expiry(&self) -> Duration {
        let next_expiry = |table| self.watch(table).borrow().next_expiry();
        let next = Table::FOLLOWED.into_iter().filter_map(next_expiry).min();
        let time = next.map(|at| at.saturating_sub(self.gateway.now()));
        time.unwrap_or(MAX_EXPIRY_INTERVAL)
            .clamp(MIN_EXPIRY_INTERVAL, MAX_EXPIRY_INTERVAL)
    }

    /// Returns the version of the newest known change.
    pub fn changed_version(&self, table: Table) -> StoreVersion {
        self.watch(table).borrow().changed_version()
    }

    /// Returns the version that other hosts may copy from this one; the default for none.
    pub fn offered_version(&self, table: Table) -> StoreVersion {
        self.watch(table).borrow().offered_version()
    }

    /// Returns a copy for a host that knows everything up to `after`.
    pub fn copy(&self, table: Table, after: StoreVersion) -> TableCopy {
        let now = self.gateway.now();
        self.watch(table).borrow().copy_after(now, after)
    }

    /// Applies the copy from the host at `from`.
    pub fn apply_copy(&self, table: Table, copy: TableCopy, from: SocketAddr) {
        let known = self.changed_version(table);
        table_events::record_copy(&self.gateway, table, known, &copy, from);
        let changed = self.update(table, Some(from), |watch, now| watch.on_copy(now, copy));
        self.apply(table, &changed);
    }

    /// Applies `change` to this host's copy of a table. Returns the changed rows.
    fn update(
        &self,
        table: Table,
        told_by: Option<SocketAddr>,
        change: impl FnOnce(&mut RowWatch, Duration) -> Vec<Row>,
    ) -> Vec<Row> {
        let now = self.gateway.now();
        let mut watch = self.watch(table).borrow_mut();
        let outage = self
            .gateway
            .with_dispatcher(|dispatcher| dispatcher.store_outage());
        watch.set_outage(outage);
        let known = watch.changed_version();
        let before = WatchState::of(&watch);
        let changed = change(&mut watch, now);
        let after = WatchState::of(&watch);
        table_events::record_change(&self.gateway, table, told_by, &before, &after);
        if table == Table::Hosts && watch.changed_version() > known {
            self.host_list_changed.notify_one();
        }
        changed
    }

    fn followed(&self, table: Table) -> &FollowedTable {
        match table {
            Table::Config => &self.config,
            Table::Endpoints => &self.endpoints,
            Table::Hosts => &self.hosts,
        }
    }

    fn watch(&self, table: Table) -> &RefCell<RowWatch> {
        &self.followed(table).watch
    }

    fn news_of(&self, table: Table) -> &RefCell<PeerVersions> {
        &self.followed(table).news
    }

    fn apply(&self, table: Table, changed: &[Row]) {
        match table {
            Table::Config => changed.iter().for_each(|row| self.apply_operator_row(row)),
            Table::Endpoints => changed.iter().for_each(|row| self.apply_endpoint(row)),
            Table::Hosts => self.apply_hosts(changed),
        }
    }

    fn apply_operator_row(&self, row: &Row) {
        match self.gateway.wire.evacuated_data_centre(&row.key) {
            Some(data_centre) => self.apply_evacuation(row, data_centre),
            None => self.apply_config(row),
        }
    }

    fn apply_hosts(&self, changed: &[Row]) {
        let is_known = self.hosts.watch.borrow().is_known();
        // Most calls change nothing, and a look at all hosts for each would grow with the fleet.
        let is_first_list = is_known && !self.is_host_list_known.replace(is_known);
        if !is_first_list && (changed.is_empty() || !is_known) {
            return;
        }
        let mut directory = self.directory.borrow_mut();
        for row in changed {
            let entry = row
                .value
                .as_ref()
                .map(|document| self.gateway.wire.parse_host(&row.key, document));
            match entry {
                Some(Ok(entry)) => directory.put(entry),
                Some(Err(error)) => {
                    self.log_unusable_host(row, &error);
                    directory.remove(&row.key);
                }
                None => directory.remove(&row.key),
            }
        }
        let listed = directory.listed();
        drop(directory);
        self.gateway.handle(DispatchEvent::HostsListed(listed));
        if is_first_list {
            self.host_list_known.notify_waiters();
        }
    }

    fn log_unusable_host(&self, row: &Row, error: &WireError) {
        let fields = [
            ("host", (*row.key).into()),
            ("reason", error.to_string().into()),
        ];
        self.gateway.log(LogEvent::HostUnusable, &fields);
        meters::count_unusable_row(Table::Hosts.as_str());
    }

    fn apply_config(&self, row: &Row) {
        // A removed configuration stays in force: callers are served by the last one.
        let Some(document) = &row.value else {
            return;
        };
        let config = match self.gateway.wire.parse_config(document) {
            Ok(config) => config,
            Err(error) => {
                let fields = [
                    ("row_version", row.version.number.into()),
                    ("reason", error.to_string().into()),
                ];
                self.gateway.log(LogEvent::ConfigUnusable, &fields);
                meters::count_unusable_row(Table::Config.as_str());
                return;
            }
        };
        let known_version = self.gateway.routes.borrow().version();
        if known_version.is_some_and(|known_version| known_version >= config.version) {
            return;
        }
        let fields = [
            ("version", config.version.into()),
            ("known_version", known_version.into()),
            ("row_version", row.version.number.into()),
            ("routes", config.routes.len().into()),
        ];
        self.gateway.log(LogEvent::ConfigAdopted, &fields);
        self.gateway.adopt_routes(RouteTable::new(&config));
        let max_header_bytes = config.limits.max_header_bytes;
        self.gateway.max_header_bytes.set(max_header_bytes);
        self.gateway
            .max_body_bytes
            .set(config.limits.max_body_bytes);
        self.gateway.idle_timeout.set(config.limits.idle_timeout);
        self.gateway
            .header_timeout
            .set(config.limits.header_timeout);
        let config = Arc::new(config);
        self.gateway.handle(DispatchEvent::Configured(config));
    }

    fn apply_evacuation(&self, row: &Row, data_centre: Arc<str>) {
        let fields = [
            ("data_centre", (*data_centre).into()),
            ("row_version", row.version.number.into()),
        ];
        let (log_event, event) = match row.value {
            Some(_) => (LogEvent::Evacuated, DispatchEvent::Evacuated(data_centre)),
            None => (
                LogEvent::EvacuationEnded,
                DispatchEvent::EvacuationEnded(data_centre),
            ),
        };
        self.gateway.log(log_event, &fields);
        self.gateway.handle(event);
    }

    fn apply_endpoint(&self, row: &Row) {
        let Some(document) = &row.value else {
            self.remove_endpoint(&row.key);
            return;
        };
        match self.gateway.wire.parse_endpoint(&row.key, document) {
            Ok(endpoint) => {
                let fields = [
                    ("endpoint", (*row.key).into()),
                    ("service", endpoint.service.as_str().into()),
                    ("version", (*endpoint.software_version).into()),
                    ("is_leaving", endpoint.is_leaving.into()),
                    ("cold_ms", millis(endpoint.cold_for)),
                    ("row_version", row.version.number.into()),
                ];
                self.gateway.log(LogEvent::EndpointListed, &fields);
                self.gateway.handle(DispatchEvent::EndpointListed(endpoint));
            }
            Err(error) => {
                let fields = [
                    ("endpoint", (*row.key).into()),
                    ("reason", error.to_string().into()),
                ];
                self.gateway.log(LogEvent::EndpointUnusable, &fields);
                meters::count_unusable_row(Table::Endpoints.as_str());
                // The endpoint's own entry is overwritten, by whichever writer. Nothing says any
                // more that the endpoint takes requests.
                self.remove_endpoint(&row.key);
            }
        }
    }

    fn remove_endpoint(&self, id: &str) {
        let id = sedgeridge_state::ids::EndpointId::from(id);
        let known_endpoint: Option<Arc<Endpoint>> = self
            .gateway
            .with_dispatcher(|dispatcher| dispatcher.endpoints().get(&id).cloned());
        if let Some(endpoint) = known_endpoint {
            let fields = [("endpoint", endpoint.id.as_str().into())];
            self.gateway.log(LogEvent::EndpointGone, &fields);
            self.gateway.handle(DispatchEvent::EndpointGone(endpoint));
        }
    }
}
