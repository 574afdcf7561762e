//! Copies of tables that hosts give each other.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use sedgeridge_fleet::peer_report::to_millis;
use sedgeridge_fleet::row_watch::LapsingRow;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::TableCopy;
use sedgeridge_fleet::table_copy_budget::TableCopyBudget;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::clock::Clock;
use crate::endpoint_pool::open_connection;
use crate::page_server::Page;
use crate::store::Table;
use crate::table_follower::Tables;
use crate::wire::Wire;

/// Longest copy. Tables hold some hundred rows of less than a kilobyte, and 2,200 at the size to build
/// for.
const MAX_COPY_BYTES: usize = 4 * 1024 * 1024;
const CONFIG_PATH: &str = "/config";
const ENDPOINTS_PATH: &str = "/endpoints";

/// How the fetch of a copy ended.
#[derive(Debug)]
pub enum Fetched {
    /// The copy.
    Copy(TableCopy),
    /// The other host gives as many copies as it can.
    Busy,
    /// There was no usable answer.
    Failed,
}

/// A copy of a table as hosts send it.
#[derive(Debug, Serialize, Deserialize)]
struct CopyMessage {
    version: u64,
    is_whole: bool,
    rows: Vec<CopiedRow>,
    /// A host of an earlier version tells none.
    #[serde(default)]
    lapsing: Vec<CopiedLapsingRow>,
    #[serde(default)]
    keys: Option<Vec<String>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct CopiedRow {
    key: String,
    version: u64,
    value: Option<ByteBuf>,
}

#[derive(Debug, Serialize, Deserialize)]
struct CopiedLapsingRow {
    key: String,
    version: u64,
    remaining_ms: u64,
    /// A host of an earlier version tells none, and is believed.
    #[serde(default)]
    lost_ms: u64,
}

impl From<TableCopy> for CopyMessage {
    fn from(copy: TableCopy) -> Self {
        let rows = copy.rows.into_iter().map(|row| CopiedRow {
            key: row.key.to_string(),
            version: row.version,
            value: row.value.map(|value| ByteBuf::from(value.to_vec())),
        });
        let lapsing = copy.lapsing.into_iter().map(|row| CopiedLapsingRow {
            key: row.key.to_string(),
            version: row.version,
            remaining_ms: to_millis(row.remaining),
            lost_ms: to_millis(row.lost_for),
        });
        Self {
            version: copy.version,
            is_whole: copy.is_whole,
            rows: rows.collect(),
            lapsing: lapsing.collect(),
            keys: copy
                .keys
                .map(|keys| keys.iter().map(ToString::to_string).collect()),
        }
    }
}

impl From<CopyMessage> for TableCopy {
    fn from(message: CopyMessage) -> Self {
        let rows = message.rows.into_iter().map(|row| Row {
            key: Arc::from(row.key),
            version: row.version,
            value: row.value.map(|value| Arc::from(value.into_vec())),
        });
        let lapsing = message.lapsing.into_iter().map(|row| LapsingRow {
            key: Arc::from(row.key),
            version: row.version,
            remaining: Duration::from_millis(row.remaining_ms),
            lost_for: Duration::from_millis(row.lost_ms),
        });
        Self {
            version: message.version,
            is_whole: message.is_whole,
            rows: rows.collect(),
            lapsing: lapsing.collect(),
            keys: message
                .keys
                .map(|keys| keys.into_iter().map(Arc::from).collect()),
        }
    }
}

/// Gives copies to the other hosts.
#[derive(Debug, Clone, Default)]
pub struct CopyPages {
    load: Arc<Mutex<TableCopyBudget>>,
    made: Rc<RefCell<BTreeMap<Table, MadeCopy>>>,
}

/// The last copy that was made of a table. Many hosts ask for the same one at once.
#[derive(Debug)]
struct MadeCopy {
    after: u64,
    version: u64,
    bytes: Bytes,
}

/// A copy on its way to a host. It counts until its last byte is written.
struct GivenCopy {
    bytes: Bytes,
    load: Arc<Mutex<TableCopyBudget>>,
}

impl AsRef<[u8]> for GivenCopy {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for GivenCopy {
    fn drop(&mut self) {
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        load.finish(self.bytes.len() as u64);
    }
}

impl CopyPages {
    /// Answers another host's question for a copy.
    pub fn page<W: Wire, C: Clock>(
        &self,
        tables: &Tables<W, C>,
        request: &Request<Incoming>,
    ) -> Page {
        let table = match request.uri().path() {
            CONFIG_PATH => Table::Config,
            ENDPOINTS_PATH => Table::Endpoints,
            _ => return empty_page(StatusCode::NOT_FOUND),
        };
        let after = request.uri().query().and_then(|query| query.parse().ok());
        let bytes = self.bytes(tables, table, after.unwrap_or(0));
        match self.give(bytes) {
            Some(body) => Response::new(Full::from(body)),
            None => empty_page(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn bytes<W: Wire, C: Clock>(&self, tables: &Tables<W, C>, table: Table, after: u64) -> Bytes {
        let version = tables.changed_version(table);
        let mut all_made = self.made.borrow_mut();
        let made = all_made.get(&table);
        let made = made.filter(|made| (made.after, made.version) == (after, version));
        if let Some(made) = made {
            return made.bytes.clone();
        }
        let copy = tables.copy(table, after);
        // The time that is left for what may have lapsed is another one at the next question.
        let holds = copy.lapsing.is_empty();
        let bytes = encode(copy);
        if holds {
            let made = MadeCopy {
                after,
                version,
                bytes: bytes.clone(),
            };
            all_made.insert(table, made);
        }
        bytes
    }

    fn give(&self, bytes: Bytes) -> Option<Bytes> {
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        let is_taken = load.try_start(bytes.len() as u64);
        drop(load);
        is_taken.then(|| {
            Bytes::from_owner(GivenCopy {
                bytes,
                load: self.load.clone(),
            })
        })
    }
}

fn encode(copy: TableCopy) -> Bytes {
    let mut bytes = Vec::new();
    let message = CopyMessage::from(copy);
    ciborium::into_writer(&message, &mut bytes).expect("a vector takes every byte");
    Bytes::from(bytes)
}

fn empty_page(status: StatusCode) -> Page {
    let mut page = Response::new(Full::default());
    *page.status_mut() = status;
    page
}

/// Fetches what changed after a version from the host at `from`.
pub async fn fetch_copy(table: Table, after: u64, from: SocketAddr) -> Fetched {
    let path = match table {
        Table::Config => CONFIG_PATH,
        Table::Endpoints => ENDPOINTS_PATH,
    };
    match ask(&format!("{path}?{after}"), from).await {
        Some((StatusCode::OK, body)) => read(&body),
        Some((StatusCode::SERVICE_UNAVAILABLE, _)) => Fetched::Busy,
        _ => Fetched::Failed,
    }
}

async fn ask(path: &str, from: SocketAddr) -> Option<(StatusCode, Bytes)> {
    let mut connection = open_connection(from).await.ok()?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = from.to_string().parse().ok()?;
    request.headers_mut().insert(http::header::HOST, host);
    let response = connection.send_request(request).await.ok()?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_COPY_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    Some((status, bytes))
}

fn read(body: &[u8]) -> Fetched {
    let message: Result<CopyMessage, _> = ciborium::from_reader(body);
    message.map_or(Fetched::Failed, |message| Fetched::Copy(message.into()))
}
