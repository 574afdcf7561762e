//! Reports between hosts, and copies of the platform's tables for hosts that the store turns away.

use std::cell::Cell;
use std::cell::RefCell;
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
use sedgeridge_fleet::origin_message::OriginMessage;
use sedgeridge_fleet::peer_report::PeerReport;
use sedgeridge_fleet::peer_report::set_included;
use sedgeridge_fleet::registration_retries::RegistrationRetries;
use sedgeridge_fleet::store_version::StoreVersion;
use sedgeridge_fleet::store_version::TableVersions;
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
use crate::stream_origins;
use crate::table_copies::CopyServer;
use crate::table_copies::FetchResult;
use crate::table_copies::fetch_copy;
use crate::table_follower::TableFollower;
use crate::wire::WireFormat;

/// Time between checks for due reports.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(50);
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
            host_count: Cell::new(1),
            random: RefCell::new(SeededRandom::new(seed)),
        }
    }

    /// Registers this host in the host list, and again whenever its entry is lost, until it stops.
    pub async fn stay_registered<S: Store>(&self, store: Rc<S>) {
        while let Some(written_at) = self.register(&*store).await {
            self.wait_to_register_again(written_at).await;
        }
    }

    /// Writes this host's entry. Returns the store's version with the entry; `None` if the host stops.
    async fn register<S: Store>(&self, store: &S) -> Option<StoreVersion> {
        let entry = self.entry();
        let mut retries = RegistrationRetries::default();
        while !self.gateway.is_stopping() {
            if let Some(written_at) = store.register(&entry).await {
                return Some(written_at);
            }
            self.pause_registration(&mut retries).await;
        }
        None
    }

    /// Waits until this host's entry is lost, or the host stops. Many hosts may lose theirs at once, so each waits a random
    /// time more, in which the list may turn out to hold the entry after all.
    async fn wait_to_register_again(&self, written_at: StoreVersion) {
        loop {
            self.tables.wait_for_lost_entry(written_at).await;
            self.pause_registration(&mut RegistrationRetries::default())
                .await;
            if self.gateway.is_stopping() {
                return;
            }
            if self.tables.has_lost_entry(written_at) {
                break;
            }
        }
        let fields = [
            ("era", written_at.era.into()),
            ("version", written_at.number.into()),
        ];
        self.gateway.log(LogEvent::RegistrationLost, &fields);
    }

    async fn pause_registration(&self, retries: &mut RegistrationRetries) {
        let pause = retries.next_pause(&mut self.random.borrow_mut());
        tokio::time::sleep(pause).await;
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
            versions: TableVersions {
                config: self.tables.offered_version(Table::Config),
                endpoints: self.tables.offered_version(Table::Endpoints),
                hosts: self.tables.offered_version(Table::Hosts),
            },
            is_stopping: self.gateway.is_stopping(),
            is_busy: self.gateway.loop_lag.borrow().is_overloaded(),
            store_answers: self.tables.store_answers(),
            store_lost_for: self.tables.store_lost_for(),
            store_answered_ago: self.tables.store_answered_ago(),
        }
    }

    fn send_report(&self, socket: &UdpSocket, outgoing: &OutgoingReport) {
        let mut bytes = outgoing.report.encode();
        meters::count_report_bytes(bytes.len() * outgoing.to.len());
        meters::count_rows_left_out(outgoing.report.left_out);
        for ReportRecipient { host, included } in &outgoing.to {
            let Some(address) = self.tables.address(*host) else {
                continue;
            };
            set_included(&mut bytes, *included);
            // The next report makes up for a lost one.
            let _ = socket.try_send_to(&bytes, address);
        }
    }

    /// Receives reports for as long as the process runs.
    pub async fn receive_reports_forever(self: Rc<Self>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let datagram = &buffer[..length];
            if OriginMessage::has_format(datagram) {
                self.receive_origin(&socket, datagram, from);
                continue;
            }
            let report = match PeerReport::decode(datagram) {
                Ok(report) => report,
                Err(error) => {
                    self.log_unusable(from, &error.to_string());
                    continue;
                }
            };
            self.tables.note_sender(report.host, from);
            let versions = report.table_versions();
            self.fetch_if_newer(Table::Config, versions.config, &report, from);
            self.fetch_if_newer(Table::Endpoints, versions.endpoints, &report, from);
            self.fetch_if_newer(Table::Hosts, versions.hosts, &report, from);
            self.gateway.handle(DispatchEvent::Reported(report));
        }
    }

    fn receive_origin(&self, socket: &UdpSocket, datagram: &[u8], from: SocketAddr) {
        match OriginMessage::decode(datagram) {
            Ok(message) => {
                if let Some(reply) = stream_origins::receive(&self.gateway, message) {
                    // The sender repeats its message if the answer is lost.
                    let _ = socket.try_send_to(&reply.encode(), from);
                }
            }
            Err(error) => self.log_unusable(from, &error.to_string()),
        }
    }

    fn log_unusable(&self, from: SocketAddr, reason: &str) {
        let fields = [("from", from.to_string().into()), ("reason", reason.into())];
        self.gateway.log(LogEvent::ReportUnusable, &fields);
    }

    /// Sends messages about the origins of streams for as long as the process runs.
    pub async fn send_origins_forever(&self, socket: Rc<UdpSocket>) {
        loop {
            for (host, message) in self.gateway.origins.take_outgoing().await {
                if let Some(address) = self.tables.address(host) {
                    // A lost message is repeated while its answer is missing.
                    let _ = socket.try_send_to(&message.encode(), address);
                }
            }
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

    /// Fetches a copy from the sender of a report, at `from`, if it knows a newer change.
    fn fetch_if_newer(
        self: &Rc<Self>,
        table: Table,
        version: StoreVersion,
        report: &PeerReport,
        from: SocketAddr,
    ) {
        if self
            .tables
            .should_fetch_copy(table, version, report.data_centre)
        {
            spawn_local(self.clone().fetch(table, from));
        }
    }

    async fn fetch(self: Rc<Self>, table: Table, from: SocketAddr) {
        if self.tables.role(self.gateway.now()) == StoreRole::Copier {
            self.random_pause(MAX_FETCH_DELAY_MS).await;
        }
        self.fetch_all(table, from).await;
        self.tables.on_fetched(table);
    }

    /// Fetches copies until the other host has no more changes.
    async fn fetch_all(&self, table: Table, from: SocketAddr) {
        let mut attempts_left = MAX_FETCH_ATTEMPTS;
        while attempts_left > 0 {
            let after = self.tables.changed_version(table);
            let fetched = timeout(FETCH_TIMEOUT, fetch_copy(table, after, from)).await;
            match fetched {
                Ok(FetchResult::Copy(copy)) => {
                    let is_newer = copy.version > after;
                    let has_more = copy.has_more;
                    self.tables.apply_copy(table, copy, from);
                    if !has_more || !is_newer {
                        return;
                    }
                    attempts_left = MAX_FETCH_ATTEMPTS;
                }
                Ok(FetchResult::Busy) => {
                    attempts_left -= 1;
                    self.random_pause(MAX_BUSY_DELAY_MS).await;
                }
                // The next host that reports a newer change is asked.
                Ok(FetchResult::Failed) | Err(_) => return,
            }
        }
    }

    async fn random_pause(&self, max_ms: u64) {
        let pause_ms = self.random.borrow_mut().below(max_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
