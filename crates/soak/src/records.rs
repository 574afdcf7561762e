//! What callers saw.

use std::time::Duration;

use sedgeridge_platform_standins::documents::RouteKind;
use serde::Serialize;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// An answer came whole.
    Answered {
        /// Its status.
        status: u16,
        /// Whether an endpoint vouches for it.
        is_vouched: bool,
        /// What differs from the answer that the caller should get.
        wrong: Option<String>,
    },
    /// The connection ended or could not be opened.
    Failed {
        /// Whether the request had been sent.
        was_sent: bool,
        /// What differs from the answer, in the part that came.
        wrong: Option<String>,
    },
    /// No final answer came within the caller's time and some more.
    Hung,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// What its route allows.
    pub kind: RouteKind,
    /// The router.
    pub router: usize,
    /// Which run of the router the connection was opened to.
    pub process: u32,
    /// When the connection was opened, since the start.
    pub connected_at: Duration,
    /// When the request was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// Generation of the key.
    pub key: u64,
    /// Whether the key had been revoked when it was sent.
    pub is_revoked: bool,
    /// How it ended.
    pub outcome: Outcome,
}

impl Record {
    /// Returns the status of the answer, if one came.
    pub fn status(&self) -> Option<u16> {
        match &self.outcome {
            Outcome::Answered { status, .. } => Some(*status),
            Outcome::Failed { .. } | Outcome::Hung => None,
        }
    }

    /// Tells whether the answer came whole and right.
    pub fn is_served(&self) -> bool {
        self.status() == Some(200)
    }
}

/// A time in which a router or its link to callers was disturbed.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// The router.
    pub router: usize,
    /// Its beginning.
    pub from: Duration,
    /// Its end, with what follows from it.
    pub to: Duration,
}

/// A stop that the operator asked for.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    /// The router.
    pub router: usize,
    /// When it was asked.
    pub asked_at: Duration,
    /// When the process had ended.
    pub ended_at: Option<Duration>,
    /// Whether it ended well.
    pub is_clean: bool,
}

/// All that a run brought to light.
#[derive(Debug, Default)]
pub struct Evidence {
    /// All requests.
    pub records: Vec<Record>,
    /// Ids of all runs at endpoints.
    pub runs: Vec<String>,
    /// Times in which a hanging request proves nothing.
    pub disturbances: Vec<Disturbance>,
    /// Stops in the quiet end of the run, with no other fault.
    pub stops: Vec<PlannedStop>,
    /// Routers that ended without being asked: number and what is known.
    pub own_exits: Vec<(usize, String)>,
    /// Beginning and end of the time after all faults in which everything has to work.
    pub calm: (Duration, Duration),
    /// Largest memory of any router at its end, in kilobytes.
    pub memory_kb: u64,
    /// Length of the whole run.
    pub length: Duration,
}
