//! Bounds on the memory of answers that wait for their callers.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptFailure;

use crate::answer::AnswerSender;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::ReservedBuffer;

/// Largest answer of those that are buffered as a whole.
pub(crate) const MAX_WHOLE_ANSWER_BYTES: u64 = 16 << 20;
/// Most bytes of whole answers that a router buffers at a time: the largest one, or many usual ones.
pub(crate) const MAX_HELD_ANSWER_BYTES: u64 = MAX_WHOLE_ANSWER_BYTES;
/// Longest event of a stream.
pub(crate) const MAX_EVENT_BYTES: u64 = 1 << 20;
/// Most bytes of one stream that wait for its caller: the longest event, or many usual ones.
const MAX_PENDING_EVENT_BYTES: u64 = MAX_EVENT_BYTES;
/// Time between two checks for free memory. Only answers that find none wait, each in its own thread.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait of an answer that already holds memory. Two such answers may each wait for the memory
/// that the other one holds.
const MAX_GROWTH_WAIT: Duration = Duration::from_secs(2);

/// Memory shared by the whole answers of a router, as used by one attempt.
///
/// An answer that finds no free memory is not read from the connection, so it stays at its endpoint.
#[derive(Debug)]
pub(crate) struct WholeAnswerMemory<'a> {
    pub(crate) budget: &'a ByteBudget,
    /// Deadline of the request.
    pub(crate) deadline: Instant,
}

impl WholeAnswerMemory<'_> {
    /// Waits for memory for an answer of the declared length, if its endpoint declared one.
    pub(crate) fn buffer(
        &self,
        declared_bytes: Option<u64>,
    ) -> Result<ReservedBuffer, AttemptFailure> {
        let declared_bytes = declared_bytes.unwrap_or_default();
        if declared_bytes > MAX_WHOLE_ANSWER_BYTES {
            return Err(AttemptFailure::ServerError);
        }
        let reserve = || ReservedBuffer::reserve(self.budget, declared_bytes);
        poll_until(self.deadline, reserve).ok_or(AttemptFailure::DeadlinePassed)
    }

    /// Appends a part to an answer, and waits for memory if the answer is longer than declared.
    pub(crate) fn push(
        &self,
        buffer: &mut ReservedBuffer,
        part: &[u8],
    ) -> Result<(), AttemptFailure> {
        let deadline = self.deadline.min(Instant::now() + MAX_GROWTH_WAIT);
        let pushed = poll_until(deadline, || buffer.push(part).then_some(()));
        let fits = buffer.len() as u64 <= MAX_WHOLE_ANSWER_BYTES;
        pushed.filter(|()| fits).ok_or(AttemptFailure::ServerError)
    }
}

fn poll_until<T>(deadline: Instant, mut take: impl FnMut() -> Option<T>) -> Option<T> {
    loop {
        let taken = take();
        if taken.is_some() || Instant::now() >= deadline {
            return taken;
        }
        thread::sleep(MEMORY_POLL_INTERVAL);
    }
}

/// Memory for the events of one stream that wait for its caller.
///
/// The channel to the caller is bounded by number of parts only. Without this bound, a caller who stops
/// reading would keep as many events of the greatest length in memory. Each stream has its own bound, so
/// that no stream waits for the caller of another one.
#[derive(Debug)]
pub(crate) struct EventMemory {
    budget: ByteBudget,
}

impl EventMemory {
    pub(crate) fn new() -> Self {
        Self {
            budget: ByteBudget::new(MAX_PENDING_EVENT_BYTES),
        }
    }

    /// Waits for memory for an event. Returns the event without a reservation once the caller has
    /// disconnected, as it is not kept then.
    pub(crate) fn reserve(&self, event: Vec<u8>, caller: &AnswerSender) -> Bytes {
        loop {
            if let Some(reservation) = self.budget.reserve(event.len() as u64) {
                return reservation.bind(event);
            }
            if caller.is_closed() {
                return Bytes::from(event);
            }
            thread::sleep(MEMORY_POLL_INTERVAL);
        }
    }
}
