//! Stand-in of the platform's store: rows, a feed of changes, and transactions. Everybody may write, also the operator and
//! the engines. Entries of engines that have been silent for three heartbeats are removed.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json::Json;

/// Time after which the entry of a silent engine is removed: three times `heartbeat_ms` of the settings.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
const ENGINES_TABLE: &str = "servers";

#[derive(Default)]
struct Rows {
    version: u64,
    /// Rows by table and key; removed rows have no value.
    rows: BTreeMap<(String, String), Row>,
}

struct Row {
    version: u64,
    value: Option<String>,
    written_at: Instant,
}

#[derive(Default)]
struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
}

pub fn serve(address: &str) {
    let listener = TcpListener::bind(address).expect("the store's address is free");
    let store = Arc::new(Store::default());
    let expiring = store.clone();
    thread::spawn(move || expiring.expire_forever());
    for stream in listener.incoming().flatten() {
        let store = store.clone();
        thread::spawn(move || store.serve_connection(stream));
    }
}

impl Store {
    fn expire_forever(&self) {
        loop {
            thread::sleep(Duration::from_millis(100));
            let mut rows = self.rows.lock().expect("no thread panics");
            let is_silent =
                |row: &Row| row.value.is_some() && row.written_at.elapsed() > ENTRY_LIFETIME;
            let silent = rows.rows.iter();
            let silent =
                silent.filter(|((table, _), row)| table == ENGINES_TABLE && is_silent(row));
            let silent: Vec<_> = silent.map(|((_, key), _)| key.clone()).collect();
            for key in silent {
                rows.version += 1;
                rows.set(ENGINES_TABLE, &key, None);
                self.changed.notify_all();
            }
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let json = [("Content-Type", "application/json")];
            if http::write_answer(&mut writer, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        match request.path() {
            "/v1/rows-get" => {
                let rows = self.rows.lock().expect("no thread panics");
                let from = request.query("from").unwrap_or_default();
                let limit = number("limit").unwrap_or(500).min(500) as usize;
                (200, rows.list(&table, &from, limit))
            }
            "/v1/rows-feed" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                (200, self.feed(&table, number("after").unwrap_or(0), wait))
            }
            "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, String::new()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let ends_at = Instant::now() + wait;
        let mut rows = self.rows.lock().expect("no thread panics");
        loop {
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() || rows.has_changes(table, after) {
                return rows.changes(table, after);
            }
            rows = self
                .changed
                .wait_timeout(rows, left)
                .expect("no thread panics")
                .0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(document) = Json::parse(body) else {
            return (400, String::new());
        };
        let mut rows = self.rows.lock().expect("no thread panics");
        rows.version += 1;
        for row in document.list("puts") {
            let (table, key) = (
                row.text("table").unwrap_or_default(),
                row.text("key").unwrap_or_default(),
            );
            rows.set(table, key, row.text("value").map(str::to_owned));
        }
        for row in document.list("remove") {
            let (table, key) = (
                row.text("table").unwrap_or_default(),
                row.text("key").unwrap_or_default(),
            );
            rows.set(table, key, None);
        }
        self.changed.notify_all();
        (200, format!("{{\"row_version\":{}}}", rows.version))
    }
}

impl Rows {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        let row = Row {
            version: self.version,
            value,
            written_at: Instant::now(),
        };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn has_changes(&self, table: &str, after: u64) -> bool {
        self.rows
            .iter()
            .any(|((of, _), row)| of == table && row.version > after)
    }

    fn list(&self, table: &str, from: &str, limit: usize) -> String {
        let rows = self.rows.iter();
        let rows = rows
            .filter(|((of, key), row)| of == table && key.as_str() >= from && row.value.is_some());
        let mut rows: Vec<_> = rows
            .take(limit + 1)
            .map(|((_, key), row)| row_document(table, key, row))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        self.document(&rows, has_more)
    }

    fn changes(&self, table: &str, after: u64) -> String {
        let rows = self.rows.iter();
        let mut rows: Vec<_> = rows
            .filter(|((of, _), row)| of == table && row.version > after)
            .collect();
        rows.sort_by_key(|(_, row)| row.version);
        let rows: Vec<_> = rows
            .iter()
            .map(|((_, key), row)| row_document(table, key, row))
            .collect();
        self.document(&rows, false)
    }

    fn document(&self, rows: &[String], has_more: bool) -> String {
        let now_ms = std::time::SystemTime::UNIX_EPOCH
            .elapsed()
            .unwrap_or_default()
            .as_millis();
        let (rows, version) = (rows.join(","), self.version);
        format!("{{\"rows\":[{rows}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{now_ms}}}")
    }
}

fn row_document(table: &str, key: &str, row: &Row) -> String {
    let version = row.version;
    match &row.value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"row_version\":{version},\"value\":\"{value}\"}}"
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"row_version\":{version},\"deleted\":true}}"
        ),
    }
}
