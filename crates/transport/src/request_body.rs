//! Reads the body of a caller's request into memory that is reserved from a budget.

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
use crate::byte_budget::ReservedBuffer;
use crate::front_request::BadRequest;
use crate::front_request::bad_request;

/// Reads a whole body; its bytes count against `budget` until their last owner drops them.
///
/// A body that does not fit is still read to its end and discarded: closing a socket with unread bytes
/// resets the connection, and the caller could lose the refusal.
pub(crate) async fn read_body(
    body: Incoming,
    budget: &ByteBudget,
    limits: &FrontSettings,
) -> Result<Bytes, BadRequest> {
    let body_timeout = millis(limits.header_timeout_ms);
    match timeout(body_timeout, collect(body, budget, limits)).await {
        Ok(read) => read,
        Err(_) => Err(body_timed_out(body_timeout)),
    }
}

/// Reads and discards a body, so that its sender gets the answer (see [`read_body`]).
pub(crate) async fn discard_body(body: Incoming, limits: &FrontSettings) {
    let mut body = Limited::new(body, limits.max_body_bytes as usize);
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that is slower, or sends more, may lose the answer.
    let _ = timeout(millis(limits.header_timeout_ms), read).await;
}

async fn collect(
    body: Incoming,
    budget: &ByteBudget,
    limits: &FrontSettings,
) -> Result<Bytes, BadRequest> {
    let declared_bytes = body.size_hint().lower().min(limits.max_body_bytes);
    let mut body = Limited::new(body, limits.max_body_bytes as usize);
    let mut held = ReservedBuffer::reserve(budget, declared_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| read_error(&*error, limits))?;
        if let Ok(data) = frame.into_data() {
            // The data is copied, as it shares the connection's read buffer and would keep all of it in
            // memory, which is not what was reserved.
            if !held.as_mut().is_some_and(|held| held.push(&data)) {
                held = None;
            }
        }
    }
    held.map(ReservedBuffer::finish)
        .ok_or_else(|| out_of_memory(declared_bytes, budget))
}

fn body_timed_out(body_timeout: Duration) -> BadRequest {
    let timeout_ms = body_timeout.as_millis();
    let detail = format!("body: found no end, expected it within {timeout_ms} ms");
    bad_request(RefusalReason::HeaderTimeout, detail)
}

fn read_error(error: &(dyn std::error::Error + 'static), limits: &FrontSettings) -> BadRequest {
    if error.is::<LengthLimitError>() {
        let max_bytes = limits.max_body_bytes;
        let detail = format!("body: expected at most {max_bytes} bytes");
        return bad_request(RefusalReason::BodyTooLarge, detail);
    }
    bad_request(RefusalReason::BadRequest, format!("body: {error}"))
}

/// Returns the refusal for a body that does not fit: an account that has used up its own part gets another
/// reason than one that finds the router's memory full.
fn out_of_memory(declared_bytes: u64, account_budget: &ByteBudget) -> BadRequest {
    if account_budget.free_bytes() < declared_bytes.max(1) {
        let detail = "the memory for bodies of this account's requests is full";
        return bad_request(RefusalReason::AccountQueueFull, detail.to_owned());
    }
    let detail = "the memory for bodies of requests is full";
    bad_request(RefusalReason::QueueFull, detail.to_owned())
}
