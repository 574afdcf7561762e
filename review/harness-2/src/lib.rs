//! Stand-ins for the review's cases, with the standard library only: the platform's store, engines, callers, and the
//! start of routers as the deploy file says.

pub mod base64;
pub mod engine;
pub mod fixture;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
