//! Collects callers' records while load runs.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::history::CallRecord;
use crate::history::Ending;

/// Records of all callers so far.
#[derive(Debug, Default)]
pub struct Recorder {
    calls: Mutex<Vec<CallRecord>>,
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

/// Counts of calls so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Calls sent.
    pub sent: u64,
    /// Calls that got their expected answer.
    pub whole: u64,
    /// Calls answered with an error status.
    pub refused: u64,
    /// Calls that ended in any other way.
    pub other: u64,
}

impl Progress {
    /// Calls that have not ended.
    pub fn open(&self) -> u64 {
        self.sent
            .saturating_sub(self.whole + self.refused + self.other)
    }
}

impl Recorder {
    /// Counts a call that is sent.
    pub fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Stores the record of a call that ended.
    pub fn record_ended(&self, record: CallRecord) {
        let counter = match record.ending {
            Ending::Whole => &self.whole,
            Ending::Refused => &self.refused,
            Ending::Foreign | Ending::Short | Ending::Partial | Ending::Broken => &self.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(record);
    }

    /// Counts the calls so far.
    pub fn progress(&self) -> Progress {
        Progress {
            sent: self.sent.load(Ordering::Relaxed),
            whole: self.whole.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            other: self.other.load(Ordering::Relaxed),
        }
    }

    /// Ends recording and returns all records.
    pub fn into_calls(self) -> Vec<CallRecord> {
        self.calls
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
