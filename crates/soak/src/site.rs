//! Everything around the routers: the store, endpoints, the operator.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_platform_standins::documents;
use sedgeridge_platform_standins::documents::AccountSpec;
use sedgeridge_platform_standins::documents::ConfigSpec;
use sedgeridge_platform_standins::documents::EndpointSpec;
use sedgeridge_platform_standins::documents::RouteKind;
use sedgeridge_platform_standins::documents::RouteSpec;
use sedgeridge_platform_standins::endpoint;
use sedgeridge_platform_standins::endpoint::ListedId;
use sedgeridge_platform_standins::endpoint::RunLog;
use sedgeridge_platform_standins::endpoint::STREAM_PATH;
use sedgeridge_platform_standins::endpoint::StreamShape;
use sedgeridge_platform_standins::store;
use sedgeridge_platform_standins::store::CONFIG_KEY;
use sedgeridge_platform_standins::store::ENDPOINTS_TABLE;
use sedgeridge_platform_standins::store::OPERATOR_TABLE;
use sedgeridge_platform_standins::store::StoreRows;
use sedgeridge_standins::server::RunningServer;

use crate::links::Link;
use crate::routers::DATA_CENTRES;

/// Host name that callers address.
pub const HOST: &str = "desk.example";
/// Longest time of a request, by route and by caller.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that an endpoint runs at once; the callers of a usual run do not fill it.
const SLOTS: u32 = 16;
const STREAM_SERVICE: &str = "streams";
const WHOLE_SERVICE: &str = "answers";

/// Returns the path of requests that allow this.
pub fn path(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "/read/",
        RouteKind::AtMostOnce => "/book/",
        RouteKind::Stream => STREAM_PATH,
    }
}

/// Returns the key of a generation. Two of them are valid at a time.
pub fn key(generation: u64) -> String {
    format!("key-{generation}")
}

/// The store, the endpoints and the operator.
#[derive(Debug)]
pub struct Site {
    /// What the endpoints ran.
    pub runs: RunLog,
    /// The store.
    pub store: RunningServer,
    /// The store's rows.
    pub rows: StoreRows,
    /// The endpoints.
    pub endpoints: Vec<SoakEndpoint>,
    generation: Cell<u64>,
}

/// One endpoint.
#[derive(Debug)]
pub struct SoakEndpoint {
    /// Its server.
    pub server: RunningServer,
    /// The link from all routers.
    pub link: Link,
    listed: ListedId,
    service: &'static str,
    data_centre: String,
    index: usize,
    life: Cell<u32>,
}

impl Site {
    /// Starts everything, lists the endpoints and writes the first configuration.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn start(endpoints: usize) -> io::Result<Self> {
        let rows = StoreRows::default();
        let runs = RunLog::default();
        let endpoints = (0..endpoints).map(|index| SoakEndpoint::start(index, &runs));
        let site = Self {
            store: store::spawn(rows.clone())?,
            endpoints: endpoints.collect::<io::Result<_>>()?,
            rows,
            runs,
            generation: Cell::new(1),
        };
        for endpoint in &site.endpoints {
            endpoint.list(&site.rows, false);
        }
        site.write_config();
        Ok(site)
    }

    /// Returns the store's address.
    pub fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// Returns the newest generation of keys.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Brings in a new key; the one before the last is no longer valid.
    pub fn change_keys(&self) {
        self.generation.set(self.generation.get() + 1);
        self.write_config();
    }

    fn write_config(&self) {
        let newest = self.generation.get();
        let routes = [
            RouteKind::Idempotent,
            RouteKind::AtMostOnce,
            RouteKind::Stream,
        ]
        .map(|kind| RouteSpec {
            host: HOST.to_owned(),
            path: path(kind).to_owned(),
            kind,
            service: match kind {
                RouteKind::Stream => STREAM_SERVICE.to_owned(),
                RouteKind::Idempotent | RouteKind::AtMostOnce => WHOLE_SERVICE.to_owned(),
            },
            timeout_ms: TIMEOUT.as_millis() as u64,
        });
        let account = AccountSpec {
            name: "crew".to_owned(),
            keys: vec![key(newest), key(newest - 1)],
        };
        let config = documents::config(&ConfigSpec {
            version: newest,
            routes: routes.into(),
            cold_start_s: 0.0,
            cold_requests_per_s: 0.0,
            accounts: vec![account],
        });
        self.rows.put(OPERATOR_TABLE, CONFIG_KEY, &config);
    }
}

impl SoakEndpoint {
    fn start(index: usize, runs: &RunLog) -> io::Result<Self> {
        let listed = ListedId::new(&id(index, 0));
        let server = endpoint::spawn(listed.clone(), runs.clone(), StreamShape::default())?;
        let link = Link::to(server.address())?;
        let service = match index % 2 {
            0 => STREAM_SERVICE,
            _ => WHOLE_SERVICE,
        };
        Ok(Self {
            server,
            link,
            listed,
            service,
            data_centre: format!("dc-{}", index / 2 % DATA_CENTRES),
            index,
            life: Cell::new(0),
        })
    }

    /// Lists the endpoint, or changes its entry.
    pub fn list(&self, rows: &StoreRows, is_leaving: bool) {
        let entry = documents::endpoint(&EndpointSpec {
            service: self.service.to_owned(),
            address: self.link.address(),
            data_centre: self.data_centre.clone(),
            slots: SLOTS,
            is_leaving,
            cold_remaining_ms: 0,
        });
        rows.put(ENDPOINTS_TABLE, &self.id(), &entry);
    }

    /// Ends this life of the endpoint, and begins another one.
    pub fn come_back(&self, rows: &StoreRows) {
        rows.remove(ENDPOINTS_TABLE, &self.id());
        self.life.set(self.life.get() + 1);
        self.listed.set(&self.id());
        self.list(rows, false);
    }

    fn id(&self) -> String {
        id(self.index, self.life.get())
    }
}

fn id(index: usize, life: u32) -> String {
    format!("endpoint-{index}-{life}")
}
