//! Reads the bodies of callers' requests, within the memory that the host has.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::timeout;

use crate::held_memory::HeldMemory;

/// Longest time in which a body without room is read and forgotten. A connection that is closed with
/// bytes unread is reset, and the caller loses the answer that says that nothing has run. Enough for 4 MB,
/// the longest body where the configuration names none, at 11 Mbit/s.
const FORGET_TIME: Duration = Duration::from_secs(3);

/// Why a body was not read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It did not come in time.
    #[error("body too slow")]
    TooSlow,
    /// It is longer than callers may send.
    #[error("body too long")]
    TooLong,
    /// The caller broke off.
    #[error("body cut off")]
    CutOff,
    /// The host has no memory for it.
    #[error("no memory for the body")]
    NoMemory,
}

/// Reads a body of at most `most_bytes` and counts it to `memory`.
///
/// Pieces are copied as they come, so that a connection's buffer is used again. To keep the pieces
/// themselves would keep a buffer of 8 KB for each packet.
///
/// # Errors
///
/// It is too long, too slow or cut off, or there is no memory for it.
pub async fn read(
    body: Incoming,
    most_bytes: usize,
    left: Duration,
    memory: &mut HeldMemory,
) -> Result<Bytes, BodyError> {
    let read = timeout(left, collect(body, most_bytes, memory)).await;
    read.unwrap_or(Err(BodyError::TooSlow))
}

async fn collect(
    mut body: Incoming,
    most_bytes: usize,
    memory: &mut HeldMemory,
) -> Result<Bytes, BodyError> {
    let stated = body.size_hint().exact();
    let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if stated.is_some_and(|stated| stated > most_bytes) {
        return Err(BodyError::TooLong);
    }
    let mut taken_bytes = stated.unwrap_or(0);
    if !memory.grow(taken_bytes as u64) {
        forget(body).await;
        return Err(BodyError::NoMemory);
    }
    let mut bytes = Vec::with_capacity(taken_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::CutOff)?;
        let data = frame.into_data().unwrap_or_default();
        let length = bytes.len() + data.len();
        if length > most_bytes {
            return Err(BodyError::TooLong);
        }
        let more = length.saturating_sub(taken_bytes);
        if !memory.grow(more as u64) {
            drop(bytes);
            forget(body).await;
            return Err(BodyError::NoMemory);
        }
        taken_bytes += more;
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from(bytes))
}

/// Reads the rest of a body and keeps nothing of it.
async fn forget(mut body: Incoming) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // The caller is answered all the same, and may not see it.
    let _ = timeout(FORGET_TIME, reading).await;
}
