//! Refusals of calls by the platform services.

use std::cell::RefCell;

use hyper::StatusCode;
use serde::de::DeserializeOwned;

use crate::rate_limit::RateLimit;
use crate::reply;
use crate::reply::Reply;
use crate::server::Call;
use crate::server::SharedState;

/// Why a call is refused.
#[derive(Debug)]
pub enum Refusal {
    /// The body is not valid JSON for the call.
    Malformed(serde_json::Error),
    /// The rate limit is reached.
    RateLimited {
        /// Time after which to retry.
        retry_after_s: u64,
    },
    /// The path or object does not exist.
    NotFound,
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Malformed(error) => reply::text(StatusCode::BAD_REQUEST, &error.to_string()),
            Refusal::RateLimited { retry_after_s } => reply::rate_limited(retry_after_s),
            Refusal::NotFound => reply::text(StatusCode::NOT_FOUND, "not found"),
        }
    }
}

/// Parses the JSON body of a call.
pub fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, Refusal> {
    serde_json::from_slice(&call.body).map_err(Refusal::Malformed)
}

/// Takes a permit or refuses the call.
pub fn permit(limit: &RefCell<RateLimit>, shared: &SharedState) -> Result<(), Refusal> {
    let mut limit = limit.borrow_mut();
    if limit.try_take(shared.now()) {
        Ok(())
    } else {
        Err(Refusal::RateLimited {
            retry_after_s: limit.retry_after_s(),
        })
    }
}
