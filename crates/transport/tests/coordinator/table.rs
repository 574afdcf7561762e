//! A fake table service on loopback that can inject faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;

use sedgeridge_protocol::table::READ_PATH;
use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use tiny_http::Response;
use tiny_http::Server;

use crate::support::read_json;

/// Fault of the table in writes to keys that begin with [`TableState::faulty_prefix`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TableFault {
    #[default]
    None,
    /// Refuses every write.
    Down,
    /// Executes the next write but returns an error, as if its answer were lost.
    LoseNextAnswer,
}

#[derive(Debug, Default)]
pub struct TableState {
    pub fault: TableFault,
    pub faulty_prefix: &'static str,
    version: u64,
    rows: BTreeMap<String, Row>,
}

/// A fake table service; clones share the rows.
#[derive(Debug, Clone)]
pub struct FakeTable {
    pub address: SocketAddr,
    state: Arc<Mutex<TableState>>,
}

impl FakeTable {
    pub fn start() -> Self {
        let server = Server::http("127.0.0.1:0").unwrap();
        let table = Self {
            address: server.server_addr().to_ip().unwrap(),
            state: Arc::default(),
        };
        let serving = table.clone();
        thread::spawn(move || {
            for mut request in server.incoming_requests() {
                let (status, body) = if request.url() == READ_PATH {
                    let answer = serving.lock().read(&read_json(&mut request));
                    (200, serde_json::to_string(&answer).unwrap())
                } else {
                    serving.lock().write(&read_json(&mut request))
                };
                let _ = request.respond(Response::from_string(body).with_status_code(status));
            }
        });
        table
    }

    pub fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap()
    }

    pub fn value(&self, key: &str) -> Option<String> {
        self.lock().rows.get(key)?.value.clone()
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        let version = state.version + 1;
        state.version = version;
        let row = Row {
            key: key.to_owned(),
            version,
            value: Some(value.to_owned()),
        };
        state.rows.insert(key.to_owned(), row);
    }

    pub fn set_fault(&self, fault: TableFault, prefix: &'static str) {
        let mut state = self.lock();
        state.fault = fault;
        state.faulty_prefix = prefix;
    }
}

impl TableState {
    fn read(&self, read: &ReadRequest) -> ReadAnswer {
        let wanted = |row: &&Row| {
            let by_prefix = read.prefix.as_ref().is_some_and(|p| row.key.starts_with(p));
            let newer = row.version > read.after_version;
            read.keys.contains(&row.key) || by_prefix && newer
        };
        ReadAnswer {
            rows: self.rows.values().filter(wanted).cloned().collect(),
        }
    }

    fn write(&mut self, transact: &TransactRequest) -> (u16, String) {
        let prefix = self.faulty_prefix;
        let is_faulty = transact.writes.iter().any(|w| w.key.starts_with(prefix));
        match self.fault {
            TableFault::Down if is_faulty => (503, String::new()),
            TableFault::LoseNextAnswer if is_faulty => {
                self.fault = TableFault::None;
                self.transact(transact);
                (500, String::new())
            }
            _ => (
                200,
                serde_json::to_string(&self.transact(transact)).unwrap(),
            ),
        }
    }

    fn transact(&mut self, transact: &TransactRequest) -> TransactAnswer {
        let current = |key: &str| {
            let absent = Row {
                key: key.to_owned(),
                version: 0,
                value: None,
            };
            self.rows.get(key).cloned().unwrap_or(absent)
        };
        let checked = transact.checks.iter().map(|c| (c.version, current(&c.key)));
        let failed: Vec<Row> = checked
            .filter(|(version, row)| *version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return TransactAnswer::Conflict { rows: failed };
        }
        self.version += 1;
        for write in &transact.writes {
            let row = Row {
                key: write.key.clone(),
                version: self.version,
                value: write.value.clone(),
            };
            match row.value {
                Some(_) => self.rows.insert(write.key.clone(), row),
                None => self.rows.remove(&write.key),
            };
        }
        TransactAnswer::Committed {
            version: self.version,
        }
    }
}
