//! Memory for answers that wait for their callers.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use sedgeridge_coordination::entry_events::AttemptFailure;

use crate::answer::AnswerSender;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::HeldBuffer;

/// Largest answer that is held until it is whole.
pub(crate) const MAX_WHOLE_ANSWER_BYTES: u64 = 16 << 20;
/// Most bytes of whole answers that a router holds at a time: the largest one, or many usual ones.
pub(crate) const MAX_HELD_ANSWER_BYTES: u64 = MAX_WHOLE_ANSWER_BYTES;
/// Longest event of a stream.
pub(crate) const MAX_EVENT_BYTES: u64 = 1 << 20;
/// Most bytes of one stream that wait for its caller: the longest event, or many usual ones.
const MAX_WAITING_EVENT_BYTES: u64 = MAX_EVENT_BYTES;
/// Time between two looks for room. Only answers that find none wait, each in a thread of its own.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait of an answer that holds a part of the room already. Two such answers may each wait for
/// what the other one holds.
const MAX_GROWTH_WAIT: Duration = Duration::from_secs(2);

/// Room for the whole answers of a router, as one attempt sees it.
///
/// An answer for which there is no room stays at its endpoint: it is not read from the connection.
#[derive(Debug)]
pub(crate) struct WholeRoom<'a> {
    pub(crate) budget: &'a ByteBudget,
    /// When the request's time is over.
    pub(crate) deadline: Instant,
}

impl WholeRoom<'_> {
    /// Waits for room for an answer of a length that its endpoint told, or that is not known.
    pub(crate) fn buffer(&self, told_bytes: Option<u64>) -> Result<HeldBuffer, AttemptFailure> {
        let told_bytes = told_bytes.unwrap_or_default();
        if told_bytes > MAX_WHOLE_ANSWER_BYTES {
            return Err(AttemptFailure::ServerError);
        }
        let reserve = || HeldBuffer::reserve(self.budget, told_bytes);
        wait_for(self.deadline, reserve).ok_or(AttemptFailure::DeadlinePassed)
    }

    /// Adds a part to an answer, and waits for room if it is longer than was told.
    pub(crate) fn push(&self, buffer: &mut HeldBuffer, part: &[u8]) -> Result<(), AttemptFailure> {
        let until = self.deadline.min(Instant::now() + MAX_GROWTH_WAIT);
        let pushed = wait_for(until, || buffer.push(part).then_some(()));
        let fits = buffer.len() as u64 <= MAX_WHOLE_ANSWER_BYTES;
        pushed.filter(|()| fits).ok_or(AttemptFailure::ServerError)
    }
}

fn wait_for<T>(until: Instant, mut take: impl FnMut() -> Option<T>) -> Option<T> {
    loop {
        let taken = take();
        if taken.is_some() || Instant::now() >= until {
            return taken;
        }
        thread::sleep(ROOM_POLL_INTERVAL);
    }
}

/// Room for the events of one stream that wait for its caller.
///
/// The ring to the caller is bounded by number. Without this bound one caller who stops reading
/// holds as many events of the greatest length. The bound is one stream's own, so that nobody waits
/// for another one's caller.
#[derive(Debug)]
pub(crate) struct EventRoom {
    budget: ByteBudget,
}

impl EventRoom {
    pub(crate) fn new() -> Self {
        Self {
            budget: ByteBudget::new(MAX_WAITING_EVENT_BYTES),
        }
    }

    /// Waits for room for an event; without it once the caller is gone, as it waits for nobody then.
    pub(crate) fn hold(&self, event: Vec<u8>, caller: &AnswerSender) -> Bytes {
        loop {
            if let Some(room) = self.budget.reserve(event.len() as u64) {
                return room.bind(event);
            }
            if caller.is_closed() {
                return Bytes::from(event);
            }
            thread::sleep(ROOM_POLL_INTERVAL);
        }
    }
}
