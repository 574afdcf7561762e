//! State of one order, from its intent to its end.

use std::time::Duration;

use sedgeridge_state::order_record::OrderRecord;

use crate::orders::drain::Announcement;

/// What a job waits for in its current step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The table to commit the intent.
    WritingIntent,
    /// A pool that can spare the endpoint.
    AwaitingFloor,
    /// The endpoint's work in progress to end.
    Draining {
        /// When routers were told; none before one has accepted the drain.
        announced: Option<Announcement>,
    },
    /// The lease and the weight store to allow the order.
    AwaitingSend,
    /// The engine's answer.
    Sent {
        /// When the order is sent again.
        repeat_at: Duration,
    },
    /// The arrival of any earlier order still in transit, after which the engine's state is read.
    AwaitingReadBack {
        /// When the state is read next.
        read_at: Duration,
    },
    /// The table to commit the final state.
    WritingEnd,
}

/// An order that is not complete.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) record: OrderRecord,
    /// Version the order's row must have for the next write.
    pub(super) version: u64,
    pub(super) stage: Stage,
    /// When the next write may be tried, unless one is in progress.
    pub(super) write_at: Option<Duration>,
    /// Number of times this process sent the order.
    pub(super) send_count: u32,
}
