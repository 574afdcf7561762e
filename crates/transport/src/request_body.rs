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
use crate::byte_budget::HeldBuffer;
use crate::front_request::BadRequest;
use crate::front_request::bad_request;

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
    let mut held = HeldBuffer::reserve(budget, told_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| unreadable(&*error, limits))?;
        if let Ok(data) = frame.into_data() {
            // A copy: a part shares the connection's read buffer and would hold all of it, which is not
            // what was reserved.
            if !held.as_mut().is_some_and(|held| held.push(&data)) {
                held = None;
            }
        }
    }
    held.map(HeldBuffer::finish)
        .ok_or_else(|| no_room(told_bytes, budget))
}

fn no_end(body_timeout: Duration) -> BadRequest {
    let timeout_ms = body_timeout.as_millis();
    let detail = format!("body: found no end, expected it within {timeout_ms} ms");
    bad_request(RefusalReason::HeaderTimeout, detail)
}

fn unreadable(error: &(dyn std::error::Error + 'static), limits: &FrontSettings) -> BadRequest {
    if error.is::<LengthLimitError>() {
        let max_bytes = limits.max_body_bytes;
        let detail = format!("body: expected at most {max_bytes} bytes");
        return bad_request(RefusalReason::BodyTooLarge, detail);
    }
    bad_request(RefusalReason::BadRequest, format!("body: {error}"))
}

/// Tells whether the account or the router has no room: only the former is the caller's own doing.
fn no_room(told_bytes: u64, account: &ByteBudget) -> BadRequest {
    if account.free_bytes() < told_bytes.max(1) {
        let detail = "the router holds as many bytes of this account's requests as it may";
        return bad_request(RefusalReason::AccountQueueFull, detail.to_owned());
    }
    let detail = "the router holds as many bytes of requests as it may";
    bad_request(RefusalReason::QueueFull, detail.to_owned())
}
