//! Reads the bodies of callers' requests within the host's memory budget.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::timeout;

use crate::held_memory::HeldMemory;

/// Longest time for which a body is read and discarded that there is no memory for. A connection
/// that is closed with unread bytes is reset, and the caller loses the response that says that
/// nothing has run. Enough for 4 MB, the longest body where the configuration sets no limit, at 11
/// Mbit/s.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Memory that a body gets at first, unless it is shorter: enough for a typical prompt.
const INITIAL_CAPACITY_BYTES: usize = 16 * 1024;

/// Why a body was not read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It did not arrive in time.
    #[error("body too slow")]
    TooSlow,
    /// It is longer than callers may send.
    #[error("body too long")]
    TooLong,
    /// The connection ended before the body did.
    #[error("body cut off")]
    CutOff,
    /// The host has no memory for it.
    #[error("no memory for the body")]
    NoMemory,
}

/// Reads a body of at most `max_bytes` and counts it in `memory`.
///
/// Chunks are copied as they arrive, so that a connection's buffer is reused. Keeping the chunks
/// themselves would keep a buffer for each packet.
///
/// # Errors
///
/// It is too long, too slow or cut off, or there is no memory for it.
pub async fn read(
    body: Incoming,
    max_bytes: usize,
    time_left: Duration,
    memory: &HeldMemory,
) -> Result<Bytes, BodyError> {
    let read = timeout(time_left, collect(body, max_bytes, memory)).await;
    read.unwrap_or(Err(BodyError::TooSlow))
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    memory: &HeldMemory,
) -> Result<Bytes, BodyError> {
    let stated = body.size_hint().exact();
    let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if stated.is_some_and(|stated| stated > max_bytes) {
        return Err(BodyError::TooLong);
    }
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::CutOff)?;
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        if !reserve_room(&mut bytes, data.len(), stated, memory) {
            memory.give_back(bytes.capacity() as u64);
            drop(bytes);
            discard(body).await;
            return Err(BodyError::NoMemory);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from(bytes))
}

/// Reserves room for `more` bytes. Returns whether there was enough memory.
///
/// Memory is reserved for the bytes that have arrived, twice as much each time, and not for the
/// stated length. Otherwise a few callers that state long bodies and send nothing would take all
/// memory from everybody else.
fn reserve_room(
    bytes: &mut Vec<u8>,
    more: usize,
    stated: Option<usize>,
    memory: &HeldMemory,
) -> bool {
    let needed = bytes.len() + more;
    if needed <= bytes.capacity() {
        return true;
    }
    let wanted = needed.max(bytes.capacity() * 2).max(INITIAL_CAPACITY_BYTES);
    let room = wanted.min(stated.unwrap_or(usize::MAX)).max(needed);
    let has_memory = memory.grow((room - bytes.capacity()) as u64);
    if has_memory {
        bytes.reserve_exact(room - bytes.len());
    }
    has_memory
}

/// Reads and discards the rest of a body.
pub async fn discard(mut body: Incoming) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // The caller is answered even after the timeout, but may not receive the response.
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}
