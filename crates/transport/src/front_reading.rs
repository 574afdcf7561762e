//! Reads the body of a caller's request into memory that is set aside for it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use sedgeridge_coordination::refusal::RefusalReason;
use sedgeridge_state::settings::FrontSettings;
use sedgeridge_state::settings::millis;
use tokio::time::timeout;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::Reservation;
use crate::front_request::BadRequest;
use crate::front_request::bad;

/// Reads a whole body; its bytes count against `budget` until their last holder drops them.
///
/// A body for which there is no room is read to its end all the same, and dropped as it comes:
/// closing a socket that holds unread bytes resets it, and the caller could lose the refusal.
pub(crate) async fn read_body(
    body: Incoming,
    budget: &ByteBudget,
    limits: &FrontSettings,
) -> Result<Bytes, BadRequest> {
    let body_timeout = millis(limits.header_timeout_ms);
    match timeout(body_timeout, collect(body, budget, limits)).await {
        Ok(read) => read,
        Err(_) => Err(no_end(body_timeout)),
    }
}

/// Reads a body that nobody needs, so that its sender gets the answer (see [`read_body`]).
pub(crate) async fn discard_body(body: Incoming, limits: &FrontSettings) {
    let mut body = Limited::new(body, limits.max_body_bytes as usize);
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // Who is slower than this, or sends more, may lose the answer.
    let _ = timeout(millis(limits.header_timeout_ms), read).await;
}

async fn collect(
    body: Incoming,
    budget: &ByteBudget,
    limits: &FrontSettings,
) -> Result<Bytes, BadRequest> {
    let told_bytes = body.size_hint().lower().min(limits.max_body_bytes);
    let mut body = Limited::new(body, limits.max_body_bytes as usize);
    let mut held = budget.reserve(told_bytes).map(HeldBody::new);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| unreadable(&*error, limits))?;
        if let Ok(data) = frame.into_data() {
            held = held.and_then(|held| held.with(&data));
        }
    }
    held.map(HeldBody::finish).ok_or_else(no_room)
}

/// What has been read of a body, and the memory set aside for it.
struct HeldBody {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl HeldBody {
    fn new(reservation: Reservation) -> Self {
        Self {
            bytes: Vec::with_capacity(reservation.held_bytes() as usize),
            reservation,
        }
    }

    /// Copies a part; `None` when there is no room for it, which frees what was held.
    ///
    /// A part shares the connection's read buffer. Kept, it would hold all of that buffer, which is
    /// not what was reserved.
    fn with(mut self, data: &[u8]) -> Option<Self> {
        let bytes = self.bytes.len() + data.len();
        if bytes > self.bytes.capacity() {
            let room_bytes = bytes.max(self.bytes.capacity() * 2);
            if !self.reservation.grow_to(room_bytes as u64) {
                return None;
            }
            self.bytes.reserve_exact(room_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Some(self)
    }

    fn finish(self) -> Bytes {
        self.reservation.bind(self.bytes)
    }
}

fn no_end(body_timeout: Duration) -> BadRequest {
    let timeout_ms = body_timeout.as_millis();
    let detail = format!("body: found no end, expected it within {timeout_ms} ms");
    bad(RefusalReason::HeaderTimeout, detail)
}

fn unreadable(error: &(dyn std::error::Error + 'static), limits: &FrontSettings) -> BadRequest {
    if error.is::<LengthLimitError>() {
        let max_bytes = limits.max_body_bytes;
        let detail = format!("body: expected at most {max_bytes} bytes");
        return bad(RefusalReason::BodyTooLarge, detail);
    }
    bad(RefusalReason::BadRequest, format!("body: {error}"))
}

fn no_room() -> BadRequest {
    let detail = "the router holds as many bytes of requests as it may";
    bad(RefusalReason::QueueFull, detail.to_owned())
}
