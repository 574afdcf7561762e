//! What the decisions of one router cost, by the part that caused it.

use std::collections::BTreeMap;
use std::time::Duration;

/// Parts of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// Callers' requests, grants and the ends of attempts.
    Entry,
    /// Reports of entry routers to the home of a pool.
    Home,
    /// Load reports of endpoints.
    LoadReports,
    /// Heartbeats between routers.
    Membership,
    /// The accepted configuration.
    Configuration,
    /// Timers of all parts.
    Timers,
}

impl Work {
    /// Returns the part that sends what this part receives.
    pub fn sender(self) -> Self {
        match self {
            Self::Home => Self::Entry,
            Self::Entry => Self::Home,
            other => other,
        }
    }
}

/// Messages of one part in one direction.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes of payload.
    pub payload_bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.payload_bytes += bytes as u64;
    }

    /// Returns the bytes on the wire when each message costs this much beside its payload.
    pub fn wire_bytes(self, overhead_bytes: u64) -> u64 {
        self.payload_bytes + self.messages * overhead_bytes
    }
}

/// Costs of one router.
#[derive(Debug, Clone, Default)]
pub struct Costs {
    /// Processor time by part, codecs included.
    pub time: BTreeMap<Work, Duration>,
    /// What was sent.
    pub sent: BTreeMap<Work, Traffic>,
    /// What was received.
    pub received: BTreeMap<Work, Traffic>,
    /// Load reports read.
    pub load_reads: u64,
}

impl Costs {
    /// Notes the time of one event.
    pub fn handled(&mut self, work: Work, time: Duration) {
        *self.time.entry(work).or_default() += time;
    }

    /// Notes a message that was sent, and the time to encode it.
    pub fn sent(&mut self, work: Work, bytes: usize, time: Duration) {
        self.handled(work, time);
        self.sent.entry(work).or_default().add(bytes);
    }

    /// Notes a message that was received, and the time to decode it.
    pub fn received(&mut self, work: Work, bytes: usize, time: Duration) {
        self.handled(work, time);
        self.received.entry(work).or_default().add(bytes);
    }

    /// Returns the processor time of a part.
    pub fn time_of(&self, work: Work) -> Duration {
        self.time.get(&work).copied().unwrap_or_default()
    }

    /// Returns what a part sent.
    pub fn sent_of(&self, work: Work) -> Traffic {
        self.sent.get(&work).copied().unwrap_or_default()
    }

    /// Returns what a part received.
    pub fn received_of(&self, work: Work) -> Traffic {
        self.received.get(&work).copied().unwrap_or_default()
    }
}
