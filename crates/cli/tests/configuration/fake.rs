//! A context in memory: a table whose calls and answers can be lost, and operator pages.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use sedgeridge_cli::context::Context;
use sedgeridge_cli::context::OperatorPages;
use sedgeridge_cli::context::PageError;
use sedgeridge_cli::context::TableClient;
use sedgeridge_cli::context::TableError;
use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;
use sedgeridge_protocol::table::VersionCheck;

/// Fault of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault: the call is run and answered.
    None,
    /// The call is run and its answer is lost.
    AnswerLost,
    /// The call is lost before it is run; the caller can't tell this from a lost answer.
    CallLost,
    /// The call is refused before it is run.
    Refused,
}

/// A context in memory.
#[derive(Debug, Default)]
pub struct FakeContext {
    rows: RefCell<BTreeMap<String, (u64, String)>>,
    version: Cell<u64>,
    change_ids: Cell<u64>,
    /// Faults of the next transactions; further ones have no fault.
    pub transact_faults: RefCell<VecDeque<Fault>>,
    /// Faults of the next reads; further ones have no fault.
    pub read_faults: RefCell<VecDeque<Fault>>,
    /// Transaction of another operator, run once after the next transaction.
    pub rival: RefCell<Option<TransactRequest>>,
    /// Every transaction that took effect.
    pub committed: RefCell<Vec<TransactRequest>>,
    /// Numbers of reads and transactions so far.
    pub calls: Cell<(u64, u64)>,
    /// Pages by address and path.
    pub pages: RefCell<BTreeMap<(SocketAddr, String), String>>,
    /// Requests sent by `post`: address, path and body.
    pub posted: RefCell<Vec<(SocketAddr, String, String)>>,
    /// Pages that replace others at the first pause.
    pub later_pages: RefCell<BTreeMap<(SocketAddr, String), String>>,
}

impl FakeContext {
    /// Returns the number of rows in the table.
    pub fn row_count(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Runs a transaction without faults.
    pub fn apply(&self, transact: &TransactRequest) -> TransactAnswer {
        let mut rows = self.rows.borrow_mut();
        let version_of = |check: &VersionCheck| rows.get(&check.key).map_or(0, |row| row.0);
        let failed = transact
            .checks
            .iter()
            .filter(|c| version_of(c) != c.version);
        let failed: Vec<Row> = failed
            .map(|check| Row {
                key: check.key.clone(),
                version: version_of(check),
                value: rows.get(&check.key).map(|row| row.1.clone()),
            })
            .collect();
        if !failed.is_empty() {
            return TransactAnswer::Conflict { rows: failed };
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        for write in &transact.writes {
            match &write.value {
                Some(value) => rows.insert(write.key.clone(), (version, value.clone())),
                None => rows.remove(&write.key),
            };
        }
        self.committed.borrow_mut().push(transact.clone());
        TransactAnswer::Committed { version }
    }
}

impl Context for FakeContext {
    fn new_change_id(&self) -> String {
        self.change_ids.set(self.change_ids.get() + 1);
        format!("change-{}", self.change_ids.get())
    }

    fn pause(&self, _duration: Duration) {
        let mut pages_after_pause = self.later_pages.borrow_mut();
        self.pages.borrow_mut().append(&mut pages_after_pause);
    }

    fn author(&self) -> String {
        "tester".to_owned()
    }
}

fn lost() -> TableError {
    TableError::OutcomeUnknown("lost".to_owned())
}

fn refused() -> TableError {
    TableError::Refused("HTTP status 503".to_owned())
}

impl TableClient for FakeContext {
    fn transact(
        &self,
        _table: SocketAddr,
        transact: &TransactRequest,
    ) -> Result<TransactAnswer, TableError> {
        let (reads, transactions) = self.calls.get();
        self.calls.set((reads, transactions + 1));
        let fault = self.transact_faults.borrow_mut().pop_front();
        let answer = match fault.unwrap_or(Fault::None) {
            Fault::None => Ok(self.apply(transact)),
            Fault::AnswerLost => {
                self.apply(transact);
                Err(lost())
            }
            Fault::CallLost => Err(lost()),
            Fault::Refused => Err(refused()),
        };
        if let Some(rival) = self.rival.borrow_mut().take() {
            self.apply(&rival);
        }
        answer
    }

    fn read(&self, _table: SocketAddr, read: &ReadRequest) -> Result<ReadAnswer, TableError> {
        let (reads, transactions) = self.calls.get();
        self.calls.set((reads + 1, transactions));
        let fault = self.read_faults.borrow_mut().pop_front();
        match fault.unwrap_or(Fault::None) {
            Fault::None => {}
            Fault::Refused => return Err(refused()),
            Fault::AnswerLost | Fault::CallLost => return Err(lost()),
        }
        let rows = self.rows.borrow();
        let by_prefix = |key: &str| read.prefix.as_ref().is_some_and(|p| key.starts_with(p));
        let found = rows
            .iter()
            .filter(|(key, _)| read.keys.contains(key) || by_prefix(key));
        let found = found.map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: Some(value.clone()),
        });
        Ok(ReadAnswer {
            rows: found.collect(),
        })
    }
}

impl OperatorPages for FakeContext {
    fn fetch(&self, router: SocketAddr, path: &str) -> Result<String, PageError> {
        let pages = self.pages.borrow();
        let page = pages.get(&(router, path.to_owned()));
        page.cloned()
            .ok_or_else(|| PageError(format!("http://{router}{path}: connection refused")))
    }

    fn post(&self, router: SocketAddr, path: &str, body: &str) -> Result<(), PageError> {
        let posted = (router, path.to_owned(), body.to_owned());
        self.posted.borrow_mut().push(posted);
        Ok(())
    }
}
