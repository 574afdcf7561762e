//! Copies of the platform's tables that hosts send each other.

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
use http::header::HeaderName;
use http::header::HeaderValue;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use sedgeridge_fleet::peer_report::to_millis;
use sedgeridge_fleet::row_watch::LapsingRow;
use sedgeridge_fleet::row_watch::Row;
use sedgeridge_fleet::row_watch::TableCopy;
use sedgeridge_fleet::store_version::StoreVersion;
use sedgeridge_fleet::table_copy_budget::TableCopyBudget;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::clock::Clock;
use crate::endpoint_pool::open_connection;
use crate::page_server::Page;
use crate::store::Table;
use crate::table_follower::TableFollower;
use crate::wire::WireFormat;

/// Longest copy. It holds a bounded number of rows, most of which have less than a kilobyte.
const MAX_COPY_BYTES: usize = 4 * 1024 * 1024;
/// Largest number of encoded copies of one table: those of a long table in parts, and of the latest
/// changes.
const MAX_CACHED_COPIES: usize = 16;
const CONFIG_PATH: &str = "/config";
const ENDPOINTS_PATH: &str = "/endpoints";
const HOSTS_PATH: &str = "/hosts";
/// Header with the era of the version that the receiver knows. Hosts of an earlier version neither send
/// nor read it.
const KNOWN_ERA: HeaderName = HeaderName::from_static("known-era");

/// Result of fetching a copy.
#[derive(Debug)]
pub enum FetchResult {
    /// The copy.
    Copy(TableCopy),
    /// The other host already sends as many copies as it can.
    Busy,
    /// There was no usable response.
    Failed,
}

/// A copy of a table as encoded between hosts.
#[derive(Debug, Serialize, Deserialize)]
struct CopyMessage {
    version: u64,
    /// Era of the version, and of each row that states none. Hosts of an earlier version do not send it.
    #[serde(default)]
    era: u64,
    is_whole: bool,
    /// Hosts of an earlier version do not send it.
    #[serde(default)]
    has_more: bool,
    rows: Vec<CopiedRow>,
    /// Hosts of an earlier version do not send it.
    #[serde(default)]
    lapsing: Vec<CopiedLapsingRow>,
    #[serde(default)]
    keys: Option<Vec<String>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct CopiedRow {
    key: String,
    version: u64,
    /// Era of the version, if it is another one than the copy's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    value: Option<ByteBuf>,
}

#[derive(Debug, Serialize, Deserialize)]
struct CopiedLapsingRow {
    key: String,
    version: u64,
    /// Era of the version, if it is another one than the copy's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    remaining_ms: u64,
    /// Hosts of an earlier version do not send it. With 0 the outage counts as starting when the
    /// copy arrives; no answer can refute that yet, so the receiver keeps the row as lapsing.
    #[serde(default)]
    lost_ms: u64,
    /// Whether the store came back without the row. Hosts of an earlier version do not send it.
    #[serde(default)]
    is_restored: bool,
}

impl From<TableCopy> for CopyMessage {
    fn from(copy: TableCopy) -> Self {
        let copy_era = copy.version.era;
        let other_era = |version: StoreVersion| Some(version.era).filter(|era| *era != copy_era);
        let rows = copy.rows.into_iter().map(|row| CopiedRow {
            key: row.key.to_string(),
            version: row.version.number,
            era: other_era(row.version),
            value: row.value.map(|value| ByteBuf::from(value.to_vec())),
        });
        let lapsing = copy.lapsing.into_iter().map(|row| CopiedLapsingRow {
            key: row.key.to_string(),
            version: row.version.number,
            era: other_era(row.version),
            remaining_ms: to_millis(row.remaining),
            lost_ms: to_millis(row.outage_age),
            is_restored: row.is_restored,
        });
        Self {
            version: copy.version.number,
            era: copy_era,
            is_whole: copy.is_whole,
            has_more: copy.has_more,
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
        let version = |era: Option<u64>, number| StoreVersion {
            era: era.unwrap_or(message.era),
            number,
        };
        let rows = message.rows.into_iter().map(|row| Row {
            key: Arc::from(row.key),
            version: version(row.era, row.version),
            value: row.value.map(|value| Arc::from(value.into_vec())),
        });
        let lapsing = message.lapsing.into_iter().map(|row| LapsingRow {
            key: Arc::from(row.key),
            version: version(row.era, row.version),
            remaining: Duration::from_millis(row.remaining_ms),
            outage_age: Duration::from_millis(row.lost_ms),
            is_restored: row.is_restored,
        });
        Self {
            version: version(None, message.version),
            is_whole: message.is_whole,
            has_more: message.has_more,
            rows: rows.collect(),
            lapsing: lapsing.collect(),
            keys: message
                .keys
                .map(|keys| keys.into_iter().map(Arc::from).collect()),
        }
    }
}

/// Sends copies to other hosts.
#[derive(Debug, Clone, Default)]
pub struct CopyServer {
    load: Arc<Mutex<TableCopyBudget>>,
    cache: Rc<RefCell<BTreeMap<Table, CachedCopies>>>,
}

/// Encoded copies of one version of a table, by the version that the receiver knows. Many hosts ask
/// for the same ones at once.
#[derive(Debug, Default)]
struct CachedCopies {
    version: StoreVersion,
    encoded: BTreeMap<StoreVersion, Bytes>,
}

impl CachedCopies {
    /// Drops the copies of an earlier version, and all if there are too many.
    fn make_room(&mut self, version: StoreVersion) {
        if self.version != version || self.encoded.len() >= MAX_CACHED_COPIES {
            self.encoded.clear();
        }
        self.version = version;
    }
}

/// A copy that is being sent to a host. It counts until its last byte is written.
struct SentCopy {
    bytes: Bytes,
    load: Arc<Mutex<TableCopyBudget>>,
}

impl AsRef<[u8]> for SentCopy {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for SentCopy {
    fn drop(&mut self) {
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        load.finish(self.bytes.len() as u64);
    }
}

impl CopyServer {
    /// Answers another host's request for a copy.
    pub fn page<W: WireFormat, C: Clock>(
        &self,
        tables: &TableFollower<W, C>,
        request: &Request<Incoming>,
    ) -> Page {
        let table = match request.uri().path() {
            CONFIG_PATH => Table::Config,
            ENDPOINTS_PATH => Table::Endpoints,
            HOSTS_PATH => Table::Hosts,
            _ => return empty_page(StatusCode::NOT_FOUND),
        };
        let bytes = self.encoded_copy(tables, table, known_version(request));
        match self.admit(bytes) {
            Some(body) => Response::new(Full::from(body)),
            None => empty_page(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn encoded_copy<W: WireFormat, C: Clock>(
        &self,
        tables: &TableFollower<W, C>,
        table: Table,
        after: StoreVersion,
    ) -> Bytes {
        let version = tables.changed_version(table);
        let mut cache = self.cache.borrow_mut();
        let cached = cache.entry(table).or_default();
        let known = cached.encoded.get(&after);
        if let Some(bytes) = known.filter(|_| cached.version == version) {
            return bytes.clone();
        }
        let copy = tables.copy(table, after);
        // The remaining time of lapsing rows is different at the next request.
        let is_cacheable = copy.lapsing.is_empty();
        let bytes = encode(copy);
        if is_cacheable {
            cached.make_room(version);
            cached.encoded.insert(after, bytes.clone());
        }
        bytes
    }

    fn admit(&self, bytes: Bytes) -> Option<Bytes> {
        let mut load = self.load.lock().unwrap_or_else(PoisonError::into_inner);
        let is_taken = load.try_start(bytes.len() as u64);
        drop(load);
        is_taken.then(|| {
            Bytes::from_owner(SentCopy {
                bytes,
                load: self.load.clone(),
            })
        })
    }
}

fn encode(copy: TableCopy) -> Bytes {
    let mut bytes = Vec::new();
    let message = CopyMessage::from(copy);
    ciborium::into_writer(&message, &mut bytes).expect("writing to a vector cannot fail");
    Bytes::from(bytes)
}

fn empty_page(status: StatusCode) -> Page {
    let mut page = Response::new(Full::default());
    *page.status_mut() = status;
    page
}

/// Returns the version that the sender of a request knows; the default if it states none.
fn known_version(request: &Request<Incoming>) -> StoreVersion {
    let number = request.uri().query().and_then(|query| query.parse().ok());
    let era = request.headers().get(KNOWN_ERA);
    let era = era.and_then(|era| era.to_str().ok()?.parse().ok());
    StoreVersion {
        era: era.unwrap_or_default(),
        number: number.unwrap_or_default(),
    }
}

/// Fetches the rows that changed after version `after` from the host at `from`.
pub async fn fetch_copy(table: Table, after: StoreVersion, from: SocketAddr) -> FetchResult {
    let path = match table {
        Table::Config => CONFIG_PATH,
        Table::Endpoints => ENDPOINTS_PATH,
        Table::Hosts => HOSTS_PATH,
    };
    match request_copy(path, after, from).await {
        Some((StatusCode::OK, body)) => decode(&body),
        Some((StatusCode::SERVICE_UNAVAILABLE, _)) => FetchResult::Busy,
        _ => FetchResult::Failed,
    }
}

async fn request_copy(
    path: &str,
    after: StoreVersion,
    from: SocketAddr,
) -> Option<(StatusCode, Bytes)> {
    let mut connection = open_connection(from).await.ok()?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("{path}?{}", after.number).parse().ok()?;
    let host = from.to_string().parse().ok()?;
    let headers = request.headers_mut();
    headers.insert(http::header::HOST, host);
    headers.insert(KNOWN_ERA, HeaderValue::from(after.era));
    let response = connection.send(request).await.ok()?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_COPY_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    Some((status, bytes))
}

fn decode(body: &[u8]) -> FetchResult {
    let message: Result<CopyMessage, _> = ciborium::from_reader(body);
    message.map_or(FetchResult::Failed, |message| {
        FetchResult::Copy(message.into())
    })
}
