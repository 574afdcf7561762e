//! The environment of the routers: store, endpoints and operator.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_platform_standins::crashing_parts::CrashingParts;
use sedgeridge_platform_standins::documents;
use sedgeridge_platform_standins::documents::AccountSpec;
use sedgeridge_platform_standins::documents::ConfigSpec;
use sedgeridge_platform_standins::documents::EndpointSpec;
use sedgeridge_platform_standins::documents::RouteKind;
use sedgeridge_platform_standins::documents::RouteSpec;
use sedgeridge_platform_standins::endpoint;
use sedgeridge_platform_standins::endpoint::ListedRun;
use sedgeridge_platform_standins::endpoint::RunLog;
use sedgeridge_platform_standins::endpoint::STREAM_PATH;
use sedgeridge_platform_standins::endpoint::StreamShape;
use sedgeridge_platform_standins::store;
use sedgeridge_platform_standins::store::CONFIG_KEY;
use sedgeridge_platform_standins::store::ENDPOINTS_TABLE;
use sedgeridge_platform_standins::store::OPERATOR_TABLE;
use sedgeridge_platform_standins::store::StoreCopy;
use sedgeridge_platform_standins::store::StoreRows;
use sedgeridge_standins::server::RunningServer;
use serde_json::json;

use crate::callers::CRASHING_PART;
use crate::callers::CRASHING_PATH;
use crate::links::Link;
use crate::routers::DATA_CENTRES;
use crate::schedule::LinkFault;

/// Host name that callers address.
pub const HOST: &str = "desk.example";
/// Timeout of a request, in the route and at the caller.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of running requests of an endpoint; the callers of a usual run do not reach it.
const SLOTS: u32 = 16;
/// Time for which an endpoint is down after a crash.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(500);
const STREAM_SERVICE: &str = "streams";
const WHOLE_SERVICE: &str = "answers";
/// Software version of the endpoints at the start of a run.
const FIRST_SOFTWARE_VERSION: &str = "v1";
/// Table of another system that uses the store.
const OTHER_TABLE: &str = "other";
/// Writes of the other system that are lost, more than all others of a run.
const LOST_WRITES: u32 = 300;

/// Returns the path of the route of a kind.
pub fn path(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "/read/",
        RouteKind::AtMostOnce => "/book/",
        RouteKind::Stream => STREAM_PATH,
    }
}

/// Returns the key of a generation. The two newest generations are valid.
pub fn key(generation: u64) -> String {
    format!("key-{generation}")
}

/// The store, the endpoints and the operator.
#[derive(Debug)]
pub struct Site {
    /// Log of the runs at all endpoints.
    pub runs: RunLog,
    /// Server of the store.
    pub store: RunningServer,
    /// Rows of the store.
    pub rows: StoreRows,
    /// The endpoints.
    pub endpoints: Vec<SoakEndpoint>,
    /// Parts of prompts that crash endpoints.
    pub crashing: CrashingParts,
    generation: Cell<u64>,
    copy: RefCell<Option<StoreCopy>>,
}

/// An endpoint with its link and its entry in the store.
#[derive(Debug)]
pub struct SoakEndpoint {
    /// Server of the endpoint.
    pub server: RunningServer,
    /// Link from all routers to the endpoint.
    pub link: Link,
    listed_run: ListedRun,
    service: &'static str,
    data_centre: String,
    index: usize,
    incarnation: Cell<u32>,
    is_leaving: Cell<bool>,
    /// When the endpoint starts again after a crash, since the start of the run.
    down_until: Cell<Option<Duration>>,
}

impl Site {
    /// Starts the store and endpoints, lists the endpoints and writes the first configuration.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn start(endpoints: usize) -> io::Result<Self> {
        let rows = StoreRows::default();
        let runs = RunLog::default();
        let crashing = CrashingParts::default();
        crashing.add(CRASHING_PART);
        crashing.add_path(CRASHING_PATH);
        let endpoints = (0..endpoints).map(|index| SoakEndpoint::start(index, &runs, &crashing));
        let site = Self {
            store: store::spawn(rows.clone())?,
            endpoints: endpoints.collect::<io::Result<_>>()?,
            rows,
            runs,
            crashing,
            generation: Cell::new(1),
            copy: RefCell::new(None),
        };
        for endpoint in &site.endpoints {
            endpoint.put_entry(&site.rows, false);
        }
        site.write_config();
        Ok(site)
    }

    /// Returns the number of endpoints that take new streams and that a router knows, by software version.
    pub fn stream_versions(&self) -> HashMap<String, usize> {
        let mut versions = HashMap::new();
        for endpoint in self.endpoints.iter().filter(|it| it.takes_streams()) {
            let version = endpoint.listed_run.software_version().to_string();
            *versions.entry(version).or_default() += 1;
        }
        versions
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// Returns the newest key generation.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Cuts off endpoints that have crashed under a part of a prompt, and lists them again under a new id after a while.
    ///
    /// # Errors
    ///
    /// A link did not accept an order.
    pub fn carry_out_crashes(&self, now: Duration) -> io::Result<()> {
        let crashed = self.crashing.take_crashed();
        for endpoint in &self.endpoints {
            if crashed.contains(&endpoint.id()) {
                endpoint.link.start_fault(LinkFault::Reset)?;
                endpoint.down_until.set(Some(now + CRASH_DOWN_TIME));
            } else if endpoint.down_until.get().is_some_and(|until| now >= until) {
                endpoint.down_until.set(None);
                endpoint.link.end_fault(LinkFault::Reset)?;
                endpoint.relist(&self.rows);
            }
        }
        Ok(())
    }

    /// Adds a new key and revokes the older of the two valid ones.
    pub fn change_keys(&self) {
        self.generation.set(self.generation.get() + 1);
        self.write_config();
    }

    /// Takes a copy of the store. Then others write to it, and the operator and the endpoints do, so that
    /// routers know versions which the store gives out again after the loss.
    pub fn copy_store(&self) {
        *self.copy.borrow_mut() = Some(self.rows.copy());
        for write in 0..LOST_WRITES {
            self.rows.put(OTHER_TABLE, &write.to_string(), &json!({}));
        }
        self.write_again();
    }

    /// Makes the store unavailable and replaces its rows by those of the last copy.
    pub fn lose_later_rows(&self) {
        self.rows.set_away(true);
        if let Some(copy) = &*self.copy.borrow() {
            self.rows.restore(copy);
        }
    }

    /// Writes what the operator and the endpoints wrote last, wherever the store holds something else.
    pub fn write_again(&self) {
        self.write_config();
        for endpoint in &self.endpoints {
            endpoint.write_again(&self.rows);
        }
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
    fn start(index: usize, runs: &RunLog, crashing: &CrashingParts) -> io::Result<Self> {
        let listed_run = ListedRun::new(&endpoint_id(index, 0), FIRST_SOFTWARE_VERSION);
        let server = endpoint::spawn_at(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            listed_run.clone(),
            runs.clone(),
            StreamShape::default(),
            crashing.clone(),
        )?;
        let link = Link::to(server.address())?;
        let service = match index % 2 {
            0 => STREAM_SERVICE,
            _ => WHOLE_SERVICE,
        };
        Ok(Self {
            server,
            link,
            listed_run,
            service,
            data_centre: format!("dc-{}", index / 2 % DATA_CENTRES),
            index,
            incarnation: Cell::new(0),
            is_leaving: Cell::new(false),
            down_until: Cell::new(None),
        })
    }

    /// Writes the entry of the endpoint to the store.
    pub fn put_entry(&self, rows: &StoreRows, is_leaving: bool) {
        self.is_leaving.set(is_leaving);
        let entry = documents::endpoint(&EndpointSpec {
            service: self.service.to_owned(),
            software_version: self.listed_run.software_version().to_string(),
            address: self.link.address(),
            data_centre: self.data_centre.clone(),
            slots: SLOTS,
            is_leaving,
            cold_remaining_ms: 0,
        });
        rows.put(ENDPOINTS_TABLE, &self.id(), &entry);
    }

    /// Removes the entry of the endpoint and lists the endpoint again under a new id.
    pub fn relist(&self, rows: &StoreRows) {
        self.restart(rows, &self.listed_run.software_version());
    }

    /// Does the same, with the software of a release.
    pub fn upgrade(&self, rows: &StoreRows, release: u32) {
        self.restart(rows, &format!("v{}", release + 1));
    }

    fn restart(&self, rows: &StoreRows, software_version: &str) {
        rows.remove(ENDPOINTS_TABLE, &self.id());
        self.incarnation.set(self.incarnation.get() + 1);
        self.listed_run.set(&self.id(), software_version);
        self.put_entry(rows, false);
    }

    fn takes_streams(&self) -> bool {
        let is_up = self.down_until.get().is_none() && !self.is_leaving.get();
        self.service == STREAM_SERVICE && is_up && self.listed_run.is_known()
    }

    /// Returns whether the endpoint may take no orders: it has crashed, or did before it was listed again, and starts only
    /// when it sees its new id.
    pub fn may_be_down(&self, crashing: &CrashingParts) -> bool {
        let incarnation = self.incarnation.get();
        let ids =
            [incarnation, incarnation.saturating_sub(1)].map(|it| endpoint_id(self.index, it));
        ids.iter().any(|id| crashing.has_crashed(id))
    }

    /// Writes the entry again, and removes those of earlier ids that came back.
    fn write_again(&self, rows: &StoreRows) {
        for earlier in 0..self.incarnation.get() {
            let id = endpoint_id(self.index, earlier);
            if rows.contains(ENDPOINTS_TABLE, &id) {
                rows.remove(ENDPOINTS_TABLE, &id);
            }
        }
        self.put_entry(rows, self.is_leaving.get());
    }

    /// Returns the id of the endpoint's present run.
    pub fn id(&self) -> String {
        endpoint_id(self.index, self.incarnation.get())
    }
}

fn endpoint_id(index: usize, incarnation: u32) -> String {
    format!("endpoint-{index}-{incarnation}")
}
