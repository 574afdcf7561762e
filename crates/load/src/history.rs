//! Records of one run: calls as callers saw them and runs as endpoints recorded them.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A half-open span of time in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    /// First instant.
    pub start_us: u64,
    /// First instant after the span.
    pub end_us: u64,
}

impl Span {
    /// Creates a span.
    pub fn new(start_us: u64, end_us: u64) -> Self {
        Self { start_us, end_us }
    }

    /// Length, 0 when the end is before the start.
    pub fn length_us(self) -> u64 {
        self.end_us.saturating_sub(self.start_us)
    }

    /// The part that both spans cover.
    ///
    /// ```
    /// use sedgeridge_load::history::Span;
    /// let both = Span::new(0, 10).intersect(Span::new(5, 20));
    /// assert_eq!(both, Some(Span::new(5, 10)));
    /// ```
    pub fn intersect(self, other: Self) -> Option<Self> {
        let start_us = self.start_us.max(other.start_us);
        let end_us = self.end_us.min(other.end_us);
        (start_us < end_us).then_some(Self { start_us, end_us })
    }
}

/// Final outcome that the fleet reported to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request did not run and will not.
    NotRun,
    /// The fleet cannot tell whether the request ran.
    Unknown,
}

impl Outcome {
    /// Reads the value of the outcome header.
    pub fn from_header(value: &str) -> Option<Self> {
        match value {
            "ran" => Some(Self::Ran),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

/// How a call ended, compared with the expected answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The expected answer, byte for byte.
    Whole,
    /// An answer that is not a prefix of the expected one.
    Foreign,
    /// A prefix of the expected answer without a mark that it is partial.
    Short,
    /// A prefix of the expected answer, then an explicit mark that it is partial.
    Partial,
    /// An error status.
    Refused,
    /// No connection, or one that broke or timed out.
    Broken,
}

/// One call as its caller saw it. A repeated request is a new call of the same work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Request id that the caller chose for this call; no other call has it.
    pub request_id: String,
    /// Work that the call belongs to: calls of the same work differ only in router and time.
    pub work: u64,
    /// The client account.
    pub account: String,
    /// The service.
    pub service: String,
    /// Host name of the router called.
    pub router: String,
    /// Key under which the work may run at most once.
    pub idempotency_key: Option<String>,
    /// Whether the caller repeated finished work on purpose.
    pub repeat: bool,
    /// When the call was sent.
    pub sent_at_us: u64,
    /// When the first part of the answer arrived.
    pub first_token_at_us: Option<u64>,
    /// When the call ended.
    pub ended_at_us: u64,
    /// HTTP status, if a response arrived.
    pub status: Option<u16>,
    /// Outcome reported by the fleet, if any.
    pub outcome: Option<Outcome>,
    /// Reason of a refusal, or error of a call that got no response.
    pub reason: Option<String>,
    /// How the call ended.
    pub ending: Ending,
}

/// One run of a request as its endpoint recorded it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Request id that the endpoint received; empty when it received none.
    pub request_id: String,
    /// The client account; empty when the endpoint received none.
    pub account: String,
    /// The endpoint.
    pub endpoint: String,
    /// When it started on a slot.
    pub started_at_us: u64,
    /// When it released the slot; absent while it runs.
    pub ended_at_us: Option<u64>,
    /// Service tokens for the input that was not in the prefix cache.
    pub input_charge_tokens: u64,
    /// Service tokens for the output.
    pub output_charge_tokens: u64,
    /// Key under which the work may run at most once.
    pub idempotency_key: Option<String>,
}

impl RunRecord {
    /// Total service tokens.
    pub fn charge_tokens(&self) -> u64 {
        self.input_charge_tokens + self.output_charge_tokens
    }

    /// Time in a slot; a run that has not ended lasts until `now_us`.
    pub fn span(&self, now_us: u64) -> Span {
        Span::new(self.started_at_us, self.ended_at_us.unwrap_or(now_us))
    }
}

/// Records of callers and endpoints of one run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct History {
    /// Calls as callers saw them.
    pub calls: Vec<CallRecord>,
    /// Runs as endpoints recorded them.
    pub runs: Vec<RunRecord>,
    /// Time in which load was offered.
    pub sending: Span,
    /// The part of `sending` after the warm-up; figures of the steady state cover only this.
    pub steady: Span,
}

/// Reads records from a file, one JSON object per line.
pub fn read_lines<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let text = fs::read_to_string(path)?;
    let records = text.lines().map(serde_json::from_str);
    Ok(records.collect::<Result<_, _>>()?)
}

/// Writes records to a file, one JSON object per line.
pub fn write_lines<T: Serialize>(path: &Path, records: &[T]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
