//! The history of what an endpoint ran, for checks that do not trust the router's word.

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

/// A history in memory, also written to a file when one is given, so that it outlasts a crash.
#[derive(Debug, Default)]
pub struct Ledger {
    records: Vec<LedgerRecord>,
    next_run_id: u64,
    /// Positions of the runs in progress.
    open: HashMap<u64, usize>,
    file: Option<File>,
}

impl Ledger {
    /// Opens a ledger. Records of an earlier process in the same file come first; its unfinished
    /// runs count as crashed.
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

    /// Records the start of a run under a new run id, which it returns.
    pub fn start(&mut self, mut run: RunRecord) -> u64 {
        run.run_id = self.next_run_id;
        self.next_run_id += 1;
        let run_id = run.run_id;
        self.push(LedgerRecord::Run(run));
        run_id
    }

    /// Records the end of a run; a run that has ended already stays as it is.
    pub fn end(&mut self, run_id: u64, outcome: RunOutcome, output_tokens: u64) {
        let Some(run) = self.running(run_id) else {
            return;
        };
        run.outcome = outcome;
        run.output_tokens = output_tokens;
        run.ended_at_ms = Some(unix_ms());
        let ended = LedgerRecord::Run(run.clone());
        self.open.remove(&run_id);
        self.write(&ended);
    }

    /// Notes how many tokens a run has made so far.
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
        let mut run_ids: Vec<u64> = self.open.keys().copied().collect();
        run_ids.sort_unstable();
        for run_id in run_ids {
            let output_tokens = self.running(run_id).map_or(0, |run| run.output_tokens);
            self.end(run_id, RunOutcome::Crashed, output_tokens);
        }
    }

    /// Forgets all that has ended; runs in progress stay.
    pub fn reset(&mut self) -> io::Result<()> {
        let kept = std::mem::take(&mut self.records);
        self.open.clear();
        for record in kept {
            if matches!(&record, LedgerRecord::Run(run) if run.outcome == RunOutcome::Running) {
                self.keep(record);
            }
        }
        match &self.file {
            Some(file) => file.set_len(0),
            None => Ok(()),
        }
    }

    /// All records in the order of their start.
    pub fn records(&self) -> &[LedgerRecord] {
        &self.records
    }

    /// All records as JSON lines.
    pub fn to_json_lines(&self) -> String {
        self.records.iter().map(json_line).collect()
    }

    fn running(&mut self, run_id: u64) -> Option<&mut RunRecord> {
        match self.records.get_mut(*self.open.get(&run_id)?) {
            Some(LedgerRecord::Run(run)) => Some(run),
            _ => None,
        }
    }

    fn keep(&mut self, record: LedgerRecord) {
        if let LedgerRecord::Run(run) = &record
            && run.outcome == RunOutcome::Running
        {
            self.open.insert(run.run_id, self.records.len());
        }
        self.records.push(record);
    }

    fn restore(&mut self, record: LedgerRecord) {
        if let LedgerRecord::Run(run) = &record {
            self.next_run_id = self.next_run_id.max(run.run_id + 1);
            if let Some(earlier) = self.running(run.run_id) {
                *earlier = run.clone();
                if run.outcome != RunOutcome::Running {
                    self.open.remove(&run.run_id);
                }
                return;
            }
        }
        self.keep(record);
    }

    fn push(&mut self, record: LedgerRecord) {
        self.write(&record);
        self.keep(record);
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
