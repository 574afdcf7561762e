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
use crate::core::Core;
use crate::event_log::LogEvent;
use crate::meters;
use crate::page_server::serve_pages;
use crate::store::HostEntry;
use crate::store::Store;
use crate::store::Table;
use crate::table_copies::CopyPages;
use crate::table_copies::Fetched;
use crate::table_copies::fetch_copy;
use crate::table_follower::Tables;
use crate::wire::Wire;

/// Time between looks whether reports are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between looks at the list of hosts. Hosts also learn of each other by reports.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The same for each host, so that a large fleet lists no more often than a small one.
const LIST_INTERVAL_PER_HOST: Duration = Duration::from_millis(1_200);
/// Time between tries while the store does not answer.
const LIST_RETRY: Duration = Duration::from_millis(700);
/// Longest pause before a host that lives on copies fetches one, so that not all ask at once.
const COPY_SPREAD_MS: u64 = 120;
/// Longest time to fetch a copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(800);
/// Times that a host is asked which gives as many copies as it can, and the longest pause in between.
const COPY_TRIES: u32 = 3;
const COPY_BUSY_MS: u64 = 300;
/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The other hosts, as far as their addresses are known.
#[derive(Debug)]
pub struct Peers<W, C> {
    core: Rc<Core<W, C>>,
    tables: Rc<Tables<W, C>>,
    /// Addresses by hash of the host's name.
    addresses: RefCell<HashMap<u64, SocketAddr>>,
    hosts: Cell<usize>,
    random: RefCell<SeededRandom>,
}

impl<W: Wire, C: Clock> Peers<W, C> {
    /// Creates the state of a host that has heard of no other.
    pub fn new(core: Rc<Core<W, C>>, tables: Rc<Tables<W, C>>) -> Self {
        let seed = stable_hash(&core.settings.host);
        Self {
            core,
            tables,
            addresses: RefCell::new(HashMap::new()),
            hosts: Cell::new(1),
            random: RefCell::new(SeededRandom::new(seed)),
        }
    }

    /// Registers this host and looks for others, for as long as the process runs.
    pub async fn list_forever<S: Store>(&self, store: Rc<S>) {
        let entry = self.entry();
        let mut is_registered = false;
        loop {
            is_registered = is_registered || store.register(&entry).await;
            while !self.list(&*store).await {
                tokio::time::sleep(LIST_RETRY).await;
            }
            // The store takes some hundred writes a second of one table's part; of hosts that start together
            // some are turned away, and have no reason to read the list again for that.
            while !is_registered {
                tokio::time::sleep(LIST_RETRY).await;
                is_registered = store.register(&entry).await;
            }
            self.wait_between_lists().await;
        }
    }

    /// Reads the list of hosts; tells whether the store answered.
    async fn list<S: Store>(&self, store: &S) -> bool {
        let listed = store.hosts().await;
        if let Some(hosts) = &listed {
            self.take_list(hosts);
        }
        listed.is_some()
    }

    /// Waits for the fleet's time between two lists. A host that has just started takes its fleet for
    /// small and would list again after the shortest one: a call in seven of a day.
    async fn wait_between_lists(&self) {
        let listed_at = self.core.now();
        loop {
            tokio::time::sleep(LIST_INTERVAL).await;
            let hosts = self.hosts.get() as u32;
            let interval = LIST_INTERVAL_PER_HOST.saturating_mul(hosts);
            if self.core.now() >= listed_at + interval {
                return;
            }
        }
    }

    /// Returns this host's entry.
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            host: self.core.settings.host.clone(),
            data_centre: self.core.settings.data_centre.clone(),
            peers_address: self.core.settings.peers_address,
        }
    }

    /// Sends reports for as long as the process runs.
    pub async fn report_forever(&self, socket: Rc<UdpSocket>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = self.tables.news() => self.core.with_dispatcher(Dispatcher::hasten_reports),
            }
            let now = self.core.now();
            let state = self.state();
            let due = self
                .core
                .with_dispatcher(|dispatcher| dispatcher.reports_due(now, state));
            self.note_hosts();
            for outgoing in due {
                self.send(&socket, &outgoing);
            }
        }
    }

    fn state(&self) -> HostState {
        HostState {
            config_version: self.tables.changed_version(Table::Config),
            endpoints_version: self.tables.changed_version(Table::Endpoints),
            is_stopping: self.core.is_stopping(),
            is_busy: self.core.lag.borrow().is_overloaded(),
            store_answers: self.tables.store_answers(),
            store_lost_for: self.tables.store_lost_for(),
            store_answered_ago: self.tables.store_answered_ago(),
        }
    }

    fn send(&self, socket: &UdpSocket, outgoing: &OutgoingReport) {
        let addresses = self.addresses.borrow();
        let mut bytes = outgoing.report.encode();
        meters::report_sent(bytes.len() * outgoing.to.len());
        for ReportRecipient { host, included } in &outgoing.to {
            let Some(address) = addresses.get(host) else {
                continue;
            };
            set_included(&mut bytes, *included);
            // A report that is lost is made up for by the next one.
            let _ = socket.try_send_to(&bytes, *address);
        }
    }

    fn take_list(&self, hosts: &[HostEntry]) {
        let listed = hosts.iter().map(|entry| ListedHost {
            host: stable_hash(&entry.host),
            data_centre: stable_hash(&entry.data_centre),
        });
        let listed: Vec<_> = listed.collect();
        let addresses = listed.iter().zip(hosts);
        let addresses = addresses.map(|(listed, entry)| (listed.host, entry.peers_address));
        self.addresses.borrow_mut().extend(addresses);
        self.core.handle(DispatchEvent::HostsListed(listed));
    }

    /// Takes in reports for as long as the process runs.
    pub async fn hear_forever(self: Rc<Self>, socket: Rc<UdpSocket>) {
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
                    self.core.log(LogEvent::ReportUnusable, &fields);
                    continue;
                }
            };
            self.addresses.borrow_mut().insert(report.host, from);
            self.compare(Table::Config, report.config_version, from);
            self.compare(Table::Endpoints, report.endpoints_version, from);
            self.core.handle(DispatchEvent::Reported(report));
        }
    }

    /// Gives other hosts copies of the tables, for as long as the process runs.
    pub async fn serve_copies(self: Rc<Self>, listener: TcpListener) {
        let core = self.core.clone();
        let pages = CopyPages::default();
        let page = move |request: &Request<Incoming>| pages.page(&self.tables, request);
        serve_pages(core, listener, page).await;
    }

    fn note_hosts(&self) {
        let now = self.core.now();
        let hosts = self
            .core
            .with_dispatcher(|dispatcher| dispatcher.hosts(now));
        let before = self.hosts.replace(hosts);
        if hosts != before {
            let fields = [("hosts", hosts.into()), ("before", before.into())];
            self.core.log(LogEvent::HostsChanged, &fields);
        }
    }

    /// Fetches a copy from a host that knows a newer change.
    fn compare(self: &Rc<Self>, table: Table, version: u64, from: SocketAddr) {
        if self.tables.takes_copy(table, version) {
            spawn_local(self.clone().fetch(table, from));
        }
    }

    async fn fetch(self: Rc<Self>, table: Table, from: SocketAddr) {
        if self.tables.role(self.core.now()) == StoreRole::Copier {
            self.pause_below(COPY_SPREAD_MS).await;
        }
        for _ in 0..COPY_TRIES {
            let after = self.tables.changed_version(table);
            let fetched = timeout(COPY_TIMEOUT, fetch_copy(table, after, from)).await;
            match fetched {
                Ok(Fetched::Copy(copy)) => self.tables.take_copy(table, copy, from),
                Ok(Fetched::Busy) => {
                    self.pause_below(COPY_BUSY_MS).await;
                    continue;
                }
                // Whoever reports next is asked.
                Ok(Fetched::Failed) | Err(_) => {}
            }
            break;
        }
        self.tables.on_fetched(table);
    }

    async fn pause_below(&self, most_ms: u64) {
        let pause_ms = self.random.borrow_mut().below(most_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
