//! Reports between hosts, and copies of the platform's tables for hosts that the store turns away.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_fleet::dispatcher::DispatchEvent;
use sedgeridge_fleet::dispatcher::Dispatcher;
use sedgeridge_fleet::dispatcher::HostState;
use sedgeridge_fleet::dispatcher::OutgoingReport;
use sedgeridge_fleet::dispatcher::ReportRecipient;
use sedgeridge_fleet::dispatcher::StoreRole;
use sedgeridge_fleet::hashing::stable_hash;
use sedgeridge_fleet::peer_hosts::ListedHost;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::peer_report::set_included;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::event_log::LogEvent;
use crate::gateway::Gateway;
use crate::meters;
use crate::page_server::serve_pages;
use crate::store::HostEntry;
use crate::store::Store;
use crate::store::Table;
use crate::table_copies::CopyServer;
use crate::table_copies::FetchResult;
use crate::table_copies::fetch_copy;
use crate::table_follower::TableFollower;
use crate::wire::WireFormat;

/// Time between checks for due reports.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between reads of the host list. Hosts also learn of each other by reports.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Time between reads of the host list for each host of the fleet, so that a large fleet reads it
/// no more often than a small one.
const HOST_LIST_INTERVAL_PER_HOST: Duration = Duration::from_millis(1_200);
/// Time between attempts while the store does not answer.
const HOST_LIST_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Longest random delay before a host that depends on copies fetches one, so that not all ask at
/// once.
const MAX_FETCH_DELAY_MS: u64 = 120;
/// Timeout for fetching a copy.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Attempts to fetch a copy from a host that already sends as many as it can.
const MAX_FETCH_ATTEMPTS: u32 = 3;
/// Longest random delay between these attempts.
const MAX_BUSY_DELAY_MS: u64 = 300;
/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Exchanges reports and copies of tables with the other hosts.
#[derive(Debug)]
pub struct Peers<W, C> {
    gateway: Rc<Gateway<W, C>>,
    tables: Rc<TableFollower<W, C>>,
    /// Addresses by hash of the host's name.
    addresses: RefCell<HashMap<u64, SocketAddr>>,
    host_count: Cell<usize>,
    random: RefCell<SeededRandom>,
}

impl<W: WireFormat, C: Clock> Peers<W, C> {
    /// Creates the state of a host that knows no other.
    pub fn new(gateway: Rc<Gateway<W, C>>, tables: Rc<TableFollower<W, C>>) -> Self {
        let seed = stable_hash(&gateway.settings.host);
        Self {
            gateway,
            tables,
            addresses: RefCell::new(HashMap::new()),
            host_count: Cell::new(1),
            random: RefCell::new(SeededRandom::new(seed)),
        }
    }

    /// Registers this host and reads the host list, for as long as the process runs.
    pub async fn list_hosts_forever<S: Store>(&self, store: Rc<S>) {
        let entry = self.entry();
        let mut is_registered = false;
        loop {
            is_registered = is_registered || store.register(&entry).await;
            while !self.list_hosts(&*store).await {
                tokio::time::sleep(HOST_LIST_RETRY_INTERVAL).await;
            }
            // The store accepts some hundred writes a second in one part of a table. When many
            // hosts start together, some are turned away. They need not read the list again for
            // that.
            while !is_registered {
                tokio::time::sleep(HOST_LIST_RETRY_INTERVAL).await;
                is_registered = store.register(&entry).await;
            }
            self.wait_between_lists().await;
        }
    }

    /// Reads the host list. Returns whether the store answered.
    async fn list_hosts<S: Store>(&self, store: &S) -> bool {
        let listed = store.hosts().await;
        if let Some(hosts) = &listed {
            self.apply_host_list(hosts);
        }
        listed.is_some()
    }

    /// Waits for the time between two reads of the host list. A host that has just started takes
    /// its fleet for small. With an interval that is computed only once, it would read the list
    /// again after the shortest one: one in seven of a day's calls.
    async fn wait_between_lists(&self) {
        let listed_at = self.gateway.now();
        loop {
            tokio::time::sleep(HOST_LIST_INTERVAL).await;
            let hosts = self.host_count.get() as u32;
            let interval = HOST_LIST_INTERVAL_PER_HOST.saturating_mul(hosts);
            if self.gateway.now() >= listed_at + interval {
                return;
            }
        }
    }

    /// Returns this host's entry in the host list.
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            host: self.gateway.settings.host.clone(),
            data_centre: self.gateway.settings.data_centre.clone(),
            peers_address: self.gateway.settings.peers_address,
        }
    }

    /// Sends reports for as long as the process runs.
    pub async fn send_reports_forever(&self, socket: Rc<UdpSocket>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(REPORT_POLL_INTERVAL) => {}
                () = self.tables.wait_for_change() => self
                    .gateway
                    .with_dispatcher(Dispatcher::hasten_reports),
            }
            let now = self.gateway.now();
            let state = self.host_state();
            let due = self
                .gateway
                .with_dispatcher(|dispatcher| dispatcher.reports_due(now, state));
            self.record_host_count();
            for outgoing in due {
                self.send_report(&socket, &outgoing);
            }
        }
    }

    fn host_state(&self) -> HostState {
        HostState {
            config_version: self.tables.changed_version(Table::Config),
            endpoints_version: self.tables.changed_version(Table::Endpoints),
            is_stopping: self.gateway.is_stopping(),
            is_busy: self.gateway.loop_lag.borrow().is_overloaded(),
            store_answers: self.tables.store_answers(),
            store_lost_for: self.tables.store_lost_for(),
            store_answered_ago: self.tables.store_answered_ago(),
        }
    }

    fn send_report(&self, socket: &UdpSocket, outgoing: &OutgoingReport) {
        let addresses = self.addresses.borrow();
        let mut bytes = outgoing.report.encode();
        meters::count_report_bytes(bytes.len() * outgoing.to.len());
        for ReportRecipient { host, included } in &outgoing.to {
            let Some(address) = addresses.get(host) else {
                continue;
            };
            set_included(&mut bytes, *included);
            // The next report makes up for a lost one.
            let _ = socket.try_send_to(&bytes, *address);
        }
    }

    fn apply_host_list(&self, hosts: &[HostEntry]) {
        let listed = hosts.iter().map(|entry| ListedHost {
            host: stable_hash(&entry.host),
            data_centre: stable_hash(&entry.data_centre),
        });
        let listed: Vec<_> = listed.collect();
        let addresses = listed.iter().zip(hosts);
        let addresses = addresses.map(|(listed, entry)| (listed.host, entry.peers_address));
        self.addresses.borrow_mut().extend(addresses);
        self.gateway.handle(DispatchEvent::HostsListed(listed));
    }

    /// Receives reports for as long as the process runs.
    pub async fn receive_reports_forever(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let report = match PeerReport::decode(&buffer[..length]) {
                Ok(report) => report,
                Err(error) => {
                    let fields = [
                        ("from", from.to_string().into()),
                        ("reason", error.to_string().into()),
                    ];
                    self.gateway.log(LogEvent::ReportUnusable, &fields);
                    continue;
                }
            };
            self.addresses.borrow_mut().insert(report.host, from);
            self.fetch_if_newer(Table::Config, report.config_version, from);
            self.fetch_if_newer(Table::Endpoints, report.endpoints_version, from);
            self.gateway.handle(DispatchEvent::Reported(report));
        }
    }

    /// Sends copies of the tables to other hosts, for as long as the process runs.
    pub async fn serve_copies(self: Rc<Self>, listener: TcpListener) {
        let gateway = self.gateway.clone();
        let pages = CopyServer::default();
        let page = move |request: &Request<Incoming>| pages.page(&self.tables, request);
        serve_pages(gateway, listener, page).await;
    }

    fn record_host_count(&self) {
        let now = self.gateway.now();
        let hosts = self
            .gateway
            .with_dispatcher(|dispatcher| dispatcher.hosts(now));
        let before = self.host_count.replace(hosts);
        if hosts != before {
            let fields = [("hosts", hosts.into()), ("before", before.into())];
            self.gateway.log(LogEvent::HostsChanged, &fields);
        }
    }

    /// Fetches a copy from the host at `from` if it knows a newer change.
    fn fetch_if_newer(self: &Rc<Self>, table: Table, version: u64, from: SocketAddr) {
        if self.tables.should_fetch_copy(table, version) {
            spawn_local(self.clone().fetch(table, from));
        }
    }

    async fn fetch(self: Rc<Self>, table: Table, from: SocketAddr) {
        if self.tables.role(self.gateway.now()) == StoreRole::Copier {
            self.random_pause(MAX_FETCH_DELAY_MS).await;
        }
        for _ in 0..MAX_FETCH_ATTEMPTS {
            let after = self.tables.changed_version(table);
            let fetched = timeout(FETCH_TIMEOUT, fetch_copy(table, after, from)).await;
            match fetched {
                Ok(FetchResult::Copy(copy)) => self.tables.apply_copy(table, copy, from),
                Ok(FetchResult::Busy) => {
                    self.random_pause(MAX_BUSY_DELAY_MS).await;
                    continue;
                }
                // The next host that reports a newer change is asked.
                Ok(FetchResult::Failed) | Err(_) => {}
            }
            break;
        }
        self.tables.on_fetched(table);
    }

    async fn random_pause(&self, max_ms: u64) {
        let pause_ms = self.random.borrow_mut().below(max_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
