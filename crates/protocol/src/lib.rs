//! Types and codecs of the messages that processes exchange: HTTP and JSON with callers, endpoints,
//! operators and the platform, CBOR between routers.

pub mod chat;
pub mod coordinator;
pub mod engine;
pub mod engine_orders;
pub mod headers;
pub mod ledger;
pub mod membership;
mod object_only;
pub mod operator;
pub mod peer;
pub mod peer_config;
mod peer_poison;
mod peer_report;
pub mod platform;
pub mod table;
