//! Records what an endpoint ran, so that checks need not rely on what the router reports.

use std::collections::HashMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sedgeridge_protocol::ledger::LedgerRecord;
use sedgeridge_protocol::ledger::OrderRecord;
use sedgeridge_protocol::ledger::RunOutcome;
use sedgeridge_protocol::ledger::RunRecord;

/// The current Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// Run and order records in memory, also written to a file if one is given, to survive a crash.
#[derive(Debug, Default)]
pub struct Ledger {
    records: Vec<LedgerRecord>,
    next_run_id: u64,
    /// Index in `records` of each run in progress, by run id.
    running_index: HashMap<u64, usize>,
    file: Option<File>,
}

impl Ledger {
    /// Opens a ledger. It begins with the records of earlier processes in the same file; their
    /// unfinished runs become crashed.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let Some(path) = path else {
            return Ok(Self::default());
        };
        let mut ledger = Self::default();
        if path.exists() {
            for line in std::fs::read_to_string(path)?.lines() {
                if let Ok(record) = serde_json::from_str(line) {
                    ledger.restore(record);
                }
            }
        }
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        ledger.file = Some(file);
        ledger.crash();
        Ok(ledger)
    }

    /// Records the start of a run and returns its new run id.
    pub fn start(&mut self, mut run: RunRecord) -> u64 {
        run.run_id = self.next_run_id;
        self.next_run_id += 1;
        let run_id = run.run_id;
        self.push(LedgerRecord::Run(run));
        run_id
    }

    /// Records the end of a run; does nothing if the run has already ended.
    pub fn end(&mut self, run_id: u64, outcome: RunOutcome, output_tokens: u64) {
        let Some(run) = self.running(run_id) else {
            return;
        };
        run.outcome = outcome;
        run.output_tokens = output_tokens;
        run.ended_at_ms = Some(unix_ms());
        let ended = LedgerRecord::Run(run.clone());
        self.running_index.remove(&run_id);
        self.write(&ended);
    }

    /// Updates the number of tokens that a run has generated, in memory only.
    pub fn progress(&mut self, run_id: u64, output_tokens: u64) {
        if let Some(run) = self.running(run_id) {
            run.output_tokens = output_tokens;
        }
    }

    /// Records an order.
    pub fn order(&mut self, order: OrderRecord) {
        self.push(LedgerRecord::Order(order));
    }

    /// Records every run in progress as crashed.
    pub fn crash(&mut self) {
        let mut run_ids: Vec<u64> = self.running_index.keys().copied().collect();
        run_ids.sort_unstable();
        for run_id in run_ids {
            let output_tokens = self.running(run_id).map_or(0, |run| run.output_tokens);
            self.end(run_id, RunOutcome::Crashed, output_tokens);
        }
    }

    /// Removes all records except runs in progress and empties the file.
    pub fn reset(&mut self) -> io::Result<()> {
        let records = std::mem::take(&mut self.records);
        self.running_index.clear();
        for record in records {
            if matches!(&record, LedgerRecord::Run(run) if run.outcome == RunOutcome::Running) {
                self.insert(record);
            }
        }
        match &self.file {
            Some(file) => file.set_len(0),
            None => Ok(()),
        }
    }

    /// All records, ordered by their start.
    pub fn records(&self) -> &[LedgerRecord] {
        &self.records
    }

    /// All records as JSON lines.
    pub fn to_json_lines(&self) -> String {
        self.records.iter().map(json_line).collect()
    }

    fn running(&mut self, run_id: u64) -> Option<&mut RunRecord> {
        match self.records.get_mut(*self.running_index.get(&run_id)?) {
            Some(LedgerRecord::Run(run)) => Some(run),
            _ => None,
        }
    }

    fn insert(&mut self, record: LedgerRecord) {
        if let LedgerRecord::Run(run) = &record
            && run.outcome == RunOutcome::Running
        {
            self.running_index.insert(run.run_id, self.records.len());
        }
        self.records.push(record);
    }

    fn restore(&mut self, record: LedgerRecord) {
        if let LedgerRecord::Run(run) = &record {
            self.next_run_id = self.next_run_id.max(run.run_id + 1);
            if let Some(earlier) = self.running(run.run_id) {
                *earlier = run.clone();
                if run.outcome != RunOutcome::Running {
                    self.running_index.remove(&run.run_id);
                }
                return;
            }
        }
        self.insert(record);
    }

    fn push(&mut self, record: LedgerRecord) {
        self.write(&record);
        self.insert(record);
    }

    fn write(&mut self, record: &LedgerRecord) {
        if let Some(file) = &mut self.file
            && let Err(error) = file.write_all(json_line(record).as_bytes())
        {
            eprintln!("ledger file: {error}");
        }
    }
}

fn json_line(record: &LedgerRecord) -> String {
    match serde_json::to_string(record) {
        Ok(line) => line + "\n",
        Err(error) => {
            eprintln!("ledger record: {error}");
            String::new()
        }
    }
}
