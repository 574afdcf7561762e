//! A table that several operators call concurrently, with faults drawn from a seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use sedgeridge_cli::context::Context;
use sedgeridge_cli::context::OperatorPages;
use sedgeridge_cli::context::PageError;
use sedgeridge_cli::context::TableClient;
use sedgeridge_cli::context::TableError;
use sedgeridge_coordination::random::SeededRandom;
use sedgeridge_protocol::table::ReadAnswer;
use sedgeridge_protocol::table::ReadRequest;
use sedgeridge_protocol::table::Row;
use sedgeridge_protocol::table::TransactAnswer;
use sedgeridge_protocol::table::TransactRequest;

use crate::turns::Turns;

/// Simulated table: its rows and the delayed transactions that it has not run yet.
#[derive(Debug)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    version: u64,
    delayed: Vec<TransactRequest>,
    random: SeededRandom,
    faulty: bool,
}

impl Table {
    pub fn new(seed: u64) -> Self {
        Self {
            rows: BTreeMap::new(),
            version: 0,
            delayed: Vec::new(),
            random: SeededRandom::new(seed),
            faulty: true,
        }
    }

    /// Runs the delayed transactions, and answers every call from now on.
    pub fn stop_faults(&mut self) {
        for transact in std::mem::take(&mut self.delayed) {
            self.apply(&transact);
        }
        self.faulty = false;
    }

    fn apply(&mut self, transact: &TransactRequest) -> TransactAnswer {
        let current = |key: &str| {
            let absent = Row {
                key: key.to_owned(),
                version: 0,
                value: None,
            };
            self.rows.get(key).cloned().unwrap_or(absent)
        };
        let checks = transact.checks.iter();
        let current_rows = checks.map(|check| (check.version, current(&check.key)));
        let failed = current_rows.filter(|(version, row)| *version != row.version);
        let rows: Vec<_> = failed.map(|(_, row)| row).collect();
        if !rows.is_empty() {
            return TransactAnswer::Conflict { rows };
        }
        self.version += 1;
        let version = self.version;
        for write in &transact.writes {
            let row = Row {
                key: write.key.clone(),
                version,
                value: write.value.clone(),
            };
            match row.value {
                Some(_) => self.rows.insert(write.key.clone(), row),
                None => self.rows.remove(&write.key),
            };
        }
        TransactAnswer::Committed { version }
    }

    fn transact(&mut self, transact: &TransactRequest) -> Result<TransactAnswer, TableError> {
        if self.faulty && !self.delayed.is_empty() && self.random.below(3) == 0 {
            let delayed = self.delayed.remove(0);
            self.apply(&delayed);
        }
        let fault = if self.faulty {
            self.random.below(8)
        } else {
            u64::MAX
        };
        let lost = Err(TableError::OutcomeUnknown("lost".to_owned()));
        match fault {
            0 => {
                self.apply(transact);
                lost
            }
            1 => lost,
            2 => {
                self.delayed.push(transact.clone());
                lost
            }
            3 => Err(TableError::Refused("busy".to_owned())),
            _ => Ok(self.apply(transact)),
        }
    }

    fn read(&mut self, read: &ReadRequest) -> Result<ReadAnswer, TableError> {
        if self.faulty && self.random.below(8) == 0 {
            return Err(TableError::OutcomeUnknown("lost".to_owned()));
        }
        let rows = read
            .keys
            .iter()
            .filter_map(|key| self.rows.get(key).cloned());
        Ok(ReadAnswer {
            rows: rows.collect(),
        })
    }
}

/// An operator's client of the table.
#[derive(Debug, Clone)]
pub struct Operator {
    pub number: usize,
    pub table: Arc<Mutex<Table>>,
    pub turns: Arc<Turns>,
    /// Id of the change that the operator proposes.
    pub change_id: String,
}

impl Operator {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.turns.wait_for(self.number);
        self.table.lock().expect("no thread panics")
    }
}

impl TableClient for Operator {
    fn transact(
        &self,
        _table: SocketAddr,
        transact: &TransactRequest,
    ) -> Result<TransactAnswer, TableError> {
        self.table().transact(transact)
    }

    fn read(&self, _table: SocketAddr, read: &ReadRequest) -> Result<ReadAnswer, TableError> {
        self.table().read(read)
    }
}

impl OperatorPages for Operator {
    fn fetch(&self, _router: SocketAddr, path: &str) -> Result<String, PageError> {
        Err(PageError(path.to_owned()))
    }

    fn post(&self, _router: SocketAddr, path: &str, _body: &str) -> Result<(), PageError> {
        Err(PageError(path.to_owned()))
    }
}

impl Context for Operator {
    fn new_change_id(&self) -> String {
        self.change_id.clone()
    }

    fn pause(&self, _duration: Duration) {}

    fn author(&self) -> String {
        format!("operator-{}", self.number)
    }
}
