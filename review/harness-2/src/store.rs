//! Stand-in of the platform's store: rows with versions, a feed of changes, transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::http;
use crate::http::Request;
use crate::json;
use crate::json::Value;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most rows of a listing.
const MAX_ROWS: usize = 500;

/// The store, shared by its listeners.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

struct Inner {
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
    /// Calls of the feed of the operator's rows by listener.
    config_calls: Mutex<BTreeMap<SocketAddr, (u64, Instant)>>,
    calls: AtomicU64,
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
}

#[derive(Clone)]
struct Row {
    version: u64,
    value: Option<String>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            inner: Arc::new(Inner {
                rows: Mutex::default(),
                changed: Condvar::new(),
                started_at: Instant::now(),
                config_calls: Mutex::default(),
                calls: AtomicU64::new(0),
            }),
        }
    }
}

impl Store {
    /// Writes a document, as the operator and engines do. Returns once it is acknowledged.
    pub fn put(&self, table: &str, key: &str, document: &str) {
        let value = base64::encode(document.as_bytes());
        self.write(&[(table, "", key, Some(value))]);
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(&[(table, "", key, None)]);
    }

    fn write(&self, changes: &[(&str, &str, &str, Option<String>)]) -> u64 {
        let mut rows = self.inner.rows.lock().expect("no panic");
        rows.version += 1;
        let version = rows.version;
        for (table, part, key, value) in changes {
            let id = ((*table).to_owned(), (*part).to_owned(), (*key).to_owned());
            let value = value.clone();
            rows.rows.insert(id, Row { version, value });
        }
        drop(rows);
        self.inner.changed.notify_all();
        version
    }

    /// Starts a listener.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(address, stream));
            }
        });
        Ok(address)
    }

    /// Returns the listeners through which feeds of the operator's rows were asked for within a time.
    pub fn followers(&self, within: Duration) -> Vec<SocketAddr> {
        let calls = self.inner.config_calls.lock().expect("no panic");
        let recent = calls.iter().filter(|(_, (_, at))| at.elapsed() <= within);
        recent.map(|(address, _)| *address).collect()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    fn serve(&self, address: SocketAddr, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            self.inner.calls.fetch_add(1, Ordering::Relaxed);
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(address, &request);
            let headers = "Content-Type: application/json\r\n";
            if http::write_answer(&mut writer, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, address: SocketAddr, request: &Request) -> (&'static str, String) {
        match request.path() {
            "/v1/rows-get" => ("200 OK", self.list(request)),
            "/v1/rows-feed" => ("200 OK", self.feed(address, request)),
            "/v1/rows-tx" => self.transact(request),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, request: &Request) -> String {
        let text = |name| request.query(name).unwrap_or_default();
        let (table, part, from, to) = (text("table"), text("part"), text("from"), text("to"));
        let limit = text("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let rows = self.inner.rows.lock().expect("no panic");
        let listed = rows.rows.iter().filter(|((in_table, in_part, key), row)| {
            let is_before = to.is_empty() || *key < to;
            let is_in = *in_table == table && *in_part == part && *key >= from && is_before;
            is_in && row.value.is_some()
        });
        let listed: Vec<_> = listed.map(row_document).collect();
        let has_more = listed.len() > limit;
        let shown = &listed[..listed.len().min(limit)];
        self.document(shown, rows.version, has_more)
    }

    fn feed(&self, address: SocketAddr, request: &Request) -> String {
        let table = request.query("table").unwrap_or_default();
        let number = |name| {
            let text = request.query(name).unwrap_or_default();
            text.parse::<u64>().unwrap_or_default()
        };
        let after = number("after");
        let ends_at = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        if table == "op" {
            let mut calls = self.inner.config_calls.lock().expect("no panic");
            let call = calls.entry(address).or_insert((0, Instant::now()));
            *call = (call.0 + 1, Instant::now());
        }
        let mut rows = self.inner.rows.lock().expect("no panic");
        loop {
            let changed = rows.rows.iter();
            let changed =
                changed.filter(|((in_table, _, _), row)| *in_table == table && row.version > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, row)| row.version);
            let left = ends_at.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let changed: Vec<_> = changed.into_iter().map(row_document).collect();
                return self.document(&changed, rows.version, false);
            }
            rows = self
                .inner
                .changed
                .wait_timeout(rows, left)
                .expect("no panic")
                .0;
        }
    }

    fn document(&self, rows: &[String], version: u64, has_more: bool) -> String {
        let now_ms = self.inner.started_at.elapsed().as_millis();
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{now_ms}}}"
        )
    }

    fn transact(&self, request: &Request) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body);
        let Some(transaction) = json::parse(&body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let is_forbidden = |row: &Value| matches!(row.text("table"), "op" | "servers");
        let written = transaction
            .list("puts")
            .iter()
            .chain(transaction.list("remove"));
        if written.clone().any(is_forbidden) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let expected_fails = {
            let rows = self.inner.rows.lock().expect("no panic");
            transaction.list("expect").iter().any(|row| {
                let id = (
                    row.text("table").to_owned(),
                    row.text("part").to_owned(),
                    row.text("key").to_owned(),
                );
                let known = rows.rows.get(&id).filter(|row| row.value.is_some());
                known.map_or(0, |row| row.version) != row.number("row_version")
            })
        };
        if expected_fails {
            return ("412 Precondition Failed", "{\"rows\":[]}".to_owned());
        }
        let puts = transaction.list("puts").iter();
        let puts = puts.map(|row| {
            (
                row.text("table"),
                row.text("part"),
                row.text("key"),
                Some(row.text("value").to_owned()),
            )
        });
        let removed = transaction.list("remove").iter();
        let removed =
            removed.map(|row| (row.text("table"), row.text("part"), row.text("key"), None));
        let changes: Vec<_> = puts.chain(removed).collect();
        let version = self.write(&changes);
        let now_ms = self.inner.started_at.elapsed().as_millis();
        (
            "200 OK",
            format!("{{\"row_version\":{version},\"now_ms\":{now_ms}}}"),
        )
    }
}

fn row_document(((table, part, key), row): (&(String, String, String), &Row)) -> String {
    let (table, part, key) = (json::quoted(table), json::quoted(part), json::quoted(key));
    let version = row.version;
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", json::quoted(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"row_version\":{version},{value}}}")
}
