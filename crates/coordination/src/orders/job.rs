//! One order on its way from intent to effect.

use std::time::Duration;

use sedgeridge_state::order_record::OrderRecord;

use crate::orders::drain::Announcement;

/// What a job waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The table to take the intent.
    WritingIntent,
    /// A pool that can spare the endpoint.
    AwaitingFloor,
    /// The endpoint's work in progress to end.
    Draining {
        /// Since when routers know; none before the first has taken it.
        announced: Option<Announcement>,
    },
    /// The lease and the weight store to allow the order.
    AwaitingSend,
    /// The engine's answer.
    Sent {
        /// When the order is sent again.
        repeat_at: Duration,
    },
    /// Orders of earlier holders to have arrived, before the engine's state is read.
    AwaitingReadBack {
        /// When they have.
        at: Duration,
    },
    /// The table to take the end.
    WritingEnd,
}

/// One order.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) record: OrderRecord,
    /// Version the order's row must have for the next write.
    pub(super) version: u64,
    pub(super) stage: Stage,
    /// When the next write may be tried, unless one is under way.
    pub(super) write_at: Option<Duration>,
    /// How often this process sent the order.
    pub(super) sends: u32,
}
