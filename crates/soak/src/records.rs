//! Records of requests, stops and exits in a run.

use std::time::Duration;

use sedgeridge_platform_standins::documents::RouteKind;
use serde::Serialize;

/// Number of endpoints from which a stream is sure to find one that its router has not just failed at.
const MIN_ENDPOINTS: usize = 2;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered {
        /// The status.
        status: u16,
        /// Whether the answer has the stamp of an endpoint.
        is_vouched: bool,
        /// How the answer differs from the expected one.
        wrong: Option<String>,
    },
    /// The connection ended or could not be opened.
    Failed {
        /// Whether the request had been sent.
        was_sent: bool,
        /// How the received part differs from the expected answer.
        wrong: Option<String>,
    },
    /// No final answer arrived within the hang timeout of the caller.
    Hung,
}

/// A resumed stream.
#[derive(Debug, Clone)]
pub struct Resume {
    /// Id of the request that began it.
    pub first_request: String,
    /// Number of endpoints that served at the stream's software version from the request to its end.
    pub endpoints: usize,
    /// Whether all routers that knew the stream's origin may have ended.
    pub is_origin_lost: bool,
}

impl Resume {
    /// Returns whether two endpoints served that can go on with the stream, and a router may know its origin.
    pub fn may_go_on(&self) -> bool {
        self.endpoints >= MIN_ENDPOINTS && !self.is_origin_lost
    }
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Index of the router.
    pub router: usize,
    /// Process id of the router when the connection was opened.
    pub process_id: u32,
    /// When the connection was opened, since the start of the run.
    pub connected_at: Duration,
    /// When the request was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// Generation of the key.
    pub key_generation: u64,
    /// Whether the key was already revoked when the request was sent.
    pub is_revoked: bool,
    /// The stream that the request resumes, if it resumes one.
    pub resume: Option<Resume>,
    /// How it ended.
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns the status of a complete answer.
    pub fn status(&self) -> Option<u16> {
        match &self.outcome {
            Outcome::Answered { status, .. } => Some(*status),
            Outcome::Failed { .. } | Outcome::Hung => None,
        }
    }

    /// Returns whether a complete answer with status 200 arrived.
    pub fn is_served(&self) -> bool {
        self.status() == Some(200)
    }
}

/// A period in which a fault affected a router or its link to callers.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// The router.
    pub router: usize,
    /// Start of the fault.
    pub from: Duration,
    /// End of the fault and of its aftereffects.
    pub to: Duration,
}

/// A stop that the operator requested.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    /// The router.
    pub router: usize,
    /// When the stop was requested.
    pub requested_at: Duration,
    /// When the process had exited; `None` if it did not.
    pub ended_at: Option<Duration>,
    /// Whether it exited with success.
    pub is_clean: bool,
}

/// Crashes of endpoints under requests with the same cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// Endpoints that crashed.
    pub crashes: usize,
    /// Such requests that reached endpoints in the quiet period.
    pub late_requests: usize,
}

/// Everything observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// All requests.
    pub records: Vec<RequestRecord>,
    /// Request id of each run at an endpoint.
    pub run_ids: Vec<String>,
    /// Periods in which a hung request is not a violation.
    pub disturbances: Vec<Disturbance>,
    /// Stops after the quiet period, while no fault is active.
    pub stops: Vec<PlannedStop>,
    /// Routers that exited without being asked to stop: index and exit status.
    pub unexpected_exits: Vec<(usize, String)>,
    /// Start and end of the period after all faults in which everything must work.
    pub quiet_period: (Duration, Duration),
    /// Crashes under a part of a prompt.
    pub part_crashes: CrashCounts,
    /// Crashes under a request that comes again.
    pub request_crashes: CrashCounts,
    /// Highest memory observed in any router, in kilobytes.
    pub peak_memory_kb: u64,
    /// Duration of the whole run.
    pub duration: Duration,
}
